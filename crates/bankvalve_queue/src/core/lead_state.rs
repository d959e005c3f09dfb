//! State that only a leader has, and the leader's main loop.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::admission::admission_credits::CreditMeter;
use super::admission::admission_forecast::AdmissionForecast;
use super::admission::customer_limits::{CustomerUsage, LimitStatus};
use super::admission::customer_shares::CustomerShares;
use super::admission::load_limit::LoadLimit;
use super::call_proxies::ProxyList;
use super::commit::{InFlightCommit, Origin, Proposal};
use super::forecast::run_forecast::FORECAST_LOG_INTERVAL;
use super::forecast::run_times::RunTimeModel;
use super::incarnation::Incarnation;
use super::live_run::LiveRun;
use super::lost_contact::WaitTracker;
use super::placement::capacity_reclaim::CapacityClaim;
use super::placement::planned_capacity::CapacityPlans;
use super::placement::restart_preparation::RestartingStep;
use super::placement::shared_advice::ToldAdvice;
use super::placement::speed_preference::SpeedClass;
use super::placement::step_advice::StepAdvice;
use super::placement::waiting_steps::WaitingStep;
use super::suspects::WorkerLoss;
use super::trial_runs::TrialRuns;
use super::worker_map::WorkerMap;
use super::EntryCore;
use crate::caller::CallerRequest;
use crate::customer::CallerIdentity;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, JobId, StepKey, TaskKey, Ticket, WallMillis, WorkerId};
use crate::job::TaskSize;
use crate::ledger::JobOutcome;
use crate::peer::PeerAddress;

/// Pause before the next due repetition of a job is checked again, if too many of its repetitions are
/// open.
const OPEN_TIMES_PAUSE_MS: u64 = 500;

/// Interval at which jobs that ended long ago are removed from the book.
const FORGET_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bound on the estimated time to commit a start. Permits are valid for about 1.5 s and must stay
/// usable while the table is slow.
const MAX_TIME_TO_COMMIT: Duration = Duration::from_millis(900);

/// Gap between two events after which another instance may lead. It is shorter than the time without contact
/// after which the first-ranked member claims leadership.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(600);

/// How long the duration of an answered write counts as a measurement of this instance's link.
const LINK_DELAY_VALIDITY: Duration = Duration::from_millis(1_000);

/// Interval between two scans of all workers, for each worker: about 400 times the cost of checking
/// one.
const SCAN_INTERVAL_PER_WORKER: Duration = Duration::from_micros(45);
/// Longest interval between two scans.
const MAX_SCAN_INTERVAL: Duration = Duration::from_millis(50);

/// An answer counts as lost after this multiple of the usual answer time. Repeating an order that did
/// arrive does no harm and costs one call.
const ANSWER_LIMIT_FACTOR: u32 = 8;
/// Shortest time after which an answer counts as lost: about ten one-way trips across a site, plus the
/// scheduling delay of a small instance.
const MIN_ANSWER_LIMIT: Duration = Duration::from_millis(80);

/// Share of missed answers, in thousandths, above which answers count as late instead of lost. The
/// platform loses a few answers out of ten, rarely four.
const MOSTLY_MISSED_PERMILLE: u32 = 650;
/// Number of answers over which the share of missed answers is averaged.
const MISS_WINDOW: u32 = 24;
/// Time that each further missed answer adds to the wait for answers once they count as late.
const MISS_WAIT_STEP: Duration = Duration::from_millis(10);
/// Maximum of this extra time, which is reached after about 30 missed answers.
const MAX_MISS_WAIT: Duration = Duration::from_millis(1_500);

/// The purpose of a call to a worker.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    /// A poll. `acknowledges` is the number of the last end that it acknowledges, or 0. `is_bound` says whether
    /// it may be sent on one connection only.
    Poll {
        acknowledges: u64,
        is_bound: bool,
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
    /// Address that the call was sent to.
    pub(super) address: String,
    pub(super) purpose: CallPurpose,
    pub(super) sent_at: CoreTime,
    /// The peer that sends the call for this leader, if any.
    pub(super) proxy: Option<PeerAddress>,
    /// When the call counts as unanswered.
    pub(super) limit: CoreTime,
}

/// A request that is answered once this instance has confirmed that it leads: one about an unknown job, or a
/// status request for an open job while another instance may lead.
#[derive(Debug)]
pub(super) struct UnconfirmedRequest {
    pub(super) at: CoreTime,
    pub(super) origin: Origin,
    pub(super) caller: CallerIdentity,
    pub(super) request: CallerRequest,
}

