//! The thread that makes all decisions.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bankvalve_queue::{
    CallerAnswer, CoreAction, CoreEvent, DecisionLine, DenialReason, EntryCore, EntrySettings,
    EntryView, PlatformPort, QueueTable, RefusalReason, ResolvedRequest, Ticket,
};
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use tokio::sync::{mpsc, oneshot};

use super::boot_time::BootTime;
use super::decision_log::DecisionLog;

/// Maximum number of inputs handled after the first one before the resulting actions go to the `links`
/// thread.
const MAX_MORE_INPUTS: usize = 64;
/// Pause that lets events queue up on a leader that receives many. Each wake-up of this thread also wakes the
/// `links` thread; without the pause these wake-ups cost a leader of 1,100 workers a tenth of a core.
const BATCHING_PAUSE: Duration = Duration::from_millis(3);
/// Interval at which the view is published to other threads.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a caller may retry a request that found the ring full, in milliseconds.
const RING_RETRY_MS: u64 = 1_000;

/// Input for the core thread.
pub(super) enum CoreInput {
    Event(CoreEvent),
    /// A caller's request that the configuration in force denies.
    RequestDenied {
        asked: String,
        reason: DenialReason,
        patience_ms: u64,
        reply: oneshot::Sender<CallerAnswer>,
    },
    Request {
        request: ResolvedRequest,
        reply: oneshot::Sender<CallerAnswer>,
    },
    End,
}

/// State that the core thread shares with the handles.
#[derive(Debug, Default)]
struct CoreShared {
    table: RwLock<Option<Arc<QueueTable>>>,
    view: Mutex<EntryView>,
    ring_full: AtomicU64,
}

/// Handle to the core thread.
#[derive(Clone)]
pub struct EntryHandle {
    ring: Sender<RingEntry>,
    shared: Arc<CoreShared>,
}

/// An input and the time at which it was queued.
pub(super) type RingEntry = (BootTime, CoreInput);

impl std::fmt::Debug for EntryHandle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("EntryHandle")
    }
}

impl EntryHandle {
    pub(super) fn new(ring: usize) -> (Self, Receiver<RingEntry>) {
        let (sender, receiver) = crossbeam::channel::bounded(ring);
        let shared = Arc::new(CoreShared::default());
        let handle = Self {
            ring: sender,
            shared,
        };
        (handle, receiver)
    }

    fn try_enqueue(&self, input: CoreInput) -> bool {
        self.ring.try_send((BootTime::now(), input)).is_ok()
    }

    /// Queues an event for the core; returns false and drops it if the ring is full.
    pub fn enqueue(&self, event: CoreEvent) -> bool {
        let queued = self.try_enqueue(CoreInput::Event(event));
        if !queued {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
        }
        queued
    }

    /// Submits a caller's request to the core and waits for the answer.
    pub async fn submit_request(&self, request: ResolvedRequest) -> CallerAnswer {
        self.request_answer(|reply| CoreInput::Request { request, reply })
            .await
    }

    /// Asks the core whether the configuration in force is the newest, for a request that it denies, and
    /// waits for the answer. `asked` is the request's host and path, for the log.
    pub async fn query_newest(
        &self,
        asked: String,
        reason: DenialReason,
        patience_ms: u64,
    ) -> CallerAnswer {
        let input = |reply| CoreInput::RequestDenied {
            asked,
            reason,
            patience_ms,
            reply,
        };
        self.request_answer(input).await
    }

    async fn request_answer(
        &self,
        input: impl FnOnce(oneshot::Sender<CallerAnswer>) -> CoreInput,
    ) -> CallerAnswer {
        let (reply, answer) = oneshot::channel();
        if !self.try_enqueue(input(reply)) {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
            return CallerAnswer::Refused {
                reason: RefusalReason::Overload,
                retry_ms: RING_RETRY_MS,
            };
        }
        answer.await.unwrap_or(CallerAnswer::Unknown)
    }

