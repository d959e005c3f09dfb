//! Placement: which waiting task runs on which worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::{StepAdvice, ASK_LIMIT};
use super::commit::Effect;
use super::lead::LeadState;
use super::seat::{LiveRun, Reservation, RunLoad, RunPhase, Seat};
use super::suspects::TrialTurn;
use super::waiting::{Lateness, WaitingRank};
use super::EntryCore;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{LedgerEvent, TaskPhase, TaskRecord};
use crate::policy::PolicySwitch;
use crate::queue_table::AdviceRule;

/// Steps that are looked at in one placement, by rank.
const LOOK_LIMIT: usize = 100;
/// Least time between two placements.
const PLACE_PACE: Duration = Duration::from_millis(4);
/// Added to it for each step that is looked at, so that a long queue does not take the whole
/// processor: some three times what a look costs on a quarter of a core.
const PLACE_EACH: Duration = Duration::from_micros(300);
/// Time between two placements when nothing is known to have changed.
const PLACE_IDLE: Duration = Duration::from_millis(250);
/// Time beyond a question's own for which room is kept for its step.
const RESERVE_SLACK: Duration = Duration::from_millis(60);
/// Workers whose slowness differs by less count as alike, as a logarithm.
const SLOWNESS_STEP: f64 = 0.06;
/// Workers asked about for each task, and at least, in a first question.
const ASK_PER_TASK: usize = 4;
const ASK_LEAST: usize = 16;
/// Share of live peers that must be idle for a step to explore that can only end late, and for one that
/// ends too late to be of use, in percent; a third of them is left to short questions.
const LATE_IDLE_PERCENT: usize = 40;
const TOO_LATE_IDLE_PERCENT: usize = 50;
/// Workers asked about at most for tasks that start one by one, and at least for a gang, which
/// needs room for all of its members among those that may run it.
const ASK_MOST: usize = 100;
const GANG_ASK_LEAST: usize = 100;

/// A step that is being placed.
pub(super) struct PlacedStep {
    pub(super) key: StepKey,
    pub(super) spec: StepSpec,
    service: String,
    pub(super) rule: Option<AdviceRule>,
    tasks: Vec<TaskKey>,
    run: RunId,
    pub(super) room: TaskSize,
    pub(super) priority: u32,
    pub(super) urgent: bool,
    /// Whether it prefers workers that were measured as fast.
    fast_first: bool,
    /// Tasks among them that are suspects and start where nothing else runs.
    alone: Vec<TaskKey>,
}

/// Choice of workers for tasks of a step.
type Choice = Vec<(TaskKey, WorkerId)>;

impl PlacedStep {
    /// Most tasks of the step on one worker.
    pub(super) fn worker_limit(&self) -> usize {
        match self.spec.per_worker_limit {
            0 => usize::MAX,
            limit => limit as usize,
        }
    }

    /// Room that a task takes on a worker.
    fn room_of(&self, task: &TaskKey, seat: &Seat) -> TaskSize {
        if self.alone.contains(task) {
            seat.entry.room
        } else {
            self.room
        }
    }

    /// Room that each of its tasks takes on a worker; of a gang, that of the others than suspects.
    pub(super) fn room_on(&self, seat: &Seat) -> TaskSize {
        if self.alone.len() == self.tasks.len() {
            seat.entry.room
        } else {
            self.room
        }
    }
}

impl EntryCore {
    pub(super) fn run_placing(&mut self) {
        let now = self.now;
        let by_time = self.uses(PolicySwitch::LatestStart);
        let blocked = self.store_is_away() || !self.may_command();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if !lead.workers_known || blocked || now < lead.place_at {
            return;
        }
        let idle = now.saturating_sub(lead.place_at) < PLACE_IDLE;
        if !lead.stale && idle {
            return;
        }
        lead.stale = false;
        lead.place_at = now + PLACE_PACE;
        let wall = self.wall;
        let mut ranked: Vec<(WaitingRank, StepKey)> = lead
            .waiting
            .iter()
            .map(|(key, step)| (step.rank(wall, by_time), *key))
            .collect();
        ranked.sort_unstable();
        ranked.truncate(LOOK_LIMIT);
        lead.place_at += PLACE_EACH * ranked.len() as u32;
        let most = lead.most_room();
        let looked = ranked.len() as u64;
        self.counters
            .count_many("placements", "steps_looked_at", looked);
        for (_, key) in ranked {
            if !self.may_fit(key, &most) {
                self.note_room_wait(key);
                if !self.may_make_room(key) {
                    continue;
                }
            }
            if let Some(step) = self.step_to_place(key) {
                self.place_step(&step);
            }
        }
        self.refresh_touched_steps();
    }