/// State of a leader.
#[derive(Debug)]
pub(super) struct LeadState {
    pub(super) epoch: u64,
    /// Version of the leader's row that this instance wrote.
    pub(super) row_version: u64,
    /// When this leadership began.
    pub(super) began_at: CoreTime,
    /// Whether the entire ledger has been read.
    pub(super) loaded: bool,
    /// Newest version of the configuration by which a former leader accepted a job.
    pub(super) former_table_version: u64,
    /// When to retry reading a page of the ledger after a failed read.
    pub(super) load_at: Option<CoreTime>,
    /// Whether all workers' entries have been read.
    pub(super) workers_known: bool,
    /// Send time of the latest request whose answer showed that this leader's row was still in place.
    pub(super) confirmed_at: CoreTime,
    /// When this instance last resumed after a pause so long that another instance may lead.
    resumed_at: CoreTime,
    /// Since when requests to the table have been without any answer.
    pub(super) unanswered_since: Option<CoreTime>,
    /// Since when the heartbeats have reported that the table does not answer.
    pub(super) trouble_since: Option<CoreTime>,
    /// When the pending read of this leader's row was sent.
    pub(super) confirming: Option<CoreTime>,
    pub(super) next_confirm: CoreTime,
    /// Since when the table has refused all writes, with none in flight.
    pub(super) unavailable_since: Option<CoreTime>,
    pub(super) requests_awaiting_confirmation: Vec<UnconfirmedRequest>,
    /// Number of the last committed batch.
    pub(super) sequence: u64,
    /// Proposals that wait for the next write.
    pub(super) pending: VecDeque<Proposal>,
    pub(super) in_flight_commit: Option<InFlightCommit>,
    pub(super) next_commit_at: CoreTime,
    /// Moving average of the time that a write takes.
    pub(super) commit_time: Duration,
    /// Duration of the last write, and when it was answered.
    last_commit: Option<(Duration, CoreTime)>,
    /// Moving average of the time from the proposal of a start to its order.
    order_delay: Duration,
    /// Number of uncommitted events of each job that has any.
    pub(super) uncommitted: BTreeMap<JobId, u32>,
    /// Open jobs for which a worker has reported that a task started.
    pub(super) started_jobs: BTreeSet<JobId>,
    /// Trial runs of suspects.
    pub(super) trials: TrialRuns,
    /// Workers lost recently, except those whose end counts against a task.
    pub(super) worker_losses: Vec<WorkerLoss>,
    /// How often each task was stopped because its run was overdue.
    pub(super) overdue_stops: BTreeMap<TaskKey, u32>,
    /// Since when steps have waited for capacity for all of their tasks.
    pub(super) capacity_waits: BTreeMap<StepKey, CoreTime>,
    /// When to plan capacity again for steps for which no plan was found.
    pub(super) next_plan_at: BTreeMap<StepKey, CoreTime>,
    /// Capacity claimed for steps that wait for it.
    pub(super) capacity_claims: BTreeMap<StepKey, CapacityClaim>,
    /// Planned starts of steps.
    pub(super) plans: CapacityPlans,
    /// How often each task was stopped to reclaim its capacity.
    pub(super) preemptions: BTreeMap<TaskKey, u32>,
    /// Jobs whose end is not committed yet.
    pub(super) ending: BTreeSet<JobId>,
    pub(super) worker_states: WorkerMap,
    /// Workers that scans for steps' workers have visited since the last placement pass.
    pub(super) scanned_workers: Cell<u64>,
    /// Reporting on tasks that are not running although they ran before.
    pub(super) wait_tracker: WaitTracker,
    pub(super) calls: BTreeMap<Ticket, OpenCall>,
    /// Round-trip time to a proxy, measured by heartbeats and their echoes.
    pub(super) round_trip_time: Duration,
    /// Open calls, ordered by the time at which they count as unanswered.
    pub(super) call_deadlines: BTreeSet<(CoreTime, Ticket)>,
    pub(super) proxies: ProxyList,
    /// Moving average of the time in which workers answer orders. It rises quickly and falls slowly.
    answer_time: Duration,
    /// Extra time to wait for answers because many were missed.
    miss_wait: Duration,
    /// Moving average of the share of missed answers, in thousandths.
    missed_permille: u32,
    /// Steps with tasks that wait for placement.
    pub(super) waiting: BTreeMap<StepKey, WaitingStep>,
    /// What each customer has running, as of the last placement pass.
    pub(super) usage: CustomerUsage,
    /// Steps that waited for their customer's limit at the last placement pass.
    pub(super) waiting_for_limit: BTreeMap<StepKey, LimitStatus>,
    pub(super) shares: CustomerShares,
    /// Jobs that have changed since their waiting steps were last updated.
    pub(super) dirty_jobs: BTreeSet<JobId>,
    /// Next repetition of each repeating job, by the time at which it is due.
    pub(super) due: BTreeSet<(WallMillis, JobId, u32)>,
    pub(super) advice: BTreeMap<StepKey, StepAdvice>,
    /// Steps of open jobs with long-running tasks, gangs excluded.
    pub(super) lasting_steps: BTreeSet<StepKey>,
    /// Those of `lasting_steps` with tasks that are down or soon will be.
    pub(super) restarting: BTreeMap<StepKey, RestartingStep>,
    pub(super) next_restart_preparation: CoreTime,
    /// When the standbys are next told what is known from the policy service.
    pub(super) next_advice_share: CoreTime,
    /// What each standby has been told of it.
    pub(super) advice_told: BTreeMap<PeerAddress, ToldAdvice>,
    /// When the standbys are next told until when the leases of unresponsive workers last.
    pub(super) next_lease_bounds: CoreTime,
    /// When the standbys are next told where workers listen whose entries are gone.
    pub(super) next_unlisted_tell: CoreTime,
    /// Moving average, by queue, of the logarithm of measured to estimated run time.
    pub(super) estimate_error: BTreeMap<String, f64>,
    pub(super) run_times: RunTimeModel,
    /// Speed classes of the workers, the fastest first; at most one while speeds do not differ.
    pub(super) speed_classes: Vec<SpeedClass>,
    /// When to log the expected run times and speeds again.
    pub(super) next_forecast_log: CoreTime,
    /// When each adviser is expected to have answered all its advice requests.
    pub(super) adviser_busy: BTreeMap<PeerAddress, CoreTime>,
    /// Whether free capacity, permits or waiting steps have changed since the last placement pass.
    pub(super) placement_due: bool,
    pub(super) next_placement: CoreTime,
    /// When to scan all workers again for due polls and due orders.
    pub(super) next_poll_scan: CoreTime,
    pub(super) next_order_scan: CoreTime,
    /// Runs that need an order, by the time at which it is due.
    due_orders: BTreeSet<(CoreTime, WorkerId, TaskKey)>,
    /// When a handover that waits for the peer's claim began.
    pub(super) handover_began_at: Option<CoreTime>,
    /// When a peer was asked to lead, while this instance continues to lead.
    pub(super) handover_sent_at: Option<CoreTime>,
    pub(super) next_forget: CoreTime,
    pub(super) next_measurements: CoreTime,
    pub(super) load: LoadLimit,
    pub(super) forecast: AdmissionForecast,
    pub(super) next_forecast: CoreTime,
    pub(super) credits: CreditMeter,
    pub(super) next_advice_scan: CoreTime,
    /// For each queue, the number of jobs not known to have started, and when it was counted.
    pub(super) waiting_counts: BTreeMap<String, (CoreTime, u64)>,
}

