//! Run times of tasks, learned from the runs that ended well.
//!
//! The measured run time of a task differs from its estimate by the error of the estimate and by the speed of
//! its worker. The model separates the two: it learns the distribution of the ratio of measured to estimated
//! time, less the worker's slowness, by image, and the slowness of workers. A step whose image has few
//! measurements is expected to behave like its queue.
//!
//! The distribution has a heavy tail, so expectations are quantiles, which a few very long runs do not move.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::core::forecast::worker_speed::{
    GroupSpeeds, MeasuredWorkerGroup, SpeedSample, WorkerGroup, WorkerSpeed, UNIT_SPREAD,
};

/// Quantiles that are kept of each distribution. The last ones tell when a step of many tasks ends.
const QUANTILES: [f64; QUANTILE_COUNT] = [
    0.05, 0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995, 0.998,
];
const QUANTILE_COUNT: usize = 11;
/// Index of the median in [`QUANTILES`].
const MEDIAN: usize = 2;
/// Indexes of the quartiles in [`QUANTILES`].
const QUARTILES: (usize, usize) = (1, 3);
/// Interquartile range of a normal distribution in standard deviations.
const QUARTILE_SPREADS: f64 = 1.349;
/// The quantiles without any measurement: a normal distribution with a standard deviation of 0.5.
const ASSUMED: [f64; QUANTILE_COUNT] = [
    -0.822, -0.337, 0.0, 0.337, 0.641, 0.822, 0.940, 1.027, 1.163, 1.288, 1.439,
];
/// Probability of the upper run time.
const UPPER: f64 = 0.9;

/// Ratios are recorded in thousandths, between these bounds.
const RATIO_UNIT: f64 = 1_000.0;
const MIN_RATIO: u64 = 20;
const MAX_RATIO: u64 = 200_000;
/// Significant decimal digits of a recorded ratio.
const RATIO_DIGITS: u8 = 2;
/// Count of a measurement of weight 1 in a histogram, so that smaller weights can be recorded.
const COUNT_UNIT: f64 = 16.0;
/// Number of measurements after which the older ones lose half of their weight.
const MAX_WEIGHT: f64 = 2_000.0;
/// Measurements that a distribution's prior counts for: the queue for an image, and for a queue [`ASSUMED`].
const PRIOR_WEIGHT: f64 = 5.0;
/// The quantiles are computed again after this share of new measurements.
const REFRESH_DIVISOR: f64 = 32.0;
/// Maximum number of measurements that a distribution of the previous leader counts for.
const MAX_INHERITED_WEIGHT: f64 = 50.0;
/// Maximum number of images, and of queues, that are told apart; a distribution takes about 7 kB.
const MAX_GROUPS: usize = 200;

/// Correlation of the estimate errors of two tasks of a step. A caller states one estimate for all of them, so
/// the errors of a step of many tasks say little more than that of one.
const STEP_CORRELATION: f64 = 0.3;
/// Bounds of a distribution's spread. Without a minimum, a few equal run times would outweigh all others.
const SPREAD_RANGE: (f64, f64) = (0.2, 1.0);

/// Share of the time that a run has taken so far which it takes at least to end, if it has lasted longer than
/// any run before.
const MIN_LEFT_PERCENT: u32 = 10;

/// A group of tasks with alike errors of their estimates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunGroup<'a> {
    /// Image that the tasks run; empty if none is stated.
    pub image: &'a str,
    /// Queue of their job.
    pub queue: &'a str,
}

/// A measured run that ended well.
#[derive(Clone, Copy, Debug)]
pub struct RunSample<'a> {
    /// Group of the task.
    pub group: RunGroup<'a>,
    /// Number of tasks of its step.
    pub tasks: u32,
    /// Estimated run time.
    pub estimate: Duration,
    /// Measured run time.
    pub ran: Duration,
    /// Group of the worker.
    pub worker: WorkerGroup<'a>,
}

