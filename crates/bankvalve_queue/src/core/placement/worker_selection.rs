//! Selection of workers: those that a step's tasks go to, and those that advice is requested about.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::core::lead_state::LeadState;
use crate::core::live_run::RunLoad;
use crate::core::placement::advice::MAX_ADVICE_WORKERS;
use crate::core::placement::speed_preference::SpeedPreference;
use crate::core::placement::step_advice::StepAdvice;
use crate::core::placement::{Assignment, StepToPlace};
use crate::core::worker_state::{LeaseStop, WorkerState};
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::job::TaskSize;

/// Width of a slowness class, as a logarithm of run time. Workers of one class count as equally fast.
const SLOWNESS_CLASS_WIDTH: f64 = 0.06;
/// Number of workers up to which each step is compared with all of them.
const MAX_SCANNED_WORKERS: usize = 1_500;
/// Minimum number of workers with free capacity to choose from on a larger site, and for each task of a step.
const MIN_CHOICE: usize = 500;
const CHOICE_PER_TASK: usize = 12;
/// Number of workers to request advice about for each task of a step.
const ADVICE_WORKERS_PER_TASK: usize = 4;
/// Minimum number of workers to request advice about for a step.
const MIN_ADVICE_WORKERS: usize = 16;
/// Minimum number of workers to request advice about for a step that counts its tasks' room on them.
const MIN_SLOT_WORKERS: usize = 32;
/// Maximum number of workers to request advice about at once for a step whose tasks start one by one.
const MAX_ADVICE_WORKERS_SINGLE: usize = 100;
/// Minimum number of workers to request advice about for a gang, which needs capacity for all its members
/// among the workers that may run it.
const MIN_ADVICE_WORKERS_GANG: usize = 100;

/// Returns whether a worker takes tasks of any step, as far as its lease and its entry say.
pub(in crate::core) fn takes_tasks(state: &WorkerState) -> bool {
    state.token_accepted
        && !state.declared_lost
        && state.listed
        && state.has_usable_entry()
        && state.lease_stop == LeaseStop::None
        && state.takes_new_runs()
}

/// Returns whether a worker is eligible for tasks of a step, whatever free capacity it has.
pub(in crate::core) fn is_eligible(
    (id, state): (&WorkerId, &WorkerState),
    step: &StepToPlace,
    now: CoreTime,
) -> bool {
    // Cheap checks that often fail come first, because this runs for all workers for each step.
    if !takes_tasks(state)
        || (now < state.backoff_until && !step.past_deadline)
        || step.crashed_workers.contains(id)
        || !step.resources.fits(&state.entry.room)
        || !state.is_responsive(now)
    {
        return false;
    }
    let label = step
        .spec
        .required_label
        .as_ref()
        .is_none_or(|label| state.entry.labels.contains(label));
    label
        && state.entry.service == step.service
        && !state.has_conflicting_run(RunLoad::of(&step.spec))
}

/// Returns workers that are eligible for tasks of a step: all of them, or, on a site of many workers, enough to
/// choose from.
pub(in crate::core) fn eligible_workers<'a>(
    lead: &'a LeadState,
    step: &StepToPlace,
    now: CoreTime,
) -> Vec<(&'a WorkerId, &'a WorkerState)> {
    select_workers(lead, step, now, |_, _| true)
}

/// Returns eligible workers for which `is_wanted` holds.
///
/// A scan of all workers for each step would cost the leader of a large site time by the product of its steps
/// and workers. So a scan ends once it has found as many workers with free capacity as are worth choosing from.
/// Each scan begins with the same workers, so that they are filled first and the others stay without a
/// connection for orders. While capacity is scarce, a scan covers all workers. Steps that prefer or need certain
/// workers are always compared with all.
fn select_workers<'a>(
    lead: &'a LeadState,
    step: &StepToPlace,
    now: CoreTime,
    is_wanted: impl Fn(&WorkerId, &WorkerState) -> bool,
) -> Vec<(&'a WorkerId, &'a WorkerState)> {
    let many = lead.worker_states.len() > MAX_SCANNED_WORKERS;
    if many && !step.prefers_some_workers() {
        let enough = MIN_CHOICE.max(step.tasks.len() * CHOICE_PER_TASK);
        let with_capacity = |id: &WorkerId, state: &WorkerState| {
            step.resources.fits(&step.free_on(state, now)) && is_wanted(id, state)
        };
        let selected = scan_workers(lead, step, now, with_capacity, enough);
        if selected.len() >= enough {
            return selected;
        }
    }
    scan_workers(lead, step, now, is_wanted, usize::MAX)
}

