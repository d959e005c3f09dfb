//! Checks of what happened in a run, made from the outside.

mod history_check;
mod ledger_check;
mod run_check;

pub use history_check::{HistoryCheck, HistoryFinding};
pub use ledger_check::{check_ledgers, read_ledgers, LedgerView};
pub use run_check::check_runs;
