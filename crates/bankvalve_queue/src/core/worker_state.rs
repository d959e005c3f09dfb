//! A worker as its leader sees it: room, clock, hold and runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::live_run::{LiveRun, RunLoad, RunPhase};
use crate::ids::{ConnectionId, CoreTime, JobId, StepKey, TaskKey};
use crate::job::TaskSize;
use crate::ledger::{CrashEvidence, CrashWeight};
use crate::peer::PeerAddress;
use crate::worker::{ProcessStart, WorkerEntry};

/// A worker that was heard so lately gets work.
const HEARD_LATELY: Duration = Duration::from_millis(1_300);
/// Silence from which on it is asked whether a worker's hold is over.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_300);
/// Time for the way of a look and a slow worker, beyond the wait that the look asks for.
pub(super) const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How much slower than ours a worker's clock may run, in percent.
pub(super) const SLOW_CLOCK_PERCENT: u32 = 2;
/// Added to every bound on a worker's clock.
pub(super) const CLOCK_SLACK: Duration = Duration::from_millis(60);
/// Failures in a row, of different jobs, after which a worker rests.
const FAILURES_TO_REST: u32 = 3;
/// First rest of a worker that fails what it starts; it doubles each time.
const FIRST_REST: Duration = Duration::from_secs(3);
/// Least weight of a new measurement of how slow a worker is: some twenty tasks are remembered.
const SLOWNESS_WEIGHT: f64 = 0.05;
/// Tasks that a predecessor's measurement counts for.
const MEASURED_BEFORE: u32 = 10;
/// Most that one task says about it; guesses of run times are off by up to 90%.
const SLOWNESS_BOUND: f64 = 0.8;
/// Most doublings of it.
const REST_DOUBLINGS: u32 = 3;

/// How it is known that a life of a worker is over, or all that it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// Another life answers at its address.
    OtherLife,
    /// Another process answers under its id.
    Restarted,
    /// It is silent, and its hold has surely run out.
    LeaseExpired,
}

impl ProcessEnd {
    /// Words for logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ProcessEnd::OtherLife => "another life answers",
            ProcessEnd::Restarted => "it has started again",
            ProcessEnd::LeaseExpired => "its hold is over",
        }
    }
}

/// The time within which a worker was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LossWindow {
    pub(super) first: CoreTime,
    pub(super) last: CoreTime,
}

impl LossWindow {
    /// At a known moment.
    pub(super) fn at(at: CoreTime) -> Self {
        Self {
            first: at,
            last: at,
        }
    }
}

/// Whether a worker's hold may be prolonged, as the ledger has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStop {
    /// Nothing is kept of it: it is prolonged while the worker is heard.
    None,
    /// It is kept, or about to be, that it is not prolonged.
    Stopped,
    /// It is about to be kept that it is prolonged again.
    Resuming,
}

/// The connection on which a worker's list came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListConnection {
    /// Who made it; none for the leader itself.
    pub(super) proxy: Option<PeerAddress>,
    pub(super) connection: ConnectionId,
}

/// Room kept for a step while it waits for permits, or for that room.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) step: StepKey,
    pub(super) resources: TaskSize,
    pub(super) until: CoreTime,
}

/// One process of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// Number of this incarnation.
    pub(super) number: u64,
    pub(super) entry: WorkerEntry,
    pub(super) listed: bool,
    /// Whether a queue or an open job names its service.
    pub(super) service_in_use: bool,
    /// Whether its entry could be read when it was last seen.
    pub(super) entry_readable: bool,
    /// When its entry was last found to be gone.
    pub(super) unlisted_at: Option<CoreTime>,
    /// Whether its port refused the last look.
    pub(super) refused: bool,
    /// When its port first refused a look since it was heard.
    pub(super) refused_at: Option<CoreTime>,
    /// Whether what is seen of its end is kept.
    pub(super) crash_evidence_proposed: bool,
    /// Whether it was given up, and was not heard since.
    pub(super) declared_lost: bool,
    /// Whether it has answered under the own token.
    pub(super) token_accepted: bool,
    /// When it first did: from then on it takes no order of a leader before.
    pub(super) token_accepted_at: CoreTime,
    /// When an answer came, and the worker's clock in it.
    pub(super) clock: Option<(CoreTime, u64)>,
    /// Greatest reading of its clock to which a hold was prolonged.
    pub(super) lease_until: u64,
    pub(super) lease_stop: LeaseStop,
    pub(super) last_contact: Option<CoreTime>,
    pub(super) known_at: CoreTime,
    /// Looks without an answer since it was heard.
    pub(super) unanswered: u32,
    pub(super) poll_in_flight: bool,
    /// Time for which the last look lets the worker wait.
    pub(super) poll_wait: Duration,
    pub(super) next_poll: CoreTime,
    pub(super) runs: BTreeMap<TaskKey, LiveRun>,
    pub(super) used: TaskSize,
    pub(super) reserved: Vec<Reservation>,
    /// Start of the process that answers, as its last list told.
    pub(super) started: Option<ProcessStart>,
    /// Connection on which its last list came.
    pub(super) listed_on: Option<ListConnection>,
    /// Greatest number of an end that was taken.
    pub(super) last_end_seen: u64,
    /// Greatest number of an end that is kept.
    pub(super) last_end_committed: u64,
    /// Greatest number up to which the process has confirmed an acknowledgement of its ends.
    pub(super) last_end_acknowledged: u64,
    /// Logarithm of how much longer than elsewhere tasks take here.
    pub(super) slowness: f64,
    measured: u32,
    failures: u32,
    failed_job: u64,
    rests: u32,
    pub(super) backoff_until: CoreTime,
}

