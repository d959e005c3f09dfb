//! Selection of workers: those that a step's tasks go to, and those that advice is requested about.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::advice::{StepAdvice, ASK_LIMIT};
use super::lead::LeadState;
use super::live_run::RunLoad;
use super::placing::{Choice, PlacedStep};
use super::seat::{HoldStop, Seat};
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
pub(super) fn admits((id, seat): (&WorkerId, &Seat), step: &PlacedStep, now: CoreTime) -> bool {
    // Cheap checks that often fail come first, because this runs for all workers for each step.
    let usable = seat.proved
        && !seat.over
        && seat.listed
        && seat.has_own_entry()
        && seat.usable
        && seat.hold_stop == HoldStop::None
        && !seat.entry.leaving
        && (now >= seat.resting_until || step.pressed);
    if !usable
        || step.tried_on.contains(id)
        || !step.room.fits(&seat.entry.room)
        || !seat.is_lively(now)
    {
        return false;
    }
    let label = step
        .spec
        .required_label
        .as_ref()
        .is_none_or(|label| seat.entry.labels.contains(label));
    label && seat.entry.service == step.service && !seat.is_disturbed_by(RunLoad::of(&step.spec))
}

/// Returns all workers that are eligible for tasks of a step.
pub(super) fn admitting<'a>(
    lead: &'a LeadState,
    step: &PlacedStep,
    now: CoreTime,
) -> Vec<(&'a WorkerId, &'a Seat)> {
    let seats = lead.seats.iter();
    seats.filter(|entry| admits(*entry, step, now)).collect()
}

/// Returns how many tasks of a step a worker has.
pub(super) fn held_of(seat: &Seat, step: StepKey) -> usize {
    let first = step.task(0);
    let last = step.task(u32::MAX);
    seat.runs.range(first..=last).count()
}

/// Selects workers for as many tasks as fit; for a gang, for all tasks or none.
pub(super) fn choose(step: &PlacedStep, seats: &[(&WorkerId, &Seat)], now: CoreTime) -> Choice {
    if step.spec.gang && step.spec.same_rack {
        let choice = choose_on_one_rack(step, seats, now);
        if !choice.is_empty() {
            return choice;
        }
    }
    choose_among(step, seats, now)
}

fn choose_on_one_rack(step: &PlacedStep, seats: &[(&WorkerId, &Seat)], now: CoreTime) -> Choice {
    let mut racks: BTreeMap<&str, Vec<(&WorkerId, &Seat)>> = BTreeMap::new();
    for (id, seat) in seats {
        if let Some(rack) = rack_of(seat) {
            racks.entry(rack).or_default().push((*id, *seat));
        }
    }
    let whole = racks
        .values()
        .map(|seats| choose_among(step, seats, now))
        .find(|choice| !choice.is_empty());
    whole.unwrap_or_default()
}

/// Returns the rack of a worker, which is its last label.
fn rack_of(seat: &Seat) -> Option<&str> {
    seat.entry.labels.last().map(String::as_str)
}

/// An eligible worker, with its capacity after the assignments made so far.
struct Candidate<'a> {
    id: &'a WorkerId,
    seat: &'a Seat,
    room: TaskSize,
    held: usize,
    near: bool,
    /// Whether the worker is in back-off. Such a worker is used only if no other one has capacity.
    rests: bool,
    /// Slowness class of the worker; a higher one is slower.
    slow: i64,
}