/// Expected time of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunTimeEstimate {
    /// Median.
    pub typical: Duration,
    /// The 0.9 quantile.
    pub upper: Duration,
}

impl RunTimeEstimate {
    /// Returns an estimate whose error is not known.
    pub fn exact(time: Duration) -> Self {
        Self {
            typical: time,
            upper: time,
        }
    }
}

/// Quantiles of the logarithm of measured to estimated time, as [`QUANTILES`] lists them.
type LogQuantiles = [f64; QUANTILE_COUNT];

/// The distribution of the ratio of measured to estimated time of a group, on a usual worker.
#[derive(Clone, Debug)]
struct RatioDistribution {
    ratios: Histogram<u32>,
    /// Number of measurements.
    weight: f64,
    /// Number of them since the quantiles were computed.
    unused_weight: f64,
    /// Quantiles, shrunk towards the prior.
    quantiles: LogQuantiles,
}

impl RatioDistribution {
    fn new(prior: &LogQuantiles) -> Self {
        let ratios = Histogram::new_with_bounds(1, MAX_RATIO, RATIO_DIGITS);
        Self {
            ratios: ratios.expect("the bounds are valid"),
            weight: 0.0,
            unused_weight: 0.0,
            quantiles: *prior,
        }
    }

    fn add(&mut self, log_ratio: f64, weight: f64) {
        let ratio = (log_ratio.exp() * RATIO_UNIT) as u64;
        let count = (weight * COUNT_UNIT).round().max(1.0) as u32;
        self.ratios
            .saturating_record_n(ratio.clamp(MIN_RATIO, MAX_RATIO), count);
        self.weight += weight;
        self.unused_weight += weight;
    }

    fn record(&mut self, log_ratio: f64, weight: f64, prior: &LogQuantiles) {
        self.add(log_ratio, weight);
        if self.weight >= MAX_WEIGHT {
            self.halve();
        }
        if self.unused_weight * REFRESH_DIVISOR >= self.weight {
            self.refresh(prior);
        }
    }

    /// Halves the weight of all measurements.
    fn halve(&mut self) {
        let mut halved = self.ratios.clone();
        halved.reset();
        for step in self.ratios.iter_recorded() {
            let count = step.count_at_value().div_ceil(2);
            halved.saturating_record_n(step.value_iterated_to(), count);
        }
        self.ratios = halved;
        self.weight /= 2.0;
    }

    fn refresh(&mut self, prior: &LogQuantiles) {
        self.unused_weight = 0.0;
        let share = self.weight / (self.weight + PRIOR_WEIGHT);
        for (index, quantile) in QUANTILES.into_iter().enumerate() {
            let ratio = self.ratios.value_at_quantile(quantile).max(MIN_RATIO) as f64;
            let own = (ratio / RATIO_UNIT).ln();
            self.quantiles[index] = own * share + prior[index] * (1.0 - share);
        }
    }

    /// Creates the distribution that the previous leader measured, from its quantiles.
    fn inherited(measured: &MeasuredRunGroup, prior: &LogQuantiles) -> Option<Self> {
        let quantiles = <[f32; QUANTILE_COUNT]>::try_from(measured.quantiles.as_slice()).ok()?;
        let quantiles = quantiles.map(f64::from);
        let weight = f64::from(measured.weight).clamp(0.0, MAX_INHERITED_WEIGHT);
        let mut distribution = Self::new(prior);
        let mut below = 0.0;
        for (index, quantile) in QUANTILES.into_iter().enumerate() {
            let next = QUANTILES.get(index + 1).copied().unwrap_or(1.0);
            let until = (quantile + next) / 2.0;
            distribution.add(quantiles[index], weight * (until - below));
            below = until;
        }
        distribution.weight = weight;
        distribution.refresh(prior);
        Some(distribution)
    }
}

/// Returns the standard deviation of the middle of a distribution.
fn spread_of(quantiles: &LogQuantiles) -> f64 {
    let range = quantiles[QUARTILES.1] - quantiles[QUARTILES.0];
    (range / QUARTILE_SPREADS).clamp(SPREAD_RANGE.0, SPREAD_RANGE.1)
}

