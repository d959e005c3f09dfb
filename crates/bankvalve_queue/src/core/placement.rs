//! Placement: which waiting task runs on which worker.

use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::StepAdvice;
use super::commit::Effect;
use super::live_run::{LiveRun, RunPhase};
use super::restart_preparation::is_prepared_restart;
use super::suspects::{SuspectHistory, TrialMode};
use super::waiting_steps::{Lateness, WaitingRank, FIRST_RANK};
use super::worker_selection::{
    choose, eligible_workers, first_advice_request, is_eligible, unasked_with_capacity, workers_of,
};
use super::worker_state::{Reservation, WorkerState};
use super::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{CrashCount, LedgerEvent, TaskPhase, TaskRecord};
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
/// Share of live peers that must be idle for a step to explore that can only end late, and for one that
/// ends too late to be of use, in percent; a third of them is left to short questions.
const LATE_IDLE_PERCENT: usize = 40;
const TOO_LATE_IDLE_PERCENT: usize = 50;

/// Failed runs that a queue allows at most for its gangs to prefer workers whose last run did not fail:
/// with more of them a run that is tried at once is worth more than one that waits for such workers.
const FEW_ATTEMPTS: u32 = 2;

/// Added to the priority of what is beyond its customer's share: whatever else there is may take its
/// room.
const BEYOND_PRIORITY: u32 = 1_000;

/// A step that is being placed.
pub(super) struct StepToPlace {
    pub(super) key: StepKey,
    pub(super) spec: StepSpec,
    pub(super) service: String,
    pub(super) customer: Option<CustomerName>,
    pub(super) rule: Option<AdviceRule>,
    pub(super) tasks: Vec<TaskKey>,
    run: RunId,
    pub(super) resources: TaskSize,
    pub(super) priority: u32,
    pub(super) urgent: bool,
    /// Whether it prefers workers that were measured as fast.
    pub(super) fast_first: bool,
    /// Whether it prefers workers whose last run did not fail.
    pub(super) healthy_first: bool,
    /// Tasks among them that are suspects and start where nothing else runs.
    alone: Vec<TaskKey>,
    /// Tasks among them that are suspects and start where nothing else that is new runs.
    apart: Vec<TaskKey>,
    /// Workers that ended under those that start alone: one more end there would be no further evidence.
    pub(super) tried_on: Vec<WorkerId>,
    /// Whether a task among them lasts and has been away for too long, so that workers that rest are
    /// taken as well.
    pub(super) past_deadline: bool,
}

/// Tasks to be placed, those among them that start alone, and those that start apart from new runs.
type TrialTasks = (Vec<TaskKey>, Vec<TaskKey>, Vec<TaskKey>);

/// Choice of workers for tasks of a step.
pub(super) type Assignment = Vec<(TaskKey, WorkerId)>;

impl StepToPlace {
    /// Most tasks of the step on one worker.
    pub(super) fn worker_limit(&self) -> usize {
        match self.spec.per_worker_limit {
            0 => usize::MAX,
            limit => limit as usize,
        }
    }

    /// Room that a task takes on a worker.
    pub(super) fn resources_of(&self, task: &TaskKey, state: &WorkerState) -> TaskSize {
        if self.alone.contains(task) {
            state.entry.room
        } else {
            self.resources
        }
    }

    /// Whether suspects are among its tasks that start alone or apart.
    pub(super) fn has_trials(&self) -> bool {
        !(self.alone.is_empty() && self.apart.is_empty())
    }

    /// Whether a task may go to a worker for what else runs there.
    pub(super) fn may_join(&self, task: &TaskKey, state: &WorkerState, now: CoreTime) -> bool {
        !self.apart.contains(task) || !state.has_new_run(now)
    }

    /// Whether none of its tasks is tried apart from others.
    pub(super) fn has_no_trials(&self) -> bool {
        !self.has_trials()
    }

    /// Room that each of its tasks takes on a worker; of a gang, that of the others than suspects.
    pub(super) fn resources_on(&self, state: &WorkerState) -> TaskSize {
        if self.alone.len() == self.tasks.len() {
            state.entry.room
        } else {
            self.resources
        }
    }
}

