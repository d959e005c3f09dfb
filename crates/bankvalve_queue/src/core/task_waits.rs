//! Reasons for which a task that has run before does not run now, and how many tasks wait for each.

use std::time::Duration;

/// Reason why the last run of a task is assumed to be running on a worker that is out of contact.
///
/// "Hold" in the names means the worker's lease. The reasons are logged and counted under these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// A lease that this leader requested may not have expired on the worker yet.
    OwnHold,
    /// A lease that a former leader requested may not have expired; when that leader stopped renewing leases
    /// is known.
    FormerHoldKnown,
    /// A lease that a former leader requested may not have expired; when that leader stopped is not known, so
    /// the latest possible time is assumed.
    FormerHoldAssumed,
    /// The lease has expired, but the worker's entry still exists in the table.
    EntryListed,
    /// The leadership of this leader is not confirmed, so it declares no run lost.
    Unconfirmed,
}

impl WaitReason {
    /// All reasons.
    pub const ALL: [WaitReason; 5] = [
        WaitReason::OwnHold,
        WaitReason::FormerHoldKnown,
        WaitReason::FormerHoldAssumed,
        WaitReason::EntryListed,
        WaitReason::Unconfirmed,
    ];

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::OwnHold => "own_hold",
            WaitReason::FormerHoldKnown => "former_hold_known",
            WaitReason::FormerHoldAssumed => "former_hold_assumed",
            WaitReason::EntryListed => "entry_listed",
            WaitReason::Unconfirmed => "unconfirmed",
        }
    }

    /// Returns the metric name of the number of such tasks.
    pub fn quantity(self) -> &'static str {
        match self {
            WaitReason::OwnHold => "unheard_own_hold",
            WaitReason::FormerHoldKnown => "unheard_former_hold_known",
            WaitReason::FormerHoldAssumed => "unheard_former_hold_assumed",
            WaitReason::EntryListed => "unheard_entry_listed",
            WaitReason::Unconfirmed => "unheard_unconfirmed",
        }
    }
}

/// Reason why a task whose run has ended has not started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartWait {
    /// The table refuses writes or does not answer, so that no start can be committed.
    TableAway,
    /// The leadership of this leader is not confirmed, or it has not read the workers' entries yet.
    Unconfirmed,
    /// Other members of its gang, or earlier steps, have not ended yet.
    Others,
    /// The task is a suspect, and waits until it may start isolated or until a worker is free.
    Suspect,
    /// There is no valid permit for any worker, and an advice request is in flight.
    Advice,
    /// There is no valid permit for any worker, and no advice request is in flight.
    Permits,
    /// Capacity is being reclaimed for it.
    RoomMade,
    /// No worker has enough free capacity.
    NoRoom,
    /// None of the other reasons: it waits behind other steps, or for workers that may run it.
    Placing,
}

impl StartWait {
    /// All reasons.
    pub const ALL: [StartWait; 9] = [
        StartWait::TableAway,
        StartWait::Unconfirmed,
        StartWait::Others,
        StartWait::Suspect,
        StartWait::Advice,
        StartWait::Permits,
        StartWait::RoomMade,
        StartWait::NoRoom,
        StartWait::Placing,
    ];

    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StartWait::TableAway => "table_away",
            StartWait::Unconfirmed => "unconfirmed",
            StartWait::Others => "others",
            StartWait::Suspect => "suspect",
            StartWait::Advice => "advice",
            StartWait::Permits => "permits",
            StartWait::RoomMade => "room_made",
            StartWait::NoRoom => "no_room",
            StartWait::Placing => "placing",
        }
    }

    /// Returns the metric name of the number of such tasks.
    pub fn quantity(self) -> &'static str {
        match self {
            StartWait::TableAway => "restart_table_away",
            StartWait::Unconfirmed => "restart_unconfirmed",
            StartWait::Others => "restart_others",
            StartWait::Suspect => "restart_suspect",
            StartWait::Advice => "restart_advice",
            StartWait::Permits => "restart_permits",
            StartWait::RoomMade => "restart_room_made",
            StartWait::NoRoom => "restart_no_room",
            StartWait::Placing => "restart_placing",
        }
    }
}

/// Numbers of tasks that have run before and do not run now, by reason, as of the leader's last scan.
#[derive(Clone, Debug, Default)]
pub struct TaskWaits {
    pub(super) lost_contact: [u64; WaitReason::ALL.len()],
    pub(super) starts: [u64; StartWait::ALL.len()],
    /// Longest time since the last contact with a worker for which a task waits.
    pub oldest_lost_contact: Option<Duration>,
    /// Longest time since the end of a run whose task waits to start again.
    pub oldest_start: Option<Duration>,
}

impl TaskWaits {
    /// Returns the number of tasks that wait for a worker that is out of contact, for a reason.
    pub fn lost_contact(&self, reason: WaitReason) -> u64 {
        self.lost_contact[reason as usize]
    }

    /// Returns the number of tasks whose run ended at least two seconds ago and that wait to start, for a
    /// reason.
    pub fn starts(&self, reason: StartWait) -> u64 {
        self.starts[reason as usize]
    }

    /// Returns all counts with their metric names.
    ///
    /// # Examples
    ///
    /// ```
    /// let waits = bankvalve_queue::TaskWaits::default();
    /// assert!(waits.quantities().all(|(_, tasks)| tasks == 0));
    /// ```
    pub fn quantities(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let lost_contact = WaitReason::ALL
            .iter()
            .map(|reason| (reason.quantity(), self.lost_contact(*reason)));
        let starts = StartWait::ALL
            .iter()
            .map(|reason| (reason.quantity(), self.starts(*reason)));
        lost_contact.chain(starts)
    }
}
