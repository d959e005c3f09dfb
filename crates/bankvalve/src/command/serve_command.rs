//! The `serve` command, and the commands that contact no cell.

use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

use bankvalve_queue::DecisionLine;
use bpaf::{Args, ParseFailure};
use error_stack::Report;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::options::command_line;
use super::render::print_line;
use super::{CommandFailure, FailureKind};
use crate::entry::{DecisionLog, EntryProcess, LineLevel};
use crate::serve::{InstanceListeners, InstanceProcess, ServeFailure};
use crate::settings::{ServeSettings, SiteSettings, DEFAULT_SETTINGS};

fn read(file: &str) -> Result<String, CommandFailure> {
    std::fs::read_to_string(file).map_err(|error| CommandFailure::file(file, error))
}

fn load(file: &str) -> Result<ServeSettings, CommandFailure> {
    let text = read(file)?;
    ServeSettings::parse(&text).map_err(|problem| CommandFailure::file(file, problem))
}

/// Reads site settings, or returns `None` if the file has settings of another kind.
fn load_site(file: &str) -> Result<Option<SiteSettings>, CommandFailure> {
    let text = read(file)?;
    if !SiteSettings::is_meant(&text) {
        return Ok(None);
    }
    let settings = SiteSettings::parse(&text);
    settings
        .map(Some)
        .map_err(|problem| CommandFailure::file(file, problem))
}

/// Runs an entry instance at a site until SIGTERM or SIGINT.
///
/// Writes the reason of a failed start to the decision log as well.
fn serve_site(file: &str, text: &str) -> Result<ExitCode, CommandFailure> {
    let (log, _) = DecisionLog::start().map_err(bad_input)?;
    let outcome = run_site(file, text, &log);
    if let Err(failure) = &outcome {
        log.note(
            LineLevel::Error,
            process_line("start_failed", failure.text.clone()),
        );
    }
    log.flush();
    outcome
}

fn run_site(file: &str, text: &str, log: &DecisionLog) -> Result<ExitCode, CommandFailure> {
    let settings = SiteSettings::parse(text);
    let settings = settings.map_err(|problem| CommandFailure::file(file, problem))?;
    let level = settings.log_level().unwrap_or(log::LevelFilter::Info);
    crate::logging::set_level(level);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(bad_input)?;
    let stop_requested = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone()).map_err(bad_input)?;
    }
    let port = bankvalve_platform::port();
    let process = match EntryProcess::start(&settings, port, log, &stop_requested) {
        Ok(process) => process,
        Err(report) if *report.current_context() == ServeFailure::Stopped => {
            log.note(LineLevel::Info, process_line("stopped", one_line(&report)));
            return Ok(ExitCode::SUCCESS);
        }
        Err(report) => return Err(bad_input(one_line(&report))),
    };
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match load_site(file) {
            Ok(Some(settings)) => process.reload(&settings),
            Ok(None) => log::error!("settings: {file}: expected the settings of a site"),
            Err(failure) => log::error!("settings: reload failed, old settings kept: {failure}"),
        }
    }
    process.stop();
    Ok(ExitCode::SUCCESS)
}

fn process_line(event: &'static str, detail: String) -> DecisionLine {
    DecisionLine {
        part: "process",
        event,
        id: String::new(),
        detail,
    }
}

fn bad_input(problem: impl std::fmt::Display) -> CommandFailure {
    CommandFailure::new(FailureKind::BadInput, problem.to_string())
}

/// Formats the failed step, its causes and the texts attached to them as one line.
fn one_line(report: &Report<ServeFailure>) -> String {
    let attached = report
        .frames()
        .filter_map(|frame| frame.downcast_ref::<String>());
    let attached = attached.map(|text| format!(" ({text})"));
    format!("{report:#}{}", attached.collect::<String>())
}

/// Runs an entry instance until SIGTERM, SIGINT or a drain by an operator, then performs a planned stop.
pub(super) fn serve(file: &str) -> Result<ExitCode, CommandFailure> {
    let text = read(file)?;
    if SiteSettings::is_meant(&text) {
        return serve_site(file, &text);
    }
    let settings = load(file)?;
    let level = settings.log_level().unwrap_or(log::LevelFilter::Info);
    crate::logging::set_level(level);
    let failed = |report: &dyn std::fmt::Debug| {
        CommandFailure::new(FailureKind::BadInput, format!("{report:?}"))
    };
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| CommandFailure::new(FailureKind::BadInput, error.to_string()))?;
    let listeners = InstanceListeners::bind(&settings).map_err(|report| failed(&report))?;
    let settings = listeners
        .bound_settings(&settings)
        .map_err(|report| failed(&report))?;
    let process = InstanceProcess::start(&settings, listeners).map_err(|report| failed(&report))?;
    let core = process.core().clone();
    while signals.pending().next().is_none() && !core.is_stopped() {
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    Ok(if process.stop() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Validates a settings file without starting an instance.
pub(super) fn check_settings(file: &str) -> Result<ExitCode, CommandFailure> {
    let name = match load_site(file)? {
        Some(site) => site.site.name,
        None => load(file)?.instance.name,
    };
    print_line(format!("{file}: settings of {name} are well formed"));
    Ok(ExitCode::SUCCESS)
}

/// Prints the JSON schema of the settings.
pub(super) fn print_schema() -> Result<ExitCode, CommandFailure> {
    let schema = schemars::schema_for!(ServeSettings);
    print_line(serde_json::to_string_pretty(&schema).unwrap_or_default());
    Ok(ExitCode::SUCCESS)
}

/// Prints the commented default settings.
pub(super) fn print_default() -> Result<ExitCode, CommandFailure> {
    print_line(DEFAULT_SETTINGS.trim_end());
    Ok(ExitCode::SUCCESS)
}

/// Prints a completion script.
pub(super) fn completions(shell: &str) -> Result<ExitCode, CommandFailure> {
    let flag: &'static [&'static str] = match shell {
        "bash" => &["--bpaf-complete-style-bash"],
        "zsh" => &["--bpaf-complete-style-zsh"],
        "fish" => &["--bpaf-complete-style-fish"],
        "elvish" => &["--bpaf-complete-style-elvish"],
        _ => {
            let text = format!("SHELL: expected bash, zsh, fish or elvish, found {shell}");
            return Err(CommandFailure::new(FailureKind::BadInput, text));
        }
    };
    let args = Args::from(flag).set_name("bankvalve");
    match command_line().run_inner(args) {
        Err(ParseFailure::Completion(text)) => print_line(text.trim_end()),
        Err(ParseFailure::Stdout(text, _)) => print_line(text.monochrome(true).trim_end()),
        _ => {
            let text = format!("completions for {shell} are not available");
            return Err(CommandFailure::new(FailureKind::NotRun, text));
        }
    }
    Ok(ExitCode::SUCCESS)
}
