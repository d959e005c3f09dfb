//! Speed of workers, learned from the run times of the tasks that ended on them.
//!
//! The slowness of a worker is the logarithm of how much longer tasks take there than on a usual worker. A
//! worker has few runs of its own, and each is an uncertain measurement. So its own average is shrunk towards
//! that of its group, the workers of the same kind in the same failure domain, and that of the group towards
//! zero.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::worker::WorkerEntry;

/// Standard deviation of a measurement of weight 1, as a logarithm: that of the estimates of usual batches.
pub(super) const UNIT_SPREAD: f64 = 0.5;
/// Measurements that the average of its group counts for in a worker's slowness. A worker that is degraded on
/// its own is known after about ten tasks.
const GROUP_WEIGHT: f64 = 3.0;
/// Measurements that the assumption of usual speed counts for in a group's slowness.
const USUAL_WEIGHT: f64 = 5.0;
/// Maximum number of measurements that a worker's average covers. Older ones lose their weight.
const MAX_WORKER_WEIGHT: f64 = 60.0;
/// Maximum number of measurements that a group's average covers.
const MAX_GROUP_WEIGHT: f64 = 2_000.0;
/// Maximum number of measurements that an average of the previous leader counts for.
const MAX_INHERITED_WEIGHT: f64 = 10.0;
/// Maximum number of groups that are told apart. Workers of further ones count as usual.
const MAX_GROUPS: usize = 128;
/// Maximum deviation of one measurement from the average in multiples of its spread, so that tasks that take
/// seven times as long as usual do not make a worker slow.
const MAX_DEVIATION_SPREADS: f64 = 2.0;
/// Minimum of this limit, so that an average follows a worker that becomes slow.
const MIN_DEVIATION_LIMIT: f64 = 0.6;

/// Width of a speed class, as a logarithm of run time.
const CLASS_WIDTH: f64 = 0.25;
/// Minimum difference of a group from the usual worker for another speed class.
const MIN_GROUP_DIFFERENCE: f64 = 0.15;
/// Minimum difference of a worker from its group for another speed class.
const MIN_WORKER_DIFFERENCE: f64 = 0.35;
/// Minimum difference for another speed class in multiples of the standard error. With 4, chance put one of 90
/// uniform workers into another class now and then.
const SIGNIFICANT_ERRORS: f64 = 5.0;

/// A group of workers that are expected to be equally fast.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerGroup<'a> {
    /// Failure domain.
    pub domain: &'a str,
    /// Label of their kind; empty if they have none.
    pub kind: &'a str,
}

impl<'a> WorkerGroup<'a> {
    /// Returns the group of a worker. Its kind is its first label; a single label is that of its rack.
    pub fn of(entry: &'a WorkerEntry) -> Self {
        let kind = entry.labels.first().filter(|_| entry.labels.len() > 1);
        Self {
            domain: &entry.domain,
            kind: kind.map_or("", String::as_str),
        }
    }
}

/// A measurement of a worker's slowness, and how certain it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SpeedSample {
    pub(super) slowness: f64,
    /// Standard deviation.
    pub(super) spread: f64,
    /// Number of measurements of [`UNIT_SPREAD`] that it counts for.
    pub(super) weight: f64,
}

/// The average of measurements of slowness: those of one worker, or of all workers of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerSpeed {
    mean: f64,
    weight: f64,
}

impl WorkerSpeed {
    /// Creates the average that the previous leader measured. It counts for few measurements.
    pub fn inherited(slowness: f64, weight: f64) -> Self {
        if !slowness.is_finite() || !weight.is_finite() {
            return Self::default();
        }
        Self {
            mean: slowness,
            weight: weight.clamp(0.0, MAX_INHERITED_WEIGHT),
        }
    }

    /// Returns the number of measurements that the average is from.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    fn record(&mut self, sample: &SpeedSample, max_weight: f64) {
        let limit = (sample.spread * MAX_DEVIATION_SPREADS).max(MIN_DEVIATION_LIMIT);
        let deviation = (sample.slowness - self.mean).clamp(-limit, limit);
        let total = self.weight + sample.weight;
        self.mean += deviation * sample.weight / total;
        self.weight = total.min(max_weight);
    }

    /// Returns the average, shrunk towards a value that counts for `prior_weight` measurements.
    fn shrunk(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.mean * self.weight + prior * prior_weight) / (self.weight + prior_weight)
    }

    /// Returns the standard error of [`shrunk`](Self::shrunk) that chance alone causes.
    fn standard_error(&self, prior_weight: f64) -> f64 {
        UNIT_SPREAD * self.weight.sqrt() / (self.weight + prior_weight)
    }
}

/// What is expected of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ExpectedSpeed {
    /// Logarithm of how much longer tasks take there than on a usual worker.
    pub slowness: f64,
    /// Speed class; a higher one is slower. It is 0 for all workers unless speeds differ by more than chance
    /// explains.
    pub class: i64,
}