impl LeadState {
    pub(super) fn new(epoch: u64, row_version: u64, now: CoreTime) -> Self {
        Self {
            epoch,
            row_version,
            began_at: now,
            loaded: false,
            former_table_version: 0,
            load_at: None,
            workers_known: false,
            confirmed_at: now,
            resumed_at: CoreTime::ZERO,
            unanswered_since: None,
            trouble_since: None,
            confirming: None,
            next_confirm: now,
            unavailable_since: None,
            requests_awaiting_confirmation: Vec::new(),
            sequence: 0,
            pending: VecDeque::new(),
            in_flight_commit: None,
            next_commit_at: now,
            commit_time: Duration::ZERO,
            last_commit: None,
            order_delay: Duration::ZERO,
            uncommitted: BTreeMap::new(),
            started_jobs: BTreeSet::new(),
            trials: TrialRuns::default(),
            worker_losses: Vec::new(),
            overdue_stops: BTreeMap::new(),
            capacity_waits: BTreeMap::new(),
            next_plan_at: BTreeMap::new(),
            capacity_claims: BTreeMap::new(),
            plans: CapacityPlans::default(),
            preemptions: BTreeMap::new(),
            ending: BTreeSet::new(),
            worker_states: WorkerMap::default(),
            scanned_workers: Cell::new(0),
            wait_tracker: WaitTracker::default(),
            calls: BTreeMap::new(),
            round_trip_time: Duration::ZERO,
            call_deadlines: BTreeSet::new(),
            proxies: ProxyList::default(),
            answer_time: Duration::ZERO,
            miss_wait: Duration::ZERO,
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
            next_advice_share: now,
            next_lease_bounds: now,
            next_unlisted_tell: now,
            advice_told: BTreeMap::new(),
            estimate_error: BTreeMap::new(),
            run_times: RunTimeModel::default(),
            speed_classes: Vec::new(),
            next_forecast_log: now + FORECAST_LOG_INTERVAL,
            adviser_busy: BTreeMap::new(),
            placement_due: true,
            next_placement: now,
            next_poll_scan: now,
            next_order_scan: now,
            due_orders: BTreeSet::new(),
            handover_began_at: None,
            handover_sent_at: None,
            next_forget: now,
            next_measurements: now,
            load: LoadLimit::new(now),
            forecast: AdmissionForecast::default(),
            next_forecast: now,
            credits: CreditMeter::default(),
            next_advice_scan: now,
            waiting_counts: BTreeMap::new(),
        }
    }

