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

use super::live_run::{LiveRun, RunPhase};
use super::placement::StepToPlace;
use super::worker_selection::{is_eligible, tasks_on};
use super::worker_state::WorkerState;
use super::EntryCore;
use crate::ids::{CoreTime, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::policy::PolicySwitch;

/// Wait after which capacity is reclaimed for an urgent step: about the time of one placement.
const URGENT_WAIT: Duration = Duration::from_millis(60);
/// Wait after which capacity is reclaimed for any other step: about the time of a short task.
const WAIT: Duration = Duration::from_millis(800);
/// Number of capacity claims up to which a step that is not urgent may always add one. Reserved capacity is
/// unused for a while.
const MOST_WAITING: usize = 2;
/// Percentage of all capacity up to which such a step may add a claim if there are more. On a site of a
/// thousand workers that receives about eight gangs of 40 each second, two claims leave it to chance whether
/// the other gangs find capacity. 22 claims left a quarter of the capacity unused, and later batches earned
/// 0.72 instead of 1.00 of their value.
const KEPT_PERCENT: u64 = 4;
/// Time before capacity is planned again for a step for which it could not be: a plan covers all workers.
const PLAN_PAUSE: Duration = Duration::from_millis(250);
/// Maximum number of tasks of a step for which capacity is reclaimed at once. Gangs are exempt, because they
/// cannot start with less than all members: under this limit, one of 20 members waited for 35 s until the
/// small tasks around it had ended; without the limit, it waits for less than 6 s.
const MOST_TASKS: usize = 12;
/// Usual time from the order to stop a run until its resources are free.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time for which capacity is reserved at once.
const KEEP_TIME: Duration = Duration::from_millis(1_200);
/// Remaining time of a reservation from which it is extended on the same workers. Otherwise other steps would
/// take at once what has become free of it.
const KEEP_ON: Duration = Duration::from_millis(300);
/// Maximum time until capacity becomes free for which it is reserved.
const LONGEST_WAIT: Duration = Duration::from_millis(5_000);
/// Time that a step which is not urgent waits for runs to end before it has a run stopped.
const PATIENCE: Duration = Duration::from_millis(700);
/// Maximum number of times that a task is stopped for other steps, so that it can finish.
const MOST_STOPS: u32 = 3;
/// Weight of an accelerator in millicores when runs to stop are selected. The platform uses the same figure.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// Capacity that is reserved for a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityClaim {
    since: CoreTime,
    until: CoreTime,
    /// Reserved CPU in millicores.
    millicores: u64,
}

/// A plan to get capacity for one task on one worker.
#[derive(Clone, Debug)]
pub(super) struct CapacityPlan {
    worker: WorkerId,
    /// Time until the capacity is free.
    after: Duration,
    /// Runs whose resources the task uses, including those that end without being stopped.
    freed: Vec<TaskKey>,
    /// Runs to stop for the task.
    stops: Vec<TaskKey>,
    /// Weight of the runs to stop, in millicores.
    weight: u64,
}

impl CapacityPlan {
    pub(super) fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Returns the time until the capacity is free.
    pub(super) fn after(&self) -> Duration {
        self.after
    }
}

/// A plan for one task, ordered by when plans are selected.
struct PlannedTask {
    place: usize,
    plan: CapacityPlan,
}

impl PlannedTask {
    fn rank(&self) -> (Duration, u64, usize) {
        (self.plan.after, self.plan.weight, self.place)
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
    /// Capacity that is free or that the plans made so far free.
    room: TaskSize,
    /// Part of it that is reserved for other steps or used by the plans made so far. It may be more than is
    /// free yet. When it counted as free, a worker was idle for 6 s: two steps waited for the same capacity,
    /// each blocked by the reservation of the other.
    taken: TaskSize,
    gone: Vec<TaskKey>,
    held: usize,
}

impl EntryCore {
    /// Returns whether a step has waited so long for capacity that it may be reclaimed.
    pub(super) fn may_reclaim_capacity(&self, key: StepKey) -> bool {
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
        let wait = if urgent { URGENT_WAIT } else { WAIT };
        self.uses(PolicySwitch::Preemption) && self.age(*since) >= wait
    }

    /// Returns whether capacity is being reclaimed or reserved for a step.
    pub(super) fn has_capacity_claim(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        let claim = lead.and_then(|lead| lead.capacity_claims.get(&key));
        claim.is_some_and(|claim| claim.until > self.now)
    }

