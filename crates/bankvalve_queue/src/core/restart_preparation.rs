//! Permits and room for tasks that last and are away, or soon will be.
//!
//! Such a task may be away for nine seconds in all, of which its last worker's hold takes most. What is
//! left is too short for what a start needs one after the other: to ask the policy service about
//! workers, to find room on one that is good among short work in plenty, and to renew its permit. So
//! the leader asks as soon as a worker is silent that runs one, about many workers at once, whether
//! they have room or not; a little before the run can be given up it keeps room on workers that are known
//! to be good, and has permits for them that last until the start. None of this needs the table, and
//! what is kept stands until the start is decided on.

use std::collections::BTreeMap;
use std::time::Duration;

use super::advice::StepAdvice;
use super::capacity_reclaim::CapacityPlan;
use super::lead_state::LeadState;
use super::placement::StepToPlace;
use super::worker_selection::{is_eligible, tasks_on, workers_with_most_free};
use super::worker_state::{WorkerState, UNRESPONSIVE_AFTER};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{StepKey, TaskKey, WorkerId};
use crate::ledger::{JobOutcome, TaskPhase, TaskRecord};
use crate::queue_table::AdviceRule;

/// Time between two looks at tasks that last; added to it for each of them, and for each step that is
/// seen to: room for one is planned on all workers that are good for it.
const LOOK_PACE: Duration = Duration::from_millis(50);
const LOOK_EACH: Duration = Duration::from_micros(20);
const PLAN_EACH: Duration = Duration::from_millis(2);
/// Time before a run can be given up from which on room is kept for its task: a question to the policy
/// service and the end of a short run.
const KEEP_AHEAD: Duration = Duration::from_millis(1_500);
/// Time for which room is kept beyond the next look, which keeps it on.
const KEEP_TIME: Duration = Duration::from_millis(600);
/// Share of all room that is kept for such tasks at most, in percent.
const KEPT_PERCENT: u64 = 25;
/// Good workers that are wanted for each task, and besides.
const GOOD_PER_TASK: usize = 2;
const GOOD_SPARE: usize = 4;
/// Workers asked about for each good one that is missing, at least and at most.
const ASK_PER_GOOD: usize = 4;
const ASK_LEAST: usize = 16;
const ASK_MOST: usize = 100;

/// A step with tasks that last and are away, or soon will be.
#[derive(Clone, Debug, Default)]
pub(super) struct RestartingStep {
    /// Since when one of them has been away, by the time of day; 0 if none is known to be.
    since: u64,
    /// Tasks for which room is kept.
    due: Vec<TaskKey>,
    /// Tasks that will need it later, as far as is known.
    later: usize,
    /// What is at hand for them.
    ready: ReadyCounts,
}

/// What is at hand for a step's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ReadyCounts {
    /// Workers that are known to be good and may be used.
    good: usize,
    /// Rooms that are kept.
    kept: usize,
    /// Those of them that are free.
    free: usize,
    /// Those of them with a permit.
    permits: usize,
}

impl RestartingStep {
    /// Whether room and permits for all these tasks are seen to here.
    pub(super) fn covers(&self, tasks: &[TaskKey]) -> bool {
        tasks.iter().all(|task| self.due.contains(task))
    }

    /// Whether room is kept that is not free yet.
    pub(super) fn awaits_capacity(&self) -> bool {
        self.ready.kept > 0 && self.ready.free == 0
    }
}

/// How a task that lasts stands.
enum Standing {
    /// It runs, or its start is on its way.
    Runs,
    /// Its worker is silent, and it is too early to keep room.
    Silent,
    /// It is started as soon as can be.
    Due,
}

impl EntryCore {
    /// Has permits and room at hand for tasks that last whose runs are over or soon will be.
    pub(super) fn prepare_restarts(&mut self) {
        let now = self.now;
        let may_look = self.may_command() && self.enforces(SiteGuard::ReadyReturn);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_restart_preparation || !lead.workers_known || !may_look {
            return;
        }
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let patience = self.unresponsive_timeout(lead);
        let mut tasks = 0;
        let mut restarting = BTreeMap::new();
        for key in &lead.lasting_steps {
            let (looked_at, step) = self.returning_step(lead, *key, patience);
            tasks += looked_at;
            restarting.extend(step.map(|step| (*key, step)));
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let steps = restarting.len() as u32;
        lead.next_restart_preparation = now + LOOK_PACE + LOOK_EACH * tasks + PLAN_EACH * steps;
        let mut by_age: Vec<(u64, StepKey)> = restarting
            .iter()
            .map(|(key, step)| (step.since, *key))
            .collect();
        by_age.sort_unstable();
        let before = std::mem::replace(&mut lead.restarting, restarting);
        let over = before.keys();
        let over = over.filter(|key| !lead.restarting.contains_key(key));
        for key in over {
            for state in lead.worker_states.values_mut() {
                state.drop_reservation(*key, now);
            }
        }
        let mut budget = self.room_to_keep();
        for (_, key) in by_age {
            let ready = self.prepare_step(key, &mut budget);
            let known = before.get(&key).map(|step| step.ready);
            self.note_ready(key, known, ready);
        }
    }

    /// Notes what is at hand for a step, and logs what has changed.
    fn note_ready(&mut self, key: StepKey, before: Option<ReadyCounts>, ready: ReadyCounts) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(step) = lead.restarting.get_mut(&key) else {
            return;
        };
        step.ready = ready;
        if before == Some(ready) {
            return;
        }
        let (due, later) = (step.due.len(), step.later);
        self.log_often("placer", "return", || {
            let ReadyCounts {
                good,
                kept,
                free,
                permits,
            } = ready;
            let detail = format!(
                "{due} tasks to start, {later} whose workers are silent: {good} workers known to be \
                 good, room kept on {kept}, free on {free}, {permits} permits there"
            );
            (key.to_string(), detail)
        });
    }

