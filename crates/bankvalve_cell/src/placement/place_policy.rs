//! Placement policies: the scores by which worker partitions and workers are compared.

use std::fmt;
use std::sync::Arc;

use crate::machine::TaskSize;

/// Properties of a worker or a capacity group that has free capacity, from which its score is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScoreInput {
    /// Total size of the worker; for a group, the smallest worker size in it.
    pub total: TaskSize,
    /// Free capacity; for a group, that of one worker on which the task fits.
    pub free: TaskSize,
    /// Size of the task.
    pub need: TaskSize,
    /// Number of tasks of the same job in the same failure domain.
    pub same_domain: u32,
    /// Number of tasks of the same job in the same rack; zero for a group.
    pub same_rack: u32,
    /// Whether the task belongs to a service.
    pub service: bool,
    /// Random value in `0..1` for this worker or group and this task.
    pub random_unit: f64,
}

/// Function that computes a score; the worker or group with the highest score is chosen.
type PlaceScore = Arc<dyn Fn(&ScoreInput) -> f64 + Send + Sync>;

/// Placement policy: one score for worker partitions, and one for the workers of the chosen partition.
#[derive(Clone)]
pub struct PlacePolicy {
    /// Name used in reports.
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
    /// Returns the policy that spreads services over failure domains and racks, and fills workers with all
    /// other tasks as tightly as possible.
    ///
    /// Among partitions with enough free capacity the choice is random; for services, it is random among
    /// those whose failure domain has the fewest tasks of the job. Digests lag behind: if all owners
    /// chose the fullest partition, they would overload it.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_cell::machine::TaskSize;
    /// use bankvalve_cell::placement::{PlacePolicy, ScoreInput};
    ///
    /// let total = TaskSize { millicores: 16_000, memory_mib: 65_536, accelerators: 0 };
    /// let need = TaskSize { millicores: 4_000, memory_mib: 4_096, accelerators: 0 };
    /// let input = |free| ScoreInput {
    ///     total, free, need, same_domain: 0, same_rack: 0, service: false, random_unit: 0.5,
    /// };
    /// let policy = PlacePolicy::tight();
    /// assert!(policy.score_worker(&input(need)) > policy.score_worker(&input(total)));
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

    /// Returns the baseline policy that prefers the most remaining capacity.
    pub fn least_loaded() -> Self {
        Self::new("least-loaded", remaining_share, remaining_share)
    }

    /// Returns the baseline policy that chooses at random.
    pub fn random() -> Self {
        Self::new(
            "random",
            |input| input.random_unit,
            |input| input.random_unit,
        )
    }

    /// Returns the baseline policy of the first version, which packed partitions as tightly as workers.
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

    /// Returns the score of a capacity group of a worker partition.
    pub fn score_partition(&self, input: &ScoreInput) -> f64 {
        (self.partition_score)(input)
    }

    /// Returns the score of a worker.
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

/// Returns the capacity that remains after the task, as the mean of the shares of processors and memory.
fn remaining_share(input: &ScoreInput) -> f64 {
    let remaining = input.free.minus(input.need);
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    (share(remaining.millicores, input.total.millicores)
        + share(remaining.memory_mib, input.total.memory_mib))
        / 2.0
}