    /// Returns a run that is on a worker or about to be ordered there.
    pub(super) fn live_run(&mut self, worker: &WorkerId, task: &TaskKey) -> Option<&mut LiveRun> {
        self.worker_states.get_mut(worker)?.runs.get_mut(task)
    }

    /// Schedules an order for a run.
    pub(super) fn schedule_order(&mut self, at: CoreTime, worker: &WorkerId, task: TaskKey) {
        self.due_orders.insert((at, worker.clone(), task));
    }

    /// Removes and returns the runs that need an order now.
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

    /// Returns the interval between two scans of all workers. It grows with their number, so that scans
    /// take a small share of the CPU.
    pub(super) fn scan_interval(&self) -> Duration {
        (SCAN_INTERVAL_PER_WORKER * self.worker_states.len() as u32).min(MAX_SCAN_INTERVAL)
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

    /// Returns whether there are events to commit or tasks to place soon.
    pub(super) fn is_busy(&self) -> bool {
        self.placement_due || (self.in_flight_commit.is_none() && !self.pending.is_empty())
    }

    /// Records that the table has answered a request.
    pub(super) fn record_store_answer(&mut self) {
        self.unanswered_since = None;
    }

    /// Records the time since the previous event. A long gap means that the machine was suspended or
    /// the process was frozen.
    pub(super) fn record_pause(&mut self, pause: Duration, now: CoreTime) {
        if pause > FREEZE_THRESHOLD {
            self.resumed_at = now;
            self.next_confirm = now;
        }
    }

    /// Returns whether this instance has not yet confirmed its leadership since it was last frozen.
    pub(super) fn must_confirm_lead(&self) -> bool {
        self.confirmed_at < self.resumed_at
    }

    /// Records the duration of an answered write.
    pub(super) fn record_commit(&mut self, took: Duration, now: CoreTime) {
        self.commit_time = (self.commit_time + took) / 2;
        self.last_commit = Some((took, now));
    }

    /// Returns an upper bound on the delay of this instance's link: the duration of the last write,
    /// whose request and answer used that link.
    ///
    /// The round trips of heartbeats alone are not enough. Peers that read the ledger over slow links
    /// echo heartbeats many seconds late. Taken as the delay of the leader's link, this made the leader
    /// refuse 97 of 100 new jobs 15 s after all instances were back.
    pub(super) fn link_delay(&self, now: CoreTime) -> Duration {
        let recently = |at: CoreTime| now.saturating_sub(at) < LINK_DELAY_VALIDITY;
        let known = self.last_commit.filter(|(_, at)| recently(*at));
        known.map_or(Duration::MAX, |(took, _)| took)
    }

    /// Returns the estimated time from the proposal of a start to its order, based on recent starts.
    pub(super) fn time_to_commit(&self) -> Duration {
        self.order_delay
            .max(self.commit_time)
            .min(MAX_TIME_TO_COMMIT)
    }

    /// Records the time in which a worker answered an order.
    pub(super) fn record_answer_time(&mut self, took: Duration) {
        self.answer_time = if took > self.answer_time {
            (self.answer_time * 3 + took) / 4
        } else {
            (self.answer_time * 15 + took) / 16
        };
    }

    /// Records that a worker with recent contact has missed the time limit for an answer. If most
    /// answers are missed, they are late rather than lost, and the limit rises.
    pub(super) fn record_missed_answer(&mut self) {
        self.missed_permille += (1_000 - self.missed_permille) / MISS_WINDOW;
        if self.missed_permille > MOSTLY_MISSED_PERMILLE {
            let more = (self.miss_wait + MISS_WAIT_STEP) * 9 / 8;
            self.miss_wait = more.min(MAX_MISS_WAIT);
        }
    }

    /// Records that a worker has answered within the time limit.
    pub(super) fn record_answer_in_time(&mut self) {
        self.missed_permille -= self.missed_permille / MISS_WINDOW;
        self.miss_wait = self.miss_wait * 15 / 16;
    }

    /// Returns how long to wait for an answer that is due at once. It exceeds `most` only by the extra
    /// time for recently missed answers.
    pub(super) fn answer_limit(&self, most: Duration) -> Duration {
        (self.answer_time * ANSWER_LIMIT_FACTOR).clamp(MIN_ANSWER_LIMIT, most) + self.miss_wait
    }

    /// Records the time from the proposal of a start to its order.
    pub(super) fn record_order_delay(&mut self, wait: Duration) {
        self.order_delay = (self.order_delay * 3 + wait) / 4;
    }

    /// Returns, for each kind of resource, the largest free amount on any worker with an entry.
    pub(super) fn max_free(&self) -> TaskSize {
        let free = self
            .worker_states
            .values()
            .filter(|state| state.listed && !state.domain_evacuated)
            .map(|state| state.entry.room.minus(&state.used));
        free.fold(TaskSize::default(), |most, free| TaskSize {
            millicores: most.millicores.max(free.millicores),
            memory_mib: most.memory_mib.max(free.memory_mib),
            accelerators: most.accelerators.max(free.accelerators),
        })
    }
}

impl EntryCore {
    /// Runs the leader's periodic work. Does nothing on an instance that does not lead.
    pub(super) fn run_lead(&mut self) {
        let (now, lag) = (self.now, self.lag);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.load.record_wait(now, lag);
        self.run_confirm();
        self.run_loading();
        // Ended runs can be handled only once their jobs are known.
        let loaded = self.lead.as_ref().is_some_and(|lead| lead.loaded);
        if loaded || !self.enforces(SiteGuard::LedgerFirst) {
            self.run_proxies();
            self.run_polls();
            self.open_due_times();
            self.run_orders();
            self.refresh_dirty_jobs();
            self.prepare_restarts();
            self.share_advice();
            self.share_lease_bounds();
            self.tell_unlisted_workers();
            self.run_placement();
            self.run_advice();
        }
        self.run_commit();
        self.forget_ended();
    }

