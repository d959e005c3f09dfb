//! The placement loop: decides which waiting task runs on which worker.

pub(in crate::core) mod advice;
pub(crate) mod capacity_profile;
pub(in crate::core) mod capacity_reclaim;
pub(in crate::core) mod departing_tasks;
mod pass_selection;
pub(in crate::core) mod permit_wait;
pub(in crate::core) mod planned_capacity;
pub(crate) mod planned_start;
pub(in crate::core) mod restart_preparation;
pub(in crate::core) mod shared_advice;
pub(in crate::core) mod speed_preference;
pub(in crate::core) mod step_advice;
pub(in crate::core) mod waiting_steps;
pub(in crate::core) mod worker_selection;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::commit::Effect;
use crate::core::live_run::{LiveRun, RunPhase};
use crate::core::placement::capacity_reclaim::MAX_CAPACITY_WAIT;
use crate::core::placement::restart_preparation::is_prepared_restart;
use crate::core::placement::speed_preference::SpeedPreference;
use crate::core::placement::step_advice::StepAdvice;
use crate::core::placement::waiting_steps::{Lateness, StepOrder, WaitingRank, FIRST_RANK};
use crate::core::placement::worker_selection::{
    assign_workers, eligible_workers, first_advice_request, is_eligible, unasked_with_capacity,
    workers_to_ask,
};
use crate::core::suspects::{SuspectHistory, TrialMode};
use crate::core::worker_state::{PlanOrder, Reservation, ReservationTerms, WorkerState};
use crate::core::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{CrashCount, LedgerEvent, TaskPhase, TaskRecord};
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;

/// Minimum time between two placement passes.
const MIN_PLACEMENT_INTERVAL: Duration = Duration::from_millis(4);
/// Added to [`MIN_PLACEMENT_INTERVAL`] for each step that the last pass considered, so that a long queue does
/// not use the whole CPU. About three times as long as an instance with a quarter of a core takes to consider
/// a step.
const PLACEMENT_INTERVAL_PER_STEP: Duration = Duration::from_micros(300);
/// Time after which a placement pass runs although nothing is known to have changed.
const IDLE_PLACEMENT_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which capacity stays reserved for a step after the answer to its advice request is expected.
const RESERVATION_SLACK: Duration = Duration::from_millis(60);
/// Percentage of the live peers that must be idle advisers for a step to request advice about further workers
/// if its job can only finish late. An adviser is an instance that sends advice requests to the policy
/// service for the leader; it is idle if none is pending there. Long advice requests never use a third of the
/// instances, which stays free for short ones, so a limit below a third would have little effect.
const LATE_MIN_IDLE_PERCENT: usize = 40;
/// Percentage of the live peers that must be idle advisers if the job can only finish too late to earn
/// anything.
const TOO_LATE_MIN_IDLE_PERCENT: usize = 50;

/// Maximum number of failed runs that a queue may allow for its gangs to prefer workers whose last run did
/// not fail. If the queue allows more, starting at once is worth more than waiting for such workers.
const HEALTHY_FIRST_MAX_ATTEMPTS: u32 = 2;

/// Added to the priority value of a step beyond its customer's share, so that any other step may preempt its
/// runs.
const BEYOND_SHARE_PRIORITY: u32 = 1_000;

