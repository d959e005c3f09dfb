//! Rows of another writer among the workers' entries.

use bankvalve_check::site::{job_of, QUEUE};
use bankvalve_queue::{ProcessStart, WorkerEntry};

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

/// How another writer changes the entry of a living worker.
#[derive(Clone, Copy, Debug)]
struct Overwrite {
    service: Option<&'static str>,
    address: Option<&'static str>,
    started: Option<Option<ProcessStart>>,
    /// Whether the leader is lost right after it.
    leader_lost: bool,
}

impl Overwrite {
    fn apply(&self, entry: &WorkerEntry) -> WorkerEntry {
        WorkerEntry {
            service: self.service.map_or(entry.service.clone(), Into::into),
            address: self.address.map_or(entry.address.clone(), Into::into),
            started: self.started.unwrap_or(entry.started),
            ..entry.clone()
        }
    }
}

/// Plays lasting tasks on three of four workers, one of whose entries is overwritten for 15 s. Returns what
/// went wrong.
fn play_overwrite(seed: u64, overwrite: &Overwrite) -> Option<String> {
    let mut world = world(seed);
    let mut spec = job_of(1, QUEUE, &[3], false);
    spec.steps[0].lasting = true;
    spec.steps[0].size.millicores = 4_000;
    world.submit(spec);
    world.run_until(5_000);
    let busy = world.workers.iter().find_map(|(address, worker)| {
        let worker = worker.as_ref().filter(|worker| !worker.runs().is_empty())?;
        (address != OTHER_ADDRESS).then(|| worker.clone())
    });
    let busy = busy.expect("a worker with a task");
    world.overwrite_with(&busy.id, overwrite.apply(&busy.entry));
    if overwrite.leader_lost {
        let leader = world.leader().expect("an instance leads");
        world.kill(leader, 2_000);
    }
    world.run_until(20_000);
    let breaches = format!("{:?}", world.rules.breaches);
    let kept: Vec<_> = world.workers[&busy.entry.address]
        .iter()
        .flat_map(|worker| worker.runs().values().map(|run| run.run))
        .collect();
    let before: Vec<_> = busy.runs().values().map(|run| run.run).collect();
    world.overwrite_with(&busy.id, busy.entry.clone());
    world.run_until(25_000);
    let mut spec = job_of(2, QUEUE, &[1], false);
    spec.steps[0].size.millicores = 4_000;
    world.submit(spec);
    world.run_until(40_000);
    let failed =
        breaches != "[]" || (kept != before && !overwrite.leader_lost) || world.shown.is_empty();
    failed.then(|| {
        format!("seed {seed}, {overwrite:?}: {breaches}, runs {before:?} before, {kept:?} after")
    })
}

/// Address of another worker.
const OTHER_ADDRESS: &str = "10.9.0.3:80";

/// Guards against a task that runs twice because an entry of another writer leads calls for a living worker to
/// another address, whose answer is taken for the worker's end.
#[test]
fn an_entry_of_another_writer_under_the_key_of_a_living_worker_is_no_proof_of_its_end() {
    let unknown = Some(ProcessStart(7));
    let mut failures = Vec::new();
    for service in [None, Some("none of ours")] {
        for address in [None, Some(OTHER_ADDRESS), Some("10.9.9.9:80")] {
            for started in [None, Some(None), Some(unknown)] {
                for leader_lost in [false, true] {
                    let overwrite = Overwrite {
                        service,
                        address,
                        started,
                        leader_lost,
                    };
                    failures.extend((1..3).filter_map(|seed| play_overwrite(seed, &overwrite)));
                }
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{} of 72:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
