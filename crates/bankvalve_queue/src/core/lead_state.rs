//! What only the leader knows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::advice::StepAdvice;
use super::call_proxies::ProxyList;
use super::capacity_reclaim::CapacityClaim;
use super::commit::{InFlightCommit, Origin, Proposal};
use super::customer_limits::{CustomerUsage, LimitStatus};
use super::customer_shares::CustomerShares;
use super::incarnation::Incarnation;
use super::live_run::LiveRun;
use super::load_limit::LoadLimit;
use super::lost_contact::WaitTracker;
use super::restart_preparation::RestartingStep;
use super::suspects::WorkerLoss;
use super::waiting_steps::WaitingStep;
use super::worker_map::WorkerMap;
use super::EntryCore;
use crate::caller::CallerRequest;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId, StepKey, TaskKey, Ticket, WallMillis, WorkerId};
use crate::job::TaskSize;
use crate::ledger::JobOutcome;
use crate::peer::PeerAddress;

/// Pause before a time that is due is looked at again whose job has many open ones.
const CROWDED_PAUSE_MS: u64 = 500;

/// Time between two looks for jobs that ended so long ago that they are forgotten.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// Longest time that a start is reckoned to take to be kept: permits last some 1.5 s, and must
/// stay usable while the table is slow.
const KEEP_LIMIT: Duration = Duration::from_millis(900);

/// Pause of all that an instance does after which another may lead: less than the silence after which
/// the first in rank claims.
const STOOD_STILL: Duration = Duration::from_millis(600);

/// Time for which a write that was answered tells of the own link.
const COMMIT_TELLS: Duration = Duration::from_millis(1_000);

/// Time between two goes through all workers, for each of them: some four hundred times what a look
/// at one costs.
const SCAN_EACH: Duration = Duration::from_micros(45);
/// Longest time between two of them.
const SCAN_MOST: Duration = Duration::from_millis(50);

/// The usual time of an answer, times this, after which it is taken for lost: an order that is
/// repeated needlessly does no harm, and costs what one call costs.
const ANSWER_FACTOR: u32 = 8;
/// Least time of that kind: some ten ways across a site, and a small instance's turn.
const ANSWER_LEAST: Duration = Duration::from_millis(80);

/// Share of answers that are missed from which on answers are late rather than lost, in thousandths,
/// and how many answers it is taken over: the platform loses some in ten, seldom four.
const MISSED_MOSTLY: u32 = 650;
const MISS_MEMORY: u32 = 24;
/// Time by which an answer is then waited for longer after each one that was missed, and at most,
/// which is reached after some thirty.
const MISS_STEP: Duration = Duration::from_millis(10);
const MISS_MOST: Duration = Duration::from_millis(1_500);

/// What a call to a worker was for.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    /// A look, and the number of the last end that it acknowledges; 0 for none.
    Poll {
        acknowledges: u64,
    },
    Start {
        task: TaskKey,
        run: u64,
    },
    Stop {
        task: TaskKey,
        run: u64,
    },
}

/// A call to a worker that has no answer yet.
#[derive(Clone, Debug)]
pub(super) struct OpenCall {
    pub(super) worker: Incarnation,
    pub(super) purpose: CallPurpose,
    pub(super) sent_at: CoreTime,
    /// Who carries it, if it is carried.
    pub(super) proxy: Option<PeerAddress>,
    /// When it has no answer, if none was heard of.
    pub(super) limit: CoreTime,
}

