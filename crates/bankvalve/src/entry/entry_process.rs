//! Starts an entry instance's threads and stops them.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bankvalve_link::{HttpServer, ServerLimits};
use bankvalve_queue::{CoreEvent, EntrySettings, PlatformPort};
use error_stack::{Report, ResultExt};
use tokio::sync::mpsc;

use super::core_loop::{unix_millis, CoreLoop, EntryHandle};
use super::decision_log::DecisionLog;
use super::entry_metrics::EntryMetrics;
use super::link_loop::{carry_all, LinkPlan};
use super::listeners::ListenerState;
use crate::serve::ServeFailure;
use crate::settings::SiteSettings;

/// Time for which callers are still taken after a stop began: the platform asks each second
/// whether the instance is ready, and twice before it sends callers elsewhere.
const BALANCER_TIME: Duration = Duration::from_millis(2_300);
/// Time between two looks at whether all callers have their answers.
const LOOK: Duration = Duration::from_millis(20);
/// Time for last bytes to leave.
const LAST_BYTES: Duration = Duration::from_millis(60);
/// Peers that may be connected at once, for each of their few connections.
const PEER_CONNECTIONS: usize = 512;

/// A running entry instance.
#[derive(Debug)]
pub struct EntryProcess {
    state: ListenerState,
    stop_time: Duration,
    _servers: Vec<HttpServer>,
}

impl EntryProcess {
    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// Returns the step that failed.
    pub fn start(
        settings: &SiteSettings,
        port: PlatformPort,
    ) -> Result<Self, Report<ServeFailure>> {
        let ring = settings.limits.ring as usize;
        let (core, inputs) = EntryHandle::new(ring);
        let (links, actions) = mpsc::channel(ring);
        let (log, _) = DecisionLog::start().change_context(ServeFailure::Thread)?;
        let core_loop = CoreLoop::new(core_settings(settings), port, &core, links, log);
        let state = ListenerState {
            metrics: Arc::new(EntryMetrics::new(&core)),
            core: core.clone(),
            port,
            stopping: Arc::new(AtomicBool::new(false)),
            in_flight: Arc::new(AtomicU64::new(0)),
        };
        let servers = start_servers(settings, &state)?;
        let plan = LinkPlan {
            own: settings.listen.peers,
            table: settings.platform.table,
            policy: settings.platform.policy,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(ServeFailure::Thread)?;
        spawn("links", move || {
            runtime.block_on(carry_all(plan, port, core, actions));
        })?;
        spawn("core", move || core_loop.run(&inputs))?;
        Ok(Self {
            state,
            stop_time: Duration::from_millis(settings.bounds_ms.stop),
            _servers: servers,
        })
    }

    /// Takes changed settings that need no new start: the log level.
    pub fn reload(&self, settings: &SiteSettings) {
        if let Ok(level) = settings.log_level() {
            crate::logging::set_level(level);
        }
        log::info!("settings: read again");
    }

    /// Stops as planned: the platform is told, callers get their answers, a peer leads.
    pub fn stop(&self) {
        let begun = Instant::now();
        self.state.stopping.store(true, Ordering::Release);
        self.state.core.give(CoreEvent::Stop);
        loop {
            thread::sleep(LOOK);
            let idle = self.state.in_flight.load(Ordering::Acquire) == 0;
            let handed_over = self.state.core.view().stopped;
            let waited = begun.elapsed();
            if (waited >= BALANCER_TIME && idle && handed_over) || waited >= self.stop_time {
                break;
            }
        }
        self.state.core.end();
        thread::sleep(LAST_BYTES);
    }
}

fn core_settings(settings: &SiteSettings) -> EntrySettings {
    let bounds = &settings.bounds_ms;
    EntrySettings {
        address: settings.listen.peers,
        life: unix_millis(),
        strength: settings.processor.strength(),
        hold_limit: Duration::from_millis(bounds.hold_limit),
        early: Duration::from_millis(bounds.early),
        status_time: Duration::from_millis(bounds.status),
        row_bytes: settings.limits.row_bytes as usize,
        broken: None,
    }
}

fn start_servers(
    settings: &SiteSettings,
    state: &ListenerState,
) -> Result<Vec<HttpServer>, Report<ServeFailure>> {
    let listen = &settings.listen;
    let bind = |field: &str, address: SocketAddr| {
        TcpListener::bind(address)
            .change_context(ServeFailure::Listen)
            .attach(format!("listen.{field} {address}"))
    };
    let limits = ServerLimits {
        connections: settings.limits.caller_connections as usize,
        body_bytes: settings.limits.body_bytes as usize,
        ..ServerLimits::default()
    };
    let peer_limits = ServerLimits {
        connections: PEER_CONNECTIONS,
        body_bytes: 64 << 20,
        ..ServerLimits::default()
    };
    let callers = state.clone();
    let peers = state.clone();
    let readiness = state.clone();
    let metrics = state.clone();
    let servers = [
        HttpServer::start(
            "callers",
            bind("callers", listen.callers)?,
            limits,
            move |request| callers.clone().serve_caller(request),
        ),
        HttpServer::start(
            "peers",
            bind("peers", listen.peers)?,
            peer_limits,
            move |request| std::future::ready(peers.serve_peer(&request)),
        ),
        HttpServer::start(
            "readiness",
            bind("readiness", listen.readiness)?,
            limits,
            move |request| std::future::ready(readiness.serve_readiness(&request)),
        ),
        HttpServer::start(
            "metrics",
            bind("metrics", listen.metrics)?,
            limits,
            move |_| std::future::ready(metrics.serve_metrics()),
        ),
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
