//! Handling of a worker's run lists: running runs, ended runs, and runs that the worker does not report.

use std::collections::BTreeSet;
use std::time::Duration;

use super::commit::Effect;
use super::forecast::run_times::{RunGroup, RunSample};
use super::forecast::worker_speed::WorkerGroup;
use super::live_run::{LiveRun, RunPhase};
use super::worker_state::ProcessEnd;
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, RunId, TaskKey, WallMillis, WorkerId};
use crate::job::StepSpec;
use crate::ledger::{
    CrashEnd, CrashEvidence, CrashWeight, EndKind, JobOutcome, LedgerEvent, StepRecord, TaskPhase,
};
use crate::policy::PolicySwitch;
use crate::worker::{EndReport, HoldReport, RunReport};

/// Weight of one task in the average error of a queue's run time estimates.
const ESTIMATE_ERROR_WEIGHT: f64 = 0.02;
/// Minimum ratio of a task's measured to its estimated run time. Smaller ratios count as this one.
const MIN_RUN_TIME_RATIO: f64 = 0.05;

/// Run time beyond which the failure of a long-running task does not count against its worker. Such tasks may
/// fail at any time and never end as done, so nothing would reset the count of failures: three failures
/// within hours would put a worker into back-off, and so would each later one, for up to 24 s. On a worker
/// that fails what it starts, runs fail within its shortest back-off.
const START_FAILURE_WINDOW: Duration = Duration::from_secs(3);

/// A run that ended with its worker.
struct LostRun {
    task: TaskKey,
    run: RunId,
    how: EndKind,
    saved: String,
    why: String,
    /// Whether the evidence of its worker's end has not been committed before.
    has_new_evidence: bool,
}

impl EntryCore {
    pub(super) fn handle_report(&mut self, id: &WorkerId, sent_at: CoreTime, report: &HoldReport) {
        // The numbers of handled ends rise, so an end that followed one with a higher number would be lost.
        let mut ends: Vec<&EndReport> = report.ended.iter().collect();
        ends.sort_unstable_by_key(|end| end.number);
        for end in ends {
            self.handle_end(id, end);
        }
        self.handle_running(id, &report.running);
        self.end_due_trials(id);
        self.end_missing_runs(id, sent_at, report);
        self.check_progress(id, sent_at, &report.running);
        self.stop_confirmed_runs(id);
    }

    fn handle_end(&mut self, id: &WorkerId, end: &EndReport) {
        let now = self.now;
        let waits_for_commit = self.enforces(SiteGuard::KeptEnds);
        let uses_model = self.uses(PolicySwitch::RunTimeModel);
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
            let known = state.runs.get(&end.task);
            if known.is_some_and(|live| live.run == end.run) {
                let seen = state.last_end_seen;
                self.counters.count("ends", "passed_over");
                self.log_often("runs", "end_passed_over", || {
                    let (how, number) = (end.how.as_str(), end.number);
                    let detail = format!(
                        "run {} on {id}: {how}, end number {number} is not above {seen}, the last one handled",
                        end.run
                    );
                    (end.task.to_string(), detail)
                });
            }
            return;
        }
        state.last_end_seen = end.number;
        if !waits_for_commit {
            state.last_end_committed = end.number;
        }
        lead.placement_due = true;
        lead.started_jobs.insert(end.task.step.job);
        let is_known_run = state
            .runs
            .get(&end.task)
            .is_some_and(|live| live.run == end.run);
        let mut ran = Duration::ZERO;
        let mut estimated = Duration::ZERO;
        let mut outlived_start = false;
        let mut known_run_time = Duration::ZERO;
        let mut ended_cores = 0.0;
        if is_known_run {
            if let Some(live) = state.remove_run(&end.task) {
                state.record_ends_read(live.not_ended_at());
                if live.on_trial {
                    lead.trials.record_survived(&end.task, now);
                }
                known_run_time = live.known_run_time();
                ran = now.saturating_sub(live.began);
                outlived_start = live.lasting && ran > START_FAILURE_WINDOW;
                ended_cores = live.resources.millicores as f64 / 1_000.0;
                if live.measured && end.saved.is_empty() {
                    estimated = live.estimate;
                }
            }
        }
        let job = end.task.step.job;
        if end.how == EndKind::Done && !estimated.is_zero() && uses_model {
            let spec = self.book.job(job).map(|job| &job.spec);
            let index = usize::from(end.task.step.step);
            if let Some((spec, step)) = spec.and_then(|spec| Some((spec, spec.steps.get(index)?))) {
                let sample = RunSample {
                    group: RunGroup {
                        image: &step.image,
                        queue: &spec.queue,
                    },
                    tasks: step.count,
                    estimate: estimated,
                    ran,
                    worker: WorkerGroup::of(&state.entry),
                };
                lead.run_times.record(&sample, &mut state.speed);
                state.refresh_speed(&lead.run_times);
                self.counters.count("run_times", "measured");
            }
        } else if end.how == EndKind::Done && !estimated.is_zero() {
            let queue = self.book.job(job).map(|job| job.spec.queue.clone());
            let ratio = (ran.as_secs_f64() / estimated.as_secs_f64())
                .max(MIN_RUN_TIME_RATIO)
                .ln();
            let error = lead
                .estimate_error
                .entry(queue.unwrap_or_default())
                .or_insert(ratio);
            *error += ESTIMATE_ERROR_WEIGHT * (ratio - *error);
            state.record_slowness(ratio - *error);
            let expected = estimated.as_secs_f64() * error.exp();
            lead.forecast.record_ended(ended_cores * expected);
        } else if end.how == EndKind::Done || !end.saved.is_empty() {
            lead.forecast.record_ended(ended_cores * ran.as_secs_f64());
        }
        let may_back_off = self.settings.without != Some(PolicySwitch::FailureRest);
        let backs_off = match end.how {
            EndKind::Done => state.record_result(job, true, now),
            EndKind::Failed if may_back_off && !outlived_start => {
                state.record_result(job, false, now)
            }
            _ => false,
        };
        if backs_off {
            self.counters.count("workers", "rest");
            self.log(
                "workers",
                "rest",
                id.to_string(),
                "runs that it starts fail".into(),
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
            if end.how != EndKind::Done {
                self.clear_outlived_ends(end.task, end.run, known_run_time);
            }
            self.propose_end(end.task, end.run, end.how, end.saved.clone(), effect);
        } else if end.how == EndKind::Done && self.is_late_success(end.task, end.run) {
            self.cancel_later_runs(end.task);
            self.propose_end(end.task, end.run, end.how, end.saved.clone(), effect);
        } else {
            if end.how == EndKind::Done && self.book.job(job).is_none() {
                // The end cannot be committed. If other instances know the job, its task may run twice.
                let detail = format!("run {} on {id}: done, its job is unknown here", end.run);
                self.log("runs", "end_unknown", end.task.to_string(), detail);
                self.counters.count("ends", "of_unknown_job");
            }
            self.follow_up(effect);
        }
    }

