//! The users' platform over HTTP, in the platform's own protocol, with faults to turn on.

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

/// Time between two looks at whether a call that waits has its answer.
const LOOK: Duration = Duration::from_millis(4);
/// Time for which a call is left without an answer; callers give up long before.
const SILENCE: Duration = Duration::from_secs(120);
/// Start of a first process, in Unix milliseconds, to which a worker's number is added.
const FIRST_START_MS: u64 = 1_000_000_000_000;
/// Work of a task whose text does not tell it, in milliseconds.
const WORK_MS: u64 = 100;

/// What ails the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing.
    #[default]
    None,
    /// It turns all calls away.
    Refuses,
    /// It leaves all calls unanswered and does nothing.
    Silent,
    /// It does what it is told and leaves writes unanswered.
    LosesAnswers,
}

/// A run as its worker saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenRun {
    /// The task.
    pub task: TaskKey,
    /// The run.
    pub run: RunId,
    /// The worker.
    pub worker: WorkerId,
    /// When it began, in milliseconds since the platform's start.
    pub began_ms: u64,
    /// When it ended, and how; none while it goes on.
    pub ended: Option<(u64, EndKind)>,
}

#[derive(Debug, Default)]
struct PlatformState {
    store: SiteStore,
    workers: BTreeMap<WorkerId, SiteWorker>,
    policy: Option<SitePolicy>,
    trouble: StoreFault,
    silent_workers: BTreeSet<WorkerId>,
    runs: Vec<SeenRun>,
}

impl PlatformState {
    /// Lets time pass at a worker and notes what happened there.
    fn note_news(&mut self, id: &WorkerId, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.run_until(now_ms);
        for news in worker.take_events() {
            match news {
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
                WorkerEvent::Kept(..) => {}
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

/// The users' platform on one address: its table, its policy and its workers.
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
/// platform.add_worker("service", 4_000);
/// platform.configure(QueueTable::new(1, Vec::new(), BTreeMap::new()));
/// assert!(platform.runs().is_empty());
/// ```
pub struct SitePlatform {
    shared: Arc<Shared>,
    server: HttpServer,
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
        Ok(Self { shared, server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Adds a worker of a service with so many thousandths of a core.
    pub fn add_worker(&self, service: &str, millicores: u64) -> WorkerId {
        let mut state = self.shared.lock();
        let number = state.workers.len() as u64 + 1;
        let id: WorkerId = format!("w-{number}").into();
        let entry = WorkerEntry {
            service: service.into(),
            address: self.address().to_string(),
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
        let worker = SiteWorker::new(id.clone(), entry, number * 10_000);
        state.workers.insert(id.clone(), worker);
        id
    }

    /// The operator writes a configuration.
    pub fn configure(&self, table: QueueTable) {
        self.shared.lock().store.configure(table);
    }

    /// Sets what ails the table.
    pub fn set_store_fault(&self, trouble: StoreFault) {
        self.shared.lock().trouble = trouble;
    }

    /// Lets a worker leave all calls unanswered, or answer again; its runs go on.
    pub fn set_worker_silent(&self, id: &WorkerId, silent: bool) {
        let mut state = self.shared.lock();
        if silent {
            state.silent_workers.insert(id.clone());
        } else {
            state.silent_workers.remove(id);
        }
    }

    /// Forgets the history of changes.
    pub fn forget_history(&self) {
        self.shared.lock().store.forget_history();
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<SeenRun> {
        self.look_at_all();
        self.shared.lock().runs.clone()
    }

    /// Waits until the runs are as wanted; returns whether they were within a time.
    pub fn wait_for_runs(&self, within: Duration, wanted: impl Fn(&[SeenRun]) -> bool) -> bool {
        let until = Instant::now() + within;
        loop {
            self.look_at_all();
            let state = self.shared.lock();
            if wanted(&state.runs) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            // Runs end by time alone, too, so it looks again without having been woken.
            drop(self.shared.changed.wait_timeout(state, LOOK * 5));
        }
    }

    fn look_at_all(&self) {
        let now_ms = self.shared.now_ms();
        let mut state = self.shared.lock();
        let ids: Vec<WorkerId> = state.workers.keys().cloned().collect();
        for id in ids {
            state.note_news(&id, now_ms);
        }
    }
}

/// Serves one call; a call without an answer is left open.
async fn serve(shared: Arc<Shared>, request: HttpRequest) -> HttpAnswer {
    let header = |name: &str| request.header(name).map(str::to_owned);
    let call = counterpart::read_call(&request.path, &request.query, header, &request.body);
    let answer = match call {
        None => return HttpAnswer::empty(404),
        Some(PlatformCall::Store(request)) => serve_store(&shared, &request).await,
        Some(PlatformCall::Advice(ask)) => {
            let state = shared.lock();
            let policy = state.policy.as_ref();
            let answer = policy.map(|policy| policy.answer(&ask, shared.now_ms()));
            answer.and_then(|answer| counterpart::write_advice(&answer))
        }
        Some(PlatformCall::Worker {
            worker,
            token,
            call,
        }) => serve_worker(&shared, &worker, token, &call).await,
    };
    match answer {
        Some(WireAnswer { status, body, .. }) => HttpAnswer::new(status, "application/json", body),
        None => {
            tokio::time::sleep(SILENCE).await;
            HttpAnswer::empty(503)
        }
    }
}

async fn serve_store(shared: &Shared, request: &StoreRequest) -> Option<WireAnswer> {
    let until = Instant::now() + Duration::from_millis(wait_of(request));
    loop {
        let outcome = {
            let mut state = shared.lock();
            match state.trouble {
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
        tokio::time::sleep(LOOK).await;
    }
}

fn wait_of(request: &StoreRequest) -> u64 {
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
                plan_of(call)
            });
            let ready = worker.has_ends() || Instant::now() >= until;
            state.note_news(id, now_ms);
            shared.changed.notify_all();
            ready.then_some(answer)
        };
        if let Some(answer) = answer {
            return counterpart::write_worker_answer(&answer);
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Size and end of a task by the text that it is started with: `work=MS`, and `fails` if it does.
fn plan_of(call: &WorkerCall) -> (TaskSize, Option<(u64, EndKind)>) {
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
