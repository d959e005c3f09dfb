//! The platform and the workers of a world.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::ids::WorkerClock;
use bankvalve_cell::machine::{ListState, ListedWorker, WorkerDetail};
use bankvalve_standin::model::{ObjectModel, TableModel, WorkerModel};

/// Time after which a change shows in the instance list.
const LIST_LAG: Duration = Duration::from_secs(2);

/// A worker of a world.
#[derive(Clone, Debug)]
pub struct WorkerSlot {
    /// The worker.
    pub model: WorkerModel,
    /// Difference of its clock to the world's, in milliseconds.
    pub clock_offset: u64,
    /// Rate of its clock relative to the world's.
    pub clock_rate: f64,
    /// Whether it is dead.
    pub dead: bool,
    /// Until when it cannot be reached.
    pub cut_until: Duration,
    /// Until when its answers are lost.
    pub mute_until: Duration,
    /// Until when it fails everything.
    pub fails_until: Duration,
    /// Until when it is slow.
    pub slow_until: Duration,
    /// Its state in the instance list.
    pub listed: ListState,
}

impl WorkerSlot {
    pub(super) fn new(detail: WorkerDetail, clock_offset: u64, clock_rate: f64) -> Self {
        Self {
            model: WorkerModel::new(detail),
            clock_offset,
            clock_rate,
            dead: false,
            cut_until: Duration::ZERO,
            mute_until: Duration::ZERO,
            fails_until: Duration::ZERO,
            slow_until: Duration::ZERO,
            listed: ListState::Live,
        }
    }

    /// Its clock at a time of the world.
    pub fn clock(&self, now: Duration) -> WorkerClock {
        self.clock_offset + (now.as_secs_f64() * self.clock_rate * 1_000.0) as u64
    }

    /// The time of the world, in milliseconds, at a reading of its clock.
    pub fn world_ms(&self, clock: WorkerClock) -> f64 {
        clock.saturating_sub(self.clock_offset) as f64 / self.clock_rate
    }
}

/// The platform and the workers of a world.
#[derive(Clone, Debug, Default)]
pub struct PlatformState {
    /// The table service.
    pub table: TableModel,
    /// The object store.
    pub objects: ObjectModel,
    /// The workers by name.
    pub workers: BTreeMap<String, WorkerSlot>,
    /// The instance list as it shows, and since when.
    shown: Vec<ListedWorker>,
    shown_at: Option<Duration>,
}

impl PlatformState {
    /// The instance list as it shows at a time.
    pub fn list(&mut self, now: Duration, frozen: bool) -> Vec<ListedWorker> {
        let old = self.shown_at.is_none_or(|at| now >= at + LIST_LAG);
        if old && !frozen {
            self.shown_at = Some(now);
            self.shown = self
                .workers
                .values()
                .filter(|worker| !worker.dead)
                .map(|worker| ListedWorker {
                    detail: worker.model.detail.clone(),
                    state: worker.listed,
                })
                .collect();
        }
        self.shown.clone()
    }
}
