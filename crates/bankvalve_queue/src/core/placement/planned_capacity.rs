//! The leader's planned starts of gangs, and the reservations that they hold.
//!
//! They take effect where the configuration has queues of a priority between the first and the last. The
//! decisions are in `capacity_profile` and `planned_start`; here they are applied to workers and runs. A new
//! leader has no planned starts and makes them in its first placement passes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::placement::advice::REQUEST_ROUND_TRIP;
use crate::core::placement::capacity_profile::{earliest_on_all, CapacityProfile};
use crate::core::placement::capacity_reclaim::{CapacityPlan, PLAN_RETRY_DELAY, STOP_TIME};
use crate::core::placement::planned_start::{IdleReserve, PlanReview, PlannedStart};
use crate::core::placement::waiting_steps::WaitingStep;
use crate::core::placement::worker_selection::{is_eligible, unasked_for_plan};
use crate::core::placement::StepToPlace;
use crate::core::worker_state::{PlanOrder, ReservationTerms};
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;

/// Factor from the expected run time of a task to one that nine of ten tasks do not exceed. The logarithm of
/// estimates of short tasks is off by 0.5, and 1.28 times that is a factor of 1.9.
const UPPER_TIME_FACTOR: f64 = 1.9;
/// Remaining slack from which an urgent step uses capacity that is reserved for a later priority: a stop and a
/// start.
const PRESSED_SLACK: Duration = Duration::from_millis(400);
/// Room for tasks to request advice about, for each task: some 45 in 100 workers may run a batch.
const SLOTS_PER_TASK: usize = 3;
/// Share of the free CPU above which a step counts as wide, in percent.
const WIDE_STEP_PERCENT: u64 = 10;

/// All planned starts, and what their reservations cost.
#[derive(Debug, Default)]
pub(in crate::core) struct CapacityPlans {
    /// Last priority of all queues, if there are queues of a priority between the first and it.
    last_priority: Option<u32>,
    starts: BTreeMap<StepKey, PlannedStart>,
    idle: IdleReserve,
    /// CPU that no run takes, in millicores.
    free_millicores: u64,
    /// Whether a gang was considered in the current placement pass. The first one may always plan its start.
    is_first_planned: bool,
    /// CPU that is reserved for planned starts.
    reserved_millicores: u64,
}

impl CapacityPlans {
    /// Returns whether capacity is planned by priority.
    pub(in crate::core) fn in_effect(&self) -> bool {
        self.last_priority.is_some()
    }

    /// Returns when the start of a step was planned.
    pub(in crate::core) fn planned_at(&self, key: &StepKey) -> Option<CoreTime> {
        self.starts.get(key).map(|start| start.since)
    }

    /// Returns whether a step has a planned start.
    pub(in crate::core) fn has_start(&self, key: &StepKey) -> bool {
        self.starts.contains_key(key)
    }

    /// Forgets the planned start of a step.
    pub(in crate::core) fn remove_start(&mut self, key: &StepKey) -> Option<PlannedStart> {
        self.starts.remove(key)
    }

    /// Returns whether capacity is reserved for a step without delay: it is a gang or wide, and its priority
    /// is between the first and the last.
    pub(in crate::core) fn covers(&self, step: &WaitingStep) -> bool {
        let precedes_others = self.last_priority.is_some_and(|last| step.priority < last);
        let wanted = step.size.millicores * u64::from(step.tasks);
        let wide = wanted * 100 > self.free_millicores * WIDE_STEP_PERCENT;
        precedes_others && !step.is_urgent() && !step.lasting && (step.gang || wide)
    }

    /// Returns the CPU that is reserved for planned starts, and what of it stands idle while other steps wait, in
    /// millicores.
    pub(in crate::core) fn reserved_and_idle(&self) -> (u64, u64) {
        (self.reserved_millicores, self.idle.millicores())
    }

    /// Returns whether more may be reserved, by what stands idle of the reserved capacity.
    pub(in crate::core) fn allows_more(&self) -> bool {
        self.idle.allows_more()
    }
}