/// A request about a job that the leader does not know, until it is sure that it leads.
#[derive(Debug)]
pub(super) struct UnknownJobRequest {
    pub(super) at: CoreTime,
    pub(super) origin: Origin,
    pub(super) caller: CallerIdentity,
    pub(super) request: CallerRequest,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeadState {
    pub(super) epoch: u64,
    pub(super) row_version: u64,
    pub(super) began_at: CoreTime,
    /// Whether the whole ledger has been read.
    pub(super) loaded: bool,
    /// When a page of the ledger that did not come is asked for anew.
    pub(super) load_at: Option<CoreTime>,
    /// Whether the workers' entries have been read.
    pub(super) workers_known: bool,
    /// When a request was sent that the table answered and by which the own row stood.
    pub(super) confirmed_at: CoreTime,
    /// When this instance last went on after it had stood still for so long that another may lead.
    woke_at: CoreTime,
    /// Since when something was asked of the table without any answer coming.
    pub(super) unanswered_since: Option<CoreTime>,
    /// Since when peers are told that the table leaves requests unanswered.
    pub(super) trouble_since: Option<CoreTime>,
    pub(super) confirming: Option<CoreTime>,
    pub(super) next_confirm: CoreTime,
    /// Since when the table has turned all writes away, while none is on its way.
    pub(super) unavailable_since: Option<CoreTime>,
    pub(super) confirm_waiting: Vec<UnknownJobRequest>,
    pub(super) sequence: u64,
    pub(super) pending: VecDeque<Proposal>,
    pub(super) flight: Option<InFlightCommit>,
    pub(super) next_commit_at: CoreTime,
    /// Time that a write takes, lately.
    pub(super) commit_time: Duration,
    /// What the last write took, and when it was answered.
    last_commit: Option<(Duration, CoreTime)>,
    /// Time from a proposal of a start to its order, lately.
    order_wait: Duration,
    pub(super) uncommitted: BTreeMap<JobId, u32>,
    /// Open jobs of which a worker has told that a task began.
    pub(super) begun: BTreeSet<JobId>,
    /// Suspects that have a worker to themselves, with that worker.
    pub(super) trials: BTreeMap<TaskKey, Incarnation>,
    /// Workers that were lost lately, but for those whose end is held against a task.
    pub(super) worker_losses: Vec<WorkerLoss>,
    /// How often a task was stopped because its run was overdue.
    pub(super) moves: BTreeMap<TaskKey, u32>,
    /// Since when steps have found no room for all their tasks.
    pub(super) capacity_waits: BTreeMap<StepKey, CoreTime>,
    /// When room is planned again for steps for which none could be.
    pub(super) plan_pauses: BTreeMap<StepKey, CoreTime>,
    /// Room that is kept for steps that wait for it.
    pub(super) capacity_claims: BTreeMap<StepKey, CapacityClaim>,
    /// How often a task was stopped to make room.
    pub(super) stops: BTreeMap<TaskKey, u32>,
    /// Jobs that are over, of which it is not kept yet.
    pub(super) ending: BTreeSet<JobId>,
    pub(super) worker_states: WorkerMap,
    /// What is told of tasks that do not run though they did.
    pub(super) wait_tracker: WaitTracker,
    pub(super) calls: BTreeMap<Ticket, OpenCall>,
    /// Time that the way to a carrier and back takes, as heartbeats and their echoes tell.
    pub(super) round_trip_time: Duration,
    /// Calls by the time at which they have no answer.
    pub(super) call_deadlines: BTreeSet<(CoreTime, Ticket)>,
    pub(super) proxies: ProxyList,
    /// Time that workers take to answer an order, lately; it rises quickly and falls slowly.
    answer_time: Duration,
    /// Time for which answers are waited for longer, since some were missed.
    missed_time: Duration,
    /// Share of answers that were missed lately, in thousandths.
    missed_permille: u32,
    pub(super) waiting: BTreeMap<StepKey, WaitingStep>,
    /// What customers have running, as of the last placement.
    pub(super) usage: CustomerUsage,
    /// Steps that waited for their customer's limit at the last placement.
    pub(super) waiting_for_limit: BTreeMap<StepKey, LimitStatus>,
    pub(super) shares: CustomerShares,
    pub(super) dirty_jobs: BTreeSet<JobId>,
    pub(super) due: BTreeSet<(WallMillis, JobId, u32)>,
    pub(super) advice: BTreeMap<StepKey, StepAdvice>,
    /// Steps of open jobs whose tasks last, one by one.
    pub(super) lasting_steps: BTreeSet<StepKey>,
    /// Those of them with tasks that are away or soon will be.
    pub(super) restarting: BTreeMap<StepKey, RestartingStep>,
    pub(super) next_restart_preparation: CoreTime,
    /// Logarithm of measured to guessed run time by queue, on average.
    pub(super) estimate_error: BTreeMap<String, f64>,
    pub(super) adviser_busy: BTreeMap<PeerAddress, CoreTime>,
    /// Whether room, permits or waiting steps changed since the last placement.
    pub(super) placement_due: bool,
    pub(super) place_at: CoreTime,
    /// When all workers are gone through again for looks and for orders that are due.
    pub(super) next_poll_scan: CoreTime,
    pub(super) next_order_scan: CoreTime,
    /// Runs to which an order is due, by the time at which it is.
    due_orders: BTreeSet<(CoreTime, WorkerId, TaskKey)>,
    /// When a peer was asked to lead, while this leader goes on.
    pub(super) handover_sent_at: Option<CoreTime>,
    pub(super) next_forget: CoreTime,
    pub(super) next_measurements: CoreTime,
    pub(super) load: LoadLimit,
    pub(super) next_advice_scan: CoreTime,
    /// Jobs of each queue that are not known to have begun, as counted lately, and when.
    pub(super) waiting_counts: BTreeMap<String, (CoreTime, u64)>,
}

impl LeadState {
    pub(super) fn new(epoch: u64, row_version: u64, now: CoreTime) -> Self {
        Self {
            epoch,
            row_version,
            began_at: now,
            loaded: false,
            load_at: None,
            workers_known: false,
            confirmed_at: now,
            woke_at: CoreTime::ZERO,
            unanswered_since: None,
            trouble_since: None,
            confirming: None,
            next_confirm: now,
            unavailable_since: None,
            confirm_waiting: Vec::new(),
            sequence: 0,
            pending: VecDeque::new(),
            flight: None,
            next_commit_at: now,
            commit_time: Duration::ZERO,
            last_commit: None,
            order_wait: Duration::ZERO,
            uncommitted: BTreeMap::new(),
            begun: BTreeSet::new(),
            trials: BTreeMap::new(),
            worker_losses: Vec::new(),
            moves: BTreeMap::new(),
            capacity_waits: BTreeMap::new(),
            plan_pauses: BTreeMap::new(),
            capacity_claims: BTreeMap::new(),
            stops: BTreeMap::new(),
            ending: BTreeSet::new(),
            worker_states: WorkerMap::default(),
            wait_tracker: WaitTracker::default(),
            calls: BTreeMap::new(),
            round_trip_time: Duration::ZERO,
            call_deadlines: BTreeSet::new(),
            proxies: ProxyList::default(),
            answer_time: Duration::ZERO,
            missed_time: Duration::ZERO,
            missed_permille: 0,
            waiting: BTreeMap::new(),
            usage: CustomerUsage::default(),
            waiting_for_limit: BTreeMap::new(),
            shares: CustomerShares::default(),
            dirty_jobs: BTreeSet::new(),
            due: BTreeSet::new(),
            advice: BTreeMap::new(),
            lasting_steps: BTreeSet::new(),
            restarting: BTreeMap::new(),
            next_restart_preparation: now,
            estimate_error: BTreeMap::new(),
            adviser_busy: BTreeMap::new(),
            placement_due: true,
            place_at: now,
            next_poll_scan: now,
            next_order_scan: now,
            due_orders: BTreeSet::new(),
            handover_sent_at: None,
            next_forget: now,
            next_measurements: now,
            load: LoadLimit::new(now),
            next_advice_scan: now,
            waiting_counts: BTreeMap::new(),
        }
    }

