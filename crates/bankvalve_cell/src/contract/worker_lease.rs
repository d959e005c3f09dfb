//! The lease under which a worker runs tasks.
//!
//! A lease ends at a reading of the worker's own clock. The owner computes
//! it from the last reading that the worker reported, so a command that is
//! delayed on its way can never extend a lease past what the owner expects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CellTime, WorkerClock};

/// Largest relative difference assumed between the rates of two clocks.
pub const CLOCK_RATE_BOUND: f64 = 0.01;

/// A worker's clock reading and when the owner received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLease {
    /// The worker's reading, in milliseconds.
    pub reading: WorkerClock,
    /// When the owner received the reading, by the owner's clock.
    pub received: CellTime,
}

impl WorkerLease {
    /// End of a lease of the given length, as a reading of the worker's clock.
    pub fn granted_until(&self, length: Duration) -> WorkerClock {
        self.reading + length.as_millis() as WorkerClock
    }

    /// Time by the owner's clock after which a lease granted from this reading has surely ended.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use bankvalve_cell::contract::WorkerLease;
    ///
    /// let lease = WorkerLease { reading: 500, received: Duration::from_secs(10) };
    /// let length = Duration::from_secs(15);
    /// assert_eq!(lease.granted_until(length), 15_500);
    /// assert!(lease.expires_by(length) > Duration::from_secs(25));
    /// ```
    pub fn expires_by(&self, length: Duration) -> CellTime {
        self.received + length.mul_f64(1.0 + CLOCK_RATE_BOUND)
    }
}
