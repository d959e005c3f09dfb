//! Behavior of a task on a stand-in worker, read from its payload.

use bankvalve_cell::machine::TaskSize;
use serde::{Deserialize, Serialize};

/// Behavior of a task. A task whose payload is not a script runs as declared and succeeds.
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
    /// Actual run time in milliseconds; `None` for the declared run time.
    pub run_ms: Option<u64>,
    /// Whether the task fails when its run time ends.
    pub fail: bool,
    /// Memory that the task actually uses, in MiB; `None` for the declared memory.
    pub memory_mib: Option<u32>,
    /// CPU that the task actually uses, in millicores; `None` for the declared CPU.
    pub millicores: Option<u32>,
}

impl TaskScript {
    /// Parses a payload. Returns the default script if the payload is not a script.
    pub fn from_payload(payload: &str) -> Self {
        serde_json::from_str(payload).unwrap_or_default()
    }

    /// Returns the resources that the task actually uses, given its declared size.
    pub fn usage(&self, declared: TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.unwrap_or(declared.millicores),
            memory_mib: self.memory_mib.unwrap_or(declared.memory_mib),
            accelerators: declared.accelerators,
        }
    }
}
