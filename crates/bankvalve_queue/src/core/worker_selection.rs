//! Selection of workers: those that a step's tasks go to, and those that advice is requested about.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::advice::{StepAdvice, ASK_LIMIT};
use super::lead_state::LeadState;
use super::live_run::RunLoad;
use super::placement::{Assignment, StepToPlace};
use super::worker_state::{LeaseStop, WorkerState};
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::job::TaskSize;

/// Width of a slowness class, as a logarithm of run time. Workers of one class count as equally fast.
const SLOWNESS_STEP: f64 = 0.06;
/// Number of workers to request advice about for each task of a step.
const ASK_PER_TASK: usize = 4;
/// Minimum number of workers to request advice about for a step.
const ASK_LEAST: usize = 16;
/// Maximum number of workers to request advice about at once for a step whose tasks start one by one.
const ASK_MOST: usize = 100;
/// Minimum number of workers to request advice about for a gang, which needs capacity for all its members
/// among the workers that may run it.
const GANG_ASK_LEAST: usize = 100;

/// Returns whether a worker is eligible for tasks of a step, whatever free capacity it has.
pub(super) fn is_eligible(
    (id, state): (&WorkerId, &WorkerState),
    step: &StepToPlace,
    now: CoreTime,
) -> bool {
    // Cheap checks that often fail come first, because this runs for all workers for each step.
    let usable = state.token_accepted
        && !state.declared_lost
        && state.listed
        && state.entry_is_current()
        && state.entry_readable
        && state.lease_stop == LeaseStop::None
        && !state.entry.leaving
        && (now >= state.backoff_until || step.past_deadline);
    if !usable
        || step.tried_on.contains(id)
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

/// Returns all workers that are eligible for tasks of a step.
pub(super) fn eligible_workers<'a>(
    lead: &'a LeadState,
    step: &StepToPlace,
    now: CoreTime,
) -> Vec<(&'a WorkerId, &'a WorkerState)> {
    let worker_states = lead.worker_states.iter();
    worker_states
        .filter(|entry| is_eligible(*entry, step, now))
        .collect()
}

/// Returns how many tasks of a step a worker has.
pub(super) fn tasks_on(state: &WorkerState, step: StepKey) -> usize {
    let first = step.task(0);
    let last = step.task(u32::MAX);
    state.runs.range(first..=last).count()
}

/// Selects workers for as many tasks as fit; for a gang, for all tasks or none.
pub(super) fn choose(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    if step.spec.gang && step.spec.same_rack {
        let choice = choose_on_one_rack(step, worker_states, now);
        if !choice.is_empty() {
            return choice;
        }
    }
    choose_among(step, worker_states, now)
}

fn choose_on_one_rack(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    let mut racks: BTreeMap<&str, Vec<(&WorkerId, &WorkerState)>> = BTreeMap::new();
    for (id, state) in worker_states {
        if let Some(rack) = rack_of(state) {
            racks.entry(rack).or_default().push((*id, *state));
        }
    }
    let whole = racks
        .values()
        .map(|worker_states| choose_among(step, worker_states, now))
        .find(|choice| !choice.is_empty());
    whole.unwrap_or_default()
}

/// Returns the rack of a worker, which is its last label.
fn rack_of(state: &WorkerState) -> Option<&str> {
    state.entry.labels.last().map(String::as_str)
}

/// An eligible worker, with its capacity after the assignments made so far.
struct Candidate<'a> {
    id: &'a WorkerId,
    state: &'a WorkerState,
    room: TaskSize,
    held: usize,
    near: bool,
    /// Whether the worker is in back-off. Such a worker is used only if no other one has capacity.
    rests: bool,
    /// Slowness class of the worker; a higher one is slower.
    slow: i64,
}

impl<'a> Candidate<'a> {
    fn new(id: &'a WorkerId, state: &'a WorkerState, step: &StepToPlace, now: CoreTime) -> Self {
        let rack = step.spec.data_rack.as_ref();
        Self {
            id,
            state,
            room: state.free_for(step.key, now),
            held: tasks_on(state, step.key),
            near: rack.is_some_and(|rack| state.entry.labels.contains(rack)),
            rests: now < state.backoff_until,
            slow: (state.slowness / SLOWNESS_STEP).round() as i64,
        }
    }

    fn takes(&self, wanted: &TaskSize, limit: usize) -> bool {
        wanted.fits(&self.room) && self.held < limit
    }