    /// Steps whose tasks were just placed leave the waiting ones.
    fn refresh_touched_steps(&mut self) {
        self.refresh_touched();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.stale = false;
        }
    }

    /// Tells cheaply whether a task of a step could fit anywhere.
    fn may_fit(&self, key: StepKey, most: &TaskSize) -> bool {
        let job = self.book.job(key.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(key.step)));
        spec.is_some_and(|spec| spec.room().fits(most))
    }

    fn step_to_place(&mut self, key: StepKey) -> Option<PlacedStep> {
        let (tasks, alone) = self.tasks_to_place(key)?;
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?.clone();
        let record = job.step(key)?;
        let queue = self
            .table
            .as_ref()
            .and_then(|table| table.queue(&job.spec.queue));
        let terms = queue.map_or(&job.terms, |queue| &queue.terms);
        Some(PlacedStep {
            key,
            service: terms.service.clone(),
            rule: terms.advice,
            priority: terms.priority,
            urgent: terms.priority == 0,
            fast_first: terms.priority == 0 && self.uses(PolicySwitch::FastWorkers),
            room: spec.room(),
            run: record.last_run() + 1,
            spec,
            tasks,
            alone,
        })
    }

    /// The tasks of a step that are to be placed now, and which of them alone: those that nothing speaks
    /// against first, then suspects in their turn; a gang as a whole, its suspects first.
    fn tasks_to_place(&mut self, key: StepKey) -> Option<(Vec<TaskKey>, Vec<TaskKey>)> {
        let job = self.book.job(key.job)?;
        let gang = job.spec.steps.get(usize::from(key.step))?.gang;
        let waiting = job.step(key)?.tasks.iter().enumerate();
        let waiting = waiting.filter(|(_, task)| task.phase == TaskPhase::Waiting);
        let (suspects, others): (Vec<_>, Vec<_>) = waiting.partition(|(_, task)| task.is_suspect());
        let keys = |tasks: &[(usize, &TaskRecord)]| -> Vec<TaskKey> {
            let indexes = tasks.iter().map(|(index, _)| *index as u32);
            indexes.map(|index| key.task(index)).collect()
        };
        if suspects.is_empty() || !(gang || others.is_empty()) {
            return (!others.is_empty()).then(|| (keys(&others), Vec::new()));
        }
        let young = suspects.iter().any(|(_, task)| task.is_young_suspect());
        let tried = keys(if gang { &suspects } else { &suspects[..1] });
        let tasks = if gang {
            [tried.clone(), keys(&others)].concat()
        } else {
            tried.clone()
        };
        match self.turn_of(key, young) {
            TrialTurn::Alone => Some((tasks, tried)),
            TrialTurn::Among => Some((tasks, Vec::new())),
            TrialTurn::Later => None,
        }
    }

    fn place_step(&mut self, step: &PlacedStep) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let kept_at = now + lead.time_to_keep();
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&step.key).unwrap_or(&empty);
        let Some(rule) = step.rule else {
            let choice = choose(step, &admitting(lead, step, now), now);
            let placed = choice.len();
            self.start_choice(step, choice);
            self.settle_room(step, placed);
            return;
        };
        if advice.is_new() {
            if advice.can_ask(now) && self.may_explore(step.key) {
                let workers = first_question(step, &admitting(lead, step, now), now);
                if !workers.is_empty() {
                    self.ask_advice(step.key, rule, &workers);
                }
            }
            return;
        }
        // Far fewer are permitted than there are.
        let admitted = |id| {
            let seat = lead.seats.get(id)?;
            admits(seat, step, now).then_some((id, seat))
        };
        let permitted: Vec<(&WorkerId, &Seat)> =
            advice.permitted(kept_at).filter_map(admitted).collect();
        let choice = choose(step, &permitted, now);
        let whole = choice.len() == step.tasks.len();
        let can_ask = advice.can_ask(now);
        let mut question = Vec::new();
        let mut kept = Vec::new();
        let mut others = Vec::new();
        if !whole && can_ask {
            let good: Vec<(&WorkerId, &Seat)> = advice.good().filter_map(admitted).collect();
            let wider = choose(step, &good, now);
            if wider.len() > choice.len() {
                question = workers_of(&wider);
                question.retain(|id| advice.permit(id, kept_at).is_none() || step.spec.gang);
                kept = wider;
            } else {
                others = unknown_with_room(lead, step, advice, now);
            }
        }
        let placed: Vec<TaskKey> = choice.iter().map(|(task, _)| *task).collect();
        self.start_choice(step, choice);
        let seeks_room = can_ask && question.is_empty();
        // A gang may wait long until all its room is free by chance among ever more workers: room is
        // made on those that may run it, if they have enough, before others are asked about.
        if whole || (seeks_room && (others.is_empty() || step.spec.gang)) {
            self.settle_room(step, placed.len());
        }
        if seeks_room && !self.has_room_claim(step.key) && self.may_explore(step.key) {
            question = others;
        }
        if !question.is_empty() {
            let until = self.ask_advice(step.key, rule, &question);
            kept.retain(|(task, _)| !placed.contains(task));
            self.reserve(step, &kept, until + RESERVE_SLACK);
        }
    }

    /// Tells whether a step may ask about workers that it was not told of: one that cannot end in
    /// time any more leaves the instances that ask to others while few of them are idle.
    ///
    /// In a backlog a hundred gangs have questions on their way, on as many instances, and those that
    /// can still be in time wait behind them.
    fn may_explore(&self, key: StepKey) -> bool {
        let lead = self.lead.as_deref();
        let step = lead.and_then(|lead| lead.waiting.get(&key));
        let least = match step.map(|step| step.lateness(self.wall)) {
            Some(Lateness::Late) => LATE_IDLE_PERCENT,
            Some(Lateness::TooLate) => TOO_LATE_IDLE_PERCENT,
            _ => return true,
        };
        // Of those that live: an instance that is left alone asks by itself.
        self.idle_advisers() * 100 >= self.live_peers().count() * least
    }

    /// Makes room for the tasks of a step that found none, if it has waited long enough.
    fn settle_room(&mut self, step: &PlacedStep, placed: usize) {
        let missing = step.tasks.len() - placed;
        if missing == 0 {
            self.drop_room_claim(step.key);
            return;
        }
        self.note_room_wait(step.key);
        if self.may_make_room(step.key) {
            self.make_room(step, missing);
        }
    }

    /// Keeps room for a step while its permits are renewed.
    fn reserve(&mut self, step: &PlacedStep, choice: &Choice, until: CoreTime) {
        if !self.uses(PolicySwitch::PermitRoom) {
            return;
        }
        self.keep_room(step, choice.iter().map(|(_, worker)| worker), until);
    }

    /// Keeps room for a task of a step on each of these workers, once for each time that one is
    /// named.
    pub(super) fn keep_room<'a>(
        &mut self,
        step: &PlacedStep,
        workers: impl Iterator<Item = &'a WorkerId>,
        until: CoreTime,
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
            if let Some(seat) = lead.seats.get_mut(worker) {
                seat.drop_reservation(step.key, now);
                let room = step.room_on(seat);
                seat.reserved.push(Reservation {
                    step: step.key,
                    room: room.times(count),
                    until,
                });
            }
        }
    }

    fn start_choice(&mut self, step: &PlacedStep, choice: Choice) {
        let now = self.now;
        for (task, worker) in choice {
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let permit = lead
                .advice
                .get(&step.key)
                .and_then(|advice| advice.permit(&worker, now))
                .map(str::to_owned);
            let Some(seat) = lead.seats.get_mut(&worker) else {
                continue;
            };
            seat.drop_reservation(step.key, now);
            let mut live = LiveRun::new(step.run, &step.spec, RunPhase::Proposed, now);
            live.permit = permit;
            live.set_priority(step.priority);
            if step.alone.contains(&task) {
                live.on_trial = true;
                live.room = seat.entry.room;
                lead.trials.insert(task, worker.clone());
            }
            seat.add_run(task, live);
            let left = seat.entry.room.minus(&seat.used).millicores;
            self.log_often("placer", "place", || {
                let detail = format!("run {} on {worker}, room left {left}", step.run);
                (task.to_string(), detail)
            });
            let run = step.run;
            let event = LedgerEvent::Started { task, run, worker };
            self.propose(event, Effect::Order(task, run));
        }
    }
}

