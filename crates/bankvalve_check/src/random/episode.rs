//! One run: faults and work, then quiet, then the checks.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::machine::ListState;
use bankvalve_cell::owner::GuardSet;
use bankvalve_cell::tally::InvariantKind;

use super::FaultDriver;
use crate::fault::{FaultCount, FaultKind};
use crate::history::{check_ledgers, check_runs, read_ledgers, HistoryCheck, HistoryFinding};
use crate::load::{JobLoad, LoadShape};
use crate::world::{CellWorld, WorldEvent, WorldPlan};

/// Time between two looks of the driver.
const LOOK: Duration = Duration::from_millis(100);
/// Longest quiet time in which all work must come to its end.
const QUIET_TIME: Duration = Duration::from_secs(240);
/// Quiet time after which services are cancelled.
const SERVICES_END: Duration = Duration::from_secs(10);

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct EpisodePlan {
    /// Seed of all randomness.
    pub seed: u64,
    /// Events after which faults and work end.
    pub events: u64,
    /// Kinds of faults that may strike.
    pub faults: Vec<FaultKind>,
    /// Guards in force.
    pub guards: GuardSet,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct EpisodeReport {
    /// Events that happened.
    pub events: u64,
    /// How often each fault struck.
    pub faults: FaultCount,
    /// How often each invariant was checked inside the program.
    pub invariants: BTreeMap<InvariantKind, u64>,
    /// How often each check of the history was made.
    pub checks: BTreeMap<&'static str, u64>,
    /// What did not hold.
    pub findings: Vec<HistoryFinding>,
    /// Time of the world at the end.
    pub time: Duration,
    /// Jobs submitted, jobs accepted.
    pub jobs: (u64, u64),
}

/// Runs an episode.
pub fn run_episode(plan: &EpisodePlan) -> EpisodeReport {
    let mut world_plan = WorldPlan::small(6, 24, 6);
    world_plan.guards = plan.guards;
    let domains = vec!["hobart".into(), "bole-hall".into(), "tasmania".into()];
    let mut world = CellWorld::new(world_plan, plan.seed);
    let mut load = JobLoad::new(LoadShape::default(), plan.seed, domains);
    let mut faults = FaultDriver::new(plan.faults.clone(), plan.seed);
    world.after(LOOK, WorldEvent::Wake);
    while world.events < plan.events && !has_breach(&world) {
        if world.advance() {
            load.take_answers(&mut world);
            load.run(&mut world);
            faults.run(&mut world, &mut load);
            world.after(LOOK, WorldEvent::Wake);
        }
    }
    heal(&mut world);
    let all_over = run_quiet(&mut world, &mut load);
    let mut checks = HistoryCheck::default();
    check_runs(&world, &mut checks);
    check_stops(&world, &mut checks);
    let ledgers = read_ledgers(&world, &mut checks);
    if all_over || !has_breach(&world) {
        check_ledgers(&world, &load, &ledgers, &mut checks);
    }
    report(&world, &load, faults, checks)
}

fn has_breach(world: &CellWorld) -> bool {
    world
        .entries
        .iter()
        .flat_map(|slot| slot.tallies())
        .any(|tally| tally.breach_count() > 0)
}

/// Ends all faults.
fn heal(world: &mut CellWorld) {
    world.links = Default::default();
    for slot in &mut world.entries {
        slot.cut_from_store_until = Duration::ZERO;
    }
    for slot in world.platform.workers.values_mut() {
        slot.cut_until = Duration::ZERO;
        slot.mute_until = Duration::ZERO;
        slot.fails_until = Duration::ZERO;
        slot.slow_until = Duration::ZERO;
        slot.listed = ListState::Live;
    }
}

/// Lets all work come to its end; returns whether it did in time.
fn run_quiet(world: &mut CellWorld, load: &mut JobLoad) -> bool {
    let begun = world.now;
    let mut services_ended = Duration::ZERO;
    while world.now < begun + QUIET_TIME {
        if !world.advance() {
            continue;
        }
        load.take_answers(world);
        world.after(LOOK, WorldEvent::Wake);
        let quiet = world.now - begun;
        if quiet > SERVICES_END && quiet > services_ended + SERVICES_END {
            services_ended = quiet;
            load.cancel_services(world);
        }
        if quiet > SERVICES_END * 2 && is_over(world) {
            return true;
        }
    }
    false
}

/// A planned stop that was begun has come to its end.
fn check_stops(world: &CellWorld, checks: &mut HistoryCheck) {
    for slot in &world.entries {
        let stuck = slot.core.as_ref().is_some_and(|core| core.is_stopping());
        checks.make("planned stops end", !stuck, || {
            format!("{} is still stopping", slot.detail.name)
        });
    }
}

fn is_over(world: &CellWorld) -> bool {
    let teams = world.plan.partitions.team_partitions as usize;
    let owners: Vec<_> = world
        .entries
        .iter()
        .filter_map(|slot| slot.core.as_ref())
        .flat_map(|core| core.team_partitions())
        .map(|(_, owner)| owner)
        .collect();
    let over = |owner: &&bankvalve_cell::owner::TeamPartition| {
        owner.is_flushed()
            && owner.is_confirmed()
            && owner
                .ledger()
                .jobs()
                .all(|job| job.phase() != bankvalve_cell::ledger::JobPhase::Active)
    };
    owners.len() == teams && owners.iter().all(over)
}

fn report(
    world: &CellWorld,
    load: &JobLoad,
    faults: FaultDriver,
    checks: HistoryCheck,
) -> EpisodeReport {
    let mut report = EpisodeReport {
        events: world.events,
        faults: faults.struck,
        checks: checks.made,
        findings: checks.findings,
        time: world.now,
        jobs: (
            load.jobs.len() as u64,
            load.jobs.values().filter(|job| job.accepted).count() as u64,
        ),
        ..EpisodeReport::default()
    };
    for tally in world.entries.iter().flat_map(|slot| slot.tallies()) {
        for kind in InvariantKind::ALL {
            *report.invariants.entry(*kind).or_default() += tally.checked(*kind);
        }
        for text in tally.breaches() {
            report.findings.push(HistoryFinding {
                check: "invariant",
                text: text.clone(),
            });
        }
    }
    report
}
