//! The platform's rules, checked on what workers and callers see.

use std::collections::{BTreeMap, BTreeSet};

use bankvalve_queue::{
    CallerAnswer, EndKind, JobId, JobSpec, JobState, RunId, StepKey, TaskKey, WorkerId,
};

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleBreach {
    /// Which rule.
    pub rule: &'static str,
    /// When, in milliseconds of virtual time, and what happened.
    pub text: String,
}

/// Time after the acknowledgement of a job's cancel from which none of its tasks may start, in milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Workers that a task has ended, from which on its starts are counted, and how many of these are
/// too many.
const CRASHES_COUNTED: u32 = 3;
const STARTS_TOO_MANY: u32 = 3;
/// Workers that a task itself has ended after which its job may be shown as failed.
const CRASHES_TO_FAIL: u32 = 2;

/// A time for which a task had no run, since its run was lost with its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunGap {
    /// The task.
    pub task: TaskKey,
    /// When its run was lost, in milliseconds.
    pub from_ms: u64,
    /// When the next one began, in milliseconds.
    pub until_ms: u64,
    /// Runs that it had lost by then.
    pub losses: u32,
}

/// What is known of a task from outside.
#[derive(Clone, Debug, Default)]
struct TaskHistory {
    live: BTreeMap<(WorkerId, RunId), ()>,
    done_at: Option<u64>,
    done_kept: bool,
    /// Runs that were done, whether that is acknowledged or not.
    done: BTreeSet<RunId>,
    failed_kept: u32,
    failed_under_lease: BTreeSet<RunId>,
    /// Starts that are wrong if ends from before them are acknowledged later.
    doubtful_starts: Vec<DoubtfulStart>,
    /// Runs that failed, whether that is acknowledged or not.
    failed: BTreeSet<RunId>,
    /// Workers that it has itself ended.
    crashes: u32,
    /// Runs that were lost with their worker, and when the last one was, if none runs since.
    losses: u32,
    lost_at: Option<u64>,
    /// Starts since it ended so many that it may be given up for good.
    starts_after: u32,
}

/// A start after ends that were not acknowledged yet.
#[derive(Clone, Debug)]
struct DoubtfulStart {
    text: String,
    /// Runs that were done before it.
    done: BTreeSet<RunId>,
    /// Runs that had failed before it, if they were as many as the task may have.
    failed: BTreeSet<RunId>,
}

/// What workers and callers have seen, and which rules were broken.
#[derive(Debug, Default)]
pub struct RuleBook {
    specs: BTreeMap<JobId, (std::sync::Arc<JobSpec>, u32)>,
    tasks: BTreeMap<TaskKey, TaskHistory>,
    accepted: BTreeSet<JobId>,
    /// Jobs of which an attempt to hand them in ended.
    attempted: BTreeSet<JobId>,
    /// Jobs of which an attempt was not surely refused.
    uncertain: BTreeSet<JobId>,
    cancelled: BTreeMap<JobId, u64>,
    succeeded: BTreeSet<JobId>,
    /// Rules that were broken.
    pub breaches: Vec<RuleBreach>,
    /// Starts seen.
    pub starts: u64,
    /// Jobs that were shown as failed without cause.
    pub without_cause: BTreeSet<JobId>,
    /// Times for which tasks had no run since theirs was lost.
    pub run_gaps: Vec<RunGap>,
    end_waits: Vec<u64>,
}

impl RuleBook {
    /// A job is about to be handed in.
    pub fn submit(&mut self, spec: &std::sync::Arc<JobSpec>, attempts: u32) {
        self.specs.insert(spec.id, (spec.clone(), attempts));
    }

    /// An attempt to hand a job in ended.
    pub fn attempt_ended(&mut self, job: JobId, accepted: bool, surely_refused: bool) {
        if accepted {
            self.accepted.insert(job);
        }
        if !surely_refused {
            self.uncertain.insert(job);
        }
        self.attempted.insert(job);
    }

    /// Whether an attempt to hand a job in has ended.
    pub fn was_answered(&self, job: JobId) -> bool {
        self.attempted.contains(&job)
    }

    /// Checks, once all is over, that nothing ran that was refused each time.
    pub fn check_refused(&mut self, now_ms: u64) {
        let started: BTreeSet<JobId> = self.tasks.keys().map(|task| task.step.job).collect();
        let wrong: Vec<JobId> = started
            .into_iter()
            .filter(|job| self.attempted.contains(job) && !self.uncertain.contains(job))
            .collect();
        for job in wrong {
            self.breach("REFUSED", now_ms, &format!("{job:016x} ran"));
        }
    }

    /// Jobs that were accepted.
    pub fn accepted(&self) -> &BTreeSet<JobId> {
        &self.accepted
    }

    /// Jobs whose cancelling was confirmed.
    pub fn cancelled(&self) -> impl Iterator<Item = &JobId> {
        self.cancelled.keys()
    }

    /// The cancelling of a job was confirmed.
    pub fn cancel_confirmed(&mut self, job: JobId, now_ms: u64) {
        self.cancelled.entry(job).or_insert(now_ms);
    }

