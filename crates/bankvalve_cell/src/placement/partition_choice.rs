//! Choice among worker partitions, from their digests.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::{PlacePolicy, ScoreInput};
use crate::contract::PlaceRule;
use crate::ids::{CellTime, DomainName, Epoch, PartitionIndex};
use crate::link::{CapacityGroup, PartitionDigest};
use crate::machine::TaskSize;

/// Groups that are drawn and compared for one task.
const SAMPLE_SIZE: usize = 6;
/// Queued tasks for each worker up to which a partition takes tasks ahead of room.
const QUEUE_PER_WORKER: u32 = 2;

/// What is sought for a task.
#[derive(Clone, Debug)]
pub struct PlacementRequirements<'a> {
    /// Room that the task needs.
    pub need: TaskSize,
    /// Rules that must all admit the place.
    pub rules: &'a [PlaceRule],
    /// Whether it may preempt.
    pub urgent: bool,
    /// Whether it belongs to a service.
    pub service: bool,
    /// Tasks of the same job by failure domain.
    pub spread: &'a BTreeMap<DomainName, u32>,
    /// Whether a place in a queue will do.
    pub may_queue: bool,
    /// Partition not to choose.
    pub excluded: Option<PartitionIndex>,
    /// Tasks that are sought together; more than one for a gang.
    pub gang_size: u32,
}

/// A partition that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionChoice {
    /// The partition.
    pub partition: PartitionIndex,
    /// Its owner's epoch.
    pub epoch: Epoch,
    /// Failure domain to prefer there.
    pub domain: DomainName,
    /// Groups with room that were compared.
    pub choices: u32,
}

#[derive(Clone, Debug)]
struct CachedDigest {
    digest: PartitionDigest,
    received: CellTime,
}

/// Room of all worker partitions, as last heard, less what was assigned since.
#[derive(Clone, Debug, Default)]
pub struct DigestCache {
    entries: BTreeMap<PartitionIndex, CachedDigest>,
}

impl DigestCache {
    /// Takes in a digest, unless a later one is known.
    pub fn update(&mut self, now: CellTime, digest: PartitionDigest) {
        let known = self.entries.get(&digest.partition);
        let place = |digest: &PartitionDigest| (digest.epoch, digest.sequence);
        if known.is_some_and(|entry| place(&entry.digest) >= place(&digest)) {
            return;
        }
        let received = now;
        self.entries
            .insert(digest.partition, CachedDigest { digest, received });
    }

    /// All digests.
    pub fn digests(&self) -> impl Iterator<Item = &PartitionDigest> {
        self.entries.values().map(|entry| &entry.digest)
    }

    /// When the digest of a partition was received.
    pub fn received(&self, partition: PartitionIndex) -> Option<CellTime> {
        Some(self.entries.get(&partition)?.received)
    }

    /// Chooses a partition: with free room, else by preemption, else with a place in its queue.
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
                .any(|room| requirements.need.fits_in(*room))
        };
        let with_room: Vec<_> = admitted
            .iter()
            .copied()
            .filter(|(_, group)| fits(group))
            .collect();
        if !with_room.is_empty() {
            return self.best_of(&with_room, requirements, policy, rng);
        }
        if requirements.urgent {
            let preemptible: Vec<_> = admitted
                .iter()
                .copied()
                .filter(|(_, group)| {
                    group
                        .preemptible
                        .iter()
                        .any(|room| requirements.need.fits_in(*room))
                })
                .collect();
            if let Some(choice) = most_room(&preemptible) {
                return Some(choice);
            }
        }
        if requirements.may_queue {
            return shortest_queue(&admitted, requirements);
        }
        None
    }

    /// Tells whether the place of an earlier choice still has room for a task.
    pub fn has_capacity(&self, choice: &PartitionChoice, need: TaskSize) -> bool {
        let entry = self.entries.get(&choice.partition);
        let mut groups = entry.into_iter().flat_map(|entry| &entry.digest.groups);
        groups.any(|group| group.domain == choice.domain && room_for(group, need) > 0)
    }

    /// Deducts an assignment, so that the next choice sees the room taken.
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
            let room = group
                .preemptible
                .iter_mut()
                .find(|room| need.fits_in(**room));
            if let Some(room) = room {
                *room = room.minus(need);
            }
        }
        group.free = group.free.minus(need);
        let fitting = group
            .largest
            .iter_mut()
            .filter(|room| need.fits_in(**room))
            .min_by_key(|room| room.millicores);
        if let Some(room) = fitting {
            *room = room.minus(need);
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

    fn best_of(
        &self,
        groups: &[(&PartitionDigest, &CapacityGroup)],
        requirements: &PlacementRequirements<'_>,
        policy: &PlacePolicy,
        rng: &mut Pcg64Mcg,
    ) -> Option<PartitionChoice> {
        let sample = SAMPLE_SIZE.min(groups.len());
        let drawn = rand::seq::index::sample(rng, groups.len(), sample);
        let mut best: Option<(f64, usize)> = None;
        for index in drawn {
            let score = if requirements.gang_size > 1 {
                f64::from(room_for(groups[index].1, requirements.need).min(requirements.gang_size))
            } else {
                policy.score_partition(&view_of(groups[index].1, requirements, rng))
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

fn view_of(
    group: &CapacityGroup,
    requirements: &PlacementRequirements<'_>,
    rng: &mut Pcg64Mcg,
) -> ScoreInput {
    let largest_fitting = group
        .largest
        .iter()
        .filter(|room| requirements.need.fits_in(**room))
        .min_by_key(|room| room.millicores);
    ScoreInput {
        total: group.classes.first().copied().unwrap_or(group.free),
        free: largest_fitting.copied().unwrap_or_default(),
        need: requirements.need,
        same_domain: requirements.spread.get(&group.domain).copied().unwrap_or(0),
        same_rack: 0,
        service: requirements.service,
        random_unit: rng.random(),
    }
}

/// Tasks that the roomiest workers of a group hold side by side.
fn room_for(group: &CapacityGroup, need: TaskSize) -> u32 {
    group
        .largest
        .iter()
        .map(|room| room.tasks_that_fit(need))
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

fn most_room(groups: &[(&PartitionDigest, &CapacityGroup)]) -> Option<PartitionChoice> {
    let best = groups
        .iter()
        .max_by_key(|(_, group)| group.preemptible.iter().max().copied())?;
    Some(choice_of(best.0, best.1, groups.len()))
}

fn shortest_queue(
    groups: &[(&PartitionDigest, &CapacityGroup)],
    requirements: &PlacementRequirements<'_>,
) -> Option<PartitionChoice> {
    let could_hold = |group: &CapacityGroup| {
        group
            .classes
            .iter()
            .any(|all| requirements.need.fits_in(*all))
    };
    let workers =
        |digest: &PartitionDigest| -> u32 { digest.groups.iter().map(|group| group.workers).sum() };
    let best = groups
        .iter()
        .filter(|(_, group)| group.workers > 0 && could_hold(group))
        .filter(|(digest, _)| digest.queued < workers(digest) * QUEUE_PER_WORKER)
        .min_by_key(|(digest, _)| digest.queued * 1_000 / workers(digest).max(1))?;
    Some(choice_of(best.0, best.1, groups.len()))
}