/// Tells whether a worker may be given tasks of a step at all.
pub(super) fn admits(seat: &Seat, step: &PlacedStep, now: CoreTime) -> bool {
    // What is cheap and often fails comes first: all workers are asked this for each step.
    let usable = seat.proved
        && seat.listed
        && seat.usable
        && !seat.entry.leaving
        && now >= seat.resting_until;
    if !usable || !step.room.fits(&seat.entry.room) || !seat.is_lively(now) {
        return false;
    }
    let label = step
        .spec
        .required_label
        .as_ref()
        .is_none_or(|label| seat.entry.labels.contains(label));
    label && seat.entry.service == step.service && !seat.is_disturbed_by(RunLoad::of(&step.spec))
}

/// All workers that may be given tasks of a step.
fn admitting<'a>(
    lead: &'a LeadState,
    step: &PlacedStep,
    now: CoreTime,
) -> Vec<(&'a WorkerId, &'a Seat)> {
    let seats = lead.seats.iter();
    seats.filter(|(_, seat)| admits(seat, step, now)).collect()
}

/// Tasks of a step that a worker holds.
pub(super) fn held_of(seat: &Seat, step: StepKey) -> usize {
    let first = step.task(0);
    let last = step.task(u32::MAX);
    seat.runs.range(first..=last).count()
}

