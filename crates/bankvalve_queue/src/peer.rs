//! What entry instances say to each other.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::{CallerAnswer, CallerRequest};
use crate::customer::CallerIdentity;
use crate::ids::{ConnectionId, FenceToken, RunId, TaskKey, Ticket, WorkerId};
use crate::worker::{AdviceAnswer, AdviceRequest, WorkerAnswer, WorkerCall};

/// Address at which a peer listens for peers.
pub type PeerAddress = SocketAddr;

/// Connections that an instance keeps open to each peer, worker and service.
pub const POOLED_CONNECTIONS: usize = 6;
/// Batches on their way to one peer at most; more messages wait and travel together.
pub const PEER_BATCHES_IN_FLIGHT: usize = 3;
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
/// assert!(bankvalve_queue::peer_batch_timeout(1_000_000) >= bankvalve_queue::peer_batch_timeout(100));
/// ```
pub fn peer_batch_timeout(bytes: usize) -> Duration {
    PEER_TIME + Duration::from_millis((bytes / LINK_BYTES_PER_MS) as u64)
}

/// Longest time that batches may take beyond [`peer_batch_timeout`] where the own link is behind: with it a
/// batch has 1.2 s, and one that is truly lost is noticed within that.
const PATIENCE_MOST: Duration = Duration::from_millis(800);
/// Times that a batch takes lately for which it is waited for beyond [`peer_batch_timeout`].
const PATIENCE_FACTOR: u32 = 3;
/// Least time that is reckoned for a batch once the own link is seen to be behind.
const PATIENCE_STEP: Duration = Duration::from_millis(100);

/// How long batches to peers may take, by how long they have taken lately.
///
/// A link that is behind brings each batch late. One that is given up was sent for nothing, and what
/// it told is lost: its receiver reads the ledger's batches from the table, over the same links.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let mut patience = bankvalve_queue::BatchTimeout::default();
/// let usual = patience.time(100);
/// patience.note_taken(Duration::from_millis(300));
/// assert!(patience.time(100) > usual);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchTimeout {
    usual: Duration,
    /// A peer that missed a batch since one was taken.
    missed: Option<PeerAddress>,
}

impl BatchTimeout {
    /// Longest wait for a peer to take a batch of so many bytes now.
    pub fn time(&self, bytes: usize) -> Duration {
        peer_batch_timeout(bytes) + (self.usual * PATIENCE_FACTOR).min(PATIENCE_MOST)
    }

    /// A batch was taken after a time.
    pub fn note_taken(&mut self, took: Duration) {
        self.usual = (self.usual * 3 + took) / 4;
        self.missed = None;
    }

    /// A batch was not taken in time. If two peers miss theirs and none takes one meanwhile, it is
    /// the own link that is behind.
    pub fn note_missed(&mut self, peer: PeerAddress) {
        if self.missed.is_some_and(|other| other != peer) {
            let more = (self.usual * 2).max(PATIENCE_STEP);
            self.usual = more.min(PATIENCE_MOST / PATIENCE_FACTOR);
        }
        self.missed = Some(peer);
    }
}

/// The receiver's last heartbeat, told back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// When it was sent, by the receiver's own clock, in milliseconds.
    pub sent_ms: u64,
    /// For how long the sender has had it, in milliseconds.
    pub held_ms: u64,
}

/// What a heartbeat tells.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBody {
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
    /// Milliseconds since it was last known that no newer configuration is there; none if it never
    /// was.
    pub table_age_ms: Option<u64>,
    /// Share of new jobs that the leader does not take on, in percent, as far as the sender knows.
    pub refuse_percent: u32,
    /// When it is sent, by the sender's own clock, in milliseconds.
    pub sent_ms: u64,
    /// What the receiver said last; none if nothing came from it.
    pub echo: Option<HeartbeatEcho>,
    /// Whether it stops.
    pub stopping: bool,
    /// Longest hold that it asks workers for when it leads, in milliseconds.
    pub hold_ms: u64,
}

/// A call to a worker that a peer carries for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxiedCall {
    /// Life of the worker that is meant.
    pub worker: WorkerId,
    /// Where it listens.
    pub address: String,
    /// Token of the leader.
    pub token: FenceToken,
    /// What is told to the worker.
    pub order: ProxiedOrder,
    /// Longest time to wait for the worker's answer, in milliseconds.
    pub time_ms: u64,
}

/// What a carried call tells a worker; the job that a start is for is in the carrier's book.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxiedOrder {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Progress to go on from; empty for none.
        saved: String,
        /// Permit of the policy service.
        permit: Option<String>,
        /// Reading of the worker's clock after which the order is void.
        until_ms: u64,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
    },
    /// Prolongs the hold and asks for the lists.
    Hold {
        /// Reading of the worker's clock until which all is held.
        until_ms: Option<u64>,
        /// Number of the last end that is kept and may be forgotten.
        kept: u64,
        /// The only connection of the carrier that it may go on.
        connection: Option<ConnectionId>,
        /// Time to wait for an end, in milliseconds.
        wait_ms: u64,
    },
}

impl ProxiedOrder {
    /// What is carried of a call; none for one that is not carried.
    pub fn of(call: &WorkerCall) -> Option<Self> {
        match call {
            WorkerCall::Start(order) => Some(ProxiedOrder::Start {
                task: order.task,
                run: order.run,
                saved: order.saved.clone(),
                permit: order.permit.clone(),
                until_ms: order.until_ms,
            }),
            WorkerCall::Stop { task, run } => Some(ProxiedOrder::Stop {
                task: *task,
                run: *run,
            }),
            WorkerCall::Hold {
                until_ms,
                kept,
                connection,
                wait_ms,
            } => Some(ProxiedOrder::Hold {
                until_ms: *until_ms,
                kept: *kept,
                connection: *connection,
                wait_ms: *wait_ms,
            }),
            WorkerCall::Pace { .. } => None,
        }
    }
}

/// A message to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender is alive.
    Heartbeat(HeartbeatBody),
    /// A caller's request, to the leader.
    Ask {
        /// Number of the question.
        ticket: Ticket,
        /// Version of the configuration under which it was read.
        table_version: u64,
        /// Who asks.
        caller: CallerIdentity,
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
    /// The sender answers callers from its book, and wants to know up to where the ledger is kept.
    MarkWanted {
        /// Number of the question.
        round: u64,
    },
    /// Up to where the ledger is kept, from the leader.
    Mark {
        /// Number of the question.
        round: u64,
        /// Number of the last batch that is kept.
        sequence: u64,
    },
    /// A question to the policy service, carried for the leader.
    Advise {
        /// Number of the question.
        ticket: Ticket,
        /// The question.
        ask: AdviceRequest,
    },
    /// Its answer.
    Advised {
        /// Number of the question.
        ticket: Ticket,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// A message that a hub passes on.
    Relay {
        /// Who says it.
        from: PeerAddress,
        /// To whom.
        to: PeerAddress,
        /// What.
        message: Box<PeerMessage>,
    },
    /// A call to a worker, carried for the leader.
    Carry {
        /// Number of the call.
        ticket: Ticket,
        /// The call.
        call: ProxiedCall,
    },
    /// Its answer.
    Carried {
        /// Number of the call.
        ticket: Ticket,
        /// The answer.
        answer: WorkerAnswer,
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
        /// Standbys that the receiver passes it on to, one after the other.
        onward: Vec<PeerAddress>,
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