    /// Returns the configuration in force, or `None` if there is none yet.
    pub fn table(&self) -> Option<Arc<QueueTable>> {
        let table = self.shared.table.read();
        table.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Returns the view that the core published last.
    pub fn view(&self) -> EntryView {
        let view = self.shared.view.lock();
        view.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Returns how often the core's ring, or its queue to the `links` thread, was full.
    pub fn ring_full(&self) -> u64 {
        self.shared.ring_full.load(Ordering::Relaxed)
    }

    /// Ends the core thread, which also ends the `links` thread.
    pub(super) fn end(&self) {
        let _ = self.ring.send((BootTime::now(), CoreInput::End));
    }
}

/// State of the core thread.
pub(super) struct CoreLoop {
    core: EntryCore,
    port: PlatformPort,
    started: BootTime,
    shared: Arc<CoreShared>,
    links: mpsc::Sender<Vec<CoreAction>>,
    log: DecisionLog,
    replies: BTreeMap<Ticket, oneshot::Sender<CallerAnswer>>,
    outbox: Vec<CoreAction>,
}

impl CoreLoop {
    pub(super) fn new(
        settings: EntrySettings,
        port: PlatformPort,
        handle: &EntryHandle,
        links: mpsc::Sender<Vec<CoreAction>>,
        log: DecisionLog,
    ) -> Self {
        Self {
            core: EntryCore::new(settings),
            port,
            started: BootTime::now(),
            shared: handle.shared.clone(),
            links,
            log,
            replies: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Runs until [`CoreInput::End`] arrives or the ring is closed.
    pub(super) fn run(mut self, ring: &Receiver<RingEntry>) {
        let mut next_tick = Instant::now();
        let mut next_publication = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match ring.recv_timeout(wait) {
                Ok((_, CoreInput::End)) | Err(RecvTimeoutError::Disconnected) => return,
                Ok((came, input)) => {
                    self.core.note_lag(came.elapsed());
                    self.handle_input(input);
                    for (came, input) in ring.try_iter().take(MAX_MORE_INPUTS) {
                        if matches!(input, CoreInput::End) {
                            return;
                        }
                        self.core.note_lag(came.elapsed());
                        self.handle_input(input);
                    }
                }
                Err(RecvTimeoutError::Timeout) => self.core.note_lag(Duration::ZERO),
            }
            let now = Instant::now();
            if now >= next_tick {
                self.step(CoreEvent::Tick);
            }
            next_tick = next_tick.max(now).min(now + self.core.wake_after());
            if now >= next_tick {
                next_tick = now + self.core.wake_after();
            }
            self.flush();
            if self.core.prefers_batches() {
                std::thread::sleep(BATCHING_PAUSE);
            }
            if now >= next_publication {
                next_publication = now + PUBLISH_INTERVAL;
                self.publish();
            }
        }
    }

    fn handle_input(&mut self, input: CoreInput) {
        match input {
            CoreInput::Event(event) => self.step(event),
            CoreInput::RequestDenied {
                asked,
                reason,
                patience_ms,
                reply,
            } => {
                let ticket = self.core.new_ticket();
                self.replies.insert(ticket, reply);
                self.step(CoreEvent::RequestDenied {
                    ticket,
                    asked,
                    reason,
                    patience_ms,
                });
            }
            CoreInput::Request { request, reply } => {
                let ticket = self.core.new_ticket();
                self.replies.insert(ticket, reply);
                self.step(CoreEvent::Caller { ticket, request });
            }
            CoreInput::End => {}
        }
    }

    fn step(&mut self, event: CoreEvent) {
        let actions = self.core.step(self.started.elapsed(), unix_millis(), event);
        self.perform_all(actions);
    }

    fn perform_all(&mut self, actions: Vec<CoreAction>) {
        for action in actions {
            match action {
                CoreAction::Answer { ticket, answer } => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        // Fails if the caller has disconnected.
                        let _ = reply.send(answer);
                    }
                }
                CoreAction::UseTable(table) => {
                    let mut shared = match self.shared.table.write() {
                        Ok(shared) => shared,
                        Err(error) => error.into_inner(),
                    };
                    *shared = Some(Arc::new(table));
                }
                CoreAction::DecodeTable(raw) => {
                    if let Some(table) = (self.port.read_table)(&raw) {
                        let actions = self.core.install_table(table, raw);
                        self.perform_all(actions);
                    } else {
                        self.log.enqueue(unix_millis(), unreadable_table(raw.len()));
                    }
                }
                CoreAction::Log(line) => self.log.enqueue(unix_millis(), line),
                action => self.outbox.push(action),
            }
        }
    }

    fn flush(&mut self) {
        if self.outbox.is_empty() {
            return;
        }
        let actions = std::mem::take(&mut self.outbox);
        if let Err(mpsc::error::TrySendError::Full(actions)) = self.links.try_send(actions) {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
            // Sent again together with the next actions.
            self.outbox = actions;
        }
    }

    fn publish(&mut self) {
        let view = self.core.view();
        match self.shared.view.lock() {
            Ok(mut shared) => *shared = view,
            Err(error) => *error.into_inner() = view,
        }
    }
}

fn unreadable_table(bytes: usize) -> DecisionLine {
    DecisionLine {
        part: "config",
        event: "unreadable",
        id: String::new(),
        detail: format!("{bytes} bytes from a peer"),
    }
}

/// Returns the time of day in milliseconds since 1970.
pub(super) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
