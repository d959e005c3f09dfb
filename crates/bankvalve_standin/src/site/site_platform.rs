//! HTTP server that simulates the platform of the users in its own protocol, with faults to inject.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bankvalve_link::{HttpAnswer, HttpRequest, HttpServer, ServerLimits};
use bankvalve_platform::counterpart::{self, PlatformCall};
use bankvalve_queue::{
    EndKind, FenceToken, ProcessStart, QueueTable, RunId, StoreOutcome, StoreRequest, TaskKey,
    TaskSize, WireAnswer, WorkerAnswer, WorkerCall, WorkerEntry, WorkerId,
};

use super::{SitePolicy, SiteStore, SiteWorker, WorkerEvent};

/// Interval at which a waiting call checks for its answer.
const POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Time for which a call is left without an answer; callers time out much earlier.
const UNANSWERED_TIME: Duration = Duration::from_secs(120);
/// Base of the start times of workers, in Unix milliseconds; the number of the worker is added.
const FIRST_START_MS: u64 = 1_000_000_000_000;
/// Longest lease that workers grant, in milliseconds.
const MAX_LEASE_MS: u64 = 6_000;
/// Time between the start times of two processes of a worker, in milliseconds.
const RESTART_STEP_MS: u64 = 1_000;
/// Run time of a task whose payload has no `work=MS`, in milliseconds.
const WORK_MS: u64 = 100;

/// Fault of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// The table works normally.
    #[default]
    None,
    /// The table refuses all calls as busy.
    Refuses,
    /// The table neither handles nor answers calls.
    Silent,
    /// The table handles all calls but does not answer writes.
    LosesAnswers,
}

/// A run as it took place on its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// The worker.
    pub worker: WorkerId,
    /// Time at which the start was observed, in milliseconds since the start of the platform.
    pub began_ms: u64,
    /// Time at which the end was observed, and its kind; `None` while the run continues.
    pub ended: Option<(u64, EndKind)>,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: SiteStore,
    workers: BTreeMap<WorkerId, SiteWorker>,
    policy: Option<SitePolicy>,
    store_fault: StoreFault,
    silent_workers: BTreeSet<WorkerId>,
    /// Processes of workers that have ended and whose next process has not started.
    ended_workers: BTreeMap<WorkerId, SiteWorker>,
    runs: Vec<SeenRun>,
    /// Rows that answers contain in place of the stored ones, by the encoded start of the stored row.
    replaced_rows: BTreeMap<String, Vec<u8>>,
    /// Bodies of workers' answers to polls, in place of their own.
    poll_bodies: BTreeMap<WorkerId, Vec<u8>>,
    advice_body: Option<Vec<u8>>,
}

impl PlatformState {
    /// Advances a worker to the given time and records the runs that started or ended.
    fn record_events(&mut self, id: &WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.run_until(now_ms);
        let events = worker.take_events();
        self.note_events(id, events, now_ms);
    }

    fn note_events(&mut self, id: &WorkerId, events: Vec<WorkerEvent>, now_ms: u64) {
        for event in events {
            match event {
                WorkerEvent::Started(task, run) => self.runs.push(SeenRun {
                    task,
                    run,
                    worker: id.clone(),
                    began_ms: now_ms,
                    ended: None,
                }),
                WorkerEvent::Ended(task, run, how) => {
                    let same = |seen: &&mut SeenRun| {
                        seen.task == task && seen.run == run && seen.worker == *id
                    };
                    if let Some(seen) = self.runs.iter_mut().find(same) {
                        seen.ended = Some((now_ms, how));
                    }
                }
                WorkerEvent::Kept(..) | WorkerEvent::KeptUnderLease(..) => {}
            }
        }
    }
}

struct Shared {
    state: Mutex<PlatformState>,
    changed: Condvar,
    began: Instant,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        match self.state.lock() {
            Ok(state) => state,
            Err(error) => error.into_inner(),
        }
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }
}

/// The address of a worker and the server of its process; none while no process is there.
///
/// The listener outlives the processes, so that calls sent in between wait for the next one.
struct WorkerPort {
    listener: TcpListener,
    server: Option<HttpServer>,
}

/// The platform of the users: its table and its policy service on one address, and its workers, each on an
/// address of its own.
///
/// # Examples
///
/// ```
/// use std::collections::BTreeMap;
/// use std::net::TcpListener;
/// use bankvalve_queue::QueueTable;
/// use bankvalve_standin::site::SitePlatform;
///
/// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
/// let platform = SitePlatform::start(listener, None).unwrap();
/// platform.add_worker("service", 4_000).unwrap();
/// platform.configure(QueueTable::new(1, Vec::new(), BTreeMap::new()));
/// assert!(platform.runs().is_empty());
/// ```
pub struct SitePlatform {
    shared: Arc<Shared>,
    server: HttpServer,
    ports: Mutex<BTreeMap<WorkerId, WorkerPort>>,
}