/// A step whose tasks are being placed.
pub(in crate::core) struct StepToPlace {
    pub(in crate::core) key: StepKey,
    pub(in crate::core) spec: StepSpec,
    pub(in crate::core) service: String,
    pub(in crate::core) customer: Option<CustomerName>,
    pub(in crate::core) rule: Option<AdviceRule>,
    pub(in crate::core) tasks: Vec<TaskKey>,
    run: RunId,
    pub(in crate::core) resources: TaskSize,
    pub(in crate::core) priority: u32,
    /// Whether the step has the highest priority, 0.
    pub(in crate::core) urgent: bool,
    /// Whether the step prefers workers on which tasks run faster.
    pub(in crate::core) fast_first: bool,
    /// Which workers the step prefers by their speed class, where speeds differ.
    pub(in crate::core) speed: SpeedPreference,
    /// Whether the step prefers workers whose last run did not fail.
    pub(in crate::core) healthy_first: bool,
    /// Suspects among the tasks that start only where nothing else runs.
    isolated: Vec<TaskKey>,
    /// Suspects among the tasks that start only where no other new run is.
    apart_from_new: Vec<TaskKey>,
    /// Workers that ended while they ran one of the isolated suspects. Another end of the same worker would
    /// add no evidence.
    pub(in crate::core) crashed_workers: Vec<WorkerId>,
    /// Whether one of the tasks is long-running and past its restart deadline, so that workers in back-off
    /// are eligible too.
    pub(in crate::core) past_deadline: bool,
    /// Time by which a run that starts now is expected to have ended, if it may use capacity that is reserved
    /// for later.
    pub(in crate::core) expected_end: CoreTime,
    /// Room for tasks that the workers of an advice request are to have, for a step of the last priority where
    /// capacity is planned.
    pub(in crate::core) wanted_slots: Option<usize>,
    /// Place of its plan among those of other steps, if its start or capacity is planned.
    pub(in crate::core) plan_order: Option<PlanOrder>,
    /// Longest time until capacity becomes free for which it is reserved.
    pub(in crate::core) max_capacity_wait: Duration,
    /// Smallest priority value of the steps whose reserved capacity this step may use.
    pub(in crate::core) yielding_priority: u32,
    /// Whether the step is a gang whose start is planned if it finds no capacity.
    pub(in crate::core) plans_start: bool,
}

/// The tasks to place, the isolated suspects among them, and the suspects placed apart from new runs.
type TrialTasks = (Vec<TaskKey>, Vec<TaskKey>, Vec<TaskKey>);

/// Tasks of a step, each with the worker selected for it.
pub(in crate::core) type Assignment = Vec<(TaskKey, WorkerId)>;

impl StepToPlace {
    /// Returns what is free for the step's tasks on a worker: apart from reservations of other steps, except
    /// those that may be used until their planned start.
    pub(in crate::core) fn free_on(&self, state: &WorkerState, now: CoreTime) -> TaskSize {
        let may_use = |entry: &Reservation| {
            self.precedes(entry) || entry.admits(self.yielding_priority, self.expected_end)
        };
        state.free_beside(may_use, now)
    }

    /// Returns whether a reservation is the step's own, or was planned after its capacity.
    fn precedes(&self, entry: &Reservation) -> bool {
        let order = self.plan_order;
        entry.step == self.key || order.is_some_and(|order| entry.is_planned_after(order))
    }

    /// Returns what other steps have reserved on a worker and this step may not use.
    pub(in crate::core) fn reserved_on(&self, state: &WorkerState, now: CoreTime) -> TaskSize {
        let ignores = |entry: &Reservation| {
            self.precedes(entry) || entry.terms.priority >= self.yielding_priority
        };
        state.reserved_except(ignores, now)
    }

    /// Returns the maximum number of the step's tasks on one worker.
    pub(in crate::core) fn worker_limit(&self) -> usize {
        match self.spec.per_worker_limit {
            0 => usize::MAX,
            limit => limit as usize,
        }
    }

    /// Returns the resources that a task takes on a worker. An isolated task takes the whole worker.
    pub(in crate::core) fn resources_of(&self, task: &TaskKey, state: &WorkerState) -> TaskSize {
        if self.isolated.contains(task) {
            state.entry.room
        } else {
            self.resources
        }
    }

    /// Returns whether some eligible workers are better than others for reasons other than their free capacity.
    pub(in crate::core) fn prefers_some_workers(&self) -> bool {
        let spec = &self.spec;
        let rack = spec.data_rack.is_some() || (spec.gang && spec.same_rack);
        rack || spec.required_label.is_some() || self.has_trials()
    }

    /// Returns the number of suspects that must be isolated or placed apart from new runs.
    pub(in crate::core) fn trial_count(&self) -> usize {
        self.isolated.len() + self.apart_from_new.len()
    }

    /// Returns whether any task is such a suspect.
    pub(in crate::core) fn has_trials(&self) -> bool {
        self.trial_count() > 0
    }

