//! Priority inversions: starts of steps that a waiting step of a higher priority could have used.
//!
//! They are found after the fact, from what callers stated and were told and from what workers ran, and not
//! from the leader's plans: a check that asked those would find them right by definition.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use bankvalve_queue::{StepKey, WorkerId};
use bankvalve_standin::site::SitePolicy;

use super::site_hard_load::{KINDS, WORKER_SIZE};
use super::site_load_record::{LoadRecord, RunSpan};
use super::SiteWorld;

/// Time from a decision to start a task until the start is seen, and from an end until the leader knows of it,
/// in milliseconds. Capacity that changes hands within it counts as taken.
const DECISION_MS: u64 = 100;
/// Time for which a step has waited at least for its start to be possible, besides that of two requests to
/// the policy service about so many workers, in milliseconds.
const WAITED_MS: u64 = 500;
const ASKED_WORKERS: usize = 24;
/// Multiple of its objective after which a job earns nothing.
const USEFUL_FACTOR: f64 = 3.0;

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Inversions {
    /// Pairs of a waiting step and one of a lower priority that started, without whose tasks the waiting one
    /// would have fitted, with the time of the first such start in milliseconds.
    pub pairs: BTreeMap<(StepKey, StepKey), u64>,
    /// Steps that would have fitted at such a start without all tasks of lower priorities that had started
    /// since they were late.
    pub overtaken: BTreeSet<StepKey>,
}

impl fmt::Display for Inversions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let higher: BTreeSet<StepKey> = self.pairs.keys().map(|(higher, _)| *higher).collect();
        write!(
            f,
            "inversions: {} of {} steps by single steps, {} steps by several together",
            self.pairs.len(),
            higher.len(),
            self.overtaken.len()
        )
    }
}

/// A step, with what callers and workers know of it.
#[derive(Debug)]
struct SeenStep<'a> {
    key: StepKey,
    kind: usize,
    gang: bool,
    count: u32,
    /// When it could first have started, in milliseconds.
    ready_ms: u64,
    /// Latest start within its job's objective, and with which the job still earns something, as its caller
    /// stated them.
    latest_start_ms: f64,
    latest_useful_start_ms: f64,
    runs: Vec<&'a RunSpan>,
    job_in_time: bool,
}

impl SeenStep<'_> {
    /// Tasks that wait at a time and have done so since `since_ms`.
    fn waiting_tasks(&self, since_ms: u64, at_ms: u64) -> u32 {
        if self.ready_ms > since_ms {
            return 0;
        }
        // A run counts until its end was known, a good one for good.
        let taken = |run: &&&RunSpan| {
            let over = run.end.is_some_and(|(end, _)| end < since_ms);
            run.from_ms <= at_ms + DECISION_MS && (!over || run.done_ms().is_some())
        };
        let taken = self.runs.iter().filter(taken);
        let taken = taken.map(|run| run.task).collect::<BTreeSet<_>>().len() as u32;
        match self.gang && taken > 0 {
            true => 0,
            false => self.count - taken,
        }
    }

    /// Tells whether it waits at a time, beyond its latest start but not beyond all use, and has done so for
    /// long enough.
    fn is_overdue(&self, at_ms: u64) -> bool {
        let decided = at_ms.saturating_sub(DECISION_MS) as f64;
        let since = at_ms.saturating_sub(self.least_wait_ms());
        (self.latest_start_ms..=self.latest_useful_start_ms).contains(&decided)
            && self.waiting_tasks(since, at_ms) > 0
    }

    /// Time for which it must have waited, in milliseconds.
    fn least_wait_ms(&self) -> u64 {
        let request = KINDS[self.kind].advice.time_for(ASKED_WORKERS);
        WAITED_MS + 2 * request.as_millis() as u64
    }
}

