//! Room for steps that find none: from runs that save their progress, or kept as it becomes free.
//!
//! A step that has waited for room chooses the workers on which it can start first, by what their
//! runs still have to do and by what may be stopped there: runs of queues that come later, whose
//! progress is saved at a stop. The room is kept for it, so that smaller steps do not fill it again
//! and again.

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

/// Wait for room after which an urgent step makes room: about what one placement takes.
const URGENT_WAIT: Duration = Duration::from_millis(60);
/// The same for other steps: about the time of a short task.
const WAIT: Duration = Duration::from_millis(800);
/// Steps that are not urgent and for which room is kept at once, at least: room that is kept stands
/// empty for a while.
const MOST_WAITING: usize = 2;
/// Share of all room that may be kept for more of them, in percent: two steps of a fleet of a thousand
/// workers, that some eight gangs of 40 reach each second, leave nearly all gangs to chance; 22 of
/// them kept a quarter of the room empty, and batches that come later earned 0.72 of their worth in
/// place of 1.00.
const KEPT_PERCENT: u64 = 4;
/// Pause after no room could be planned for a step: a plan goes through all workers.
const PLAN_PAUSE: Duration = Duration::from_millis(250);
/// Tasks of a step for which room is made at once; of a gang it is made for all members, as with less
/// it cannot begin: one of 20 members waited for 35 s among small tasks, until they ended, and waits
/// for under 6 s now.
const MOST_TASKS: usize = 12;
/// Time from the order to stop a run until its room is free, as a rule.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time for which room is kept at a time.
const KEEP_TIME: Duration = Duration::from_millis(1_200);
/// Time before its end at which it is kept on, on the same workers: other steps would fill at once
/// what has become free of it.
const KEEP_ON: Duration = Duration::from_millis(300);
/// Longest time until room is free for which it is kept.
const LONGEST_WAIT: Duration = Duration::from_millis(5_000);
/// Time that a step which is not urgent rather waits than that a run is stopped for it.
const PATIENCE: Duration = Duration::from_millis(700);
/// Stops of one task for others, so that it is not kept from ending.
const MOST_STOPS: u32 = 3;
/// Weight of an accelerator against a core when runs to stop are chosen, in millicores: the
/// platform's own figure.
const ACCELERATOR_WEIGHT: u64 = 8_000;

/// Room that is kept for a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct CapacityClaim {
    since: CoreTime,
    until: CoreTime,
    /// Processor that is kept, in millicores.
    millicores: u64,
}

/// A way to room for one task on one worker.
#[derive(Clone, Debug)]
pub(super) struct CapacityPlan {
    worker: WorkerId,
    /// Time until the room is free.
    after: Duration,
    /// Runs whose room it takes, those that end by themselves among them.
    freed: Vec<TaskKey>,
    /// Runs to stop for it.
    stops: Vec<TaskKey>,
    /// Weight of what is stopped, in millicores.
    weight: u64,
}

impl CapacityPlan {
    pub(super) fn worker(&self) -> &WorkerId {
        &self.worker
    }

    /// Time until the room is free.
    pub(super) fn after(&self) -> Duration {
        self.after
    }
}

/// A plan for one task, in the order in which plans are taken.
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

/// A worker with what plans so far leave of it.
struct PlannedWorker<'a> {
    id: &'a WorkerId,
    state: &'a WorkerState,
    /// What is free, and what becomes free by the plans so far.
    room: TaskSize,
    /// What of it is kept for other steps or taken by the plans so far; it may be more than is free
    /// yet. Counted as free it kept a worker idle for 6 s: two steps waited for the same room, each
    /// shut out by what was kept for the other.
    taken: TaskSize,
    gone: Vec<TaskKey>,
    held: usize,
}

impl EntryCore {
    /// Tells whether a step has waited so long for room that room is made for it.
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

    /// Tells whether room is being made or kept for a step.
    pub(super) fn has_capacity_claim(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        let claim = lead.and_then(|lead| lead.capacity_claims.get(&key));
        claim.is_some_and(|claim| claim.until > self.now)
    }

    /// Notes that tasks of a step found no room.
    pub(super) fn note_capacity_wait(&mut self, key: StepKey) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.capacity_waits.entry(key).or_insert(now);
        }
    }

    /// Forgets that a step waited for room, and what was kept for it.
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

    /// Makes room for tasks of a step that found none.
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

    /// Keeps room on that was chosen, while it may still become free: guesses are off, and all
    /// members of a gang wait for the last run on their workers.
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

    /// Plans room for tasks that last and return: what is kept for other steps gives way, but for those
    /// that return as well.
    pub(super) fn plan_restart(&self, step: &StepToPlace, tasks: usize) -> Vec<CapacityPlan> {
        let lead = self.lead.as_deref();
        let stands = |key: StepKey| lead.is_some_and(|lead| lead.restarting.contains_key(&key));
        self.plan_room(step, tasks, stands)
    }

    /// Plans room for tasks of a step; what is kept for others stands as is told.
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
        // The soonest first. A plan changes only what is left of its own worker, so of a thousand
        // workers each is gone through once, and those that are taken once more.
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

    /// The soonest way to room for one task on a worker.
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
        // Of those that are free as soon, the largest first, so that few are stopped.
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

    /// Time that a run still takes, by how far it has come and what is expected of its like.
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
        // Nothing can start in its place while the table is away.
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
            "room for {} tasks on {} after {after:?}, {stops} runs stopped",
            plans.len(),
            plans[0].worker
        );
        self.log("placer", "make_room", step.key.to_string(), detail);
        self.counters.count("placements", "room_made");
        self.counters
            .count_many("placements", "stopped_for_room", stops as u64);
        self.stop_planned_runs(plans);
    }

    /// Stops what plans say is to be stopped.
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
    /// Takes the room of a plan; each run's room counts for one task only.
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

/// Room that is kept on a worker for other steps, of those whose room stands.
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
