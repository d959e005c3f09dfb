//! Leases under which workers run tasks.
//!
//! The end of a lease is a time on the worker's own clock. The owner computes
//! it from the last clock reading that the worker reported, not from the time
//! at which a command arrives. A delayed command therefore cannot extend a
//! lease past the end that the owner expects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{CellTime, WorkerClock};

/// Largest assumed relative difference between the rates of two clocks (0.01 is one percent).
pub const CLOCK_RATE_BOUND: f64 = 0.01;

/// A clock reading that a worker reported, from which its owner computes lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerClockReading {
    /// Reading of the worker's clock, in milliseconds.
    pub reading: WorkerClock,
    /// Time on the owner's clock at which the owner received the reading.
    pub received: CellTime,
}

impl WorkerClockReading {
    /// Returns the end of a lease of this length, as a time on the worker's clock.
    pub fn lease_end(&self, length: Duration) -> WorkerClock {
        self.reading + length.as_millis() as WorkerClock
    }

    /// Returns the time on the owner's clock by which a lease granted from this reading has ended, even
    /// if the owner's clock runs faster than the worker's by `CLOCK_RATE_BOUND`.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use bankvalve_cell::contract::WorkerClockReading;
    ///
    /// let lease = WorkerClockReading { reading: 500, received: Duration::from_secs(10) };
    /// let length = Duration::from_secs(15);
    /// assert_eq!(lease.lease_end(length), 15_500);
    /// assert!(lease.expires_by(length) > Duration::from_secs(25));
    /// ```
    pub fn expires_by(&self, length: Duration) -> CellTime {
        self.received + length.mul_f64(1.0 + CLOCK_RATE_BOUND)
    }
}
