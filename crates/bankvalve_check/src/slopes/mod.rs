//! Control cost against the size of a cell: four sizes of each quantity, with a fit.

mod cost_sample;
mod line_fit;
mod slope_command;
mod slope_plot;

pub use cost_sample::{measure_cost, CostSample, SizeAxis};
pub use line_fit::LineFit;
pub use slope_command::run_slopes;
