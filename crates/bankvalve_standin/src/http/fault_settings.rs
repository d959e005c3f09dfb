//! Faults that a person or a test turns on.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Faults of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFault {
    /// Everything that it starts fails at once.
    pub fails_all: bool,
    /// It does not answer, though its tasks run on until their leases end.
    pub cut_off: bool,
    /// Factor by which run and service times grow; zero counts as one.
    pub slowness: f64,
}

/// Faults of the platform, all off by default.
///
/// # Examples
///
/// ```
/// use bankvalve_standin::FaultSettings;
///
/// let faults: FaultSettings = serde_json::from_str(r#"{"table_outage": true}"#).unwrap();
/// assert!(faults.table_outage && !faults.object_outage);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// The table service answers nothing and does nothing.
    pub table_outage: bool,
    /// One-way delay to the table service in milliseconds, besides the plan's.
    pub table_delay_ms: u64,
    /// Share of writes that take effect though their answer is lost.
    pub lose_answers: f64,
    /// The object store answers nothing.
    pub object_outage: bool,
    /// The instance list no longer changes.
    pub list_frozen: bool,
    /// Faults by worker.
    pub workers: BTreeMap<String, WorkerFault>,
}
