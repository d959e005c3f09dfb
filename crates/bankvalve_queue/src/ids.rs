//! Names and times.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time on the instance's steady clock, since its start.
pub type CoreTime = Duration;
/// Time of day in milliseconds since 1970.
pub type WallMillis = u64;
/// Id of a job, chosen by its caller.
pub type JobId = u64;
/// Number of a task's run; it rises with each start.
pub type RunId = u64;
/// Number that a worker compares: it does nothing for a lower one than it has seen.
pub type FenceToken = u64;
/// Id of one life of a worker.
pub type WorkerId = Arc<str>;
/// Number of a connection, as the instance counts its own over all of its lives.
pub type ConnectionId = u64;
/// Number by which an answer finds its question.
pub type Ticket = u64;

/// A step of one time of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Which of the job's times, from 0.
    pub time: u32,
    /// Which of the job's steps, from 0.
    pub step: u16,
}

impl StepKey {
    /// A task of the step.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl std::str::FromStr for StepKey {
    type Err = ();

    /// Reads what [`fmt::Display`] writes.
    fn from_str(text: &str) -> Result<Self, ()> {
        let mut parts = text.splitn(3, '.');
        let mut next = || parts.next().ok_or(());
        Ok(StepKey {
            job: u64::from_str_radix(next()?, 16).map_err(|_| ())?,
            time: next()?.parse().map_err(|_| ())?,
            step: next()?.parse().map_err(|_| ())?,
        })
    }
}

impl fmt::Display for StepKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}.{}", self.job, self.time, self.step)
    }
}

/// A task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Which of the step's tasks, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl std::str::FromStr for TaskKey {
    type Err = ();

    /// Reads what [`fmt::Display`] writes.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::TaskKey;
    ///
    /// let key: TaskKey = "5c0e7a21d94b36f8.0.1.17".parse().unwrap();
    /// assert_eq!(key.step.step, 1);
    /// assert_eq!(key.to_string(), "5c0e7a21d94b36f8.0.1.17");
    /// ```
    fn from_str(text: &str) -> Result<Self, ()> {
        let (step, index) = text.rsplit_once('.').ok_or(())?;
        Ok(TaskKey {
            step: step.parse()?,
            index: index.parse().map_err(|_| ())?,
        })
    }
}