impl EntryCore {
    /// Returns whether capacity is planned by priority.
    pub(in crate::core) fn plans_capacity(&self) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| lead.plans.in_effect())
    }

    /// Returns whether capacity is reserved for a waiting step without delay.
    pub(in crate::core) fn is_planned(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        lead.is_some_and(|lead| {
            let step = lead.waiting.get(&key);
            step.is_some_and(|step| lead.plans.covers(step))
        })
    }

    /// Returns the priority that the reservations of a step have for others.
    pub(in crate::core) fn reservation_priority(&self, step: &StepToPlace) -> u32 {
        if self.plans_capacity() {
            step.priority
        } else {
            0
        }
    }

    /// Returns the place of a step's plan among those of other steps.
    pub(in crate::core) fn plan_order(&self, step: &StepToPlace) -> Option<PlanOrder> {
        let lead = self.lead.as_deref()?;
        let planned_at = lead.plans.planned_at(&step.key);
        let planned_at = planned_at.or_else(|| self.capacity_planned_at(step.key))?;
        Some(PlanOrder {
            priority: self.reservation_priority(step),
            planned_at,
            step: step.key,
        })
    }

    /// Returns how much room for tasks the workers of an advice request are to have: enough although only a part
    /// of them is allowed. `None` for gangs and for steps that precede others.
    pub(in crate::core) fn wanted_slots(&self, step: &StepToPlace) -> Option<usize> {
        let lead = self.lead.as_deref()?;
        let is_last = lead.plans.last_priority? <= step.priority;
        let applies = is_last && !step.spec.gang && !step.spec.lasting && !step.has_trials();
        // A task that finds no room for long needs permits for capacity to be reclaimed for it.
        let waits_long = self.may_reclaim_capacity(step.key);
        (applies && !waits_long).then(|| step.tasks.len() * SLOTS_PER_TASK)
    }

    /// Returns the smallest priority value of the steps whose reserved capacity a step may use: the last, or any
    /// later than its own if it is urgent and would otherwise become late. Urgent runs that used reserved
    /// capacity as long as others can be stopped would delay every planned start.
    pub(in crate::core) fn yielding_priority(&self, step: &StepToPlace) -> u32 {
        let lead = self.lead.as_deref();
        let Some((lead, last)) = lead.and_then(|lead| Some((lead, lead.plans.last_priority?)))
        else {
            return u32::MAX;
        };
        let later = step.priority.saturating_add(1);
        let waiting = lead.waiting.get(&step.key);
        let slack = waiting.map_or(Duration::ZERO, |waiting| waiting.slack(self.wall));
        let is_pressed = !slack.is_zero() && slack <= PRESSED_SLACK;
        if step.urgent && is_pressed {
            later
        } else {
            later.max(last)
        }
    }

    /// Returns the time by which a run of a step that starts now is expected to have ended.
    pub(in crate::core) fn expected_end(&self, key: StepKey) -> CoreTime {
        let lead = self.lead.as_deref();
        match lead.filter(|lead| lead.plans.in_effect()) {
            Some(lead) => self.now + lead.time_to_commit() + self.upper_time(key),
            None => CoreTime::MAX,
        }
    }

    /// Returns the run time that nine of ten tasks of a step do not exceed.
    fn upper_time(&self, key: StepKey) -> Duration {
        if self.uses(PolicySwitch::RunTimeModel) {
            self.run_time_at(key, 0.0).upper
        } else {
            self.expected_time(key.task(0)).mul_f64(UPPER_TIME_FACTOR)
        }
    }

    /// Prepares the planned starts for a placement pass: drops those of steps that no longer wait, and measures
    /// what their reservations leave idle.
    pub(in crate::core) fn update_capacity_plans(&mut self) {
        let now = self.now;
        let uses_plans = self.uses(PolicySwitch::CapacityPlan);
        let table = self.table.as_ref().filter(|_| uses_plans);
        let table = table.filter(|table| table.has_intermediate_priority());
        let last_priority = table.and_then(|table| {
            let priorities = table.queues().map(|queue| queue.terms.priority);
            priorities.max()
        });
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.plans.last_priority = last_priority;
        let waiting = &lead.waiting;
        let at_limit = &lead.waiting_for_limit;
        // A step that waits for its customer's limit could not use its capacity.
        let is_waiting = |key: &StepKey| {
            last_priority.is_some() && waiting.contains_key(key) && !at_limit.contains_key(key)
        };
        let mut last_steps = waiting
            .iter()
            .filter(|(key, _)| !at_limit.contains_key(key));
        let others_wait = last_steps.any(|(_, step)| Some(step.priority) >= last_priority);
        let obsolete: Vec<StepKey> = lead
            .plans
            .starts
            .keys()
            .filter(|key| !is_waiting(key))
            .copied()
            .collect();
        let (mut total, mut free, mut reserved, mut idle) = (0, 0, 0, 0);
        if last_priority.is_some() {
            for state in lead.worker_states.values() {
                if state.domain_evacuated {
                    continue;
                }
                let unused = state.entry.room.minus(&state.used).millicores;
                let planned = state
                    .reserved
                    .iter()
                    .filter(|entry| entry.terms.until > now && lead.plans.has_start(&entry.step));
                let planned: u64 = planned.map(|entry| entry.resources.millicores).sum();
                total += state.entry.room.millicores;
                free += unused;
                reserved += planned;
                idle += planned.min(unused);
            }
        }
        lead.plans.idle = IdleReserve::new(total);
        lead.plans.idle.add(if others_wait { idle } else { 0 });
        lead.plans.is_first_planned = false;
        lead.plans.free_millicores = free;
        lead.plans.reserved_millicores = reserved;
        for key in obsolete {
            self.log_plan_end(key, "given up: the step no longer waits for capacity");
            self.release_reservations(key);
        }
    }

    /// Plans the start of a gang that did not find capacity for all of its tasks, or reviews it.
    pub(in crate::core) fn plan_start(&mut self, step: &StepToPlace, missing: usize) {
        let now = self.now;
        let key = step.key;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let is_first = !std::mem::replace(&mut lead.plans.is_first_planned, true);
        if self.keeps_planned_start(step) {
            return;
        }
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let paused = lead.next_plan_at.get(&key).is_some_and(|at| now < *at);
        if paused {
            return;
        }
        let allows_more = is_first || lead.plans.allows_more();
        let plans = self.plan_beside_reservations(step, missing);
        let is_free = plans.iter().all(|plan| plan.after().is_zero());
        if plans.len() < missing || !(allows_more || is_free) {
            let why = if allows_more {
                "plan_no_capacity"
            } else {
                "plan_bounded"
            };
            self.counters.count("placements", why);
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.next_plan_at.insert(key, now + PLAN_RETRY_DELAY);
            }
            return;
        }
        self.apply_planned_start(step, &plans);
        self.stop_runs_for(step);
    }

    fn apply_planned_start(&mut self, step: &StepToPlace, plans: &[CapacityPlan]) {
        let now = self.now;
        let after = plans.iter().map(CapacityPlan::after).max();
        let after = after.unwrap_or_default();
        let mut counts: BTreeMap<&WorkerId, u64> = BTreeMap::new();
        for plan in plans {
            *counts.entry(plan.worker()).or_default() += 1;
        }
        let workers = counts.into_iter().map(|(id, count)| (id.clone(), count));
        let stops = plans.iter().map(|plan| plan.stops().len()).sum::<usize>();
        let detail = format!(
            "{} tasks on {} workers, first {}, after {after:?}, {} runs to stop",
            plans.len(),
            workers.len(),
            plans[0].worker(),
            stops
        );
        self.counters.count("placements", "planned");
        let start = PlannedStart::new(now, after, workers.collect());
        let terms = ReservationTerms {
            priority: self.reservation_priority(step),
            planned_at: Some(now),
            from: start.from,
            until: start.until,
        };
        self.reserve_capacity(step, plans.iter().map(CapacityPlan::worker), terms);
        let free_now = plans.iter().filter(|plan| plan.after().is_zero());
        let idle = step.resources.millicores * free_now.count() as u64;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.plans.starts.insert(step.key, start);
            lead.plans.idle.add(idle);
        }
        self.log("placer", "plan", step.key.to_string(), detail);
    }

    /// Reviews the planned start of a step. Returns whether there is one that is kept.
    fn keeps_planned_start(&mut self, step: &StepToPlace) -> bool {
        let now = self.now;
        let key = step.key;
        let start = |core: &Self| {
            let lead = core.lead.as_deref()?;
            lead.plans.starts.get(&key).cloned()
        };
        let Some(mut start) = start(self) else {
            return false;
        };
        if !start.review_is_due(now) {
            self.stop_runs_for(step);
            return true;
        }
        let left = self.time_to_planned_start(step, &start);
        let review = start.review(now, left);
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        match review {
            PlanReview::Replan(reason) => {
                self.counters.count("placements", "replanned");
                self.log_plan_end(key, &format!("replanned: {}", reason.as_str()));
                self.release_reservations(key);
                return false;
            }
            PlanReview::Extend(_) | PlanReview::Keep => {
                let (from, until) = (start.from, start.until);
                for (id, _) in &start.workers {
                    if let Some(state) = lead.worker_states.get_mut(id) {
                        state.move_reservation(key, from, until);
                    }
                }
                lead.plans.starts.insert(key, start);
            }
        }
        self.stop_runs_for(step);
        true
    }

    /// Returns the expected time until all workers of a planned start have capacity for it, or `None` if one of
    /// them cannot be used.
    fn time_to_planned_start(&self, step: &StepToPlace, start: &PlannedStart) -> Option<Duration> {
        let now = self.now;
        let lead = self.lead.as_deref()?;
        let until_start = start.from.saturating_sub(now).max(STOP_TIME);
        let profile_of = |(id, count): &(WorkerId, u64)| {
            let state = lead.worker_states.get(id)?;
            if !is_eligible((id, state), step, now) || !state.has_reservation_for(step.key, now) {
                return None;
            }
            let ends = state.runs.iter().map(|(task, live)| {
                let left = self.time_left(*task, live);
                let is_stopped = self.may_preempt_for(step, *task, live);
                let left = if is_stopped {
                    left.min(until_start)
                } else {
                    left
                };
                (left, live.resources)
            });
            let profile = CapacityProfile::new(state.entry.room.minus(&state.used), ends);
            let wanted = step.resources_on(state).times(*count);
            Some((profile, wanted.plus(&step.reserved_on(state, now))))
        };
        let profiles = start.workers.iter().map(profile_of);
        let profiles = profiles.collect::<Option<Vec<(CapacityProfile, TaskSize)>>>()?;
        earliest_on_all(profiles.iter().map(|(profile, wanted)| (profile, wanted)))
    }

    /// Stops the runs in the way of a planned start that is near. Which ones is decided only then: those that were
    /// there when it was planned may have ended, and others may have used the capacity since.
    fn stop_runs_for(&mut self, step: &StepToPlace) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let start = lead.plans.starts.get(&step.key);
        let Some(start) = start.filter(|start| start.stops_are_due(now)) else {
            return;
        };
        let mut stops: Vec<(WorkerId, TaskKey)> = Vec::new();
        for (id, count) in &start.workers {
            let Some(state) = lead.worker_states.get(id) else {
                continue;
            };
            let wanted = step.resources_on(state).times(*count);
            let wanted = wanted.plus(&step.reserved_on(state, now));
            let tasks = self.stops_on(step, state, &wanted);
            stops.extend(tasks.into_iter().map(|task| (id.clone(), task)));
        }
        self.counters
            .count_many("placements", "stopped_for_room", stops.len() as u64);
        for (worker, task) in stops {
            self.preempt_run(&worker, task);
        }
    }

    /// Requests advice about the workers of a planned start, so that the permits are there in time.
    pub(in crate::core) fn request_planned_advice(&mut self, step: &StepToPlace, rule: AdviceRule) {
        let now = self.now;
        let key = step.key;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let (Some(start), Some(advice)) = (lead.plans.starts.get(&key), lead.advice.get(&key))
        else {
            return;
        };
        let needed_until = start.from.max(now) + lead.time_to_commit();
        let workers: Vec<WorkerId> = start.workers.iter().map(|(id, _)| id.clone()).collect();
        let has_permits = workers
            .iter()
            .all(|id| advice.permit(id, needed_until).is_some());
        let takes = rule.time_for(workers.len()) + REQUEST_ROUND_TRIP;
        let can_request =
            advice.can_send_request(now) && self.has_available_adviser(rule, workers.len());
        if has_permits || !can_request || !start.advice_is_due(now, takes) {
            return;
        }
        let answered_at = self.request_advice(key, rule, &workers);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if let Some(start) = lead.plans.starts.get_mut(&key) {
            start.await_permits(answered_at);
            let (from, until) = (start.from, start.until);
            for id in &workers {
                if let Some(state) = lead.worker_states.get_mut(id) {
                    state.move_reservation(key, from, until);
                }
            }
        }
    }

    /// Requests advice about further workers for a gang that could not be planned on the allowed ones.
    pub(in crate::core) fn request_advice_for_plan(
        &mut self,
        step: &StepToPlace,
        rule: AdviceRule,
    ) {
        let now = self.now;
        let key = step.key;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(advice) = lead.advice.get(&key) else {
            return;
        };
        // Answers that have just come have not been planned with while the bound on idle capacity is reached.
        let may_plan = lead.plans.allows_more();
        let can_request =
            advice.can_send_request(now) && self.has_available_adviser(rule, step.tasks.len());
        if lead.plans.has_start(&key) || !may_plan || !can_request {
            return;
        }
        if !self.may_request_advice_on_unasked(key) {
            return;
        }
        let workers = unasked_for_plan(lead, step, advice, now);
        if !workers.is_empty() {
            self.request_advice(key, rule, &workers);
        }
    }

    /// Logs that a step has started, if its start was planned.
    pub(in crate::core) fn finish_planned_start(&mut self, key: StepKey) {
        self.log_plan_end(key, "started");
    }

    fn log_plan_end(&mut self, key: StepKey, how: &str) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        if let Some(start) = lead.plans.starts.get(&key) {
            let age = self.age(start.since);
            let detail = format!("{how}, {age:?} after it was planned");
            self.log("placer", "plan_end", key.to_string(), detail);
        }
    }
}
