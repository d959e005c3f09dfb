//! The command line of the checks.

use std::process::ExitCode;

use bankvalve_cell::owner::GuardName;
use bankvalve_queue::{PolicySwitch, SiteGuard};
use bpaf::Bpaf;

use crate::growth::run_growth;
use crate::measure::{run_decisions, run_measure};
use crate::random::run_random;
use crate::site::{
    print_site_log, run_fleet, run_hard_load, run_lasting, run_site_costs, run_site_random,
    HardLoadPlan, SiteBurden,
};
use crate::slopes::run_slopes;
use crate::trace::run_trace;

/// Checks and measures bankvalve's decisions
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum CheckCommand {
    /// Runs the decisions under random faults and checks the history
    #[bpaf(command)]
    Random {
        /// Seed; the same seed repeats exactly
        #[bpaf(argument("S"), fallback(1))]
        seed: u64,
        /// Events that are to happen at least
        #[bpaf(argument("N"), fallback(200_000))]
        events: u64,
        /// Take a guard away and expect to fail; `list` names the guards
        #[bpaf(long("break"), argument("NAME"), optional)]
        guard: Option<String>,
    },
    /// Runs entry instances on the users' platform under random troubles and checks its rules
    #[bpaf(command)]
    Site {
        /// First seed; the same seed repeats exactly
        #[bpaf(argument("S"), fallback(1))]
        seed: u64,
        /// Events that are to happen at least
        #[bpaf(argument("N"), fallback(1_000_000))]
        events: u64,
        /// Take a guard away and expect to fail; `list` names the guards
        #[bpaf(long("break"), argument("NAME"), optional)]
        guard: Option<String>,
        /// What burdens the site: usual (nothing), carried, hubs, processor, link, crashes, losses, storms,
        /// restarts, late-restarts, customers or evacuations
        #[bpaf(argument("NAME"), fallback("usual".into()))]
        burden: String,
        /// Run the first seed alone and print the decision lines that contain this text (a job, a task, a
        /// worker; all lines if it is empty)
        #[bpaf(argument("TEXT"), optional)]
        log: Option<String>,
    },
    /// Measures how long tasks that last are away when their worker and the leader are lost
    #[bpaf(command)]
    Lasting {
        /// Seeds for each pair of losses
        #[bpaf(argument("N"), fallback(1))]
        seeds: u64,
        /// Milliseconds from one distance between the two losses to the next
        #[bpaf(argument("MS"), fallback(1_000))]
        step: u64,
    },
    /// Measures what a leader's decisions cost under the load of a large fleet
    #[bpaf(command)]
    Costs {
        /// Workers; the load goes with them
        #[bpaf(argument("N"), fallback(1_100))]
        workers: usize,
        /// Seconds of virtual time
        #[bpaf(argument("S"), fallback(5))]
        seconds: u64,
        /// Times the usual load
        #[bpaf(argument("X"), fallback(1.0))]
        load: f64,
    },
    /// Measures calls to the table, and the time until tasks start, at the size of a fleet
    #[bpaf(command)]
    Fleet {
        /// Entry instances
        #[bpaf(argument("N"), fallback(588))]
        instances: usize,
        /// Workers
        #[bpaf(argument("N"), fallback(6_000))]
        workers: usize,
    },
    /// Plays urgent work, gangs and batches with a burst, and counts what becomes of the jobs by kind
    #[bpaf(command("hard-load"))]
    HardLoad {
        /// First seed; the same seed repeats exactly
        #[bpaf(argument("S"), fallback(1))]
        seed: u64,
        /// Number of seeds
        #[bpaf(argument("N"), fallback(3))]
        seeds: u64,
        /// Load in the burst, as a multiple of the usual load
        #[bpaf(argument("X"), fallback(1.8))]
        burst: f64,
        /// Turn a policy off; `list` names the policies
        #[bpaf(argument("NAME"), optional)]
        without: Option<String>,
        /// Workers; the load goes with them
        #[bpaf(argument("N"), fallback(250))]
        workers: usize,
        /// The workers of one failure domain run at 0.55 of the usual speed
        slow_domain: bool,
    },
    /// Reads the decision logs of a run and tells where the time of jobs goes
    #[bpaf(command)]
    Trace {
        /// File to draw the medians to, as SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<String>,
        /// Logs, of as many instances as there are
        #[bpaf(positional("FILE"), many)]
        files: Vec<String>,
    },
    /// Measures waiting, packing and control cost under virtual time, beside baselines
    #[bpaf(command)]
    Measure {
        /// Seed; the same seed gives the same load
        #[bpaf(argument("S"), fallback(1))]
        seed: u64,
        /// sunshare, logcloud or target
        #[bpaf(argument("NAME"))]
        profile: String,
    },
    /// Shows how the busiest instance's cost grows, from the table that a run at several sizes printed
    #[bpaf(command)]
    Growth {
        /// File to draw it to, as SVG
        #[bpaf(argument("FILE"), optional)]
        plot: Option<String>,
        /// The run's output
        #[bpaf(positional("FILE"))]
        file: String,
    },
    /// Measures the time of single decisions at growing sizes
    #[bpaf(command)]
    Decide,
    /// Measures control cost at four sizes of each quantity; writes CSV and plots
    #[bpaf(command)]
    Slopes {
        /// Folder to write to
        #[bpaf(argument("FOLDER"), fallback("docs/capacity".into()))]
        folder: String,
    },
}

