//! Preparation of permits and capacity for long-running tasks that are down or soon will be.
//!
//! Such a task may be down for nine seconds in total. Most of this time passes until the lease of its last
//! worker has expired. What is left is too short for taking the steps of a start one after the other:
//! requesting advice about workers from the policy service, finding capacity on an allowed worker while many
//! short tasks compete for it, and renewing the permit. So the leader requests advice as soon as a worker
//! that runs such a task stops responding, about many workers at once, whether they have free capacity or
//! not. Shortly before the run can be declared lost, it reserves capacity on allowed workers and gets permits
//! for them that are valid until the start. None of this needs the table. Reservations are renewed until the
//! start is decided.
//!
//! Tasks on a worker that leaves are prepared in the same way while they still run, see `departing_tasks`, and
//! after its end. Once a worker's entry is gone and its port refuses, capacity is reserved at once: another
//! process at its address may prove its end long before its lease expires.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::lead_state::LeadState;
use crate::core::placement::capacity_reclaim::CapacityPlan;
use crate::core::placement::departing_tasks::{
    permit_time_for_stop, unlisted_workers_depart, DepartingTask,
};
use crate::core::placement::step_advice::StepAdvice;
use crate::core::placement::worker_selection::{is_eligible, tasks_on, workers_with_most_free};
use crate::core::placement::StepToPlace;
use crate::core::worker_state::{ReservationTerms, WorkerState, UNRESPONSIVE_AFTER};
use crate::core::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{StepKey, TaskKey, WorkerId};
use crate::ledger::{JobOutcome, TaskPhase, TaskRecord};
use crate::queue_table::AdviceRule;

/// Interval between two scans of long-running tasks.
const SCAN_INTERVAL: Duration = Duration::from_millis(50);
/// Added to the interval for each task that is scanned.
const SCAN_INTERVAL_PER_TASK: Duration = Duration::from_micros(20);
/// Added to the interval for each step that is prepared, because capacity for it is planned on all workers
/// that may run it.
const SCAN_INTERVAL_PER_STEP: Duration = Duration::from_millis(2);
/// Time before a run can be declared lost, or before a suspect reaches its restart deadline, at which capacity
/// is reserved for the task: an advice request and the end of a short run take about as long.
const RESERVE_AHEAD: Duration = Duration::from_millis(1_500);
/// Time for which capacity is reserved beyond the next scan, which renews the reservation.
const RESERVE_TIME: Duration = Duration::from_millis(600);
/// Largest share of all capacity that is reserved for such tasks, in percent.
const MAX_RESERVED_PERCENT: u64 = 25;
/// Target number of allowed workers for each task.
const ALLOWED_PER_TASK: usize = 2;
/// Number of allowed workers that each step should have in addition.
const ALLOWED_SPARE: usize = 4;
/// Number of workers in an advice request for each missing allowed worker.
const ADVICE_PER_MISSING: usize = 4;
/// Fewest workers in an advice request.
const MIN_ADVICE_WORKERS_RESTART: usize = 16;
/// Most workers in an advice request.
const MAX_ADVICE_WORKERS_RESTART: usize = 100;

/// A step with long-running tasks that are down or soon will be.
#[derive(Clone, Debug, Default)]
pub(in crate::core) struct RestartingStep {
    /// Since when one of them has been down, in Unix milliseconds; 0 if that is not known.
    since: u64,
    /// Tasks for which capacity is reserved now.
    due: Vec<TaskKey>,
    /// Those of them that still run, on workers that leave.
    departing: Vec<DepartingTask>,
    /// Number of tasks for which capacity is not reserved yet.
    later: usize,
    /// Whether permits for them are renewed.
    renews_permits: bool,
    /// What is prepared for them.
    prepared: PreparedCounts,
}

/// Numbers of what is prepared for a step's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PreparedCounts {
    /// Workers that the policy service allows and that may take a task.
    allowed: usize,
    /// Reservations.
    reservations: usize,
    /// Reservations whose capacity is free already.
    free: usize,
    /// Reservations with a valid permit.
    permits: usize,
}