/// Returns the first eligible workers for which `is_wanted` holds, `enough` at most.
fn scan_workers<'a>(
    lead: &'a LeadState,
    step: &StepToPlace,
    now: CoreTime,
    is_wanted: impl Fn(&WorkerId, &WorkerState) -> bool,
    enough: usize,
) -> Vec<(&'a WorkerId, &'a WorkerState)> {
    let mut visited = 0;
    let mut selected = Vec::new();
    for (id, state) in lead.worker_states.iter() {
        visited += 1;
        if is_wanted(id, state) && is_eligible((id, state), step, now) {
            selected.push((id, state));
            if selected.len() >= enough {
                break;
            }
        }
    }
    lead.scanned_workers
        .set(lead.scanned_workers.get() + visited);
    selected
}

/// Returns how many tasks of a step a worker has.
pub(in crate::core) fn tasks_on(state: &WorkerState, step: StepKey) -> usize {
    let first = step.task(0);
    let last = step.task(u32::MAX);
    state.runs.range(first..=last).count()
}

/// Selects workers for as many tasks as fit; for a gang, for all tasks or none.
pub(in crate::core) fn assign_workers(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    if step.spec.gang && step.spec.same_rack {
        let assignment = assign_on_one_rack(step, workers, now);
        if !assignment.is_empty() {
            return assignment;
        }
    }
    assign_among(step, workers, now)
}

fn assign_on_one_rack(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    let mut racks: BTreeMap<&str, Vec<(&WorkerId, &WorkerState)>> = BTreeMap::new();
    for (id, state) in workers {
        if let Some(rack) = rack_of(state) {
            racks.entry(rack).or_default().push((*id, *state));
        }
    }
    let first_complete = racks
        .values()
        .map(|workers| assign_among(step, workers, now))
        .find(|assignment| !assignment.is_empty());
    first_complete.unwrap_or_default()
}

/// Returns the rack of a worker, which is its last label.
fn rack_of(state: &WorkerState) -> Option<&str> {
    state.entry.labels.last().map(String::as_str)
}

/// An eligible worker, with its capacity after the assignments made so far.
struct Candidate<'a> {
    id: &'a WorkerId,
    state: &'a WorkerState,
    free: TaskSize,
    /// Part of it that no other step has reserved.
    unreserved: TaskSize,
    tasks_held: usize,
    /// Whether the worker takes a suspect that must not run beside other new tasks.
    has_trial: bool,
    near_data: bool,
    /// Whether the worker is in back-off. Such a worker is used only if no other one has capacity.
    in_backoff: bool,
    /// Slowness class of the worker; a higher one is slower.
    slowness_class: i64,
}

impl<'a> Candidate<'a> {
    fn new(id: &'a WorkerId, state: &'a WorkerState, step: &StepToPlace, now: CoreTime) -> Self {
        let rack = step.spec.data_rack.as_ref();
        Self {
            id,
            state,
            free: step.free_on(state, now),
            unreserved: state.free_beside(|entry| entry.step == step.key, now),
            tasks_held: tasks_on(state, step.key),
            has_trial: false,
            near_data: rack.is_some_and(|rack| state.entry.labels.contains(rack)),
            in_backoff: now < state.backoff_until,
            slowness_class: (state.slowness / SLOWNESS_CLASS_WIDTH).round() as i64,
        }
    }

    fn can_take(&self, wanted: &TaskSize, limit: usize) -> bool {
        wanted.fits(&self.free) && self.tasks_held < limit && !self.has_trial
    }