    /// Returns the rank of the worker for a step; the smallest is the best. The criteria, in this order:
    ///
    /// 1. Workers that are not in back-off.
    /// 2. For suspects, workers known for longest: the loss of one that comes and goes is no evidence.
    /// 3. For gangs, which end with one failure, workers whose last run did not fail.
    /// 4. Workers near the step's data.
    /// 5. For urgent steps, fast workers.
    /// 6. Workers with the least CPU left after the assignment.
    fn rank(&self, step: &StepToPlace) -> (bool, u64, bool, Reverse<bool>, i64, u64) {
        let left = self.room.minus(&step.resources).millicores;
        let slow = if step.fast_first { self.slow } else { 0 };
        let known = if step.has_trials() {
            self.state.known_at.as_secs()
        } else {
            0
        };
        let failed = step.healthy_first && self.state.last_run_failed();
        (self.rests, known, failed, Reverse(self.near), slow, left)
    }
}

fn choose_among(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Assignment {
    let limit = step.worker_limit();
    let mut free: Vec<Candidate<'_>> = worker_states
        .iter()
        .map(|(id, state)| Candidate::new(id, state, step, now))
        .filter(|candidate| candidate.takes(&step.resources_on(candidate.state), limit))
        .collect();
    let mut choice = Vec::new();
    for task in &step.tasks {
        let best = free
            .iter_mut()
            .filter(|candidate| candidate.takes(&step.resources_of(task, candidate.state), limit))
            .filter(|candidate| step.may_join(task, candidate.state, now))
            .min_by_key(|candidate| candidate.rank(step));
        let Some(best) = best else {
            break;
        };
        best.room = best.room.minus(&step.resources_of(task, best.state));
        best.held += 1;
        choice.push((*task, best.id.clone()));
    }
    if step.spec.gang && choice.len() < step.tasks.len() {
        choice.clear();
    }
    choice
}

pub(super) fn workers_of(choice: &Assignment) -> Vec<WorkerId> {
    let mut workers: Vec<WorkerId> = choice.iter().map(|(_, worker)| worker.clone()).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.truncate(ASK_LIMIT);
    workers
}

/// Returns the workers for a step's first advice request: those with the most free capacity.
pub(super) fn first_advice_request(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Vec<WorkerId> {
    workers_with_most_free(step, worker_states, wanted_workers(step), now)
}

/// Returns how many workers an advice request for a step covers.
fn wanted_workers(step: &StepToPlace) -> usize {
    let wanted = step.tasks.len() * ASK_PER_TASK;
    if step.spec.gang {
        wanted.clamp(GANG_ASK_LEAST, ASK_LIMIT)
    } else {
        wanted.clamp(ASK_LEAST, ASK_MOST)
    }
}

/// Returns up to `wanted` workers, those with the most free CPU first. For a step that prefers workers whose
/// last run did not fail, these come before all others.
pub(super) fn workers_with_most_free(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    wanted: usize,
    now: CoreTime,
) -> Vec<WorkerId> {
    let room = |state: &WorkerState| {
        let failed = step.healthy_first && state.last_run_failed();
        (failed, Reverse(state.free_for(step.key, now).millicores))
    };
    let rooms = worker_states.iter().enumerate();
    let mut by_room: Vec<_> = rooms
        .map(|(place, (_, state))| (room(state), place))
        .collect();
    if wanted < by_room.len() {
        by_room.select_nth_unstable(wanted);
        by_room.truncate(wanted);
    }
    by_room.sort_unstable();
    by_room
        .into_iter()
        .map(|(_, place)| worker_states[place].0.clone())
        .collect()
}

/// Returns eligible workers with enough free capacity about which the policy service has not answered yet.
pub(super) fn unasked_with_capacity(
    lead: &LeadState,
    step: &StepToPlace,
    advice: &StepAdvice,
    now: CoreTime,
) -> Vec<WorkerId> {
    let has_room = |state: &WorkerState| {
        step.resources_on(state)
            .fits(&state.free_for(step.key, now))
    };
    let worker_states: Vec<(&WorkerId, &WorkerState)> = lead
        .worker_states
        .iter()
        .filter(|(id, state)| has_room(state) && is_eligible((id, state), step, now))
        .filter(|(id, _)| !advice.is_known(id))
        .collect();
    workers_with_most_free(step, &worker_states, wanted_workers(step), now)
}
