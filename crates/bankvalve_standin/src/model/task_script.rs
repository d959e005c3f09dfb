//! What a task does on a stand-in worker, read from its payload.

use bankvalve_cell::machine::TaskSize;
use serde::{Deserialize, Serialize};

/// What a task does; a payload that is no script runs as declared and succeeds.
///
/// # Examples
///
/// ```
/// use bankvalve_standin::model::TaskScript;
///
/// let script = TaskScript::from_payload(r#"{"run_ms": 20, "fail": true}"#);
/// assert_eq!((script.run_ms, script.fail), (Some(20), true));
/// assert!(!TaskScript::from_payload("credit run").fail);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TaskScript {
    /// True run time in milliseconds; the declared one if absent.
    pub run_ms: Option<u64>,
    /// Whether the task fails at its end.
    pub fail: bool,
    /// Memory that it really uses in MiB; the declared one if absent.
    pub memory_mib: Option<u32>,
    /// Processors that it really uses in millicores; the declared ones if absent.
    pub millicores: Option<u32>,
}

impl TaskScript {
    /// Reads a script from a payload.
    pub fn from_payload(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_default()
    }

    /// What the task uses, given its declared size.
    pub fn usage(&self, declared: TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.unwrap_or(declared.millicores),
            memory_mib: self.memory_mib.unwrap_or(declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
