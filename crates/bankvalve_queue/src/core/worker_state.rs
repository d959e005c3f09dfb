//! What the leader knows about one worker process: capacity, clock, lease and runs.

use std::collections::BTreeMap;
use std::time::Duration;

use super::forecast::worker_speed::WorkerSpeed;
use super::live_run::{LiveRun, RunLoad, RunPhase};
use crate::ids::{ConnectionId, CoreTime, JobId, StepKey, TaskKey};
use crate::job::TaskSize;
use crate::ledger::{CrashEvidence, CrashWeight};
use crate::peer::PeerAddress;
use crate::worker::{ProcessStart, WorkerAnswer, WorkerEntry};

/// A worker gets new tasks only if its last contact is more recent than this.
const RECENT_CONTACT: Duration = Duration::from_millis(1_300);
/// Time without contact after which a worker counts as unresponsive and its lease is checked for
/// expiry.
pub(super) const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(1_300);
/// Time allowed for the round trip of a poll and a slow worker, beyond the wait that the poll requests.
pub(super) const ANSWER_SLACK: Duration = Duration::from_millis(400);
/// How much slower than this instance's clock a worker's clock may run, in percent.
pub(super) const SLOW_CLOCK_PERCENT: u32 = 2;
/// Slack added to every bound on a worker's clock.
pub(super) const CLOCK_SLACK: Duration = Duration::from_millis(60);
/// Consecutive failures, of different jobs, after which a worker is in back-off.
const FAILURES_BEFORE_BACKOFF: u32 = 3;
/// First back-off of a worker whose runs keep failing. It doubles each time.
pub(super) const FIRST_BACKOFF: Duration = Duration::from_secs(3);
/// Minimum weight of a new slowness measurement, so that about 20 tasks are averaged.
const MIN_SLOWNESS_WEIGHT: f64 = 0.05;
/// Number of tasks that the slowness measured by the previous leader counts for.
const INHERITED_MEASUREMENTS: u32 = 10;
/// Largest contribution of one task to the slowness. Estimates of run times are off by up to 90%.
const MAX_SLOWNESS_SAMPLE: f64 = 0.8;
/// Maximum number of doublings of the back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// How the leader knows that a worker process, or everything that it ran, has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessEnd {
    /// Another process, with another worker id, answers at its address.
    OtherLife,
    /// Another process answers under the same worker id.
    Restarted,
    /// The worker is unresponsive, and its lease is known to have expired.
    LeaseExpired,
}

impl ProcessEnd {
    /// Returns the text for logs.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ProcessEnd::OtherLife => "another process answers at its address",
            ProcessEnd::Restarted => "it was restarted",
            ProcessEnd::LeaseExpired => "its lease has expired",
        }
    }
}

/// Which evidence about a worker's end has been proposed to the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvidenceStage {
    /// None.
    #[default]
    None,
    /// That its port has refused, before it is known which other workers were lost at the same time.
    First,
    /// All of it.
    Final,
}

/// The interval in which a worker was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LossWindow {
    pub(super) first: CoreTime,
    pub(super) last: CoreTime,
}

impl LossWindow {
    /// Returns the interval of a known moment.
    pub(super) fn at(at: CoreTime) -> Self {
        Self {
            first: at,
            last: at,
        }
    }
}

/// Whether the ledger allows renewing a worker's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseStop {
    /// The ledger has nothing about the lease: it is renewed while the worker is in contact.
    None,
    /// The event that the lease is no longer renewed is committed or being committed.
    Stopped,
    /// The event that the lease may be renewed again is being committed.
    Resuming,
}

/// The connection on which a worker's run lists were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ListConnection {
    /// The proxy that opened it; `None` for a connection of the leader itself.
    pub(super) proxy: Option<PeerAddress>,
    pub(super) connection: ConnectionId,
}

/// Capacity reserved for a step that waits for permits or for the rest of its capacity.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    pub(super) step: StepKey,
    pub(super) resources: TaskSize,
    pub(super) terms: ReservationTerms,
}

