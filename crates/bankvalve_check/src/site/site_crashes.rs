//! Tasks that end the workers that run them, and workers that end by themselves.

use bankvalve_queue::{EndKind, JobSpec, RunId, StepKey, TaskKey, TaskSize, WorkerEntry, WorkerId};
use bankvalve_standin::site::SiteWorker;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::site_restarts::WorkerRestart;
use super::site_world::{Later, SiteWorld};

/// Time from the end of a worker until its entry runs out, in milliseconds: that of heartbeats of
/// 0.75 s, of which three are waited for.
const ENTRY_MS: std::ops::Range<u64> = 900..2_500;
/// The same with heartbeats of 1.5 s, of which three are waited for: as on the users' sites.
pub(super) const LONG_ENTRY_MS: std::ops::Range<u64> = 3_000..4_501;

/// How a task ends the workers that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCrash {
    /// Time from the start of a run until its worker ends, in milliseconds.
    pub after_ms: u64,
    /// Time for which the worker's address is dead then, in milliseconds.
    pub down_ms: u64,
}

/// One job in so many has a task that ends its workers.
const CRASHING_JOBS: u32 = 30;
/// One such task in so many ends its worker only after a while.
const LATE_CRASHES: u32 = 4;

/// Of so many moments one at which a worker's room changes, a machine is suspended, another writer
/// writes an entry; each by itself.
const RESIZE_EVERY: u32 = 12;
const SUSPEND_EVERY: u32 = 90;
const SPOIL_EVERY: u32 = 40;
/// Rooms that workers have, in thousandths of a core.
const ROOMS: [u64; 5] = [4_000, 4_000, 4_000, 2_000, 1_000];

/// Draws jobs whose tasks end their workers, rooms that move, suspended machines and entries by
/// another writer, by a source of its own, so that the rest of what is drawn stays as it is.
#[derive(Debug)]
pub(super) struct DrawnCrashes {
    rng: Pcg64Mcg,
}

impl DrawnCrashes {
    pub(super) fn new(seed: u64) -> Self {
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x0063_7261_7368);
        Self { rng }
    }

    /// Lets something happen to workers' rooms, machines and entries, or nothing.
    pub(super) fn act(&mut self, world: &mut SiteWorld) {
        if self.rng.random_range(0..RESIZE_EVERY) == 0 {
            let millicores = ROOMS[self.rng.random_range(0..ROOMS.len())];
            self.resize(world, millicores);
        }
        if self.rng.random_range(0..SUSPEND_EVERY) == 0 {
            let node = self.rng.random_range(0..world.nodes.len());
            let for_ms = self.rng.random_range(1_000..8_000);
            world.suspend(node, for_ms);
        }
        if self.rng.random_range(0..SPOIL_EVERY) == 0 {
            let ids = world.worker_ids();
            let own = self.rng.random_range(0..3) == 0 && !ids.is_empty();
            let id = if own {
                ids[self.rng.random_range(0..ids.len())].clone()
            } else {
                format!("odd-{}", self.rng.random_range(0..9))
                    .as_str()
                    .into()
            };
            world.spoil_entry(&id);
        }
    }

    fn resize(&mut self, world: &mut SiteWorld, millicores: u64) {
        let addresses: Vec<String> = world.workers.keys().cloned().collect();
        let address = &addresses[self.rng.random_range(0..addresses.len())];
        let room = TaskSize {
            millicores,
            memory_mib: 8_000,
            accelerators: 0,
        };
        world.resize_worker(address, room);
    }

    /// Gives all workers their room and their own entries back.
    pub(super) fn calm(world: &mut SiteWorld) {
        let addresses: Vec<String> = world.workers.keys().cloned().collect();
        for address in addresses {
            let room = TaskSize {
                millicores: ROOMS[0],
                memory_mib: 8_000,
                accelerators: 0,
            };
            world.resize_worker(&address, room);
        }
    }

    /// Makes a task of some jobs one that ends its workers.
    pub(super) fn lay(&mut self, world: &mut SiteWorld, spec: &JobSpec) {
        if self.rng.random_range(0..CRASHING_JOBS) > 0 {
            return;
        }
        let number = self.rng.random_range(0..spec.steps.len());
        let index = self.rng.random_range(0..spec.steps[number].count);
        let late = self.rng.random_range(0..LATE_CRASHES) == 0;
        let after_ms = if late {
            self.rng.random_range(50..900)
        } else {
            10
        };
        let down_ms = self.rng.random_range(500..6_000);
        let step = StepKey {
            job: spec.id,
            time: 0,
            step: number as u16,
        };
        let crash = TaskCrash { after_ms, down_ms };
        world.crashing.insert(step.task(index), crash);
    }
}