impl std::fmt::Debug for SitePlatform {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "SitePlatform at {}", self.server.address())
    }
}

impl SitePlatform {
    /// Starts a platform without workers.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener or its thread cannot be set up.
    pub fn start(listener: TcpListener, policy: Option<SitePolicy>) -> std::io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::new(PlatformState {
                policy,
                ..PlatformState::default()
            }),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let serving = shared.clone();
        let limits = ServerLimits::default();
        let server = HttpServer::start("platform", listener, limits, move |request| {
            serve(serving.clone(), request)
        })?;
        let ports = Mutex::default();
        Ok(Self {
            shared,
            server,
            ports,
        })
    }

    /// Returns the address that the table and the policy service listen on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a worker of a service with the given CPU and returns its id.
    ///
    /// # Errors
    ///
    /// Returns an error if its listener or its thread cannot be set up.
    pub fn add_worker(&self, service: &str, millicores: u64) -> std::io::Result<WorkerId> {
        let listener = TcpListener::bind((self.address().ip(), 0))?;
        let address = listener.local_addr()?;
        let mut state = self.shared.lock();
        let number = state.workers.len() as u64 + 1;
        let id: WorkerId = format!("w-{number}").into();
        let entry = WorkerEntry {
            service: service.into(),
            address: address.to_string(),
            domain: "domain".into(),
            labels: vec!["kind-a".into(), format!("rack-{}", number % 2)],
            room: TaskSize {
                millicores,
                memory_mib: 65_536,
                accelerators: 0,
            },
            leaving: false,
            remaining_ms: None,
            started: Some(ProcessStart(FIRST_START_MS + number)),
        };
        state.store.set_worker(&id, Some(entry.clone()));
        let worker = SiteWorker::new(id.clone(), entry, number * 10_000, MAX_LEASE_MS);
        state.workers.insert(id.clone(), worker);
        drop(state);
        let server = Some(self.serve_worker_at(&listener, &id)?);
        let port = WorkerPort { listener, server };
        self.lock_ports().insert(id.clone(), port);
        Ok(id)
    }

    /// Returns the address of a worker.
    pub fn worker_address(&self, id: &WorkerId) -> Option<SocketAddr> {
        let ports = self.lock_ports();
        ports.get(id)?.listener.local_addr().ok()
    }

    /// Ends a worker's process as a loss of power does: its runs end, and calls to its address have no answer.
    /// They reach the next process, if one starts before their callers give up.
    pub fn end_worker(&self, id: &WorkerId) {
        if let Some(port) = self.lock_ports().get_mut(id) {
            port.server = None;
        }
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.lock();
        state.record_events(id, now_ms);
        let Some(mut worker) = state.workers.remove(id) else {
            return;
        };
        let tasks: Vec<TaskKey> = worker.runs().keys().copied().collect();
        for task in tasks {
            worker.end(task, EndKind::Lost);
        }
        state.note_events(id, worker.take_events(), now_ms);
        state.ended_workers.insert(id.clone(), worker);
        self.shared.changed.notify_all();
    }

    /// Starts the next process of a worker that has ended, under its id and at its address. Its clock begins
    /// at 0, so it is behind that of the first process.
    ///
    /// # Errors
    ///
    /// Returns an error if its thread cannot be set up.
    pub fn restart_worker(&self, id: &WorkerId) -> std::io::Result<()> {
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.lock();
        let Some(before) = state.ended_workers.remove(id) else {
            return Ok(());
        };
        let started = before.entry.started;
        let entry = WorkerEntry {
            started: started.map(|ProcessStart(at)| ProcessStart(at + RESTART_STEP_MS)),
            ..before.entry.clone()
        };
        state.store.set_worker(id, Some(entry.clone()));
        let worker = before.restarted(entry, now_ms, 0);
        state.workers.insert(id.clone(), worker);
        drop(state);
        if let Some(port) = self.lock_ports().get_mut(id) {
            port.server = Some(self.serve_worker_at(&port.listener, id)?);
        }
        Ok(())
    }

    fn serve_worker_at(
        &self,
        listener: &TcpListener,
        id: &WorkerId,
    ) -> std::io::Result<HttpServer> {
        let (shared, id) = (self.shared.clone(), id.clone());
        let limits = ServerLimits::default();
        HttpServer::start("worker", listener.try_clone()?, limits, move |request| {
            serve_at_worker(shared.clone(), id.clone(), request)
        })
    }

    fn lock_ports(&self) -> MutexGuard<'_, BTreeMap<WorkerId, WorkerPort>> {
        match self.ports.lock() {
            Ok(ports) => ports,
            Err(error) => error.into_inner(),
        }
    }

    /// Replaces the operator's configuration.
    pub fn configure(&self, table: QueueTable) {
        self.shared.lock().store.configure(table);
    }

    /// Evacuates a failure domain, or withdraws its evacuation, as the operator does in the table.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::net::TcpListener;
    /// use bankvalve_standin::site::SitePlatform;
    ///
    /// let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    /// let platform = SitePlatform::start(listener, None).unwrap();
    /// platform.evacuate("hobart", true);
    /// platform.evacuate("hobart", false);
    /// ```
    pub fn evacuate(&self, domain: &str, evacuated: bool) {
        self.shared.lock().store.evacuate(domain, evacuated);
    }

    /// Sets the fault of the table.
    pub fn set_store_fault(&self, store_fault: StoreFault) {
        self.shared.lock().store_fault = store_fault;
    }

    /// Makes a worker leave all calls unanswered, or answer again. Its runs continue.
    pub fn set_worker_silent(&self, id: &WorkerId, silent: bool) {
        let mut state = self.shared.lock();
        if silent {
            state.silent_workers.insert(id.clone());
        } else {
            state.silent_workers.remove(id);
        }
    }

    /// Replaces a row with any bytes in all answers of the table, as another writer might leave it there, or
    /// restores it.
    pub fn replace_row(&self, table: &str, part: &str, key: &str, row: Option<Vec<u8>>) {
        let start = serde_json::json!({ "table": table, "part": part, "TlsKey": key });
        let text = |field: &str| &start[field];
        let start = format!(
            r#"{{"table":{},"part":{},"TlsKey":{}"#,
            text("table"),
            text("part"),
            text("TlsKey")
        );
        let rows = &mut self.shared.lock().replaced_rows;
        match row {
            Some(row) => rows.insert(start, row),
            None => rows.remove(&start),
        };
    }

    /// Writes the entry of a worker again, which the change feed reports.
    pub fn rewrite_entry(&self, id: &WorkerId) {
        let mut state = self.shared.lock();
        let entry = state.workers.get(id).map(|worker| worker.entry.clone());
        state.store.set_worker(id, entry);
    }

    /// Replaces the bodies of a worker's answers to polls, or restores its own answers.
    pub fn set_poll_body(&self, id: &WorkerId, body: Option<Vec<u8>>) {
        let bodies = &mut self.shared.lock().poll_bodies;
        match body {
            Some(body) => bodies.insert(id.clone(), body),
            None => bodies.remove(id),
        };
    }

    /// Replaces the bodies of the policy service's answers, or restores its own answers.
    pub fn set_advice_body(&self, body: Option<Vec<u8>>) {
        self.shared.lock().advice_body = body;
    }

    /// Discards the history of changes, so that older watches must read again.
    pub fn forget_history(&self) {
        self.shared.lock().store.forget_history();
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<SeenRun> {
        self.poll_workers();
        self.shared.lock().runs.clone()
    }

    /// Waits until the runs meet a condition. Returns `false` if they do not within the given time.
    pub fn wait_for_runs(&self, within: Duration, wanted: impl Fn(&[SeenRun]) -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            self.poll_workers();
            let state = self.shared.lock();
            if wanted(&state.runs) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            // A run that ends by time wakes nobody, so the wait is short and the workers are polled again.
            drop(self.shared.changed.wait_timeout(state, POLL_INTERVAL * 5));
        }
    }

    fn poll_workers(&self) {
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.lock();
        let ids: Vec<WorkerId> = state.workers.keys().cloned().collect();
        for id in ids {
            state.record_events(&id, now_ms);
        }
    }
}

