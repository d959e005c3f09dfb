//! Tasks under which workers ended: what each end tells against them, and how they are tried.
//!
//! [`CrashCount`](crate::CrashCount) decides in the ledger who is a suspect and who is given up. Here
//! the leader tells what it has seen of an end, and starts suspects one at a time, each on a worker
//! where nothing else runs, so that it takes nobody along and the next end there is evidence.
//!
//! What is not seen is no evidence: an order without an answer may never have arrived, and a worker that
//! is silent may be cut off. A worker that is ended by its task has its port refuse; when it first did is
//! known to some 50 ms during a trial. How likely chance is to end a worker in that time is reckoned from
//! the rate at which workers are lost with no suspect on them, so that in a storm of losses the same
//! end weighs less, and least if others were lost at that moment.
//!
//! Suspects are tried on one worker in eight at once, and hold one in four with those that have just
//! ended under one. A gang's suspects begin together, so that they may hold more; one that has waited too
//! long for its turn or a free worker starts among others, and after a second end beside runs that are not
//! new, which tells as much. A task that lasts waits only as long as
//! [`is_past_restart_deadline`](EntryCore::is_past_restart_deadline) allows, which counts all of its waits.

use std::time::Duration;

use super::commit::Effect;
use super::incarnation::Incarnation;
use super::lead_state::LeadState;
use super::live_run::{LiveRun, RunPhase};
use super::worker_state::{LossWindow, ProcessEnd, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::ledger::{CrashCount, CrashEvidence, CrashWeight, EndKind, LedgerEvent, TaskRecord};

/// Time from an order within which the port of a worker that its task ends refuses, as a rule.
const YOUNG_LIFE: Duration = Duration::from_secs(1);
/// The same up to which the end may be proof.
const PROOF_LIFE: Duration = Duration::from_secs(2);
/// Longest span of ages that counts as the same age again, in milliseconds.
const AGAIN_SPAN_MS: u32 = 1_000;
/// Time for which a port has refused after which the end is kept: others that were lost with the worker are
/// seen by then.
const SEEN_TIME: Duration = Duration::from_millis(400);
/// A run that lived so long has nothing to do with its worker's end, and one that lasts for weeks
/// sees some workers end.
const LONG_LIFE: Duration = Duration::from_secs(30);
/// Workers on which suspects are tried at once, as a divisor of all, at least one.
const TRIAL_SHARE: usize = 8;
/// The same with those that have ended under a suspect and are not given up yet; at least two.
const HELD_SHARE: usize = 4;
/// Wait for a free worker and a turn after which a suspect is started among others all the same,
/// where only its share in several ends speaks against it: callers are told after three seconds that
/// nothing runs though there is room.
const WEAK_PATIENCE: Duration = Duration::from_millis(2_000);
/// The same for one whose worker ended right after its start.
const YOUNG_PATIENCE: Duration = Duration::from_secs(8);
/// Time before and after the end of a worker within which others that are lost are lost with it: a rack,
/// a failure domain, a cut. Ports that refuse are seen within it.
const COMMON_TIME: Duration = Duration::from_millis(200);
/// Time without such losses after which a suspect is tried that may be proven by it.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Other workers lost in that time from which on no suspect is tried that may be proven by it, as a divisor
/// of all, at least one.
const COMMON_SHARE: usize = 100;
/// Others lost at once from which on what had just been started is no suspect, as a divisor of all and at
/// least.
const STORM_SHARE: usize = 20;
const STORM_LEAST: usize = 3;
/// Time over which the rate of losses is reckoned, and the least of it for a new leader.
const RATE_TIME: Duration = Duration::from_secs(30);
const LEAST_RATE_TIME: Duration = Duration::from_secs(10);
/// Losses of a worker in a second that are reckoned with at least.
const LEAST_RATE: f64 = 0.001;
/// Odds of chance above which an end is no proof, in parts per million.
const PROOF_LIMIT_PPM: u32 = 50_000;
const MILLION: f64 = 1e6;

/// A worker that was lost.
#[derive(Clone, Debug)]
pub(super) struct WorkerLoss {
    worker: Incarnation,
    address: String,
    /// When, as far as is known.
    span: LossWindow,
}

/// What is known of a worker's end.
#[derive(Clone, Copy, Debug)]
pub(super) struct LossFacts {
    /// Whether it has surely ended. One that is silent may be cut off, and run on: without a new life it is
    /// known only where its port refuses and its entry is gone.
    is_end: bool,
    /// When it had surely ended by: its port refused, or another life answered.
    over_at: Option<CoreTime>,
    /// When it ended, as far as is known.
    at: CoreTime,
    /// Others that were lost with it, and whether they are so many that its end tells nothing.
    others: usize,
    is_storm: bool,
    /// Losses of a worker in a second by chance.
    rate: f64,
}

/// How the suspects of a step that are to start stand.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuspectHistory {
    /// Whether a worker of one ended right after its start.
    young: bool,
    /// Whether one is never started beside others that are new.
    grave: bool,
    /// Whether one of its ends is proof.
    proven: bool,
    /// Whether one lasts and has been away for too long.
    hurried: bool,
}

