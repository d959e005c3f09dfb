//! An attempt that a worker partition's owner knows of.

use crate::contract::PlaceRule;
use crate::ids::{CellTime, DomainName, WorkerName};
use crate::link::{PlaceGate, PlaceOrder, PlacementStatus, TaskKey, TaskLabel, TaskOutcome};
use crate::machine::TaskSize;

/// Phase of an attempt in a worker partition.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlacementPhase {
    /// Waits for room; nothing was started.
    Queued,
    /// Room is held on the worker; nothing was started.
    Held { until: CellTime },
    /// To be started on the worker; `sent` once it may have been.
    Starting { sent: bool },
    /// Seen running on the worker.
    Running,
    /// To be stopped on the worker.
    Stopping { outcome: TaskOutcome },
    /// Over, until its team's owner has recorded it.
    Over(PlacementStatus),
    /// Over and recorded; the worker is to forget it.
    Recorded,
}

/// What an order said of an attempt that has not been started.
#[derive(Clone, Debug)]
pub(super) struct PlacementNeed {
    pub(super) rules: Vec<PlaceRule>,
    pub(super) prefer_domain: Option<DomainName>,
    pub(super) weight: u32,
    pub(super) gate: PlaceGate,
    pub(super) run_time_ms: u64,
    pub(super) payload: String,
}

/// An attempt that a worker partition's owner knows of.
#[derive(Clone, Debug)]
pub(super) struct PlacementEntry {
    pub(super) key: TaskKey,
    pub(super) label: TaskLabel,
    pub(super) need: Option<PlacementNeed>,
    pub(super) phase: PlacementPhase,
    pub(super) worker: Option<WorkerName>,
    pub(super) arrived: CellTime,
    pub(super) order: u64,
    pub(super) send_at: Option<CellTime>,
    pub(super) peak: TaskSize,
    pub(super) seen_running: bool,
    pub(super) ran_ms: u64,
    pub(super) overran: u32,
    pub(super) throttled: bool,
    pub(super) preempting: Option<CellTime>,
}

impl PlacementEntry {
    /// An attempt that was just ordered.
    pub(super) fn ordered(order: PlaceOrder, now: CellTime, number: u64) -> Self {
        let need = PlacementNeed {
            rules: order.rules,
            prefer_domain: order.prefer_domain,
            weight: order.weight,
            gate: order.gate,
            run_time_ms: order.run_time_ms,
            payload: order.payload,
        };
        Self {
            need: Some(need),
            ..Self::found(order.key, order.label, PlacementPhase::Queued, now, number)
        }
    }

    /// An attempt that is known without an order.
    pub(super) fn found(
        key: TaskKey,
        label: TaskLabel,
        phase: PlacementPhase,
        now: CellTime,
        number: u64,
    ) -> Self {
        Self {
            key,
            label,
            need: None,
            phase,
            worker: None,
            arrived: now,
            order: number,
            send_at: None,
            peak: TaskSize::default(),
            seen_running: false,
            ran_ms: 0,
            overran: 0,
            throttled: false,
            preempting: None,
        }
    }

    /// Tells whether it takes room on its worker.
    pub(super) fn uses_capacity(&self) -> bool {
        matches!(
            self.phase,
            PlacementPhase::Held { .. }
                | PlacementPhase::Starting { .. }
                | PlacementPhase::Running
                | PlacementPhase::Stopping { .. }
        )
    }

    /// Tells whether it waits for room.
    pub(super) fn is_queued(&self) -> bool {
        self.phase == PlacementPhase::Queued
    }

    /// Tells whether it has a worker that was not told of it yet.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            PlacementPhase::Held { .. } | PlacementPhase::Starting { sent: false }
        )
    }

    /// Tells whether it may be stopped for urgent work.
    pub(super) fn is_preemptible(&self) -> bool {
        let label = &self.label;
        self.phase == PlacementPhase::Running
            && !label.urgent
            && label.repeatable
            && !label.gang
            && label.service.is_none()
    }
}