fn read_call(request: &HttpRequest) -> Option<PlatformCall> {
    let header = |name: &str| request.header(name).map(str::to_owned);
    counterpart::read_call(&request.path, &request.query, header, &request.body)
}

/// Serves one call to the table or the policy service.
async fn serve(shared: Arc<Shared>, request: HttpRequest) -> HttpAnswer {
    let answer = match read_call(&request) {
        None | Some(PlatformCall::Worker { .. }) => return HttpAnswer::empty(404),
        Some(PlatformCall::Store(request)) => serve_store(&shared, &request).await.map(|answer| {
            let body = with_replaced_rows(answer.body, &shared.lock().replaced_rows);
            WireAnswer { body, ..answer }
        }),
        Some(PlatformCall::Advice(ask)) => {
            let state = shared.lock();
            if let Some(body) = &state.advice_body {
                return HttpAnswer::new(200, "application/json", body.clone());
            }
            let policy = state.policy.as_ref();
            let answer = policy.map(|policy| policy.answer(&ask, shared.now_ms()));
            answer.and_then(|answer| counterpart::write_advice(&answer))
        }
    };
    write_answer(answer).await
}

/// Serves one call at the address of a worker. Any process of the worker takes it, also one that it was not
/// meant for.
async fn serve_at_worker(shared: Arc<Shared>, id: WorkerId, request: HttpRequest) -> HttpAnswer {
    let Some(PlatformCall::Worker {
        worker,
        token,
        call,
    }) = read_call(&request)
    else {
        return HttpAnswer::empty(404);
    };
    let answer = match worker == id {
        true => serve_worker(&shared, &id, token, &call).await,
        false => counterpart::write_worker_answer(&WorkerAnswer::OtherLife),
    };
    if worker == id && matches!(call, WorkerCall::Hold { .. }) {
        if let Some(body) = shared.lock().poll_bodies.get(&id) {
            return HttpAnswer::new(200, "application/json", body.clone());
        }
    }
    write_answer(answer).await
}

