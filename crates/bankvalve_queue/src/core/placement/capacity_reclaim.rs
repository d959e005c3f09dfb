//! Capacity for steps that find none: reclaimed from runs that save their progress, or reserved as it becomes
//! free.
//!
//! A step that has waited for capacity selects the workers on which it can start first. This depends on the
//! remaining time of the runs there, and on which of them may be stopped: runs of queues of lower priority
//! that save their progress when they are stopped. The capacity is reserved for the step, so that smaller
//! steps do not take it again and again.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::core::live_run::{LiveRun, RunPhase};
use crate::core::placement::planned_start::STOP_AHEAD;
use crate::core::placement::worker_selection::{is_eligible, tasks_on};
use crate::core::placement::StepToPlace;
use crate::core::worker_state::{Reservation, ReservationTerms, WorkerState};
use crate::core::EntryCore;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::policy::PolicySwitch;

/// Wait after which capacity is reclaimed for an urgent step: about the time of one placement.
const URGENT_RECLAIM_DELAY: Duration = Duration::from_millis(60);
/// Wait after which capacity is reclaimed for any other step: about the time of a short task.
const RECLAIM_DELAY: Duration = Duration::from_millis(800);
/// Number of claims by other steps below which a step that is not urgent may always claim capacity. Reserved
/// capacity is unused for a while.
const MIN_CLAIMS: usize = 2;
/// Percentage of all capacity that other steps may have claimed for a step that is not urgent to claim more,
/// once there are [`MIN_CLAIMS`]. On a site of a thousand workers that receives about eight gangs of 40 each
/// second, two claims leave it to chance whether the other gangs find capacity. 22 claims left a quarter of
/// the capacity unused, and later batches earned 0.72 instead of 1.00 of their value.
const MAX_RESERVED_PERCENT: u64 = 4;
/// Time before capacity is planned again for a step for which it could not be: a plan covers all workers.
pub(in crate::core) const PLAN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of tasks of a step for which capacity is reclaimed at once. Gangs are exempt, because they
/// cannot start with less than all members: under this limit, one of 20 members waited for 35 s until the
/// small tasks around it had ended; without the limit, it waits for less than 6 s.
const MAX_TASKS_AT_ONCE: usize = 12;
/// Usual time from the order to stop a run until its resources are free.
pub(in crate::core) const STOP_TIME: Duration = Duration::from_millis(300);
/// Time for which capacity is reserved at once.
const RESERVE_TIME: Duration = Duration::from_millis(1_200);
/// Remaining time of a reservation from which it is extended on the same workers. Otherwise other steps would
/// take at once what has become free of it.
const RESERVE_EXTEND_AHEAD: Duration = Duration::from_millis(300);
/// Maximum time until capacity becomes free for which it is reserved.
pub(in crate::core) const MAX_CAPACITY_WAIT: Duration = Duration::from_millis(5_000);
/// Time that a step which is not urgent waits for runs to end before it has a run stopped.
const WAIT_BEFORE_STOP: Duration = Duration::from_millis(700);
/// Maximum number of times that a task is stopped for other steps, so that it can finish.
const MAX_PREEMPTIONS: u32 = 3;
/// Interval at which tasks with checkpoints save their progress.
const SAVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time until a stopped task works again, which adds to the work that its stop loses.
const RESTART_COST: Duration = Duration::from_millis(500);
/// Weight of an accelerator in millicores when runs to stop are selected. The platform uses the same figure.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// Capacity that is reserved for a step.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct CapacityClaim {
    since: CoreTime,
    until: CoreTime,
    /// Reserved CPU in millicores.
    millicores: u64,
}

/// A plan to get capacity for one task on one worker.
#[derive(Clone, Debug)]
pub(in crate::core) struct CapacityPlan {
    worker: WorkerId,
    /// Time until the capacity is free.
    after: Duration,
    /// Runs whose resources the task uses, including those that end without being stopped.
    freed: Vec<TaskKey>,
    /// Runs to stop for the task.
    stops: Vec<TaskKey>,
    /// Cost of stopping these runs.
    cost: StopCost,
}

