//! Messages between entry instances, which are processes of bankvalve.
//!
//! The table is the platform's store, in which the ledger is kept. Fields named `store_…` are about it.
//! Fields named `table_…` and messages named `Table…` are about the configuration, the `QueueTable`.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::{CallerAnswer, CallerRequest};
use crate::core::MeasuredModel;
use crate::customer::CallerIdentity;
use crate::ids::{ConnectionId, DomainName, FenceToken, RunId, StepKey, TaskKey, Ticket, WorkerId};
use crate::worker::{AdviceAnswer, AdviceRequest, ProcessStart, WorkerAnswer, WorkerCall};

mod told_knowledge;

pub use told_knowledge::{
    AdviceInFlight, AdviceSummary, FormerLeaseBound, StoppedLeaseBound, UnlistedWorker,
};

/// Address at which an instance accepts messages from its peers.
pub type PeerAddress = SocketAddr;

/// Maximum number of idle connections that an instance keeps open to each peer, worker and service.
pub const POOLED_CONNECTIONS: usize = 6;
/// Maximum number of batches in flight to one peer. Further messages wait and are sent together in the
/// next batch.
pub const PEER_BATCHES_IN_FLIGHT: usize = 3;
/// Timeout for a small batch. A peer usually accepts one within 2 to 5 ms, but an instance that has used
/// up its CPU quota is suspended for up to 100 ms.
const BATCH_BASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Bytes of a batch that a link is assumed to transfer in a millisecond: two fifths of the capacity of the
/// slowest link at the users' sites, 10 Mbit/s.
const LINK_BYTES_PER_MS: usize = 500;

/// Returns the timeout for a batch of `bytes` bytes on a link that is not congested.
///
/// # Examples
///
/// ```
/// assert!(bankvalve_queue::peer_batch_timeout(1_000_000) >= bankvalve_queue::peer_batch_timeout(100));
/// ```
pub fn peer_batch_timeout(bytes: usize) -> Duration {
    BATCH_BASE_TIMEOUT + Duration::from_millis((bytes / LINK_BYTES_PER_MS) as u64)
}

/// Maximum addition to [`peer_batch_timeout`] on a congested link. A small batch then times out after 1.2 s,
/// which limits the delay until the loss of a batch is noticed.
const MAX_EXTRA_TIMEOUT: Duration = Duration::from_millis(800);
/// Factor by which the average latency of batches is multiplied for the addition to
/// [`peer_batch_timeout`].
const EXTRA_TIMEOUT_FACTOR: u32 = 3;
/// Minimum latency that is assumed for a batch once this instance's link is known to be congested.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(100);

/// Timeout for batches to peers, adapted to their recent latency.
///
/// On a congested link each batch arrives late. If the sender abandons such a batch, its messages are lost:
/// the receiver then reads the ledger's batches from the table, over the same links.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// let mut timeout = bankvalve_queue::BatchTimeout::default();
/// let initial = timeout.time(100);
/// timeout.note_taken(Duration::from_millis(300));
/// assert!(timeout.time(100) > initial);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchTimeout {
    /// Moving average of the time until a peer accepts a batch.
    latency: Duration,
    /// Peer that last failed to accept a batch in time, if no batch has been accepted since.
    last_missed: Option<PeerAddress>,
}

impl BatchTimeout {
    /// Returns the present timeout for a batch of `bytes` bytes.
    pub fn time(&self, bytes: usize) -> Duration {
        peer_batch_timeout(bytes) + (self.latency * EXTRA_TIMEOUT_FACTOR).min(MAX_EXTRA_TIMEOUT)
    }

    /// Records that a peer has accepted a batch, and the time from sending it until then.
    pub fn note_taken(&mut self, took: Duration) {
        self.latency = (self.latency * 3 + took) / 4;
        self.last_missed = None;
    }

    /// Records that a peer has not accepted a batch in time. If two different peers miss a batch and none is
    /// accepted in between, this instance's link is assumed to be congested, and the timeout rises.
    pub fn note_missed(&mut self, peer: PeerAddress) {
        if self.last_missed.is_some_and(|other| other != peer) {
            let more = (self.latency * 2).max(MIN_SLOW_LATENCY);
            self.latency = more.min(MAX_EXTRA_TIMEOUT / EXTRA_TIMEOUT_FACTOR);
        }
        self.last_missed = Some(peer);
    }
}

/// Timing of the receiver's last heartbeat, which the sender returns to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// When it was sent, in milliseconds on the clock of the instance that sent it.
    pub sent_ms: u64,
    /// Time between its arrival and this echo, in milliseconds.
    pub held_ms: u64,
}

/// The evacuated failure domains that an instance knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationList {
    /// Version of the table up to which all evacuations and withdrawals are included.
    pub version: u64,
    /// The failure domains, each with the version at which its evacuation was requested.
    pub domains: Vec<(DomainName, u64)>,
}

/// Share of a queue's new jobs that is passed on to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueCredit {
    /// Name of the queue.
    pub queue: String,
    /// The share, in percent.
    pub percent: u32,
    /// Longest time after which callers of the other jobs may retry, in milliseconds.
    pub retry_ms: u64,
}