impl WorkerState {
    pub(super) fn new(entry: WorkerEntry, listed: bool, now: CoreTime) -> Self {
        Self {
            number: 0,
            entry,
            listed,
            service_in_use: true,
            entry_readable: true,
            unlisted_at: None,
            refused: false,
            refused_at: None,
            crash_evidence_proposed: false,
            declared_lost: false,
            token_accepted: false,
            token_accepted_at: CoreTime::ZERO,
            clock: None,
            lease_until: 0,
            lease_stop: LeaseStop::None,
            last_contact: None,
            known_at: now,
            unanswered: 0,
            poll_in_flight: false,
            poll_wait: Duration::ZERO,
            next_poll: now,
            runs: BTreeMap::new(),
            used: TaskSize::default(),
            reserved: Vec::new(),
            started: None,
            listed_on: None,
            last_end_seen: 0,
            last_end_committed: 0,
            last_end_acknowledged: 0,
            slowness: 0.0,
            measured: 0,
            failures: 0,
            failed_job: 0,
            rests: 0,
            backoff_until: CoreTime::ZERO,
        }
    }

    /// The next process of a worker, which has just answered. Its entry and what the ledger has of its hold
    /// are the worker's.
    pub(super) fn restarted(before: &Self, started: Option<ProcessStart>, now: CoreTime) -> Self {
        Self {
            started,
            service_in_use: before.service_in_use,
            entry_readable: before.entry_readable,
            unlisted_at: before.unlisted_at,
            lease_stop: before.lease_stop,
            token_accepted: true,
            token_accepted_at: now,
            ..Self::new(before.entry.clone(), before.listed, now)
        }
    }

    /// For the log: how it stood when it was given up.
    pub(super) fn summary(&self, now: CoreTime) -> String {
        let silent = now.saturating_sub(self.last_contact.unwrap_or(self.known_at));
        let entry = match (self.listed, self.entry.leaving) {
            (_, true) => "leaving",
            (true, false) => "listed",
            (false, false) => "unlisted",
        };
        let address = &self.entry.address;
        let runs = self.runs.len();
        format!("{address}, silent for {silent:?}, {entry}, {runs} runs")
    }