/// For how long capacity is reserved, and for whom.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservationTerms {
    /// Priority of the step; steps of a smaller value may use the capacity.
    pub(super) priority: u32,
    /// When it was planned, unless no other step may use the capacity.
    pub(super) planned_at: Option<CoreTime>,
    /// When the step is expected to start. Until then, shorter runs may use the capacity.
    pub(super) from: CoreTime,
    pub(super) until: CoreTime,
}

impl ReservationTerms {
    /// Returns terms under which no other step may use the capacity from now on.
    pub(super) fn always(now: CoreTime, until: CoreTime) -> Self {
        Self {
            priority: 0,
            planned_at: None,
            from: now,
            until,
        }
    }
}

/// Place of a step's plan in the order in which plans get capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlanOrder {
    /// Priority of the step's reservations.
    pub(super) priority: u32,
    /// When its capacity was planned.
    pub(super) planned_at: CoreTime,
    pub(super) step: StepKey,
}

impl Reservation {
    /// Returns whether it was planned after the capacity of another step, which then comes first. If each step
    /// waited for the capacity of the other, neither could start before nearly all runs on the worker have ended.
    ///
    /// Capacity reserved with priority 0 comes before that of all others.
    pub(super) fn is_planned_after(&self, other: PlanOrder) -> bool {
        let may_yield = self.terms.priority > 0 || other.priority == 0;
        let planned_at = self.terms.planned_at.filter(|_| may_yield);
        planned_at
            .is_some_and(|planned_at| (planned_at, self.step) > (other.planned_at, other.step))
    }

    /// Returns its place in the order of plans, unless no other step may use the capacity.
    pub(super) fn order(&self) -> Option<PlanOrder> {
        let planned_at = self.terms.planned_at?;
        Some(PlanOrder {
            priority: self.terms.priority,
            planned_at,
            step: self.step,
        })
    }

    /// Returns whether a run that is expected to end at a time may use the reserved capacity. It may use all that
    /// is reserved for steps of `yielding_priority` and later ones.
    pub(super) fn admits(&self, yielding_priority: u32, expected_end: CoreTime) -> bool {
        self.terms.priority >= yielding_priority || expected_end <= self.terms.from
    }
}

/// What the leader knows about one process of a worker.
#[derive(Debug)]
pub(super) struct WorkerState {
    /// Number of this incarnation.
    pub(super) number: u64,
    pub(super) entry: WorkerEntry,
    /// Whether the entry exists in the table, as last read.
    pub(super) listed: bool,
    /// Whether a queue or an open job names the worker's service.
    pub(super) service_in_use: bool,
    /// Whether the worker's failure domain is evacuated.
    pub(super) domain_evacuated: bool,
    /// Whether the entry could be decoded when it was last read.
    pub(super) entry_readable: bool,
    /// When the entry was last found to be removed.
    pub(super) unlisted_at: Option<CoreTime>,
    /// When the worker leaves at the earliest, if it has announced that and for when.
    pub(super) leaves_at: Option<CoreTime>,
    /// Whether this state was made from what the former leader told, for lack of an entry.
    pub(super) is_told: bool,
    /// Where the worker listens according to the leader before.
    pub(super) told_address: Option<String>,
    /// Whether the worker's port refused the last poll.
    pub(super) refused: bool,
    /// When the port first refused a poll since the last contact.
    pub(super) refused_at: Option<CoreTime>,
    /// Which evidence about the worker's end has been proposed to the ledger.
    pub(super) crash_evidence_stage: EvidenceStage,
    /// Whether the worker was declared lost and has had no contact since.
    pub(super) declared_lost: bool,
    /// Whether the worker has answered a call with this leader's fencing token.
    pub(super) token_accepted: bool,
    /// When it first did. From then on it accepts no order of a former leader.
    pub(super) token_accepted_at: CoreTime,
    /// When an answer arrived, and the reading of the worker's clock in it.
    pub(super) clock: Option<(CoreTime, u64)>,
    /// Latest reading of the worker's clock up to which a lease was granted.
    pub(super) lease_until: u64,
    pub(super) lease_stop: LeaseStop,
    pub(super) last_contact: Option<CoreTime>,
    /// When this leader learned of the process.
    pub(super) known_at: CoreTime,
    /// Polls without an answer since the last contact.
    pub(super) unanswered: u32,
    pub(super) poll_in_flight: bool,
    /// How long the last poll lets the worker wait before it answers.
    pub(super) poll_wait: Duration,
    pub(super) next_poll: CoreTime,
    pub(super) runs: BTreeMap<TaskKey, LiveRun>,
    /// Resources that the runs take.
    pub(super) used: TaskSize,
    pub(super) reserved: Vec<Reservation>,
    /// Start time of the process that answers, as reported with its last run lists.
    pub(super) started: Option<ProcessStart>,
    /// Address at which this process last answered a poll.
    pub(super) answered_at: Option<String>,
    /// Connection on which the last run lists were received.
    pub(super) listed_on: Option<ListConnection>,
    /// Highest number of an ended run that was handled.
    pub(super) last_end_seen: u64,
    /// Arrival time of the latest run lists for which all ends that existed when they were made have been
    /// read.
    pub(super) ends_read_until: Option<CoreTime>,
    /// Highest number of an ended run that is committed.
    pub(super) last_end_committed: u64,
    /// Highest number of an ended run whose acknowledgement the process has confirmed.
    pub(super) last_end_acknowledged: u64,
    /// Logarithm of how much longer tasks take on this worker than on others.
    pub(super) slowness: f64,
    /// Speed class; a higher one is slower. It is 0 for all workers while their speeds do not differ.
    pub(super) speed_class: i64,
    /// Average of the worker's own measurements, from which the slowness is computed.
    pub(super) speed: WorkerSpeed,
    /// Number of tasks that have been averaged into the slowness.
    measured: u32,
    /// Consecutive failures. Several in a row of one job count as one.
    failures: u32,
    /// Job of the last failure.
    failed_job: u64,
    /// Back-offs since the last success.
    backoffs: u32,
    pub(super) backoff_until: CoreTime,
    /// When a start order last arrived, as shown by an answer or by the run in a list.
    pub(super) start_arrived_at: Option<CoreTime>,
}

