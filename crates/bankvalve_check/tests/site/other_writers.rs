//! Rows of another writer among the workers' entries.

use bankvalve_check::site::{job_of, QUEUE};

use crate::{assert_kept, world};

/// Longest key of a row, in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Guards against a list that stops at a page whose last key has the maximum length: the next page must not
/// start at a longer key.
#[test]
fn a_page_that_ends_with_a_key_of_maximum_length_is_followed_by_the_next() {
    for key in [
        "a".repeat(MAX_KEY_BYTES),
        "\u{10ffff}".repeat(MAX_KEY_BYTES / 4),
    ] {
        let mut world = world(71);
        world.store.worker_page = Some(1);
        world.store.write_unusable_worker(&key.as_str().into());
        // The next leader reads all pages.
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 2_000);
        world.run_until(12_000);
        for job in 1..9 {
            world.submit(job_of(job, QUEUE, &[4], false));
        }
        world.run_until(30_000);
        assert_kept(&world);
        assert_eq!(world.shown.len(), 8);
        assert_eq!(world.counter("retries", "store_busy"), 0);
    }
}
