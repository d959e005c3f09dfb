//! Why a task does not run though it did: the reasons, and how many tasks wait for each.

use std::time::Duration;

/// Why a task waits whose last run is believed on a worker that is not heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// This leader asked the worker to hold what it runs until a time that may not have come there.
    OwnHold,
    /// The leader before may have asked so; when it stopped is known.
    FormerHoldKnown,
    /// The same of a leader of whose end nothing was heard: the latest one that could be is assumed.
    FormerHoldAssumed,
    /// The hold is over, and the worker's entry still stands in the table.
    EntryListed,
    /// This leader is not sure that it leads, and gives nothing up.
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

    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            WaitReason::OwnHold => "own_hold",
            WaitReason::FormerHoldKnown => "former_hold_known",
            WaitReason::FormerHoldAssumed => "former_hold_assumed",
            WaitReason::EntryListed => "entry_listed",
            WaitReason::Unconfirmed => "unconfirmed",
        }
    }

    /// Name of the count of such tasks in the metrics.
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

/// Why a task whose run has ended has not started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartWait {
    /// The table turns writes away or does not answer, so that no start could be kept.
    TableAway,
    /// This leader is not sure that it leads, or has not read the workers' entries yet.
    Unconfirmed,
    /// Others of its gang, or steps before it, are not over yet.
    Others,
    /// Workers ended under it, and it waits for its turn to run alone, or for a worker to itself.
    Suspect,
    /// No permit for any worker is at hand.
    Permits,
    /// Room is being made for it.
    RoomMade,
    /// No worker has the room.
    NoRoom,
    /// None of these: it waits behind others, or for workers that may run it.
    Placing,
}

impl StartWait {
    /// All reasons.
    pub const ALL: [StartWait; 8] = [
        StartWait::TableAway,
        StartWait::Unconfirmed,
        StartWait::Others,
        StartWait::Suspect,
        StartWait::Permits,
        StartWait::RoomMade,
        StartWait::NoRoom,
        StartWait::Placing,
    ];

    /// Word for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            StartWait::TableAway => "table_away",
            StartWait::Unconfirmed => "unconfirmed",
            StartWait::Others => "others",
            StartWait::Suspect => "suspect",
            StartWait::Permits => "permits",
            StartWait::RoomMade => "room_made",
            StartWait::NoRoom => "no_room",
            StartWait::Placing => "placing",
        }
    }

    /// Name of the count of such tasks in the metrics.
    pub fn quantity(self) -> &'static str {
        match self {
            StartWait::TableAway => "restart_table_away",
            StartWait::Unconfirmed => "restart_unconfirmed",
            StartWait::Others => "restart_others",
            StartWait::Suspect => "restart_suspect",
            StartWait::Permits => "restart_permits",
            StartWait::RoomMade => "restart_room_made",
            StartWait::NoRoom => "restart_no_room",
            StartWait::Placing => "restart_placing",
        }
    }
}

/// Tasks that do not run though they did, by reason, as the leader last looked.
#[derive(Clone, Debug, Default)]
pub struct TaskWaits {
    pub(super) lost_contact: [u64; WaitReason::ALL.len()],
    pub(super) starts: [u64; StartWait::ALL.len()],
    /// Time since the worker was last heard of the task that waits longest for one that is not heard.
    pub oldest_lost_contact: Option<Duration>,
    /// Time since the run ended of the task that waits longest for its start.
    pub oldest_start: Option<Duration>,
}

impl TaskWaits {
    /// Tasks that wait for a worker that is not heard, for a reason.
    pub fn lost_contact(&self, reason: WaitReason) -> u64 {
        self.lost_contact[reason as usize]
    }

    /// Tasks whose run ended two seconds ago or more and that wait to start, for a reason.
    pub fn starts(&self, reason: StartWait) -> u64 {
        self.starts[reason as usize]
    }

    /// All counts, by the name that they have in the metrics.
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