impl SuspectHistory {
    /// Of tasks, each with whether it is in a hurry.
    pub(super) fn of<'a>(tasks: impl Iterator<Item = (&'a TaskRecord, bool)>) -> Self {
        let mut stand = Self::default();
        for (task, hurried) in tasks {
            let Some(count) = task.crash_count() else {
                continue;
            };
            stand.young |= count.has_early_crash();
            stand.grave |= count.must_be_isolated();
            stand.proven |= count.has_proof();
            stand.hurried |= hurried;
        }
        stand
    }
}

/// How a suspect may be started now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialMode {
    /// Where nothing else runs.
    Isolated,
    /// Where nothing else that is new runs, and nothing new joins it: no worker became free in time.
    ApartFromNew,
    /// Among others, since it has waited for long enough.
    AmongOthers,
    /// Not yet.
    Deferred,
}

impl EntryCore {
    /// What is known of a worker's end, for what it tells against its runs.
    pub(super) fn loss_of(&self, id: &WorkerId, end: ProcessEnd) -> Option<LossFacts> {
        let lead = self.lead.as_deref()?;
        let state = lead.worker_states.get(id)?;
        Some(lead.loss_of(id, state, Some(end), self.now))
    }

    /// How a run ended whose worker's life is over.
    pub(super) fn end_with_worker(
        &self,
        state: &WorkerState,
        loss: &LossFacts,
        task: &TaskKey,
        live: &LiveRun,
    ) -> EndKind {
        if let Some(how) = live.ended_as {
            return how;
        }
        if live.phase == RunPhase::Ordered && !live.may_have_started() {
            return EndKind::NeverRan;
        }
        if let Some(evidence) = live.crash {
            return EndKind::Crashed(evidence);
        }
        let evidence = self.crash_of(state, loss, task, live);
        let evidence = evidence.filter(|_| loss.is_end);
        evidence.map_or(EndKind::Lost, EndKind::Crashed)
    }

    /// Keeps what is seen of a worker's end under runs that had just been started, once its port has refused
    /// for a while: they are given up only when its hold is over, and the leader may be lost before.
    pub(super) fn propose_crash_evidence(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(state) = lead.worker_states.get(id) else {
            return;
        };
        let refused_for = state.refused_at.map(|at| now.saturating_sub(at));
        if state.crash_evidence_proposed
            || !state.refused
            || refused_for.is_none_or(|time| time < SEEN_TIME)
        {
            return;
        }
        let loss = lead.loss_of(id, state, None, now);
        let seen = |(task, live): (&TaskKey, &LiveRun)| {
            let evidence = self.crash_of(state, &loss, task, live)?;
            (evidence.weight != CrashWeight::Weak).then_some((*task, live.run, evidence))
        };
        let seen: Vec<(TaskKey, RunId, CrashEvidence)> =
            state.runs.iter().filter_map(seen).collect();
        if let Some(state) = self
            .lead
            .as_deref_mut()
            .and_then(|lead| lead.worker_states.get_mut(id))
        {
            state.crash_evidence_proposed = true;
        }
        for (task, run, evidence) in seen {
            let lead = self.lead.as_deref_mut();
            if let Some(live) = lead.and_then(|lead| lead.live_run(id, &task)) {
                live.crash = Some(evidence);
            }
            let event = LedgerEvent::CrashSeen {
                task,
                run,
                evidence,
            };
            self.propose(event, Effect::None);
            self.log_crash(task);
        }
    }