    /// Tasks of a step that last and are away or soon will be, and how many were looked at.
    fn returning_step(
        &self,
        lead: &LeadState,
        key: StepKey,
        patience: Duration,
    ) -> (u32, Option<RestartingStep>) {
        let job = self.book.job(key.job);
        let job = job.filter(|job| job.outcome == JobOutcome::Open);
        let Some(job) = job else {
            return (0, None);
        };
        let spec = job.spec.steps.get(usize::from(key.step));
        let (Some(record), Some(spec)) = (job.step(key), spec) else {
            return (0, None);
        };
        let mut step = RestartingStep::default();
        for (index, task) in record.tasks.iter().enumerate() {
            let task_key = key.task(index as u32);
            let suspect = task.is_suspect() && !self.is_past_restart_deadline(spec, task);
            match self.standing(lead, task_key, task, patience) {
                Standing::Runs => continue,
                Standing::Due if !suspect => step.due.push(task_key),
                _ => step.later += 1,
            }
            let since = match task.phase {
                TaskPhase::Waiting => task.ended_at,
                _ => self.wall,
            };
            step.since = match step.since {
                0 => since,
                before => before.min(since),
            };
        }
        let returns = !step.due.is_empty() || step.later > 0;
        (record.tasks.len() as u32, returns.then_some(step))
    }

    fn standing(
        &self,
        lead: &LeadState,
        key: TaskKey,
        task: &TaskRecord,
        patience: Duration,
    ) -> Standing {
        let (worker, run) = match &task.phase {
            // One that never ran has not been away.
            TaskPhase::Waiting if task.last_run > 0 => return Standing::Due,
            TaskPhase::Placed { worker, run } => (worker, *run),
            _ => return Standing::Runs,
        };
        let Some(state) = lead.worker_states.get(worker) else {
            return Standing::Silent;
        };
        if state.runs.get(&key).is_none_or(|live| live.run != run) {
            // It was given up, which is not kept yet.
            return Standing::Due;
        }
        let silent = self.age(state.last_contact.unwrap_or(state.known_at));
        if silent < UNRESPONSIVE_AFTER.max(state.usual_response_gap()) && !state.refused {
            return Standing::Runs;
        }
        let lease_left = if state.token_accepted {
            state.lease_left(self.now)
        } else {
            self.lease_duration().saturating_sub(silent)
        };
        let listed_left = if state.listed && !state.refused {
            patience.saturating_sub(silent)
        } else {
            Duration::ZERO
        };
        if lease_left.max(listed_left) <= KEEP_AHEAD {
            Standing::Due
        } else {
            Standing::Silent
        }
    }

    /// Room that may be kept for tasks that last, in millicores.
    fn room_to_keep(&self) -> u64 {
        let now = self.now;
        let lead = self.lead.as_deref();
        let worker_states = lead
            .into_iter()
            .flat_map(|lead| lead.worker_states.values());
        let lively = worker_states.filter(|state| state.is_responsive(now));
        let all: u64 = lively.map(|state| state.entry.room.millicores).sum();
        all * KEPT_PERCENT / 100
    }

    /// Asks for what a step's start needs, and keeps room for it.
    fn prepare_step(&mut self, key: StepKey, budget: &mut u64) -> ReadyCounts {
        let mut ready = ReadyCounts::default();
        let Some(lead) = self.lead.as_deref() else {
            return ready;
        };
        let Some(restarting) = lead.restarting.get(&key) else {
            return ready;
        };
        let wanted = restarting.due.len() + restarting.later;
        let tasks = restarting.due.clone();
        let Some(step) = self.due_step(key, tasks) else {
            return ready;
        };
        if let Some(rule) = step.rule {
            ready.good = self.ask_ahead(&step, rule, wanted);
        }
        let share = *budget / step.resources.millicores.max(1);
        let most = step.tasks.len().min(share as usize);
        let plans = self.keep_for_return(&step, most);
        *budget -= step.resources.millicores * plans.len() as u64;
        ready.kept = plans.len();
        ready.free = plans.iter().filter(|plan| plan.after().is_zero()).count();
        if let Some(rule) = step.rule.filter(|_| !self.store_is_unavailable()) {
            self.renew_ahead(&step, rule, &plans);
        }
        ready.permits = self.permits_for(&step, &plans);
        ready
    }