/// Returns the logarithm of the ratio that is not exceeded with a probability.
fn log_ratio_at(quantiles: &LogQuantiles, probability: f64) -> f64 {
    let above = QUANTILES.partition_point(|quantile| *quantile < probability);
    if above == 0 {
        return quantiles[0];
    }
    if above == QUANTILE_COUNT {
        return quantiles[QUANTILE_COUNT - 1];
    }
    let (low, high) = (QUANTILES[above - 1], QUANTILES[above]);
    let share = (probability - low) / (high - low);
    quantiles[above - 1] + share * (quantiles[above] - quantiles[above - 1])
}

/// Returns the probability that a ratio is not exceeded, by its logarithm.
fn probability_of(quantiles: &LogQuantiles, log_ratio: f64) -> f64 {
    let above = quantiles.partition_point(|quantile| *quantile < log_ratio);
    if above == 0 {
        return 0.0;
    }
    if above == QUANTILE_COUNT {
        return 1.0;
    }
    let (low, high) = (quantiles[above - 1], quantiles[above]);
    let share = (log_ratio - low) / (high - low).max(f64::MIN_POSITIVE);
    QUANTILES[above - 1] + share * (QUANTILES[above] - QUANTILES[above - 1])
}

/// Measurements of an image or a queue, for the log and for the next leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeasuredRunGroup {
    /// Name of the image or the queue.
    pub name: String,
    /// Whether it is an image.
    pub is_image: bool,
    /// Number of measurements that it is from.
    pub weight: f32,
    /// Quantiles of the logarithm of measured to estimated time, on a usual worker.
    pub quantiles: Vec<f32>,
}

impl MeasuredRunGroup {
    /// Returns the factor of the median run time, and of the 0.9 quantile, over the estimate.
    pub fn factors(&self) -> (f64, f64) {
        let at = |index: usize| f64::from(self.quantiles.get(index).copied().unwrap_or(0.0)).exp();
        (at(MEDIAN), at(MEDIAN + 2))
    }
}

/// What a leader has measured, in the form in which it is sent to the standbys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MeasuredModel {
    /// Images and queues.
    pub runs: Vec<MeasuredRunGroup>,
    /// Groups of workers.
    pub workers: Vec<MeasuredWorkerGroup>,
}

/// The leader's model of run times and of the speed of groups of workers.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use bankvalve_queue::{RunGroup, RunSample, RunTimeModel, WorkerGroup, WorkerSpeed};
///
/// let mut model = RunTimeModel::default();
/// let mut worker = WorkerSpeed::default();
/// let group = RunGroup { image: "resize", queue: "batch" };
/// let second = Duration::from_secs(1);
/// for _ in 0..1_000 {
///     model.record(
///         &RunSample {
///             group,
///             tasks: 1,
///             estimate: second,
///             ran: second * 2,
///             worker: WorkerGroup { domain: "d1", kind: "" },
///         },
///         &mut worker,
///     );
/// }
/// let expected = model.expected(&group, second, 0.0).typical;
/// assert!(expected > second && expected < second * 3);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RunTimeModel {
    images: BTreeMap<String, RatioDistribution>,
    queues: BTreeMap<String, RatioDistribution>,
    speeds: GroupSpeeds,
}

