//! An entry instance of a world, over its lives.

use std::time::Duration;

use bankvalve_cell::instance::{CoreEvent, InstanceCore};
use bankvalve_cell::machine::InstanceDetail;
use bankvalve_cell::tally::CellTally;

/// An entry instance of a world, over its lives.
#[derive(Debug)]
pub struct EntrySlot {
    /// The instance.
    pub detail: InstanceDetail,
    /// Its decisions, while it lives.
    pub core: Option<InstanceCore>,
    /// Counts its lives.
    pub life: u64,
    /// Until when it stands still.
    pub paused_until: Option<Duration>,
    /// Until when it cannot reach the table service.
    pub cut_from_store_until: Duration,
    /// What reached it while it stood still.
    pub(super) inbox: Vec<CoreEvent>,
    /// Counters of its earlier lives.
    pub(super) past: Vec<CellTally>,
}

impl EntrySlot {
    pub(super) fn new(detail: InstanceDetail) -> Self {
        Self {
            detail,
            core: None,
            life: 0,
            paused_until: None,
            cut_from_store_until: Duration::ZERO,
            inbox: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Ends its life.
    pub(super) fn end_life(&mut self) {
        if let Some(core) = self.core.take() {
            self.past.push(core.tally().clone());
        }
        self.inbox.clear();
        self.paused_until = None;
    }

    /// Counters of all its lives.
    pub fn tallies(&self) -> impl Iterator<Item = &CellTally> {
        let now = self.core.as_ref().map(InstanceCore::tally);
        self.past.iter().chain(now)
    }

    /// Tells whether it lives and is not paused.
    pub fn runs(&self) -> bool {
        self.core.is_some() && self.paused_until.is_none()
    }
}