    /// A run that a worker has, or is about to have.
    pub(super) fn live_run(&mut self, worker: &WorkerId, task: &TaskKey) -> Option<&mut LiveRun> {
        self.worker_states.get_mut(worker)?.runs.get_mut(task)
    }

    /// Notes that an order to a run is due at a time.
    pub(super) fn have_order_due(&mut self, at: CoreTime, worker: &WorkerId, task: TaskKey) {
        self.due_orders.insert((at, worker.clone(), task));
    }

    /// Takes the runs to which an order is due now.
    pub(super) fn take_due_orders(&mut self, now: CoreTime) -> Vec<(WorkerId, TaskKey)> {
        let mut due = Vec::new();
        while self.due_orders.first().is_some_and(|(at, ..)| *at <= now) {
            due.extend(
                self.due_orders
                    .pop_first()
                    .map(|(_, worker, task)| (worker, task)),
            );
        }
        due
    }

    /// Time between two goes through all workers: a small share of the processor, whatever their
    /// number.
    pub(super) fn scan_interval(&self) -> Duration {
        (SCAN_EACH * self.worker_states.len() as u32).min(SCAN_MOST)
    }

    pub(super) fn waiting_tasks(&self) -> u64 {
        self.waiting
            .values()
            .map(|step| u64::from(step.tasks))
            .sum()
    }