    /// Commits for how long a run was known to be running before its reported end, if it has outlived all
    /// recorded ends of its task's workers. The ledger then discards these, and the reported end takes this
    /// evidence back.
    fn clear_outlived_ends(&mut self, task: TaskKey, run: RunId, known_run_time: Duration) {
        let alive_ms = known_run_time.as_millis() as u32;
        let job = self.book.job(task.step.job);
        let count = job.and_then(|job| job.task(task)?.crash_count());
        if !count.is_some_and(|count| count.is_outlived_by(alive_ms)) {
            return;
        }
        let evidence = CrashEvidence {
            weight: CrashWeight::Weak,
            confirmed: true,
            alive_ms,
            over_ms: None,
            beside: 0,
            others: 0,
            chance_ppm: 1_000_000,
        };
        let event = LedgerEvent::CrashSeen {
            task,
            run,
            evidence,
        };
        self.propose(event, Effect::None);
    }

    fn is_current(&self, task: TaskKey, run: u64) -> bool {
        let record = self.book.job(task.step.job).and_then(|job| job.task(task));
        record.is_some_and(
            |record| matches!(record.phase, TaskPhase::Placed { run: now, .. } if now == run),
        )
    }

    /// Returns whether a successful end is that of a run that was declared lost, of a task not done since.
    fn is_late_success(&self, task: TaskKey, run: u64) -> bool {
        let Some(job) = self.book.job(task.step.job) else {
            return false;
        };
        let spec = job.spec.steps.get(usize::from(task.step.step));
        let ends = spec.is_some_and(|spec| !spec.lasting);
        let late = |step: &StepRecord| step.may_report_late(task.index as usize, run);
        let open = job.outcome == JobOutcome::Open;
        open && ends && job.step(task.step).is_some_and(late) && self.enforces(SiteGuard::LateDone)
    }

    /// Cancels what was placed since for a task that turns out to be done, or for all members of its gang.
    /// Runs that have not been ordered are dropped, the others are stopped.
    fn cancel_later_runs(&mut self, task: TaskKey) {
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
                self.stop_run(&worker, key);
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
        self.commit_end(task, run, how, saved, at, effect);
    }

