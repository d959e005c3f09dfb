//! Evidence against tasks whose workers ended, and isolated trial runs of such suspects.
//!
//! [`CrashCount`](crate::CrashCount), a part of the ledger's state, decides which tasks are suspects and
//! when a job fails because of them. This module collects what the leader has seen of a worker's end.
//! It also decides when and how suspects start: one at a time for each step, on a worker where nothing
//! else runs. An end there harms no other task and is strong evidence.
//!
//! Only what was seen is evidence. An order without an answer may never have arrived, and a worker that
//! does not respond may be cut off. If a task crashes its worker, the worker's port refuses connections.
//! During a trial run the leader knows to about 50 ms when it first did. The probability that a worker
//! ends by chance within that time is estimated from the rate at which workers without a suspect are
//! lost. So during a mass loss the same end weighs less, and it weighs least if other workers were lost
//! at that moment.
//!
//! Trial runs take at most one worker in eight at once, or one in four with the workers that have just
//! ended under one. A gang's suspects start together, so they may take more. A suspect that has waited
//! too long for its start or for a free worker starts beside other runs. After a second end it starts
//! only beside runs that are not new, where an end is as strong evidence. A long-running task waits only
//! until [`is_past_restart_deadline`](EntryCore::is_past_restart_deadline) returns true, which counts all of its waits.

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

/// Time from a start order within which the port of a worker that its task crashes usually refuses
/// connections. An end within it is an early crash.
const YOUNG_LIFE: Duration = Duration::from_secs(1);
/// Longest time from a start order to the first refused connection for an end that may be proof, unless
/// an earlier run ended at the same age.
const PROOF_LIFE: Duration = Duration::from_secs(2);
/// Longest span, in milliseconds, in which the ages of two runs at their ends count as the same age.
const AGAIN_SPAN_MS: u32 = 1_000;
/// Time for which a port must have refused connections before the evidence is committed: by then, the
/// leader has seen which other workers were lost at the same time.
const SEEN_TIME: Duration = Duration::from_millis(400);
/// Age from which on a run is not related to its worker's end: a task that runs for weeks is present when
/// some workers end.
const LONG_LIFE: Duration = Duration::from_secs(30);
/// Divisor of the number of workers that gives the number of concurrent trial runs, at least one.
const TRIAL_SHARE: usize = 8;
/// Divisor for the same limit that includes workers which have ended under a suspect and are not declared
/// lost yet; the result is at least two.
const HELD_SHARE: usize = 4;
/// Longest wait for a free worker and an allowed start before a suspect starts beside other runs, if it
/// was present at several ends without an early crash. Callers are told after three seconds that nothing
/// runs although there is capacity.
const WEAK_PATIENCE: Duration = Duration::from_millis(2_000);
/// Longest such wait of a suspect with an early crash.
const YOUNG_PATIENCE: Duration = Duration::from_secs(8);
/// Time before and after a worker's end within which other losses count as simultaneous, as when a rack or
/// a failure domain fails or the network is cut. The leader notices refusing ports within it.
const COMMON_TIME: Duration = Duration::from_millis(200);
/// Time without many losses that must precede a trial run whose end may be proof.
const CALM_TIME: Duration = Duration::from_secs(1);
/// Divisor of the number of workers that gives the number of losses, at least one, within that time from
/// which on no such trial run starts.
const COMMON_SHARE: usize = 100;
/// Divisor of the number of workers that gives the number of simultaneous losses of other workers from
/// which on a mass loss is assumed, and an end right after a start is only weak evidence.
const STORM_SHARE: usize = 20;
/// Smallest number of simultaneous losses of other workers that counts as a mass loss.
const STORM_LEAST: usize = 3;
/// Time over which the loss rate is calculated.
const RATE_TIME: Duration = Duration::from_secs(30);
/// Shortest time over which a new leader calculates the loss rate.
const LEAST_RATE_TIME: Duration = Duration::from_secs(10);
/// Lower limit of the estimated loss rate of one worker, per second.
const LEAST_RATE: f64 = 0.001;
/// Probability of an end by chance above which the end is no proof, in parts per million.
const PROOF_LIMIT_PPM: u32 = 50_000;
const MILLION: f64 = 1e6;

/// A worker that was lost.
#[derive(Clone, Debug)]
pub(super) struct WorkerLoss {
    worker: Incarnation,
    address: String,
    /// Time in which it was lost.
    span: LossWindow,
}

/// What the leader knows about a worker's end.
#[derive(Clone, Copy, Debug)]
pub(super) struct LossFacts {
    /// Whether the process is known to have ended. A worker that does not respond may be cut off and still
    /// run. Unless a new process answers, its end is known only if its port refuses connections and its
    /// entry is gone.
    is_end: bool,
    /// Time by which it had ended: its port first refused a connection, or another process answered.
    over_at: Option<CoreTime>,
    /// Assumed time of the end: the field above, or else the latest time at which it may have been lost.
    at: CoreTime,
    /// Number of other workers that were lost at the same time.
    others: usize,
    /// Whether so many others were lost that this end is only weak evidence.
    is_storm: bool,
    /// Rate at which one worker is lost by chance, per second.
    rate: f64,
}

