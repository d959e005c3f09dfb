//! The core thread, which runs the decision logic of the instance.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bankvalve_cell::ids::{Ticket, UnixMillis};
use bankvalve_cell::instance::{CoreAction, CoreEvent, CoreSettings, InstanceCore};
use bankvalve_cell::link::{CallerAnswer, CallerCommand, LinkFailure, Refusal, StoreOutcome};
use bankvalve_cell::machine::TaskSize;
use bankvalve_cell::refusal::RefusalReason;
use bankvalve_cell::tally::CellTally;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, TrySendError};
use tokio::sync::{mpsc, oneshot};

use super::RouteTable;

/// Interval between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two publications of routes and counters.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller may retry when the core's queue is full or the instance is stopping, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// An input of the core thread.
pub(super) enum CoreInput {
    End,
    Event(CoreEvent),
    Command {
        command: CallerCommand,
        reply: oneshot::Sender<CallerAnswer>,
    },
}

/// Snapshot of the core's state, published for metrics.
#[derive(Clone, Debug, Default)]
pub struct CoreView {
    /// Counters of the core's decisions and invariants.
    pub tally: CellTally,
    /// Numbers of worker partitions and of team partitions that this instance owns.
    pub partitions: (usize, usize),
    /// Number of tasks in the owned team partitions that wait to be assigned.
    pub waiting: usize,
    /// Reserved and total capacity of the workers in the owned worker partitions.
    pub room: (TaskSize, TaskSize),
    /// Version of the bundle in force.
    pub bundle: u64,
    /// Whether the table service has answered recently.
    pub store_answers: bool,
    /// Number of ledger batches that are not yet archived in the object store.
    pub unarchived: usize,
}

/// State that the core thread shares with the other threads.
#[derive(Debug, Default)]
pub(super) struct CoreShared {
    pub(super) routes: RwLock<Arc<RouteTable>>,
    pub(super) view: Mutex<CoreView>,
    pub(super) ready: AtomicBool,
    pub(super) stopped: AtomicBool,
    pub(super) steps: AtomicU64,
    pub(super) ring_full: AtomicU64,
    /// Elapsed time of all steps, in nanoseconds.
    pub(super) step_nanos: AtomicU64,
}

/// Handle through which other threads send events and commands to the core thread.
#[derive(Clone)]
pub struct CoreHandle {
    ring: Sender<CoreInput>,
    shared: Arc<CoreShared>,
}

impl std::fmt::Debug for CoreHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("CoreHandle")
    }
}

impl CoreHandle {
    /// Creates a handle and the receiving end of its queue, which holds up to `ring` inputs.
    pub(super) fn new(ring: usize) -> (Self, Receiver<CoreInput>) {
        let (sender, receiver) = crossbeam::channel::bounded(ring);
        let shared = Arc::new(CoreShared::default());
        let handle = Self {
            ring: sender,
            shared,
        };
        (handle, receiver)
    }

    pub(super) fn shared(&self) -> &Arc<CoreShared> {
        &self.shared
    }

    /// Sends an event to the core without blocking; returns whether the queue accepted it.
    pub fn send_event(&self, event: CoreEvent) -> bool {
        let sent = self.ring.try_send(CoreInput::Event(event)).is_ok();
        if !sent {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
        }
        sent
    }

    /// Ends the core thread. The links thread ends with it, because its action channel closes.
    pub(super) fn end(&self) {
        let _ = self.ring.send(CoreInput::End);
    }

    /// Sends a command to the core and waits for the answer.
    pub async fn command(&self, command: CallerCommand) -> CallerAnswer {
        let (reply, answer) = oneshot::channel();
        match self.ring.try_send(CoreInput::Command { command, reply }) {
            Ok(()) => {}
            Err(TrySendError::Full(_)) => {
                self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
                let detail = "too many events wait for the core";
                let reason = RefusalReason::QueueFull;
                return CallerAnswer::NotRun(Refusal::temporary(reason, detail, RETRY_AFTER_MS));
            }
            Err(TrySendError::Disconnected(_)) => return stopping(),
        }
        let gone = || CallerAnswer::Unknown {
            detail: "the instance stopped before it had an answer".into(),
        };
        answer.await.unwrap_or_else(|_| gone())
    }