    /// Tells whether it has answered within a time.
    pub(super) fn has_contact(&self, now: CoreTime, within: Duration) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) < within)
    }

    /// Tells whether it said that it leaves, or served on after its entry was gone: then its end is no
    /// news.
    pub(super) fn left_as_announced(&self) -> bool {
        let outlived = self.last_contact.zip(self.unlisted_at);
        self.entry.leaving || (!self.listed && outlived.is_some_and(|(heard, gone)| heard > gone))
    }

    /// Tells whether it does not answer any more, though it did.
    pub(super) fn is_unresponsive(&self, now: CoreTime) -> bool {
        self.token_accepted
            && !self.declared_lost
            && (self.refused || !self.has_contact(now, UNRESPONSIVE_AFTER))
    }

    /// When it was lost, as far as is known: its port refused, which is seen at once, or else at some
    /// moment of the time for which it may be silent and well.
    pub(super) fn loss_window(&self) -> LossWindow {
        if let Some(at) = self.refused_at {
            return LossWindow::at(at);
        }
        let first = self.last_contact.unwrap_or(self.known_at);
        let last = first + UNRESPONSIVE_AFTER;
        LossWindow { first, last }
    }

    /// Tells whether a run here began so lately that it may be what ends the worker.
    pub(super) fn has_new_run(&self, now: CoreTime) -> bool {
        self.runs.values().any(|live| live.is_new(now))
    }

    /// It is heard again: it had not ended.
    pub(super) fn forget_crashes(&mut self) {
        if std::mem::take(&mut self.crash_evidence_proposed) {
            for live in self.runs.values_mut() {
                live.crash = None;
            }
        }
    }

    /// Tells whether a suspect has it to itself.
    pub(super) fn is_on_trial(&self) -> bool {
        self.runs.values().any(|live| live.on_trial)
    }

    /// Tells whether its end is held against a task.
    pub(super) fn is_crashed_by_task(&self) -> bool {
        let proof = |evidence: &CrashEvidence| evidence.weight == CrashWeight::Proof;
        let mut runs = self.runs.values();
        runs.any(|live| live.on_trial || live.crash.as_ref().is_some_and(proof))
    }

    /// Tells whether it is lost as far as is known: silent, or away since this leader began.
    pub(super) fn is_lost(&self, now: CoreTime) -> bool {
        let away =
            !self.token_accepted && !self.declared_lost && self.listed && self.unanswered > 0;
        away || self.is_unresponsive(now)
    }

    /// Tells whether it answers as it should: within the time that its last look gave it. One whose
    /// port refuses is gone, whenever it was heard.
    pub(super) fn is_responsive(&self, now: CoreTime) -> bool {
        !self.refused && self.has_contact(now, HEARD_LATELY.max(self.usual_response_gap()))
    }

    /// Tells whether its next look is due.
    pub(super) fn poll_is_due(&self, now: CoreTime) -> bool {
        let called =
            !self.entry.address.is_empty() && (self.service_in_use || !self.runs.is_empty());
        !self.poll_in_flight && now >= self.next_poll && called
    }

    /// Tells whether it has a run whose end is urgent.
    pub(super) fn has_urgent_run(&self) -> bool {
        self.runs.values().any(|live| live.urgent)
    }

    /// Tells whether its entry was written by the process that answers, as far as both are told.
    pub(super) fn entry_is_current(&self) -> bool {
        let told = self.started.zip(self.entry.started);
        told.is_none_or(|(answers, wrote)| answers == wrote)
    }

    /// Tells whether ends are kept in the ledger that its process has not been told to drop.
    pub(super) fn has_unacknowledged_ends(&self) -> bool {
        self.last_end_committed > self.last_end_acknowledged
    }

    /// The connection for an acknowledgement by a carrier, if ends wait for one.
    ///
    /// Another process would drop ends of its own that nobody has read, and a connection ends with the process
    /// that has listed on it.
    pub(super) fn acknowledges_on(&self, proxy: Option<PeerAddress>) -> Option<ConnectionId> {
        let listed_on = self.listed_on.filter(|on| on.proxy == proxy)?;
        self.has_unacknowledged_ends()
            .then_some(listed_on.connection)
    }

    /// Starts that have no answer yet.
    pub(super) fn starts_in_flight(&self) -> usize {
        let open = |live: &&LiveRun| live.busy && live.phase == RunPhase::Ordered;
        self.runs.values().filter(open).count()
    }

    /// Takes a reading of the worker's clock from an answer.
    pub(super) fn note_clock(&mut self, now: CoreTime, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
    }

    /// Reading that its clock surely has by now.
    fn least_clock(&self, now: CoreTime) -> Option<u64> {
        let (at, reading) = self.clock?;
        let passed = now.saturating_sub(at + CLOCK_SLACK);
        let slow = passed * (100 - SLOW_CLOCK_PERCENT) / 100;
        Some(reading + slow.as_millis() as u64)
    }

    /// Reading of its clock at a time up to which it is to hold what runs, if its clock is known.
    pub(super) fn lease_deadline(&self, until: CoreTime) -> Option<u64> {
        let (at, reading) = self.clock?;
        Some(reading + until.saturating_sub(at).as_millis() as u64)
    }

    /// Tells whether its hold may be prolonged: it was heard so lately, and nothing is kept against it.
    pub(super) fn may_renew_lease(&self, now: CoreTime, heard_within: Duration) -> bool {
        let within = heard_within.max(self.usual_response_gap());
        self.token_accepted && self.has_contact(now, within) && self.lease_stop == LeaseStop::None
    }

    /// Silence of a worker that answers as it should: the wait of its last look, and its way.
    pub(super) fn usual_response_gap(&self) -> Duration {
        self.poll_wait + ANSWER_SLACK
    }

    /// Time by its own clock until every hold that this leader prolonged is surely over.
    pub(super) fn lease_left(&self, now: CoreTime) -> Duration {
        let clock = self.least_clock(now).unwrap_or_default();
        Duration::from_millis(self.lease_until.saturating_sub(clock))
    }

    /// Tells whether every hold that this leader prolonged is surely over.
    pub(super) fn lease_has_expired(&self, now: CoreTime) -> bool {
        self.least_clock(now)
            .is_some_and(|clock| clock > self.lease_until)
    }

    pub(super) fn add_run(&mut self, task: TaskKey, run: LiveRun) {
        self.used = self.used.plus(&run.resources);
        self.runs.insert(task, run);
    }

    pub(super) fn remove_run(&mut self, task: &TaskKey) -> Option<LiveRun> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// Counts a run's room as free while the run is still there.
    pub(super) fn release_resources(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            self.used = self.used.minus(&run.resources);
            run.resources = TaskSize::default();
        }
    }

    /// Lets a run that had the whole worker keep the room of its step alone.
    pub(super) fn end_trial(&mut self, task: &TaskKey, room: TaskSize) {
        if let Some(run) = self.runs.get_mut(task) {
            self.used = self.used.minus(&run.resources).plus(&room);
            run.resources = room;
            run.on_trial = false;
        }
    }

    /// Forgets the runs of a job of which nothing was ever sent.
    pub(super) fn drop_job(&mut self, job: JobId) {
        let tasks: Vec<TaskKey> = self
            .runs
            .keys()
            .filter(|task| task.step.job == job)
            .copied()
            .collect();
        for task in tasks {
            self.remove_run(&task);
        }
        self.reserved.retain(|entry| entry.step.job != job);
    }

    /// Tells whether a load must not join what runs here.
    pub(super) fn has_conflicting_run(&self, load: RunLoad) -> bool {
        load != RunLoad::Plain
            && self
                .runs
                .values()
                .any(|live| load.conflicts_with(live.load))
    }

    /// Room that a step may use now.
    pub(super) fn free_for(&self, step: StepKey, now: CoreTime) -> TaskSize {
        let kept = self.reserved_for_others(step, now);
        self.entry.room.minus(&self.used).minus(&kept)
    }

    /// Room that is kept for other steps.
    pub(super) fn reserved_for_others(&self, step: StepKey, now: CoreTime) -> TaskSize {
        self.reserved
            .iter()
            .filter(|entry| entry.step != step && entry.until > now)
            .fold(TaskSize::default(), |sum, entry| sum.plus(&entry.resources))
    }

    /// Tells whether room is kept here for a step.
    pub(super) fn has_reservation_for(&self, step: StepKey, now: CoreTime) -> bool {
        self.reserved
            .iter()
            .any(|entry| entry.step == step && entry.until > now)
    }

    /// Keeps the room that is kept for a step until a later time.
    pub(super) fn extend_reservation(&mut self, step: StepKey, until: CoreTime, now: CoreTime) {
        let kept = |entry: &&mut Reservation| entry.step == step && entry.until > now;
        for entry in self.reserved.iter_mut().filter(kept) {
            entry.until = until;
        }
    }

    pub(super) fn drop_reservation(&mut self, step: StepKey, now: CoreTime) {
        self.reserved
            .retain(|entry| entry.step != step && entry.until > now);
    }

    /// Begins with what a predecessor measured.
    pub(super) fn start_slowness(&mut self, slowness: f64) {
        self.slowness = slowness;
        self.measured = MEASURED_BEFORE;
    }

    /// Notes how much longer than usual for its queue a task took, as a logarithm.
    pub(super) fn note_slowness(&mut self, excess: f64) {
        self.measured += 1;
        let weight = (1.0 / f64::from(self.measured + 1)).max(SLOWNESS_WEIGHT);
        let bounded = excess.clamp(-SLOWNESS_BOUND, SLOWNESS_BOUND);
        self.slowness += weight * (bounded - self.slowness);
    }

    /// Whether the last run here that ended by itself failed.
    pub(super) fn last_run_failed(&self) -> bool {
        self.failures > 0
    }

    /// Notes how a run ended; returns whether the worker begins to rest.
    pub(super) fn note_result(&mut self, job: u64, good: bool, now: CoreTime) -> bool {
        if good {
            self.failures = 0;
            self.rests = 0;
            return false;
        }
        if self.failed_job != job {
            self.failed_job = job;
            self.failures += 1;
        }
        if self.failures < FAILURES_TO_REST {
            return false;
        }
        self.failures = FAILURES_TO_REST - 1;
        let doublings = self.rests.min(REST_DOUBLINGS);
        self.rests += 1;
        self.backoff_until = now + FIRST_REST * 2_u32.pow(doublings);
        true
    }
}
