//! Which workers a step prefers by their speed.
//!
//! Where the speeds of workers differ, a step goes to the slowest workers on which it ends in its objective
//! about as likely as on the fastest. Fast workers are left to steps that need them. All members of a gang
//! work until the slowest has ended, so that they go to workers of alike speed.

use std::time::Duration;

use crate::core::forecast::run_times::{RunGroup, RunTimeModel};

/// Loss of the probability to end in time for which a step may go to slower workers.
const MAX_PROBABILITY_LOSS: f64 = 0.1;
/// Added to the rank of classes that are slower than wanted, so that they come after all others.
const TOO_SLOW: i64 = 1_000;

/// Preference of a step for workers by their speed class; a higher class is slower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpeedPreference {
    /// None, or no class differs from the others.
    Any,
    /// Workers of this class first, then faster ones, the least fast first, then slower ones.
    UpTo(i64),
}

/// A speed class of workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedClass {
    /// Its number; a higher one is slower.
    pub class: i64,
    /// Mean slowness of its workers.
    pub slowness: f64,
}

/// A step whose preference is decided.
#[derive(Clone, Copy, Debug)]
pub struct StepTiming<'a> {
    /// Group of its tasks.
    pub group: RunGroup<'a>,
    /// Estimated run time of each.
    pub estimate: Duration,
    /// Number of tasks.
    pub tasks: usize,
    /// Time within which its tasks must end.
    pub time: Duration,
}

impl SpeedPreference {
    /// Returns the preference of a step, with the classes in the order of their speed, the fastest first.
    pub fn of(model: &RunTimeModel, classes: &[SpeedClass], step: &StepTiming<'_>) -> Self {
        if classes.len() < 2 {
            return SpeedPreference::Any;
        }
        let in_time = |class: &SpeedClass| {
            let slowness = class.slowness;
            model.probability_within(&step.group, step.estimate, slowness, step.tasks, step.time)
        };
        let wanted = in_time(&classes[0]) - MAX_PROBABILITY_LOSS;
        let slowest = classes.iter().rev().find(|class| in_time(class) >= wanted);
        SpeedPreference::UpTo(slowest.unwrap_or(&classes[0]).class)
    }

    /// Returns the preference for the fastest workers.
    pub fn fastest(classes: &[SpeedClass]) -> Self {
        match classes {
            [] | [_] => SpeedPreference::Any,
            [first, ..] => SpeedPreference::UpTo(first.class),
        }
    }

    /// Returns the rank of a class; the smallest is the best.
    pub fn rank(self, class: i64) -> i64 {
        match self {
            SpeedPreference::Any => 0,
            SpeedPreference::UpTo(wanted) if class <= wanted => wanted - class,
            SpeedPreference::UpTo(wanted) => TOO_SLOW + class - wanted,
        }
    }

    /// Returns whether no class comes after a class for being slower than wanted.
    pub fn includes(self, class: i64) -> bool {
        match self {
            SpeedPreference::Any => true,
            SpeedPreference::UpTo(wanted) => class <= wanted,
        }
    }

    /// Returns the preference of a gang: for the fastest class up to which there is room for all its tasks,
    /// but not for a faster one than this. `rooms` has the class of each worker, and how many tasks it takes.
    pub fn for_gang(self, tasks: usize, rooms: impl Iterator<Item = (i64, usize)>) -> Self {
        let SpeedPreference::UpTo(wanted) = self else {
            return self;
        };
        let mut rooms: Vec<(i64, usize)> = rooms.collect();
        rooms.sort_unstable();
        let mut total = 0_usize;
        for (class, room) in rooms {
            total = total.saturating_add(room);
            if total >= tasks {
                return SpeedPreference::UpTo(class.max(wanted));
            }
        }
        self
    }
}
