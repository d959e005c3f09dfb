//! The guards on which the invariants rest; a check can disable one.

/// A guard that a check can disable, to show that its absence is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GuardName {
    /// A new owner declares an earlier owner's attempt lost only when it has fenced the workers.
    WorkerFence,
    /// An intent is committed before the placement order is sent.
    IntentFirst,
    /// An unresponsive worker's tasks are declared lost only when their leases are known to have expired.
    LeaseEnd,
    /// A write without an answer is resolved by sending it again and, on a conflict, reading the row.
    ReadBack,
    /// A gang starts only when all its tasks have reserved capacity.
    GangCommit,
    /// The worker's owner checks its free capacity, whatever digest the partition was chosen from.
    OwnerCapacity,
    /// A commit requires that the team partition still has the same owner.
    CommitFence,
    /// The release of an attempt requires that the worker partition still has the same owner.
    ReleaseFence,
    /// A task that is not repeatable does not run again after it was lost.
    RepeatOnlyIfAllowed,
    /// A quota check counts attempts that are not committed yet.
    QuotaPending,
    /// Late and repeated batches of peers are dropped.
    PeerOrder,
    /// The bundle in force is replaced only by one with a higher version.
    BundleRises,
}

impl GuardName {
    /// All guards.
    pub const ALL: &'static [Self] = &[
        Self::WorkerFence,
        Self::IntentFirst,
        Self::LeaseEnd,
        Self::ReadBack,
        Self::GangCommit,
        Self::OwnerCapacity,
        Self::CommitFence,
        Self::ReleaseFence,
        Self::RepeatOnlyIfAllowed,
        Self::QuotaPending,
        Self::PeerOrder,
        Self::BundleRises,
    ];

    /// Returns the name used on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::WorkerFence => "worker-fence",
            Self::IntentFirst => "intent-first",
            Self::LeaseEnd => "lease-end",
            Self::ReadBack => "read-back",
            Self::GangCommit => "gang-commit",
            Self::OwnerCapacity => "owner-capacity",
            Self::CommitFence => "commit-fence",
            Self::ReleaseFence => "release-fence",
            Self::RepeatOnlyIfAllowed => "repeat-only-if-allowed",
            Self::QuotaPending => "quota-pending",
            Self::PeerOrder => "peer-order",
            Self::BundleRises => "bundle-rises",
        }
    }
}

/// The guards in force: all of them, unless a check disables one.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::owner::{GuardName, GuardSet};
///
/// let guards = GuardSet::without(GuardName::ReadBack);
/// assert!(!guards.enforces(GuardName::ReadBack));
/// assert!(GuardSet::default().enforces(GuardName::ReadBack));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardSet {
    disabled: Option<GuardName>,
}

impl GuardSet {
    /// Returns all guards but one.
    pub fn without(name: GuardName) -> Self {
        let disabled = Some(name);
        Self { disabled }
    }

    /// Returns whether a guard is in force.
    pub fn enforces(self, name: GuardName) -> bool {
        self.disabled != Some(name)
    }
}
