//! The entry that a worker partition's owner has for an attempt.

use crate::contract::PlaceRule;
use crate::ids::{CellTime, DomainName, WorkerName};
use crate::link::{PlaceGate, PlaceOrder, PlacementStatus, TaskKey, TaskLabel, TaskOutcome};
use crate::machine::TaskSize;

/// Phase of an attempt in a worker partition.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum PlacementPhase {
    /// Waits for free capacity; nothing was started.
    Queued,
    /// Capacity is reserved on the worker until a time; nothing was started.
    Held { until: CellTime },
    /// Assigned to the worker; `sent` is set once a start command may have reached it.
    Starting { sent: bool },
    /// Reported as running by the worker.
    Running,
    /// Being stopped on the worker.
    Stopping { outcome: TaskOutcome },
    /// Finished; the team's owner has not committed the end yet.
    Over(PlacementStatus),
    /// Finished, and the end is committed; the worker is to forget it.
    Recorded,
}

/// What a placement order requires of an attempt that has not been started.
#[derive(Clone, Debug)]
pub(super) struct PlacementNeed {
    pub(super) rules: Vec<PlaceRule>,
    pub(super) prefer_domain: Option<DomainName>,
    pub(super) weight: u32,
    pub(super) gate: PlaceGate,
    pub(super) run_time_ms: u64,
    pub(super) payload: String,
}

/// An attempt in a worker partition.
#[derive(Clone, Debug)]
pub(super) struct PlacementEntry {
    pub(super) key: TaskKey,
    /// Properties of the task, such as its size and its service.
    pub(super) label: TaskLabel,
    /// Requirements of the placement order; `None` if this owner has no order for the attempt.
    pub(super) need: Option<PlacementNeed>,
    pub(super) phase: PlacementPhase,
    pub(super) worker: Option<WorkerName>,
    pub(super) known_since: CellTime,
    pub(super) order: u64,
    pub(super) send_at: Option<CellTime>,
    pub(super) peak: TaskSize,
    pub(super) seen_running: bool,
    pub(super) ran_ms: u64,
    pub(super) overran: u32,
    pub(super) throttled: bool,
    pub(super) preempted_at: Option<CellTime>,
}

impl PlacementEntry {
    /// Makes the entry for a new placement order.
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

    /// Makes an entry for an attempt that has no placement order here.
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
            known_since: now,
            order: number,
            send_at: None,
            peak: TaskSize::default(),
            seen_running: false,
            ran_ms: 0,
            overran: 0,
            throttled: false,
            preempted_at: None,
        }
    }

    /// Returns whether the attempt uses capacity of its worker.
    pub(super) fn uses_capacity(&self) -> bool {
        matches!(
            self.phase,
            PlacementPhase::Held { .. }
                | PlacementPhase::Starting { .. }
                | PlacementPhase::Running
                | PlacementPhase::Stopping { .. }
        )
    }

    /// Returns whether the attempt waits for free capacity.
    pub(super) fn is_queued(&self) -> bool {
        self.phase == PlacementPhase::Queued
    }

    /// Returns whether the attempt is assigned to a worker that has not been sent a start command yet.
    pub(super) fn is_unsent(&self) -> bool {
        matches!(
            self.phase,
            PlacementPhase::Held { .. } | PlacementPhase::Starting { sent: false }
        )
    }

    /// Returns whether the attempt may be stopped for urgent work.
    pub(super) fn is_preemptible(&self) -> bool {
        let label = &self.label;
        self.phase == PlacementPhase::Running
            && !label.urgent
            && label.repeatable
            && !label.gang
            && label.service.is_none()
    }
}