    /// What a worker's end tells against a run, if it counts at all.
    fn crash_of(
        &self,
        state: &WorkerState,
        loss: &LossFacts,
        task: &TaskKey,
        live: &LiveRun,
    ) -> Option<CrashEvidence> {
        let order = loss.over_at.zip(live.ordered_at);
        let had_ended = order.is_some_and(|(over, ordered)| over <= ordered);
        let counts = live.may_have_started()
            && !had_ended
            && !state.left_as_announced()
            && live.known_run_time() < LONG_LIFE
            && self.enforces(SiteGuard::CrashBudget);
        counts.then(|| self.evidence_of(state, loss, task, live))
    }

    /// What was seen of a worker's end under a run.
    fn evidence_of(
        &self,
        state: &WorkerState,
        loss: &LossFacts,
        task: &TaskKey,
        live: &LiveRun,
    ) -> CrashEvidence {
        let since_order = |at: CoreTime| {
            let ordered = live.ordered_at.unwrap_or(at);
            at.saturating_sub(ordered).as_millis() as u32
        };
        let confirmed = live.is_confirmed();
        let alive_ms = live.listed_at.map_or(0, since_order);
        let over = loss.over_at.filter(|_| live.ordered_at.is_some());
        let over_ms = over.map(since_order);
        let beside = state
            .runs
            .iter()
            .filter(|(other, run)| *other != task && run.is_new(loss.at));
        let beside = beside.count();
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        let again =
            over_ms.and_then(|over| count.and_then(|count| count.common_age_ms(alive_ms, over)));
        let chance_ppm = over_ms.map_or(MILLION as u32, |over_ms| {
            let span = again.map_or(over_ms, |span| span.min(over_ms));
            let chance = loss.rate * Duration::from_millis(u64::from(span)).as_secs_f64();
            (chance.min(1.0) * MILLION).ceil() as u32
        });
        let sole = beside == 0 && !loss.is_storm;
        let guarded = self.enforces(SiteGuard::AloneEvidence);
        let (sole, chance_ppm) = if guarded {
            (sole, chance_ppm)
        } else {
            (true, 1)
        };
        let within = |over: u32, life: Duration| u128::from(over) <= life.as_millis();
        // At a greater age only where nothing else ran at all, and as before.
        let again = again.is_some_and(|span| span <= AGAIN_SPAN_MS) && state.runs.len() == 1;
        let proof = |over: u32| {
            sole && confirmed
                && chance_ppm <= PROOF_LIMIT_PPM
                && (within(over, PROOF_LIFE) || again)
        };
        let weight = match over_ms {
            Some(over) if proof(over) => CrashWeight::Proof,
            Some(over) if within(over, YOUNG_LIFE) && !loss.is_storm => CrashWeight::Young,
            _ => CrashWeight::Weak,
        };
        CrashEvidence {
            weight,
            confirmed,
            alive_ms,
            over_ms,
            beside: beside as u32,
            others: loss.others as u32,
            chance_ppm,
        }
    }