/// Finds the inversions of a load. Jobs have no customers there, so that all are within limits and shares.
pub(super) fn find_inversions(world: &SiteWorld, record: &LoadRecord) -> Inversions {
    let steps = seen_steps(world, record);
    let seen = SeenRuns::of(world, record);
    let mut allowed: BTreeMap<StepKey, Vec<usize>> = BTreeMap::new();
    let mut starts: BTreeMap<u64, BTreeSet<StepKey>> = BTreeMap::new();
    for step in steps.values().filter(|step| step.job_in_time) {
        for run in &step.runs {
            starts.entry(run.from_ms).or_default().insert(step.key);
        }
    }
    let mut found = Inversions::default();
    let starts = starts.into_iter();
    for (at, started) in starts.filter(|(at, _)| record.is_settled(*at)) {
        let waits = |step: &&SeenStep<'_>| step.is_overdue(at);
        let waiting: Vec<&SeenStep<'_>> = steps.values().filter(waits).collect();
        if waiting.is_empty() {
            continue;
        }
        let moment = seen.around(at);
        for higher in waiting {
            let workers = allowed
                .entry(higher.key)
                .or_insert_with(|| seen.allowed_workers(higher));
            let waited = |lower: &&SeenStep<'_>| {
                lower.kind > higher.kind && lower.ready_ms + DECISION_MS <= at
            };
            for lower in started.iter().map(|key| &steps[key]).filter(waited) {
                let of_lower = |run: &SeenRun<'_>| run.span.task.step == lower.key;
                if seen.fits(&moment, higher, workers, of_lower) {
                    let pair = (higher.key, lower.key);
                    found.pairs.entry(pair).or_insert(at);
                }
                let late_ms = higher.latest_start_ms as u64 + DECISION_MS;
                let overtook =
                    |run: &SeenRun<'_>| run.kind > higher.kind && run.span.from_ms >= late_ms;
                if !found.overtaken.contains(&higher.key)
                    && seen.fits(&moment, higher, workers, overtook)
                {
                    found.overtaken.insert(higher.key);
                }
            }
        }
    }
    found
}

fn seen_steps<'a>(world: &SiteWorld, record: &'a LoadRecord) -> BTreeMap<StepKey, SeenStep<'a>> {
    let mut runs: BTreeMap<StepKey, Vec<&RunSpan>> = BTreeMap::new();
    for run in &record.runs {
        runs.entry(run.task.step).or_default().push(run);
    }
    let mut steps = BTreeMap::new();
    for (id, job) in &record.jobs {
        let (Some(accepted), Some(spec)) = (job.accepted_ms, world.specs.get(id)) else {
            continue;
        };
        let kind = &KINDS[job.kind];
        let estimates: Vec<f64> = spec
            .steps
            .iter()
            .map(|step| step.estimate_ms as f64)
            .collect();
        let objective = kind.stretch * estimates.iter().sum::<f64>() + kind.target_ms as f64;
        let ends = runs.range(first_step(*id)..=last_step(*id));
        let end = ends
            .flat_map(|(_, runs)| runs)
            .filter_map(|run| run.done_ms())
            .max();
        let over = world.shown.contains_key(id);
        let in_time = end.is_some_and(|end| over && end <= job.asked_ms + job.objective_ms);
        let mut ready = Some(accepted);
        for (number, step) in spec.steps.iter().enumerate() {
            let Some(ready_ms) = ready else {
                break;
            };
            let key = StepKey {
                step: number as u16,
                ..first_step(*id)
            };
            let runs = runs.get(&key).cloned().unwrap_or_default();
            let done: BTreeMap<_, _> = runs
                .iter()
                .filter_map(|run| Some((run.task, run.done_ms()?)))
                .collect();
            let all_done = done.len() == step.count as usize;
            ready = done.values().max().copied().filter(|_| all_done);
            let begin = accepted as f64 - estimates[number..].iter().sum::<f64>();
            let seen = SeenStep {
                key,
                kind: job.kind,
                gang: step.gang,
                count: step.count,
                ready_ms,
                latest_start_ms: begin + objective,
                latest_useful_start_ms: begin + USEFUL_FACTOR * objective,
                runs,
                job_in_time: in_time,
            };
            steps.insert(key, seen);
        }
    }
    steps
}

fn first_step(job: bankvalve_queue::JobId) -> StepKey {
    StepKey {
        job,
        time: 0,
        step: 0,
    }
}