impl RestartingStep {
    /// Returns the tasks that still run on workers that leave.
    pub(in crate::core) fn departing(&self) -> &[DepartingTask] {
        &self.departing
    }

    /// Returns the number of tasks that are down and for which capacity is reserved.
    pub(in crate::core) fn tasks_down(&self) -> usize {
        self.due.len() - self.departing.len()
    }

    /// Returns whether capacity and permits are prepared for all these tasks.
    pub(in crate::core) fn covers(&self, tasks: &[TaskKey]) -> bool {
        tasks.iter().all(|task| self.due.contains(task))
    }

    /// Returns whether capacity is reserved but none of it is free yet.
    pub(in crate::core) fn awaits_capacity(&self) -> bool {
        self.prepared.reservations > 0 && self.prepared.free == 0
    }
}

/// Facts about all workers by which a long-running task's need for a restart is determined.
#[derive(Clone, Copy, Debug)]
struct RestartTerms {
    /// Time without contact for which a worker is waited for whose entry exists.
    unresponsive_timeout: Duration,
    /// Whether workers that respond although their entries are gone are leaving.
    unlisted_depart: bool,
}

/// Whether a long-running task needs a restart.
enum RestartStatus {
    /// It runs, or its start is in progress.
    Running,
    /// It runs on this worker, which leaves.
    Departing(WorkerId),
    /// Its worker does not respond, but it is too early to reserve capacity.
    Unresponsive,
    /// Its worker has ended, but it is not known when the run can be declared lost, at the latest when the lease
    /// has expired.
    Ended,
    /// It is down, its worker has left, or its run can be declared lost soon.
    Due,
}

impl LeadState {
    /// Returns the steps with tasks that are down or soon will be, the longest downtime first.
    pub(in crate::core) fn steps_by_downtime(&self) -> Vec<StepKey> {
        let steps = self.restarting.iter();
        let mut by_downtime: Vec<(u64, StepKey)> =
            steps.map(|(key, step)| (step.since, *key)).collect();
        by_downtime.sort_unstable();
        by_downtime.into_iter().map(|(_, key)| key).collect()
    }
}

impl EntryCore {
    /// Prepares permits and capacity for long-running tasks whose runs have ended or soon will.
    pub(in crate::core) fn prepare_restarts(&mut self) {
        let now = self.now;
        let may_prepare = self.may_command() && self.enforces(SiteGuard::ReadyReturn);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_restart_preparation || !lead.workers_known || !may_prepare {
            return;
        }
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let terms = RestartTerms {
            unresponsive_timeout: self.unresponsive_timeout(lead),
            unlisted_depart: unlisted_workers_depart(lead, now),
        };
        let mut tasks = 0;
        let mut restarting = BTreeMap::new();
        for key in &lead.lasting_steps {
            let (scanned, step) = self.restarting_step(lead, *key, terms);
            tasks += scanned;
            restarting.extend(step.map(|step| (*key, step)));
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let steps = restarting.len() as u32;
        lead.next_restart_preparation =
            now + SCAN_INTERVAL + SCAN_INTERVAL_PER_TASK * tasks + SCAN_INTERVAL_PER_STEP * steps;
        let before = std::mem::replace(&mut lead.restarting, restarting);
        let finished = before.keys();
        let finished = finished.filter(|key| !lead.restarting.contains_key(key));
        for key in finished {
            for state in lead.worker_states.values_mut() {
                state.drop_reservation(*key, now);
            }
        }
        let by_downtime = lead.steps_by_downtime();
        let mut budget = self.reservable_millicores();
        for key in by_downtime {
            let prepared = self.prepare_step(key, &mut budget);
            let last_prepared = before.get(&key).map(|step| step.prepared);
            self.record_prepared(key, last_prepared, prepared);
        }
    }

    /// Records what is prepared for a step, and logs changes.
    fn record_prepared(
        &mut self,
        key: StepKey,
        before: Option<PreparedCounts>,
        prepared: PreparedCounts,
    ) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(step) = lead.restarting.get_mut(&key) else {
            return;
        };
        step.prepared = prepared;
        if before == Some(prepared) {
            return;
        }
        let (due, later) = (step.due.len(), step.later);
        self.log_often("placer", "return", || {
            let PreparedCounts {
                allowed,
                reservations,
                free,
                permits,
            } = prepared;
            let detail = format!(
                "{due} tasks to start, {later} whose workers do not respond: {allowed} allowed workers \
                 known, capacity reserved on {reservations}, free on {free}, {permits} permits for them"
            );
            (key.to_string(), detail)
        });
    }

