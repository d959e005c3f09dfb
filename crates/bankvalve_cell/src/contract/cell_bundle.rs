//! The versioned bundle of configuration that governs a cell.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{PlaceRule, SpecProblem};
use crate::ids::{BundleVersion, TeamName};
use crate::machine::TaskSize;

/// What a team is entitled to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamContract {
    /// Room that the team's placed tasks may take together.
    pub quota: TaskSize,
    /// Share relative to other teams when room is short.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Where all of the team's work may and may not live.
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
    /// Version; one more than that of the bundle it follows.
    pub version: BundleVersion,
    /// Operator who wrote it.
    #[serde(default)]
    pub author: String,
    /// Teams and what they are entitled to.
    #[serde(default)]
    pub teams: BTreeMap<TeamName, TeamContract>,
}

impl CellBundle {
    /// Checks the bundle's fields.
    ///
    /// # Errors
    ///
    /// Returns the first field that is not as it must be.
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
