//! The `dev` command: a small cell or site in one process, with stand-ins for the platform.

mod dev_cell;
mod dev_report;
mod dev_site;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub use dev_cell::{DevCell, DevPlan};

use crate::command::{CommandFailure, FailureKind, JobFile};

/// How long to wait for the cell to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks for a signal.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the `dev` command until SIGTERM or SIGINT, or until the submitted jobs have finished.
pub(crate) fn run(options: &crate::command::DevOptions) -> Result<ExitCode, CommandFailure> {
    let level = options.log.parse().map_err(|_| {
        let text = "--log: expected error, warn, info, debug or trace";
        CommandFailure::new(FailureKind::BadInput, text)
    })?;
    crate::logging::set_level(level);
    if options.site {
        return dev_site::run(options);
    }
    let jobs = match &options.submit {
        Some(file) => JobFile::load(file)?.jobs,
        None => Vec::new(),
    };
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| CommandFailure::new(FailureKind::BadInput, error.to_string()))?;
    let plan = DevPlan {
        entries: options.entries,
        workers: options.workers,
        teams: jobs.iter().map(|job| job.team.clone()).collect(),
    };
    let begun = Instant::now();
    let cell = DevCell::start(&plan)?;
    cell.write_client_file()?;
    cell.wait_until_ready(READY_TIMEOUT)?;
    eprintln!(
        "dev: {} entry instances and {} workers are ready after {} ms",
        options.entries,
        options.workers,
        begun.elapsed().as_millis()
    );
    if options.submit.is_some() {
        return dev_report::run_jobs(&cell, &jobs);
    }
    eprintln!("dev: callers: {}", cell.entry_urls().join(" "));
    eprintln!("dev: platform stand-in: {}", cell.platform_url());
    eprintln!("dev: try `bankvalve worker list` in another shell; Ctrl-C ends");
    while signals.pending().next().is_none() {
        std::thread::sleep(POLL_INTERVAL);
    }
    cell.stop();
    Ok(ExitCode::SUCCESS)
}
