//! What is kept: events, batches of them, and the state that they add up to.

mod event;
mod job_book;

pub use event::{EndKind, LedgerBatch, LedgerEvent};
pub use job_book::{JobBook, JobOutcome, JobRecord, StepRecord, TaskPhase, TaskRecord, TimeRecord};
