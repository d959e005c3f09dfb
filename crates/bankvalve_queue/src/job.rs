//! Jobs as callers hand them in.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::customer::CustomerName;
use crate::ids::{JobId, WallMillis};
use crate::queue_table::AdviceRule;

/// Most steps of a job.
const STEP_LIMIT: usize = 1_000;
/// Most tasks of a step.
const TASK_LIMIT: u32 = 10_000;

/// Most tasks of a job: some 2 MB of a leader's memory. What no instance bears is refused by the one
/// that the caller reached; accepted, it would end one leader after the other.
const JOB_TASKS: u64 = 20_000;
/// Bytes that the steps and texts of a job may take in the ledger: three quarters of a row, since the
/// table keeps them in an encoding that takes a third more.
const JOB_BYTES: usize = 48 * 1024;
/// Longest guess of a task's time, in milliseconds: some months, far from where sums overflow.
const ESTIMATE_MS: u64 = 100 * 86_400_000;

/// Room that a task takes or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskSize {
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl TaskSize {
    /// Tells whether this fits into some room.
    pub fn fits(&self, room: &TaskSize) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// The sum.
    #[must_use]
    pub fn plus(&self, other: &TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left after taking another away, not below zero.
    #[must_use]
    pub fn minus(&self, other: &TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The size so many times.
    #[must_use]
    pub fn times(&self, count: u64) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

/// One step of a job: tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Room that each task takes.
    pub size: TaskSize,
    /// Rough guess of a task's time in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks work only together.
    pub gang: bool,
    /// A gang that is faster on one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub required_label: Option<String>,
    /// Rack where the data lies.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 sets no limit.
    pub per_worker_limit: u32,
    /// Copies may run side by side.
    pub speculative: bool,
    /// The tasks run until the job is cancelled.
    pub lasting: bool,
    /// The tasks save their progress.
    pub checkpoints: bool,
    /// What the tasks run; alike ones behave alike.
    pub image: String,
    /// Tail of the answers' times that lasting tasks are to keep, in milliseconds; 0 for none.
    pub latency_target_ms: u64,
    /// The tasks use only what others leave; their processors take no room.
    pub fills: bool,
    /// How many lasting tasks may be held away at once; none sets no limit.
    pub away_limit: Option<u32>,
}

impl StepSpec {
    /// Room that a task takes on a worker.
    pub fn resources(&self) -> TaskSize {
        if self.fills {
            TaskSize {
                millicores: 0,
                ..self.size
            }
        } else {
            self.size
        }
    }
}

/// A job as its caller described it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id that the caller chose.
    pub id: JobId,
    /// Name of the queue.
    pub queue: String,
    /// Text that each task is started with.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// How often the steps run; 0 means once and at once.
    pub repeats: u32,
    /// When the first time falls due.
    pub first_due_ms: WallMillis,
    /// Milliseconds between two times.
    pub period_ms: u64,
    /// Customer that handed it in; none on a public queue, and in ledgers of before there were any.
    #[serde(default)]
    pub customer: Option<CustomerName>,
}

/// What the queue promised when the job was accepted; it holds if the queue goes away.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Service whose workers run the tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs after which a task has failed for good.
    pub attempts: u32,
    /// Factor on the job's longest chain that makes up its objective.
    pub stretch: f64,
    /// Time added to that, in milliseconds.
    pub target_ms: u64,
    /// Policy that says which workers may run a step.
    pub advice: Option<AdviceRule>,
}

/// A field of a job that is not as it must be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobProblem {
    /// Index of the step, if the field is one of a step.
    pub step: Option<usize>,
    /// The field, by the product's name.
    pub field: &'static str,
    /// What was expected of it.
    pub expected: &'static str,
}

impl fmt::Display for JobProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.step {
            Some(step) => write!(f, "steps[{step}].{}: {}", self.field, self.expected),
            None => write!(f, "{}: {}", self.field, self.expected),
        }
    }
}

impl JobSpec {
    /// Number of times that the steps run.
    pub fn times(&self) -> u32 {
        self.repeats.max(1)
    }

    /// When a time falls due; 0 for a job without times.
    pub fn due_ms(&self, time: u32) -> WallMillis {
        if self.repeats == 0 {
            return 0;
        }
        self.first_due_ms
            .saturating_add(u64::from(time).saturating_mul(self.period_ms))
    }

    /// Checks what can be checked without knowing the workers.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not as it must be.
    pub fn check(&self) -> Result<(), JobProblem> {
        let problem = |step, field, expected| {
            Err(JobProblem {
                step,
                field,
                expected,
            })
        };
        if self.steps.is_empty() || self.steps.len() > STEP_LIMIT {
            return problem(None, "steps", "expected 1 to 1000 steps");
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > TASK_LIMIT {
                return problem(Some(index), "count", "expected 1 to 10000 tasks");
            }
            if step.after.iter().any(|after| usize::from(*after) >= index) {
                return problem(Some(index), "after", "expected numbers of earlier steps");
            }
            if step.estimate_ms > ESTIMATE_MS {
                return problem(
                    Some(index),
                    "estimate",
                    "expected a time of 100 days at most",
                );
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > JOB_TASKS {
            return problem(None, "steps", "expected 20000 tasks in all at most");
        }
        if self.ledger_bytes() > JOB_BYTES {
            return problem(None, "steps", "expected a job of 48 KiB at most");
        }
        Ok(())
    }

    /// Bytes that it takes in the ledger, at most.
    fn ledger_bytes(&self) -> usize {
        /// Numbers and flags of a step, and what parts its texts.
        const STEP: usize = 120;
        /// A number of an earlier step.
        const NUMBER: usize = 3;
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            let texts = text(&step.required_label) + text(&step.data_rack) + step.image.len();
            STEP + texts + NUMBER * step.after.len()
        });
        self.payload.len() + self.queue.len() + steps.sum::<usize>()
    }

    /// Length of the longest chain of estimated times from a step to the end, for each step.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::{JobSpec, StepSpec};
    ///
    /// let first = StepSpec { count: 1, estimate_ms: 100, ..Default::default() };
    /// let second = StepSpec { after: vec![0], ..first.clone() };
    /// let job = JobSpec { steps: vec![first, second], ..Default::default() };
    /// assert_eq!(job.chains_ms(), [200, 100]);
    /// ```
    pub fn chains_ms(&self) -> Vec<u64> {
        let mut chains: Vec<u64> = self.steps.iter().map(|step| step.estimate_ms).collect();
        for index in (0..self.steps.len()).rev() {
            for after in &self.steps[index].after {
                let before = usize::from(*after);
                let through = self.steps[before].estimate_ms + chains[index];
                chains[before] = chains[before].max(through);
            }
        }
        chains
    }
}