impl RunTimeModel {
    /// Records a measured run, and what it says about the speed of its worker.
    pub fn record(&mut self, sample: &RunSample<'_>, worker: &mut WorkerSpeed) {
        if sample.estimate.is_zero() {
            return;
        }
        let ratio = sample.ran.as_secs_f64() / sample.estimate.as_secs_f64();
        let log_ratio = ratio.max(MIN_RATIO as f64 / RATIO_UNIT).ln();
        let correlated = 1.0 + STEP_CORRELATION * f64::from(sample.tasks.saturating_sub(1));
        let weight = 1.0 / correlated;
        let quantiles = self.quantiles(&sample.group);
        let (median, spread) = (quantiles[MEDIAN], spread_of(quantiles));
        let slowness = self.speeds.slowness(&sample.worker, worker);
        let queue = record_in(
            &mut self.queues,
            sample.group.queue,
            log_ratio - slowness,
            weight,
            &ASSUMED,
        );
        if !sample.group.image.is_empty() {
            record_in(
                &mut self.images,
                sample.group.image,
                log_ratio - slowness,
                weight,
                &queue,
            );
        }
        let speed = SpeedSample {
            slowness: log_ratio - median,
            spread,
            weight: weight * (UNIT_SPREAD / spread).powi(2),
        };
        self.speeds.record(&sample.worker, worker, &speed);
    }

    /// Returns the expected run time of a task on a worker of some slowness.
    pub fn expected(
        &self,
        group: &RunGroup<'_>,
        estimate: Duration,
        slowness: f64,
    ) -> RunTimeEstimate {
        let quantiles = self.quantiles(group);
        let time = |probability| scaled(estimate, log_ratio_at(quantiles, probability) + slowness);
        RunTimeEstimate {
            typical: time(0.5),
            upper: time(UPPER),
        }
    }

    /// Returns the time within which a number of tasks that start together have all ended, on workers of some
    /// slowness, with a probability of 0.9.
    pub fn expected_of_all(
        &self,
        group: &RunGroup<'_>,
        estimate: Duration,
        slowness: f64,
        tasks: usize,
    ) -> Duration {
        let each = UPPER.powf(1.0 / tasks.max(1) as f64);
        scaled(
            estimate,
            log_ratio_at(self.quantiles(group), each) + slowness,
        )
    }

    /// Returns the probability that a number of tasks that start together, on workers of some slowness, have all
    /// ended within a time.
    pub fn probability_within(
        &self,
        group: &RunGroup<'_>,
        estimate: Duration,
        slowness: f64,
        tasks: usize,
        time: Duration,
    ) -> f64 {
        if estimate.is_zero() {
            return 1.0;
        }
        let log_ratio = (time.as_secs_f64() / estimate.as_secs_f64()).ln() - slowness;
        let each = probability_of(self.quantiles(group), log_ratio);
        each.powf(tasks.max(1) as f64)
    }

    /// Returns the expected remaining time of a run that has already taken some time.
    pub fn remaining(
        &self,
        group: &RunGroup<'_>,
        estimate: Duration,
        slowness: f64,
        ran: Duration,
    ) -> RunTimeEstimate {
        let quantiles = self.quantiles(group);
        let log_ratio = if estimate.is_zero() || ran.is_zero() {
            f64::NEG_INFINITY
        } else {
            (ran.as_secs_f64() / estimate.as_secs_f64()).ln() - slowness
        };
        let ended = probability_of(quantiles, log_ratio);
        let left = |share: f64| {
            let total = scaled(
                estimate,
                log_ratio_at(quantiles, ended + (1.0 - ended) * share) + slowness,
            );
            total.saturating_sub(ran)
        };
        let least = if ended > 0.5 {
            ran * MIN_LEFT_PERCENT / 100
        } else {
            Duration::ZERO
        };
        RunTimeEstimate {
            typical: left(0.5).max(least),
            upper: left(UPPER).max(least),
        }
    }

    /// Returns the speeds of the groups of workers.
    pub fn speeds(&self) -> &GroupSpeeds {
        &self.speeds
    }

    /// Returns the speeds of the groups of workers, to be changed.
    pub fn speeds_mut(&mut self) -> &mut GroupSpeeds {
        &mut self.speeds
    }

