//! Definition of the command line.
//!
//! The doc comments of the types that derive `Bpaf` are the help texts.

use bpaf::Bpaf;

use super::{ApiClient, ClientSettings, CommandFailure};

/// Explanation of the exit codes in the help.
const EXIT_CODES: &str =
    "Exit codes: 0 done; 1 refused, certainly not done, or a job that failed; \
     2 a file or an argument is not as it must be; 3 not known whether it was done; \
     4 no entry instance could be reached.";

/// Format in which results are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OutputFormat {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            _ => Err("expected table or json".into()),
        }
    }
}

/// How to reach the cell.
#[derive(Clone, Debug, Bpaf)]
pub struct ClientOptions {
    /// File that names the entry instances and holds the keys
    /// [default: what the last `bankvalve dev` wrote]
    #[bpaf(argument("FILE"), env("BANKVALVE_CLIENT"), optional)]
    pub client: Option<String>,
    /// How results are shown: table or json
    #[bpaf(argument("FORMAT"), fallback(OutputFormat::Table))]
    pub output: OutputFormat,
}

impl ClientOptions {
    /// Creates a client from the settings file that the options name.
    pub(super) fn connect(&self) -> Result<ApiClient, CommandFailure> {
        ApiClient::new(ClientSettings::load(self.client.as_deref())?)
    }
}

/// Options of the small cell for development.
#[derive(Clone, Debug, Bpaf)]
pub struct DevOptions {
    /// Entry instances to run
    #[bpaf(argument("N"), fallback(3))]
    pub entries: u32,
    /// Workers to run
    #[bpaf(argument("N"), fallback(12))]
    pub workers: u32,
    /// Run the jobs of a file, print what came of them, and exit
    #[bpaf(argument("FILE"), optional)]
    pub submit: Option<String>,
    /// Run a site on the users' platform in place of a cell of one's own
    pub site: bool,
    /// Log level
    #[bpaf(argument("LEVEL"), fallback("warn".into()))]
    pub log: String,
}

/// Commands for workers.
#[derive(Clone, Debug, Bpaf)]
pub enum WorkerCommand {
    /// List all workers
    #[bpaf(command)]
    List {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
    },
    /// Give a worker no new work and move its services
    #[bpaf(command)]
    Drain {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// Give it work again
        undo: bool,
        /// Name of the worker
        #[bpaf(positional("WORKER"))]
        name: String,
    },
}

/// Commands for entry instances.
#[derive(Clone, Debug, Bpaf)]
pub enum InstanceCommand {
    /// List all entry instances and what they own
    #[bpaf(command)]
    List {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
    },
    /// Stop an entry instance as planned
    #[bpaf(command)]
    Drain {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// Name of the instance
        #[bpaf(positional("INSTANCE"))]
        name: String,
    },
}

/// Commands for bundles.
#[derive(Clone, Debug, Bpaf)]
pub enum BundleCommand {
    /// Show the bundle in force
    #[bpaf(command)]
    Show {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
    },
    /// Check a bundle without a cell
    #[bpaf(command)]
    Check {
        /// File of the bundle, JSON with comments
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Put a bundle in force after the version before it
    #[bpaf(command)]
    Accept {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// File of the bundle, JSON with comments
        #[bpaf(positional("FILE"))]
        file: String,
    },
}

/// Commands for settings.
#[derive(Clone, Debug, Bpaf)]
pub enum SettingsCommand {
    /// Check settings without starting
    #[bpaf(command)]
    Check {
        /// File of the settings, JSON with comments
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Print the JSON schema of the settings
    #[bpaf(command)]
    Schema,
    /// Print the commented default settings
    #[bpaf(command)]
    Default,
}

/// Commands for keys.
#[derive(Clone, Debug, Bpaf)]
pub enum KeyCommand {
    /// Make a key for an operator
    #[bpaf(command)]
    Operator {
        /// Name of the operator
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Make a token for a team's callers
    #[bpaf(command)]
    Token {
        /// Name of the team
        #[bpaf(positional("TEAM"))]
        team: String,
    },
}

#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, footer(EXIT_CODES))]
/// Schedules services, batch runs and gang jobs on the workers of a cell
pub enum CommandLine {
    /// Run an entry instance
    #[bpaf(command)]
    Serve {
        /// File of the settings, JSON with comments
        #[bpaf(argument("FILE"))]
        settings: String,
    },
    #[cfg(feature = "dev")]
    /// Run a small cell with stand-ins for the platform in one process
    #[bpaf(command("dev"))]
    Dev(#[bpaf(external(dev_options))] DevOptions),
    /// Submit the jobs of a file
    #[bpaf(command)]
    Submit {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// Wait until they are over, showing progress
        wait: bool,
        /// File of the jobs, JSON with comments
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Cancel a job
    #[bpaf(command)]
    Cancel {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// The team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// The job
        #[bpaf(positional("JOB"))]
        job: String,
    },
    /// Tell how a team's jobs stand, or the tasks of one
    #[bpaf(command)]
    Status {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// Wait until the job is over, showing progress
        wait: bool,
        /// The team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// The job
        #[bpaf(positional("JOB"))]
        job: Option<String>,
    },
    /// Print the verified record of what ran, when and where
    #[bpaf(command)]
    Record {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// The team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// The job
        #[bpaf(positional("JOB"))]
        job: Option<String>,
    },
    /// Send a request to a service
    #[bpaf(command)]
    Request {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// Never run it a second time, even if it is not known whether it ran
        once: bool,
        /// The team
        #[bpaf(positional("TEAM"))]
        team: String,
        /// The service
        #[bpaf(positional("SERVICE"))]
        service: String,
        /// Body of the request
        #[bpaf(positional("BODY"))]
        body: String,
    },
    /// List and drain workers
    #[bpaf(command("worker"))]
    Worker(#[bpaf(external(worker_command))] WorkerCommand),
    /// List and drain entry instances
    #[bpaf(command("instance"))]
    Instance(#[bpaf(external(instance_command))] InstanceCommand),
    /// Show, check and accept bundles of configuration
    #[bpaf(command("bundle"))]
    Bundle(#[bpaf(external(bundle_command))] BundleCommand),
    /// List the failure domains that an instance of a site knows as evacuated
    #[bpaf(command)]
    Evacuations {
        /// Address at which the instance serves its metrics
        #[bpaf(argument("IP:PORT"))]
        metrics: String,
    },
    /// Check and describe settings
    #[bpaf(command("settings"))]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Make keys
    #[bpaf(command("key"))]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Change the log level of an entry instance
    #[bpaf(command)]
    LogLevel {
        /// How to reach the cell
        #[bpaf(external(client_options))]
        client: ClientOptions,
        /// error, warn, info, debug or trace
        #[bpaf(positional("LEVEL"))]
        level: String,
    },
    /// Print a completion script
    #[bpaf(command)]
    Completions {
        /// bash, zsh, fish or elvish
        #[bpaf(positional("SHELL"))]
        shell: String,
    },
}
