//! Start and stop of an entry instance's threads.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bankvalve_link::{HttpServer, ServerLimits};
use bankvalve_queue::{CoreEvent, DecisionLine, EntrySettings, PlatformPort, PolicySwitch};
use error_stack::{Report, ResultExt};
use tokio::sync::mpsc;

use super::core_loop::{unix_millis, CoreLoop, EntryHandle};
use super::decision_log::{DecisionLog, LineLevel};
use super::entry_listeners::EntryListeners;
use super::entry_metrics::EntryMetrics;
use super::link_loop::{new_client, run_links, LinkAddresses};
use super::listeners::ListenerState;
use crate::serve::ServeFailure;
use crate::settings::{SiteListen, SiteSettings};

/// Policy that is switched off. `None` except in experiments that compare an instance with and without a
/// policy.
const DISABLED_POLICY: Option<PolicySwitch> = None;

/// Minimum time for which callers are still served after a stop begins. The platform checks readiness every
/// second and sends callers elsewhere only after two such checks.
const BALANCER_DELAY: Duration = Duration::from_millis(2_300);
/// Interval at which a stop checks whether all callers have their answers and leadership is handed over.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time in which the last answers are sent before the process ends.
const SEND_GRACE: Duration = Duration::from_millis(60);
/// Maximum number of simultaneous connections from peers: three from each on a site of about 400 instances.
const MAX_PEER_CONNECTIONS: usize = 1_200;

/// Share of the descriptors for connections to others, in percent.
const OUTGOING_PERCENT: u64 = 50;
/// Share of the descriptors for connections of callers, in percent.
const CALLER_PERCENT: u64 = 25;

/// A running entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    listen: SiteListen,
    state: ListenerState,
    stop_time: Duration,
    _servers: Vec<HttpServer>,
}

impl EntryProcess {
    /// Starts an instance and logs where it listens. Retries an address in use until the configured stop
    /// time has passed or `stop_requested` is set.
    ///
    /// # Errors
    ///
    /// Returns the step that failed.
    pub fn start(
        settings: &SiteSettings,
        port: PlatformPort,
        log: &DecisionLog,
        stop_requested: &AtomicBool,
    ) -> Result<Self, Report<ServeFailure>> {
        let listeners = EntryListeners::bind(settings, log, stop_requested)?;
        let listen = listeners.addresses()?;
        let ring = settings.limits.ring as usize;
        let (core, inputs) = EntryHandle::new(ring);
        let (links, actions) = mpsc::channel(ring);
        let own = core_settings(settings, listen.peers);
        let core_loop = CoreLoop::new(own, port, &core, links, log.clone());
        let client = new_client(outgoing_connections(settings));
        let state = ListenerState {
            metrics: Arc::new(EntryMetrics::new(&core, client.connection_counts())),
            core: core.clone(),
            port,
            stopping: Arc::new(AtomicBool::new(false)),
            in_flight: Arc::new(AtomicU64::new(0)),
        };
        let servers = start_servers(settings, listeners, &state)?;
        let link_addresses = LinkAddresses {
            own: listen.peers,
            table: settings.platform.table,
            policy: settings.platform.policy,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(ServeFailure::Thread)?;
        spawn("links", move || {
            runtime.block_on(run_links(client, link_addresses, port, core, actions));
        })?;
        spawn("core", move || core_loop.run(&inputs))?;
        log.note(LineLevel::Info, started_line(&settings.site.name, &listen));
        Ok(Self {
            listen,
            state,
            stop_time: Duration::from_millis(settings.bounds_ms.stop),
            _servers: servers,
        })
    }

    /// Returns the addresses that the instance listens on.
    pub fn listen(&self) -> &SiteListen {
        &self.listen
    }

    /// Returns whether the instance is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.state.core.view().ready
    }

    /// Applies the changed settings that need no restart: the log level.
    pub fn reload(&self, settings: &SiteSettings) {
        if let Ok(level) = settings.log_level() {
            crate::logging::set_level(level);
        }
        log::info!("settings: reloaded");
    }