    pub(super) fn live_runs(&self) -> u64 {
        self.worker_states
            .values()
            .map(|state| state.runs.len() as u64)
            .sum()
    }

    /// Tells whether something is to be kept or placed soon.
    pub(super) fn is_busy(&self) -> bool {
        self.placement_due || (self.flight.is_none() && !self.pending.is_empty())
    }

    /// The table has answered.
    pub(super) fn note_store_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// Time has passed in which nothing was done: the machine was suspended or frozen.
    pub(super) fn note_pause(&mut self, pause: Duration, now: CoreTime) {
        if pause > STOOD_STILL {
            self.woke_at = now;
            self.next_confirm = now;
        }
    }

    /// Whether it is not known yet that it still leads after it stood still.
    pub(super) fn must_confirm_lead(&self) -> bool {
        self.confirmed_at < self.woke_at
    }

    /// A write was answered after so long.
    pub(super) fn note_commit(&mut self, took: Duration, now: CoreTime) {
        self.commit_time = (self.commit_time + took) / 2;
        self.last_commit = Some((took, now));
    }

    /// Most by which the own link can be behind, by the last write: its request and its answer went
    /// over that link. Where peers read the ledger on thin links of their own, their echoes wait behind
    /// it for many seconds; taken for the leader's link, they had it refuse 97 of 100 new jobs 15 s after
    /// all instances were back.
    pub(super) fn link_delay(&self, now: CoreTime) -> Duration {
        let lately = |at: CoreTime| now.saturating_sub(at) < COMMIT_TELLS;
        let known = self.last_commit.filter(|(_, at)| lately(*at));
        known.map_or(Duration::MAX, |(took, _)| took)
    }

    /// Time until a start that is proposed now is ordered, as the last ones took.
    pub(super) fn time_to_commit(&self) -> Duration {
        self.order_wait.max(self.commit_time).min(KEEP_LIMIT)
    }

    /// A worker answered an order after so long.
    pub(super) fn note_answer(&mut self, took: Duration) {
        self.answer_time = if took > self.answer_time {
            (self.answer_time * 3 + took) / 4
        } else {
            (self.answer_time * 15 + took) / 16
        };
    }

    /// A worker that was heard lately has not answered in the time that answers take: where none
    /// comes any more, they take longer than was thought.
    pub(super) fn note_miss(&mut self) {
        self.missed_permille += (1_000 - self.missed_permille) / MISS_MEMORY;
        if self.missed_permille > MISSED_MOSTLY {
            let more = (self.missed_time + MISS_STEP) * 9 / 8;
            self.missed_time = more.min(MISS_MOST);
        }
    }

    /// A worker has answered in time.
    pub(super) fn note_in_time(&mut self) {
        self.missed_permille -= self.missed_permille / MISS_MEMORY;
        self.missed_time = self.missed_time * 15 / 16;
    }

