//! Steps that wait for placement, and the order in which they get capacity.

use std::time::Duration;

use crate::core::admission::customer_shares::ScheduledStart;
use crate::core::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, JobId, StepKey, TaskKey, WorkerId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{JobOutcome, JobRecord, RepetitionRecord, TaskPhase};

/// Multiple of its objective after which a job earns nothing.
const MAX_USEFUL_FACTOR: f64 = 3.0;

/// A step with tasks that wait for placement.
#[derive(Clone, Debug)]
pub(in crate::core) struct WaitingStep {
    pub(in crate::core) tasks: u32,
    /// Scheduled start of its job, if the job exceeded its customer's share when it arrived.
    scheduled_start: Option<ScheduledStart>,
    pub(in crate::core) gang: bool,
    /// Resources of each task. Those of a best-effort task include the CPU that it uses but does not reserve.
    pub(in crate::core) size: TaskSize,
    pub(in crate::core) customer: Option<CustomerName>,
    pub(in crate::core) priority: u32,
    /// Whether the tasks are long-running: they have no end that could be late.
    pub(in crate::core) lasting: bool,
    /// Latest start with which the job finishes within its objective, in Unix milliseconds.
    latest_start_ms: i64,
    /// Time from which the objective counts, in Unix milliseconds: the job's acceptance, due time or
    /// scheduled start.
    begin_ms: i64,
    /// Latest start with which the job still earns something, in Unix milliseconds.
    latest_useful_start_ms: i64,
    /// When a placement pass last considered the step in vain, although workers had capacity for it.
    pub(in crate::core) passed_over_at: Option<CoreTime>,
}

/// How late a job finishes at best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::core) enum Lateness {
    /// Within its objective. Urgent jobs and long-running tasks always count as in time: by the age of its
    /// job, a long-running task would always be too late, and advice for it would be requested last.
    InTime,
    /// Late, for a part of its value.
    Late,
    /// Too late to earn anything.
    TooLate,
}

/// Added to the class of steps beyond their customers' shares.
const BEYOND_SHARE_CLASS: u32 = 4;

/// Class of a waiting step, the priority of its queue and its lateness where they count, and its place among
/// steps that are alike in these. Smaller ranks come first.
pub(in crate::core) type WaitingRank = (u32, u32, Lateness, i64);

/// Rank of long-running steps that restart. They are few, and must run again in time whatever else waits.
pub(in crate::core) const FIRST_RANK: WaitingRank = (0, 0, Lateness::InTime, i64::MIN);

/// What the order of waiting steps depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StepOrder {
    /// Priority, and when the job was accepted or became due.
    Arrival,
    /// Lateness, and the latest start in time. Of the priorities, only the first counts.
    LatestStart,
    /// Priority, then lateness, then the latest start in time.
    Priority,
}

impl WaitingStep {
    fn new(
        job: &JobRecord,
        key: StepKey,
        tasks: u32,
        scheduled_start: Option<ScheduledStart>,
    ) -> Self {
        let chains = job.spec.chains_ms();
        let longest = chains.iter().copied().max().unwrap_or(0) as f64;
        let remaining = chains[usize::from(key.step)] as f64;
        let objective = job.terms.stretch * longest + job.terms.target_ms as f64;
        let begin = match job.spec.due_ms(key.time) {
            0 => job.accepted_at,
            due => due,
        } as f64;
        // The objective of a job beyond its customer's share counts from its scheduled start.
        let begin = begin
            + scheduled_start.map_or(0.0, |scheduled_start| {
                scheduled_start.wait.as_secs_f64() * 1_000.0
            });
        let step = &job.spec.steps[usize::from(key.step)];
        Self {
            tasks,
            scheduled_start,
            gang: step.gang,
            size: step.size,
            customer: job.spec.customer.clone(),
            priority: job.terms.priority,
            lasting: step.lasting,
            begin_ms: begin as i64,
            latest_start_ms: (begin + objective - remaining) as i64,
            latest_useful_start_ms: (begin + MAX_USEFUL_FACTOR * objective - remaining) as i64,
            passed_over_at: None,
        }
    }

    /// Returns whether its tasks are long-running.
    pub(in crate::core) fn is_lasting(&self) -> bool {
        self.lasting
    }

    /// Returns the time left at a time of day until the latest start with which its job ends within its
    /// objective, in seconds; negative if that has passed.
    pub(in crate::core) fn slack_s(&self, wall_ms: u64) -> f64 {
        (self.latest_start_ms - wall_ms as i64) as f64 / 1_000.0
    }

    /// Returns whether its queue has the highest priority.
    pub(in crate::core) fn is_urgent(&self) -> bool {
        self.priority == 0
    }

    /// Returns the latest time at which the step may end for its job to finish within its objective, or to
    /// still earn something if that is no longer possible, in Unix milliseconds.
    pub(in crate::core) fn latest_end_ms(&self, wall_ms: u64, estimate_ms: u64) -> i64 {
        let latest_start_ms = match self.lateness(wall_ms) {
            Lateness::InTime => self.latest_start_ms,
            Lateness::Late | Lateness::TooLate => self.latest_useful_start_ms,
        };
        latest_start_ms.saturating_add_unsigned(estimate_ms)
    }

    /// Returns whether all steps within their customers' shares come before it.
    pub(in crate::core) fn is_beyond_share(&self, now: CoreTime) -> bool {
        self.scheduled_start
            .is_some_and(|scheduled_start| now < scheduled_start.at)
    }