    /// Returns whether a task is a suspect that must be isolated or placed apart from new runs.
    pub(in crate::core) fn is_trial(&self, task: &TaskKey) -> bool {
        self.isolated.contains(task) || self.apart_from_new.contains(task)
    }

    /// Returns whether a task may start beside the runs that the worker has.
    pub(in crate::core) fn may_join(
        &self,
        task: &TaskKey,
        state: &WorkerState,
        now: CoreTime,
    ) -> bool {
        !self.apart_from_new.contains(task) || !state.has_new_run(now)
    }

    /// Returns whether all tasks may start beside any other runs.
    pub(in crate::core) fn has_no_trials(&self) -> bool {
        !self.has_trials()
    }

    /// Returns whether all tasks are long-running suspects that start only where no other new run is.
    pub(in crate::core) fn starts_apart(&self) -> bool {
        self.spec.lasting && !self.tasks.is_empty() && self.apart_from_new.len() == self.tasks.len()
    }

    /// Returns the time until the tasks may start beside the runs that a worker has.
    pub(in crate::core) fn time_until_joinable(
        &self,
        state: &WorkerState,
        now: CoreTime,
    ) -> Duration {
        if self.starts_apart() {
            state.time_until_settled(now)
        } else {
            Duration::ZERO
        }
    }

    /// Returns what is reserved on a worker for each task: the whole worker if no new run may join it before
    /// the task starts.
    pub(in crate::core) fn resources_to_reserve(&self, state: &WorkerState) -> TaskSize {
        if self.starts_apart() {
            state.entry.room
        } else {
            self.resources_on(state)
        }
    }

    /// Returns the resources that each task takes on a worker: the whole worker if all tasks are isolated, or
    /// else those of a task that is not.
    pub(in crate::core) fn resources_on(&self, state: &WorkerState) -> TaskSize {
        if self.isolated.len() == self.tasks.len() {
            state.entry.room
        } else {
            self.resources
        }
    }
}

impl EntryCore {
    /// Runs a placement pass if one is due.
    pub(in crate::core) fn run_placement(&mut self) {
        let now = self.now;
        let by_time = self.uses(PolicySwitch::LatestStart);
        let blocked = self.placement_is_blocked();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if !lead.workers_known || blocked || now < lead.next_placement {
            return;
        }
        let idle = now.saturating_sub(lead.next_placement) < IDLE_PLACEMENT_INTERVAL;
        if !lead.placement_due && idle {
            return;
        }
        lead.placement_due = false;
        lead.next_placement = now + MIN_PLACEMENT_INTERVAL;
        let wall = self.wall;
        self.update_capacity_plans();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let plans_capacity = lead.plans.in_effect();
        let order = match (by_time, plans_capacity) {
            (false, _) => StepOrder::Arrival,
            (true, false) => StepOrder::LatestStart,
            (true, true) => StepOrder::Priority,
        };
        let mut ranked: Vec<(WaitingRank, StepKey)> = lead
            .waiting
            .iter()
            .map(|(key, step)| {
                let restarts = lead.restarting.contains_key(key);
                let rank = if restarts {
                    FIRST_RANK
                } else {
                    step.rank(now, wall, order, lead.plans.has_start(key))
                };
                (rank, *key)
            })
            .collect();
        ranked.sort_unstable();
        self.sum_usage_for_placement();
        self.remove_steps_at_limit(&mut ranked);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if plans_capacity {
            // The first answer is awaited: nothing can be done for the step. In a burst, such steps would take
            // most places of a pass.
            ranked.retain(|(_, key)| {
                let advice = lead.advice.get(key);
                !advice.is_some_and(StepAdvice::awaits_first_answer)
            });
        }
        let largest_free = lead.max_free();
        let selected = self.select_steps(&ranked);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.next_placement += PLACEMENT_INTERVAL_PER_STEP * selected.len() as u32;
        let considered = selected.len() as u64;
        self.counters
            .count_many("placements", "steps_looked_at", considered);
        for step in selected {
            self.consider_step(step.key, &largest_free);
            self.record_passed_over(step);
        }
        self.refresh_placed_steps();
        self.record_backlog();
        self.update_forecast();
        let lead = self.lead.as_deref();
        let scanned = lead.map_or(0, |lead| lead.scanned_workers.take());
        self.counters
            .count_many("placements", "workers_scanned", scanned);
    }