    /// Stops the instance: reports it as not ready, waits until the open requests are answered and leadership
    /// is handed over to a peer, and ends the threads. Waits no longer than the configured stop time.
    pub fn stop(&self) {
        let begun = Instant::now();
        self.state.stopping.store(true, Ordering::Release);
        self.state.core.enqueue(CoreEvent::Stop);
        loop {
            thread::sleep(STOP_CHECK_INTERVAL);
            let idle = self.state.in_flight.load(Ordering::Acquire) == 0;
            let handed_over = self.state.core.view().stopped;
            let waited = begun.elapsed();
            if (waited >= BALANCER_DELAY && idle && handed_over) || waited >= self.stop_time {
                break;
            }
        }
        self.state.core.end();
        thread::sleep(SEND_GRACE);
    }
}

fn started_line(name: &str, listen: &SiteListen) -> DecisionLine {
    let SiteListen {
        callers,
        readiness,
        peers,
        metrics,
    } = listen;
    DecisionLine {
        part: "process",
        event: "started",
        id: name.to_owned(),
        detail: format!("callers={callers} readiness={readiness} peers={peers} metrics={metrics}"),
    }
}

fn core_settings(settings: &SiteSettings, address: SocketAddr) -> EntrySettings {
    let bounds = &settings.bounds_ms;
    EntrySettings {
        address,
        life: unix_millis(),
        strength: settings.processor.strength(),
        hold_limit: Duration::from_millis(bounds.hold_limit),
        early: Duration::from_millis(bounds.early),
        status_time: Duration::from_millis(bounds.status),
        row_bytes: settings.limits.row_bytes as usize,
        key_age_limit: settings.keys.age_limit(),
        policies: settings.policies.optional(),
        broken: None,
        without: DISABLED_POLICY,
    }
}

/// Returns how many connections to others the instance may open. The remaining descriptors are for files, for
/// callers and for connections that peers open.
fn outgoing_connections(settings: &SiteSettings) -> usize {
    (settings.limits.descriptors * OUTGOING_PERCENT / 100) as usize
}

/// Returns how many connections of callers the instance accepts at the same time.
fn caller_connections(settings: &SiteSettings) -> usize {
    let share = settings.limits.descriptors * CALLER_PERCENT / 100;
    settings.limits.caller_connections.min(share).max(1) as usize
}

fn start_servers(
    settings: &SiteSettings,
    listeners: EntryListeners,
    state: &ListenerState,
) -> Result<Vec<HttpServer>, Report<ServeFailure>> {
    let limits = ServerLimits {
        connections: caller_connections(settings),
        body_bytes: settings.limits.body_bytes as usize,
        skips_abandoned: true,
        ..ServerLimits::default()
    };
    let peer_limits = ServerLimits {
        connections: MAX_PEER_CONNECTIONS,
        body_bytes: 64 << 20,
        ..ServerLimits::default()
    };
    let callers = state.clone();
    let peers = state.clone();
    let readiness = state.clone();
    let metrics = state.clone();
    let servers = [
        HttpServer::start("callers", listeners.callers, limits, move |request| {
            callers.clone().serve_caller(request)
        }),
        HttpServer::start("peers", listeners.peers, peer_limits, move |request| {
            std::future::ready(peers.serve_peer(&request))
        }),
        HttpServer::start("readiness", listeners.readiness, limits, move |request| {
            std::future::ready(readiness.serve_readiness(&request))
        }),
        HttpServer::start("metrics", listeners.metrics, limits, move |_| {
            std::future::ready(metrics.serve_metrics())
        }),
    ];
    servers
        .into_iter()
        .collect::<Result<Vec<_>, _>>()
        .change_context(ServeFailure::Thread)
}

fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> Result<(), Report<ServeFailure>> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder
        .spawn(duty)
        .map(|_| ())
        .change_context(ServeFailure::Thread)
}