    /// Returns the time until its latest start in time, or zero if that has passed.
    pub(in crate::core) fn slack(&self, wall_ms: u64) -> Duration {
        let left = self.latest_start_ms.saturating_sub(wall_ms as i64);
        Duration::from_millis(left.max(0) as u64)
    }

    /// Returns how late its job can finish if it starts at a time of day.
    pub(in crate::core) fn lateness(&self, wall_ms: u64) -> Lateness {
        let now = wall_ms as i64;
        if self.priority == 0 || self.lasting || now <= self.latest_start_ms {
            Lateness::InTime
        } else if now <= self.latest_useful_start_ms {
            Lateness::Late
        } else {
            Lateness::TooLate
        }
    }

    /// Returns the rank at a time of day. Urgent steps come first, then steps that can still finish in time,
    /// then steps that can finish late, then the others; in each class, by their latest start in time. Steps
    /// beyond their customers' shares come after all these, in the same order.
    ///
    /// In the order of priorities, a smaller priority value comes before a larger one even if its step can
    /// only finish late, and a step keeps its place once its start is planned. Otherwise gangs that had become late waited for all batches of a lower priority that
    /// were still in time. Only steps that can no longer earn anything come after those of any priority.
    pub(in crate::core) fn rank(
        &self,
        now: CoreTime,
        wall_ms: u64,
        order: StepOrder,
        has_planned_start: bool,
    ) -> WaitingRank {
        // Otherwise steps of its own priority that are still in time would pass it over once it is late.
        let lateness = match self.lateness(wall_ms) {
            Lateness::Late if has_planned_start => Lateness::InTime,
            lateness => lateness,
        };
        let class = match lateness {
            Lateness::InTime => u32::from(self.priority > 0),
            Lateness::Late => 2,
            Lateness::TooLate => 3,
        };
        let is_beyond_share = self.is_beyond_share(now);
        let shift = if is_beyond_share {
            BEYOND_SHARE_CLASS
        } else {
            0
        };
        match order {
            StepOrder::Arrival => (self.priority, 0, Lateness::InTime, self.begin_ms),
            StepOrder::LatestStart => (class + shift, 0, lateness, self.latest_start_ms),
            StepOrder::Priority => {
                let class = if lateness == Lateness::Late { 1 } else { class };
                (class + shift, self.priority, lateness, self.latest_start_ms)
            }
        }
    }
}

impl EntryCore {
    /// Updates the waiting steps of jobs that have changed.
    pub(in crate::core) fn refresh_dirty_jobs(&mut self) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let dirty_jobs = std::mem::take(&mut lead.dirty_jobs);
        if !dirty_jobs.is_empty() {
            lead.placement_due = true;
        }
        for job in dirty_jobs {
            self.refresh_job(job);
        }
    }

    fn refresh_job(&mut self, id: JobId) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let first = StepKey {
            job: id,
            time: 0,
            step: 0,
        };
        let last = StepKey {
            job: id,
            time: u32::MAX,
            step: u16::MAX,
        };
        let old: Vec<StepKey> = lead
            .waiting
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        for key in old {
            lead.waiting.remove(&key);
        }
        let lasting = lead.lasting_steps.range(first..=last);
        for key in lasting.copied().collect::<Vec<_>>() {
            lead.lasting_steps.remove(&key);
        }
        let Some(job) = self.book.job(id) else {
            return;
        };
        let scheduled_start = lead.shares.scheduled_start(id);
        let mut stops = Vec::new();
        if job.outcome != JobOutcome::Open {
            for (time, record) in &job.times {
                add_placed_tasks(id, *time, record, &mut stops);
            }
        } else {
            for (time, record) in &job.times {
                for (number, spec) in job.spec.steps.iter().enumerate() {
                    let key = StepKey {
                        job: id,
                        time: *time,
                        step: number as u16,
                    };
                    if spec.lasting && !spec.gang {
                        lead.lasting_steps.insert(key);
                    }
                    let waiting = record.steps[number].waiting;
                    if waiting == 0 || !record.is_ready(&job.spec, key.step) {
                        continue;
                    }
                    if gang_is_partial(spec, waiting) {
                        add_placed_in_step(key, record, &mut stops);
                    } else {
                        lead.waiting
                            .insert(key, WaitingStep::new(job, key, waiting, scheduled_start));
                    }
                }
            }
        }
        for (task, worker) in stops {
            self.stop_run(&worker, task);
        }
    }
}

/// Returns whether only a part of a gang waits. A gang starts as a whole, so what still runs of it ends
/// first.
fn gang_is_partial(spec: &StepSpec, waiting: u32) -> bool {
    spec.gang && waiting < spec.count
}

fn add_placed_tasks(
    job: JobId,
    time: u32,
    record: &RepetitionRecord,
    into: &mut Vec<(TaskKey, WorkerId)>,
) {
    for number in 0..record.steps.len() {
        let step = number as u16;
        add_placed_in_step(StepKey { job, time, step }, record, into);
    }
}

fn add_placed_in_step(
    key: StepKey,
    record: &RepetitionRecord,
    into: &mut Vec<(TaskKey, WorkerId)>,
) {
    let tasks = &record.steps[usize::from(key.step)].tasks;
    for (index, task) in tasks.iter().enumerate() {
        if let TaskPhase::Placed { worker, .. } = &task.phase {
            into.push((key.task(index as u32), worker.clone()));
        }
    }
}