    /// Places a step, or does what it needs to be placed later.
    fn consider_step(&mut self, key: StepKey, largest_free: &TaskSize) {
        if !self.may_fit(key, largest_free) {
            self.record_capacity_wait(key);
            if !self.may_reclaim_capacity(key) {
                return;
            }
        }
        if let Some(step) = self.step_to_place(key) {
            self.place_step(&step);
        }
    }

    /// Returns whether no task can be placed now.
    pub(in crate::core) fn placement_is_blocked(&self) -> bool {
        // Without a recent configuration, the customers' limits and the evacuations are unknown.
        let unknown =
            self.table.is_none() || !self.evacuations.are_known() || !self.may_start_by_config();
        self.store_is_unavailable() || !self.may_command() || unknown
    }

    /// Updates the waiting steps whose tasks have just been placed, without causing another placement pass.
    fn refresh_placed_steps(&mut self) {
        self.refresh_dirty_jobs();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.placement_due = false;
        }
    }

    /// Returns whether a task of a step could fit on any worker, by a cheap check against the largest free
    /// amounts.
    fn may_fit(&self, key: StepKey, largest_free: &TaskSize) -> bool {
        let job = self.book.job(key.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(key.step)));
        spec.is_some_and(|spec| spec.resources().fits(largest_free))
    }

    fn step_to_place(&mut self, key: StepKey) -> Option<StepToPlace> {
        let tasks = self.tasks_to_place(key)?;
        let mut step = self.new_step_to_place(key, tasks)?;
        if let Some(customer) = &step.customer {
            let admitted = self.tasks_within_limit(customer, &step.spec.size);
            let exceeds_limit = step.spec.gang && step.tasks.len() > admitted;
            step.tasks
                .truncate(if exceeds_limit { 0 } else { admitted });
        }
        (!step.tasks.is_empty()).then_some(step)
    }

    /// Returns a step with only these tasks, which may still be running. They may start beside any other
    /// runs, unless all of them must be isolated: then they start apart from new runs.
    pub(in crate::core) fn step_to_restart(
        &self,
        key: StepKey,
        tasks: Vec<TaskKey>,
    ) -> Option<StepToPlace> {
        let record = self.book.job(key.job)?.step(key)?;
        let must_be_isolated = |task: &TaskKey| {
            let count = record.tasks.get(task.index as usize);
            let count = count.and_then(TaskRecord::crash_count);
            count.is_some_and(CrashCount::must_be_isolated)
        };
        let apart_from_new = if tasks.iter().all(must_be_isolated) {
            tasks.clone()
        } else {
            Vec::new()
        };
        self.new_step_to_place(key, (tasks, Vec::new(), apart_from_new))
    }

    fn new_step_to_place(&self, key: StepKey, tasks: TrialTasks) -> Option<StepToPlace> {
        let (tasks, isolated, apart_from_new) = tasks;
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?.clone();
        let record = job.step(key)?;
        let record_of = |task: &TaskKey| record.tasks.get(task.index as usize);
        let past_deadline = tasks
            .iter()
            .filter_map(record_of)
            .any(|task| self.is_past_restart_deadline(&spec, task));
        let queue = self
            .table
            .as_ref()
            .and_then(|table| table.queue(&job.spec.queue));
        let terms = queue.map_or(&job.terms, |queue| &queue.terms);
        let lead = self.lead.as_deref();
        let waiting = lead.and_then(|lead| lead.waiting.get(&key));
        let beyond_share = waiting.is_some_and(|step| step.is_beyond_share(self.now));
        let crash_counts = isolated.iter().filter_map(record_of);
        let ends = crash_counts.filter_map(TaskRecord::crash_count);
        let crashed_workers =
            ends.flat_map(|count| count.ends().iter().map(|end| end.worker.clone()));
        let crashed_workers = crashed_workers.collect();
        let plans_start = spec.gang && self.is_planned(key);
        let mut step = StepToPlace {
            key,
            service: terms.service.clone(),
            customer: job.spec.customer.clone(),
            rule: terms.advice,
            priority: terms.priority.saturating_add(if beyond_share {
                BEYOND_SHARE_PRIORITY
            } else {
                0
            }),
            urgent: terms.priority == 0 && !beyond_share,
            fast_first: terms.priority == 0
                && !beyond_share
                && self.uses(PolicySwitch::FastWorkers),
            speed: self.speed_preference(key, tasks.len(), waiting),
            healthy_first: spec.gang
                && terms.attempts <= HEALTHY_FIRST_MAX_ATTEMPTS
                && self.uses(PolicySwitch::ProvedWorkers),
            resources: spec.resources(),
            run: record.last_run() + 1,
            spec,
            tasks,
            isolated,
            apart_from_new,
            crashed_workers,
            past_deadline,
            expected_end: self.expected_end(key),
            wanted_slots: None,
            plan_order: None,
            max_capacity_wait: MAX_CAPACITY_WAIT,
            yielding_priority: 0,
            plans_start,
        };
        if plans_start {
            // A later start is worth more than another request about a hundred workers.
            let slack = waiting.map_or(Duration::ZERO, |waiting| waiting.slack(self.wall));
            step.max_capacity_wait = step.max_capacity_wait.max(slack);
        }
        step.wanted_slots = self.wanted_slots(&step);
        step.plan_order = self.plan_order(&step);
        step.yielding_priority = self.yielding_priority(&step);
        // If no other worker is eligible, the workers that already ended while they ran the task are eligible
        // again.
        let mut workers = lead.iter().flat_map(|lead| lead.worker_states.iter());
        if !step.crashed_workers.is_empty()
            && !workers.any(|entry| is_eligible(entry, &step, self.now))
        {
            step.crashed_workers.clear();
        }
        Some(step)
    }

    /// Returns the tasks of a step to place now, and which of them must be isolated or apart from new runs.
    ///
    /// Tasks that are not suspects come first. Suspects follow when their trial runs may start. A gang is
    /// placed as a whole, its suspects first. A suspect past its restart deadline is placed like any other
    /// task, unless it must be isolated.
    fn tasks_to_place(&mut self, key: StepKey) -> Option<TrialTasks> {
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?;
        let gang = spec.gang;
        let waiting = job.step(key)?.tasks.iter().enumerate();
        let waiting: Vec<_> = waiting
            .filter(|(_, task)| task.phase == TaskPhase::Waiting)
            .collect();
        let past_deadline = |task: &TaskRecord| self.is_past_restart_deadline(spec, task);
        let gang_past_deadline = gang && waiting.iter().any(|(_, task)| past_deadline(task));
        let must_be_isolated =
            |task: &TaskRecord| task.crash_count().is_some_and(CrashCount::must_be_isolated);
        let skips_trial = |task: &TaskRecord| {
            (gang_past_deadline || past_deadline(task)) && !must_be_isolated(task)
        };
        let needs_trial = |task: &TaskRecord| task.is_suspect() && !skips_trial(task);
        let (suspects, others): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(_, task)| needs_trial(task));
        let keys = |tasks: &[(usize, &TaskRecord)]| -> Vec<TaskKey> {
            let indexes = tasks.iter().map(|(index, _)| *index as u32);
            indexes.map(|index| key.task(index)).collect()
        };
        if suspects.is_empty() || !(gang || others.is_empty()) {
            return (!others.is_empty()).then(|| (keys(&others), Vec::new(), Vec::new()));
        }
        let deadline_passed = |task: &TaskRecord| gang_past_deadline || past_deadline(task);
        let history = SuspectHistory::of(
            suspects
                .iter()
                .map(|(_, task)| (*task, deadline_passed(task))),
        );
        let trial_tasks = keys(if gang { &suspects } else { &suspects[..1] });
        let tasks = if gang {
            [trial_tasks.clone(), keys(&others)].concat()
        } else {
            trial_tasks.clone()
        };
        match self.trial_mode(key, &history) {
            TrialMode::Isolated => Some((tasks, trial_tasks, Vec::new())),
            TrialMode::ApartFromNew => Some((tasks, Vec::new(), trial_tasks)),
            TrialMode::AmongOthers => Some((tasks, Vec::new(), Vec::new())),
            TrialMode::Deferred => None,
        }
    }

    fn place_step(&mut self, step: &StepToPlace) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let committed_at = now + lead.time_to_commit();
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&step.key).unwrap_or(&empty);
        let Some(rule) = step.rule else {
            let assignment = assign_workers(step, &eligible_workers(lead, step, now), now);
            let placed = assignment.len();
            let is_restart = is_prepared_restart(lead, step);
            self.start_assignment(step, assignment);
            if !is_restart {
                self.update_capacity_claim(step, placed);
            }
            return;
        };
        if is_prepared_restart(lead, step) {
            let permitted = advice.permitted(committed_at).filter_map(|id| {
                let state = lead.worker_states.get(id)?;
                is_eligible((id, state), step, now).then_some((id, state))
            });
            let assignment = assign_workers(step, &permitted.collect::<Vec<_>>(), now);
            self.start_assignment(step, assignment);
            return;
        }
        let can_request =
            advice.can_send_request(now) && self.has_available_adviser(rule, step.tasks.len());
        if advice.has_no_answer() {
            if can_request && self.may_request_advice_on_unasked(step.key) {
                let workers = first_advice_request(step, &eligible_workers(lead, step, now), now);
                if workers.is_empty() {
                    self.record_capacity_wait(step.key);
                } else {
                    self.request_advice(step.key, rule, &workers);
                }
            }
            return;
        }
        let may_plan_start = advice.can_send_request(now) || lead.plans.has_start(&step.key);
        // Looks workers up by id, because far fewer have permits than there are workers.
        let eligible = |id| {
            let state = lead.worker_states.get(id)?;
            is_eligible((id, state), step, now).then_some((id, state))
        };
        let permitted: Vec<(&WorkerId, &WorkerState)> = advice
            .permitted(committed_at)
            .filter_map(eligible)
            .collect();
        let assignment = assign_workers(step, &permitted, now);
        let is_complete = assignment.len() == step.tasks.len();
        if !is_complete && step.plans_start && may_plan_start {
            self.update_capacity_claim(step, 0);
            self.request_planned_advice(step, rule);
            self.request_advice_for_plan(step, rule);
            return;
        }
        let mut request = Vec::new();
        let mut to_reserve = Vec::new();
        let mut unasked = Vec::new();
        if !is_complete && can_request {
            let allowed: Vec<(&WorkerId, &WorkerState)> =
                advice.allowed_workers().filter_map(eligible).collect();
            let wider = assign_workers(step, &allowed, now);
            if wider.len() > assignment.len() {
                request = workers_to_ask(&wider);
                request.retain(|id| advice.permit(id, committed_at).is_none() || step.spec.gang);
                to_reserve = wider;
            } else {
                unasked = unasked_with_capacity(lead, step, advice, now);
            }
        }
        let placed: Vec<TaskKey> = assignment.iter().map(|(task, _)| *task).collect();
        self.start_assignment(step, assignment);
        let needs_capacity = can_request && request.is_empty();
        // A gang may wait long until enough capacity happens to be free, however many workers may run it. So
        // its capacity is first reclaimed on the workers that are known to be allowed. Advice about further
        // workers is requested only if that does not succeed.
        if is_complete || (needs_capacity && (unasked.is_empty() || step.spec.gang)) {
            self.update_capacity_claim(step, placed.len());
        }
        if needs_capacity
            && !self.has_capacity_claim(step.key)
            && self.may_request_advice_on_unasked(step.key)
        {
            request = unasked;
        }
        if !request.is_empty() {
            let until = self.request_advice(step.key, rule, &request);
            to_reserve.retain(|(task, _)| !placed.contains(task));
            self.reserve(step, &to_reserve, until + RESERVATION_SLACK);
        }
    }

    /// Returns whether a step may request advice about workers for which the policy service has not answered
    /// yet. A step that can no longer finish in time may do so only while enough peers are idle advisers.
    ///
    /// If a hundred late gangs wait in a backlog, their advice requests occupy a hundred instances. Without
    /// this check, the requests of gangs that can still finish in time wait behind them.
    pub(in crate::core) fn may_request_advice_on_unasked(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        let step = lead.and_then(|lead| lead.waiting.get(&key));
        let min_idle_percent = match step.map(|step| step.lateness(self.wall)) {
            Some(Lateness::Late) => LATE_MIN_IDLE_PERCENT,
            Some(Lateness::TooLate) => TOO_LATE_MIN_IDLE_PERCENT,
            _ => return true,
        };
        // Counted among live peers only, so that a leader without any may still send its own requests.
        self.idle_advisers() * 100 >= self.live_peers().count() * min_idle_percent
    }

    /// Reclaims capacity for the tasks of a step that found none, once the step has waited long enough. If
    /// all tasks were placed, drops the step's capacity claim.
    fn update_capacity_claim(&mut self, step: &StepToPlace, placed: usize) {
        let missing = step.tasks.len() - placed;
        if missing == 0 {
            self.finish_planned_start(step.key);
            self.drop_capacity_claim(step.key);
            return;
        }
        self.record_capacity_wait(step.key);
        if !self.may_reclaim_capacity(step.key) {
            return;
        }
        if step.plans_start {
            self.plan_start(step, missing);
        } else {
            self.reclaim_capacity(step, missing);
        }
    }

    /// Reserves capacity for a step while its permits are renewed.
    fn reserve(&mut self, step: &StepToPlace, assignment: &Assignment, until: CoreTime) {
        if !self.uses(PolicySwitch::PermitRoom) {
            return;
        }
        let now = self.now;
        let terms = ReservationTerms::always(now, until);
        self.reserve_capacity(step, assignment.iter().map(|(_, worker)| worker), terms);
    }

    /// Reserves capacity for one task of a step on each of these workers; for several on a worker that occurs
    /// several times.
    pub(in crate::core) fn reserve_capacity<'a>(
        &mut self,
        step: &StepToPlace,
        workers: impl Iterator<Item = &'a WorkerId>,
        terms: ReservationTerms,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut counts: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for worker in workers {
            *counts.entry(worker).or_default() += 1;
        }
        for (worker, count) in counts {
            if let Some(state) = lead.worker_states.get_mut(worker) {
                state.drop_reservation(step.key, now);
                let resources = step.resources_to_reserve(state);
                state.reserved.push(Reservation {
                    step: step.key,
                    resources: resources.times(count),
                    terms,
                });
            }
        }
    }

    fn start_assignment(&mut self, step: &StepToPlace, assignment: Assignment) {
        let now = self.now;
        let plans_capacity = self.plans_capacity();
        let assignment = self.within_limit(step, assignment);
        for (task, worker) in assignment {
            let ended_worker = self.ended_worker_of(&task);
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let permit = lead
                .advice
                .get(&step.key)
                .and_then(|advice| advice.permit(&worker, now))
                .map(str::to_owned);
            let incarnation = lead.worker_states.incarnation_of(&worker);
            let Some(state) = lead.worker_states.get_mut(&worker) else {
                continue;
            };
            state.drop_reservation(step.key, now);
            let unreserved = state.free_beside(|_| false, now);
            if plans_capacity && !step.resources.fits(&unreserved) {
                self.counters.count("placements", "backfilled");
            }
            let mut live = LiveRun::new(step.run, &step.spec, RunPhase::Proposed, now);
            live.permit = permit;
            live.set_priority(step.priority);
            live.customer.clone_from(&step.customer);
            if step.is_trial(&task) {
                live.on_trial = true;
                live.resources = state.entry.room.minus(&state.used);
                if let Some(incarnation) = incarnation {
                    lead.trials.add(task, incarnation, ended_worker);
                }
            }
            state.add_run(task, live);
            let left = state.entry.room.minus(&state.used).millicores;
            let waited = lead.wait_tracker.start_text(&task, now);
            self.log_often("placer", "place", || {
                let detail = format!(
                    "run {} on {worker}, {left} millicores left{waited}",
                    step.run
                );
                (task.to_string(), detail)
            });
            self.log_downtime(task);
            let run = step.run;
            let event = LedgerEvent::Started { task, run, worker };
            self.propose(event, Effect::Order(task, run));
        }
    }
}