    /// Returns the routes that the core last published.
    pub fn routes(&self) -> Arc<RouteTable> {
        let routes = self.shared.routes.read();
        routes.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Returns the snapshot that the core last published.
    pub fn view(&self) -> CoreView {
        let view = self.shared.view.lock();
        view.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Returns whether the instance is ready to serve callers.
    pub fn is_ready(&self) -> bool {
        self.shared.ready.load(Ordering::Acquire)
    }

    /// Returns whether the core has stopped, with all its partitions handed over.
    pub fn is_stopped(&self) -> bool {
        self.shared.stopped.load(Ordering::Acquire)
    }

    /// Returns the number of steps, their elapsed time in nanoseconds, and the number of inputs and actions
    /// that a full queue refused.
    pub fn effort(&self) -> (u64, u64, u64) {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let shared = &self.shared;
        (
            read(&shared.steps),
            read(&shared.step_nanos),
            read(&shared.ring_full),
        )
    }
}

fn stopping() -> CallerAnswer {
    let detail = "the instance is stopping";
    let reason = RefusalReason::Stopping;
    CallerAnswer::NotRun(Refusal::temporary(reason, detail, RETRY_AFTER_MS))
}

/// State of the core thread.
pub(super) struct CoreThread {
    core: InstanceCore,
    started: Instant,
    shared: Arc<CoreShared>,
    links: mpsc::Sender<CoreAction>,
    replies: BTreeMap<Ticket, oneshot::Sender<CallerAnswer>>,
    next_ticket: Ticket,
    breaches_logged: u64,
}

impl CoreThread {
    pub(super) fn new(
        settings: CoreSettings,
        shared: Arc<CoreShared>,
        links: mpsc::Sender<CoreAction>,
    ) -> Self {
        Self {
            core: InstanceCore::new(settings),
            started: Instant::now(),
            shared,
            links,
            replies: BTreeMap::new(),
            next_ticket: 1,
            breaches_logged: 0,
        }
    }

    /// Runs until `CoreInput::End` arrives or the queue is closed.
    pub(super) fn run(mut self, ring: &Receiver<CoreInput>) {
        let mut next_tick = Instant::now();
        let mut next_publication = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match ring.recv_timeout(wait) {
                Ok(CoreInput::End) => return,
                Ok(CoreInput::Event(event)) => self.step(event),
                Ok(CoreInput::Command { command, reply }) => self.command(command, reply),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                self.step(CoreEvent::Tick);
            }
            if now >= next_publication {
                next_publication = now + PUBLISH_INTERVAL;
                self.publish();
            }
        }
    }

    fn command(&mut self, command: CallerCommand, reply: oneshot::Sender<CallerAnswer>) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.replies.insert(ticket, reply);
        self.step(CoreEvent::Command { ticket, command });
    }

    fn step(&mut self, event: CoreEvent) {
        let begun = Instant::now();
        let now = self.started.elapsed();
        let actions = self.core.step(now, unix_millis(), event);
        let nanos = begun.elapsed().as_nanos() as u64;
        self.shared.steps.fetch_add(1, Ordering::Relaxed);
        self.shared.step_nanos.fetch_add(nanos, Ordering::Relaxed);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: CoreAction) {
        match action {
            CoreAction::Answer { ticket, answer } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    let _ = reply.send(answer);
                }
            }
            CoreAction::Stopped => self.shared.stopped.store(true, Ordering::Release),
            action => {
                if let Err(mpsc::error::TrySendError::Full(action)) = self.links.try_send(action) {
                    self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
                    self.report_unsent(action);
                }
            }
        }
    }

    /// Reports to the core that an action was not sent because the queue of the links thread was full.
    ///
    /// Only table requests and worker exchanges are reported; other actions are dropped.
    fn report_unsent(&mut self, action: CoreAction) {
        match action {
            CoreAction::Store { ticket, .. } => self.step(CoreEvent::Store {
                ticket,
                outcome: StoreOutcome::Busy,
            }),
            CoreAction::Worker {
                partition,
                worker,
                exchange,
                ..
            } => self.step(CoreEvent::Worker {
                partition,
                worker,
                token: exchange.token,
                answer: Err(LinkFailure::NotSent),
            }),
            _ => {}
        }
    }

    fn publish(&mut self) {
        let points = self.core.service_routes();
        let own = self.core.owned_workers();
        {
            let mut routes = match self.shared.routes.write() {
                Ok(routes) => routes,
                Err(error) => error.into_inner(),
            };
            *routes = Arc::new(routes.next(points, own));
        }
        let view = self.view();
        for breach in view
            .tally
            .breaches()
            .iter()
            .skip(self.breaches_logged as usize)
        {
            log::error!("core: an invariant does not hold: {breach}");
        }
        self.breaches_logged = view.tally.breaches().len() as u64;
        match self.shared.view.lock() {
            Ok(mut shared) => *shared = view,
            Err(error) => *error.into_inner() = view,
        }
        self.shared
            .ready
            .store(self.core.is_ready(), Ordering::Release);
    }

    fn view(&self) -> CoreView {
        let zero = (TaskSize::default(), TaskSize::default());
        let room = self.core.worker_partitions().fold(zero, |sum, owner| {
            let (used, all) = owner.capacity_in_use();
            (sum.0.plus(used), sum.1.plus(all))
        });
        let teams = || self.core.team_partitions().map(|(_, owner)| owner);
        CoreView {
            tally: self.core.tally().clone(),
            partitions: (self.core.worker_partitions().count(), teams().count()),
            waiting: teams().map(|owner| owner.waiting_tasks()).sum(),
            room,
            bundle: self.core.bundle_version(),
            store_answers: self.core.store_available(),
            unarchived: teams().map(|owner| owner.unarchived()).sum(),
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(super) fn unix_millis() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as UnixMillis)
}
