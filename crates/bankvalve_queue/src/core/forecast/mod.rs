//! What the leader expects of running work: how long runs take, and which of them are overdue.

pub(in crate::core) mod overdue_runs;
pub(in crate::core) mod run_forecast;
pub(in crate::core) mod run_times;
pub(in crate::core) mod worker_speed;