fn last_step(job: bankvalve_queue::JobId) -> StepKey {
    StepKey {
        step: u16::MAX,
        ..first_step(job)
    }
}

/// A run, with the index of its worker, and the millicores and memory that it takes.
#[derive(Clone, Copy)]
struct SeenRun<'a> {
    span: &'a RunSpan,
    kind: usize,
    worker: usize,
    size: (u64, u64),
}

/// All runs, in the order of their starts, and the workers.
struct SeenRuns<'a> {
    world: &'a SiteWorld,
    workers: Vec<(&'a WorkerId, (u64, u64))>,
    runs: Vec<SeenRun<'a>>,
}

/// What runs around a time, and whether each worker lives.
struct SiteMoment<'a> {
    at_ms: u64,
    runs: Vec<SeenRun<'a>>,
    lives: Vec<bool>,
}

impl<'a> SeenRuns<'a> {
    fn of(world: &'a SiteWorld, record: &'a LoadRecord) -> Self {
        let workers: Vec<_> = record
            .workers
            .iter()
            .map(|(id, seen)| (id, *seen))
            .collect();
        let numbers: BTreeMap<&WorkerId, usize> = record.workers.keys().zip(0..).collect();
        let runs = record.runs.iter().filter_map(|span| {
            Some(SeenRun {
                span,
                kind: record.jobs[&span.task.step.job].kind,
                worker: *numbers.get(&span.worker)?,
                size: size_of(world, span.task.step),
            })
        });
        let runs = runs.collect();
        Self {
            world,
            workers,
            runs,
        }
    }

    fn around(&self, at_ms: u64) -> SiteMoment<'a> {
        let (since, until) = (at_ms - DECISION_MS, at_ms + DECISION_MS);
        let begun = self.runs.partition_point(|run| run.span.from_ms <= until);
        let here = |run: &&SeenRun<'_>| run.span.end.is_none_or(|(end, _)| end >= since);
        let lives = |(_, seen): &(_, (u64, u64))| seen.0 <= since && seen.1 >= until;
        SiteMoment {
            at_ms,
            runs: self.runs[..begun].iter().filter(here).copied().collect(),
            lives: self.workers.iter().map(lives).collect(),
        }
    }

    fn allowed_workers(&self, step: &SeenStep<'_>) -> Vec<usize> {
        let policy = SitePolicy {
            good_percent: KINDS[step.kind].good_percent,
            valid_ms: 0,
        };
        let numbers = 0..self.workers.len();
        let is_good = |number: &usize| policy.is_good(step.key, self.workers[*number].0);
        numbers.filter(is_good).collect()
    }

    /// Tells whether all waiting tasks of a step would have fitted on the workers that the policy allows,
    /// without some of the runs. Of runs that start soon after, those of a lower priority do not count.
    fn fits(
        &self,
        moment: &SiteMoment<'_>,
        step: &SeenStep<'_>,
        allowed: &[usize],
        without: impl Fn(&SeenRun<'_>) -> bool,
    ) -> bool {
        let mut taken = vec![(0, 0); self.workers.len()];
        for run in &moment.runs {
            let counts = run.span.from_ms <= moment.at_ms || run.kind <= step.kind;
            if counts && !without(run) {
                let taken: &mut (u64, u64) = &mut taken[run.worker];
                taken.0 += run.size.0;
                taken.1 += run.size.1;
            }
        }
        let size = size_of(self.world, step.key);
        let live = allowed.iter().filter(|worker| moment.lives[**worker]);
        let fitting = live.map(|worker| {
            let (millicores, mib) = taken[*worker];
            let cores = WORKER_SIZE.millicores.saturating_sub(millicores) / size.0;
            cores.min(WORKER_SIZE.memory_mib.saturating_sub(mib) / size.1)
        });
        let waiting = step.waiting_tasks(moment.at_ms - DECISION_MS, moment.at_ms);
        fitting.sum::<u64>() >= u64::from(waiting)
    }
}

/// Millicores and memory of a task of a step.
fn size_of(world: &SiteWorld, step: StepKey) -> (u64, u64) {
    let size = world.specs[&step.job].steps[usize::from(step.step)].resources();
    (size.millicores, size.memory_mib)
}
