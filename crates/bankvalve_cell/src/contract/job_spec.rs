//! Jobs as their submitters describe them.

use serde::{Deserialize, Serialize};

use crate::ids::{DomainName, JobId, ServiceName, TaskIndex, TeamName};
use crate::machine::{TaskSize, WorkerDetail};

/// Longest job id or service name, in bytes.
const NAME_LIMIT: usize = 120;
/// Most tasks in one job.
const TASK_LIMIT: u32 = 2_000;

/// What kind of work a job is, and how many tasks it has.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum JobKind {
    /// Long-running tasks that serve requests until the job is cancelled.
    Service {
        /// Name that callers use.
        service: ServiceName,
        /// Tasks to keep running.
        replicas: u32,
        /// Tasks that must stay up while workers drain.
        min_available: u32,
    },
    /// Independent tasks that each run to an end.
    Batch {
        /// Number of tasks.
        tasks: u32,
    },
    /// Tasks that start all together or not at all.
    Gang {
        /// Number of tasks.
        tasks: u32,
    },
}

/// Where a job's tasks may and may not live.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlaceRule {
    /// Regions or failure domains that are allowed; empty allows all.
    pub allow: Vec<DomainName>,
    /// Regions or failure domains that are denied; a denial wins.
    pub deny: Vec<DomainName>,
}

impl PlaceRule {
    /// Tells whether the rule admits a place.
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
        let names = |list: &[String]| list.iter().any(|name| name == region || name == domain);
        if names(&self.deny) {
            return false;
        }
        self.allow.is_empty() || names(&self.allow)
    }

    /// Tells whether the rule admits a worker.
    pub fn admits_worker(&self, detail: &WorkerDetail) -> bool {
        self.admits(&detail.region, &detail.domain)
    }
}

/// A job: what to run, how large it is and where it may live.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Id that the submitter chose; submitting it again is answered alike.
    pub id: JobId,
    /// Team that it counts against.
    pub team: TeamName,
    /// Kind and number of tasks.
    pub kind: JobKind,
    /// Declared size of each task.
    pub size: TaskSize,
    /// Declared run time of each task, in milliseconds; unused for services.
    #[serde(default)]
    pub run_time_ms: u64,
    /// Urgent work may preempt batch tasks.
    #[serde(default)]
    pub urgent: bool,
    /// Whether a task may run again when it is not known whether it ran.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Where its tasks may and may not live.
    #[serde(default)]
    pub place: PlaceRule,
    /// What the worker is to run.
    #[serde(default)]
    pub payload: String,
}

fn default_repeatable() -> bool {
    true
}

/// A field of a job that is not as it must be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpecProblem {
    /// The field.
    pub field: String,
    /// What was expected of it.
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
    /// Number of tasks that the job has.
    pub fn task_count(&self) -> u32 {
        match self.kind {
            JobKind::Service { replicas, .. } => replicas,
            JobKind::Batch { tasks } | JobKind::Gang { tasks } => tasks,
        }
    }

    /// Indexes of its tasks.
    pub fn tasks(&self) -> std::ops::Range<TaskIndex> {
        0..self.task_count()
    }

    /// Name of the service, if the job is one.
    pub fn service(&self) -> Option<&ServiceName> {
        match &self.kind {
            JobKind::Service { service, .. } => Some(service),
            _ => None,
        }
    }

    /// Tells whether the tasks must start together.
    pub fn is_gang(&self) -> bool {
        matches!(self.kind, JobKind::Gang { .. })
    }

    /// Word for the kind, as shown to people.
    pub fn kind_name(&self) -> &'static str {
        match self.kind {
            JobKind::Service { .. } => "service",
            JobKind::Batch { .. } => "batch",
            JobKind::Gang { .. } => "gang",
        }
    }

    /// Checks the fields that can be checked without knowing the cell.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not as it must be.
    pub fn check(&self) -> Result<(), SpecProblem> {
        let name_ok = |name: &str| {
            !name.is_empty()
                && name.len() <= NAME_LIMIT
                && name
                    .bytes()
                    .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte))
        };
        const NAME: &str = "1 to 120 letters, digits, '-', '_' or '.'";
        if !name_ok(&self.id) {
            return Err(SpecProblem::new("id", NAME));
        }
        if !name_ok(&self.team) {
            return Err(SpecProblem::new("team", NAME));
        }
        if self.service().is_some_and(|service| !name_ok(service)) {
            return Err(SpecProblem::new("kind.service.service", NAME));
        }
        if self.task_count() == 0 || self.task_count() > TASK_LIMIT {
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
