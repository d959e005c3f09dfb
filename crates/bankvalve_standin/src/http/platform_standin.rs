//! HTTP server that simulates the platform.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bankvalve_cell::link::{
    ObjectRequest, StoreOutcome, StoreRequest, TaskKey, TaskOutcome, WorkerExchange,
};
use bankvalve_cell::machine::{ListState, ListedWorker};
use bankvalve_link::{
    decode_message, encode_message, HttpAnswer, HttpRequest, HttpServer, ServerLimits, WIRE_TYPE,
};
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use super::{FaultSettings, StandinPlan};
use crate::model::{ObjectModel, RequestRefusal, TableModel, WorkerModel};

/// Time for which a fault leaves a request without an answer.
const UNANSWERED_TIME: Duration = Duration::from_secs(30);
/// Service time of a request without a `work-ms` header, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 5;
/// Capacity of the token bucket of a rate limit, in seconds of its rate.
const MAX_BURST_SECONDS: f64 = 0.5;
/// Content type of JSON answers.
const JSON: &str = "application/json";

/// Token bucket that limits the requests per second.
#[derive(Debug)]
struct RateCap {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl RateCap {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            tokens: rate * MAX_BURST_SECONDS,
            at: Instant::now(),
        }
    }

    fn try_admit(&mut self) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.at = now;
        self.tokens = (self.tokens + gained).min(self.rate * MAX_BURST_SECONDS);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A run of an attempt, as listed under `/runs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct RunView {
    worker: String,
    key: TaskKey,
    started: u64,
    ended: Option<u64>,
    outcome: Option<TaskOutcome>,
    millicores: u32,
    memory_mib: u32,
}

/// JSON answer of a service to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Worker that served the request.
    pub worker: String,
    /// Task that served the request.
    pub task: TaskKey,
    /// Id of the request, from its `bankvalve-request` header.
    pub id: String,
    /// Body of the request, as text.
    pub echo: String,
}

#[derive(Debug)]
struct PlatformState {
    table: TableModel,
    objects: ObjectModel,
    workers: BTreeMap<String, WorkerModel>,
    listed: BTreeMap<String, ListState>,
    /// Changes to the instance list that are not visible yet, and when each becomes visible.
    pending_changes: VecDeque<(Instant, String, Option<ListState>)>,
    faults: FaultSettings,
    writes: RateCap,
    reads: RateCap,
    rng: Pcg64Mcg,
    served: BTreeMap<String, u32>,
}

struct Platform {
    state: Mutex<PlatformState>,
    started: Instant,
    delay: Duration,
    list_lag: Duration,
}

/// A running stand-in of the platform. Dropping it stops the server.
///
/// Serves `/table`, `/objects`, `/list`, `/workers/…`, `/faults`, `/runs`
/// and `/stats`; docs/PLATFORM.md describes them.
#[derive(Debug)]
pub struct PlatformStandin {
    server: HttpServer,
}

impl PlatformStandin {
    /// Starts a stand-in on a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the server cannot be set up.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::net::TcpListener;
    /// use bankvalve_standin::{PlatformStandin, StandinPlan};
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    /// let plan = StandinPlan::small(&["hobart", "burnie"], 4);
    /// let platform = PlatformStandin::start(listener, &plan, 1).unwrap();
    /// assert!(platform.base_url().starts_with("http://127.0.0.1:"));
    /// ```
    pub fn start(listener: TcpListener, plan: &StandinPlan, seed: u64) -> std::io::Result<Self> {
        let base = format!("http://{}", listener.local_addr()?);
        let workers: BTreeMap<String, WorkerModel> = plan
            .groups
            .iter()
            .flat_map(|group| group.workers(&base))
            .map(|detail| (detail.name.clone(), WorkerModel::new(detail)))
            .collect();
        let listed = workers
            .keys()
            .map(|name| (name.clone(), ListState::Live))
            .collect();
        let state = PlatformState {
            table: TableModel::default(),
            objects: ObjectModel::default(),
            workers,
            listed,
            pending_changes: VecDeque::new(),
            faults: FaultSettings::default(),
            writes: RateCap::new(plan.write_rate),
            reads: RateCap::new(plan.read_rate),
            rng: Pcg64Mcg::seed_from_u64(seed),
            served: BTreeMap::new(),
        };
        let platform = Arc::new(Platform {
            state: Mutex::new(state),
            started: Instant::now(),
            delay: plan.delay,
            list_lag: plan.list_lag,
        });
        let limits = ServerLimits {
            body_bytes: 16 * 1024 * 1024,
            ..ServerLimits::default()
        };
        let server = HttpServer::start("platform", listener, limits, move |request| {
            let platform = platform.clone();
            async move { platform.handle(request).await }
        })?;
        Ok(Self { server })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the base URL of all services.
    pub fn base_url(&self) -> String {
        format!("http://{}", self.server.address())
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    async fn handle(&self, request: HttpRequest) -> HttpAnswer {
        let path = request.path.clone();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["table"]) => self.table(&request).await,
            (&Method::POST, ["objects"]) => self.objects(&request).await,
            (&Method::GET, ["list"]) => self.list().await,
            (&Method::POST, ["workers", name, "exchange"]) => self.exchange(name, &request).await,
            (&Method::POST, ["workers", name, "requests", service]) => {
                self.serve(name, service, &request).await
            }
            (&Method::POST, ["workers", name, "restart"]) => self.restart(name),
            (&Method::POST, ["workers", name, state]) => self.change_list(name, state),
            (&Method::GET, ["faults"]) => json(&self.lock().faults),
            (&Method::POST, ["faults"]) => self.set_faults(&request),
            (&Method::GET, ["runs"]) => self.runs(),
            (&Method::GET, ["served"]) => json(&self.lock().served),
            (&Method::GET, ["stats"]) => self.stats(),
            _ => HttpAnswer::new(404, "text/plain", "no such path"),
        }
    }

    async fn table(&self, request: &HttpRequest) -> HttpAnswer {
        let Some(request) = decode_message::<StoreRequest>(&request.body) else {
            return HttpAnswer::new(400, "text/plain", "expected an encoded table request");
        };
        let delay = self.delay + Duration::from_millis(self.lock().faults.table_delay_ms);
        tokio::time::sleep(delay).await;
        if self.lock().faults.table_outage {
            tokio::time::sleep(UNANSWERED_TIME).await;
            return HttpAnswer::empty(503);
        }
        let (outcome, lost) = self.lock().run_table(&request);
        if lost {
            tokio::time::sleep(UNANSWERED_TIME).await;
        }
        tokio::time::sleep(delay).await;
        HttpAnswer::new(200, WIRE_TYPE, encode_message(&outcome))
    }

    async fn objects(&self, request: &HttpRequest) -> HttpAnswer {
        let Some(request) = decode_message::<ObjectRequest>(&request.body) else {
            return HttpAnswer::new(400, "text/plain", "expected an encoded object request");
        };
        tokio::time::sleep(self.delay * 2).await;
        let mut state = self.lock();
        if state.faults.object_outage {
            return HttpAnswer::empty(503);
        }
        let outcome = state.objects.handle(&request);
        HttpAnswer::new(200, WIRE_TYPE, encode_message(&outcome))
    }

    async fn list(&self) -> HttpAnswer {
        tokio::time::sleep(self.delay * 2).await;
        let mut state = self.lock();
        state.apply_due_changes();
        let listed: Vec<ListedWorker> = state
            .listed
            .iter()
            .map(|(name, listed)| ListedWorker {
                detail: state.workers[name].detail.clone(),
                state: *listed,
            })
            .collect();
        json(&listed)
    }

    async fn exchange(&self, name: &str, request: &HttpRequest) -> HttpAnswer {
        let Some(exchange) = decode_message::<WorkerExchange>(&request.body) else {
            return HttpAnswer::new(400, "text/plain", "expected an encoded exchange");
        };
        tokio::time::sleep(self.delay).await;
        let fault = self.lock().fault_of(name);
        if fault.cut_off {
            tokio::time::sleep(UNANSWERED_TIME).await;
            return HttpAnswer::empty(503);
        }
        let clock = self.clock();
        let answer = self.lock().worker(name).map(|worker| {
            worker.fails_all = fault.fails_all;
            worker.slowness = fault.slowness.max(1.0);
            worker.exchange(clock, &exchange)
        });
        tokio::time::sleep(self.delay).await;
        match answer {
            Some(answer) => HttpAnswer::new(200, WIRE_TYPE, encode_message(&answer)),
            None => HttpAnswer::new(404, "text/plain", "no such worker"),
        }
    }

    async fn serve(&self, name: &str, service: &str, request: &HttpRequest) -> HttpAnswer {
        let epoch = header_number(request, "bankvalve-epoch").unwrap_or(0);
        let work_ms = header_number(request, "work-ms").unwrap_or(DEFAULT_SERVICE_MS);
        let id = request.header("bankvalve-request").unwrap_or("").to_owned();
        tokio::time::sleep(self.delay).await;
        let clock = self.clock();
        let fault = self.lock().fault_of(name);
        if fault.cut_off {
            tokio::time::sleep(UNANSWERED_TIME).await;
            return HttpAnswer::empty(503);
        }
        let begun = self
            .lock()
            .worker(name)
            .map(|worker| worker.begin_request(clock, epoch, service));
        let task = match begun {
            None => return HttpAnswer::new(404, "text/plain", "no such worker"),
            Some(Err(refusal)) => return refused_request(refusal),
            Some(Ok(task)) => task,
        };
        let slowness = fault.slowness.max(1.0);
        tokio::time::sleep(Duration::from_millis(work_ms).mul_f64(slowness)).await;
        {
            let mut state = self.lock();
            *state.served.entry(id.clone()).or_default() += 1;
            if let Some(worker) = state.worker(name) {
                worker.end_request();
            }
        }
        tokio::time::sleep(self.delay).await;
        if fault.fails_all {
            return HttpAnswer::new(500, "text/plain", "the service failed");
        }
        json(&ServiceAnswer {
            worker: name.to_owned(),
            task,
            id,
            echo: String::from_utf8_lossy(&request.body).into_owned(),
        })
    }

    fn restart(&self, name: &str) -> HttpAnswer {
        let clock = self.clock();
        match self.lock().worker(name) {
            Some(worker) => {
                worker.restart(clock);
                HttpAnswer::empty(204)
            }
            None => HttpAnswer::empty(404),
        }
    }

    fn change_list(&self, name: &str, state: &str) -> HttpAnswer {
        let state = match state {
            "live" => Some(ListState::Live),
            "leaving" => Some(ListState::Leaving),
            "gone" => None,
            _ => return HttpAnswer::new(404, "text/plain", "expected live, leaving or gone"),
        };
        let mut platform = self.lock();
        if !platform.workers.contains_key(name) {
            return HttpAnswer::empty(404);
        }
        let visible_at = Instant::now() + self.list_lag;
        platform
            .pending_changes
            .push_back((visible_at, name.to_owned(), state));
        HttpAnswer::empty(204)
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpAnswer {
        match serde_json::from_slice::<FaultSettings>(&request.body) {
            Ok(faults) => {
                self.lock().faults = faults;
                HttpAnswer::empty(204)
            }
            Err(error) => HttpAnswer::new(400, "text/plain", error.to_string()),
        }
    }

    fn runs(&self) -> HttpAnswer {
        let clock = self.clock();
        let mut state = self.lock();
        for worker in state.workers.values_mut() {
            worker.advance(clock);
        }
        let runs: Vec<RunView> = state
            .workers
            .values()
            .flat_map(|worker| {
                worker.records().iter().map(|record| RunView {
                    worker: worker.detail.name.clone(),
                    key: record.key.clone(),
                    started: record.started,
                    ended: record.ended,
                    outcome: record.outcome,
                    millicores: record.label.size.millicores,
                    memory_mib: record.label.size.memory_mib,
                })
            })
            .collect();
        json(&runs)
    }

    fn stats(&self) -> HttpAnswer {
        let state = self.lock();
        let most_slots = state
            .workers
            .values()
            .map(WorkerModel::most_slots_in_use)
            .max();
        let overfull = state
            .workers
            .values()
            .filter(|worker| worker.overfull().is_some())
            .count();
        json(&serde_json::json!({
            "table_writes": state.table.writes,
            "table_rows_written": state.table.rows_written,
            "table_reads": state.table.reads,
            "table_bytes": state.table.bytes(),
            "most_slots_in_use": most_slots,
            "overfull_workers": overfull,
        }))
    }
}