    /// Notes that a worker was lost, for what is said of others that are; not one whose end is held against
    /// a task.
    pub(super) fn note_worker_loss(&mut self, id: &WorkerId, held: bool) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        state.declared_lost = true;
        // One that this leader has not heard was lost before its time.
        if !state.token_accepted || state.is_crashed_by_task() || held || state.left_as_announced()
        {
            return;
        }
        let number = state.number;
        let loss = WorkerLoss {
            worker: Incarnation {
                worker: id.clone(),
                number,
            },
            address: state.entry.address.clone(),
            span: state.loss_window(),
        };
        lead.worker_losses.retain(|old| {
            let lately = now.saturating_sub(old.span.last) <= RATE_TIME;
            lately && old.worker != loss.worker
        });
        lead.worker_losses.push(loss);
    }

    /// How a suspect of a step may be started now.
    pub(super) fn trial_mode(&mut self, step: StepKey, stand: SuspectHistory) -> TrialMode {
        self.note_capacity_wait(step);
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return TrialMode::Deferred;
        };
        lead.end_trials();
        let waited = lead.capacity_waits.get(&step).copied().unwrap_or(now);
        let patience = if stand.young {
            YOUNG_PATIENCE
        } else {
            WEAK_PATIENCE
        };
        let waited = now.saturating_sub(waited);
        let impatient = stand.hurried || waited > patience;
        let among = stand.hurried || !stand.young || waited > patience * 2;
        let grave = stand.grave && (stand.proven || waited <= patience * 3);
        // The next end may prove it: not while other workers are lost, or it would tell nothing.
        let calm_from = now.saturating_sub(CALM_TIME);
        let storm = || calm_from < lead.began_at || lead.is_common(lead.lost_since(calm_from, now));
        match (impatient, grave) {
            (true, false) if among => TrialMode::AmongOthers,
            (true, _) => TrialMode::ApartFromNew,
            (false, _) if !lead.has_turn_for(step) => TrialMode::Deferred,
            (false, _) if stand.young && storm() => TrialMode::Deferred,
            (false, _) => TrialMode::Isolated,
        }
    }

    /// Lets others join the suspects of a worker that have run alone for long enough.
    pub(super) fn end_due_trials(&mut self, id: &WorkerId) {
        let lead = self.lead.as_deref().filter(|lead| !lead.trials.is_empty());
        let Some(state) = lead.and_then(|lead| lead.worker_states.get(id)) else {
            return;
        };
        let due = |task: &TaskKey, live: &LiveRun| {
            live.on_trial && live.known_run_time() >= self.trial_time(task)
        };
        let due: Vec<(TaskKey, TaskSize)> = state
            .runs
            .iter()
            .filter(|(task, live)| due(task, live))
            .map(|(task, _)| (*task, self.resources_of(*task)))
            .collect();
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        for (task, room) in due {
            if let Some(state) = lead.worker_states.get_mut(id) {
                state.end_trial(&task, room);
            }
            lead.placement_due = true;
        }
    }

    /// Time for which a suspect is kept apart from others.
    fn trial_time(&self, task: &TaskKey) -> Duration {
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        count.map(CrashCount::trial_time).unwrap_or_default()
    }

    /// Room that a task takes by its step.
    pub(super) fn resources_of(&self, task: TaskKey) -> TaskSize {
        let job = self.book.job(task.step.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        spec.map(|spec| spec.resources()).unwrap_or_default()
    }
}

impl LeadState {
    /// Forgets trials that are over.
    fn end_trials(&mut self) {
        let worker_states = &self.worker_states;
        self.trials.retain(|task, worker| {
            let live = worker_states
                .get_incarnation(worker)
                .and_then(|state| state.runs.get(task));
            live.is_some_and(|live| live.on_trial)
        });
    }

    /// Whether a suspect of a step may be tried now.
    fn has_turn_for(&self, step: StepKey) -> bool {
        let of_step = |task: &TaskKey| task.step == step;
        let is_well = |worker: &Incarnation| {
            let state = self.worker_states.get_incarnation(worker);
            state.is_some_and(|state| !state.refused)
        };
        let tried = self
            .trials
            .values()
            .filter(|worker| is_well(worker))
            .count();
        tried < (self.worker_states.len() / TRIAL_SHARE).max(1)
            && self.trials.len() < (self.worker_states.len() / HELD_SHARE).max(2)
            && !self.trials.keys().any(of_step)
    }