/// Writes an answer. A call that gets none is left open for [`UNANSWERED_TIME`].
async fn write_answer(answer: Option<WireAnswer>) -> HttpAnswer {
    match answer {
        Some(WireAnswer { status, body, .. }) => HttpAnswer::new(status, "application/json", body),
        None => {
            tokio::time::sleep(UNANSWERED_TIME).await;
            HttpAnswer::empty(503)
        }
    }
}

fn with_replaced_rows(body: Vec<u8>, rows: &BTreeMap<String, Vec<u8>>) -> Vec<u8> {
    rows.iter().fold(body, |body, (start, row)| {
        let at = body
            .windows(start.len())
            .position(|part| part == start.as_bytes());
        let Some(at) = at else {
            return body;
        };
        let length = body[at..].iter().position(|byte| *byte == b'}');
        let end = length.map_or(body.len(), |length| at + length + 1);
        [&body[..at], row, &body[end..]].concat()
    })
}

async fn serve_store(shared: &Shared, request: &StoreRequest) -> Option<WireAnswer> {
    let until = Instant::now() + Duration::from_millis(max_wait_ms(request));
    loop {
        let outcome = {
            let mut state = shared.lock();
            match state.store_fault {
                StoreFault::Silent => Some(StoreOutcome::Lost),
                StoreFault::Refuses => Some(StoreOutcome::Busy),
                StoreFault::None => state.store.handle(request),
                StoreFault::LosesAnswers => {
                    let outcome = state.store.handle(request);
                    let writes = matches!(request, StoreRequest::Transact { .. });
                    if writes {
                        Some(StoreOutcome::Lost)
                    } else {
                        outcome
                    }
                }
            }
        };
        if let Some(outcome) = outcome {
            return counterpart::write_outcome(&outcome);
        }
        if Instant::now() >= until {
            let outcome = shared.lock().store.unchanged(request);
            return counterpart::write_outcome(&outcome);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn max_wait_ms(request: &StoreRequest) -> u64 {
    match request {
        StoreRequest::Watch { wait_ms, .. }
        | StoreRequest::WatchOperator { wait_ms, .. }
        | StoreRequest::WatchWorkers { wait_ms, .. } => *wait_ms,
        _ => 0,
    }
}

async fn serve_worker(
    shared: &Shared,
    id: &WorkerId,
    token: FenceToken,
    call: &WorkerCall,
) -> Option<WireAnswer> {
    let wait_ms = match call {
        WorkerCall::Hold { wait_ms, .. } => *wait_ms,
        _ => 0,
    };
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let answer = {
            let mut state = shared.lock();
            if state.silent_workers.contains(id) {
                return None;
            }
            let now_ms = shared.now_ms();
            let state = &mut *state;
            let Some(worker) = state.workers.get_mut(id) else {
                return counterpart::write_worker_answer(&WorkerAnswer::OtherLife);
            };
            let answer = worker.handle(now_ms, token, call, state.policy.as_ref(), |_| {
                scripted_plan(call)
            });
            let ready = worker.has_ends() || Instant::now() >= until;
            state.record_events(id, now_ms);
            shared.changed.notify_all();
            ready.then_some(answer)
        };
        if let Some(answer) = answer {
            return counterpart::write_worker_answer(&answer);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the resources, run time and end of a task from the words of its payload: `work=MS`, and
/// `fails` for a task that fails.
fn scripted_plan(call: &WorkerCall) -> (TaskSize, Option<(u64, EndKind)>) {
    let WorkerCall::Start(order) = call else {
        return (TaskSize::default(), None);
    };
    let words = order.job.payload.split_whitespace();
    let work = words.clone().find_map(|word| word.strip_prefix("work="));
    let work_ms = work.and_then(|text| text.parse().ok()).unwrap_or(WORK_MS);
    let how = match words.into_iter().any(|word| word == "fails") {
        true => EndKind::Failed,
        false => EndKind::Done,
    };
    (TaskSize::default(), Some((work_ms, how)))
}