    /// Records that tasks of a step found no capacity.
    pub(super) fn note_capacity_wait(&mut self, key: StepKey) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.capacity_waits.entry(key).or_insert(now);
        }
    }

    /// Forgets that a step waited for capacity, and drops its reservations.
    pub(super) fn drop_capacity_claim(&mut self, key: StepKey) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.capacity_waits.remove(&key);
        if lead.capacity_claims.remove(&key).is_some() {
            for state in lead.worker_states.values_mut() {
                state.drop_reservation(key, now);
            }
        }
    }

    /// Reclaims capacity for tasks of a step that found none.
    pub(super) fn reclaim_capacity(&mut self, step: &StepToPlace, missing: usize) {
        let now = self.now;
        let key = step.key;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let kept = |state: &WorkerState| state.has_reservation_for(key, now);
        if lead.worker_states.values().any(kept) {
            self.keep_on(key);
            return;
        }
        let others = lead
            .capacity_claims
            .iter()
            .filter(|(other, claim)| **other != key && claim.until > now);
        let kept: u64 = others.clone().map(|(_, claim)| claim.millicores).sum();
        let rooms = lead
            .worker_states
            .values()
            .map(|state| state.entry.room.millicores);
        let all: u64 = rooms.sum();
        let many = others.count() >= MOST_WAITING && kept * 100 >= all * KEPT_PERCENT;
        let paused = |at: &CoreTime| now < *at;
        if !step.urgent && (many || lead.plan_pauses.get(&key).is_some_and(paused)) {
            return;
        }
        let wanted = if step.spec.gang {
            missing
        } else {
            missing.min(MOST_TASKS)
        };
        let plans = self.plan_room(step, wanted, |_| true);
        if plans.is_empty() || (step.spec.gang && plans.len() < missing) {
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.plan_pauses.insert(key, now + PLAN_PAUSE);
            }
            return;
        }
        self.carry_out(step, &plans);
    }

    /// Extends the reservations of a step while the capacity may still become free. Estimates are inaccurate,
    /// and all members of a gang wait for the last run on their workers.
    fn keep_on(&mut self, key: StepKey) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(claim) = lead.capacity_claims.get_mut(&key) else {
            return;
        };
        let ends_soon = claim.until <= now + KEEP_ON;
        if !ends_soon || now.saturating_sub(claim.since) >= LONGEST_WAIT {
            return;
        }
        claim.until = now + KEEP_TIME;
        let until = claim.until;
        for state in lead.worker_states.values_mut() {
            state.extend_reservation(key, until, now);
        }
    }

    /// Plans capacity for long-running tasks that restart. It may be reserved for other steps, unless they
    /// restart as well.
    pub(super) fn plan_restart(&self, step: &StepToPlace, tasks: usize) -> Vec<CapacityPlan> {
        let lead = self.lead.as_deref();
        let stands = |key: StepKey| lead.is_some_and(|lead| lead.restarting.contains_key(&key));
        self.plan_room(step, tasks, stands)
    }

    /// Plans capacity for tasks of a step, outside the reservations of the other steps that `stands` selects.
    fn plan_room(
        &self,
        step: &StepToPlace,
        tasks: usize,
        stands: impl Fn(StepKey) -> bool,
    ) -> Vec<CapacityPlan> {
        let now = self.now;
        if tasks == 0 {
            return Vec::new();
        }
        let Some(lead) = self.lead.as_deref() else {
            return Vec::new();
        };
        let advice = lead.advice.get(&step.key);
        let permitted =
            |id: &WorkerId| step.rule.is_none() || advice.is_some_and(|advice| advice.is_good(id));
        let mut worker_states: Vec<PlannedWorker<'_>> = lead
            .worker_states
            .iter()
            .filter(|(id, state)| permitted(id) && is_eligible((id, state), step, now))
            .map(|(id, state)| PlannedWorker {
                id,
                state,
                room: state.entry.room.minus(&state.used),
                taken: kept_that_stands(state, step.key, now, &stands),
                gone: Vec::new(),
                held: tasks_on(state, step.key),
            })
            .collect();
        // Takes the plan with the earliest capacity first. A plan changes only the capacity of its own
        // worker, so each of a thousand workers is planned once, and a selected one once more.
        let mut soonest: BinaryHeap<Reverse<PlannedTask>> = BinaryHeap::new();
        let next_on = |worker_states: &[PlannedWorker<'_>], place: usize| {
            let state = &worker_states[place];
            let free = state.held < step.worker_limit();
            let plan = self.plan_on(step, state).filter(|_| free)?;
            Some(Reverse(PlannedTask { place, plan }))
        };
        soonest.extend((0..worker_states.len()).filter_map(|place| next_on(&worker_states, place)));
        let mut plans = Vec::new();
        while plans.len() < tasks {
            let Some(Reverse(PlannedTask { place, plan })) = soonest.pop() else {
                break;
            };
            worker_states[place].take(step, &plan);
            soonest.extend(next_on(&worker_states, place));
            plans.push(plan);
        }
        plans
    }

    /// Returns the plan with the earliest capacity for one task on a worker.
    fn plan_on(&self, step: &StepToPlace, planned: &PlannedWorker<'_>) -> Option<CapacityPlan> {
        let patience = if step.urgent {
            Duration::ZERO
        } else {
            PATIENCE
        };
        let mut room = planned.room;
        let wanted = step.resources_on(planned.state).plus(&planned.taken);
        let mut plan = CapacityPlan {
            worker: planned.id.clone(),
            after: Duration::ZERO,
            freed: Vec::new(),
            stops: Vec::new(),
            weight: 0,
        };
        if wanted.fits(&room) {
            return Some(plan);
        }
        let mut ways: Vec<(Duration, u64, bool, TaskKey, TaskSize)> = planned
            .state
            .runs
            .iter()
            .filter(|(task, _)| !planned.gone.contains(task))
            .map(|(task, live)| {
                let left = self.time_left(*task, live);
                let stop = self.may_stop_for(step, *task, live) && left > STOP_TIME;
                let after = if stop { STOP_TIME } else { left };
                let weight = if stop { weight_of(&live.resources) } else { 0 };
                let patience = if stop { patience } else { Duration::ZERO };
                (after + patience, weight, stop, *task, live.resources)
            })
            .collect();
        // Of the runs whose resources are free at the same time, the largest come first, so that few are
        // stopped.
        ways.sort_unstable_by_key(|(after, _, _, task, size)| {
            (*after, Reverse(weight_of(size)), *task)
        });
        for (after, weight, stop, task, size) in ways {
            if wanted.fits(&room) {
                break;
            }
            room = room.plus(&size);
            plan.after = plan.after.max(after);
            plan.weight += weight;
            plan.freed.push(task);
            if stop {
                plan.stops.push(task);
            }
        }
        (wanted.fits(&room) && plan.after <= LONGEST_WAIT).then_some(plan)
    }

    /// Returns the remaining time of a run by its progress, or else by the expected run time of its task.
    fn time_left(&self, task: TaskKey, live: &LiveRun) -> Duration {
        if matches!(live.phase, RunPhase::Stopping { .. }) {
            return STOP_TIME;
        }
        if live.lasting {
            return LONGEST_WAIT * 2;
        }
        let ran = self.age(live.began);
        let expected = self.expected_time(task).saturating_sub(ran);
        let by_pace = live.progress.and_then(|progress| progress.time_left(ran));
        by_pace.unwrap_or(expected)
    }

    fn may_stop_for(&self, step: &StepToPlace, task: TaskKey, live: &LiveRun) -> bool {
        let stops = self.lead.as_deref().and_then(|lead| lead.stops.get(&task));
        // Nothing can start in its place while the table is unavailable.
        let may_stop = self.uses(PolicySwitch::Preemption) && !self.store_is_unavailable();
        may_stop
            && live.saves
            && !live.must_not_move
            && live.priority > step.priority
            && matches!(live.phase, RunPhase::Running { .. })
            && stops.copied().unwrap_or(0) < MOST_STOPS
    }

    fn carry_out(&mut self, step: &StepToPlace, plans: &[CapacityPlan]) {
        let now = self.now;
        let after = plans.iter().map(|plan| plan.after).max();
        let until = now + KEEP_TIME;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let claim = CapacityClaim {
            since: now,
            until,
            millicores: step.resources.millicores * plans.len() as u64,
        };
        lead.capacity_claims.insert(step.key, claim);
        self.reserve_capacity(step, plans.iter().map(|plan| &plan.worker), until);
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

    /// Stops the runs that the plans stop.
    pub(super) fn stop_planned_runs(&mut self, plans: &[CapacityPlan]) {
        for plan in plans {
            for task in &plan.stops {
                if let Some(lead) = self.lead.as_deref_mut() {
                    *lead.stops.entry(*task).or_default() += 1;
                }
                self.begin_stop_run(&plan.worker, *task);
            }
        }
    }
}

impl PlannedWorker<'_> {
    /// Applies a plan. The resources of each run count for one task only.
    fn take(&mut self, step: &StepToPlace, plan: &CapacityPlan) {
        for task in &plan.freed {
            if let Some(live) = self.state.runs.get(task) {
                self.room = self.room.plus(&live.resources);
            }
        }
        self.gone.extend(plan.freed.iter().copied());
        self.taken = self.taken.plus(&step.resources_on(self.state));
        self.held += 1;
    }
}

/// Returns the capacity that is reserved on a worker for the other steps that `stands` selects.
fn kept_that_stands(
    state: &WorkerState,
    step: StepKey,
    now: CoreTime,
    stands: impl Fn(StepKey) -> bool,
) -> TaskSize {
    let kept = state.reserved.iter();
    let kept = kept.filter(|kept| kept.step != step && kept.until > now && stands(kept.step));
    kept.fold(TaskSize::default(), |sum, kept| sum.plus(&kept.resources))
}

fn weight_of(size: &TaskSize) -> u64 {
    size.millicores + size.accelerators * ACCELERATOR_WEIGHT
}