impl PlatformState {
    fn worker(&mut self, name: &str) -> Option<&mut WorkerModel> {
        self.workers.get_mut(name)
    }

    fn fault_of(&self, name: &str) -> super::WorkerFault {
        self.faults.workers.get(name).copied().unwrap_or_default()
    }

    fn apply_due_changes(&mut self) {
        if self.faults.list_frozen {
            return;
        }
        let now = Instant::now();
        while self
            .pending_changes
            .front()
            .is_some_and(|(at, _, _)| *at <= now)
        {
            let Some((_, name, state)) = self.pending_changes.pop_front() else {
                return;
            };
            match state {
                Some(state) => self.listed.insert(name, state),
                None => self.listed.remove(&name),
            };
        }
    }

    /// Handles a table request. Also returns whether its answer is to be lost.
    fn run_table(&mut self, request: &StoreRequest) -> (StoreOutcome, bool) {
        let write = matches!(request, StoreRequest::Apply(_));
        let cap = if write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !cap.try_admit() {
            return (StoreOutcome::Busy, false);
        }
        let outcome = self.table.handle(request);
        let lost = write && self.rng.random::<f64>() < self.faults.lose_answers;
        (outcome, lost)
    }
}

fn header_number(request: &HttpRequest, name: &str) -> Option<u64> {
    request.header(name)?.parse().ok()
}

fn refused_request(refusal: RequestRefusal) -> HttpAnswer {
    let (status, text) = match refusal {
        RequestRefusal::EpochPassed => (409, "epoch passed"),
        RequestRefusal::NoService => (404, "no such service"),
        RequestRefusal::NoSlot => (429, "no free slot"),
    };
    HttpAnswer::new(status, "text/plain", text)
}

fn json(value: &impl Serialize) -> HttpAnswer {
    let text = serde_json::to_vec(value).unwrap_or_default();
    HttpAnswer::new(200, JSON, text)
}
