//! Runs the checks and measurements of bankvalve's decisions.

use std::process::ExitCode;

fn main() -> ExitCode {
    bankvalve_check::command::run()
}
