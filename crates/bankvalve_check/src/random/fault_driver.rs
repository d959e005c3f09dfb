//! Lets faults strike at random times.

use std::time::Duration;

use bankvalve_cell::link::CallerCommand;
use bankvalve_cell::machine::ListState;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fault::{FaultCount, FaultKind};
use crate::load::JobLoad;
use crate::world::{CellWorld, WorldEvent};

/// Mean time between two faults.
const MEAN_PAUSE: Duration = Duration::from_millis(3_500);
/// Part of faults that last long.
const LONG: f64 = 0.35;
/// Part of faults that come with a second one at the same moment.
const TOGETHER: f64 = 0.25;
/// Entry instances that must live when another is killed.
const LEAST_LIVE: usize = 2;

/// Lets faults strike at random times; its randomness is its own.
#[derive(Debug)]
pub struct FaultDriver {
    /// How often each fault struck.
    pub struck: FaultCount,
    kinds: Vec<FaultKind>,
    rng: Pcg64Mcg,
    next: Duration,
}

impl FaultDriver {
    /// Makes a driver that draws from these kinds.
    pub fn new(kinds: Vec<FaultKind>, seed: u64) -> Self {
        Self {
            struck: FaultCount::new(),
            kinds,
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0xfa17),
            next: Duration::from_secs(6),
        }
    }

    /// Lets strike what is due.
    pub fn run(&mut self, world: &mut CellWorld, load: &mut JobLoad) {
        while self.next <= world.now && !self.kinds.is_empty() {
            let pause = MEAN_PAUSE.as_secs_f64() * -self.rng.random::<f64>().ln();
            self.next += Duration::from_secs_f64(pause.clamp(0.01, 20.0));
            self.strike(world, load);
            if self.rng.random_bool(TOGETHER) {
                self.strike(world, load);
            }
        }
    }

    fn strike(&mut self, world: &mut CellWorld, load: &mut JobLoad) {
        // Drawn from all kinds, so that leaving one out keeps the others' times.
        let Some(kind) = FaultKind::ALL.choose(&mut self.rng).copied() else {
            return;
        };
        let short = self.secs(1, 8);
        let long = if self.rng.random_bool(LONG) {
            self.secs(8, 30)
        } else {
            self.secs(1, 8)
        };
        let entry = self.rng.random_range(0..world.entries.len());
        let names: Vec<String> = world.platform.workers.keys().cloned().collect();
        let worker = names.choose(&mut self.rng).cloned().unwrap_or_default();
        if !self.kinds.contains(&kind) {
            return;
        }
        *self.struck.entry(kind).or_default() += 1;
        let (short_end, long_end) = (world.now + short, world.now + long);
        match kind {
            FaultKind::EntryKilled => kill_entry(world, entry, short),
            FaultKind::EntryPaused => world.pause_entry(entry, long),
            FaultKind::EntryStopped => stop_entry(world, entry),
            FaultKind::EntryCutFromStore => {
                world.entries[entry].cut_from_store_until = long_end;
            }
            FaultKind::ListFrozen => world.links.list_frozen_until = long_end,
            FaultKind::StoreDown => world.links.store_down_until = long_end,
            FaultKind::StoreSlow => world.links.store_slow_until = long_end,
            FaultKind::StoreAnswersLost => world.links.store_lost_until = long_end,
            FaultKind::StoreReadsStale => world.links.store_stale_until = long_end,
            FaultKind::ObjectsDown => world.links.objects_down_until = long_end,
            FaultKind::PeerLoss => world.links.peer_loss_until = long_end,
            FaultKind::PeerDelay => world.links.peer_delay_until = long_end,
            FaultKind::PeerRepeated => world.links.peer_repeat_until = long_end,
            FaultKind::RegionCut => world.links.region_cut_until = long_end,
            FaultKind::WorkerDead => world.kill_worker(&worker, long),
            FaultKind::RackLost => lose_rack(world, &worker, long),
            FaultKind::DomainLost => lose_domain(world, entry, long),
            FaultKind::CancelWave => load.cancel_wave(world),
            FaultKind::BundleRace => race_bundles(world),
            FaultKind::WorkerCut
            | FaultKind::WorkerAnswersLost
            | FaultKind::WorkerFailsAll
            | FaultKind::WorkerSlow
            | FaultKind::WorkerLeaving => {
                let Some(slot) = world.platform.workers.get_mut(&worker) else {
                    return;
                };
                match kind {
                    FaultKind::WorkerCut => slot.cut_until = long_end,
                    FaultKind::WorkerAnswersLost => slot.mute_until = long_end,
                    FaultKind::WorkerFailsAll => slot.fails_until = long_end,
                    FaultKind::WorkerSlow => slot.slow_until = short_end,
                    _ => {
                        slot.listed = match slot.listed {
                            ListState::Live => ListState::Leaving,
                            ListState::Leaving => ListState::Live,
                        }
                    }
                }
            }
        }
    }

    fn secs(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(least * 1_000..most * 1_000))
    }
}

fn live_entries(world: &CellWorld) -> usize {
    world.entries.iter().filter(|slot| slot.runs()).count()
}

fn kill_entry(world: &mut CellWorld, entry: usize, time: Duration) {
    if live_entries(world) > LEAST_LIVE && world.entries[entry].core.is_some() {
        world.kill_entry(entry);
        world.after(time, WorldEvent::Start { entry });
    }
}

fn stop_entry(world: &mut CellWorld, entry: usize) {
    if live_entries(world) > LEAST_LIVE {
        world.stop_entry(entry);
    }
}

fn lose_rack(world: &mut CellWorld, worker: &str, time: Duration) {
    let rack = world.platform.workers[worker].model.detail.rack.clone();
    let names: Vec<String> = world
        .platform
        .workers
        .iter()
        .filter(|(_, slot)| slot.model.detail.rack == rack)
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        world.kill_worker(&name, time);
    }
}

fn lose_domain(world: &mut CellWorld, entry: usize, time: Duration) {
    let domain = world.entries[entry].detail.domain.clone();
    let names: Vec<String> = world
        .platform
        .workers
        .iter()
        .filter(|(_, slot)| slot.model.detail.domain == domain)
        .map(|(name, _)| name.clone())
        .collect();
    for name in names {
        world.kill_worker(&name, time);
    }
    for entry in 0..world.entries.len() {
        if world.entries[entry].detail.domain == domain {
            kill_entry(world, entry, time);
        }
    }
}

fn race_bundles(world: &mut CellWorld) {
    for entry in 0..world.entries.len() {
        let Some(core) = &world.entries[entry].core else {
            continue;
        };
        let mut bundle = world.plan.bundle.clone();
        bundle.version = core.bundle_version() + 1;
        bundle.author = format!("operator-{entry}");
        let bundle = Box::new(bundle);
        world.command(entry, CallerCommand::AcceptBundle { bundle });
    }
}
