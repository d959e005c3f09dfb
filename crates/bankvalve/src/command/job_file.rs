//! Job files for `bankvalve submit`.

use bankvalve_cell::contract::JobSpec;
use serde::{Deserialize, Serialize};

use super::CommandFailure;
use crate::settings::parse_jsonc;

/// Jobs that are submitted one by one, each with a request of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobFile {
    /// The jobs, in submission order.
    pub jobs: Vec<JobSpec>,
}

impl JobFile {
    /// Reads and validates a job file.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its file, line and field.
    pub fn load(path: &str) -> Result<Self, CommandFailure> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| CommandFailure::file(path, error))?;
        parse_jsonc(&text, Self::check).map_err(|problem| CommandFailure::file(path, problem))
    }

    fn check(&self) -> Result<(), (String, String)> {
        if self.jobs.is_empty() {
            return Err(("jobs".into(), "expected at least one job".into()));
        }
        for (index, job) in self.jobs.iter().enumerate() {
            let field_path = |field: &str| format!("jobs[{index}].{field}");
            job.check().map_err(|problem| {
                (
                    field_path(&problem.field),
                    format!("expected {}", problem.expected),
                )
            })?;
            let same = |other: &JobSpec| other.id == job.id && other.team == job.team;
            if self.jobs[..index].iter().any(same) {
                return Err((field_path("id"), "expected each id once in a team".into()));
            }
        }
        Ok(())
    }
}