    /// What is known of a worker's end.
    fn loss_of(
        &self,
        id: &WorkerId,
        state: &WorkerState,
        end: Option<ProcessEnd>,
        now: CoreTime,
    ) -> LossFacts {
        let other_life = matches!(end, Some(ProcessEnd::OtherLife | ProcessEnd::Restarted));
        let over_at = state.refused_at.or(other_life.then_some(now));
        let at = over_at.unwrap_or(state.loss_window().last);
        let others = self.lost_beside(id, at, now);
        let rate = self.loss_rate(&state.entry.address, now);
        LossFacts {
            is_end: other_life || (!state.listed && state.refused),
            over_at,
            at,
            others,
            is_storm: self.is_storm(others),
            rate: rate.max(self.rate_beside(others)),
        }
    }

    /// Workers that were lost with no suspect to themselves, with when: those that are over, and those that
    /// are silent now.
    fn losses(&self, now: CoreTime) -> impl Iterator<Item = (&WorkerId, LossWindow)> {
        let over = self
            .worker_losses
            .iter()
            .map(|loss| (&loss.worker.worker, loss.span));
        let told = |id: &WorkerId, state: &WorkerState| {
            let mut losses = self.worker_losses.iter().map(|loss| &loss.worker);
            losses.any(|lost| lost.worker == *id && lost.number == state.number)
        };
        let silent = self.worker_states.iter().filter(move |(_, state)| {
            state.is_lost(now) && !state.is_crashed_by_task() && !state.left_as_announced()
        });
        let silent = silent.filter(move |(id, state)| !told(id, state));
        over.chain(silent.map(|(id, state)| (id, state.loss_window())))
    }

    /// Other workers that were lost about when one was.
    fn lost_beside(&self, id: &WorkerId, at: CoreTime, now: CoreTime) -> usize {
        let (from, until) = (at.saturating_sub(COMMON_TIME), at + COMMON_TIME);
        let near = |span: &LossWindow| span.first <= until && span.last >= from;
        let losses = self.losses(now);
        let others = losses.filter(|(other, span)| *other != id && near(span));
        others.count()
    }

    /// Workers lost since a time.
    fn lost_since(&self, since: CoreTime, now: CoreTime) -> usize {
        self.losses(now)
            .filter(|(_, span)| span.last >= since)
            .count()
    }

    /// Tells whether so many losses within a short time are too many to try a suspect.
    fn is_common(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / COMMON_SHARE).max(1)
    }

    /// Tells whether so many were lost with a worker that nothing is asked of what ran there.
    fn is_storm(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / STORM_SHARE).max(STORM_LEAST)
    }

    /// Losses in a second of one worker while others are lost at once.
    fn rate_beside(&self, others: usize) -> f64 {
        if others == 0 {
            return 0.0;
        }
        let workers = self.worker_states.len().max(1) as f64;
        (others + 1) as f64 / ((COMMON_TIME * 2).as_secs_f64() * workers)
    }

    /// Losses in a second of one worker, as far as was seen lately: of all, or of those at its address
    /// if these are more.
    fn loss_rate(&self, address: &str, now: CoreTime) -> f64 {
        let led = now.saturating_sub(self.began_at);
        let time = led.clamp(LEAST_RATE_TIME, RATE_TIME);
        let lost = self.lost_since(now.saturating_sub(time), now) + 1;
        let of_all = lost as f64 / (time.as_secs_f64() * self.worker_states.len().max(1) as f64);
        let here = self
            .worker_losses
            .iter()
            .filter(|loss| loss.address == address);
        let here: Vec<CoreTime> = here.map(|loss| loss.span.last).collect();
        let first = here.iter().min().copied().unwrap_or(now);
        let time = match here.len() {
            0 | 1 => RATE_TIME,
            _ => now.saturating_sub(first).max(Duration::from_secs(1)),
        };
        let of_address = here.len() as f64 / time.as_secs_f64();
        of_all.max(of_address).max(LEAST_RATE)
    }
}
