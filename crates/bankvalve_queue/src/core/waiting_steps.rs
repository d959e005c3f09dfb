//! Steps whose turn has come, and in which order they get room.

use super::customer_shares::JobTurn;
use super::EntryCore;
use crate::customer::CustomerName;
use crate::ids::{CoreTime, JobId, StepKey, TaskKey, WorkerId};
use crate::job::{StepSpec, TaskSize};
use crate::ledger::{JobOutcome, JobRecord, TaskPhase, TimeRecord};

/// A job that takes this many times its objective earns nothing more.
const LATE_FACTOR: f64 = 3.0;

/// A step with tasks that wait for room.
#[derive(Clone, Debug)]
pub(super) struct WaitingStep {
    pub(super) tasks: u32,
    /// When its job has its turn, if its customer had sent more than its share when it came.
    turn: Option<JobTurn>,
    pub(super) gang: bool,
    /// Room that each of its tasks takes, with the processor of those that fill.
    pub(super) size: TaskSize,
    pub(super) customer: Option<CustomerName>,
    priority: u32,
    /// Whether its tasks last: they have no end that could be late.
    lasting: bool,
    /// Latest start with which the job still ends within its objective, by the time of day.
    on_time_ms: i64,
    begin_ms: i64,
    /// Latest start with which it still earns anything.
    late_ms: i64,
}

/// How a job can still end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lateness {
    /// Within its objective; an urgent one counts so whatever the time, and one whose tasks last: by its
    /// job's age it would be too late for good, and be asked about last of all.
    InTime,
    /// Late, for a part of its worth.
    Late,
    /// Too late to be of use.
    TooLate,
}

/// Added to the class of steps beyond their customers' shares.
const BEYOND_CLASS: u32 = 4;

/// Order of waiting steps; smaller ones come first.
pub(super) type WaitingRank = (u32, i64);

/// Rank of steps with tasks that last and are away: few, and bound to run again in time whatever
/// else waits.
pub(super) const FIRST_RANK: WaitingRank = (0, i64::MIN);

impl WaitingStep {
    fn new(job: &JobRecord, key: StepKey, tasks: u32, turn: Option<JobTurn>) -> Self {
        let chains = job.spec.chains_ms();
        let whole = chains.iter().copied().max().unwrap_or(0) as f64;
        let rest = chains[usize::from(key.step)] as f64;
        let objective = job.terms.stretch * whole + job.terms.target_ms as f64;
        let begin = match job.spec.due_ms(key.time) {
            0 => job.accepted_at,
            due => due,
        } as f64;
        // What is beyond its customer's share is in time if it is by its turn.
        let begin = begin + turn.map_or(0.0, |turn| turn.wait.as_secs_f64() * 1_000.0);
        let step = &job.spec.steps[usize::from(key.step)];
        Self {
            tasks,
            turn,
            gang: step.gang,
            size: step.size,
            customer: job.spec.customer.clone(),
            priority: job.terms.priority,
            lasting: step.lasting,
            begin_ms: begin as i64,
            on_time_ms: (begin + objective - rest) as i64,
            late_ms: (begin + LATE_FACTOR * objective - rest) as i64,
        }
    }

    /// Tells whether it is of a queue that comes first.
    pub(super) fn is_urgent(&self) -> bool {
        self.priority == 0
    }

    /// Tells whether all that is within its customer's share comes before it.
    pub(super) fn is_beyond_share(&self, now: CoreTime) -> bool {
        self.turn.is_some_and(|turn| now < turn.at)
    }

    /// How its job can still end if it starts at a time of day.
    pub(super) fn lateness(&self, wall_ms: u64) -> Lateness {
        let now = wall_ms as i64;
        if self.priority == 0 || self.lasting || now <= self.on_time_ms {
            Lateness::InTime
        } else if now <= self.late_ms {
            Lateness::Late
        } else {
            Lateness::TooLate
        }
    }

    /// Rank at a time of day: urgent work first, then what can still end in time by its latest
    /// start, then what can still end late, then the rest; after all that, in the same order, what
    /// is beyond its customer's share.
    ///
    /// Without regard to time, by priority and acceptance alone.
    pub(super) fn rank(&self, now: CoreTime, wall_ms: u64, by_time: bool) -> WaitingRank {
        if !by_time {
            return (self.priority, self.begin_ms);
        }
        let class = match self.lateness(wall_ms) {
            Lateness::InTime => u32::from(self.priority > 0),
            Lateness::Late => 2,
            Lateness::TooLate => 3,
        };
        let class = if self.is_beyond_share(now) {
            class + BEYOND_CLASS
        } else {
            class
        };
        (class, self.on_time_ms)
    }
}

impl EntryCore {
    /// Looks again at the steps of jobs to which something happened.
    pub(super) fn refresh_dirty_jobs(&mut self) {
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
        let turn = lead.shares.turn_of(id);
        let mut stops = Vec::new();
        if job.outcome != JobOutcome::Open {
            for (time, record) in &job.times {
                placed_tasks(id, *time, record, &mut stops);
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
                        placed_of_step(key, record, &mut stops);
                    } else {
                        lead.waiting
                            .insert(key, WaitingStep::new(job, key, waiting, turn));
                    }
                }
            }
        }
        for (task, worker) in stops {
            self.begin_stop_run(&worker, task);
        }
    }
}

/// A gang starts whole; what is left of a broken one ends first.
fn gang_is_partial(spec: &StepSpec, waiting: u32) -> bool {
    spec.gang && waiting < spec.count
}

fn placed_tasks(job: JobId, time: u32, record: &TimeRecord, into: &mut Vec<(TaskKey, WorkerId)>) {
    for number in 0..record.steps.len() {
        let step = number as u16;
        placed_of_step(StepKey { job, time, step }, record, into);
    }
}

fn placed_of_step(key: StepKey, record: &TimeRecord, into: &mut Vec<(TaskKey, WorkerId)>) {
    let tasks = &record.steps[usize::from(key.step)].tasks;
    for (index, task) in tasks.iter().enumerate() {
        if let TaskPhase::Placed { worker, .. } = &task.phase {
            into.push((key.task(index as u32), worker.clone()));
        }
    }
}
