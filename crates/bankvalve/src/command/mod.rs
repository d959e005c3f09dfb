//! The command line: one binary for the daemon, callers and operators.

mod api_client;
mod cell_client;
mod client_settings;
mod command_failure;
mod job_commands;
mod job_file;
mod operator_commands;
mod options;
mod render;
mod serve_command;
mod site_commands;

use std::process::ExitCode;

use bpaf::Args;

pub use api_client::ApiClient;
pub use cell_client::InstanceList;
pub use client_settings::{ClientSettings, OperatorSecret};
pub use command_failure::{CommandFailure, FailureKind};
pub use job_file::JobFile;
pub use operator_commands::token_hash;
pub use options::{command_line, CommandLine};
#[cfg(feature = "dev")]
pub(crate) use {
    job_commands::wait_for,
    options::DevOptions,
    render::{print_line, print_rows},
};

use options::{BundleCommand, InstanceCommand, KeyCommand, SettingsCommand, WorkerCommand};

/// Maximum line width of help and parse errors, in characters.
const HELP_WIDTH: usize = 100;

/// Parses the arguments of this process, runs the command and returns the exit code.
pub fn run() -> ExitCode {
    let command = match command_line().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            let asked_for = failure.exit_code() == 0;
            return ExitCode::from(if asked_for { 0 } else { 2 });
        }
    };
    match run_command(command) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_code()
        }
    }
}

fn run_command(command: CommandLine) -> Result<ExitCode, CommandFailure> {
    match command {
        CommandLine::Serve { settings } => serve_command::serve(&settings),
        #[cfg(feature = "dev")]
        CommandLine::Dev(options) => crate::dev::run(&options),
        CommandLine::Submit { client, wait, file } => job_commands::submit(&client, &file, wait),
        CommandLine::Cancel { client, team, job } => job_commands::cancel(&client, &team, &job),
        CommandLine::Status {
            client,
            wait,
            team,
            job,
        } => job_commands::status(&client, &team, job.as_deref(), wait),
        CommandLine::Record { client, team, job } => {
            job_commands::record(&client, &team, job.as_deref())
        }
        CommandLine::Request {
            client,
            once,
            team,
            service,
            body,
        } => job_commands::request(&client, &team, &service, &body, once),
        CommandLine::Worker(WorkerCommand::List { client }) => operator_commands::workers(&client),
        CommandLine::Worker(WorkerCommand::Drain { client, undo, name }) => {
            operator_commands::drain_worker(&client, &name, !undo)
        }
        CommandLine::Instance(InstanceCommand::List { client }) => {
            operator_commands::instances(&client)
        }
        CommandLine::Instance(InstanceCommand::Drain { client, name }) => {
            operator_commands::drain_instance(&client, &name)
        }
        CommandLine::Bundle(BundleCommand::Show { client }) => operator_commands::bundle(&client),
        CommandLine::Bundle(BundleCommand::Check { file }) => {
            operator_commands::check_bundle(&file)
        }
        CommandLine::Bundle(BundleCommand::Accept { client, file }) => {
            operator_commands::accept_bundle(&client, &file)
        }
        CommandLine::Evacuations { metrics } => site_commands::evacuations(&metrics),
        CommandLine::Settings(SettingsCommand::Check { file }) => {
            serve_command::check_settings(&file)
        }
        CommandLine::Settings(SettingsCommand::Schema) => serve_command::print_schema(),
        CommandLine::Settings(SettingsCommand::Default) => serve_command::print_default(),
        CommandLine::Key(KeyCommand::Operator { name }) => operator_commands::new_operator(&name),
        CommandLine::Key(KeyCommand::Token { team }) => operator_commands::new_token(&team),
        CommandLine::LogLevel { client, level } => operator_commands::log_level(&client, &level),
        CommandLine::Completions { shell } => serve_command::completions(&shell),
    }
}
