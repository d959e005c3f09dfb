//! Jobs as callers submit them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::customer::CustomerName;
use crate::ids::{JobId, WallMillis};
use crate::queue_table::AdviceRule;

/// Maximum number of steps of a job.
const MAX_STEPS: usize = 1_000;
/// Maximum number of tasks of a step.
const MAX_STEP_TASKS: u32 = 10_000;

/// Maximum number of tasks of a job; they take about 2 MB of a leader's memory. The instance that receives a
/// larger job refuses it. If it were accepted, it would crash one leader after another.
const MAX_JOB_TASKS: u64 = 20_000;
/// Maximum size of a job's steps and texts in the ledger, in bytes: three quarters of a row, because the
/// table stores them in an encoding that takes a third more.
const MAX_JOB_BYTES: usize = 48 * 1024;
/// Maximum estimate of a task's run time, in milliseconds: a few months, far too short for sums to overflow.
const MAX_ESTIMATE_MS: u64 = 100 * 86_400_000;

/// Resources that a task requests or a worker has.
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
    /// Returns whether these resources fit into a capacity.
    pub fn fits(&self, capacity: &TaskSize) -> bool {
        self.millicores <= capacity.millicores
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Returns how many times these resources fit into a capacity at once.
    pub fn times_within(&self, capacity: &TaskSize) -> usize {
        let parts = [
            (self.millicores, capacity.millicores),
            (self.memory_mib, capacity.memory_mib),
            (self.accelerators, capacity.accelerators),
        ];
        let times = parts
            .iter()
            .filter_map(|(each, all)| all.checked_div(*each));
        times.min().map_or(usize::MAX, |times| times as usize)
    }

    /// Returns the sum of both.
    #[must_use]
    pub fn plus(&self, other: &TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns what is left after subtracting another size, but no less than zero.
    #[must_use]
    pub fn minus(&self, other: &TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the size multiplied by a count.
    #[must_use]
    pub fn times(&self, count: u64) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }
}

/// A step of a job: tasks with the same properties.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task requests.
    pub size: TaskSize,
    /// Rough estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of earlier steps that must be done first.
    pub after: Vec<u16>,
    /// Whether the tasks can only run together.
    pub gang: bool,
    /// Whether the step is a gang that is faster on one rack.
    pub same_rack: bool,
    /// Label that a worker must have; `None` for no requirement.
    pub required_label: Option<String>,
    /// Rack that holds the data; `None` if it is not known.
    pub data_rack: Option<String>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub per_worker_limit: u32,
    /// Whether copies of a task may run at the same time.
    pub speculative: bool,
    /// Whether the tasks are long-running: they run until the job is cancelled.
    pub lasting: bool,
    /// Whether the tasks save their progress.
    pub checkpoints: bool,
    /// Image that the tasks run. Tasks with the same image behave alike.
    pub image: String,
    /// Target for the tail latency of long-running tasks, in milliseconds; 0 for none.
    pub latency_target_ms: u64,
    /// Whether the tasks use only CPU that others leave. Their CPU takes none of the worker's capacity.
    pub fills: bool,
    /// Maximum number of long-running tasks that may be kept down at once; `None` for no limit.
    pub away_limit: Option<u32>,
}

impl StepSpec {
    /// Returns the resources that a task takes of a worker's capacity.
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
    /// Id, chosen by the caller.
    pub id: JobId,
    /// Name of the queue.
    pub queue: String,
    /// Text that each task is started with.
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// Number of repetitions of the steps; 0 means once, immediately.
    pub repeats: u32,
    /// When the first repetition is due.
    pub first_due_ms: WallMillis,
    /// Time between two repetitions, in milliseconds.
    pub period_ms: u64,
    /// Customer that submitted the job. `None` on a public queue, and in ledgers from before there were
    /// customers.
    #[serde(default)]
    pub customer: Option<CustomerName>,
}

/// Terms of the queue when the job was accepted. They stay valid if the queue is removed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTerms {
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task has failed permanently.
    pub attempts: u32,
    /// Factor of the job's objective: the objective is the estimated time of the job's longest chain of
    /// steps, multiplied by this, plus `target_ms`.
    pub stretch: f64,
    /// Fixed part of the job's objective, in milliseconds.
    pub target_ms: u64,
    /// Timing of the policy service that decides which workers may run a step; `None` if no advice is needed.
    pub advice: Option<AdviceRule>,
    /// Version of the configuration that the terms are from; 0 if it is not known.
    #[serde(default)]
    pub table_version: u64,
}

/// An invalid field of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobProblem {
    /// Index of the step, if the field belongs to a step.
    pub step: Option<usize>,
    /// Name of the field. The platform's interface may spell it differently.
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
    /// Returns the number of repetitions, at least one.
    pub fn times(&self) -> u32 {
        self.repeats.max(1)
    }

    /// Returns when a repetition is due, or 0 if the job does not repeat.
    pub fn due_ms(&self, time: u32) -> WallMillis {
        if self.repeats == 0 {
            return 0;
        }
        self.first_due_ms
            .saturating_add(u64::from(time).saturating_mul(self.period_ms))
    }

    /// Checks everything that can be checked without knowing the workers.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), JobProblem> {
        let problem = |step, field, expected| {
            Err(JobProblem {
                step,
                field,
                expected,
            })
        };
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return problem(None, "steps", "expected 1 to 1000 steps");
        }
        for (index, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return problem(Some(index), "count", "expected 1 to 10000 tasks");
            }
            if step.after.iter().any(|after| usize::from(*after) >= index) {
                return problem(Some(index), "after", "expected numbers of earlier steps");
            }
            if step.estimate_ms > MAX_ESTIMATE_MS {
                return problem(
                    Some(index),
                    "estimate",
                    "expected a time of 100 days at most",
                );
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_JOB_TASKS {
            return problem(None, "steps", "expected 20000 tasks in all at most");
        }
        if self.ledger_bytes() > MAX_JOB_BYTES {
            return problem(None, "steps", "expected a job of 48 KiB at most");
        }
        Ok(())
    }

    /// Returns an upper bound of the job's size in the ledger, in bytes.
    pub(crate) fn ledger_bytes(&self) -> usize {
        /// Bytes of a step's numbers and flags, and of the separators of its texts.
        const STEP_BYTES: usize = 120;
        /// Bytes of the index of an earlier step.
        const INDEX_BYTES: usize = 3;
        let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
        let steps = self.steps.iter().map(|step| {
            let texts = text(&step.required_label) + text(&step.data_rack) + step.image.len();
            STEP_BYTES + texts + INDEX_BYTES * step.after.len()
        });
        self.payload.len() + self.queue.len() + steps.sum::<usize>()
    }

    /// Returns, for each step, the estimated time of the longest chain of steps from it to the end of the
    /// job, in milliseconds.
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
