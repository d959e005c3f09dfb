//! Runs the bankvalve command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    bankvalve::command::run()
}