impl<'a> Candidate<'a> {
    fn new(id: &'a WorkerId, seat: &'a Seat, step: &PlacedStep, now: CoreTime) -> Self {
        let rack = step.spec.data_rack.as_ref();
        Self {
            id,
            seat,
            room: seat.room_for(step.key, now),
            held: held_of(seat, step.key),
            near: rack.is_some_and(|rack| seat.entry.labels.contains(rack)),
            rests: now < seat.resting_until,
            slow: (seat.slowness / SLOWNESS_STEP).round() as i64,
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
    fn rank(&self, step: &PlacedStep) -> (bool, u64, bool, Reverse<bool>, i64, u64) {
        let left = self.room.minus(&step.room).millicores;
        let slow = if step.fast_first { self.slow } else { 0 };
        let known = if step.has_trials() {
            self.seat.known_at.as_secs()
        } else {
            0
        };
        let failed = step.proved_first && self.seat.failed_last();
        (self.rests, known, failed, Reverse(self.near), slow, left)
    }
}

fn choose_among(step: &PlacedStep, seats: &[(&WorkerId, &Seat)], now: CoreTime) -> Choice {
    let limit = step.worker_limit();
    let mut free: Vec<Candidate<'_>> = seats
        .iter()
        .map(|(id, seat)| Candidate::new(id, seat, step, now))
        .filter(|candidate| candidate.takes(&step.room_on(candidate.seat), limit))
        .collect();
    let mut choice = Vec::new();
    for task in &step.tasks {
        let best = free
            .iter_mut()
            .filter(|candidate| candidate.takes(&step.room_of(task, candidate.seat), limit))
            .filter(|candidate| step.may_join(task, candidate.seat, now))
            .min_by_key(|candidate| candidate.rank(step));
        let Some(best) = best else {
            break;
        };
        best.room = best.room.minus(&step.room_of(task, best.seat));
        best.held += 1;
        choice.push((*task, best.id.clone()));
    }
    if step.spec.gang && choice.len() < step.tasks.len() {
        choice.clear();
    }
    choice
}

pub(super) fn workers_of(choice: &Choice) -> Vec<WorkerId> {
    let mut workers: Vec<WorkerId> = choice.iter().map(|(_, worker)| worker.clone()).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.truncate(ASK_LIMIT);
    workers
}

/// Returns the workers for a step's first advice request: those with the most free capacity.
pub(super) fn first_question(
    step: &PlacedStep,
    seats: &[(&WorkerId, &Seat)],
    now: CoreTime,
) -> Vec<WorkerId> {
    most_room(step, seats, wanted_workers(step), now)
}

/// Returns how many workers an advice request for a step covers.
fn wanted_workers(step: &PlacedStep) -> usize {
    let wanted = step.tasks.len() * ASK_PER_TASK;
    if step.spec.gang {
        wanted.clamp(GANG_ASK_LEAST, ASK_LIMIT)
    } else {
        wanted.clamp(ASK_LEAST, ASK_MOST)
    }
}

/// Returns up to `wanted` workers, those with the most free CPU first. For a step that prefers workers whose
/// last run did not fail, these come before all others.
pub(super) fn most_room(
    step: &PlacedStep,
    seats: &[(&WorkerId, &Seat)],
    wanted: usize,
    now: CoreTime,
) -> Vec<WorkerId> {
    let room = |seat: &Seat| {
        let failed = step.proved_first && seat.failed_last();
        (failed, Reverse(seat.room_for(step.key, now).millicores))
    };
    let rooms = seats.iter().enumerate();
    let mut by_room: Vec<_> = rooms
        .map(|(place, (_, seat))| (room(seat), place))
        .collect();
    if wanted < by_room.len() {
        by_room.select_nth_unstable(wanted);
        by_room.truncate(wanted);
    }
    by_room.sort_unstable();
    by_room
        .into_iter()
        .map(|(_, place)| seats[place].0.clone())
        .collect()
}

/// Returns eligible workers with enough free capacity about which the policy service has not answered yet.
pub(super) fn unknown_with_room(
    lead: &LeadState,
    step: &PlacedStep,
    advice: &StepAdvice,
    now: CoreTime,
) -> Vec<WorkerId> {
    let has_room = |seat: &Seat| step.room_on(seat).fits(&seat.room_for(step.key, now));
    let seats: Vec<(&WorkerId, &Seat)> = lead
        .seats
        .iter()
        .filter(|(id, seat)| has_room(seat) && admits((id, seat), step, now))
        .filter(|(id, _)| !advice.is_known(id))
        .collect();
    most_room(step, &seats, wanted_workers(step), now)
}