/// Cost of stopping runs. The smaller is the better choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct StopCost {
    /// Smallest priority value of the runs; the reverse, so that the last priority is stopped first.
    priority: Option<Reverse<u32>>,
    /// Work that is lost, as millicores times milliseconds, or just millicores without a plan of capacity.
    work: u64,
}

impl StopCost {
    fn plus(self, other: Self) -> Self {
        Self {
            priority: self.priority.max(other.priority),
            work: self.work.saturating_add(other.work),
        }
    }
}

/// A run whose resources a task could use.
struct FreedRun {
    /// Time until its resources are free.
    after: Duration,
    stop: bool,
    cost: StopCost,
    task: TaskKey,
    resources: TaskSize,
}

impl CapacityPlan {
    pub(in crate::core) fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the runs to stop.
    pub(in crate::core) fn stops(&self) -> &[TaskKey] {
        &self.stops
    }

    /// Returns the time until the capacity is free.
    pub(in crate::core) fn after(&self) -> Duration {
        self.after
    }
}

/// A plan for one task, ordered by when plans are selected.
struct PlannedTask {
    worker_index: usize,
    plan: CapacityPlan,
    /// Time until both the capacity and a permit are there.
    ready_after: Duration,
}

impl PlannedTask {
    fn rank(&self) -> (Duration, Duration, StopCost, usize) {
        let plan = &self.plan;
        (self.ready_after, plan.after, plan.cost, self.worker_index)
    }
}

impl Ord for PlannedTask {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialOrd for PlannedTask {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for PlannedTask {
    fn eq(&self, other: &Self) -> bool {
        self.rank() == other.rank()
    }
}

impl Eq for PlannedTask {}

/// A worker, with its capacity after the plans made so far.
struct PlannedWorker<'a> {
    id: &'a WorkerId,
    state: &'a WorkerState,
    /// Free capacity, including what the plans made so far will free.
    free: TaskSize,
    /// Part of it that is reserved for other steps or used by the plans made so far. It may be more than is
    /// free yet. When it counted as free, a worker was idle for 6 s: two steps waited for the same capacity,
    /// each blocked by the reservation of the other.
    unavailable: TaskSize,
    used_runs: Vec<TaskKey>,
    tasks_held: usize,
    /// Whether the worker takes a suspect that must not run beside other new tasks.
    has_trial: bool,
}

impl EntryCore {
    /// Returns whether a step has waited so long for capacity that it may be reclaimed.
    pub(in crate::core) fn may_reclaim_capacity(&self, key: StepKey) -> bool {
        let Some(lead) = self.lead.as_deref() else {
            return false;
        };
        let Some(since) = lead.capacity_waits.get(&key) else {
            return false;
        };
        let step = lead.waiting.get(&key);
        if step.is_some_and(|step| step.is_beyond_share(self.now)) {
            return false;
        }
        let urgent = step.is_some_and(|step| step.is_urgent());
        let wait = if step.is_some_and(|step| lead.plans.covers(step)) {
            Duration::ZERO
        } else if urgent {
            URGENT_RECLAIM_DELAY
        } else {
            RECLAIM_DELAY
        };
        self.uses(PolicySwitch::Preemption) && self.age(*since) >= wait
    }

    /// Returns whether capacity is being reclaimed or reserved for a step.
    pub(in crate::core) fn has_capacity_claim(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        let claim = lead.and_then(|lead| lead.capacity_claims.get(&key));
        lead.is_some_and(|lead| lead.plans.has_start(&key))
            || claim.is_some_and(|claim| claim.until > self.now)
    }

    /// Returns when the capacity that is reserved for a step was planned.
    pub(in crate::core) fn capacity_planned_at(&self, key: StepKey) -> Option<CoreTime> {
        let lead = self.lead.as_deref()?;
        let claim = lead.capacity_claims.get(&key)?;
        (claim.until > self.now).then_some(claim.since)
    }

