//! The scores by which places are compared; baselines are further scores.

use std::fmt;
use std::sync::Arc;

use crate::machine::TaskSize;

/// A place with room, as a score sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreInput {
    /// Room that the place has in all.
    pub total: TaskSize,
    /// Room that is free.
    pub free: TaskSize,
    /// Size of the task.
    pub need: TaskSize,
    /// Tasks of the same job in the same failure domain.
    pub same_domain: u32,
    /// Tasks of the same job in the same rack.
    pub same_rack: u32,
    /// Whether the task belongs to a service.
    pub service: bool,
    /// Number in `0..1` drawn for this place and task.
    pub random_unit: f64,
}

/// A score; the place with the highest is chosen.
type PlaceScore = Arc<dyn Fn(&ScoreInput) -> f64 + Send + Sync>;

/// How places are compared: worker partitions first, then workers inside one.
#[derive(Clone)]
pub struct PlacePolicy {
    /// Name shown in reports.
    pub name: &'static str,
    partition_score: PlaceScore,
    worker_score: PlaceScore,
}

impl fmt::Debug for PlacePolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlacePolicy")
            .field("name", &self.name)
            .finish()
    }
}

impl Default for PlacePolicy {
    fn default() -> Self {
        Self::tight()
    }
}

impl PlacePolicy {
    /// Spreads services over domains and racks, and packs all else tightly.
    ///
    /// Partitions are drawn at random among those with room: their digests
    /// are some time old, and all owners would crowd into the fullest.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::machine::TaskSize;
    /// use bankvalve_cell::placement::{PlacePolicy, ScoreInput};
    ///
    /// let total = TaskSize { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };
    /// let need = TaskSize { millicores: 4_000, memory_mib: 4_096, accelerators: 0 };
    /// let view = |free| ScoreInput {
    ///     total, free, need, same_domain: 0, same_rack: 0, service: false, random_unit: 0.5,
    /// };
    /// let policy = PlacePolicy::tight();
    /// assert!(policy.score_worker(&view(need)) > policy.score_worker(&view(total)));
    /// ```
    pub fn tight() -> Self {
        let spread =
            |input: &ScoreInput| -f64::from(input.same_domain) * 10.0 - f64::from(input.same_rack);
        Self::new(
            "tight",
            move |input| {
                if input.service {
                    spread(input) + input.random_unit
                } else {
                    input.random_unit
                }
            },
            move |input| {
                if input.service {
                    spread(input) + remaining_share(input)
                } else {
                    -remaining_share(input)
                }
            },
        )
    }

    /// Baseline: the place with the most room left.
    pub fn least_loaded() -> Self {
        Self::new("least-loaded", remaining_share, remaining_share)
    }

    /// Baseline: any place that fits.
    pub fn random() -> Self {
        Self::new(
            "random",
            |input| input.random_unit,
            |input| input.random_unit,
        )
    }

    /// Baseline: the first thin version packed partitions and workers alike.
    pub fn first_version() -> Self {
        let score = |input: &ScoreInput| {
            let remaining = remaining_share(input);
            if input.service {
                -f64::from(input.same_domain) * 10.0 - f64::from(input.same_rack) + remaining
            } else {
                -remaining
            }
        };
        Self::new("first-version", score, score)
    }

    /// Score of a worker partition.
    pub fn score_partition(&self, input: &ScoreInput) -> f64 {
        (self.partition_score)(input)
    }

    /// Score of a worker.
    pub fn score_worker(&self, input: &ScoreInput) -> f64 {
        (self.worker_score)(input)
    }

    fn new(
        name: &'static str,
        partition_score: impl Fn(&ScoreInput) -> f64 + Send + Sync + 'static,
        worker_score: impl Fn(&ScoreInput) -> f64 + Send + Sync + 'static,
    ) -> Self {
        Self {
            name,
            partition_score: Arc::new(partition_score),
            worker_score: Arc::new(worker_score),
        }
    }
}

/// Room left after the task, as the mean share of processors and memory.
fn remaining_share(input: &ScoreInput) -> f64 {
    let remaining = input.free.minus(input.need);
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    (share(remaining.millicores, input.total.millicores)
        + share(remaining.memory_mib, input.total.memory_mib))
        / 2.0
}
