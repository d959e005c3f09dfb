//! Starts and stops the threads of an entry instance.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use bankvalve_cell::instance::{CoreEvent, CoreSettings};
use bankvalve_cell::owner::GuardSet;
use bankvalve_cell::placement::PlacePolicy;
use bankvalve_link::HttpServer;
use error_stack::{Report, ResultExt};
use tokio::sync::mpsc;

use super::core_thread::{unix_millis, CoreThread};
use super::link_thread::{run_links, LinkPlan};
use super::list_thread::poll_list;
use super::record_reader::RecordReader;
use super::{CoreHandle, RequestRouter, ServeFailure};
use crate::api::{AdminApi, CallerApi, PeerApi};
use crate::metrics::InstanceMetrics;
use crate::settings::ServeSettings;

/// Interval at which a planned stop checks whether it is complete.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time for which a stopping instance still accepts requests while `/readyz` reports it as not
/// ready, so that the load balancer stops sending requests to it first.
const MIN_NOT_READY_TIME: Duration = Duration::from_millis(1_500);

/// Listening sockets of an instance.
#[derive(Debug)]
pub struct InstanceListeners {
    /// Listener for callers and operators.
    pub callers: TcpListener,
    /// Listener for other entry instances.
    pub peers: TcpListener,
    /// Listener for metrics and health checks.
    pub admin: TcpListener,
}

impl InstanceListeners {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns `ServeFailure::Listen` with the settings field and the address that could not be bound.
    pub fn bind(settings: &ServeSettings) -> Result<Self, Report<ServeFailure>> {
        let bind = |field: &str, address: SocketAddr| {
            bankvalve_link::listen(address)
                .change_context(ServeFailure::Listen)
                .attach(format!("{field} {address}"))
        };
        Ok(Self {
            callers: bind("listen.callers", settings.listen.callers)?,
            peers: bind("listen.peers", settings.listen.peers)?,
            admin: bind("listen.admin", settings.listen.admin)?,
        })
    }

    /// Returns the settings with the ports that were bound, which differ where the settings have port 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the address of a listener cannot be read.
    pub fn bound_settings(
        &self,
        settings: &ServeSettings,
    ) -> Result<ServeSettings, Report<ServeFailure>> {
        let address =
            |listener: &TcpListener| listener.local_addr().change_context(ServeFailure::Listen);
        let mut bound = settings.clone();
        bound.listen.callers = address(&self.callers)?;
        bound.listen.peers = address(&self.peers)?;
        bound.listen.admin = address(&self.admin)?;
        Ok(bound)
    }
}

/// A running entry instance.
#[derive(Debug)]
pub struct InstanceProcess {
    name: String,
    core: CoreHandle,
    router: RequestRouter,
    metrics: Arc<InstanceMetrics>,
    in_flight: Arc<AtomicU64>,
    stop_time: Duration,
    stop_list: Arc<AtomicBool>,
    callers: Option<HttpServer>,
    peers: Option<HttpServer>,
    admin: Option<HttpServer>,
    threads: Vec<JoinHandle<()>>,
}

impl InstanceProcess {
    /// Starts all threads and HTTP servers of an instance.
    ///
    /// # Errors
    ///
    /// Returns the step that failed.
    pub fn start(
        settings: &ServeSettings,
        listeners: InstanceListeners,
    ) -> Result<Self, Report<ServeFailure>> {
        let keys = settings
            .key_ring()
            .map_err(|(field, expected)| {
                Report::new(ServeFailure::Settings).attach(format!("{field}: {expected}"))
            })
            .map(Arc::new)?;
        let (core, events) = CoreHandle::new(settings.limits.ring);
        let (links, actions) = mpsc::channel(settings.limits.ring);
        let mut threads = Vec::new();
        let core_settings = core_settings(settings);
        let shared = core.shared().clone();
        threads.push(spawn("core", move || {
            CoreThread::new(core_settings, shared, links).run(&events);
        })?);
        let plan = link_plan(settings, keys.peer_signer().clone());
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(ServeFailure::Thread)?;
        let link_core = core.clone();
        threads.push(spawn("links", move || {
            runtime.block_on(run_links(plan, actions, link_core));
        })?);
        let stop_list = Arc::new(AtomicBool::new(false));
        threads.push(spawn_list(settings, &stop_list, &core)?);
        let name = &settings.instance.name;
        let signer = keys.peer_signer().clone();
        let router = RequestRouter::new(core.clone(), signer, name, &settings.instance.domain);
        let in_flight = Arc::new(AtomicU64::new(0));
        let records =
            RecordReader::new(&settings.platform.table_url, &settings.platform.objects_url);
        let metrics = Arc::new(InstanceMetrics::new(name, &core, &router));
        let caller_api = CallerApi::new(
            core.clone(),
            router.clone(),
            keys.clone(),
            records,
            settings.partition_plan(),
            in_flight.clone(),
        );
        let tls = settings.caller_tls().map_err(|(field, expected)| {
            Report::new(ServeFailure::Settings).attach(format!("{field}: {expected}"))
        })?;
        let callers = HttpServer::start_with(
            "callers",
            listeners.callers,
            settings.caller_limits(),
            tls,
            move |request| caller_api.clone().handle(request),
        )
        .change_context(ServeFailure::Thread)?;
        let peer_api = PeerApi::new(core.clone(), router.for_other_runtime(), keys);
        let peers = HttpServer::start(
            "peers",
            listeners.peers,
            settings.peer_limits(),
            move |request| peer_api.clone().handle(request),
        )
        .change_context(ServeFailure::Thread)?;
        metrics.watch_server("callers", callers.counters());
        metrics.watch_server("peers", peers.counters());
        let admin_api = AdminApi::new(core.clone(), metrics.clone());
        let admin = HttpServer::start(
            "admin",
            listeners.admin,
            settings.peer_limits(),
            move |request| admin_api.clone().handle(request),
        )
        .change_context(ServeFailure::Thread)?;
        log::info!(
            "serve: instance {name} listens for callers on {}, peers on {}, admin on {}",
            callers.address(),
            peers.address(),
            admin.address()
        );
        Ok(Self {
            name: name.clone(),
            core,
            router,
            metrics,
            in_flight,
            stop_time: Duration::from_millis(settings.timings_ms.stop),
            stop_list,
            callers: Some(callers),
            peers: Some(peers),
            admin: Some(admin),
            threads,
        })
    }

