//! What entry instances say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::{CallerAnswer, CallerRequest};
use crate::ids::{Ticket, WorkerId};
use crate::worker::{AdviceAnswer, AdviceAsk};

/// Address at which a peer listens for peers.
pub type PeerAddress = SocketAddr;

/// Connections that an instance keeps open to each peer, worker and service.
pub const KEPT_CONNECTIONS: usize = 6;
/// Batches on their way to one peer at most; more messages wait and travel together.
pub const PEER_FLIGHTS: usize = 3;
/// Longest wait for a peer to take a small batch: usual are 2 to 5 ms, and an instance that has
/// spent its share of a core stands still for up to 100.
const PEER_TIME: Duration = Duration::from_millis(400);
/// Bytes of a batch that a link is reckoned to carry in a millisecond: two fifths of the thinnest
/// one of the users' sites, 10 Mbit/s.
const LINK_BYTES_PER_MS: usize = 500;

/// Longest wait for a peer to take a batch of so many bytes.
///
/// # Examples
///
/// ```
/// assert!(bankvalve_queue::peer_time(1_000_000) >= bankvalve_queue::peer_time(100));
/// ```
pub fn peer_time(bytes: usize) -> Duration {
    PEER_TIME + Duration::from_millis((bytes / LINK_BYTES_PER_MS) as u64)
}

/// What a heartbeat tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatNews {
    /// Start of the sender's life, milliseconds since 1970.
    pub life: u64,
    /// Processor that the sender has, in thousandths of a core.
    pub strength: u64,
    /// Highest epoch that it knows to lead.
    pub epoch: u64,
    /// Who leads in that epoch.
    pub leader: Option<PeerAddress>,
    /// Whether the sender itself leads.
    pub leading: bool,
    /// Whether it leads and still reads the ledger, so that it takes no requests up.
    pub loading: bool,
    /// Milliseconds since it last heard from that leader.
    pub leader_age_ms: u64,
    /// Whether it leads and the table leaves its requests unanswered.
    pub store_trouble: bool,
    /// Milliseconds since the table answered a question that it was asked because of such
    /// trouble; none if it did not.
    pub probe_age_ms: Option<u64>,
    /// Milliseconds since the table last answered it anything; none if it never did.
    pub store_age_ms: Option<u64>,
    /// Number of the last batch of the ledger in its book.
    pub applied: u64,
    /// Version of its configuration.
    pub table_version: u64,
    /// Whether it stops.
    pub stopping: bool,
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat(HeartbeatNews),
    /// A caller's request, to the leader.
    Ask {
        /// Number of the question.
        ticket: Ticket,
        /// Version of the configuration under which it was read.
        table_version: u64,
        /// The request.
        request: CallerRequest,
    },
    /// Its answer.
    Reply {
        /// Number of the question.
        ticket: Ticket,
        /// The answer; none if the receiver does not lead.
        answer: Option<CallerAnswer>,
    },
    /// A question to the policy service, carried for the leader.
    Advise {
        /// Number of the question.
        ticket: Ticket,
        /// The question.
        ask: AdviceAsk,
    },
    /// Its answer.
    Advised {
        /// Number of the question.
        ticket: Ticket,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// A batch of the ledger that is kept.
    Committed {
        /// Epoch of the leader.
        epoch: u64,
        /// Number of the batch.
        sequence: u64,
        /// The batch, encoded.
        #[serde(with = "serde_bytes")]
        batch: Vec<u8>,
    },
    /// What the leader has measured, so that a successor need not begin anew.
    Measured {
        /// Workers, each with the logarithm of how much longer than elsewhere tasks take there.
        workers: Vec<(WorkerId, f64)>,
        /// Queues, each with the logarithm of measured to guessed run times.
        queues: Vec<(String, f64)>,
    },
    /// The sender has stopped leading; the receiver is to lead.
    TakeOver {
        /// Epoch that has ended.
        epoch: u64,
        /// Whether the sender has stopped commanding; if not, it does until the claim stands.
        over: bool,
    },
    /// The sender has an older configuration than a peer, and the table does not answer it.
    TableWanted {
        /// Version that it has.
        version: u64,
    },
    /// The sender has a newer one to give.
    TableOffer {
        /// Its version.
        version: u64,
        /// Its size.
        bytes: u64,
    },
    /// The sender takes what it was offered.
    TableTaken,
    /// The sender cannot give it just now after all.
    TableRefused,
    /// A configuration, to a peer that took the offer.
    Table {
        /// The configuration as the operator wrote it.
        #[serde(with = "serde_bytes")]
        raw: Vec<u8>,
    },
}

/// Messages that travel together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// Who sends.
    pub from: PeerAddress,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}
