//! Customers of a site: their keys, shares and limits.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::job::TaskSize;

/// Name of a customer.
pub type CustomerName = Arc<str>;

/// Keyed digest of a customer's key. The key itself is not stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Creates a digest from its bytes.
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

/// Maximum resources of a customer's running tasks; `None` for no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLimit {
    /// Thousandths of a core.
    pub millicores: Option<u64>,
    /// Memory in MiB.
    pub memory_mib: Option<u64>,
    /// Accelerators.
    pub accelerators: Option<u64>,
}

impl RunLimit {
    /// Returns whether nothing is limited.
    pub fn is_unlimited(&self) -> bool {
        *self == Self::default()
    }

    /// Returns whether these resources are within the limit.
    pub fn admits(&self, running: &TaskSize) -> bool {
        let within = |max: Option<u64>, used: u64| max.is_none_or(|max| used <= max);
        within(self.millicores, running.millicores)
            && within(self.memory_mib, running.memory_mib)
            && within(self.accelerators, running.accelerators)
    }

    /// Returns how many tasks of a size may start in addition to what runs.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_queue::{RunLimit, TaskSize};
    ///
    /// let limit = RunLimit { millicores: Some(10_000), ..RunLimit::default() };
    /// let task = TaskSize { millicores: 3_000, ..TaskSize::default() };
    /// assert_eq!(limit.tasks_beside(&task.times(1), &task), 2);
    /// assert_eq!(RunLimit::default().tasks_beside(&task, &task), u64::MAX);
    /// ```
    pub fn tasks_beside(&self, running: &TaskSize, task: &TaskSize) -> u64 {
        let count = |max: Option<u64>, used: u64, each: u64| match max {
            Some(max) if each > 0 => max.saturating_sub(used) / each,
            _ => u64::MAX,
        };
        count(self.millicores, running.millicores, task.millicores)
            .min(count(self.memory_mib, running.memory_mib, task.memory_mib))
            .min(count(
                self.accelerators,
                running.accelerators,
                task.accelerators,
            ))
    }

    /// Returns whether any of the resources has a lower limit than in another limit.
    pub fn is_lower_than(&self, other: &RunLimit) -> bool {
        let lower = |own: Option<u64>, other: Option<u64>| {
            own.is_some_and(|own| other.is_none_or(|other| own < other))
        };
        lower(self.millicores, other.millicores)
            || lower(self.memory_mib, other.memory_mib)
            || lower(self.accelerators, other.accelerators)
    }
}

/// A customer and what the operator grants it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CustomerRule {
    /// Name.
    pub name: CustomerName,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Its share while there is not enough capacity for all, in jobs per second; 0 for none.
    pub weight: f64,
    /// Limit of its running tasks.
    pub limit: RunLimit,
}

/// The caller of a request, identified by the key in the request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerIdentity {
    /// Customer that the key belongs to; `None` for a request without a key on a public queue.
    pub customer: Option<CustomerName>,
    /// Digest of the key, if there is one.
    pub key: Option<KeyDigest>,
}
