//! Tasks that end the workers that run them, and workers that end by themselves.

use bankvalve_queue::{EndKind, RunId, TaskKey};
use rand::Rng;

use super::site_world::{Later, SiteWorld};

/// Time from the end of a worker until its entry runs out, in milliseconds: that of heartbeats of
/// 0.75 s, of which three are waited for.
const ENTRY_MS: std::ops::Range<u64> = 900..2_500;

/// How a task ends the workers that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCrash {
    /// Time from the start of a run until its worker ends, in milliseconds.
    pub after_ms: u64,
    /// Time for which the worker's address is dead then, in milliseconds.
    pub down_ms: u64,
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
            self.end_worker(address, crash.down_ms);
        }
    }

    /// A worker ends without a word; its entry stands for a while, and another life begins at its
    /// address after a time.
    pub fn end_worker(&mut self, address: &str, down_ms: u64) {
        let Some(worker) = self.workers.get_mut(address).and_then(Option::take) else {
            return;
        };
        for (task, run) in worker.runs() {
            let now = self.now_ms;
            self.rules
                .ended(&worker.id, *task, run.run, EndKind::Lost, now);
        }
        let entry_ms = self.rng.random_range(ENTRY_MS);
        let worker = worker.id;
        self.after(entry_ms, Later::EntryGone { worker });
        let address = address.to_owned();
        self.after(down_ms, Later::ReviveWorker { address });
    }
}
