//! What is kept: events, batches of them, and the state that they add up to.

mod crash_count;
mod event;
mod job_book;
mod step_record;

pub use crash_count::{CrashCount, CrashEnd, CrashEvidence, CrashWeight};
pub use event::{EndKind, LedgerBatch, LedgerEvent};
pub use job_book::{JobBook, JobOutcome, JobRecord, RepetitionRecord};
pub use step_record::{StepRecord, TaskPhase, TaskRecord};
