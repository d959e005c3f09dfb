//! How the cost of control grows with a site, from a table of what a run at each size used.

mod growth_command;
mod growth_plot;
mod growth_table;

pub use growth_command::run_growth;
pub use growth_table::{GrowthRow, GrowthTable};