impl EntryCore {
    pub(super) fn run_placing(&mut self) {
        let now = self.now;
        let by_time = self.uses(PolicySwitch::LatestStart);
        // Without a configuration no customer's limit is known.
        let blocked = self.store_is_unavailable() || !self.may_command() || self.table.is_none();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if !lead.workers_known || blocked || now < lead.place_at {
            return;
        }
        let idle = now.saturating_sub(lead.place_at) < PLACE_IDLE;
        if !lead.placement_due && idle {
            return;
        }
        lead.placement_due = false;
        lead.place_at = now + PLACE_PACE;
        let wall = self.wall;
        let mut ranked: Vec<(WaitingRank, StepKey)> = lead
            .waiting
            .iter()
            .map(|(key, step)| {
                let returns = lead.restarting.contains_key(key);
                let rank = if returns {
                    FIRST_RANK
                } else {
                    step.rank(now, wall, by_time)
                };
                (rank, *key)
            })
            .collect();
        ranked.sort_unstable();
        self.begin_usage();
        self.leave_out_at_limit(&mut ranked);
        self.note_backlog();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        ranked.truncate(LOOK_LIMIT);
        lead.place_at += PLACE_EACH * ranked.len() as u32;
        let most = lead.max_free();
        let looked = ranked.len() as u64;
        self.counters
            .count_many("placements", "steps_looked_at", looked);
        for (_, key) in ranked {
            if !self.may_fit(key, &most) {
                self.note_capacity_wait(key);
                if !self.may_reclaim_capacity(key) {
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
        self.refresh_dirty_jobs();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.placement_due = false;
        }
    }

    /// Tells cheaply whether a task of a step could fit anywhere.
    fn may_fit(&self, key: StepKey, most: &TaskSize) -> bool {
        let job = self.book.job(key.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(key.step)));
        spec.is_some_and(|spec| spec.resources().fits(most))
    }

    fn step_to_place(&mut self, key: StepKey) -> Option<StepToPlace> {
        let tasks = self.tasks_to_place(key)?;
        let mut step = self.placed_step(key, tasks)?;
        if let Some(customer) = &step.customer {
            let admitted = self.tasks_within_limit(customer, &step.spec.size);
            let too_wide = step.spec.gang && step.tasks.len() > admitted;
            step.tasks.truncate(if too_wide { 0 } else { admitted });
        }
        (!step.tasks.is_empty()).then_some(step)
    }

    /// A step with tasks that are to start among others, whether they wait yet or not.
    pub(super) fn due_step(&self, key: StepKey, tasks: Vec<TaskKey>) -> Option<StepToPlace> {
        self.placed_step(key, (tasks, Vec::new(), Vec::new()))
    }

    fn placed_step(&self, key: StepKey, tasks: TrialTasks) -> Option<StepToPlace> {
        let (tasks, alone, apart) = tasks;
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?.clone();
        let record = job.step(key)?;
        let waits = |task: &TaskKey| record.tasks.get(task.index as usize);
        let past_deadline = tasks
            .iter()
            .filter_map(waits)
            .any(|task| self.is_past_restart_deadline(&spec, task));
        let queue = self
            .table
            .as_ref()
            .and_then(|table| table.queue(&job.spec.queue));
        let terms = queue.map_or(&job.terms, |queue| &queue.terms);
        let lead = self.lead.as_deref();
        let waiting = lead.and_then(|lead| lead.waiting.get(&key));
        let beyond = waiting.is_some_and(|step| step.is_beyond_share(self.now));
        let counts = alone.iter().filter_map(waits);
        let ends = counts.filter_map(TaskRecord::crash_count);
        let tried_on = ends.flat_map(|count| count.ends().iter().map(|end| end.worker.clone()));
        let tried_on = tried_on.collect();
        let mut step = StepToPlace {
            key,
            service: terms.service.clone(),
            customer: job.spec.customer.clone(),
            rule: terms.advice,
            priority: terms
                .priority
                .saturating_add(if beyond { BEYOND_PRIORITY } else { 0 }),
            urgent: terms.priority == 0 && !beyond,
            fast_first: terms.priority == 0 && !beyond && self.uses(PolicySwitch::FastWorkers),
            healthy_first: spec.gang
                && terms.attempts <= FEW_ATTEMPTS
                && self.uses(PolicySwitch::ProvedWorkers),
            resources: spec.resources(),
            run: record.last_run() + 1,
            spec,
            tasks,
            alone,
            apart,
            tried_on,
            past_deadline,
        };
        // On a site that has no other worker for it, it is tried there again.
        let mut worker_states = lead.iter().flat_map(|lead| lead.worker_states.iter());
        if !step.tried_on.is_empty()
            && !worker_states.any(|entry| is_eligible(entry, &step, self.now))
        {
            step.tried_on.clear();
        }
        Some(step)
    }

    /// The tasks of a step that are to be placed now, which of them alone, and which apart: those that nothing speaks
    /// against first, then suspects in their turn; a gang as a whole, its suspects first. One that has been
    /// away for too long waits for no turn, unless it may end the workers of others.
    fn tasks_to_place(&mut self, key: StepKey) -> Option<TrialTasks> {
        let job = self.book.job(key.job)?;
        let spec = job.spec.steps.get(usize::from(key.step))?;
        let gang = spec.gang;
        let waiting = job.step(key)?.tasks.iter().enumerate();
        let waiting: Vec<_> = waiting
            .filter(|(_, task)| task.phase == TaskPhase::Waiting)
            .collect();
        let past_deadline = |task: &TaskRecord| self.is_past_restart_deadline(spec, task);
        let whole = gang && waiting.iter().any(|(_, task)| past_deadline(task));
        let must_be_isolated =
            |task: &TaskRecord| task.crash_count().is_some_and(CrashCount::must_be_isolated);
        let in_a_hurry =
            |task: &TaskRecord| (whole || past_deadline(task)) && !must_be_isolated(task);
        let is_tried = |task: &TaskRecord| task.is_suspect() && !in_a_hurry(task);
        let (suspects, others): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|(_, task)| is_tried(task));
        let keys = |tasks: &[(usize, &TaskRecord)]| -> Vec<TaskKey> {
            let indexes = tasks.iter().map(|(index, _)| *index as u32);
            indexes.map(|index| key.task(index)).collect()
        };
        if suspects.is_empty() || !(gang || others.is_empty()) {
            return (!others.is_empty()).then(|| (keys(&others), Vec::new(), Vec::new()));
        }
        let hurried = |task: &TaskRecord| whole || past_deadline(task);
        let stand = SuspectHistory::of(suspects.iter().map(|(_, task)| (*task, hurried(task))));
        let tried = keys(if gang { &suspects } else { &suspects[..1] });
        let tasks = if gang {
            [tried.clone(), keys(&others)].concat()
        } else {
            tried.clone()
        };
        match self.trial_mode(key, stand) {
            TrialMode::Isolated => Some((tasks, tried, Vec::new())),
            TrialMode::ApartFromNew => Some((tasks, Vec::new(), tried)),
            TrialMode::AmongOthers => Some((tasks, Vec::new(), Vec::new())),
            TrialMode::Deferred => None,
        }
    }