    /// Returns the number of a step's tasks that were scanned, and those that are down or soon will be.
    fn restarting_step(
        &self,
        lead: &LeadState,
        key: StepKey,
        terms: RestartTerms,
    ) -> (u32, Option<RestartingStep>) {
        let job = self.book.job(key.job);
        let job = job.filter(|job| job.outcome == JobOutcome::Open);
        let Some(job) = job else {
            return (0, None);
        };
        let spec = job.spec.steps.get(usize::from(key.step));
        let (Some(record), Some(spec)) = (job.step(key), spec) else {
            return (0, None);
        };
        let mut step = RestartingStep::default();
        for (index, task) in record.tasks.iter().enumerate() {
            let task_key = key.task(index as u32);
            let starts_soon =
                !task.is_suspect() || self.reaches_restart_deadline(spec, task, RESERVE_AHEAD);
            match self.restart_status(lead, task_key, task, terms) {
                RestartStatus::Running => continue,
                RestartStatus::Ended if starts_soon => step.due.push(task_key),
                RestartStatus::Due if starts_soon => {
                    step.due.push(task_key);
                    step.renews_permits = true;
                }
                RestartStatus::Departing(worker) if starts_soon => {
                    step.due.push(task_key);
                    step.renews_permits = true;
                    step.departing.push(DepartingTask {
                        task: task_key,
                        worker,
                    });
                }
                _ => step.later += 1,
            }
            let since = match task.phase {
                TaskPhase::Waiting => task.ended_at,
                _ => self.wall,
            };
            step.since = match step.since {
                0 => since,
                before => before.min(since),
            };
        }
        let restarts = !step.due.is_empty() || step.later > 0;
        (record.tasks.len() as u32, restarts.then_some(step))
    }

    fn restart_status(
        &self,
        lead: &LeadState,
        key: TaskKey,
        task: &TaskRecord,
        terms: RestartTerms,
    ) -> RestartStatus {
        let now = self.now;
        let (worker, run) = match &task.phase {
            // A task that has never run has no downtime.
            TaskPhase::Waiting if task.last_run > 0 => return RestartStatus::Due,
            TaskPhase::Placed { worker, run } => (worker, *run),
            _ => return RestartStatus::Running,
        };
        let Some(state) = lead.worker_states.get(worker) else {
            return RestartStatus::Unresponsive;
        };
        if state.runs.get(&key).is_none_or(|live| live.run != run) {
            // The run was declared lost, but its end is not committed yet.
            return RestartStatus::Due;
        }
        if state.is_departing(terms.unlisted_depart) {
            return if state.is_responsive(now) {
                RestartStatus::Departing(worker.clone())
            } else {
                RestartStatus::Due
            };
        }
        let without_contact = self.age(state.last_contact.unwrap_or(state.known_at));
        if without_contact < UNRESPONSIVE_AFTER.max(state.usual_response_gap()) && !state.refused {
            return RestartStatus::Running;
        }
        let lease_left = if state.token_accepted {
            state.lease_left(self.now)
        } else {
            self.former_leases_expire_at(worker).saturating_sub(now)
        };
        let listed_left = if state.listed && !state.refused {
            terms.unresponsive_timeout.saturating_sub(without_contact)
        } else {
            Duration::ZERO
        };
        if lease_left.max(listed_left) <= RESERVE_AHEAD {
            RestartStatus::Due
        } else if state.refused && !state.listed {
            RestartStatus::Ended
        } else {
            RestartStatus::Unresponsive
        }
    }

