//! Weighted rendezvous hashing with a limit on the number of partitions of each owner.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::PartitionKey;
use crate::ids::{InstanceName, RegionName};

/// Percentage by which an owner's number of partitions may exceed its share by weight.
const LOAD_MARGIN_PERCENT: u64 = 40;

/// An entry instance that may own partitions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the instance.
    pub name: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Share of the partitions, relative to the other candidates.
    pub weight: u32,
}

/// Returns the score of a candidate for a partition; the candidate with the highest score is preferred.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::membership::{rendezvous_score, PartitionKey};
///
/// let key = PartitionKey::team(3);
/// assert!(rendezvous_score(key, "entry-1", 2) > rendezvous_score(key, "entry-1", 1));
/// ```
pub fn rendezvous_score(key: PartitionKey, name: &str, weight: u32) -> f64 {
    let seed = u64::from(key.index) << 1 | u64::from(key.is_team());
    let hash = xxh3_64_with_seed(name.as_bytes(), seed);
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -f64::from(weight) / unit.ln()
}

/// Chooses an owner for each partition.
///
/// Only candidates in the partition's region are considered, or all candidates
/// if the region has none. The partition goes to the candidate with the highest
/// score that is below its limit of partitions, or to the one with the highest
/// score if all have reached their limits.
///
/// The limit evens out the load, but a change of membership moves more
/// partitions than it would without a limit; `docs/DESIGN.md` has figures for both.
pub fn assign_partitions(
    partitions: &[(PartitionKey, Option<RegionName>)],
    candidates: &[Candidate],
) -> BTreeMap<PartitionKey, InstanceName> {
    let mut loads = BTreeMap::<(bool, &str), u64>::new();
    let mut owners = BTreeMap::new();
    for (key, region) in partitions {
        let eligible = eligible_for(region.as_ref(), candidates);
        let total: u64 = eligible.iter().map(|member| u64::from(member.weight)).sum();
        let partition_count = partitions
            .iter()
            .filter(|(other, other_region)| {
                other.is_team() == key.is_team() && other_region == region
            })
            .count() as u64;
        let mut ranked = eligible;
        ranked.sort_by(|a, b| {
            let (a_score, b_score) = (score(*key, a), score(*key, b));
            b_score
                .total_cmp(&a_score)
                .then_with(|| a.name.cmp(&b.name))
        });
        let has_capacity = |member: &&&Candidate| {
            let load = loads.get(&(key.is_team(), member.name.as_str()));
            load.copied().unwrap_or(0)
                < load_bound(partition_count, u64::from(member.weight), total)
        };
        let chosen = ranked.iter().find(has_capacity).or_else(|| ranked.first());
        if let Some(member) = chosen {
            *loads.entry((key.is_team(), &member.name)).or_default() += 1;
            owners.insert(*key, member.name.clone());
        }
    }
    owners
}

fn score(key: PartitionKey, member: &Candidate) -> f64 {
    rendezvous_score(key, &member.name, member.weight)
}

fn eligible_for<'a>(region: Option<&RegionName>, all: &'a [Candidate]) -> Vec<&'a Candidate> {
    let in_region: Vec<_> = all
        .iter()
        .filter(|member| region.is_none_or(|region| *region == member.region))
        .collect();
    if in_region.is_empty() {
        all.iter().collect()
    } else {
        in_region
    }
}

fn load_bound(partitions: u64, weight: u64, total_weight: u64) -> u64 {
    let even = partitions * weight * (100 + LOAD_MARGIN_PERCENT);
    even.div_ceil(total_weight.max(1) * 100).max(1)
}
