//! The guards on which the invariants rest, so that a check can take one away.

/// A guard that can be taken away to show that its absence is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GuardName {
    /// A new owner fences workers and asks what they hold.
    WorkerFence,
    /// An intent is committed before the attempt is sent out.
    IntentFirst,
    /// A lost worker's tasks are given up only when their leases are surely over.
    LeaseEnd,
    /// A lost answer to a commit is resolved by trying and reading again.
    ReadBack,
    /// A gang starts only when all of it holds room.
    GangCommit,
    /// The worker's owner checks capacity, whatever the chooser saw.
    OwnerCapacity,
    /// A commit requires that the partition still has the same owner.
    CommitFence,
    /// The release of an attempt requires that the worker partition still has the same owner.
    ReleaseFence,
    /// A task that must not be repeated is not tried again when it was lost.
    RepeatOnlyIfAllowed,
    /// A partition's quota counts attempts that are not committed yet.
    QuotaPending,
    /// Late and repeated batches of peers are dropped.
    PeerOrder,
    /// The bundle in force is replaced by a later one only.
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

    /// Name used on the command line.
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

/// The guards in force: all of them, unless a check takes one away.
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
    /// All guards but one.
    pub fn without(name: GuardName) -> Self {
        let disabled = Some(name);
        Self { disabled }
    }

    /// Tells whether a guard is in force.
    pub fn enforces(self, name: GuardName) -> bool {
        self.disabled != Some(name)
    }
}