impl SiteWorld {
    /// A task was started; if it is one that ends its worker, that happens after a time.
    pub(super) fn watch_for_crash(&mut self, address: &str, task: TaskKey, run: RunId) {
        let Some(crash) = self.crashing.get(&task).copied() else {
            return;
        };
        let address = address.to_owned();
        self.after(crash.after_ms, Later::TaskCrash { address, task, run });
    }

    /// A task ends its worker, if that still runs it.
    pub(super) fn task_crashes(&mut self, address: &str, task: TaskKey, run: RunId) {
        let Some(crash) = self.crashing.get(&task).copied() else {
            return;
        };
        let worker = self.workers.get(address).and_then(Option::as_ref);
        let live = worker.and_then(|worker| worker.runs().get(&task));
        if live.is_some_and(|live| live.run == run) {
            self.rules.crashed(task);
            self.storms.lost_at.push(self.now_ms);
            if self.crashed_keep_ids {
                let restart = WorkerRestart {
                    down_ms: crash.down_ms,
                    ..WorkerRestart::default()
                };
                self.restart_worker(address, restart);
            } else {
                self.end_worker(address, crash.down_ms);
            }
        }
    }

    /// Ids of the workers that live.
    pub fn worker_ids(&self) -> Vec<WorkerId> {
        let workers = self.workers.values().flatten();
        workers.map(|worker| worker.id.clone()).collect()
    }

    /// Another writer writes an entry of which no worker can be made.
    pub fn spoil_entry(&mut self, id: &WorkerId) {
        self.lasting.trouble(self.now_ms);
        self.store.write_unusable_worker(id);
        self.answer_watches();
    }

    /// Another writer replaces a worker's entry, or the worker writes it again.
    pub fn overwrite_with(&mut self, id: &WorkerId, entry: WorkerEntry) {
        self.lasting.trouble(self.now_ms);
        self.store.set_worker(id, Some(entry));
        self.answer_watches();
    }

    /// All that a worker runs ends with it.
    pub(super) fn runs_end_with(&mut self, worker: &SiteWorker) {
        let now = self.now_ms;
        self.lasting.trouble(now);
        for (task, run) in worker.runs() {
            self.rules
                .ended(&worker.id, *task, run.run, EndKind::Lost, now);
            self.lasting_ended(&worker.id, *task, run.run, EndKind::Lost);
            self.note_load_end(&worker.id, *task, run.run, EndKind::Lost);
        }
    }

    /// A worker ends without a word; its entry stands for a while, and another life begins at its
    /// address after a time.
    pub fn end_worker(&mut self, address: &str, down_ms: u64) {
        if !self.end_worker_life(address, ENTRY_MS) {
            return;
        }
        self.break_waiting_looks(address);
        let address = address.to_owned();
        self.after(down_ms, Later::ReviveWorker { address });
    }

    /// A worker ends without a word, and nothing comes at its address any more: its port refuses, or
    /// is silent as that of a machine without power. Its entry stands until it runs out.
    pub fn lose_worker(&mut self, address: &str, silent: bool) {
        if self.end_worker_life(address, LONG_ENTRY_MS) && silent {
            self.worker_cut_until.insert(address.to_owned(), u64::MAX);
        } else {
            self.break_waiting_looks(address);
        }
    }

    /// Takes the process off that runs at an address: its runs end with it, and what is left of their gangs.
    pub(super) fn take_worker(&mut self, address: &str) -> Option<SiteWorker> {
        let worker = self.workers.get_mut(address).and_then(Option::take)?;
        self.runs_end_with(&worker);
        for (task, run) in worker.runs() {
            self.gang_news(task.step, run.run, Some(EndKind::Lost));
        }
        Some(worker)
    }

    /// Ends a worker's life, whose entry runs out after a time; tells whether there was one.
    pub(super) fn end_worker_life(
        &mut self,
        address: &str,
        entry_ms: std::ops::Range<u64>,
    ) -> bool {
        let Some(worker) = self.take_worker(address) else {
            return false;
        };
        let entry_ms = self.rng.random_range(entry_ms);
        let worker = worker.id;
        self.after(entry_ms, Later::EntryGone { worker });
        true
    }
}
