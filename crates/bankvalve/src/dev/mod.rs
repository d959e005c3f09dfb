//! A small cell or site in one process: entry instances, stand-ins for the platform, sample runs.

mod dev_cell;
mod dev_report;
mod dev_site;

use std::process::ExitCode;
use std::time::{Duration, Instant};

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

pub use dev_cell::{DevCell, DevPlan};

use crate::command::{CommandFailure, FailureKind, JobFile};

/// Time in which the cell must be ready.
const READY_TIME: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

/// Runs the `dev` command.
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
    cell.wait_until_ready(READY_TIME)?;
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
        std::thread::sleep(LOOK);
    }
    cell.stop();
    Ok(ExitCode::SUCCESS)
}
