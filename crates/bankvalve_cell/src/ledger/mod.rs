//! The ledger: the ordered events of all jobs, the state that results from them, and their storage format.

mod job_state;
mod ledger_batch;
mod ledger_event;
mod team_ledger;

pub use job_state::{JobPhase, JobState, TaskPhase, TaskState, MAX_FAILED_ATTEMPTS};
pub use ledger_batch::{
    read_batches, verify_chain, BatchWriter, ChainHash, ChainProblem, LedgerBatch, LedgerSnapshot,
    RecordSegment,
};
pub use ledger_event::{LedgerEvent, ReleaseReason};
pub use team_ledger::TeamLedger;
