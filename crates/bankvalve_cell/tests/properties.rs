//! Property tests, whose inputs are generated from a fixed seed.

use std::collections::BTreeMap;

use bankvalve_cell::ledger::{verify_chain, BatchWriter, ChainHash, LedgerBatch, LedgerEvent};
use bankvalve_cell::link::TaskId;
use bankvalve_cell::machine::TaskSize;
use bankvalve_cell::membership::{assign_partitions, Candidate, PartitionKey};
use bankvalve_cell::placement::{choose_victims, VictimCandidate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of generated cases for each property.
const CASES: u32 = 256;

/// Returns a test runner that generates the same cases in every run.
fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count)
        .map(|index| Candidate {
            name: format!("entry-{index}"),
            region: "tasmania".into(),
            weight: 1,
        })
        .collect()
}

fn partitions(count: u32) -> Vec<(PartitionKey, Option<String>)> {
    let region = Some("tasmania".to_owned());
    (0..count)
        .map(|index| (PartitionKey::worker(index), region.clone()))
        .collect()
}

fn loads(owners: &BTreeMap<PartitionKey, String>) -> BTreeMap<&str, usize> {
    let mut loads = BTreeMap::new();
    for owner in owners.values() {
        *loads.entry(owner.as_str()).or_default() += 1;
    }
    loads
}

#[test]
fn owners_are_even_and_few_partitions_move() {
    let strategy = (2_usize..30, 1_u32..200, any::<prop::sample::Index>());
    let property = |(count, total, removed_index): (usize, u32, prop::sample::Index)| {
        let all = candidates(count);
        let keys = partitions(total);
        let before = assign_partitions(&keys, &all);
        prop_assert_eq!(before.len(), total as usize);
        let bound = (f64::from(total) * 1.4 / count as f64).ceil() as usize;
        prop_assert!(loads(&before).values().all(|load| *load <= bound.max(1)));
        let mut remaining = all;
        let removed_instance = remaining.remove(removed_index.index(count));
        let after = assign_partitions(&keys, &remaining);
        let is_unchanged = |key: &PartitionKey| before[key] == after[key];
        let moved = before
            .iter()
            .filter(|(key, owner)| **owner != removed_instance.name && !is_unchanged(key))
            .count();
        // The partitions of the removed instance may fill other instances up to their load bound, which
        // then moves further partitions.
        prop_assert!(moved <= total as usize / 4 + 1, "{} moved", moved);
        Ok(())
    };
    runner().run(&strategy, property).unwrap();
}

#[test]
fn victims_make_room_and_none_is_superfluous() {
    let size = |cores: u32| TaskSize {
        millicores: cores * 1_000,
        memory_mib: cores * 512,
        accelerators: 0,
    };
    let strategy = (
        1_u32..12,
        0_u32..4,
        prop::collection::vec((1_u32..5, 0_u32..100), 0..12),
    );
    let property = |(need, free, running): (u32, u32, Vec<(u32, u32)>)| {
        let candidates: Vec<VictimCandidate> = running
            .iter()
            .enumerate()
            .map(|(index, (cores, cost))| VictimCandidate {
                id: TaskId {
                    team: "leakage".into(),
                    job: "nightly".into(),
                    task: index as u32,
                },
                size: size(*cores),
                cost: f64::from(*cost),
            })
            .collect();
        let all = running.iter().map(|(cores, _)| cores).sum::<u32>() + free;
        let chosen = choose_victims(size(need), size(free), candidates);
        prop_assert_eq!(chosen.is_some(), all >= need);
        let Some((victims, _)) = chosen else {
            return Ok(());
        };
        let freed = |excluded: Option<u32>| -> u32 {
            let kept = victims.iter().filter(|id| Some(id.task) != excluded);
            kept.map(|id| running[id.task as usize].0).sum::<u32>() + free
        };
        prop_assert!(freed(None) >= need);
        for victim in &victims {
            prop_assert!(freed(Some(victim.task)) < need);
        }
        Ok(())
    };
    runner().run(&strategy, property).unwrap();
}

/// Returns an encoded hash chain of `count` ledger batches.
fn chain(count: u64) -> Vec<Vec<u8>> {
    let mut previous = ChainHash::default();
    (1..=count)
        .map(|sequence| {
            let batch = LedgerBatch {
                partition: 3,
                sequence,
                previous,
                writer: BatchWriter {
                    instance: "entry-1".into(),
                    incarnation: 7,
                    epoch: 2,
                },
                events: vec![LedgerEvent::OwnerTook {
                    owner: "entry-1".into(),
                    epoch: 2,
                    at: 1_000 + sequence,
                }],
            };
            let bytes = batch.encode();
            previous = LedgerBatch::hash_of(&bytes);
            bytes
        })
        .collect()
}

#[test]
fn removed_altered_and_reordered_batches_show() {
    let strategy = (
        3_u64..20,
        any::<prop::sample::Index>(),
        any::<prop::sample::Index>(),
    );
    let property = |(count, position, byte): (u64, prop::sample::Index, prop::sample::Index)| {
        let complete = chain(count);
        let verify = |batches: &[Vec<u8>]| verify_chain(batches.iter().map(Vec::as_slice));
        prop_assert_eq!(verify(&complete), Ok(count));
        // Only the head row shows that the last batch of a chain is missing, so that batch stays in place.
        let position = position.index(complete.len() - 1);
        let mut removed = complete.clone();
        removed.remove(position);
        prop_assert!(verify(&removed).is_err());
        let mut altered = complete.clone();
        let byte = byte.index(altered[position].len());
        altered[position][byte] ^= 0x01;
        prop_assert!(verify(&altered).is_err());
        let mut swapped = complete;
        swapped.swap(position, position + 1);
        prop_assert!(verify(&swapped).is_err());
        Ok(())
    };
    runner().run(&strategy, property).unwrap();
}
