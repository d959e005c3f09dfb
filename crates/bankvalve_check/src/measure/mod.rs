//! Measurements of waiting, packing and control cost, beside baselines.

mod decision_time;
mod measure_command;
mod measure_profile;
mod measure_run;

pub use decision_time::{measure_decisions, DecisionTimes};
pub use measure_command::{run_decisions, run_measure};
pub use measure_profile::MeasureProfile;
pub use measure_run::{run_measurement, MeasureReport};