    /// Returns what has been measured, most measured first: as many groups as take `max_bytes` at most once
    /// encoded, half of it for runs.
    pub fn measured(&self, max_bytes: usize) -> MeasuredModel {
        /// Bytes of an encoded group besides its names.
        const RUN_GROUP_BYTES: usize = 16 + 5 * QUANTILE_COUNT;
        const WORKER_GROUP_BYTES: usize = 32;
        let of = |(name, distribution): (&String, &RatioDistribution), is_image| MeasuredRunGroup {
            name: name.clone(),
            is_image,
            weight: distribution.weight as f32,
            quantiles: distribution
                .quantiles
                .map(|quantile| quantile as f32)
                .to_vec(),
        };
        let queues = self.queues.iter().map(|entry| of(entry, false));
        let images = self.images.iter().map(|entry| of(entry, true));
        let mut runs: Vec<MeasuredRunGroup> = queues.chain(images).collect();
        runs.sort_by(|one, other| other.weight.total_cmp(&one.weight));
        keep_within(&mut runs, max_bytes / 2, |group| {
            RUN_GROUP_BYTES + group.name.len()
        });
        let mut workers = self.speeds.measured();
        workers.sort_by(|one, other| other.weight.total_cmp(&one.weight));
        keep_within(&mut workers, max_bytes / 2, |group| {
            WORKER_GROUP_BYTES + group.domain.len() + group.kind.len()
        });
        MeasuredModel { runs, workers }
    }

    /// Creates the model that continues with the measurements of the previous leader.
    pub fn inherited(measured: &MeasuredModel) -> Self {
        let mut model = Self::default();
        let (images, queues): (Vec<_>, Vec<_>) =
            measured.runs.iter().partition(|group| group.is_image);
        let groups = queues.into_iter().chain(images).take(MAX_GROUPS);
        for group in groups {
            let Some(distribution) = RatioDistribution::inherited(group, &ASSUMED) else {
                continue;
            };
            let into = if group.is_image {
                &mut model.images
            } else {
                &mut model.queues
            };
            into.insert(group.name.clone(), distribution);
        }
        model.speeds.inherit(&measured.workers);
        model
    }

    /// Returns the quantiles that apply to a group.
    fn quantiles(&self, group: &RunGroup<'_>) -> &LogQuantiles {
        let image = self.images.get(group.image);
        let distribution = image.or_else(|| self.queues.get(group.queue));
        distribution.map_or(&ASSUMED, |distribution| &distribution.quantiles)
    }
}

/// Records a ratio in the distribution of a name, and returns its quantiles.
fn record_in(
    distributions: &mut BTreeMap<String, RatioDistribution>,
    name: &str,
    log_ratio: f64,
    weight: f64,
    prior: &LogQuantiles,
) -> LogQuantiles {
    if !distributions.contains_key(name) {
        if distributions.len() >= MAX_GROUPS {
            remove_least_measured(distributions);
        }
        distributions.insert(name.to_owned(), RatioDistribution::new(prior));
    }
    let Some(distribution) = distributions.get_mut(name) else {
        return *prior;
    };
    distribution.record(log_ratio, weight, prior);
    distribution.quantiles
}

fn remove_least_measured(distributions: &mut BTreeMap<String, RatioDistribution>) {
    let least = distributions
        .iter()
        .min_by(|one, other| one.1.weight.total_cmp(&other.1.weight))
        .map(|(name, _)| name.clone());
    if let Some(name) = least {
        distributions.remove(&name);
    }
}

/// Drops the last entries beyond a size.
fn keep_within<T>(entries: &mut Vec<T>, max_bytes: usize, bytes_of: impl Fn(&T) -> usize) {
    let mut bytes = 0;
    let fitting = entries.iter().take_while(|entry| {
        bytes += bytes_of(entry);
        bytes <= max_bytes
    });
    let count = fitting.count();
    entries.truncate(count);
}

fn scaled(estimate: Duration, log_factor: f64) -> Duration {
    /// Maximum logarithm of a factor, far above all measured ones.
    const MAX_LOG_FACTOR: f64 = 8.0;
    estimate.mul_f64(log_factor.min(MAX_LOG_FACTOR).exp())
}
