//! Choice of a worker partition for a task, based on the partitions' digests.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::{PlacePolicy, ScoreInput};
use crate::contract::PlaceRule;
use crate::ids::{CellTime, DomainName, Epoch, PartitionIndex};
use crate::link::{CapacityGroup, PartitionDigest};
use crate::machine::TaskSize;

/// Number of capacity groups that are sampled at random and compared for one task.
const SAMPLE_SIZE: usize = 6;
/// Queued tasks per worker at which a partition without enough free capacity gets no more tasks.
const MAX_QUEUED_PER_WORKER: u32 = 2;

/// Requirements of a task on the worker partition that it is assigned to.
#[derive(Clone, Debug)]
pub struct PlacementRequirements<'a> {
    /// Resources that the task needs.
    pub need: TaskSize,
    /// Placement rules, all of which must admit the partition's region and the failure domain.
    pub rules: &'a [PlaceRule],
    /// Whether the task may preempt others.
    pub urgent: bool,
    /// Whether the task belongs to a service.
    pub service: bool,
    /// Number of tasks of the same job by failure domain.
    pub spread: &'a BTreeMap<DomainName, u32>,
    /// Whether the task may be queued in a partition without free capacity.
    pub may_queue: bool,
    /// Partition that must not be chosen.
    pub excluded: Option<PartitionIndex>,
    /// Number of tasks that are placed together; more than one for a gang.
    pub gang_size: u32,
}

/// Worker partition chosen for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionChoice {
    /// The partition.
    pub partition: PartitionIndex,
    /// Epoch of the partition's owner.
    pub epoch: Epoch,
    /// Failure domain to prefer in the partition.
    pub domain: DomainName,
    /// Number of capacity groups that the partition was chosen from.
    pub choices: u32,
}

#[derive(Clone, Debug)]
struct CachedDigest {
    digest: PartitionDigest,
    received: CellTime,
}

/// Latest digest of each worker partition, less what this instance has assigned since it was received.
#[derive(Clone, Debug, Default)]
pub struct DigestCache {
    entries: BTreeMap<PartitionIndex, CachedDigest>,
}

impl DigestCache {
    /// Stores a digest, unless the same or a later one is known.
    pub fn update(&mut self, now: CellTime, digest: PartitionDigest) {
        let known = self.entries.get(&digest.partition);
        let digest_version = |digest: &PartitionDigest| (digest.epoch, digest.sequence);
        if known.is_some_and(|entry| digest_version(&entry.digest) >= digest_version(&digest)) {
            return;
        }
        let received = now;
        self.entries
            .insert(digest.partition, CachedDigest { digest, received });
    }

    /// Returns all digests.
    pub fn digests(&self) -> impl Iterator<Item = &PartitionDigest> {
        self.entries.values().map(|entry| &entry.digest)
    }

    /// Returns the time at which the digest of a partition was received.
    pub fn received(&self, partition: PartitionIndex) -> Option<CellTime> {
        Some(self.entries.get(&partition)?.received)
    }

    /// Chooses a partition for a task, or returns `None` if none is suitable.
    ///
    /// Prefers a partition with enough free capacity. If there is none and the task is urgent, chooses one
    /// where preemption can free enough. If there is none either and the task may be queued, chooses the
    /// partition with the fewest queued tasks per worker.
    pub fn choose(
        &self,
        requirements: &PlacementRequirements<'_>,
        policy: &PlacePolicy,
        rng: &mut Pcg64Mcg,
    ) -> Option<PartitionChoice> {
        let admitted: Vec<_> = self.admitted(requirements).collect();
        let fits = |group: &CapacityGroup| {
            group
                .largest
                .iter()
                .any(|capacity| requirements.need.fits_in(*capacity))
        };
        let with_capacity: Vec<_> = admitted
            .iter()
            .copied()
            .filter(|(_, group)| fits(group))
            .collect();
        if !with_capacity.is_empty() {
            return self.best_of_sample(&with_capacity, requirements, policy, rng);
        }
        if requirements.urgent {
            let preemptible: Vec<_> = admitted
                .iter()
                .copied()
                .filter(|(_, group)| {
                    group
                        .preemptible
                        .iter()
                        .any(|capacity| requirements.need.fits_in(*capacity))
                })
                .collect();
            if let Some(choice) = largest_preemptible(&preemptible) {
                return Some(choice);
            }
        }
        if requirements.may_queue {
            return shortest_queue(&admitted, requirements);
        }
        None
    }

    /// Returns whether the partition and failure domain of an earlier choice still have capacity for a task.
    pub fn has_capacity(&self, choice: &PartitionChoice, need: TaskSize) -> bool {
        let entry = self.entries.get(&choice.partition);
        let mut groups = entry.into_iter().flat_map(|entry| &entry.digest.groups);
        groups.any(|group| group.domain == choice.domain && fitting_task_count(group, need) > 0)
    }

