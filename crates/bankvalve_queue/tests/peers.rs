//! Timeouts of batches that an instance sends to its peers.

use std::time::Duration;

use bankvalve_queue::{
    peer_batch_timeout, BatchTimeout, MeasuredModel, PeerAddress, PeerMessage, WorkerId,
};
use serde::Serialize;

/// Bandwidth of the slowest link on the users' sites, in bits per second.
const SLOWEST_LINK_BITS_PER_S: f64 = 10e6;

#[test]
fn the_timeout_of_a_large_batch_covers_its_transfer_over_a_slow_link() {
    // The largest configuration on the users' sites so far is about 1.1 MB.
    for bytes in [10_000, 100_000, 1_100_000, 4_000_000] {
        let transfer_time = Duration::from_secs_f64(bytes as f64 * 8.0 / SLOWEST_LINK_BITS_PER_S);
        assert!(
            peer_batch_timeout(bytes) > transfer_time * 2,
            "{bytes} bytes"
        );
    }
}

fn address(last: u8) -> PeerAddress {
    PeerAddress::from(([10, 0, 0, last], 7_300))
}

#[test]
fn the_timeout_of_a_batch_grows_while_the_local_link_is_congested() {
    let mut timeout = BatchTimeout::default();
    let usual = timeout.time(100);
    assert_eq!(usual, peer_batch_timeout(100));
    // A single peer that misses batches may be cut off, so the timeout, which all peers share, does not grow.
    for _ in 0..5 {
        timeout.note_missed(address(1));
    }
    assert_eq!(timeout.time(100), usual);
    for _ in 0..5 {
        timeout.note_missed(address(2));
        timeout.note_missed(address(1));
    }
    let congested = timeout.time(100);
    assert!(congested >= usual * 2, "{congested:?}");
    assert!(congested <= usual * 4, "{congested:?}");
    for _ in 0..20 {
        timeout.note_taken(Duration::from_millis(5));
    }
    assert!(timeout.time(100) < usual + Duration::from_millis(30));
}

/// The message with measurements as versions without learned run times send it.
#[derive(Serialize)]
enum EarlierMessage {
    Measured {
        workers: Vec<(WorkerId, f64)>,
        queues: Vec<(String, f64)>,
    },
}

/// Guards against a standby that loses all messages of a batch from a leader of an earlier version.
#[test]
fn measurements_of_an_earlier_version_can_be_read() {
    let workers = vec![(WorkerId::from("w-1"), 0.3)];
    let queues = vec![("batch".to_owned(), 0.1)];
    let sent = EarlierMessage::Measured {
        workers: workers.clone(),
        queues: queues.clone(),
    };
    let bytes = rmp_serde::to_vec(&sent).expect("it can be encoded");
    let read: PeerMessage = rmp_serde::from_slice(&bytes).expect("it can be read");
    let expected = PeerMessage::Measured {
        workers,
        queues,
        model: MeasuredModel::default(),
    };
    assert_eq!(read, expected);
}
