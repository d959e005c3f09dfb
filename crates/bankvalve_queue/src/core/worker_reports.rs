//! What a worker's lists tell: runs that go on, runs that ended, and runs that it does not have.

use std::time::Duration;

use super::commit::Effect;
use super::live_run::{LiveRun, RunPhase};
use super::worker_state::ProcessEnd;
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, TaskKey, WallMillis, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{
    CrashEnd, CrashWeight, EndKind, JobOutcome, LedgerEvent, StepRecord, TaskPhase,
};
use crate::policy::PolicySwitch;
use crate::worker::{EndReport, HoldReport, RunReport};

/// Weight of one task in what is known of a queue's guesses.
const GUESS_WEIGHT: f64 = 0.02;
/// Least ratio of a measured to a guessed run time that is taken for one.
const LEAST_RATIO: f64 = 0.05;

/// A run of a task that lasts which lived for longer fails by itself, as such tasks may at any time, and
/// speaks against its worker no more: they never end well, so that three such failures in hours had a
/// worker rest, and each later one for up to 24 s. A worker that fails what it starts does so within
/// its shortest rest.
const SERVED_LIFE: Duration = Duration::from_secs(3);

/// A run that ended with its worker.
struct LostRun {
    task: TaskKey,
    run: RunId,
    how: EndKind,
    saved: String,
    why: String,
    /// Whether what is told of its worker's end is not kept yet.
    is_news: bool,
}

impl EntryCore {
    pub(super) fn handle_report(&mut self, id: &WorkerId, sent_at: CoreTime, report: &HoldReport) {
        for end in &report.ended {
            self.take_end(id, end);
        }
        self.take_running(id, &report.running);
        self.end_due_trials(id);
        self.settle_missing(id, sent_at, report);
        self.judge_progress(id, sent_at, &report.running);
    }

    fn take_end(&mut self, id: &WorkerId, end: &EndReport) {
        let now = self.now;
        let kept_first = self.enforces(SiteGuard::KeptEnds);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(incarnation) = lead.worker_states.incarnation_of(id) else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        if end.number <= state.last_end_seen {
            let held = state.runs.get(&end.task);
            if held.is_some_and(|live| live.run == end.run) {
                let seen = state.last_end_seen;
                self.counters.count("ends", "passed_over");
                self.log_often("runs", "end_passed_over", || {
                    let (how, number) = (end.how.as_str(), end.number);
                    let detail = format!(
                        "run {} on {id}: {how}, its number {number} is not above {seen}, the last taken",
                        end.run
                    );
                    (end.task.to_string(), detail)
                });
            }
            return;
        }
        state.last_end_seen = end.number;
        if !kept_first {
            state.last_end_committed = end.number;
        }
        lead.placement_due = true;
        lead.begun.insert(end.task.step.job);
        let held = state
            .runs
            .get(&end.task)
            .is_some_and(|live| live.run == end.run);
        let mut ran = Duration::ZERO;
        let mut guess = Duration::ZERO;
        let mut served = false;
        if held {
            if let Some(live) = state.remove_run(&end.task) {
                ran = now.saturating_sub(live.began);
                served = live.lasting && ran > SERVED_LIFE;
                if live.measured && end.saved.is_empty() {
                    guess = live.estimate;
                }
            }
        }
        let job = end.task.step.job;
        if end.how == EndKind::Done && !guess.is_zero() {
            let queue = self.book.job(job).map(|job| job.spec.queue.clone());
            let ratio = (ran.as_secs_f64() / guess.as_secs_f64())
                .max(LEAST_RATIO)
                .ln();
            let error = lead
                .estimate_error
                .entry(queue.unwrap_or_default())
                .or_insert(ratio);
            *error += GUESS_WEIGHT * (ratio - *error);
            state.note_slowness(ratio - *error);
        }
        let may_rest = self.settings.without != Some(PolicySwitch::FailureRest);
        let rests = match end.how {
            EndKind::Done => state.note_result(job, true, now),
            EndKind::Failed if may_rest && !served => state.note_result(job, false, now),
            _ => false,
        };
        if rests {
            self.counters.count("workers", "rest");
            self.log(
                "workers",
                "rest",
                id.to_string(),
                "fails what it starts".into(),
            );
        }
        self.log_often("runs", "end", || {
            let how = end.how.as_str();
            let detail = format!("run {} on {id}: {how} after {ran:?}", end.run);
            (end.task.to_string(), detail)
        });
        self.counters.count("ends", end.how.as_str());
        let effect = Effect::AcknowledgeEnd(incarnation, end.number);
        if self.is_current(end.task, end.run) {
            self.propose_end(end.task, end.run, end.how, end.saved.clone(), effect);
        } else if end.how == EndKind::Done && self.is_late_done(end.task, end.run) {
            self.take_back_later_runs(end.task);
            self.propose_end(end.task, end.run, end.how, end.saved.clone(), effect);
        } else {
            if end.how == EndKind::Done && self.book.job(job).is_none() {
                // It cannot be kept; if the job is known to others, its task may be done twice.
                let detail = format!("run {} on {id}: done, its job is not known here", end.run);
                self.log("runs", "end_unknown", end.task.to_string(), detail);
                self.counters.count("ends", "of_unknown_job");
            }
            self.follow_up(effect);
        }
    }

