//! The ledger: its events, batches of events, and the state of all jobs that results from them.

mod crash_count;
mod early_cancels;
mod event;
mod job_book;
mod step_record;

pub use crash_count::{CrashCount, CrashEnd, CrashEvidence, CrashWeight};
pub use event::{EndKind, LedgerBatch, LedgerEvent};
pub use job_book::{JobBook, JobOutcome, JobRecord, RepetitionRecord};
pub use step_record::{StepRecord, TaskPhase, TaskRecord};
