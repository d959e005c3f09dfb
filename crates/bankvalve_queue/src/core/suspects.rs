//! Suspects: tasks that may have caused the end of workers that ran them. Evidence against them, and their
//! isolated trial runs.
//!
//! [`CrashCount`](crate::CrashCount), a part of the ledger's state, decides which tasks are suspects and
//! when a job fails because of them. This module collects what the leader has seen of a worker's end.
//! It also decides when and how suspects start: one at a time for each step, on a worker where nothing
//! else runs. An end there harms no other task and is strong evidence ([`CrashWeight::Proof`]).
//!
//! Only what was seen is evidence. An order without an answer may never have arrived, and a worker that
//! does not respond may be cut off. If a task crashes its worker, the worker's port refuses connections.
//! A worker with a trial run is polled so often that the leader knows to about 50 ms when its port first
//! refused. The probability that the worker ended by chance between the start order and that moment is
//! estimated from the recent rate of losses that no task is blamed for. The more workers are being lost, the
//! weaker is the evidence of an end, above all if others were lost at the same moment.
//!
//! How many trials run at the same time depends on the number of ended workers that no trial has explained yet
//! (see `trial_runs`). A gang's suspects start together, so they may take more. A suspect that has waited too
//! long for its start or for a free worker starts beside other runs. If it must be isolated, which is the
//! case after two ends of which one was an early crash, it starts only beside runs that are not new: there,
//! an end is as strong evidence as on an empty worker. A long-running task waits only until
//! [`is_past_restart_deadline`](EntryCore::is_past_restart_deadline) returns true. That deadline covers the
//! whole time since the task's last run ended, whatever the task waited for.

use std::collections::BTreeSet;
use std::time::Duration;

use super::commit::Effect;
use super::incarnation::Incarnation;
use super::lead_state::LeadState;
use super::live_run::{LiveRun, RunPhase};
use super::worker_state::{EvidenceStage, LossWindow, ProcessEnd, WorkerState};
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, StepKey, TaskKey, WorkerId};
use crate::job::TaskSize;
use crate::ledger::{CrashCount, CrashEvidence, CrashWeight, EndKind, LedgerEvent, TaskRecord};

/// Longest time from a start order to the first refused connection for an end that counts as an early crash.
/// The port of a worker that its task crashes usually refuses connections by then.
const EARLY_CRASH_AGE: Duration = Duration::from_secs(1);
/// Longest time from a start order to the first refused connection for an end that may be proof, unless
/// an earlier run ended at the same age.
const MAX_PROOF_AGE: Duration = Duration::from_secs(2);
/// Longest span, in milliseconds, in which the ages of two runs at their ends count as the same age.
const SAME_AGE_SPAN_MS: u32 = 1_000;
/// Time for which a port must have refused connections before the evidence is committed: by then, the
/// leader has seen which other workers were lost at the same time.
const EVIDENCE_DELAY: Duration = Duration::from_millis(400);
/// Known run time from which the end of a run's worker does not count against the task: a task that runs for
/// weeks is present when some workers end.
const UNRELATED_AGE: Duration = Duration::from_secs(30);
/// Longest wait for a free worker and an allowed start before a suspect starts beside other runs, if it
/// was present at several ends without an early crash. This is shorter than the three seconds after which
/// callers are informed that nothing runs although there is capacity.
const WEAK_MAX_WAIT: Duration = Duration::from_millis(2_000);
/// Longest wait of a suspect with an early crash before it starts apart from new runs. After twice this time
/// it may start beside any runs, and after three times also if it must be isolated and no end is proof.
const EARLY_MAX_WAIT: Duration = Duration::from_secs(8);
/// Time before and after a worker's end within which other losses count as simultaneous, as when a rack or
/// a failure domain fails or the network is cut. The leader notices within it that a port refuses.
const SIMULTANEOUS_WINDOW: Duration = Duration::from_millis(200);
/// Time without many losses that must precede a trial run of a suspect with an early crash: the end of that
/// run may be proof.
const QUIET_TIME: Duration = Duration::from_secs(1);
/// No trial run of a suspect with an early crash starts if one worker in this many, and at least one worker,
/// was lost within [`QUIET_TIME`].
const QUIET_LOSS_DIVISOR: usize = 100;
/// A mass loss is assumed if one worker in this many was lost at the same time as another. An end right after
/// a start is only weak evidence then.
const MASS_LOSS_DIVISOR: usize = 20;
/// Smallest number of simultaneous losses of other workers that counts as a mass loss.
const MIN_MASS_LOSS: usize = 3;
/// Time over which the loss rate is calculated.
const RATE_WINDOW: Duration = Duration::from_secs(30);
/// Shortest time over which a new leader calculates the loss rate.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(10);
/// Lower limit of the estimated loss rate of one worker, per second.
const MIN_LOSS_RATE: f64 = 0.001;
/// Probability of an end by chance above which the end is no proof, in parts per million.
const MAX_PROOF_CHANCE_PPM: u32 = 50_000;
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
    has_ended: bool,
    /// Time by which it had ended: its port first refused a connection, or another process answered.
    ended_by: Option<CoreTime>,
    /// Assumed time of the end: `ended_by`, or else the latest time at which the worker may have been lost.
    at: CoreTime,
    /// Number of other workers that were lost at the same time.
    others: usize,
    /// Whether so many others were lost that this end is only weak evidence.
    is_mass_loss: bool,
    /// Rate at which one worker is lost by chance, per second.
    rate: f64,
}