    fn is_current(&self, task: TaskKey, run: u64) -> bool {
        let record = self.book.job(task.step.job).and_then(|job| job.task(task));
        record.is_some_and(
            |record| matches!(record.phase, TaskPhase::Placed { run: now, .. } if now == run),
        )
    }

    /// Tells whether a good end is of a run that was given up, of a task that is not done since.
    fn is_late_done(&self, task: TaskKey, run: u64) -> bool {
        let Some(job) = self.book.job(task.step.job) else {
            return false;
        };
        let spec = job.spec.steps.get(usize::from(task.step.step));
        let ends = spec.is_some_and(|spec| !spec.lasting);
        let late = |step: &StepRecord| step.may_report_late(task.index as usize, run);
        let open = job.outcome == JobOutcome::Open;
        open && ends && job.step(task.step).is_some_and(late) && self.enforces(SiteGuard::LateDone)
    }

    /// Takes back what was placed since for a task that turns out to be done, or for all members
    /// of its gang: what was not ordered yet never is, and what was is stopped.
    fn take_back_later_runs(&mut self, task: TaskKey) {
        let Some(job) = self.book.job(task.step.job) else {
            return;
        };
        let gang = job.spec.steps[usize::from(task.step.step)].gang;
        let Some(step) = job.step(task.step) else {
            return;
        };
        let placed = step.tasks.iter().enumerate().filter_map(|(index, record)| {
            let key = task.step.task(index as u32);
            match &record.phase {
                TaskPhase::Placed { worker, .. } if gang || key == task => {
                    Some((key, worker.clone()))
                }
                _ => None,
            }
        });
        for (key, worker) in placed.collect::<Vec<_>>() {
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let live = lead.live_run(&worker, &key);
            if live.is_some_and(|live| live.phase == RunPhase::Proposed) {
                if let Some(state) = lead.worker_states.get_mut(&worker) {
                    state.remove_run(&key);
                }
            } else {
                self.begin_stop_run(&worker, key);
            }
        }
    }

    pub(super) fn propose_end(
        &mut self,
        task: TaskKey,
        run: u64,
        how: EndKind,
        saved: String,
        effect: Effect,
    ) {
        let at = self.wall;
        self.keep_end(task, run, how, saved, at, effect);
    }

    fn keep_end(
        &mut self,
        task: TaskKey,
        run: u64,
        how: EndKind,
        saved: String,
        at: WallMillis,
        effect: Effect,
    ) {
        let now = self.now;
        if let Some(lead) = self.lead.as_deref_mut().filter(|_| how != EndKind::Done) {
            lead.wait_tracker.note_end(task, run, now);
        }
        let event = LedgerEvent::Ended {
            task,
            run,
            how,
            saved,
            at,
        };
        self.propose(event, effect);
    }

    fn take_running(&mut self, id: &WorkerId, running: &[RunReport]) {
        let now = self.now;
        for report in running {
            let spec = self.spec_of(report.task);
            let job = self.book.job(report.task.step.job);
            let customer = job.and_then(|job| job.spec.customer.clone());
            let Some(lead) = self.lead.as_deref_mut() else {
                return;
            };
            let Some(state) = lead.worker_states.get_mut(id) else {
                return;
            };
            match state.runs.get_mut(&report.task) {
                Some(live) if live.run == report.run => {
                    if matches!(live.phase, RunPhase::Adopted | RunPhase::Ordered) {
                        live.phase = RunPhase::Running { since: now };
                        lead.dirty_jobs.insert(report.task.step.job);
                        lead.begun.insert(report.task.step.job);
                    }
                    live.listed_at = Some(now);
                    if !report.saved.is_empty() && live.saved != report.saved {
                        live.saved.clone_from(&report.saved);
                    }
                }
                Some(_) => {}
                None => {
                    let phase = RunPhase::Stopping { confirmed: None };
                    let mut live = LiveRun::new(report.run, &spec, phase, now);
                    live.customer = customer;
                    state.add_run(report.task, live);
                    let detail = format!("run {} on {id}", report.run);
                    self.log("runs", "unknown", report.task.to_string(), detail);
                }
            }
        }
    }