    /// Returns the rank of the worker for a step; the smallest is the best. The criteria, in this order:
    ///
    /// 1. Workers that are not in back-off, then those on which it uses no capacity reserved for other steps.
    /// 2. For suspects, workers known for longest: the loss of one that leaves often is no evidence.
    /// 3. For gangs, which end with one failure, workers whose last run did not fail.
    /// 4. Workers near the step's data.
    /// 5. For urgent steps, fast workers; for others, where speeds differ, those of the preferred speed.
    /// 6. Workers with the least CPU left after the assignment.
    fn rank(
        &self,
        step: &StepToPlace,
        speed: SpeedPreference,
    ) -> (bool, bool, u64, bool, Reverse<bool>, i64, u64) {
        let left = self.free.minus(&step.resources).millicores;
        let slowness_class = if step.fast_first {
            self.slowness_class
        } else {
            speed.rank(self.state.speed_class)
        };
        let known_since = if step.has_trials() {
            self.state.known_at.as_secs()
        } else {
            0
        };
        let failed = step.healthy_first && self.state.last_run_failed();
        (
            self.in_backoff,
            !step.resources.fits(&self.unreserved),
            known_since,
            failed,
            Reverse(self.near_data),
            slowness_class,
            left,
        )
    }
}

fn assign_among(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    let limit = step.worker_limit();
    let mut candidates: Vec<Candidate<'_>> = workers
        .iter()
        .map(|(id, state)| Candidate::new(id, state, step, now))
        .filter(|candidate| candidate.can_take(&step.resources_on(candidate.state), limit))
        .collect();
    let speed = speed_for(step, &candidates, limit);
    let mut assignment = Vec::new();
    for task in &step.tasks {
        let best = candidates
            .iter_mut()
            .filter(|candidate| {
                candidate.can_take(&step.resources_of(task, candidate.state), limit)
            })
            .filter(|candidate| step.may_join(task, candidate.state, now))
            .min_by_key(|candidate| candidate.rank(step, speed));
        let Some(best) = best else {
            break;
        };
        let resources = step.resources_of(task, best.state);
        best.free = best.free.minus(&resources);
        best.unreserved = best.unreserved.minus(&resources);
        best.tasks_held += 1;
        best.has_trial = step.is_trial(task);
        assignment.push((*task, best.id.clone()));
    }
    if step.spec.gang && assignment.len() < step.tasks.len() {
        assignment.clear();
    }
    assignment
}

