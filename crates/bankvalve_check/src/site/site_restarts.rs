//! Workers whose process ends and starts again under the same id.

use std::collections::BTreeMap;

use bankvalve_queue::{ProcessStart, SiteGuard, WorkerId};
use bankvalve_standin::site::SiteWorker;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_restart_cuts::{DrawnRestartCuts, RestartCut};
use super::site_world::{Later, SiteWorld};
use super::{run_episode, SiteBurden, SiteFault, SiteReport};

/// Label of a process of another kind.
const OTHER_KIND: &str = "b";
/// Silence of a worker after which its entry is gone, in milliseconds: three heartbeats.
const ENTRY_LEFT_MS: u64 = 4_500;
/// Time of day is this far from true at most, in milliseconds.
const STEP_MS: u64 = 5_000;
/// Time until the new process has written its entry, in milliseconds.
const ENTRY_MS: std::ops::Range<u64> = 0..1_500;
/// Time for which a process is down: at times less than lies between two looks, in milliseconds.
const SHORT_DOWN_MS: std::ops::Range<u64> = 0..20;
const DOWN_MS: std::ops::Range<u64> = 20..6_000;
/// Time between two series of restarts, in milliseconds.
const SERIES_PAUSE_MS: std::ops::Range<u64> = 800..7_000;
/// Time over which the restarts of a series are spread, in milliseconds.
const SPREAD_MS: std::ops::Range<u64> = 1..800;
/// Most workers of a series, in percent.
const MOST_PERCENT: usize = 40;

/// What restarts of workers showed.
#[derive(Clone, Debug, Default)]
pub struct RestartFigures {
    /// Processes that ended to start again under their ids.
    pub count: u64,
    /// Series that were followed by a cut, by what else happened.
    pub cuts: BTreeMap<RestartCut, u64>,
    /// Times from the start of a process to the first start of a task there, in milliseconds.
    pub first_start_ms: Vec<u64>,
    /// When processes started under which nothing has started yet, in milliseconds.
    waiting: BTreeMap<WorkerId, u64>,
}

impl RestartFigures {
    /// A task has started on a worker.
    pub(super) fn note_start(&mut self, worker: &WorkerId, now_ms: u64) {
        let started_ms = self.waiting.remove(worker);
        self.first_start_ms
            .extend(started_ms.map(|started_ms| now_ms - started_ms));
    }

    pub(super) fn add(&mut self, other: RestartFigures) {
        self.count += other.count;
        for (cut, count) in other.cuts {
            *self.cuts.entry(cut).or_default() += count;
        }
        self.first_start_ms.extend(other.first_start_ms);
    }

    pub(super) fn print(&mut self) {
        if self.count == 0 {
            return;
        }
        let times = &mut self.first_start_ms;
        times.sort_unstable();
        let part = |percent: usize| times.get(times.len() * percent / 100).copied().unwrap_or(0);
        println!(
            "{} workers started again under their ids; first start there after {} ms in the median, {} ms in nine of ten",
            self.count,
            part(50),
            part(90)
        );
        for (RestartCut { loss, twice }, count) in &self.cuts {
            let restarts = if *twice {
                "two restarts, cut"
            } else {
                "restart, cut"
            };
            let (how, moment) = match loss {
                Some((how, moment)) => (how.as_str(), moment.as_str()),
                None => ("leader kept", ""),
            };
            println!("{restarts:<19}{how:<26}{moment:<25}{count}");
        }
    }
}

/// How a worker's process ends and starts again.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkerRestart {
    /// Time for which no process is there, in milliseconds.
    pub down_ms: u64,
    /// Whether open connections are not reset, as after a loss of power: looks that wait are not answered.
    pub silent: bool,
    /// Time from the start of the new process until it has written its entry, in milliseconds.
    pub entry_after_ms: u64,
    /// How far the time of day of the new process is behind the true one, in milliseconds.
    pub behind_ms: u64,
    /// What the steady clock of the new process begins with, in milliseconds.
    pub clock_ms: u64,
    /// Whether the new process is of another kind: its labels differ.
    pub other_kind: bool,
}

impl WorkerRestart {
    /// Draws one of whichever kind.
    pub(super) fn drawn(rng: &mut Pcg64Mcg) -> Self {
        let short = rng.random_range(0..2) == 0;
        let behind = rng.random_range(0..3) == 0;
        Self {
            down_ms: rng.random_range(if short { SHORT_DOWN_MS } else { DOWN_MS }),
            silent: rng.random_range(0..3) == 0,
            entry_after_ms: rng.random_range(ENTRY_MS),
            behind_ms: if behind {
                rng.random_range(0..STEP_MS)
            } else {
                0
            },
            clock_ms: rng.random_range(0..100_000),
            other_kind: false,
        }
    }
}

impl SiteWorld {
    /// A worker's process ends, and another starts under its id and at its address after a time.
    pub fn restart_worker(&mut self, address: &str, restart: WorkerRestart) {
        let Some(worker) = self.take_worker(address) else {
            return;
        };
        match restart.silent {
            true => self.silence_waiting_looks(address),
            false => self.break_waiting_looks(address),
        }
        self.restarts.count += 1;
        let worker_id = worker.id.clone();
        self.after(ENTRY_LEFT_MS, Later::EntryGone { worker: worker_id });
        let later = Later::ProcessStarts {
            address: address.to_owned(),
            worker: Box::new(worker),
            restart,
        };
        self.after(restart.down_ms, later);
    }