    fn commit_end(
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
            lead.wait_tracker.record_end(task, run, now);
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

    fn handle_running(&mut self, id: &WorkerId, running: &[RunReport]) {
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
                    let is_ordered = live.ordered_at.is_some();
                    if is_ordered && !live.is_confirmed() {
                        live.began = now;
                    }
                    live.listed_at = Some(now);
                    live.unlisted_since = None;
                    if !report.saved.is_empty() && live.saved != report.saved {
                        live.saved.clone_from(&report.saved);
                    }
                    if matches!(live.phase, RunPhase::Adopted | RunPhase::Ordered) {
                        live.phase = RunPhase::Running { since: now };
                        lead.dirty_jobs.insert(report.task.step.job);
                        lead.started_jobs.insert(report.task.step.job);
                        state.record_start_arrived(&report.task, now);
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

    /// Returns the step that a task belongs to, or an empty one if its job is unknown.
    fn spec_of(&self, task: TaskKey) -> StepSpec {
        let job = self.book.job(task.step.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
        step.cloned().unwrap_or_default()
    }

    /// Ends runs that the worker lists neither as running nor as ended: they never started, or no longer
    /// exist.
    ///
    /// An answer contains a limited number of ends, the oldest ones. So a run that is missing among the running
    /// ones may have ended in any way until all ends that existed by then have been read. They have been once
    /// an answer contains none, or an end is read of a run that was still running at that time or was ordered
    /// later. Neither depends on the limit.
    fn end_missing_runs(&mut self, id: &WorkerId, sent_at: CoreTime, report: &HoldReport) {
        let now = self.now;
        let requires_newer = self.enforces(SiteGuard::NewerList);
        let requires_all_ends = self.enforces(SiteGuard::AllEnds);
        let Some(state) = self.worker_state_mut(id) else {
            return;
        };
        if report.ended.is_empty() {
            state.ends_read_until = Some(now);
        }
        let read_until = state.ends_read_until;
        let requested_at = if requires_newer {
            sent_at
        } else {
            CoreTime::MAX
        };
        let listed = report.running.iter().map(|entry| (entry.task, entry.run));
        let listed: BTreeSet<(TaskKey, RunId)> = listed.collect();
        let mut missing = Vec::new();
        for (task, live) in &mut state.runs {
            let is_known_gone =
                live.unlisted_since.is_some() || live.is_gone_if_unlisted(requested_at);
            if !is_known_gone || listed.contains(&(*task, live.run)) {
                continue;
            }
            let since = *live.unlisted_since.get_or_insert(now);
            if !requires_all_ends || read_until >= Some(since) {
                let how = live.ended_as.unwrap_or(EndKind::NeverRan);
                missing.push((*task, live.run, how, live.saved.clone()));
            }
        }
        for (task, run, how, saved) in missing {
            let why = "the worker does not report it";
            self.end_without_report(id, task, run, how, saved, why);
            if matches!(how, EndKind::Crashed(_)) {
                self.log_crash(task);
            }
        }
    }

    /// Ends a run whose end no worker will report. `why` is the reason for the log.
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
            self.commit_end(task, run, how, saved, at, Effect::None);
        }
    }

    /// Logs how many workers have ended so far while they ran a task, and what happens to the task.
    pub(super) fn log_crash(&mut self, task: TaskKey) {
        let job = self.book.job(task.step.job);
        let Some(count) = job.and_then(|job| job.task(task)?.crash_count()) else {
            return;
        };
        let next = match (count.is_conclusive(), count.is_suspect()) {
            (true, _) => "fails as crashing",
            (_, true) => "suspect",
            _ => "starts again",
        };
        let number = count.ends().len();
        let last = count.ends().last().map(CrashEnd::to_string);
        let (last, chance) = (last.unwrap_or_default(), count.chance_ppm());
        self.log_often("runs", "crash", || {
            let detail = format!(
                "{number} workers ended while running it, probability that all strong evidence is chance \
                 {chance:.3} in a million: {next}; {last}"
            );
            (task.to_string(), detail)
        });
    }

    /// Declares a worker lost and ends all its runs, which are known to have ended.
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
            how: self.end_kind_with_worker(state, &loss, task, live),
            saved: live.saved.clone(),
            has_new_evidence: live.crash.is_none(),
            why: format!("{}, {}", end.as_str(), live.summary(now)),
        };
        let runs: Vec<LostRun> = state.runs.iter().map(lost).collect();
        let detail = format!("{}, {}", end.as_str(), state.summary(now));
        self.log("workers", "lost", id.to_string(), detail);
        self.counters.count("workers", "lost");
        let is_proof = |lost: &LostRun| matches!(lost.how, EndKind::Crashed(evidence) if evidence.weight == CrashWeight::Proof);
        self.record_worker_loss(id, runs.iter().any(is_proof));
        for lost in runs {
            self.end_without_report(id, lost.task, lost.run, lost.how, lost.saved, &lost.why);
            if lost.has_new_evidence && matches!(lost.how, EndKind::Crashed(_)) {
                self.log_crash(lost.task);
            }
        }
    }
}
