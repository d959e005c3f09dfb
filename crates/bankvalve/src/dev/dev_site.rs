//! A small site in one process: entry instances and a stand-in for the users' platform, over HTTP.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use bankvalve_queue::{JobTerms, QueueRule, QueueTable};
use bankvalve_standin::site::SitePlatform;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use crate::command::{CommandFailure, DevOptions, FailureKind};
use crate::entry::{DecisionLog, EntryProcess};
use crate::settings::{
    LogSettings, SiteBounds, SiteInstance, SiteKeys, SiteLimits, SiteListen,
    SitePlatform as PlatformAddresses, SitePolicies, SiteProcessor, SiteSettings,
};

/// Service that the site's workers run.
const SERVICE: &str = "billing";
/// Name of the site's only queue.
const QUEUE: &str = "lookups";
/// Host name of requests to the queue.
const HOST: &str = "site.example";
/// Path prefix of requests to the queue.
const PREFIX: &str = "/lookups/";
/// CPU capacity of each worker, in thousandths of a core.
const WORKER_MILLICORES: u64 = 4_000;
/// How long to wait for all entry instances to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between two checks while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a small site until SIGTERM or SIGINT.
pub(super) fn run(options: &DevOptions) -> Result<ExitCode, CommandFailure> {
    if options.submit.is_some() {
        let text = "--submit: expected no --site beside it; a site takes jobs over HTTP";
        return Err(CommandFailure::new(FailureKind::BadInput, text));
    }
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| failed(&error))?;
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(any).map_err(|error| failed(&error))?;
    let platform = SitePlatform::start(listener, None).map_err(|error| failed(&error))?;
    for _ in 0..options.workers {
        let added = platform.add_worker(SERVICE, WORKER_MILLICORES);
        added.map_err(|error| failed(&error))?;
    }
    platform.configure(QueueTable::new(1, vec![rule()], BTreeMap::new()));
    let (log, _) = DecisionLog::start().map_err(|error| failed(&error))?;
    let stop_requested = AtomicBool::new(false);
    let mut entries = Vec::new();
    for number in 0..options.entries {
        let settings = settings_of(number, any, platform.address());
        let port = bankvalve_platform::port();
        let entry = EntryProcess::start(&settings, port, &log, &stop_requested);
        entries.push(entry.map_err(|report| failed(&format!("{report:?}")))?);
    }
    wait_until_ready(&entries)?;
    for entry in &entries {
        eprintln!("dev: callers: http://{}{PREFIX}", entry.listen().callers);
        eprintln!("dev: metrics: http://{}/metrics", entry.listen().metrics);
    }
    eprintln!(
        "dev: requests name the host {HOST}; a task's text `work=MS` tells how long it works"
    );
    eprintln!("dev: Ctrl-C ends");
    while signals.pending().next().is_none() {
        std::thread::sleep(POLL_INTERVAL);
    }
    entries.iter().for_each(EntryProcess::stop);
    Ok(ExitCode::SUCCESS)
}

fn failed(error: &dyn std::fmt::Display) -> CommandFailure {
    CommandFailure::new(FailureKind::Unreachable, error.to_string())
}

fn rule() -> QueueRule {
    QueueRule {
        name: QUEUE.into(),
        host: HOST.into(),
        prefix: PREFIX.into(),
        keyed: false,
        terms: JobTerms {
            service: SERVICE.into(),
            priority: 1,
            attempts: 3,
            stretch: 2.0,
            target_ms: 500,
            advice: None,
            ..JobTerms::default()
        },
    }
}

fn settings_of(number: u32, any: SocketAddr, platform: SocketAddr) -> SiteSettings {
    SiteSettings {
        site: SiteInstance {
            name: format!("front-{number}"),
            domain: "local".into(),
        },
        listen: SiteListen {
            callers: any,
            readiness: any,
            peers: any,
            metrics: any,
        },
        platform: PlatformAddresses {
            table: platform,
            policy: None,
            machines: None,
        },
        bounds_ms: SiteBounds {
            hold_limit: 6_000,
            early: 250,
            status: 120_000,
            stop: 4_200,
        },
        processor: SiteProcessor::default(),
        keys: SiteKeys::default(),
        policies: SitePolicies::default(),
        limits: SiteLimits::default(),
        log: LogSettings::default(),
    }
}

fn wait_until_ready(entries: &[EntryProcess]) -> Result<(), CommandFailure> {
    let begun = Instant::now();
    while !entries.iter().all(EntryProcess::is_ready) {
        if begun.elapsed() > READY_TIMEOUT {
            return Err(failed(&"expected all entry instances to be ready in 30 s"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
