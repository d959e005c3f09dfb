//! The cell's configuration, as a versioned bundle.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{PlaceRule, SpecProblem};
use crate::ids::{BundleVersion, TeamName};
use crate::machine::TaskSize;

/// Quota, weight and placement rule of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamContract {
    /// Most resources that the team's assigned and running tasks may use together.
    pub quota: TaskSize,
    /// Share relative to other teams when capacity is short.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Regions and failure domains in which the team's tasks may run.
    #[serde(default)]
    pub place: PlaceRule,
}

fn default_weight() -> u32 {
    1
}

/// One version of the cell's configuration.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::contract::CellBundle;
///
/// let bundle: CellBundle = serde_json::from_str(
///     r#"{"version": 3, "author": "tess",
///         "teams": {"billing": {"quota": {"millicores": 64000, "memory_mib": 65536}}}}"#,
/// ).unwrap();
/// assert!(bundle.check().is_ok());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CellBundle {
    /// Version: one more than the version of the previous bundle.
    pub version: BundleVersion,
    /// Operator who wrote the bundle.
    #[serde(default)]
    pub author: String,
    /// Teams of the cell and their contracts.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamContract>,
}

impl CellBundle {
    /// Checks the bundle's fields.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field.
    pub fn check(&self) -> Result<(), SpecProblem> {
        let problem = |field: String, expected: &str| SpecProblem {
            field,
            expected: expected.into(),
        };
        if self.version == 0 {
            return Err(problem("version".into(), "a number from 1"));
        }
        if self.teams.is_empty() {
            return Err(problem("teams".into(), "at least one team"));
        }
        for (name, team) in &self.teams {
            if team.weight == 0 {
                return Err(problem(format!("teams.{name}.weight"), "a number from 1"));
            }
            if team.quota.millicores == 0 || team.quota.memory_mib == 0 {
                return Err(problem(
                    format!("teams.{name}.quota"),
                    "at least 1 millicore and 1 MiB of memory",
                ));
            }
        }
        Ok(())
    }
}