    /// Returns the capacity that may be reserved for long-running tasks, in millicores.
    fn reservable_millicores(&self) -> u64 {
        let now = self.now;
        let lead = self.lead.as_deref();
        let worker_states = lead
            .into_iter()
            .flat_map(|lead| lead.worker_states.values());
        let responsive =
            worker_states.filter(|state| state.is_responsive(now) && !state.domain_evacuated);
        let all: u64 = responsive.map(|state| state.entry.room.millicores).sum();
        all * MAX_RESERVED_PERCENT / 100
    }

    /// Requests what a step's start needs, and reserves capacity for it.
    fn prepare_step(&mut self, key: StepKey, budget: &mut u64) -> PreparedCounts {
        let mut prepared = PreparedCounts::default();
        let Some(lead) = self.lead.as_deref() else {
            return prepared;
        };
        let Some(restarting) = lead.restarting.get(&key) else {
            return prepared;
        };
        let wanted = restarting.due.len() + restarting.later;
        let tasks = restarting.due.clone();
        let renews_permits = restarting.renews_permits;
        let Some(step) = self.step_to_restart(key, tasks) else {
            return prepared;
        };
        if let Some(rule) = step.rule {
            prepared.allowed = self.request_advice_ahead(&step, rule, wanted);
        }
        let states = self
            .lead
            .iter()
            .flat_map(|lead| lead.worker_states.values());
        let reserved = states.map(|state| step.resources_to_reserve(state).millicores);
        let each = reserved.max().unwrap_or(0).max(1);
        // A whole worker may be more than what is left of the share, above all on a small site.
        let at_least = usize::from(step.starts_apart() && *budget > 0);
        let share = ((*budget / each) as usize).max(at_least);
        let most = step.tasks.len().min(share);
        let plans = self.reserve_for_restart(&step, most);
        *budget = budget.saturating_sub(each * plans.len() as u64);
        prepared.reservations = plans.len();
        prepared.free = plans.iter().filter(|plan| plan.after().is_zero()).count();
        let renews_permits = renews_permits && !self.store_is_unavailable();
        if let Some(rule) = step.rule.filter(|_| renews_permits) {
            self.renew_permits_ahead(&step, rule, &plans, wanted);
        }
        prepared.permits = self.count_permits(&step, &plans);
        self.stop_departing_runs(&step);
        prepared
    }

    /// Returns the number of plans for whose workers there is a permit that is valid long enough for a start.
    fn count_permits(&self, step: &StepToPlace, plans: &[CapacityPlan]) -> usize {
        let lead = self.lead.as_deref();
        let Some((lead, advice)) = lead.and_then(|lead| Some((lead, lead.advice.get(&step.key)?)))
        else {
            return 0;
        };
        let until = self.now + lead.time_to_commit();
        let workers = plans.iter().map(CapacityPlan::worker);
        workers
            .filter(|id| advice.permit(id, until).is_some())
            .count()
    }

