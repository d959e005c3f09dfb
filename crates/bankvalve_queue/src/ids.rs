//! Identifiers and times.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Time on the instance's monotonic clock, since the instance's start.
pub type CoreTime = Duration;
/// Time of day in milliseconds since 1970.
pub type WallMillis = u64;
/// Id of a job, chosen by the caller.
pub type JobId = u64;
/// Number of a run of a task. Each start gets a higher number.
pub type RunId = u64;
/// Fencing token. A worker refuses calls with a lower token than the highest it has seen.
pub type FenceToken = u64;
/// Id of a worker. A worker that restarts may keep its id.
pub type WorkerId = Arc<str>;
/// Name of a failure domain.
pub type DomainName = String;
/// Number of an instance's connection to a worker, unique across restarts of the instance.
pub type ConnectionId = u64;
/// Number that matches an answer to its request.
pub type Ticket = u64;

/// Identifies a step in one repetition of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepKey {
    /// The job.
    pub job: JobId,
    /// Number of the repetition, from 0.
    pub time: u32,
    /// Index of the step in the job, from 0.
    pub step: u16,
}

impl StepKey {
    /// Returns the key of a task of the step.
    pub fn task(self, index: u32) -> TaskKey {
        TaskKey { step: self, index }
    }
}

impl std::str::FromStr for StepKey {
    type Err = ();

    /// Parses the format that [`fmt::Display`] writes.
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

/// Identifies a task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// The step.
    pub step: StepKey,
    /// Index of the task in the step, from 0.
    pub index: u32,
}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl std::str::FromStr for TaskKey {
    type Err = ();

    /// Parses the format that [`fmt::Display`] writes.
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