/// Shares of queues' new jobs that are passed on to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmissionCredits {
    /// Epoch of the leader that calculated them.
    pub epoch: u64,
    /// Milliseconds since it calculated them.
    pub age_ms: u64,
    /// Queues of which less than all jobs are passed on; 64 at most.
    pub queues: Vec<QueueCredit>,
}

/// Contents of a heartbeat.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBody {
    /// Start of the sender's process, in milliseconds since 1970. Tells it from an earlier process at the
    /// same address.
    pub life: u64,
    /// CPU capacity of the sender, in millicores.
    pub strength: u64,
    /// Highest epoch that the sender knows.
    pub epoch: u64,
    /// Leader that the sender knows; `None` if it knows none.
    pub leader: Option<PeerAddress>,
    /// Whether the sender itself leads.
    pub leading: bool,
    /// Whether the sender leads but is still reading the ledger. Until it has read it, it accepts no
    /// requests.
    pub loading: bool,
    /// Milliseconds since the sender's last contact with the leader: 0 if it leads itself, `u64::MAX` if it
    /// knows no leader.
    pub leader_age_ms: u64,
    /// Whether the sender leads and the platform's store does not answer its requests.
    pub store_trouble: bool,
    /// Milliseconds since the table last answered a probe, which the sender makes while a leader reports
    /// such trouble; `None` if it has answered none.
    pub probe_age_ms: Option<u64>,
    /// Milliseconds since the table last answered any request of the sender; `None` if it never has.
    pub store_age_ms: Option<u64>,
    /// Number of the last ledger batch in the sender's book.
    pub applied: u64,
    /// Version of the sender's configuration.
    pub table_version: u64,
    /// Milliseconds since the sender's configuration was last known to be the newest; `None` if it never
    /// was.
    pub table_age_ms: Option<u64>,
    /// Share of new jobs that the leader does not accept, in percent, as last known to the sender.
    pub refuse_percent: u32,
    /// When the heartbeat is sent, in milliseconds on the sender's clock.
    pub sent_ms: u64,
    /// Timing of the receiver's last heartbeat; `None` if the sender has received none.
    pub echo: Option<HeartbeatEcho>,
    /// Whether a planned stop of the sender has begun.
    pub stopping: bool,
    /// Longest lease that the sender requests from workers when it leads, in milliseconds.
    pub hold_ms: u64,
    /// Evacuated failure domains; `None` if the sender does not know them yet.
    #[serde(default)]
    pub evacuations: Option<EvacuationList>,
    /// Milliseconds since the table became unavailable to the leader, as last known to the sender; `None` if
    /// it is available.
    #[serde(default)]
    pub store_away_ms: Option<u64>,
    /// Shares of queues' new jobs that are passed on to the leader, as last known to the sender; `None` if all jobs
    /// of all queues are.
    #[serde(default)]
    pub credits: Option<AdmissionCredits>,
    /// Until when leases of former leaders may last, as far as the sender knows; `None` if it knows of no leader
    /// yet.
    #[serde(default)]
    pub former_leases: Option<FormerLeaseBound>,
    /// Milliseconds until the sender's advice requests to the policy service are expected to be answered.
    #[serde(default)]
    pub advice_backlog_ms: u64,
}

/// A call to a worker that a proxy sends for the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProxiedCall {
    /// Id of the worker process that the call is for.
    pub worker: WorkerId,
    /// Address at which the worker listens.
    pub address: String,
    /// Fencing token of the leader.
    pub token: FenceToken,
    /// The call, without the job.
    pub order: ProxiedOrder,
    /// Timeout for the worker's answer, in milliseconds.
    pub time_ms: u64,
}

/// The part of a worker call that is sent to a proxy. The proxy adds the job of a start from its own book.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ProxiedOrder {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Saved progress from which the run continues; empty if there is none.
        saved: String,
        /// Permit of the policy service, if the step needs one.
        permit: Option<String>,
        /// Deadline on the worker's clock, in milliseconds, from which the worker refuses the start.
        until_ms: u64,
        /// Start of the process that is to receive the order, if the worker reports it.
        #[serde(default)]
        process: Option<ProcessStart>,
    },
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
    },
    /// Renews the lease, which the names call the hold, and requests the run lists.
    Hold {
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves the lease as it is.
        until_ms: Option<u64>,
        /// Number of the last ended run that is committed to the ledger; the worker may forget ends up to it.
        kept: u64,
        /// The only connection of the proxy on which the call may be sent; `None` for any connection.
        connection: Option<ConnectionId>,
        /// Time for which the worker may delay its answer until a run ends, in milliseconds.
        wait_ms: u64,
    },
}