    /// Plans whose workers a start could go to now, by their permits.
    fn permits_for(&self, step: &StepToPlace, plans: &[CapacityPlan]) -> usize {
        let lead = self.lead.as_deref();
        let Some((lead, advice)) = lead.and_then(|lead| Some((lead, lead.advice.get(&step.key)?)))
        else {
            return 0;
        };
        let until = self.now + lead.time_to_commit();
        let workers = plans.iter().map(CapacityPlan::worker);
        workers
            .filter(|id| advice.permit(id, until).is_some())
            .count()
    }

    /// Asks about workers, with room or without, until enough good ones are known; tells how many
    /// are.
    fn ask_ahead(&mut self, step: &StepToPlace, rule: AdviceRule, tasks: usize) -> usize {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return 0;
        };
        let empty = StepAdvice::default();
        let advice = lead.advice.get(&step.key).unwrap_or(&empty);
        let takes = |id: &WorkerId, state: &WorkerState| {
            is_eligible((id, state), step, now) && tasks_on(state, step.key) < step.worker_limit()
        };
        let good = advice.good().filter(|id| {
            lead.worker_states
                .get(id)
                .is_some_and(|state| takes(id, state))
        });
        let good = good.count();
        let missing = (tasks * GOOD_PER_TASK + GOOD_SPARE).saturating_sub(good);
        if missing == 0 || advice.explores() || !advice.may_retry(now) {
            return good;
        }
        let unknown = lead.worker_states.iter();
        let unknown = unknown.filter(|(id, state)| !advice.is_known(id) && takes(id, state));
        let unknown: Vec<(&WorkerId, &WorkerState)> = unknown.collect();
        let count = (missing * ASK_PER_GOOD).clamp(ASK_LEAST, ASK_MOST);
        let question = workers_with_most_free(step, &unknown, count, now);
        if !question.is_empty() {
            self.request_advice(step.key, rule, &question);
        }
        good
    }

    /// Keeps room for so many tasks of a step on workers that may run it, where it is free the soonest.
    fn keep_for_return(&mut self, step: &StepToPlace, tasks: usize) -> Vec<CapacityPlan> {
        let now = self.now;
        let plans = self.plan_restart(step, tasks);
        let Some(lead) = self.lead.as_deref_mut() else {
            return Vec::new();
        };
        let until = lead.next_restart_preparation + KEEP_TIME;
        for state in lead.worker_states.values_mut() {
            state.drop_reservation(step.key, now);
        }
        // What short work keeps there gives way; it is kept anew elsewhere.
        let restarting: Vec<StepKey> = lead.restarting.keys().copied().collect();
        for plan in &plans {
            if let Some(state) = lead.worker_states.get_mut(plan.worker()) {
                state
                    .reserved
                    .retain(|kept| restarting.contains(&kept.step));
            }
        }
        self.reserve_capacity(step, plans.iter().map(CapacityPlan::worker), until);
        self.stop_planned_runs(&plans);
        plans
    }

    /// Renews permits for workers whose room is there about when they come.
    fn renew_ahead(&mut self, step: &StepToPlace, rule: AdviceRule, plans: &[CapacityPlan]) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(advice) = lead.advice.get(&step.key) else {
            return;
        };
        let takes = rule.time_for(plans.len());
        let lasts = Duration::from_millis(rule.valid_ms);
        let needed = now + takes + lead.time_to_commit();
        let soon = |plan: &&CapacityPlan| plan.after() <= takes + lasts / 2;
        let due = |id: &&WorkerId| !advice.is_asked(id) && advice.permit(id, needed).is_none();
        let workers = plans.iter().filter(soon).map(CapacityPlan::worker);
        let mut question: Vec<WorkerId> = workers.filter(due).cloned().collect();
        question.sort_unstable();
        question.dedup();
        if !question.is_empty() && advice.may_retry(now) {
            self.request_advice(step.key, rule, &question);
        }
    }
}

/// Whether a step's tasks are looked after here.
pub(super) fn is_prepared_restart(lead: &LeadState, step: &StepToPlace) -> bool {
    let restarting = lead.restarting.get(&step.key);
    step.has_no_trials() && restarting.is_some_and(|restarting| restarting.covers(&step.tasks))
}