/// Crash history of the suspects of a step that are to start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SuspectHistory {
    /// Whether a worker ended right after the start of one of them.
    young: bool,
    /// Whether one of them must not start beside other new runs.
    grave: bool,
    /// Whether one of the ends is proof.
    proven: bool,
    /// Whether a long-running task among them is past its restart deadline.
    hurried: bool,
}

impl SuspectHistory {
    /// Combines the histories of tasks, each with whether it is past its restart deadline.
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

/// How a suspect may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrialMode {
    /// On a worker where nothing else runs.
    Isolated,
    /// On a worker without other new runs, and no new run joins it: no worker became free in time.
    ApartFromNew,
    /// Beside any other runs, because it has waited long enough.
    AmongOthers,
    /// Not yet.
    Deferred,
}

impl EntryCore {
    /// Returns what is known about a worker's end, to weigh it as evidence against its runs.
    pub(super) fn loss_of(&self, id: &WorkerId, end: ProcessEnd) -> Option<LossFacts> {
        let lead = self.lead.as_deref()?;
        let state = lead.worker_states.get(id)?;
        Some(lead.loss_of(id, state, Some(end), self.now))
    }

    /// Returns how a run ended on a worker that was declared lost or has restarted.
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

    /// Commits the evidence of a worker's end against runs that had just started, once its port has refused
    /// connections for a while. The runs are declared lost only when the lease has expired, and this leader
    /// may fail before that.
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

    /// Returns the evidence of a worker's end against a run, or `None` if the end does not count against it.
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

    /// Collects what was seen of a worker's end into evidence against a run.
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
        // At a greater age, only if nothing else ran there and an earlier run ended at the same age.
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

    /// Marks a worker as lost. Records the loss for the loss rate and for mass losses, unless the end counts
    /// against a task.
    pub(super) fn note_worker_loss(&mut self, id: &WorkerId, held: bool) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        state.declared_lost = true;
        // A worker that never answered this leader was lost before this leader started.
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

    /// Returns how the suspects of a step may start now.
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
        // The next end may be proof. It would be no evidence while other workers are lost.
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

    /// Ends the trials of suspects on a worker that have been isolated long enough, so that other runs may
    /// join them.
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

    /// Returns for how long a suspect is isolated from other runs.
    fn trial_time(&self, task: &TaskKey) -> Duration {
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        count.map(CrashCount::trial_time).unwrap_or_default()
    }

    /// Returns the resources that a task takes according to its step.
    pub(super) fn resources_of(&self, task: TaskKey) -> TaskSize {
        let job = self.book.job(task.step.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        spec.map(|spec| spec.resources()).unwrap_or_default()
    }
}

impl LeadState {
    /// Forgets trials that have ended.
    fn end_trials(&mut self) {
        let worker_states = &self.worker_states;
        self.trials.retain(|task, worker| {
            let live = worker_states
                .get_incarnation(worker)
                .and_then(|state| state.runs.get(task));
            live.is_some_and(|live| live.on_trial)
        });
    }

    /// Returns whether the limits allow a trial run of one of a step's suspects now.
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

    /// Returns what is known about a worker's end.
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

    /// Returns workers that were lost without counting against a task, and when: those declared lost, and
    /// those that do not respond now.
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

    /// Returns the number of other workers that were lost at about the same time as one.
    fn lost_beside(&self, id: &WorkerId, at: CoreTime, now: CoreTime) -> usize {
        let (from, until) = (at.saturating_sub(COMMON_TIME), at + COMMON_TIME);
        let near = |span: &LossWindow| span.first <= until && span.last >= from;
        let losses = self.losses(now);
        let others = losses.filter(|(other, span)| *other != id && near(span));
        others.count()
    }

    /// Returns the number of workers lost since a time.
    fn lost_since(&self, since: CoreTime, now: CoreTime) -> usize {
        self.losses(now)
            .filter(|(_, span)| span.last >= since)
            .count()
    }

    /// Returns whether so many losses within a short time are too many for a trial run.
    fn is_common(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / COMMON_SHARE).max(1)
    }

    /// Returns whether so many others were lost with a worker that its end is only weak evidence.
    fn is_storm(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / STORM_SHARE).max(STORM_LEAST)
    }

    /// Returns the loss rate of one worker, per second, while so many others are lost at once.
    fn rate_beside(&self, others: usize) -> f64 {
        if others == 0 {
            return 0.0;
        }
        let workers = self.worker_states.len().max(1) as f64;
        (others + 1) as f64 / ((COMMON_TIME * 2).as_secs_f64() * workers)
    }

    /// Returns the recent loss rate of one worker, per second: that of all workers, or that at its address if
    /// it is higher.
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