    /// Time after which an answer that should come at once is taken for lost; beyond `most` only by
    /// what was missed lately.
    pub(super) fn answer_limit(&self, most: Duration) -> Duration {
        (self.answer_time * ANSWER_FACTOR).clamp(ANSWER_LEAST, most) + self.missed_time
    }

    /// A start was ordered so long after it was proposed.
    pub(super) fn note_order_delay(&mut self, wait: Duration) {
        self.order_wait = (self.order_wait * 3 + wait) / 4;
    }

    /// The most that is free of each kind of room, on whichever workers.
    pub(super) fn max_free(&self) -> TaskSize {
        let free = self
            .worker_states
            .values()
            .map(|state| state.entry.room.minus(&state.used));
        free.fold(TaskSize::default(), |most, room| TaskSize {
            millicores: most.millicores.max(room.millicores),
            memory_mib: most.memory_mib.max(room.memory_mib),
            accelerators: most.accelerators.max(room.accelerators),
        })
    }
}

impl EntryCore {
    /// Does what the leader has to do now; nothing on an instance that does not lead.
    pub(super) fn run_lead(&mut self) {
        let (now, lag) = (self.now, self.lag);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.load.note(now, lag);
        self.run_confirm();
        self.run_loading();
        // Ends must not be taken before the jobs that they belong to are known.
        let loaded = self.lead.as_ref().is_some_and(|lead| lead.loaded);
        if loaded || !self.enforces(SiteGuard::LedgerFirst) {
            self.run_proxies();
            self.run_polls();
            self.open_due_times();
            self.run_orders();
            self.refresh_dirty_jobs();
            self.prepare_restarts();
            self.run_placing();
            self.run_advice();
        }
        self.run_commit();
        self.forget_ended();
    }

    /// Opens the times of repeated jobs that have fallen due.
    fn open_due_times(&mut self) {
        let early = self.settings.early.as_millis() as u64 / 2;
        let now = self.wall + early;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        while let Some(&(due, job, time)) = lead.due.first() {
            if due > now {
                return;
            }
            lead.due.pop_first();
            if let Some(record) = self.book.job_mut(job) {
                if record.has_many_times() {
                    lead.due.insert((now + CROWDED_PAUSE_MS, job, time));
                    continue;
                }
                record.open_time(time);
                lead.dirty_jobs.insert(job);
                if time + 1 < record.spec.times() {
                    let next = record.spec.due_ms(time + 1);
                    lead.due.insert((next, job, time + 1));
                }
            }
        }
    }

    fn forget_ended(&mut self) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if self.now < lead.next_forget {
            return;
        }
        lead.next_forget = self.now + FORGET_EVERY;
        self.forget_stopped_leases();
        self.log_dropped_lines();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let kept = self.settings.status_time.as_millis() as u64 * 2;
        self.book.forget_ended(self.wall.saturating_sub(kept));
        let book = &self.book;
        let open = |job: JobId| {
            book.job(job)
                .is_some_and(|job| job.outcome == JobOutcome::Open)
        };
        lead.begun.retain(|job| open(*job));
        lead.shares.retain(open);
        lead.moves.retain(|task, _| open(task.step.job));
        lead.stops.retain(|task, _| open(task.step.job));
        lead.capacity_waits.retain(|step, _| open(step.job));
        lead.capacity_claims.retain(|step, _| open(step.job));
        lead.plan_pauses.retain(|step, _| open(step.job));
        lead.advice.retain(|step, _| open(step.job));
        lead.waiting_counts.clear();
    }

    /// Prepares the times of a job that repeats.
    pub(super) fn schedule_times(&mut self, job: JobId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(record) = self.book.job(job) else {
            return;
        };
        let open = record.outcome == JobOutcome::Open;
        if open && record.spec.repeats > 0 && record.next_time < record.spec.times() {
            let due = record.spec.due_ms(record.next_time);
            lead.due.insert((due, job, record.next_time));
        }
    }
}
