//! The daemon, and commands that need no cell.

use std::process::ExitCode;

use bpaf::{Args, ParseFailure};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::options::command_line;
use super::render::print_line;
use super::{CommandFailure, FailureKind};
use crate::entry::EntryProcess;
use crate::serve::{InstanceListeners, InstanceProcess};
use crate::settings::{ServeSettings, SiteSettings, DEFAULT_SETTINGS};

fn load(file: &str) -> Result<ServeSettings, CommandFailure> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CommandFailure::file(file, error))?;
    ServeSettings::parse(&text).map_err(|problem| CommandFailure::file(file, problem))
}

/// Settings of a site, if the file holds such.
fn load_site(file: &str) -> Result<Option<SiteSettings>, CommandFailure> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CommandFailure::file(file, error))?;
    if !SiteSettings::is_meant(&text) {
        return Ok(None);
    }
    let settings = SiteSettings::parse(&text);
    settings
        .map(Some)
        .map_err(|problem| CommandFailure::file(file, problem))
}

/// Runs an entry instance at a site until SIGTERM or SIGINT.
fn serve_site(file: &str, settings: &SiteSettings) -> Result<ExitCode, CommandFailure> {
    let failed = |report: &dyn std::fmt::Debug| {
        CommandFailure::new(FailureKind::BadInput, format!("{report:?}"))
    };
    let level = settings.log_level().unwrap_or(log::LevelFilter::Info);
    crate::logging::set_level(level);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|error| CommandFailure::new(FailureKind::BadInput, error.to_string()))?;
    let process = EntryProcess::start(settings, bankvalve_platform::port())
        .map_err(|report| failed(&report))?;
    for signal in signals.forever() {
        if signal != SIGHUP {
            break;
        }
        match load_site(file) {
            Ok(Some(settings)) => process.reload(&settings),
            Ok(None) => log::error!("settings: {file}: expected the settings of a site"),
            Err(failure) => log::error!("settings: kept as they were: {failure}"),
        }
    }
    process.stop();
    Ok(ExitCode::SUCCESS)
}

/// Runs an entry instance until SIGTERM or SIGINT, then stops as planned.
pub(super) fn serve(file: &str) -> Result<ExitCode, CommandFailure> {
    if let Some(site) = load_site(file)? {
        return serve_site(file, &site);
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

/// Checks settings without starting.
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
