//! How long an instance waits for a peer.

use std::time::Duration;

use bankvalve_queue::peer_time;

/// Bits that the thinnest link of the users' sites carries in a second.
const THIN_LINK: f64 = 10e6;

#[test]
fn a_large_batch_has_the_time_that_a_thin_link_takes_for_it() {
    // The largest configuration of the users' sites so far has some 1.1 MB.
    for bytes in [10_000, 100_000, 1_100_000, 4_000_000] {
        let carried = Duration::from_secs_f64(bytes as f64 * 8.0 / THIN_LINK);
        assert!(peer_time(bytes) > carried * 2, "{bytes} bytes");
    }
}