    fn place_step(&mut self, step: &StepToPlace) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let kept_at = now + lead.time_to_commit();
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&step.key).unwrap_or(&empty);
        let Some(rule) = step.rule else {
            let choice = choose(step, &eligible_workers(lead, step, now), now);
            let placed = choice.len();
            let returns = is_prepared_restart(lead, step);
            self.start_choice(step, choice);
            if !returns {
                self.settle_room(step, placed);
            }
            return;
        };
        if is_prepared_restart(lead, step) {
            let permitted = advice.permitted(kept_at).filter_map(|id| {
                let state = lead.worker_states.get(id)?;
                is_eligible((id, state), step, now).then_some((id, state))
            });
            let choice = choose(step, &permitted.collect::<Vec<_>>(), now);
            self.start_choice(step, choice);
            return;
        }
        let can_ask = advice.can_ask(now) && self.has_adviser_soon(rule, step.tasks.len());
        if advice.is_new() {
            if can_ask && self.may_explore(step.key) {
                let workers = first_advice_request(step, &eligible_workers(lead, step, now), now);
                if !workers.is_empty() {
                    self.request_advice(step.key, rule, &workers);
                }
            }
            return;
        }
        // Far fewer are permitted than there are.
        let admitted = |id| {
            let state = lead.worker_states.get(id)?;
            is_eligible((id, state), step, now).then_some((id, state))
        };
        let permitted: Vec<(&WorkerId, &WorkerState)> =
            advice.permitted(kept_at).filter_map(admitted).collect();
        let choice = choose(step, &permitted, now);
        let whole = choice.len() == step.tasks.len();
        let mut question = Vec::new();
        let mut kept = Vec::new();
        let mut others = Vec::new();
        if !whole && can_ask {
            let good: Vec<(&WorkerId, &WorkerState)> = advice.good().filter_map(admitted).collect();
            let wider = choose(step, &good, now);
            if wider.len() > choice.len() {
                question = workers_of(&wider);
                question.retain(|id| advice.permit(id, kept_at).is_none() || step.spec.gang);
                kept = wider;
            } else {
                others = unasked_with_capacity(lead, step, advice, now);
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
        if seeks_room && !self.has_capacity_claim(step.key) && self.may_explore(step.key) {
            question = others;
        }
        if !question.is_empty() {
            let until = self.request_advice(step.key, rule, &question);
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
    fn settle_room(&mut self, step: &StepToPlace, placed: usize) {
        let missing = step.tasks.len() - placed;
        if missing == 0 {
            self.drop_capacity_claim(step.key);
            return;
        }
        self.note_capacity_wait(step.key);
        if self.may_reclaim_capacity(step.key) {
            self.reclaim_capacity(step, missing);
        }
    }

    /// Keeps room for a step while its permits are renewed.
    fn reserve(&mut self, step: &StepToPlace, choice: &Assignment, until: CoreTime) {
        if !self.uses(PolicySwitch::PermitRoom) {
            return;
        }
        self.reserve_capacity(step, choice.iter().map(|(_, worker)| worker), until);
    }

    /// Keeps room for a task of a step on each of these workers, once for each time that one is
    /// named.
    pub(super) fn reserve_capacity<'a>(
        &mut self,
        step: &StepToPlace,
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
            if let Some(state) = lead.worker_states.get_mut(worker) {
                state.drop_reservation(step.key, now);
                let room = step.resources_on(state);
                state.reserved.push(Reservation {
                    step: step.key,
                    resources: room.times(count),
                    until,
                });
            }
        }
    }

    fn start_choice(&mut self, step: &StepToPlace, choice: Assignment) {
        let now = self.now;
        let choice = self.within_limit(step, choice);
        for (task, worker) in choice {
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let permit = lead
                .advice
                .get(&step.key)
                .and_then(|advice| advice.permit(&worker, now))
                .map(str::to_owned);
            let trial = lead.worker_states.incarnation_of(&worker);
            let Some(state) = lead.worker_states.get_mut(&worker) else {
                continue;
            };
            state.drop_reservation(step.key, now);
            let mut live = LiveRun::new(step.run, &step.spec, RunPhase::Proposed, now);
            live.permit = permit;
            live.set_priority(step.priority);
            live.customer.clone_from(&step.customer);
            if step.alone.contains(&task) || step.apart.contains(&task) {
                live.on_trial = true;
                live.resources = state.entry.room.minus(&state.used);
                lead.trials.extend(trial.map(|trial| (task, trial)));
            }
            state.add_run(task, live);
            let left = state.entry.room.minus(&state.used).millicores;
            let waited = lead.wait_tracker.start_text(&task, now);
            self.log_often("placer", "place", || {
                let detail = format!("run {} on {worker}, room left {left}{waited}", step.run);
                (task.to_string(), detail)
            });
            let run = step.run;
            let event = LedgerEvent::Started { task, run, worker };
            self.propose(event, Effect::Order(task, run));
        }
    }
}