    /// The step that a task belongs to; an empty one if its job is not known.
    fn spec_of(&self, task: TaskKey) -> StepSpec {
        let job = self.book.job(task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        step.cloned().unwrap_or_default()
    }

    /// Runs that are in neither list never began, or are gone.
    fn settle_missing(&mut self, id: &WorkerId, sent_at: CoreTime, report: &HoldReport) {
        let newer = self.enforces(SiteGuard::NewerList);
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(state) = lead.worker_states.get_mut(id) else {
            return;
        };
        let listed = |task: &TaskKey, run: u64| {
            report
                .running
                .iter()
                .any(|entry| entry.task == *task && entry.run == run)
        };
        let mut missing = Vec::new();
        for (task, live) in &state.runs {
            let settled = match live.phase {
                RunPhase::Adopted => true,
                RunPhase::Stopping {
                    confirmed: Some(at),
                } => at < sent_at || !newer,
                // It was confirmed before the worker was asked, so the list is newer.
                RunPhase::Running { since } => since < sent_at || !newer,
                _ => false,
            };
            if settled && !listed(task, live.run) {
                let how = live.ended_as.unwrap_or(EndKind::NeverRan);
                missing.push((*task, live.run, how, live.saved.clone()));
            }
        }
        for (task, run, how, saved) in missing {
            let why = "no list has it";
            self.end_without_report(id, task, run, how, saved, why);
            if matches!(how, EndKind::Crashed(_)) {
                self.log_crash(task);
            }
        }
    }

    /// Ends a run that no list will tell of; `why` tells by what that is known.
    pub(super) fn end_without_report(
        &mut self,
        id: &WorkerId,
        task: TaskKey,
        run: u64,
        how: EndKind,
        saved: String,
        why: &str,
    ) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.placement_due = true;
        let lost_contact = lead.wait_tracker.take_lost_contact_text(&task, run, now);
        if let Some(state) = lead.worker_states.get_mut(id) {
            if state.runs.get(&task).is_some_and(|live| live.run == run) {
                state.remove_run(&task);
            }
        }
        self.log_often("runs", "end", || {
            let how = how.as_str();
            let detail = format!("run {run} on {id}: {how}, {why}{lost_contact}");
            (task.to_string(), detail)
        });
        self.counters.count("ends", how.as_str());
        if self.is_current(task, run) {
            let at = self.last_contact_with_run(id, how);
            self.keep_end(task, run, how, saved, at, Effect::None);
        }
    }

    /// Logs how many workers have ended under a task by now, and what follows.
    pub(super) fn log_crash(&mut self, task: TaskKey) {
        let job = self.book.job(task.step.job);
        let Some(count) = job.and_then(|job| job.task(task)?.crash_count()) else {
            return;
        };
        let next = match (count.is_conclusive(), count.is_suspect()) {
            (true, _) => "given up",
            (_, true) => "suspect",
            _ => "starts again",
        };
        let number = count.ends().len();
        let last = count.ends().last().map(CrashEnd::to_string);
        let (last, chance) = (last.unwrap_or_default(), count.chance_ppm());
        self.log_often("runs", "crash", || {
            let detail = format!(
                "{number} workers ended under it, all proofs by chance {chance:.3} in a million: {next}; {last}"
            );
            (task.to_string(), detail)
        });
    }

    /// Ends all runs of a worker that surely runs nothing any more.
    pub(super) fn declare_worker_lost(&mut self, id: &WorkerId, end: ProcessEnd) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let Some(state) = lead.worker_states.get(id) else {
            return;
        };
        let Some(loss) = self.loss_of(id, end) else {
            return;
        };
        let lost = |(task, live): (&TaskKey, &LiveRun)| LostRun {
            task: *task,
            run: live.run,
            how: self.end_with_worker(state, &loss, task, live),
            saved: live.saved.clone(),
            is_news: live.crash.is_none(),
            why: format!("{}, {}", end.as_str(), live.summary(now)),
        };
        let runs: Vec<LostRun> = state.runs.iter().map(lost).collect();
        let detail = format!("{}, {}", end.as_str(), state.summary(now));
        self.log("workers", "lost", id.to_string(), detail);
        self.counters.count("workers", "lost");
        let proof = |lost: &LostRun| matches!(lost.how, EndKind::Crashed(evidence) if evidence.weight == CrashWeight::Proof);
        self.note_worker_loss(id, runs.iter().any(proof));
        for lost in runs {
            self.end_without_report(id, lost.task, lost.run, lost.how, lost.saved, &lost.why);
            if lost.is_news && matches!(lost.how, EndKind::Crashed(_)) {
                self.log_crash(lost.task);
            }
        }
    }
}