    /// Records that tasks of a step found no capacity.
    pub(in crate::core) fn record_capacity_wait(&mut self, key: StepKey) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.capacity_waits.entry(key).or_insert(now);
        }
    }

    /// Forgets that a step waited for capacity, and drops its reservations.
    pub(in crate::core) fn drop_capacity_claim(&mut self, key: StepKey) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.capacity_waits.remove(&key);
        if lead.capacity_claims.contains_key(&key) || lead.plans.has_start(&key) {
            self.release_reservations(key);
        }
    }

    /// Drops a step's reservations, so that its capacity is planned again. The step keeps the time since
    /// which it has waited.
    pub(in crate::core) fn release_reservations(&mut self, key: StepKey) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.capacity_claims.remove(&key);
        lead.plans.remove_start(&key);
        for state in lead.worker_states.values_mut() {
            state.drop_reservation(key, now);
        }
    }

    /// Reclaims capacity for tasks of a step that found none.
    pub(in crate::core) fn reclaim_capacity(&mut self, step: &StepToPlace, missing: usize) {
        let now = self.now;
        let key = step.key;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let has_reservation = |state: &WorkerState| state.has_reservation_for(key, now);
        if lead.worker_states.values().any(has_reservation) {
            self.extend_reservations(key);
            return;
        }
        let others = lead
            .capacity_claims
            .iter()
            .filter(|(other, claim)| **other != key && claim.until > now);
        let claimed: u64 = others.clone().map(|(_, claim)| claim.millicores).sum();
        let capacities = lead
            .worker_states
            .values()
            .filter(|state| !state.domain_evacuated)
            .map(|state| state.entry.room.millicores);
        let total: u64 = capacities.sum();
        let too_many_claims = if lead
            .waiting
            .get(&key)
            .is_some_and(|step| lead.plans.covers(step))
        {
            !lead.plans.allows_more()
        } else {
            others.count() >= MIN_CLAIMS && claimed * 100 >= total * MAX_RESERVED_PERCENT
        };
        let paused = |at: &CoreTime| now < *at;
        if !step.urgent && (too_many_claims || lead.next_plan_at.get(&key).is_some_and(paused)) {
            return;
        }
        let wanted = if step.spec.gang {
            missing
        } else {
            missing.min(MAX_TASKS_AT_ONCE)
        };
        let plans = self.plan_beside_reservations(step, wanted);
        if plans.is_empty() || (step.spec.gang && plans.len() < missing) {
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.next_plan_at.insert(key, now + PLAN_RETRY_DELAY);
            }
            return;
        }
        self.apply_plans(step, &plans);
    }

    /// Extends the reservations of a step while the capacity may still become free. Estimates are inaccurate,
    /// and all members of a gang wait for the last run on their workers.
    fn extend_reservations(&mut self, key: StepKey) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(claim) = lead.capacity_claims.get_mut(&key) else {
            return;
        };
        let ends_soon = claim.until <= now + RESERVE_EXTEND_AHEAD;
        if !ends_soon || now.saturating_sub(claim.since) >= MAX_CAPACITY_WAIT {
            return;
        }
        claim.until = now + RESERVE_TIME;
        let until = claim.until;
        for state in lead.worker_states.values_mut() {
            state.extend_reservation(key, until, now);
        }
    }

    /// Plans capacity for tasks of a step beside the reservations that it may not use.
    pub(in crate::core) fn plan_beside_reservations(
        &self,
        step: &StepToPlace,
        tasks: usize,
    ) -> Vec<CapacityPlan> {
        let respects = |entry: &Reservation| entry.terms.priority < step.yielding_priority;
        self.plan_capacity(step, tasks, respects, |_, _| Duration::ZERO)
    }

    /// Plans capacity for long-running tasks that restart, where both the capacity and a permit are there soonest. It
    /// may be reserved for other steps, unless they restart as well.
    pub(in crate::core) fn plan_restart(
        &self,
        step: &StepToPlace,
        tasks: usize,
    ) -> Vec<CapacityPlan> {
        let lead = self.lead.as_deref();
        let respects = |entry: &Reservation| {
            lead.is_some_and(|lead| lead.restarting.contains_key(&entry.step))
        };
        let until_permit = |id: &WorkerId, after| self.time_until_permit(step, id, after);
        self.plan_capacity(step, tasks, respects, until_permit)
    }

    /// Plans capacity for tasks of a step, outside the reservations of the other steps for which `respects`
    /// is true.
    fn plan_capacity(
        &self,
        step: &StepToPlace,
        tasks: usize,
        respects: impl Fn(&Reservation) -> bool,
        until_permit: impl Fn(&WorkerId, Duration) -> Duration,
    ) -> Vec<CapacityPlan> {
        let now = self.now;
        if tasks == 0 {
            return Vec::new();
        }
        let Some(lead) = self.lead.as_deref() else {
            return Vec::new();
        };
        let advice = lead.advice.get(&step.key);
        let permitted = |id: &WorkerId| {
            step.rule.is_none() || advice.is_some_and(|advice| advice.is_allowed(id))
        };
        let mut planned_workers: Vec<PlannedWorker<'_>> = lead
            .worker_states
            .iter()
            .filter(|(id, state)| permitted(id) && is_eligible((id, state), step, now))
            .map(|(id, state)| PlannedWorker {
                id,
                state,
                free: state.entry.room.minus(&state.used),
                unavailable: respected_reservations(state, step.key, now, &respects),
                used_runs: Vec::new(),
                tasks_held: tasks_on(state, step.key),
                has_trial: false,
            })
            .collect();
        // Takes the plan with the earliest capacity first. A plan changes only the capacity of its own
        // worker, so each of a thousand workers is planned once, and a selected one once more.
        let mut soonest: BinaryHeap<Reverse<PlannedTask>> = BinaryHeap::new();
        let next_on = |planned_workers: &[PlannedWorker<'_>], worker_index: usize| {
            let worker = &planned_workers[worker_index];
            let may_take = worker.tasks_held < step.worker_limit() && !worker.has_trial;
            let plan = self.plan_on(step, worker).filter(|_| may_take)?;
            let ready_after = plan.after.max(until_permit(worker.id, plan.after));
            Some(Reverse(PlannedTask {
                worker_index,
                plan,
                ready_after,
            }))
        };
        soonest.extend(
            (0..planned_workers.len())
                .filter_map(|worker_index| next_on(&planned_workers, worker_index)),
        );
        let mut plans = Vec::new();
        while plans.len() < tasks {
            let Some(Reverse(planned)) = soonest.pop() else {
                break;
            };
            let (worker_index, plan) = (planned.worker_index, planned.plan);
            planned_workers[worker_index].apply(step, &plan);
            // Trials are assigned first, each to a worker that takes no other task of the step.
            planned_workers[worker_index].has_trial = plans.len() < step.trial_count();
            soonest.extend(next_on(&planned_workers, worker_index));
            plans.push(plan);
        }
        plans
    }

    /// Returns the plan with the earliest capacity for one task on a worker.
    fn plan_on(&self, step: &StepToPlace, planned: &PlannedWorker<'_>) -> Option<CapacityPlan> {
        let wanted = step.resources_on(planned.state).plus(&planned.unavailable);
        let mut plan = CapacityPlan {
            worker: planned.id.clone(),
            after: step.time_until_joinable(planned.state, self.now),
            freed: Vec::new(),
            stops: Vec::new(),
            cost: StopCost::default(),
        };
        let free = planned.free;
        if wanted.fits(&free) {
            return Some(plan);
        }
        let runs = planned.state.runs.iter();
        let runs = runs.filter(|(task, _)| !planned.used_runs.contains(task));
        let wait_before_stop = if step.urgent {
            Duration::ZERO
        } else {
            WAIT_BEFORE_STOP
        };
        let options = runs.map(|(task, live)| self.freed_run(step, *task, live, wait_before_stop));
        let chosen = self.choose_runs(options.collect(), &wanted, free)?;
        for run in chosen {
            plan.after = plan.after.max(run.after);
            plan.cost = plan.cost.plus(run.cost);
            plan.freed.push(run.task);
            if run.stop {
                plan.stops.push(run.task);
            }
        }
        (plan.after <= step.max_capacity_wait).then_some(plan)
    }

    /// Returns the runs to wait for or to stop, so that resources are free beside what is free already, or `None`
    /// if all of them free too little.
    fn choose_runs(
        &self,
        mut options: Vec<FreedRun>,
        wanted: &TaskSize,
        mut free: TaskSize,
    ) -> Option<Vec<FreedRun>> {
        let by_cost = self.plans_capacity();
        // Of the runs whose resources are free at the same time, those whose stop costs least come first. By
        // size, the largest come first, so that few are stopped.
        options.sort_unstable_by_key(|run| {
            let cost = run.cost.work / weight_of(&run.resources).max(1);
            let cost = (run.cost.priority, cost);
            let cost = if by_cost { cost } else { Default::default() };
            let size = Reverse(weight_of(&run.resources));
            (run.after, cost, size, run.task)
        });
        let mut chosen: Vec<FreedRun> = Vec::new();
        for run in options {
            if wanted.fits(&free) {
                break;
            }
            free = free.plus(&run.resources);
            chosen.push(run);
        }
        if !wanted.fits(&free) {
            return None;
        }
        if by_cost {
            drop_needless_stops(&mut chosen, wanted, free);
        }
        Some(chosen)
    }

    /// Returns the runs to stop on a worker now, so that resources are free about when a stop ends.
    pub(in crate::core) fn stops_on(
        &self,
        step: &StepToPlace,
        state: &WorkerState,
        wanted: &TaskSize,
    ) -> Vec<TaskKey> {
        let runs = state.runs.iter();
        let options = runs.map(|(task, live)| self.freed_run(step, *task, live, Duration::ZERO));
        let soon = options.filter(|run| run.after <= STOP_AHEAD).collect();
        let free = state.entry.room.minus(&state.used);
        let chosen = self.choose_runs(soon, wanted, free);
        let stops = chosen.into_iter().flatten().filter(|run| run.stop);
        stops.map(|run| run.task).collect()
    }

    /// Returns when the resources of a run are free for a step, and at what cost.
    fn freed_run(
        &self,
        step: &StepToPlace,
        task: TaskKey,
        live: &LiveRun,
        wait_before_stop: Duration,
    ) -> FreedRun {
        let mut run = FreedRun {
            after: self.time_left(task, live),
            stop: false,
            cost: StopCost::default(),
            task,
            resources: live.resources,
        };
        let least = if self.plans_capacity() {
            STOP_TIME + wait_before_stop
        } else {
            STOP_TIME
        };
        if run.after > least && self.may_preempt_for(step, task, live) {
            run.after = STOP_TIME + wait_before_stop;
            run.stop = true;
            run.cost = self.stop_cost(live);
        }
        run
    }

    /// Returns the cost of stopping a run: what it has done since its last save, and a restart.
    fn stop_cost(&self, live: &LiveRun) -> StopCost {
        let weight = weight_of(&live.resources);
        if !self.plans_capacity() {
            return StopCost {
                work: weight,
                ..StopCost::default()
            };
        }
        let lost = self.time_since_save(live) + RESTART_COST;
        StopCost {
            priority: Some(Reverse(live.priority)),
            work: weight.saturating_mul(lost.as_millis() as u64),
        }
    }

    /// Returns the estimated time since a run last saved its progress.
    fn time_since_save(&self, live: &LiveRun) -> Duration {
        let ran = self.age(live.began);
        if live.saves {
            Duration::from_millis((ran.as_millis() % SAVE_INTERVAL.as_millis()) as u64)
        } else {
            ran
        }
    }

    /// Returns the expected remaining time of a run.
    pub(in crate::core) fn time_left(&self, task: TaskKey, live: &LiveRun) -> Duration {
        if matches!(live.phase, RunPhase::Stopping { .. }) {
            return STOP_TIME;
        }
        if live.lasting {
            return MAX_CAPACITY_WAIT * 2;
        }
        self.remaining_time(task, live).typical
    }

    pub(in crate::core) fn may_preempt_for(
        &self,
        step: &StepToPlace,
        task: TaskKey,
        live: &LiveRun,
    ) -> bool {
        let preemptions = self
            .lead
            .as_deref()
            .and_then(|lead| lead.preemptions.get(&task));
        // Nothing can start in its place while the table is unavailable.
        let may_preempt = self.uses(PolicySwitch::Preemption) && !self.store_is_unavailable();
        may_preempt
            && live.may_be_stopped_for(step.priority)
            && preemptions.copied().unwrap_or(0) < MAX_PREEMPTIONS
    }

    fn apply_plans(&mut self, step: &StepToPlace, plans: &[CapacityPlan]) {
        let now = self.now;
        let after = plans.iter().map(|plan| plan.after).max();
        let until = now + RESERVE_TIME;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let claim = CapacityClaim {
            since: now,
            until,
            millicores: step.resources.millicores * plans.len() as u64,
        };
        lead.capacity_claims.insert(step.key, claim);
        let terms = ReservationTerms {
            priority: self.reservation_priority(step),
            planned_at: Some(now),
            from: now,
            until,
        };
        self.reserve_capacity(step, plans.iter().map(|plan| &plan.worker), terms);
        let stops = plans.iter().map(|plan| plan.stops.len()).sum::<usize>();
        let detail = format!(
            "capacity for {} tasks, first on {}, after {after:?}, {stops} runs stopped",
            plans.len(),
            plans[0].worker
        );
        self.log("placer", "make_room", step.key.to_string(), detail);
        self.counters.count("placements", "room_made");
        self.counters
            .count_many("placements", "stopped_for_room", stops as u64);
        self.stop_planned_runs(plans);
    }

    /// Stops the runs that must end for the plans.
    pub(in crate::core) fn stop_planned_runs(&mut self, plans: &[CapacityPlan]) {
        for plan in plans {
            for task in &plan.stops {
                self.preempt_run(&plan.worker, *task);
            }
        }
    }

    /// Stops a run for another step.
    pub(in crate::core) fn preempt_run(&mut self, worker: &WorkerId, task: TaskKey) {
        if let Some(lead) = self.lead.as_deref_mut() {
            *lead.preemptions.entry(task).or_default() += 1;
        }
        self.stop_run(worker, task);
    }
}