    /// Whether a caller was told that a job is cancelled.
    pub fn is_cancelled(&self, job: JobId) -> bool {
        self.cancelled.contains_key(&job)
    }

    /// A job is not shown as open to one who asked after a caller was told that it is cancelled.
    pub fn check_cancelled(&mut self, job: JobId, answer: &CallerAnswer, now_ms: u64) {
        let open = [JobState::Pending, JobState::Running].map(CallerAnswer::State);
        if open.contains(answer) {
            let text = format!("{job:016x}: {answer:?} after its cancel was answered");
            self.breach("STALE", now_ms, &text);
        }
    }

    /// A caller was told how a job stands.
    pub fn shown(&mut self, job: JobId, state: Option<JobState>, now_ms: u64) {
        let Some((spec, _)) = self.specs.get(&job).cloned() else {
            return;
        };
        match state {
            None if self.accepted.contains(&job) => {
                self.breach("LOST", now_ms, &format!("{job:016x} is not known"));
            }
            Some(JobState::Succeeded) => {
                self.succeeded.insert(job);
                let open = all_tasks(&spec).any(|task| !self.is_done(task));
                if open {
                    self.breach("MIXED", now_ms, &format!("{job:016x} shown too early"));
                }
            }
            Some(JobState::Failed) => self.check_failed(job, now_ms),
            Some(JobState::Cancelled) if !self.cancelled.contains_key(&job) => {}
            _ => {}
        }
    }

    fn is_done(&self, task: TaskKey) -> bool {
        let done = |task: &TaskKey| {
            self.tasks
                .get(task)
                .is_some_and(|history| history.done_at.is_some())
        };
        let gang = self
            .specs
            .get(&task.step.job)
            .is_some_and(|(spec, _)| spec.steps[usize::from(task.step.step)].gang);
        if !gang {
            return done(&task);
        }
        // One good end stands for all members.
        let count = self.specs[&task.step.job].0.steps[usize::from(task.step.step)].count;
        (0..count).any(|index| done(&task.step.task(index)))
    }

    /// A worker began a run.
    pub fn started(&mut self, worker: &WorkerId, task: TaskKey, run: RunId, now_ms: u64) {
        self.starts += 1;
        let job = task.step.job;
        let Some((spec, attempts)) = self.specs.get(&job).cloned() else {
            self.breach("UNASKED", now_ms, &format!("{task} run {run}"));
            return;
        };
        let cancelled_at = self.cancelled.get(&job).copied();
        if let Some(at) = cancelled_at.filter(|at| now_ms > at + CANCEL_MS) {
            let text =
                format!("{task} run {run} on {worker}, its cancel was acknowledged at {at} ms");
            self.breach("UNASKED", now_ms, &text);
        }
        let history = self.tasks.entry(task).or_default();
        let others = history.live.keys().any(|(at, _)| at != worker);
        let done = history.done_kept;
        let failed = history.failed_kept;
        let often = history.failed.len() as u32 >= attempts;
        if (!history.done.is_empty() && !done) || (often && failed < attempts) {
            history.doubtful_starts.push(DoubtfulStart {
                text: format!("{task} run {run} on {worker} at {now_ms} ms"),
                done: history.done.clone(),
                failed: history.failed.iter().filter(|_| often).copied().collect(),
            });
        }
        history.starts_after += u32::from(history.crashes >= CRASHES_COUNTED);
        let (crashes, starts_after) = (history.crashes, history.starts_after);
        history.live.insert((worker.clone(), run), ());
        let losses = history.losses;
        let lost_at = history.lost_at.take();
        self.run_gaps.extend(lost_at.map(|from_ms| RunGap {
            task,
            from_ms,
            until_ms: now_ms,
            losses,
        }));
        if others {
            self.breach(
                "TWICE",
                now_ms,
                &format!("{task} run {run} on {worker} beside another"),
            );
        }
        if done {
            self.breach(
                "TWICE",
                now_ms,
                &format!("{task} run {run} on {worker} after a good end"),
            );
        }
        if failed >= attempts {
            self.breach(
                "BUDGET",
                now_ms,
                &format!("{task} run {run} after {failed} failures"),
            );
        }
        if starts_after == STARTS_TOO_MANY {
            let text = format!("{task} run {run}: {starts_after} starts after {crashes} crashes");
            self.breach("BUDGET", now_ms, &text);
        }
        let step = &spec.steps[usize::from(task.step.step)];
        for before in &step.after {
            let key = StepKey {
                step: *before,
                ..task.step
            };
            let count = spec.steps[usize::from(*before)].count;
            if (0..count).any(|index| !self.is_done(key.task(index))) {
                self.breach("ORDER", now_ms, &format!("{task} before step {before}"));
            }
        }
    }

