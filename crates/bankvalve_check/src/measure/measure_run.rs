//! One measurement under virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use bankvalve_cell::machine::TaskSize;
use bankvalve_cell::placement::PlacePolicy;
use hdrhistogram::Histogram;

use super::MeasureProfile;
use crate::load::{StreamLoad, WorkKind};
use crate::world::{CellWorld, ControlCost, WorldEvent};

/// Time between two looks of the load.
const LOOK: Duration = Duration::from_millis(10);
/// Time between two samples of packing.
const SAMPLE: Duration = Duration::from_secs(1);

/// What was measured.
#[derive(Clone, Debug)]
pub struct MeasureReport {
    /// The policy.
    pub policy: &'static str,
    /// Waiting time from submission to start, in milliseconds, by kind of work.
    pub waits: BTreeMap<WorkKind, Histogram<u64>>,
    /// Tasks submitted in the counted time that had not started at its end.
    pub unstarted: u64,
    /// Tasks started in the counted time.
    pub started: u64,
    /// Mean and least share of processors reserved, mean share of memory reserved.
    pub packing: (f64, f64, f64),
    /// Tasks running, mean over the samples.
    pub running: f64,
    /// Control cost in the counted time.
    pub cost: ControlCost,
    /// Reads and writes of the table service in the counted time.
    pub store: (u64, u64),
    /// Entry instances.
    pub entries: usize,
    /// Counted time.
    pub time: Duration,
    /// Refusals answered to submitters.
    pub refused: u64,
    /// Tasks preempted.
    pub preempted: u64,
    /// Largest time of one step of an entry instance, by a histogram in nanoseconds.
    pub took: Duration,
}

/// Sums of packing samples.
#[derive(Default)]
struct PackingSum {
    processors: f64,
    least: f64,
    memory: f64,
    running: f64,
    count: f64,
}

/// Measures a profile with a policy.
pub fn run_measurement(profile: &MeasureProfile, policy: PlacePolicy, seed: u64) -> MeasureReport {
    let begun = Instant::now();
    let name = policy.name;
    let mut plan = profile.plan.clone();
    plan.policy = policy;
    let mut world = CellWorld::new(plan, seed);
    world.count_bytes = true;
    let mut load = StreamLoad::new(profile.load.clone(), seed, Duration::from_secs(10));
    world.after(LOOK, WorldEvent::Wake);
    let mut sum = PackingSum {
        least: 1.0,
        ..PackingSum::default()
    };
    let mut before = (ControlCost::default(), (0, 0));
    let mut next_sample = profile.warm_up;
    let end = profile.warm_up + profile.time;
    while world.now < end {
        if !world.advance() {
            continue;
        }
        world.after(LOOK, WorldEvent::Wake);
        load.run(&mut world);
        if world.now >= next_sample {
            if next_sample == profile.warm_up {
                before = (world.cost, store_counts(&world));
            }
            next_sample += SAMPLE;
            sample_packing(&world, &mut sum);
        }
    }
    let mut report = MeasureReport {
        policy: name,
        waits: BTreeMap::new(),
        unstarted: 0,
        started: 0,
        packing: (
            sum.processors / sum.count,
            sum.least,
            sum.memory / sum.count,
        ),
        running: sum.running / sum.count,
        cost: difference(&world.cost, &before.0),
        store: (
            store_counts(&world).0 - before.1 .0,
            store_counts(&world).1 - before.1 .1,
        ),
        entries: world.entries.len(),
        time: profile.time,
        refused: load.refused,
        preempted: tallies_preempted(&world),
        took: Duration::ZERO,
    };
    count_waits(&world, &load, profile, &mut report);
    report.took = begun.elapsed();
    report
}

fn store_counts(world: &CellWorld) -> (u64, u64) {
    (world.platform.table.reads, world.platform.table.writes)
}

fn tallies_preempted(world: &CellWorld) -> u64 {
    let tallies = world.entries.iter().flat_map(|slot| slot.tallies());
    tallies.map(|tally| tally.preempted).sum()
}

fn sample_packing(world: &CellWorld, sum: &mut PackingSum) {
    let mut used = TaskSize::default();
    let mut all = TaskSize::default();
    let mut running = 0;
    for slot in world.platform.workers.values() {
        used = used.plus(slot.model.resources_in_use());
        all = all.plus(slot.model.detail.size);
        running += slot.model.running_count();
    }
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole);
    let processors = share(used.millicores, all.millicores);
    sum.processors += processors;
    sum.least = sum.least.min(processors);
    sum.memory += share(used.memory_mib, all.memory_mib);
    sum.running += running as f64;
    sum.count += 1.0;
}

fn difference(after: &ControlCost, before: &ControlCost) -> ControlCost {
    ControlCost {
        peer_batches: after.peer_batches - before.peer_batches,
        peer_messages: after.peer_messages - before.peer_messages,
        peer_bytes: after.peer_bytes - before.peer_bytes,
        exchanges: after.exchanges - before.exchanges,
        exchange_bytes: after.exchange_bytes - before.exchange_bytes,
        store_requests: after.store_requests - before.store_requests,
        store_bytes: after.store_bytes - before.store_bytes,
        step_time: after.step_time - before.step_time,
        steps: after.steps - before.steps,
    }
}

/// Waiting times of all tasks of jobs that were submitted in the counted time.
fn count_waits(
    world: &CellWorld,
    load: &StreamLoad,
    profile: &MeasureProfile,
    report: &mut MeasureReport,
) {
    let mut first = BTreeMap::<(&str, &str, u32), f64>::new();
    for slot in world.platform.workers.values() {
        for record in slot.model.records() {
            let key = &record.key;
            let started = slot.world_ms(record.started);
            let known = first
                .entry((&key.team, &key.job, key.task))
                .or_insert(started);
            *known = known.min(started);
        }
    }
    let begin_ms = profile.warm_up.as_secs_f64() * 1_000.0;
    let mut seen = BTreeSet::new();
    for ((team, job), (sent, kind, count)) in &load.sent {
        let service = *kind == WorkKind::Service;
        let sent_ms = sent.as_secs_f64() * 1_000.0;
        if !service && sent_ms < begin_ms {
            continue;
        }
        let histogram = report.waits.entry(*kind).or_insert_with(|| {
            Histogram::new_with_bounds(1, 3_600_000, 3).expect("the bounds are in order")
        });
        for task in 0..*count {
            seen.insert((team, job, task));
            match first.get(&(team.as_str(), job.as_str(), task)) {
                Some(started) => {
                    let waited = (started - sent_ms).max(1.0);
                    histogram.saturating_record(waited as u64);
                    report.started += 1;
                }
                None => report.unstarted += 1,
            }
        }
    }
}