impl WorkerEntry {
    /// Returns when the worker leaves at the earliest, if its entry has just announced that.
    fn leaves_at(&self, now: CoreTime) -> Option<CoreTime> {
        let left = self.remaining_ms.filter(|_| self.leaving)?;
        Some(now.saturating_add(Duration::from_millis(left)))
    }
}

impl WorkerState {
    pub(super) fn new(entry: WorkerEntry, listed: bool, now: CoreTime) -> Self {
        Self {
            number: 0,
            leaves_at: entry.leaves_at(now),
            entry,
            listed,
            service_in_use: true,
            domain_evacuated: false,
            entry_readable: true,
            unlisted_at: None,
            is_told: false,
            told_address: None,
            refused: false,
            refused_at: None,
            crash_evidence_stage: EvidenceStage::None,
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
            answered_at: None,
            listed_on: None,
            last_end_seen: 0,
            ends_read_until: None,
            last_end_committed: 0,
            last_end_acknowledged: 0,
            slowness: 0.0,
            speed_class: 0,
            speed: WorkerSpeed::default(),
            measured: 0,
            failures: 0,
            failed_job: 0,
            backoffs: 0,
            backoff_until: CoreTime::ZERO,
            start_arrived_at: None,
        }
    }

    /// Creates the state of a worker's next process, which has just answered. The entry and the
    /// ledger's decision about the lease belong to the worker and carry over.
    pub(super) fn restarted(before: &Self, started: Option<ProcessStart>, now: CoreTime) -> Self {
        Self {
            started,
            service_in_use: before.service_in_use,
            domain_evacuated: before.domain_evacuated,
            entry_readable: before.entry_readable,
            unlisted_at: before.unlisted_at,
            leaves_at: before.leaves_at,
            lease_stop: before.lease_stop,
            speed: before.speed,
            token_accepted: true,
            token_accepted_at: now,
            ..Self::new(before.entry.clone(), before.listed, now)
        }
    }