    /// Deducts an assigned task from the digest, for choices made before the next digest arrives.
    pub fn deduct(&mut self, choice: &PartitionChoice, need: TaskSize) {
        let Some(entry) = self.entries.get_mut(&choice.partition) else {
            return;
        };
        entry.digest.queued += 1;
        let group = entry
            .digest
            .groups
            .iter_mut()
            .find(|group| group.domain == choice.domain);
        let Some(group) = group else { return };
        if !need.fits_in(group.free) {
            let capacity = group
                .preemptible
                .iter_mut()
                .find(|capacity| need.fits_in(**capacity));
            if let Some(capacity) = capacity {
                *capacity = capacity.minus(need);
            }
        }
        group.free = group.free.minus(need);
        let fitting = group
            .largest
            .iter_mut()
            .filter(|capacity| need.fits_in(**capacity))
            .min_by_key(|capacity| capacity.millicores);
        if let Some(capacity) = fitting {
            *capacity = capacity.minus(need);
            entry.digest.queued -= 1;
        }
    }

    fn admitted<'a>(
        &'a self,
        requirements: &'a PlacementRequirements<'_>,
    ) -> impl Iterator<Item = (&'a PartitionDigest, &'a CapacityGroup)> {
        self.entries
            .values()
            .filter(|entry| Some(entry.digest.partition) != requirements.excluded)
            .flat_map(|entry| entry.digest.groups.iter().map(move |group| (entry, group)))
            .filter(|(entry, group)| admits(requirements.rules, &entry.digest, group))
            .map(|(entry, group)| (&entry.digest, group))
    }

    fn best_of_sample(
        &self,
        groups: &[(&PartitionDigest, &CapacityGroup)],
        requirements: &PlacementRequirements<'_>,
        policy: &PlacePolicy,
        rng: &mut Pcg64Mcg,
    ) -> Option<PartitionChoice> {
        let sample = SAMPLE_SIZE.min(groups.len());
        let sampled = rand::seq::index::sample(rng, groups.len(), sample);
        let mut best: Option<(f64, usize)> = None;
        for index in sampled {
            let score = if requirements.gang_size > 1 {
                f64::from(
                    fitting_task_count(groups[index].1, requirements.need)
                        .min(requirements.gang_size),
                )
            } else {
                policy.score_partition(&score_input_of(groups[index].1, requirements, rng))
            };
            if best.is_none_or(|(other, _)| score > other) {
                best = Some((score, index));
            }
        }
        let (digest, group) = groups[best?.1];
        Some(choice_of(digest, group, groups.len()))
    }
}

fn admits(rules: &[PlaceRule], digest: &PartitionDigest, group: &CapacityGroup) -> bool {
    rules
        .iter()
        .all(|rule| rule.admits(&digest.region, &group.domain))
}

fn score_input_of(
    group: &CapacityGroup,
    requirements: &PlacementRequirements<'_>,
    rng: &mut Pcg64Mcg,
) -> ScoreInput {
    let smallest_fitting = group
        .largest
        .iter()
        .filter(|capacity| requirements.need.fits_in(**capacity))
        .min_by_key(|capacity| capacity.millicores);
    ScoreInput {
        total: group.classes.first().copied().unwrap_or(group.free),
        free: smallest_fitting.copied().unwrap_or_default(),
        need: requirements.need,
        same_domain: requirements.spread.get(&group.domain).copied().unwrap_or(0),
        same_rack: 0,
        service: requirements.service,
        random_unit: rng.random(),
    }
}

/// Returns how many tasks fit on the workers of a group with the most free capacity.
fn fitting_task_count(group: &CapacityGroup, need: TaskSize) -> u32 {
    group
        .largest
        .iter()
        .map(|capacity| capacity.tasks_that_fit(need))
        .sum()
}

fn choice_of(digest: &PartitionDigest, group: &CapacityGroup, choices: usize) -> PartitionChoice {
    PartitionChoice {
        partition: digest.partition,
        epoch: digest.epoch,
        domain: group.domain.clone(),
        choices: choices as u32,
    }
}

fn largest_preemptible(groups: &[(&PartitionDigest, &CapacityGroup)]) -> Option<PartitionChoice> {
    let best = groups
        .iter()
        .max_by_key(|(_, group)| group.preemptible.iter().max().copied())?;
    Some(choice_of(best.0, best.1, groups.len()))
}

fn shortest_queue(
    groups: &[(&PartitionDigest, &CapacityGroup)],
    requirements: &PlacementRequirements<'_>,
) -> Option<PartitionChoice> {
    let can_fit = |group: &CapacityGroup| {
        group
            .classes
            .iter()
            .any(|all| requirements.need.fits_in(*all))
    };
    let workers =
        |digest: &PartitionDigest| -> u32 { digest.groups.iter().map(|group| group.workers).sum() };
    let best = groups
        .iter()
        .filter(|(_, group)| group.workers > 0 && can_fit(group))
        .filter(|(digest, _)| digest.queued < workers(digest) * MAX_QUEUED_PER_WORKER)
        .min_by_key(|(digest, _)| digest.queued * 1_000 / workers(digest).max(1))?;
    Some(choice_of(best.0, best.1, groups.len()))
}
