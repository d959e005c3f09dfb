//! How long an instance waits for a peer.

use std::time::Duration;

use bankvalve_queue::{peer_batch_timeout, BatchTimeout, PeerAddress};

/// Bits that the thinnest link of the users' sites carries in a second.
const THIN_LINK: f64 = 10e6;

#[test]
fn a_large_batch_has_the_time_that_a_thin_link_takes_for_it() {
    // The largest configuration of the users' sites so far has some 1.1 MB.
    for bytes in [10_000, 100_000, 1_100_000, 4_000_000] {
        let carried = Duration::from_secs_f64(bytes as f64 * 8.0 / THIN_LINK);
        assert!(peer_batch_timeout(bytes) > carried * 2, "{bytes} bytes");
    }
}

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

#[test]
fn a_batch_has_more_time_while_the_own_link_is_behind() {
    let mut patience = BatchTimeout::default();
    let usual = patience.time(100);
    assert_eq!(usual, peer_batch_timeout(100));
    // One peer alone that misses batches may be cut off: the others' are not waited for longer.
    for _ in 0..5 {
        patience.note_missed(address(1));
    }
    assert_eq!(patience.time(100), usual);
    for _ in 0..5 {
        patience.note_missed(address(2));
        patience.note_missed(address(1));
    }
    let behind = patience.time(100);
    assert!(behind >= usual * 2, "{behind:?}");
    assert!(behind <= usual * 4, "{behind:?}");
    for _ in 0..20 {
        patience.note_taken(Duration::from_millis(5));
    }
    assert!(patience.time(100) < usual + Duration::from_millis(30));
}