    /// Requests advice about workers, with free capacity or without, until enough allowed ones are known.
    /// Returns how many are known.
    fn request_advice_ahead(
        &mut self,
        step: &StepToPlace,
        rule: AdviceRule,
        tasks: usize,
    ) -> usize {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return 0;
        };
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&step.key).unwrap_or(&empty);
        let may_take = |id: &WorkerId, state: &WorkerState| {
            is_eligible((id, state), step, now) && tasks_on(state, step.key) < step.worker_limit()
        };
        let allowed = advice.allowed_workers().filter(|id| {
            lead.worker_states
                .get(id)
                .is_some_and(|state| may_take(id, state))
        });
        let allowed = allowed.count();
        let missing = (tasks * ALLOWED_PER_TASK + ALLOWED_SPARE).saturating_sub(allowed);
        if missing == 0 || advice.asks_about_unknown() || !advice.may_retry(now) {
            return allowed;
        }
        let unknown = lead.worker_states.iter();
        let unknown =
            unknown.filter(|(id, state)| !advice.has_answer_for(id) && may_take(id, state));
        let unknown: Vec<(&WorkerId, &WorkerState)> = unknown.collect();
        let count = (missing * ADVICE_PER_MISSING)
            .clamp(MIN_ADVICE_WORKERS_RESTART, MAX_ADVICE_WORKERS_RESTART);
        let workers_to_ask = workers_with_most_free(step, &unknown, count, now);
        if !workers_to_ask.is_empty() {
            self.request_advice(step.key, rule, &workers_to_ask);
        }
        allowed
    }

    /// Reserves capacity for a number of tasks of a step on allowed workers, where it is free soonest.
    fn reserve_for_restart(&mut self, step: &StepToPlace, tasks: usize) -> Vec<CapacityPlan> {
        let now = self.now;
        let plans = self.plan_restart(step, tasks);
        let Some(lead) = self.lead.as_deref_mut() else {
            return Vec::new();
        };
        let until = lead.next_restart_preparation + RESERVE_TIME;
        for state in lead.worker_states.values_mut() {
            state.drop_reservation(step.key, now);
        }
        // Drops the reservations of other steps on these workers, unless those steps restart as well. The
        // other steps reserve capacity again elsewhere.
        let restarting: Vec<StepKey> = lead.restarting.keys().copied().collect();
        for plan in &plans {
            if let Some(state) = lead.worker_states.get_mut(plan.worker()) {
                state
                    .reserved
                    .retain(|reservation| restarting.contains(&reservation.step));
            }
        }
        let terms = ReservationTerms::always(self.now, until);
        self.reserve_capacity(step, plans.iter().map(CapacityPlan::worker), terms);
        self.stop_planned_runs(&plans);
        plans
    }

    /// Renews permits for workers whose capacity becomes free at about the time when the permits arrive. A request
    /// includes workers for all `wanted` tasks, since those that are not due yet may be down soon after.
    fn renew_permits_ahead(
        &mut self,
        step: &StepToPlace,
        rule: AdviceRule,
        plans: &[CapacityPlan],
        wanted: usize,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(advice) = lead.advice.get(&step.key) else {
            return;
        };
        let takes = rule.time_for(plans.len());
        let lasts = Duration::from_millis(rule.valid_ms);
        let restarting = lead.restarting.get(&step.key);
        let has_departing = restarting.is_some_and(|restarting| !restarting.departing.is_empty());
        let stop_time = if has_departing {
            permit_time_for_stop(rule)
        } else {
            Duration::ZERO
        };
        let needed = now + takes + stop_time + lead.time_to_commit();
        let soon = |plan: &&CapacityPlan| plan.after() <= takes + lasts / 2;
        let due =
            |id: &&WorkerId| !advice.is_in_flight_for(id) && advice.permit(id, needed).is_none();
        let workers = plans.iter().filter(soon).map(CapacityPlan::worker);
        let mut workers_to_ask: Vec<WorkerId> = workers.filter(due).cloned().collect();
        if !workers_to_ask.is_empty() && wanted > plans.len() {
            let all = self.plan_restart(step, wanted);
            let workers = all.iter().map(CapacityPlan::worker);
            workers_to_ask.extend(workers.filter(due).cloned());
        }
        workers_to_ask.sort_unstable();
        workers_to_ask.dedup();
        if !workers_to_ask.is_empty() && advice.may_retry(now) {
            self.request_advice(step.key, rule, &workers_to_ask);
        }
    }
}

/// Returns whether a step's tasks are restarts for which capacity and permits are prepared.
pub(in crate::core) fn is_prepared_restart(lead: &LeadState, step: &StepToPlace) -> bool {
    let restarting = lead.restarting.get(&step.key);
    step.has_no_trials() && restarting.is_some_and(|restarting| restarting.covers(&step.tasks))
}
