//! What is said to workers and to the policy service, and their answers.

use serde::{Deserialize, Serialize};

use crate::ids::{ConnectionId, CoreTime, RunId, StepKey, TaskKey, WallMillis, WorkerId};
use crate::job::TaskSize;

/// When a worker's process started, in Unix milliseconds by its own time of day.
///
/// It tells the incarnations of a worker apart, which may bear one id. Time of day may step back, so that
/// a later incarnation may have a smaller one: which of two is newer does not follow from it.
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

/// A worker's own account of itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerEntry {
    /// Service whose tasks it runs.
    pub service: String,
    /// Where it listens, as IP and port.
    pub address: String,
    /// Failure domain.
    pub domain: String,
    /// Labels: its kind, its rack.
    pub labels: Vec<String>,
    /// Room in all.
    pub room: TaskSize,
    /// It leaves and is to get nothing new.
    pub leaving: bool,
    /// Least time left before it leaves, in milliseconds.
    pub remaining_ms: Option<u64>,
    /// Start of the process that wrote it, if it says so.
    pub started: Option<ProcessStart>,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Job that the task belongs to; its payload goes with the order.
    pub job: std::sync::Arc<crate::job::JobSpec>,
    /// Progress to go on from; empty for none.
    pub saved: String,
    /// Permit of the policy service.
    pub permit: Option<String>,
    /// Reading of the worker's clock after which the order is void and until which all is held.
    pub until_ms: u64,
}

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
    /// Prolongs the hold and asks for the lists.
    Hold {
        /// Reading of the worker's clock until which all is held.
        until_ms: Option<u64>,
        /// Number of the last end that is kept and may be forgotten.
        kept: u64,
        /// The only connection that it may go on; it is not sent if that has ended. Whichever if none.
        connection: Option<ConnectionId>,
        /// Time to wait for an end, in milliseconds.
        wait_ms: u64,
    },
    /// Lets a run work at a share.
    Pace {
        /// The task.
        task: TaskKey,
        /// The run.
        run: RunId,
        /// Share in percent.
        percent: u8,
    },
}

/// Why a worker started nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StartRefusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// The run is not above one that was stopped or ended there.
    Old,
    /// The order is void by the worker's clock.
    Late,
    /// It has no room.
    Room,
    /// The permit does not hold.
    Permit,
    /// It took the order for malformed.
    Malformed,
}

impl StartRefusal {
    /// Word for logs and counters.
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

/// A run that a worker has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// Progress saved last; empty for none.
    pub saved: String,
    /// How much of its work is done, in percent.
    pub percent: u32,
    /// Tail of its answers' times in milliseconds, or millicores in use.
    pub figure: Option<u64>,
}

/// A run that ended on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndReport {
    /// Number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub how: crate::ledger::EndKind,
    /// Progress saved; empty for none.
    pub saved: String,
}

/// What a worker holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldReport {
    /// Runs that it has.
    pub running: Vec<RunReport>,
    /// Ends that it has not been told to forget.
    pub ended: Vec<EndReport>,
    /// Start of the process whose lists these are, if it says so.
    pub started: Option<ProcessStart>,
    /// Connection on which they came. It ends with that process.
    pub connection: Option<ConnectionId>,
}

/// What became of a call to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerAnswer {
    /// Done; the worker's clock and, for a hold, its lists.
    Done {
        /// Reading of the worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// The lists.
        report: Option<HoldReport>,
    },
    /// Not done, and why.
    Refused {
        /// Reading of the worker's clock in milliseconds.
        clock_ms: Option<u64>,
        /// Why.
        reason: StartRefusal,
    },
    /// Another life of the worker answered: the one that was meant is over.
    OtherLife,
    /// Not done: the worker is unwell or too busy.
    Unwell,
    /// Not sent: its port refused the connection, so nothing listens there.
    PortRefused,
    /// Not sent: no connection could be made, in time or at all, or the only one that the call may go on
    /// has ended. A worker that is silent shows so.
    NotSent,
    /// No answer: done, not done, or done later.
    NoReply,
}

/// A question to the policy service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepKey,
    /// Workers asked about.
    pub workers: Vec<WorkerId>,
    /// Longest time to wait for the answer.
    pub time: CoreTime,
}

/// Its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdviceAnswer {
    /// Workers that may run the step, each with its permit.
    Good {
        /// Worker and permit.
        permits: Vec<(WorkerId, String)>,
        /// Time for which the permits hold, in milliseconds.
        valid_ms: u64,
    },
    /// Too many questions wait.
    Busy,
    /// No answer.
    NoReply,
}