/// Crash history of the suspects of a step that are to start.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectHistory {
    /// Workers whose ends made them suspects.
    ended_workers: BTreeSet<WorkerId>,
    /// Whether a worker ended right after the start of one of them.
    early_crash: bool,
    /// Whether one of them must not start beside other new runs.
    must_isolate: bool,
    /// Whether one of the ends is proof.
    proven: bool,
    /// Whether a long-running task among them is past its restart deadline.
    past_deadline: bool,
}

impl SuspectHistory {
    /// Combines the histories of tasks, each with whether it is past its restart deadline.
    pub(super) fn of<'a>(tasks: impl Iterator<Item = (&'a TaskRecord, bool)>) -> Self {
        let mut history = Self::default();
        for (task, past_deadline) in tasks {
            let Some(count) = task.crash_count() else {
                continue;
            };
            history.ended_workers.extend(count.last_worker().cloned());
            history.early_crash |= count.has_early_crash();
            history.must_isolate |= count.must_be_isolated();
            history.proven |= count.has_proof();
            history.past_deadline |= past_deadline;
        }
        history
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
    pub(super) fn end_kind_with_worker(
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
        let evidence = self.crash_evidence(state, loss, task, live);
        let evidence = evidence.filter(|_| loss.has_ended);
        evidence.map_or(EndKind::Lost, EndKind::Crashed)
    }

    /// Commits the evidence of a worker's end against runs that had just started. The runs are declared lost
    /// only when the lease has expired, and this leader may fail before that.
    ///
    /// When the port first refuses, the evidence is committed as that of an early crash at most. Once the port
    /// has refused for a while, it is committed again with its final weight: by then it is known which other
    /// workers were lost at the same time.
    pub(super) fn propose_crash_evidence(&mut self, id: &WorkerId) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(state) = lead.worker_states.get(id).filter(|state| state.refused) else {
            return;
        };
        let refused_for = state.refused_at.map(|at| now.saturating_sub(at));
        let stage = match refused_for {
            Some(time) if time >= EVIDENCE_DELAY => EvidenceStage::Final,
            Some(_) => EvidenceStage::First,
            None => return,
        };
        if state.crash_evidence_stage >= stage {
            return;
        }
        let loss = lead.loss_of(id, state, None, now);
        let seen = |(task, live): (&TaskKey, &LiveRun)| {
            let evidence = self.evidence_to_commit(state, &loss, task, live)?;
            Some((*task, live.run, evidence))
        };
        let seen: Vec<(TaskKey, RunId, CrashEvidence)> =
            state.runs.iter().filter_map(seen).collect();
        if let Some(state) = self
            .lead
            .as_deref_mut()
            .and_then(|lead| lead.worker_states.get_mut(id))
        {
            state.crash_evidence_stage = stage;
        }
        for (task, run, evidence) in seen {
            match stage {
                EvidenceStage::Final => self.commit_crash(id, task, run, evidence),
                _ => self.commit_first_crash_evidence(task, run, evidence),
            }
        }
    }

    /// Commits the first evidence of a worker's end again if a run's start order, sent before the port refused, is
    /// answered after that. If this leader fails before the final evidence, a successor would otherwise count the
    /// order as one that may never have arrived.
    pub(super) fn confirm_crash_evidence(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        run: RunId,
        sent_at: CoreTime,
    ) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let first = |state: &&WorkerState| state.crash_evidence_stage == EvidenceStage::First;
        let Some(state) = lead.worker_states.get(id).filter(first) else {
            return;
        };
        let live = state.runs.get(&task).filter(|live| live.run == run);
        let sent_before = state.refused_at.is_some_and(|refused| sent_at < refused);
        let Some(live) = live.filter(|_| sent_before) else {
            return;
        };
        let loss = lead.loss_of(id, state, None, self.now);
        if let Some(evidence) = self.evidence_to_commit(state, &loss, &task, live) {
            self.commit_first_crash_evidence(task, run, evidence);
        }
    }

    /// Returns the evidence of a worker's end against a run, or `None` if it is weak and nothing was recorded of
    /// that end before. Otherwise it replaces what was recorded.
    fn evidence_to_commit(
        &self,
        state: &WorkerState,
        loss: &LossFacts,
        task: &TaskKey,
        live: &LiveRun,
    ) -> Option<CrashEvidence> {
        let evidence = self.crash_evidence(state, loss, task, live)?;
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        let is_recorded = count.is_some_and(|count| count.has_end(live.run));
        (evidence.weight != CrashWeight::Weak || is_recorded).then_some(evidence)
    }

    /// Commits that a run's worker has ended, with the final weight of the evidence.
    fn commit_crash(&mut self, id: &WorkerId, task: TaskKey, run: RunId, evidence: CrashEvidence) {
        let lead = self.lead.as_deref_mut();
        let live = lead.and_then(|lead| lead.live_run(id, &task));
        if let Some(live) = live.filter(|_| evidence.weight != CrashWeight::Weak) {
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

    /// Commits that a run's worker may have ended, so that the evidence is not lost with this leader. The
    /// probability of chance is not understated: others may have been lost at the same time.
    fn commit_first_crash_evidence(&mut self, task: TaskKey, run: RunId, evidence: CrashEvidence) {
        let event = LedgerEvent::CrashSeen {
            task,
            run,
            evidence: CrashEvidence {
                weight: CrashWeight::Young,
                chance_ppm: evidence.chance_ppm.max(MAX_PROOF_CHANCE_PPM),
                ..evidence
            },
        };
        self.propose(event, Effect::None);
        self.log_crash(task);
    }

    /// Returns the evidence of a worker's end against a run, or `None` if the end does not count against it.
    fn crash_evidence(
        &self,
        state: &WorkerState,
        loss: &LossFacts,
        task: &TaskKey,
        live: &LiveRun,
    ) -> Option<CrashEvidence> {
        let end_and_order = loss.ended_by.zip(live.ordered_at);
        let had_ended = end_and_order.is_some_and(|(ended, ordered)| ended <= ordered);
        // The former leader knew whether the worker had left, and when the run was ordered, and has recorded what
        // that shows.
        let is_unheard = state.is_told && state.last_contact.is_none();
        let counts = live.may_have_started()
            && !had_ended
            && !is_unheard
            && !state.left_as_announced()
            && live.known_run_time() < UNRELATED_AGE
            && self.enforces(SiteGuard::CrashBudget);
        counts.then(|| self.build_evidence(state, loss, task, live))
    }

    /// Collects what was seen of a worker's end into evidence against a run.
    fn build_evidence(
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
        // Counted from the first sign that the run had started: if the order was answered late, the run is
        // much younger than its order.
        let alive_ms = live.known_run_time().as_millis() as u32;
        let ended = loss.ended_by.filter(|_| live.ordered_at.is_some());
        let over_ms = ended.map(since_order);
        let beside = state
            .runs
            .iter()
            .filter(|(other, run)| *other != task && run.is_new(loss.at));
        let beside = beside.count();
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        let common_span = over_ms.and_then(|ended| {
            count.and_then(|count| count.common_age_ms(live.run, alive_ms, ended))
        });
        let chance_ppm = over_ms.map_or(MILLION as u32, |over_ms| {
            let span = common_span.map_or(over_ms, |span| span.min(over_ms));
            let chance = loss.rate * Duration::from_millis(u64::from(span)).as_secs_f64();
            (chance.min(1.0) * MILLION).ceil() as u32
        });
        let only_cause = beside == 0 && !loss.is_mass_loss;
        // Without this guard, every end counts as if nothing else could have caused it.
        let enforced = self.enforces(SiteGuard::AloneEvidence);
        let (only_cause, chance_ppm) = if enforced {
            (only_cause, chance_ppm)
        } else {
            (true, 1)
        };
        let within = |ended: u32, limit: Duration| u128::from(ended) <= limit.as_millis();
        // At a greater age, an end is proof only if nothing else ran on the worker and an earlier run ended
        // at the same age.
        let same_age =
            common_span.is_some_and(|span| span <= SAME_AGE_SPAN_MS) && state.runs.len() == 1;
        let proof = |ended: u32| {
            only_cause
                && confirmed
                && chance_ppm <= MAX_PROOF_CHANCE_PPM
                && (within(ended, MAX_PROOF_AGE) || same_age)
        };
        let weight = match over_ms {
            Some(ended) if proof(ended) => CrashWeight::Proof,
            Some(ended) if within(ended, EARLY_CRASH_AGE) && !loss.is_mass_loss => {
                CrashWeight::Young
            }
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
    pub(super) fn record_worker_loss(&mut self, id: &WorkerId, blamed_on_task: bool) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        state.declared_lost = true;
        // The loss rate covers only losses that this leader saw. A worker that never accepted its token is
        // assumed to have been lost before this leader started.
        if !state.token_accepted
            || state.is_crashed_by_task()
            || blamed_on_task
            || state.left_as_announced()
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
            let recent = now.saturating_sub(old.span.last) <= RATE_WINDOW;
            recent && old.worker != loss.worker
        });
        lead.worker_losses.push(loss);
    }

    /// Returns how the suspects of a step may start now.
    pub(super) fn trial_mode(&mut self, step: StepKey, history: &SuspectHistory) -> TrialMode {
        self.record_capacity_wait(step);
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return TrialMode::Deferred;
        };
        lead.trials.update(&lead.worker_states, now);
        let since = lead.capacity_waits.get(&step).copied().unwrap_or(now);
        let max_wait = if history.early_crash {
            EARLY_MAX_WAIT
        } else {
            WEAK_MAX_WAIT
        };
        let waited = now.saturating_sub(since);
        let waited_too_long = history.past_deadline || waited > max_wait;
        let may_share = history.past_deadline || !history.early_crash || waited > max_wait * 2;
        let must_isolate = history.must_isolate && (history.proven || waited <= max_wait * 3);
        // An end in this trial run may be proof, but not while many other workers are lost.
        let quiet_from = now.saturating_sub(QUIET_TIME);
        let many_losses = || {
            quiet_from < lead.began_at || lead.too_many_for_trial(lead.lost_since(quiet_from, now))
        };
        let may_start_trial = || {
            let ended_workers = &history.ended_workers;
            lead.trials
                .may_start(step, ended_workers, &lead.worker_states)
        };
        match (waited_too_long, must_isolate) {
            (true, false) if may_share => TrialMode::AmongOthers,
            (true, _) if history.past_deadline => TrialMode::ApartFromNew,
            _ if !may_start_trial() => TrialMode::Deferred,
            (true, _) => TrialMode::ApartFromNew,
            (false, _) if history.early_crash && many_losses() => TrialMode::Deferred,
            (false, _) => TrialMode::Isolated,
        }
    }

    /// Ends the trials of suspects on a worker that have been isolated long enough, so that other runs may
    /// join them.
    pub(super) fn end_due_trials(&mut self, id: &WorkerId) {
        let now = self.now;
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
        for (task, resources) in due {
            if let Some(state) = lead.worker_states.get_mut(id) {
                state.end_trial(&task, resources);
            }
            lead.trials.record_survived(&task, now);
            lead.placement_due = true;
        }
    }

    /// Returns for how long a suspect is isolated from other runs.
    fn trial_time(&self, task: &TaskKey) -> Duration {
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        count.map(CrashCount::trial_time).unwrap_or_default()
    }

    /// Returns the worker whose end was last recorded against a task.
    pub(super) fn ended_worker_of(&self, task: &TaskKey) -> Option<WorkerId> {
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(*task)?.crash_count());
        count.and_then(CrashCount::last_worker).cloned()
    }

    /// Returns the resources that a task takes according to its step.
    pub(super) fn resources_of(&self, task: TaskKey) -> TaskSize {
        let job = self.book.job(task.step.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        spec.map(|spec| spec.resources()).unwrap_or_default()
    }
}

