//! Which workers tasks of a step go to, and which the policy is asked about.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::advice::{StepAdvice, ASK_LIMIT};
use super::lead_state::LeadState;
use super::live_run::RunLoad;
use super::placement::{Assignment, StepToPlace};
use super::worker_state::{LeaseStop, WorkerState};
use crate::ids::{CoreTime, StepKey, WorkerId};
use crate::job::TaskSize;

/// Workers whose slowness differs by less count as alike, as a logarithm.
const SLOWNESS_STEP: f64 = 0.06;
/// Workers asked about for each task, and at least, in a first question.
const ASK_PER_TASK: usize = 4;
const ASK_LEAST: usize = 16;
/// Workers asked about at most for tasks that start one by one, and at least for a gang, which
/// needs room for all of its members among those that may run it.
const ASK_MOST: usize = 100;
const GANG_ASK_LEAST: usize = 100;

/// Tells whether a worker may be given tasks of a step at all.
pub(super) fn is_eligible(
    (id, state): (&WorkerId, &WorkerState),
    step: &StepToPlace,
    now: CoreTime,
) -> bool {
    // What is cheap and often fails comes first: all workers are asked this for each step.
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

/// All workers that may be given tasks of a step.
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

/// Tasks of a step that a worker holds.
pub(super) fn tasks_on(state: &WorkerState, step: StepKey) -> usize {
    let first = step.task(0);
    let last = step.task(u32::MAX);
    state.runs.range(first..=last).count()
}

/// Chooses workers for as many tasks as fit; for a gang, for all or none.
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

/// The label of a worker that names its rack: the last one.
fn rack_of(state: &WorkerState) -> Option<&str> {
    state.entry.labels.last().map(String::as_str)
}

/// A worker that may be chosen, with what choices so far leave of it.
struct Candidate<'a> {
    id: &'a WorkerId,
    state: &'a WorkerState,
    room: TaskSize,
    held: usize,
    near: bool,
    /// Whether it rests, and is taken all the same if no other has room.
    rests: bool,
    /// How slow it is, in steps.
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

    /// Least is best: one that does not rest; for a suspect one that has been there for long, since one that
    /// comes and goes tells nothing of it; for a gang, which one failure ends, one whose last run did not
    /// fail; near its data; for urgent work fast; then the one that is left fullest.
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

/// Workers for a step's first question: those with the most room.
pub(super) fn first_advice_request(
    step: &StepToPlace,
    worker_states: &[(&WorkerId, &WorkerState)],
    now: CoreTime,
) -> Vec<WorkerId> {
    workers_with_most_free(step, worker_states, wanted_workers(step), now)
}

/// Workers that a question for a step is about.
fn wanted_workers(step: &StepToPlace) -> usize {
    let wanted = step.tasks.len() * ASK_PER_TASK;
    if step.spec.gang {
        wanted.clamp(GANG_ASK_LEAST, ASK_LIMIT)
    } else {
        wanted.clamp(ASK_LEAST, ASK_MOST)
    }
}

/// So many workers, those with the most room first.
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

/// Workers with room of which the policy has not been asked yet.
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