/// Chooses workers for as many tasks as fit; for a gang, for all or none.
fn choose(step: &PlacedStep, seats: &[(&WorkerId, &Seat)], now: CoreTime) -> Choice {
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

/// The label of a worker that names its rack: the last one.
fn rack_of(seat: &Seat) -> Option<&str> {
    seat.entry.labels.last().map(String::as_str)
}

/// A worker that may be chosen, with what choices so far leave of it.
struct Candidate<'a> {
    id: &'a WorkerId,
    seat: &'a Seat,
    room: TaskSize,
    held: usize,
    near: bool,
    /// How slow it is, in steps.
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
            slow: (seat.slowness / SLOWNESS_STEP).round() as i64,
        }
    }

    fn takes(&self, wanted: &TaskSize, limit: usize) -> bool {
        wanted.fits(&self.room) && self.held < limit
    }

    /// Least is best: near its data; for urgent work fast; then the one that is left fullest.
    fn rank(&self, step: &PlacedStep) -> (Reverse<bool>, i64, u64) {
        let left = self.room.minus(&step.room).millicores;
        let slow = if step.fast_first { self.slow } else { 0 };
        (Reverse(self.near), slow, left)
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

fn workers_of(choice: &Choice) -> Vec<WorkerId> {
    let mut workers: Vec<WorkerId> = choice.iter().map(|(_, worker)| worker.clone()).collect();
    workers.sort_unstable();
    workers.dedup();
    workers.truncate(ASK_LIMIT);
    workers
}

/// Workers for a step's first question: those with the most room.
fn first_question(step: &PlacedStep, seats: &[(&WorkerId, &Seat)], now: CoreTime) -> Vec<WorkerId> {
    most_room(step, seats, wanted_workers(step), now)
}

/// Workers that a question for a step is about.
fn wanted_workers(step: &PlacedStep) -> usize {
    let wanted = step.tasks.len() * ASK_PER_TASK;
    if step.spec.gang {
        wanted.clamp(GANG_ASK_LEAST, ASK_LIMIT)
    } else {
        wanted.clamp(ASK_LEAST, ASK_MOST)
    }
}

/// So many workers, those with the most room first.
fn most_room(
    step: &PlacedStep,
    seats: &[(&WorkerId, &Seat)],
    wanted: usize,
    now: CoreTime,
) -> Vec<WorkerId> {
    let room = |seat: &Seat| Reverse(seat.room_for(step.key, now).millicores);
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

/// Workers with room of which the policy has not been asked yet.
fn unknown_with_room(
    lead: &LeadState,
    step: &PlacedStep,
    advice: &StepAdvice,
    now: CoreTime,
) -> Vec<WorkerId> {
    let has_room = |seat: &Seat| step.room_on(seat).fits(&seat.room_for(step.key, now));
    let seats: Vec<(&WorkerId, &Seat)> = lead
        .seats
        .iter()
        .filter(|(_, seat)| has_room(seat) && admits(seat, step, now))
        .filter(|(id, _)| !advice.is_known(id))
        .collect();
    most_room(step, &seats, wanted_workers(step), now)
}