impl LeadState {
    /// Returns what is known about a worker's end.
    fn loss_of(
        &self,
        id: &WorkerId,
        state: &WorkerState,
        end: Option<ProcessEnd>,
        now: CoreTime,
    ) -> LossFacts {
        let other_process = matches!(end, Some(ProcessEnd::OtherLife | ProcessEnd::Restarted));
        let ended_by = state.refused_at.or(other_process.then_some(now));
        let at = ended_by.unwrap_or(state.loss_window().last);
        let others = self.lost_at_same_time(id, at, now);
        let rate = self.loss_rate(&state.entry.address, now);
        LossFacts {
            has_ended: other_process || (!state.listed && state.refused),
            ended_by,
            at,
            others,
            is_mass_loss: self.is_mass_loss(others),
            rate: rate.max(self.simultaneous_loss_rate(others)),
        }
    }

    /// Returns the workers that were lost and whose end counts against no task, each with the time of its
    /// loss: those declared lost, and those that do not respond now.
    fn losses(&self, now: CoreTime) -> impl Iterator<Item = (&WorkerId, LossWindow)> {
        let recorded = self
            .worker_losses
            .iter()
            .map(|loss| (&loss.worker.worker, loss.span));
        let is_recorded = |id: &WorkerId, state: &WorkerState| {
            let mut losses = self.worker_losses.iter().map(|loss| &loss.worker);
            losses.any(|lost| lost.worker == *id && lost.number == state.number)
        };
        let unresponsive = self.worker_states.iter().filter(move |(_, state)| {
            state.is_lost(now) && !state.is_crashed_by_task() && !state.left_as_announced()
        });
        let unresponsive = unresponsive.filter(move |(id, state)| !is_recorded(id, state));
        recorded.chain(unresponsive.map(|(id, state)| (id, state.loss_window())))
    }