    /// Two workers end, and each starts again under its id at the address of the other.
    pub fn swap_addresses(&mut self, first: &str, second: &str) {
        let (Some(from_first), Some(from_second)) =
            (self.take_worker(first), self.take_worker(second))
        else {
            return;
        };
        for (address, mut worker) in [(first, from_second), (second, from_first)] {
            self.break_waiting_looks(address);
            self.worker_off_table_until.remove(address);
            self.restarts.count += 1;
            worker.entry.address = address.to_owned();
            self.process_starts(address.to_owned(), &worker, WorkerRestart::default());
        }
    }

    /// The same at a later time.
    pub fn restart_worker_at(&mut self, at_ms: u64, address: &str, restart: WorkerRestart) {
        let address = address.to_owned();
        let delay = at_ms.saturating_sub(self.now_ms);
        self.after(delay, Later::ProcessEnds { address, restart });
    }

    pub(super) fn process_starts(
        &mut self,
        address: String,
        before: &SiteWorker,
        restart: WorkerRestart,
    ) {
        if self.workers.get(&address).is_some_and(Option::is_some) {
            return;
        }
        let (id, mut entry) = (before.id.clone(), before.entry.clone());
        // Two processes differ in their start by a millisecond at least.
        let start = self.wall_ms() - restart.behind_ms;
        let start = match entry.started {
            Some(ProcessStart(other)) if other == start => start + 1,
            _ => start,
        };
        entry.started = Some(ProcessStart(start));
        if restart.other_kind {
            entry.labels = vec![OTHER_KIND.into()];
        }
        entry.leaving = false;
        entry.remaining_ms = None;
        // Offsets are added to the true time, so that a clock may begin with anything.
        let offset = restart.clock_ms;
        let mut worker = before.restarted(entry, self.now_ms, offset);
        worker.max_ends_per_report = self.max_ends_per_report;
        worker.process = self.next_process();
        self.restarts.waiting.insert(id.clone(), self.now_ms);
        self.workers.insert(address.clone(), Some(worker));
        let back = Later::EntryBack {
            address,
            worker: id,
        };
        self.after(restart.entry_after_ms, back);
    }

    /// Start of the process that listens at an address.
    pub(super) fn process_at(&self, address: &str) -> Option<ProcessStart> {
        self.workers.get(address)?.as_ref()?.entry.started
    }

    /// Tells whether a process of a worker lives and reaches the table.
    pub(super) fn writes_entry(&self, id: &WorkerId) -> bool {
        self.workers.iter().any(|(address, worker)| {
            let off = self.worker_off_table_until.get(address);
            let reaches = off.is_none_or(|until| *until <= self.now_ms);
            reaches && worker.as_ref().is_some_and(|worker| worker.id == *id)
        })
    }

    /// Restarts a share of the workers, each in a manner of its own. Returns which, when and how.
    fn restart_share(&mut self, rng: &mut Pcg64Mcg) -> Vec<DrawnRestart> {
        let mut addresses: Vec<String> = self.workers.keys().cloned().collect();
        addresses.shuffle(rng);
        let most = (addresses.len() * MOST_PERCENT / 100).max(1);
        addresses.truncate(rng.random_range(1..=most));
        let spread = rng.random_range(SPREAD_MS);
        let mut series = Vec::new();
        for address in addresses {
            let restart = WorkerRestart::drawn(rng);
            let delay_ms = rng.random_range(0..spread);
            let ended = address.clone();
            self.after(
                delay_ms,
                Later::ProcessEnds {
                    address: ended,
                    restart,
                },
            );
            series.push(DrawnRestart {
                address,
                delay_ms,
                restart,
            });
        }
        series
    }
}

/// A restart of a series.
#[derive(Debug)]
pub(super) struct DrawnRestart {
    pub(super) address: String,
    /// Time until the process ends, in milliseconds.
    pub(super) delay_ms: u64,
    pub(super) restart: WorkerRestart,
}

/// Draws series of restarts, by a source of its own.
#[derive(Debug)]
pub(super) struct DrawnRestarts {
    rng: Pcg64Mcg,
    next_ms: u64,
    pub(super) cuts: DrawnRestartCuts,
}

impl DrawnRestarts {
    pub(super) fn new(seed: u64, first_ms: u64) -> Self {
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed ^ 0x7265_7374_6172_7473),
            next_ms: first_ms,
            cuts: DrawnRestartCuts::new(seed),
        }
    }

    /// Begins a series if one is due.
    pub(super) fn act(&mut self, world: &mut SiteWorld) {
        if world.now_ms >= self.next_ms {
            let series = world.restart_share(&mut self.rng);
            self.cuts.lay_after(world, &series);
            self.next_ms = world.now_ms + self.rng.random_range(SERIES_PAUSE_MS);
        }
    }
}

/// Runs one episode in which workers start again under their ids in series, with a guard taken away
/// if asked.
pub fn run_restart_episode(seed: u64, broken: Option<SiteGuard>) -> SiteReport {
    run_episode(
        seed,
        &SiteFault::BESIDE_RESTARTS,
        broken,
        SiteBurden::Restarts,
    )
}
