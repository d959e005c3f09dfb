//! Faults that an operator or a test can inject.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Faults of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerFault {
    /// Tasks that the worker runs fail at once, and its services answer with status 500.
    pub fails_all: bool,
    /// The worker does not answer, but its tasks keep running until their leases expire.
    pub cut_off: bool,
    /// Factor by which run and service times increase; values below 1, such as the default 0, count as 1.
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
    /// The table service neither applies nor answers requests.
    pub table_outage: bool,
    /// One-way delay to the table service in milliseconds, in addition to the delay of the plan.
    pub table_delay_ms: u64,
    /// Fraction of writes, from 0 to 1, that are applied but whose answers are lost.
    pub lose_answers: f64,
    /// The object store answers every request with status 503.
    pub object_outage: bool,
    /// Changes to the instance list do not become visible.
    pub list_frozen: bool,
    /// Faults of single workers, by worker name.
    pub workers: BTreeMap<String, WorkerFault>,
}