    /// Returns the number of other workers that were lost at about the same time as one.
    fn lost_at_same_time(&self, id: &WorkerId, at: CoreTime, now: CoreTime) -> usize {
        let (from, until) = (
            at.saturating_sub(SIMULTANEOUS_WINDOW),
            at + SIMULTANEOUS_WINDOW,
        );
        let overlaps = |span: &LossWindow| span.first <= until && span.last >= from;
        let losses = self.losses(now);
        let others = losses.filter(|(other, span)| *other != id && overlaps(span));
        others.count()
    }

    /// Returns the number of workers lost since a time.
    fn lost_since(&self, since: CoreTime, now: CoreTime) -> usize {
        self.losses(now)
            .filter(|(_, span)| span.last >= since)
            .count()
    }

    /// Returns whether that many losses within a short time are too many for a trial run.
    fn too_many_for_trial(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / QUIET_LOSS_DIVISOR).max(1)
    }

    /// Returns whether the number of others that were lost with a worker makes its end only weak evidence.
    fn is_mass_loss(&self, others: usize) -> bool {
        others >= (self.worker_states.len() / MASS_LOSS_DIVISOR).max(MIN_MASS_LOSS)
    }

    /// Returns the loss rate of one worker, per second, while that many others are lost at the same time.
    fn simultaneous_loss_rate(&self, others: usize) -> f64 {
        if others == 0 {
            return 0.0;
        }
        let workers = self.worker_states.len().max(1) as f64;
        (others + 1) as f64 / ((SIMULTANEOUS_WINDOW * 2).as_secs_f64() * workers)
    }

    /// Returns the recent loss rate of one worker, per second: that of all workers, or that at its address if
    /// it is higher.
    fn loss_rate(&self, address: &str, now: CoreTime) -> f64 {
        let leading_for = now.saturating_sub(self.began_at);
        let period = leading_for.clamp(MIN_RATE_WINDOW, RATE_WINDOW);
        let lost = self.lost_since(now.saturating_sub(period), now) + 1;
        let of_all = lost as f64 / (period.as_secs_f64() * self.worker_states.len().max(1) as f64);
        let at_address = self
            .worker_losses
            .iter()
            .filter(|loss| loss.address == address);
        let at_address: Vec<CoreTime> = at_address.map(|loss| loss.span.last).collect();
        let first = at_address.iter().min().copied().unwrap_or(now);
        let period = match at_address.len() {
            0 | 1 => RATE_WINDOW,
            _ => now.saturating_sub(first).max(Duration::from_secs(1)),
        };
        let of_address = at_address.len() as f64 / period.as_secs_f64();
        of_all.max(of_address).max(MIN_LOSS_RATE)
    }
}