    /// Opens the repetitions of repeating jobs that have become due.
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
                if record.has_max_open_repetitions() {
                    lead.due.insert((now + OPEN_TIMES_PAUSE_MS, job, time));
                    continue;
                }
                record.open_repetition(time);
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
        lead.next_forget = self.now + FORGET_INTERVAL;
        self.forget_stopped_leases();
        self.log_dropped_lines();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let retention_ms = self.settings.status_time.as_millis() as u64 * 2;
        self.book
            .forget_ended(self.wall.saturating_sub(retention_ms));
        let book = &self.book;
        let open = |job: JobId| {
            book.job(job)
                .is_some_and(|job| job.outcome == JobOutcome::Open)
        };
        lead.started_jobs.retain(|job| open(*job));
        lead.shares.retain(open);
        lead.overdue_stops.retain(|task, _| open(task.step.job));
        lead.preemptions.retain(|task, _| open(task.step.job));
        lead.capacity_waits.retain(|step, _| open(step.job));
        lead.capacity_claims.retain(|step, _| open(step.job));
        lead.next_plan_at.retain(|step, _| open(step.job));
        // Before the ledger has been read, inherited advice is about jobs that are not known yet.
        if lead.loaded {
            lead.advice.retain(|step, _| open(step.job));
        }
        lead.waiting_counts.clear();
    }

    /// Schedules the next repetition of a repeating job.
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