/// Returns the speed preference of a step, adapted to the capacity of the candidates if the step is a gang.
fn speed_for(step: &StepToPlace, candidates: &[Candidate<'_>], limit: usize) -> SpeedPreference {
    if !step.spec.gang || step.speed == SpeedPreference::Any {
        return step.speed;
    }
    let rooms = candidates.iter().map(|candidate| {
        let tasks = step.resources.times_within(&candidate.free);
        let left = limit.saturating_sub(candidate.tasks_held);
        (candidate.state.speed_class, tasks.min(left))
    });
    step.speed.for_gang(step.tasks.len(), rooms)
}

pub(in crate::core) fn workers_to_ask(assignment: &Assignment) -> Vec<WorkerId> {
    let mut workers: Vec<WorkerId> = assignment
        .iter()
        .map(|(_, worker)| worker.clone())
        .collect();
    workers.sort_unstable();
    workers.dedup();
    workers.truncate(MAX_ADVICE_WORKERS);
    workers
}

/// Returns the workers for a step's first advice request: those with the most free capacity.
pub(in crate::core) fn first_advice_request(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Vec<WorkerId> {
    if let Some(wanted) = step.wanted_slots {
        return workers_with_slots(step, workers, wanted, now);
    }
    workers_with_most_free(step, workers, advice_request_size(step), now)
}

/// Returns the workers with the most free capacity that have room for a number of tasks, and some more, so that
/// the step knows where it may run later. Without any room, returns none: its permits would expire unused.
///
/// Requests about four workers for each task, whatever room they have, saturated the policy service in a burst.
fn workers_with_slots(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    wanted: usize,
    now: CoreTime,
) -> Vec<WorkerId> {
    let sorted = workers_with_most_free(step, workers, MAX_ADVICE_WORKERS_SINGLE, now);
    let by_id: BTreeMap<&WorkerId, &WorkerState> = workers.iter().copied().collect();
    let slots_on = |id: &WorkerId| {
        let free = by_id.get(id).map(|state| step.free_on(state, now));
        let each = step.resources.millicores.max(1);
        free.filter(|free| step.resources.fits(free))
            .map_or(0, |free| (free.millicores / each) as usize)
    };
    let mut slots = 0;
    let mut count = 0;
    for id in &sorted {
        if slots >= wanted && count >= MIN_SLOT_WORKERS {
            break;
        }
        slots += slots_on(id).min(step.worker_limit());
        count += 1;
    }
    if slots == 0 {
        return Vec::new();
    }
    sorted.into_iter().take(count).collect()
}

/// Returns how many workers an advice request for a step covers.
fn advice_request_size(step: &StepToPlace) -> usize {
    let wanted = step.tasks.len() * ADVICE_WORKERS_PER_TASK;
    if step.spec.gang {
        wanted.clamp(MIN_ADVICE_WORKERS_GANG, MAX_ADVICE_WORKERS)
    } else {
        wanted.clamp(MIN_ADVICE_WORKERS, MAX_ADVICE_WORKERS_SINGLE)
    }
}

/// Returns up to `wanted` workers, those with the most free CPU first. For a step that prefers workers whose
/// last run did not fail, these come before all others. If enough workers of the preferred speed have capacity,
/// these come first.
pub(in crate::core) fn workers_with_most_free(
    step: &StepToPlace,
    workers: &[(&WorkerId, &WorkerState)],
    wanted: usize,
    now: CoreTime,
) -> Vec<WorkerId> {
    let is_preferred = |state: &WorkerState| {
        step.speed.includes(state.speed_class) && step.resources.fits(&step.free_on(state, now))
    };
    let by_speed = step.speed != SpeedPreference::Any
        && workers
            .iter()
            .filter(|(_, state)| is_preferred(state))
            .count()
            >= wanted;
    let sort_key = |state: &WorkerState| {
        let failed = step.healthy_first && state.last_run_failed();
        let other_speed = by_speed && !is_preferred(state);
        (
            failed,
            other_speed,
            Reverse(obtainable_on(step, state, now)),
        )
    };
    let indexed = workers.iter().enumerate();
    let mut sorted: Vec<_> = indexed
        .map(|(index, (_, state))| (sort_key(state), index))
        .collect();
    if wanted < sorted.len() {
        sorted.select_nth_unstable(wanted);
        sorted.truncate(wanted);
    }
    sorted.sort_unstable();
    sorted
        .into_iter()
        .map(|(_, index)| workers[index].0.clone())
        .collect()
}

/// Returns the CPU that a step can get on a worker, in millicores: what is free and, for a step whose start is
/// planned, what runs take that may be stopped for it.
///
/// At 0.84 of all CPU in use, few workers have enough free for a member of a gang.
fn obtainable_on(step: &StepToPlace, state: &WorkerState, now: CoreTime) -> u64 {
    if !step.plans_start {
        return step.free_on(state, now).millicores;
    }
    let runs = state.runs.values();
    let stoppable = runs.filter(|live| live.may_be_stopped_for(step.priority));
    let stoppable: u64 = stoppable.map(|live| live.resources.millicores).sum();
    let unused = state.entry.room.minus(&state.used).millicores;
    (unused + stoppable).saturating_sub(step.reserved_on(state, now).millicores)
}

/// Returns eligible workers about which the policy service has not answered yet, those first on which a gang
/// can get the most capacity.
pub(in crate::core) fn unasked_for_plan(
    lead: &LeadState,
    step: &StepToPlace,
    advice: &StepAdvice,
    now: CoreTime,
) -> Vec<WorkerId> {
    let wanted = step.resources.millicores;
    let workers = select_workers(lead, step, now, |id, state| {
        obtainable_on(step, state, now) >= wanted && !advice.has_answer_for(id)
    });
    workers_with_most_free(step, &workers, advice_request_size(step), now)
}

/// Returns eligible workers with enough free capacity about which the policy service has not answered yet.
pub(in crate::core) fn unasked_with_capacity(
    lead: &LeadState,
    step: &StepToPlace,
    advice: &StepAdvice,
    now: CoreTime,
) -> Vec<WorkerId> {
    let has_capacity =
        |state: &WorkerState| step.resources_on(state).fits(&step.free_on(state, now));
    let workers = select_workers(lead, step, now, |id, state| {
        has_capacity(state) && !advice.has_answer_for(id)
    });
    workers_with_most_free(step, &workers, advice_request_size(step), now)
}