impl ProxiedOrder {
    /// Returns the part of a call that is sent to a proxy, or `None` if the call is never proxied.
    pub fn of(call: &WorkerCall) -> Option<Self> {
        match call {
            WorkerCall::Start(order) => Some(ProxiedOrder::Start {
                task: order.task,
                run: order.run,
                saved: order.saved.clone(),
                permit: order.permit.clone(),
                until_ms: order.until_ms,
                process: order.process,
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
    /// A heartbeat.
    Heartbeat(HeartbeatBody),
    /// A caller's request, forwarded to the leader.
    Ask {
        /// Ticket of the request.
        ticket: Ticket,
        /// Version of the configuration under which the sender interpreted the request.
        table_version: u64,
        /// Identity of the caller.
        caller: CallerIdentity,
        /// The request.
        request: CallerRequest,
    },
    /// The answer to [`PeerMessage::Ask`].
    Reply {
        /// Ticket of the request.
        ticket: Ticket,
        /// The answer; `None` if the sender of this reply does not lead or is still reading the ledger.
        answer: Option<CallerAnswer>,
    },
    /// Requests the read index from the leader, for status reads that the sender answers from its own book.
    ///
    /// The read index, also called the mark, is the number of the last committed batch. A read round is a
    /// group of status reads that wait for the same read index.
    MarkWanted {
        /// Number of the read round.
        round: u64,
    },
    /// The read index, from the leader.
    Mark {
        /// Number of the read round.
        round: u64,
        /// Number of the last committed batch.
        sequence: u64,
    },
    /// A request to the policy service that the receiver is to send for the leader.
    Advise {
        /// Ticket of the request.
        ticket: Ticket,
        /// The request.
        ask: AdviceRequest,
    },
    /// The answer to [`PeerMessage::Advise`].
    Advised {
        /// Ticket of the request.
        ticket: Ticket,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// The policy service's answer to a request of a former leader, for the present one.
    AdviceAnswered {
        /// The step that the request was about.
        step: StepKey,
        /// Workers in the request.
        workers: Vec<WorkerId>,
        /// The answer.
        answer: AdviceAnswer,
    },
    /// What the leader knows from the policy service about long-running tasks, so that a successor can continue
    /// with it.
    AdviceKnown {
        /// One summary for each step.
        summaries: Vec<AdviceSummary>,
    },
    /// Until when leases that are no longer renewed last at most, as far as the leader knows.
    LeaseBounds {
        /// One bound for each worker.
        bounds: Vec<StoppedLeaseBound>,
    },
    /// Workers with runs whose entries are gone or may go, and where the leader knows them to listen.
    UnlistedWorkers {
        /// The workers.
        workers: Vec<UnlistedWorker>,
    },
    /// A message that is sent through a hub, a member that relays messages between the leader and others.
    Relay {
        /// Sender of the message.
        from: PeerAddress,
        /// Receiver of the message.
        to: PeerAddress,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// A call to a worker that the receiver, as a proxy, is to send for the leader.
    Carry {
        /// Ticket of the call.
        ticket: Ticket,
        /// The call.
        call: ProxiedCall,
    },
    /// The answer to [`PeerMessage::Carry`].
    Carried {
        /// Ticket of the call.
        ticket: Ticket,
        /// The answer.
        answer: WorkerAnswer,
    },
    /// A committed batch of the ledger.
    Committed {
        /// Epoch of the leader.
        epoch: u64,
        /// Number of the batch.
        sequence: u64,
        /// The encoded batch.
        #[serde(with = "serde_bytes")]
        batch: Vec<u8>,
        /// Standbys that get the batch next: the receiver forwards it to the first, with the others as the
        /// remaining list.
        onward: Vec<PeerAddress>,
    },
    /// The leader's measurements, so that a successor can continue with them.
    Measured {
        /// Workers, each with the logarithm of how much longer tasks take there than on other workers.
        workers: Vec<(WorkerId, f64)>,
        /// Queues, each with the logarithm of the ratio of measured to estimated run times.
        queues: Vec<(String, f64)>,
        /// Run times by image and queue, and the speed of groups of workers.
        #[serde(default)]
        model: MeasuredModel,
    },
    /// The receiver is to take over leadership from the sender.
    TakeOver {
        /// Epoch in which the sender leads, or led until now.
        epoch: u64,
        /// Whether the sender has stepped down; otherwise it leads until the receiver's claim is applied.
        over: bool,
    },
    /// Requests a newer configuration: the table does not answer the sender, and the receiver may have a
    /// newer one.
    TableWanted {
        /// Version of the sender's configuration.
        version: u64,
    },
    /// Offers the sender's newer configuration, in answer to [`PeerMessage::TableWanted`].
    TableOffer {
        /// Version of the offered configuration.
        version: u64,
        /// Size of the offered configuration, in bytes.
        bytes: u64,
    },
    /// Accepts the configuration of a [`PeerMessage::TableOffer`].
    TableTaken,
    /// Withdraws a [`PeerMessage::TableOffer`] after the peer has accepted it, because the sender is sending
    /// a copy to another peer.
    TableRefused,
    /// The configuration, sent to a peer that accepted the offer.
    Table {
        /// The configuration in the operator's format, with digests in place of keys.
        #[serde(with = "serde_bytes")]
        raw: Vec<u8>,
    },
}

/// Messages that are sent together.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerBatch {
    /// Address of the sender.
    pub from: PeerAddress,
    /// The messages.
    pub messages: Vec<PeerMessage>,
}
