//! Where the time of jobs goes, read from the decision logs of a run.

mod job_trace;
mod trace_command;
mod trace_plot;

pub use job_trace::{JobStage, JobTrace, TraceBook};
pub use trace_command::run_trace;