    /// Returns the name of the instance.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the handle to the core thread.
    pub fn core(&self) -> &CoreHandle {
        &self.core
    }

    /// Returns the router of service requests.
    pub fn router(&self) -> &RequestRouter {
        &self.router
    }

    /// Returns the metrics of the instance.
    pub fn metrics(&self) -> &Arc<InstanceMetrics> {
        &self.metrics
    }

    /// Returns the address on which the instance listens for callers.
    pub fn caller_address(&self) -> Option<SocketAddr> {
        self.callers.as_ref().map(HttpServer::address)
    }

    /// Performs a planned stop: hands over the owned partitions, lets the load balancer see that the instance
    /// is not ready, and waits for the requests in flight.
    ///
    /// Returns whether the handover and all requests finished within the stop time of the settings.
    pub fn stop(mut self) -> bool {
        let begun = Instant::now();
        log::info!("serve: instance {} is stopping", self.name);
        self.core.send_event(CoreEvent::Stop);
        let timed_out = |since: Instant| since.elapsed() >= self.stop_time;
        while !self.core.is_stopped() && !timed_out(begun) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        while begun.elapsed() < MIN_NOT_READY_TIME.min(self.stop_time) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let busy = || self.in_flight.load(Ordering::Acquire) > 0;
        while busy() && !timed_out(begun) {
            thread::sleep(STOP_POLL_INTERVAL);
        }
        let complete = self.core.is_stopped() && !busy();
        log::info!(
            "serve: instance {} stopped after {} ms, {}",
            self.name,
            begun.elapsed().as_millis(),
            if complete {
                "all handed over"
            } else {
                "not all handed over"
            }
        );
        self.end();
        complete
    }

    /// Ends all threads without a handover, as a crash would, except that the HTTP servers are stopped
    /// properly.
    fn end(&mut self) {
        self.stop_list.store(true, Ordering::Release);
        self.core.end();
        self.callers = None;
        self.peers = None;
        self.admin = None;
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        self.end();
    }
}

fn core_settings(settings: &ServeSettings) -> CoreSettings {
    CoreSettings {
        detail: settings.instance_detail(),
        plan: settings.partition_plan(),
        timings: settings.cell_timings(),
        guards: GuardSet::default(),
        policy: PlacePolicy::default(),
        min_incarnation: unix_millis(),
    }
}

fn link_plan(settings: &ServeSettings, signer: bankvalve_link::PeerSigner) -> LinkPlan {
    LinkPlan {
        table_url: settings.platform.table_url.clone(),
        objects_url: settings.platform.objects_url.clone(),
        store_timeout: Duration::from_millis(settings.timings_ms.store_answer),
        worker_timeout: Duration::from_millis(settings.timings_ms.worker_answer),
        signer,
    }
}

fn spawn(
    name: &str,
    body: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, Report<ServeFailure>> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .change_context(ServeFailure::Thread)
        .attach(name.to_owned())
}

fn spawn_list(
    settings: &ServeSettings,
    stop: &Arc<AtomicBool>,
    core: &CoreHandle,
) -> Result<JoinHandle<()>, Report<ServeFailure>> {
    let url = settings.platform.list_url.clone();
    let pause = Duration::from_millis(settings.timings_ms.list_poll);
    let stop = stop.clone();
    let core = core.clone();
    spawn("list", move || poll_list(&url, pause, &stop, &core))
}