/// Measurements of a group of workers, for the log and for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeasuredWorkerGroup {
    /// Failure domain.
    pub domain: String,
    /// Label of the kind.
    pub kind: String,
    /// Logarithm of how much longer tasks take on its workers than on usual ones.
    pub slowness: f64,
    /// Number of measurements that it is from.
    pub weight: f64,
}

/// The averages of all groups.
#[derive(Clone, Debug, Default)]
pub struct GroupSpeeds {
    /// By failure domain, then by kind.
    groups: BTreeMap<String, BTreeMap<String, WorkerSpeed>>,
    count: usize,
    /// Mean over all workers of the averages of their groups. It is subtracted from them, because an error
    /// that all estimates have in common must not count as slowness of all workers.
    usual: f64,
}

impl GroupSpeeds {
    fn get(&self, group: &WorkerGroup<'_>) -> WorkerSpeed {
        let kinds = self.groups.get(group.domain);
        let speed = kinds.and_then(|kinds| kinds.get(group.kind));
        speed.copied().unwrap_or_default()
    }

    fn get_mut(&mut self, group: &WorkerGroup<'_>) -> Option<&mut WorkerSpeed> {
        let kinds = self.groups.get(group.domain);
        if !kinds.is_some_and(|kinds| kinds.contains_key(group.kind)) {
            if self.count >= MAX_GROUPS {
                return None;
            }
            self.count += 1;
            let kinds = self.groups.entry(group.domain.to_owned()).or_default();
            kinds.insert(group.kind.to_owned(), WorkerSpeed::default());
        }
        self.groups.get_mut(group.domain)?.get_mut(group.kind)
    }

    /// Records a measurement for a worker and its group.
    pub(super) fn record(
        &mut self,
        group: &WorkerGroup<'_>,
        worker: &mut WorkerSpeed,
        sample: &SpeedSample,
    ) {
        worker.record(sample, MAX_WORKER_WEIGHT);
        if let Some(speed) = self.get_mut(group) {
            speed.record(sample, MAX_GROUP_WEIGHT);
        }
    }

    /// Returns the slowness of a worker.
    pub fn slowness(&self, group: &WorkerGroup<'_>, worker: &WorkerSpeed) -> f64 {
        worker.shrunk(self.group_average(group), GROUP_WEIGHT) - self.usual
    }

    fn group_average(&self, group: &WorkerGroup<'_>) -> f64 {
        self.get(group).shrunk(self.usual, USUAL_WEIGHT)
    }

    /// Returns the slowness and the speed class of a worker.
    pub fn expected(&self, group: &WorkerGroup<'_>, worker: &WorkerSpeed) -> ExpectedSpeed {
        let speed = self.get(group);
        let of_group = speed.shrunk(self.usual, USUAL_WEIGHT) - self.usual;
        let slowness = worker.shrunk(of_group + self.usual, GROUP_WEIGHT) - self.usual;
        let group_difference = significant(
            of_group,
            MIN_GROUP_DIFFERENCE,
            speed.standard_error(USUAL_WEIGHT),
        );
        let worker_difference = significant(
            slowness - of_group,
            MIN_WORKER_DIFFERENCE,
            worker.standard_error(GROUP_WEIGHT),
        );
        let class = ((group_difference + worker_difference) / CLASS_WIDTH).round() as i64;
        ExpectedSpeed { slowness, class }
    }

    /// Sets the usual speed to the mean of that of all workers, of which these are the groups.
    pub fn set_usual<'a>(&mut self, workers: impl Iterator<Item = WorkerGroup<'a>>) {
        let (mut sum, mut count) = (0.0, 0.0);
        for group in workers {
            sum += self.group_average(&group);
            count += 1.0;
        }
        if count > 0.0 {
            self.usual = sum / count;
        }
    }

    /// Returns the measurements of all groups.
    pub fn measured(&self) -> Vec<MeasuredWorkerGroup> {
        let groups = self.groups.iter();
        groups
            .flat_map(|(domain, kinds)| {
                kinds.iter().map(move |(kind, speed)| (domain, kind, speed))
            })
            .map(|(domain, kind, speed)| MeasuredWorkerGroup {
                domain: domain.clone(),
                kind: kind.clone(),
                slowness: speed.shrunk(self.usual, USUAL_WEIGHT) - self.usual,
                weight: speed.weight,
            })
            .collect()
    }

    /// Takes over the measurements of the previous leader.
    pub(super) fn inherit(&mut self, measured: &[MeasuredWorkerGroup]) {
        for group in measured {
            let name = WorkerGroup {
                domain: &group.domain,
                kind: &group.kind,
            };
            if let Some(speed) = self.get_mut(&name) {
                *speed = WorkerSpeed::inherited(group.slowness, group.weight);
            }
        }
    }
}

/// Returns a difference if it is large enough and chance does not explain it, or else 0.
fn significant(difference: f64, min_difference: f64, standard_error: f64) -> f64 {
    let limit = min_difference.max(standard_error * SIGNIFICANT_ERRORS);
    if difference.abs() > limit {
        difference
    } else {
        0.0
    }
}