/// Runs the command line of this process.
pub fn run() -> ExitCode {
    match check_command().run() {
        CheckCommand::Random {
            seed,
            events,
            guard,
        } => random(seed, events, guard.as_deref()),
        CheckCommand::Site {
            seed,
            events,
            guard,
            burden,
            log,
        } => site(seed, events, guard.as_deref(), &burden, log.as_deref()),
        CheckCommand::Lasting { seeds, step } => run_lasting(seeds, step),
        CheckCommand::Costs {
            workers,
            seconds,
            load,
        } => run_site_costs(workers, seconds, load),
        CheckCommand::Fleet { instances, workers } => run_fleet(instances, workers),
        CheckCommand::HardLoad {
            seed,
            seeds,
            burst,
            without,
            workers,
            slow_domain,
        } => {
            let plan = HardLoadPlan {
                burst,
                workers,
                slow_domain,
                ..HardLoadPlan::usual(seed)
            };
            hard_load(plan, seeds, without.as_deref())
        }
        CheckCommand::Trace { files, plot } => run_trace(&files, plot.as_deref()),
        CheckCommand::Measure { seed, profile } => run_measure(&profile, seed),
        CheckCommand::Growth { file, plot } => run_growth(&file, plot.as_deref()),
        CheckCommand::Decide => run_decisions(),
        CheckCommand::Slopes { folder } => run_slopes(&folder),
    }
}

fn random(seed: u64, events: u64, guard: Option<&str>) -> ExitCode {
    let names = GuardName::ALL.iter().map(|guard| (guard.as_str(), *guard));
    match guard_named(guard, names) {
        Ok(guard) => run_random(seed, events, guard),
        Err(code) => code,
    }
}

fn site(seed: u64, events: u64, guard: Option<&str>, burden: &str, log: Option<&str>) -> ExitCode {
    let mut burdens = SiteBurden::ALL.into_iter();
    let Some(burden) = burdens.find(|known| known.as_str() == burden) else {
        let known = SiteBurden::ALL.map(SiteBurden::as_str).join(", ");
        eprintln!("error: --burden: expected one of {known}, found {burden}");
        return ExitCode::from(2);
    };
    let names = SiteGuard::ALL.map(|guard| (guard.as_str(), guard));
    match guard_named(guard, names.into_iter()) {
        Ok(guard) => match log {
            Some(text) => print_site_log(seed, guard, burden, text),
            None => run_site_random(seed, events, guard, burden),
        },
        Err(code) => code,
    }
}

fn hard_load(plan: HardLoadPlan, seeds: u64, without: Option<&str>) -> ExitCode {
    let names = PolicySwitch::ALL.map(|policy| (format!("{policy:?}"), policy));
    let names = names.iter().map(|(name, policy)| (name.as_str(), *policy));
    match named("--without", without, names) {
        Ok(without) => run_hard_load(HardLoadPlan { without, ..plan }, seeds),
        Err(code) => code,
    }
}

/// The guard that is to be taken away.
fn guard_named<'a, Guard>(
    name: Option<&str>,
    guards: impl Iterator<Item = (&'a str, Guard)>,
) -> Result<Option<Guard>, ExitCode> {
    named("--break", name, guards)
}

/// What an option names; `list` prints the names and ends the command.
fn named<'a, Named>(
    option: &str,
    name: Option<&str>,
    mut all: impl Iterator<Item = (&'a str, Named)>,
) -> Result<Option<Named>, ExitCode> {
    let Some(name) = name else {
        return Ok(None);
    };
    if name == "list" {
        all.for_each(|(known, _)| println!("{known}"));
        return Err(ExitCode::SUCCESS);
    }
    match all.find(|(known, _)| *known == name) {
        Some((_, found)) => Ok(Some(found)),
        None => {
            eprintln!("error: {option}: expected a name that {option} list prints, found {name}");
            Err(ExitCode::from(2))
        }
    }
}
