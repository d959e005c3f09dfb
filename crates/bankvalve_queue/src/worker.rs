//! Calls to workers, requests to the policy service, and the answers to both.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{ConnectionId, CoreTime, RunId, StepKey, TaskKey, WallMillis, WorkerId};
use crate::job::TaskSize;

/// Start time of a worker's process, in Unix milliseconds on the worker's wall clock.
///
/// Distinguishes incarnations of a worker that have the same id. It does not show which of two incarnations
/// is newer: wall clocks can be set back, so a later incarnation may have an earlier start time.
///
/// # Examples
///
/// ```
/// use bankvalve_queue::ProcessStart;
///
/// assert_ne!(ProcessStart(1_767_823_612_823), ProcessStart(1_767_823_612_824));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart(pub WallMillis);

/// Entry that a worker writes about itself in the platform's table.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Service whose tasks it runs.
    pub service: String,
    /// Address at which it listens, as IP and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Labels, such as its kind and its rack.
    pub labels: Vec<String>,
    /// Total capacity, used or free.
    pub room: TaskSize,
    /// Whether the worker is leaving and must get no new runs.
    pub leaving: bool,
    /// Minimum time left until it leaves, in milliseconds; `None` if it reports none.
    pub remaining_ms: Option<u64>,
    /// Start of the process that wrote the entry, if the entry contains it.
    pub started: Option<ProcessStart>,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Job that the task belongs to; its payload is sent with the order.
    pub job: std::sync::Arc<crate::job::JobSpec>,
    /// Saved progress from which the run continues; empty if there is none.
    pub saved: String,
    /// Permit of the policy service, if the step needs one.
    pub permit: Option<String>,
    /// Deadline on the worker's clock, in milliseconds. The worker refuses the start from then on, and the
    /// order renews the worker's lease until then.
    pub until_ms: u64,
    /// Start of the process to whose clock the deadline refers. The order is sent only on a connection on which
    /// that process has answered. `None` if the worker does not report its start.
    pub process: Option<ProcessStart>,
}

/// Timeout for opening a connection to a worker and for the answer to the first poll on it, which identifies the
/// process there.
pub const IDENTIFICATION_TIMEOUT: Duration = Duration::from_millis(600);

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Starts a run.
    Start(Box<StartOrder>),
    /// Stops a run.
    Stop {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
    },
    /// Renews the lease and requests the run lists.
    Hold {
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves the lease as it is. Only for a
        /// call that is bound to a connection, because another process has another clock.
        until_ms: Option<u64>,
        /// Number of the last ended run that is committed to the ledger; the worker may forget ends up to it.
        /// Only for a call that is bound to a connection, because another process has other numbers.
        kept: u64,
        /// The only connection on which the call may be sent; if it has closed, the call is not sent. `None`
        /// allows any connection.
        connection: Option<ConnectionId>,
        /// Time for which the worker may delay its answer until a run ends, in milliseconds.
        wait_ms: u64,
    },
    /// Limits a run to a share of its full pace.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Share, in percent.
        percent: u8,
    },
}

impl WorkerCall {
    /// Returns a poll that any process may receive: it renews no lease and acknowledges no end.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::WorkerCall;
    ///
    /// let poll = WorkerCall::identification();
    /// assert!(matches!(poll, WorkerCall::Hold { until_ms: None, kept: 0, .. }));
    /// ```
    pub fn identification() -> Self {
        WorkerCall::Hold {
            until_ms: None,
            kept: 0,
            connection: None,
            wait_ms: 0,
        }
    }
}

/// Why a worker refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// The worker has received a higher fencing token.
    Fenced,
    /// The number of the run is not higher than that of a run of the task that the worker has, or that was
    /// stopped or has ended there.
    Old,
    /// The order's deadline has passed on the worker's clock.
    Late,
    /// The worker's free capacity is too small.
    Room,
    /// The permit is not valid.
    Permit,
    /// The worker considers the order malformed.
    Malformed,
}

impl StartRefusal {
    /// Returns the name in logs and counters.
    pub fn as_str(self) -> &'static str {
        match self {
            StartRefusal::Fenced => "fenced",
            StartRefusal::Old => "old",
            StartRefusal::Late => "late",
            StartRefusal::Room => "room",
            StartRefusal::Permit => "permit",
            StartRefusal::Malformed => "malformed",
        }
    }
}

/// A running run in a worker's run lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Progress that was saved last; empty if there is none.
    pub saved: String,
    /// Share of its work that is done, in percent.
    pub percent: u32,
    /// Tail latency of its answers in milliseconds, or its CPU use in millicores.
    pub figure: Option<u64>,
}

/// An ended run in a worker's run lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Number of the end, as counted by the worker's process.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: crate::ledger::EndKind,
    /// Saved progress; empty if there is none.
    pub saved: String,
}

/// A worker's run lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// Runs that are running.
    pub running: Vec<RunReport>,
    /// Ended runs whose ends the leader has not acknowledged as committed.
    pub ended: Vec<EndReport>,
    /// Start of the process that sent the lists, if the worker reports it.
    pub started: Option<ProcessStart>,
    /// Connection on which the lists arrived. It closes when that process ends.
    pub connection: Option<ConnectionId>,
}

/// Outcome of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerAnswer {
    /// The worker carried out the call.
    Done {
        /// Reading of the worker's clock, in milliseconds.
        clock_ms: Option<u64>,
        /// The run lists, in the answer to [`WorkerCall::Hold`].
        report: Option<HoldReport>,
    },
    /// The worker refused the call, which had no effect on runs.
    Refused {
        /// Reading of the worker's clock, in milliseconds.
        clock_ms: Option<u64>,
        /// Why it refused.
        reason: StartRefusal,
    },
    /// Another process of the worker answered: the one that the call was for has ended.
    OtherLife,
    /// The worker did not carry out the call, because it is unhealthy or too busy.
    Unwell,
    /// The call was not sent: the worker's port refused the connection, so no process listens there.
    PortRefused,
    /// The call was not sent: no connection could be opened, in time or at all, or the only connection on
    /// which it may be sent has closed. Calls to a worker that does not respond end like this, too.
    NotSent,
    /// No answer arrived. The worker may have carried out the call, or may still do so.
    NoReply,
}

/// A request to the policy service: which workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Workers that the service is to check.
    pub workers: Vec<WorkerId>,
    /// Timeout for the answer.
    pub time: CoreTime,
}

/// Outcome of an [`AdviceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceAnswer {
    /// The workers that may run the step.
    Good {
        /// Workers, each with its permit.
        permits: Vec<(WorkerId, String)>,
        /// Time for which the permits are valid, in milliseconds.
        valid_ms: u64,
    },
    /// The service has too many open requests.
    Busy,
    /// No answer arrived.
    NoReply,
}

impl AdviceAnswer {
    /// Returns the log text on the answer to a request about a number of workers.
    pub(crate) fn result_text(&self, asked: usize) -> String {
        match self {
            Self::Good { permits, .. } => {
                format!("{} of {asked} workers may run it", permits.len())
            }
            other => format!("{other:?}"),
        }
    }
}
