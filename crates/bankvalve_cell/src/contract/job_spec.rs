//! Jobs, as submitters describe them.

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, JobId, ServiceName, TaskIndex, TeamName};
use crate::machine::{TaskSize, WorkerDetail};

/// Maximum length of a job id, team name or service name, in bytes.
const MAX_NAME_BYTES: usize = 120;
/// Maximum number of tasks in one job.
const MAX_TASKS: u32 = 2_000;

/// Kind of a job and the number of its tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobKind {
    /// Long-running tasks that serve requests until the job is cancelled.
    Service {
        /// Name by which callers address the service.
        service: ServiceName,
        /// Number of tasks to keep running.
        replicas: u32,
        /// Minimum number of tasks that keep running while tasks move off draining or leaving workers.
        min_available: u32,
    },
    /// Independent tasks that each run to completion.
    Batch {
        /// Number of tasks.
        tasks: u32,
    },
    /// Tasks that start together or not at all.
    Gang {
        /// Number of tasks.
        tasks: u32,
    },
}

/// Placement rule: the regions and failure domains in which tasks may run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlaceRule {
    /// Allowed regions or failure domains. An empty list allows all of them.
    pub allow: Vec<DomainName>,
    /// Denied regions or failure domains. They take precedence over `allow`.
    pub deny: Vec<DomainName>,
}

impl PlaceRule {
    /// Returns whether the rule admits a failure domain of a region.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::contract::PlaceRule;
    ///
    /// let rule = PlaceRule { allow: vec!["tasmania".into()], deny: vec!["burnie".into()] };
    /// assert!(rule.admits("tasmania", "hobart"));
    /// assert!(!rule.admits("tasmania", "burnie"));
    /// ```
    pub fn admits(&self, region: &str, domain: &str) -> bool {
        let contains_name =
            |list: &[String]| list.iter().any(|name| name == region || name == domain);
        if contains_name(&self.deny) {
            return false;
        }
        self.allow.is_empty() || contains_name(&self.allow)
    }

    /// Returns whether the rule admits the region and failure domain of a worker.
    pub fn admits_worker(&self, detail: &WorkerDetail) -> bool {
        self.admits(&detail.region, &detail.domain)
    }
}

/// A job: what to run, the size of its tasks and where they may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id that the submitter chose. Submitting the same job again is accepted and changes nothing; a
    /// different job with this id is refused.
    pub id: JobId,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Kind and number of tasks.
    pub kind: JobKind,
    /// Declared size of each task.
    pub size: TaskSize,
    /// Declared run time of each task, in milliseconds; unused for services.
    #[serde(default)]
    pub run_time_ms: u64,
    /// Whether the job is urgent. Urgent tasks may preempt batch tasks.
    #[serde(default)]
    pub urgent: bool,
    /// Whether a task may run again if it is unknown whether it has run.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Regions and failure domains in which the tasks may run.
    #[serde(default)]
    pub place: PlaceRule,
    /// What the worker runs, passed to it unchanged.
    #[serde(default)]
    pub payload: String,
}

fn default_repeatable() -> bool {
    true
}

/// An invalid field of a job or of a bundle, and what was expected of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecProblem {
    /// Path of the field, such as `kind.service.min_available`.
    pub field: String,
    /// Description of the valid values.
    pub expected: String,
}

impl SpecProblem {
    fn new(field: &str, expected: &str) -> Self {
        Self {
            field: field.into(),
            expected: expected.into(),
        }
    }
}

impl JobSpec {
    /// Returns the number of tasks.
    pub fn task_count(&self) -> u32 {
        match self.kind {
            JobKind::Service { replicas, .. } => replicas,
            JobKind::Batch { tasks } | JobKind::Gang { tasks } => tasks,
        }
    }

    /// Returns the indexes of the tasks.
    pub fn tasks(&self) -> std::ops::Range<TaskIndex> {
        0..self.task_count()
    }

    /// Returns the name of the service, or `None` if the job is of another kind.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.kind {
            JobKind::Service { service, .. } => Some(service),
            _ => None,
        }
    }

    /// Returns whether the tasks must start together.
    pub fn is_gang(&self) -> bool {
        matches!(self.kind, JobKind::Gang { .. })
    }

    /// Returns the name of the kind used in command output.
    pub fn kind_name(&self) -> &'static str {
        match self.kind {
            JobKind::Service { .. } => "service",
            JobKind::Batch { .. } => "batch",
            JobKind::Gang { .. } => "gang",
        }
    }

    /// Checks the fields that do not depend on the cell's bundle or workers.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), SpecProblem> {
        let is_valid_name = |name: &str| {
            !name.is_empty()
                && name.len() <= MAX_NAME_BYTES
                && name
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        };
        const NAME: &str = "1 to 120 letters, digits, '-', '_' or '.'";
        if !is_valid_name(&self.id) {
            return Err(SpecProblem::new("id", NAME));
        }
        if !is_valid_name(&self.team) {
            return Err(SpecProblem::new("team", NAME));
        }
        if self
            .service()
            .is_some_and(|service| !is_valid_name(service))
        {
            return Err(SpecProblem::new("kind.service.service", NAME));
        }
        if self.task_count() == 0 || self.task_count() > MAX_TASKS {
            return Err(SpecProblem::new("kind", "1 to 2000 tasks"));
        }
        if let JobKind::Service {
            replicas,
            min_available,
            ..
        } = self.kind
        {
            if min_available > replicas {
                return Err(SpecProblem::new(
                    "kind.service.min_available",
                    "no more than replicas",
                ));
            }
        }
        if self.size.millicores == 0 || self.size.memory_mib == 0 {
            return Err(SpecProblem::new(
                "size",
                "at least 1 millicore and 1 MiB of memory",
            ));
        }
        Ok(())
    }
}
