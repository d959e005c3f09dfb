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

/// Events that are taken before what they led to is handed on.
const EVENTS_AT_ONCE: usize = 64;
/// Time in which events gather for a leader to which many come: each wake-up of this thread wakes
/// that of the links as well, and they cost a leader of 1,100 workers a tenth of a core.
const GATHER: Duration = Duration::from_millis(3);
/// Time between two publications of the view.
const PUBLISH: Duration = Duration::from_millis(100);
/// When a caller may come back if the ring is full, in milliseconds.
const RING_RETRY_MS: u64 = 1_000;

/// Something for the core thread.
pub(super) enum CoreInput {
    Event(CoreEvent),
    /// The configuration in force denies a caller's request.
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

/// What the core thread shares.
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

/// An input and when it came.
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

    fn put(&self, input: CoreInput) -> bool {
        self.ring.try_send((BootTime::now(), input)).is_ok()
    }

    /// Gives the core an event; returns whether the ring had room.
    pub fn give(&self, event: CoreEvent) -> bool {
        let given = self.put(CoreInput::Event(event));
        if !given {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
        }
        given
    }

    /// Gives the core a caller's request and waits for the answer.
    pub async fn ask(&self, request: ResolvedRequest) -> CallerAnswer {
        self.ask_core(|reply| CoreInput::Request { request, reply })
            .await
    }

    /// Asks the core whether the configuration in force is as new as this question, of a caller
    /// whose request it denies: host and path, for the log, and why.
    pub async fn ask_newest(
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
        self.ask_core(input).await
    }

    async fn ask_core(
        &self,
        input: impl FnOnce(oneshot::Sender<CallerAnswer>) -> CoreInput,
    ) -> CallerAnswer {
        let (reply, answer) = oneshot::channel();
        if !self.put(input(reply)) {
            self.shared.ring_full.fetch_add(1, Ordering::Relaxed);
            return CallerAnswer::Refused {
                reason: RefusalReason::Overload,
                retry_ms: RING_RETRY_MS,
            };
        }
        answer.await.unwrap_or(CallerAnswer::Unknown)
    }

    /// The configuration in force, if there is one.
    pub fn table(&self) -> Option<Arc<QueueTable>> {
        let table = self.shared.table.read();
        table.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// What the core last published.
    pub fn view(&self) -> EntryView {
        let view = self.shared.view.lock();
        view.unwrap_or_else(|error| error.into_inner()).clone()
    }

    /// Events refused because the ring was full.
    pub fn ring_full(&self) -> u64 {
        self.shared.ring_full.load(Ordering::Relaxed)
    }

    /// Ends the core thread, and with it the links.
    pub(super) fn end(&self) {
        let _ = self.ring.send((BootTime::now(), CoreInput::End));
    }
}

/// The core thread's own state.
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

    /// Runs until the ring is closed.
    pub(super) fn run(mut self, ring: &Receiver<RingEntry>) {
        let mut next_tick = Instant::now();
        let mut next_publication = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            match ring.recv_timeout(wait) {
                Ok((_, CoreInput::End)) | Err(RecvTimeoutError::Disconnected) => return,
                Ok((came, input)) => {
                    self.core.note_lag(came.elapsed());
                    self.take(input);
                    for (came, input) in ring.try_iter().take(EVENTS_AT_ONCE) {
                        if matches!(input, CoreInput::End) {
                            return;
                        }
                        self.core.note_lag(came.elapsed());
                        self.take(input);
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
                std::thread::sleep(GATHER);
            }
            if now >= next_publication {
                next_publication = now + PUBLISH;
                self.publish();
            }
        }
    }

    fn take(&mut self, input: CoreInput) {
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
        self.act_all(actions);
    }

    fn act_all(&mut self, actions: Vec<CoreAction>) {
        for action in actions {
            match action {
                CoreAction::Answer { ticket, answer } => {
                    if let Some(reply) = self.replies.remove(&ticket) {
                        // A caller that left takes no answer.
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
                        self.act_all(actions);
                    } else {
                        self.log.give(unix_millis(), unreadable_table(raw.len()));
                    }
                }
                CoreAction::Log(line) => self.log.give(unix_millis(), line),
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
            // They are tried again with what comes next.
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

/// The time of day in milliseconds since 1970.
pub(super) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