    /// A run ended on a worker, or with it.
    pub fn ended(
        &mut self,
        worker: &WorkerId,
        task: TaskKey,
        run: RunId,
        how: EndKind,
        now_ms: u64,
    ) {
        let history = self.tasks.entry(task).or_default();
        history.live.remove(&(worker.clone(), run));
        if how == EndKind::Failed {
            history.failed.insert(run);
        }
        if matches!(how, EndKind::Lost | EndKind::Lapsed) {
            history.losses += 1;
            history.lost_at = Some(now_ms);
        }
        if how == EndKind::Done {
            history.done_at = Some(now_ms);
            history.done.insert(run);
        }
    }

    /// A task has ended its worker.
    pub fn crashed(&mut self, task: TaskKey) {
        self.tasks.entry(task).or_default().crashes += 1;
    }

    /// Workers that a task has itself ended.
    pub fn crashes_by(&self, task: TaskKey) -> u32 {
        self.tasks.get(&task).map_or(0, |history| history.crashes)
    }

    /// Workers that a job's tasks have ended.
    pub fn crashes_of(&self, job: JobId) -> u32 {
        let tasks = self.tasks.iter().filter(|(task, _)| task.step.job == job);
        tasks.map(|(_, history)| history.crashes).sum()
    }

    /// A job is shown as failed only if a task, or a gang, has failed as often as it may, or a task
    /// has itself ended two workers. Workers that ended under a task for another reason are none, be
    /// they as many as they may; nor are failures of a task that lasts, which has no limit.
    pub fn check_failed(&mut self, job: JobId, now_ms: u64) {
        let Some((spec, attempts)) = self.specs.get(&job) else {
            return;
        };
        let step_of = |task: &TaskKey| &spec.steps[usize::from(task.step.step)];
        let often = |failed: &BTreeSet<RunId>| failed.len() as u32 >= *attempts;
        // A gang fails as a whole: members of which each failed in the same run count once.
        let mut gang_failures: BTreeMap<StepKey, BTreeSet<RunId>> = BTreeMap::new();
        let (mut cause, mut crashes) = (false, 0);
        for (task, history) in self.tasks.iter().filter(|(task, _)| task.step.job == job) {
            let step = step_of(task);
            crashes = crashes.max(history.crashes);
            cause |= history.crashes >= CRASHES_TO_FAIL;
            cause |= !step.lasting && often(&history.failed);
            if step.gang && !step.lasting {
                let failures = gang_failures.entry(task.step).or_default();
                failures.extend(&history.failed);
            }
        }
        cause |= gang_failures.values().any(often);
        if !cause {
            self.without_cause.insert(job);
            let text =
                format!("{job:016x} is shown as failed without cause, {crashes} workers ended");
            self.breach("LOST", now_ms, &text);
        }
    }

    /// Milliseconds from each good end to its being acknowledged.
    pub fn end_waits_ms(&self) -> &[u64] {
        &self.end_waits
    }

    /// An end was acknowledged.
    pub fn kept(&mut self, task: TaskKey, how: EndKind, now_ms: u64) {
        let history = self.tasks.entry(task).or_default();
        if let (EndKind::Done, Some(at)) = (how, history.done_at) {
            self.end_waits.push(now_ms - at);
        }
        match how {
            EndKind::Done => history.done_kept = true,
            EndKind::Failed => history.failed_kept += 1,
            _ => {}
        }
    }

    /// An end was acknowledged before the lease of its worker expired: a task that had started after that end
    /// should not have.
    pub fn check_earlier_starts(&mut self, task: TaskKey, run: RunId, how: EndKind, now_ms: u64) {
        let attempts = self
            .specs
            .get(&task.step.job)
            .map(|(_, attempts)| *attempts);
        let history = self.tasks.entry(task).or_default();
        if how == EndKind::Failed {
            history.failed_under_lease.insert(run);
        }
        let failed = &history.failed_under_lease;
        let is_open = |start: &DoubtfulStart| match how {
            EndKind::Done => !start.done.contains(&run),
            EndKind::Failed => {
                let failures = start.failed.intersection(failed).count() as u32;
                attempts.is_none_or(|attempts| failures < attempts)
            }
            _ => true,
        };
        let starts = std::mem::take(&mut history.doubtful_starts);
        let (open, wrong): (Vec<_>, Vec<_>) = starts.into_iter().partition(is_open);
        history.doubtful_starts = open;
        let rule = match how {
            EndKind::Done => "TWICE",
            _ => "BUDGET",
        };
        for DoubtfulStart { text, .. } in wrong {
            let text = format!("{text}, the earlier end of run {run} is acknowledged now");
            self.breach(rule, now_ms, &text);
        }
    }

    /// Notes a broken rule.
    pub fn breach(&mut self, rule: &'static str, now_ms: u64, text: &str) {
        let text = format!("{now_ms} ms: {text}");
        self.breaches.push(RuleBreach { rule, text });
    }
}

fn all_tasks(spec: &JobSpec) -> impl Iterator<Item = TaskKey> + '_ {
    spec.steps.iter().enumerate().flat_map(|(number, step)| {
        let key = StepKey {
            job: spec.id,
            time: 0,
            step: number as u16,
        };
        (0..step.count).map(move |index| key.task(index))
    })
}