impl PlannedWorker<'_> {
    /// Applies a plan. The resources of each run count for one task only.
    fn apply(&mut self, step: &StepToPlace, plan: &CapacityPlan) {
        for task in &plan.freed {
            if let Some(live) = self.state.runs.get(task) {
                self.free = self.free.plus(&live.resources);
            }
        }
        self.used_runs.extend(plan.freed.iter().copied());
        self.unavailable = self
            .unavailable
            .plus(&step.resources_to_reserve(self.state));
        self.tasks_held += 1;
    }
}

/// Returns the capacity that is reserved on a worker for the other steps for which `respects` is true.
fn respected_reservations(
    state: &WorkerState,
    step: StepKey,
    now: CoreTime,
    respects: impl Fn(&Reservation) -> bool,
) -> TaskSize {
    let reservations = state.reserved.iter();
    let reservations = reservations
        .filter(|entry| entry.step != step && entry.terms.until > now && respects(entry));
    reservations.fold(TaskSize::default(), |sum, entry| sum.plus(&entry.resources))
}

/// Drops runs from the choice that need not be stopped, those that cost most first. `free` is what is free with
/// all of them.
fn drop_needless_stops(chosen: &mut Vec<FreedRun>, wanted: &TaskSize, mut free: TaskSize) {
    let mut by_cost: Vec<(StopCost, TaskKey, TaskSize)> = chosen
        .iter()
        .filter(|run| run.stop)
        .map(|run| (run.cost, run.task, run.resources))
        .collect();
    by_cost.sort_unstable_by_key(|(cost, task, _)| Reverse((*cost, *task)));
    for (_, task, resources) in by_cost {
        let without = free.minus(&resources);
        if wanted.fits(&without) {
            free = without;
            chosen.retain(|run| run.task != task);
        }
    }
}

fn weight_of(size: &TaskSize) -> u64 {
    size.millicores + size.accelerators * ACCELERATOR_WEIGHT
}
