//! Resources that tasks need and capacity that workers have.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Processors, memory and accelerators that a task needs or a worker has.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::machine::TaskSize;
///
/// let worker = TaskSize { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };
/// let task = TaskSize { millicores: 2_000, memory_mib: 4_096, accelerators: 0 };
/// assert!(task.fits_in(worker));
/// assert_eq!(worker.minus(task).millicores, 14_000);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct TaskSize {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl TaskSize {
    /// Returns whether this size fits into `capacity` in every dimension.
    pub fn fits_in(self, capacity: TaskSize) -> bool {
        self.millicores <= capacity.millicores
            && self.memory_mib <= capacity.memory_mib
            && self.accelerators <= capacity.accelerators
    }

    /// Adds two sizes. Saturates at the maximum in each dimension.
    pub fn plus(self, other: TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other`. Saturates at zero in each dimension.
    pub fn minus(self, other: TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies by a number of tasks. Saturates at the maximum in each dimension.
    pub fn times(self, count: u32) -> TaskSize {
        TaskSize {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the larger value of each dimension.
    pub fn max(self, other: TaskSize) -> TaskSize {
        TaskSize {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many tasks of size `task` fit into this capacity at the same time.
    pub fn tasks_that_fit(self, task: TaskSize) -> u32 {
        let ratio = |capacity: u32, need: u32| capacity.checked_div(need).unwrap_or(u32::MAX);
        ratio(self.millicores, task.millicores)
            .min(ratio(self.memory_mib, task.memory_mib))
            .min(ratio(self.accelerators, task.accelerators))
    }

    /// Returns the largest share of `total` that this size uses in any dimension.
    ///
    /// The share is from 0 to 1 if the size fits into `total`. A dimension in which `total` is zero
    /// counts as 0.
    pub fn share_of(self, total: TaskSize) -> f64 {
        let ratio = |part: u32, whole: u32| {
            if whole == 0 {
                0.0
            } else {
                f64::from(part) / f64::from(whole)
            }
        };
        ratio(self.millicores, total.millicores)
            .max(ratio(self.memory_mib, total.memory_mib))
            .max(ratio(self.accelerators, total.accelerators))
    }
}

impl fmt::Display for TaskSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} millicores, {} MiB, {} accelerators",
            self.millicores, self.memory_mib, self.accelerators
        )
    }
}