    /// Replaces the entry by one that was just read.
    ///
    /// An entry that is read again may still have the time left that was announced first.
    pub(super) fn update_entry(&mut self, entry: WorkerEntry, now: CoreTime) {
        let before = self.leaves_at.filter(|_| entry.leaving);
        let after = entry.leaves_at(now);
        self.leaves_at = before.into_iter().chain(after).min();
        self.entry = entry;
    }

    /// Returns the minimum time until the worker leaves, as it has announced it.
    pub(super) fn time_left(&self, now: CoreTime) -> Duration {
        let left = self.leaves_at.map(|at| at.saturating_sub(now));
        left.unwrap_or(Duration::MAX)
    }

    /// Returns a summary for the log, written when the worker is declared lost.
    pub(super) fn summary(&self, now: CoreTime) -> String {
        let no_contact_for = now.saturating_sub(self.last_contact.unwrap_or(self.known_at));
        let entry = match (self.listed, self.entry.leaving) {
            (_, true) => "leaving",
            (true, false) => "listed",
            (false, false) => "unlisted",
        };
        let address = &self.entry.address;
        let runs = self.runs.len();
        format!("{address}, no contact for {no_contact_for:?}, entry {entry}, {runs} runs")
    }

    /// Returns whether the last contact is more recent than `within`.
    pub(super) fn has_contact(&self, now: CoreTime, within: Duration) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) < within)
    }

    /// Returns whether the worker has announced that it leaves. An announcement of another process, such as a write of
    /// the one before that arrives late, says nothing about the process that answers.
    pub(super) fn has_announced_departure(&self) -> bool {
        self.entry.leaving && self.entry_is_current()
    }

    /// Returns whether the worker still answered after its entry was removed.
    pub(super) fn has_outlived_entry(&self) -> bool {
        let outlived = self.last_contact.zip(self.unlisted_at);
        !self.listed && outlived.is_some_and(|(contact, gone)| contact > gone)
    }

    /// Returns whether the worker announced that it leaves, or still answered after its entry was
    /// removed. Its end is then expected.
    pub(super) fn left_as_announced(&self) -> bool {
        self.entry.leaving || self.has_outlived_entry()
    }

    /// Returns whether a worker that has answered this leader no longer answers.
    pub(super) fn is_unresponsive(&self, now: CoreTime) -> bool {
        self.token_accepted
            && !self.declared_lost
            && (self.refused || !self.has_contact(now, UNRESPONSIVE_AFTER))
    }

    /// Returns when the worker was lost. If its port refused, that is the moment of the refusal.
    /// Otherwise the window starts at the last contact and lasts as long as a working worker may be
    /// without contact.
    pub(super) fn loss_window(&self) -> LossWindow {
        if let Some(at) = self.refused_at {
            return LossWindow::at(at);
        }
        let first = self.last_contact.unwrap_or(self.known_at);
        let last = first + UNRESPONSIVE_AFTER;
        LossWindow { first, last }
    }

    /// Returns whether a run started here so recently that it may be the cause of the worker's end.
    pub(super) fn has_new_run(&self, now: CoreTime) -> bool {
        self.runs.values().any(|live| live.is_new(now))
    }

    /// Returns the time until none of the runs here is new.
    pub(super) fn time_until_settled(&self, now: CoreTime) -> Duration {
        let settle = self.runs.values().map(LiveRun::settles_at);
        settle.max().unwrap_or(now).saturating_sub(now)
    }

    /// Drops the crash evidence of all runs, because the worker is in contact again and so has not
    /// ended.
    pub(super) fn forget_crashes(&mut self) {
        if std::mem::take(&mut self.crash_evidence_stage) == EvidenceStage::Final {
            for live in self.runs.values_mut() {
                live.crash = None;
            }
        }
    }

    /// Returns whether a suspect runs here isolated.
    pub(super) fn is_on_trial(&self) -> bool {
        self.runs.values().any(|live| live.on_trial)
    }

    /// Returns whether the worker's end counts as evidence against one of its tasks.
    pub(super) fn is_crashed_by_task(&self) -> bool {
        let proof = |evidence: &CrashEvidence| evidence.weight == CrashWeight::Proof;
        let mut runs = self.runs.values();
        runs.any(|live| live.on_trial || live.crash.as_ref().is_some_and(proof))
    }

    /// Returns whether the worker is probably lost: unresponsive, or listed without having answered any
    /// poll of this leader.
    pub(super) fn is_lost(&self, now: CoreTime) -> bool {
        let never_answered =
            !self.token_accepted && !self.declared_lost && self.listed && self.unanswered > 0;
        never_answered || self.is_unresponsive(now)
    }

    /// Returns whether the worker answers within the wait of its last poll. A worker whose port refuses
    /// has ended, however recent the last contact is.
    pub(super) fn is_responsive(&self, now: CoreTime) -> bool {
        !self.refused && self.has_contact(now, RECENT_CONTACT.max(self.usual_response_gap()))
    }

    /// Returns whether the next poll is due.
    pub(super) fn poll_is_due(&self, now: CoreTime) -> bool {
        let called =
            !self.entry.address.is_empty() && (self.service_in_use || !self.runs.is_empty());
        !self.poll_in_flight && now >= self.next_poll && called
    }

    /// Returns whether the worker has a run whose end is urgent.
    pub(super) fn has_urgent_run(&self) -> bool {
        self.runs.values().any(|live| live.urgent)
    }

    /// Returns whether the entry was written by the process that answers. True if either start time is
    /// unknown, as long as the process answers at the entry's address.
    pub(super) fn entry_is_current(&self) -> bool {
        let known = self.started.zip(self.entry.started);
        known.is_none_or(|(answers, wrote)| answers == wrote)
            && self
                .answered_at
                .as_ref()
                .is_none_or(|answered| *answered == self.entry.address)
    }

    /// Returns whether the entry can be decoded and was written by the process that answers, so that its capacity
    /// is that of the worker.
    pub(super) fn has_usable_entry(&self) -> bool {
        self.entry_is_current() && self.entry_readable
    }

    /// Returns the address for the next call. Another writer may have changed the entry, so calls go to
    /// where the process has answered; while it does not, every second one goes to the entry's address.
    pub(super) fn call_address(&self) -> &str {
        match self.known_address() {
            Some(known) if self.unanswered % 2 == 0 => known,
            _ => &self.entry.address,
        }
    }

    /// Returns where the process has answered this leader or, if it has not, a former one.
    fn known_address(&self) -> Option<&str> {
        let address = self.answered_at.as_deref();
        address.or(self.told_address.as_deref())
    }

    /// Returns what an answer from an address shows about this process. Where it has never answered, another
    /// process or a refused connection is no evidence that it has ended; if it has answered nowhere, another
    /// process is evidence only once its entry is known to be gone too.
    pub(super) fn evidence_in(
        &self,
        answer: WorkerAnswer,
        address: &str,
        entries_known: bool,
    ) -> WorkerAnswer {
        let at_other_address = self.known_address().is_some_and(|at| at != address);
        let may_be_listed = self.listed || !entries_known;
        match answer {
            WorkerAnswer::OtherLife
                if self.answered_at.is_none() && may_be_listed && !self.runs.is_empty() =>
            {
                WorkerAnswer::NoReply
            }
            WorkerAnswer::OtherLife | WorkerAnswer::PortRefused if at_other_address => {
                WorkerAnswer::NoReply
            }
            answer => answer,
        }
    }

    /// Returns whether a run's end may be among those that the worker has not reported yet.
    pub(super) fn awaits_further_ends(&self) -> bool {
        self.runs.values().any(|live| live.unlisted_since.is_some())
    }

    /// Returns whether the next list will show whether the order of a run that is stopped has arrived.
    pub(super) fn awaits_absence(&self) -> bool {
        self.runs.values().any(LiveRun::awaits_absence)
    }

    /// Records that an end was read of a run that had not ended at a time. The worker reports its ends in the
    /// order in which they occurred, so all that had occurred by then have been read.
    pub(super) fn record_ends_read(&mut self, not_ended_at: Option<CoreTime>) {
        self.ends_read_until = self.ends_read_until.max(not_ended_at);
    }

    /// Returns whether the ledger has ended runs whose acknowledgement the process has not confirmed.
    pub(super) fn has_unacknowledged_ends(&self) -> bool {
        self.last_end_committed > self.last_end_acknowledged
    }

    /// Returns the connection on which a proxy, or the leader itself, has received the last run lists.
    ///
    /// A connection ends with the process at its other end, so a call on it reaches the process that sent
    /// these lists, or none. Another process would drop ends of its own that nobody has read, and would take a
    /// deadline by the clock of this one for the longest lease that it grants.
    pub(super) fn connection_of(&self, proxy: Option<PeerAddress>) -> Option<ConnectionId> {
        let listed_on = self.listed_on.filter(|on| on.proxy == proxy)?;
        Some(listed_on.connection)
    }

    /// Returns the number of starts without an answer yet.
    pub(super) fn starts_in_flight(&self) -> usize {
        let open = |live: &&LiveRun| live.busy && live.phase == RunPhase::Ordered;
        self.runs.values().filter(open).count()
    }

    /// Records a reading of the worker's clock from an answer.
    pub(super) fn record_clock(&mut self, now: CoreTime, clock_ms: u64) {
        self.clock = Some((now, clock_ms));
    }

    /// Returns a lower bound on the current reading of the worker's clock.
    fn min_clock(&self, now: CoreTime) -> Option<u64> {
        let (at, reading) = self.clock?;
        let passed = now.saturating_sub(at + CLOCK_SLACK);
        let slow = passed * (100 - SLOW_CLOCK_PERCENT) / 100;
        Some(reading + slow.as_millis() as u64)
    }

    /// Returns the reading of the worker's clock for a lease that ends at `until`, or `None` if the
    /// clock is unknown.
    pub(super) fn lease_deadline(&self, until: CoreTime) -> Option<u64> {
        let (at, reading) = self.clock?;
        Some(reading + until.saturating_sub(at).as_millis() as u64)
    }

    /// Returns whether the lease may be renewed: the last contact is recent, and the ledger does not
    /// forbid it.
    pub(super) fn may_renew_lease(&self, now: CoreTime, contact_within: Duration) -> bool {
        let within = contact_within.max(self.usual_response_gap());
        self.token_accepted && self.has_contact(now, within) && self.lease_stop == LeaseStop::None
    }

    /// Returns the longest time without contact of a worker that works normally: the wait of its last
    /// poll plus the slack for its answer.
    pub(super) fn usual_response_gap(&self) -> Duration {
        self.poll_wait + ANSWER_SLACK
    }

    /// Returns the time, by the worker's clock, until every lease that this leader granted has expired.
    pub(super) fn lease_left(&self, now: CoreTime) -> Duration {
        let clock = self.min_clock(now).unwrap_or_default();
        Duration::from_millis(self.lease_until.saturating_sub(clock))
    }

    /// Returns whether every lease that this leader granted is known to have expired.
    pub(super) fn lease_has_expired(&self, now: CoreTime) -> bool {
        self.min_clock(now)
            .is_some_and(|clock| clock > self.lease_until)
    }

    pub(super) fn add_run(&mut self, task: TaskKey, mut run: LiveRun) {
        run.slowness = self.slowness;
        self.used = self.used.plus(&run.resources);
        self.runs.insert(task, run);
    }

    pub(super) fn remove_run(&mut self, task: &TaskKey) -> Option<LiveRun> {
        let run = self.runs.remove(task)?;
        self.used = self.used.minus(&run.resources);
        Some(run)
    }

    /// Counts the resources of a run as free although the run is still there.
    pub(super) fn release_resources(&mut self, task: &TaskKey) {
        if let Some(run) = self.runs.get_mut(task) {
            self.used = self.used.minus(&run.resources);
            run.resources = TaskSize::default();
        }
    }

    /// Ends the isolation of a run: it keeps the resources of its step instead of the entire worker.
    pub(super) fn end_trial(&mut self, task: &TaskKey, resources: TaskSize) {
        if let Some(run) = self.runs.get_mut(task) {
            self.used = self.used.minus(&run.resources).plus(&resources);
            run.resources = resources;
            run.on_trial = false;
        }
    }

    /// Forgets the runs of a job that was never sent to the worker.
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

    /// Returns whether a run here conflicts with a load.
    pub(super) fn has_conflicting_run(&self, load: RunLoad) -> bool {
        load != RunLoad::Plain
            && self
                .runs
                .values()
                .any(|live| load.conflicts_with(live.load))
    }

    /// Returns the capacity that is neither used nor reserved, apart from reservations for which `admits` holds.
    pub(super) fn free_beside(
        &self,
        admits: impl Fn(&Reservation) -> bool,
        now: CoreTime,
    ) -> TaskSize {
        let reserved = self.reserved_except(admits, now);
        self.entry.room.minus(&self.used).minus(&reserved)
    }

    /// Returns the reserved capacity, apart from reservations for which `admits` holds.
    pub(super) fn reserved_except(
        &self,
        admits: impl Fn(&Reservation) -> bool,
        now: CoreTime,
    ) -> TaskSize {
        self.reserved
            .iter()
            .filter(|entry| entry.terms.until > now && !admits(entry))
            .fold(TaskSize::default(), |sum, entry| sum.plus(&entry.resources))
    }

    /// Returns whether capacity is reserved here for a step.
    pub(super) fn has_reservation_for(&self, step: StepKey, now: CoreTime) -> bool {
        self.reserved
            .iter()
            .any(|entry| entry.step == step && entry.terms.until > now)
    }

    /// Extends the reservations of a step.
    pub(super) fn extend_reservation(&mut self, step: StepKey, until: CoreTime, now: CoreTime) {
        let reserved_now = |entry: &&mut Reservation| entry.step == step && entry.terms.until > now;
        for entry in self.reserved.iter_mut().filter(reserved_now) {
            entry.terms.until = until;
        }
    }

    /// Moves the planned start of a step and the end of its reservations.
    pub(super) fn move_reservation(&mut self, step: StepKey, from: CoreTime, until: CoreTime) {
        let own = self.reserved.iter_mut().filter(|entry| entry.step == step);
        for entry in own {
            entry.terms.from = from;
            entry.terms.until = until;
        }
    }

    pub(super) fn drop_reservation(&mut self, step: StepKey, now: CoreTime) {
        self.reserved
            .retain(|entry| entry.step != step && entry.terms.until > now);
    }

    /// Starts with the slowness that the previous leader measured.
    pub(super) fn start_slowness(&mut self, slowness: f64) {
        self.slowness = slowness;
        // A list of all workers' entries may be read again after this leader has measured more.
        if self.speed.weight() < f64::from(INHERITED_MEASUREMENTS) {
            self.speed = WorkerSpeed::inherited(slowness, f64::from(INHERITED_MEASUREMENTS));
        }
        self.measured = INHERITED_MEASUREMENTS;
    }

    /// Records how much longer than usual for its queue a task took, as a logarithm.
    pub(super) fn record_slowness(&mut self, excess: f64) {
        self.measured += 1;
        let weight = (1.0 / f64::from(self.measured + 1)).max(MIN_SLOWNESS_WEIGHT);
        let bounded = excess.clamp(-MAX_SLOWNESS_SAMPLE, MAX_SLOWNESS_SAMPLE);
        self.slowness += weight * (bounded - self.slowness);
    }

    /// Returns whether the last run here that ended on its own has failed.
    pub(super) fn last_run_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records how a run ended. Returns whether the worker's back-off starts.
    pub(super) fn record_result(&mut self, job: u64, good: bool, now: CoreTime) -> bool {
        if good {
            self.failures = 0;
            self.backoffs = 0;
            return false;
        }
        if self.failed_job != job {
            self.failed_job = job;
            self.failures += 1;
        }
        if self.failures < FAILURES_BEFORE_BACKOFF {
            return false;
        }
        self.failures = FAILURES_BEFORE_BACKOFF - 1;
        self.start_backoff(now);
        true
    }

    /// Starts the back-off, which doubles each time.
    pub(super) fn start_backoff(&mut self, now: CoreTime) {
        let doublings = self.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        self.backoffs += 1;
        self.backoff_until = now + FIRST_BACKOFF * 2_u32.pow(doublings);
    }
}
