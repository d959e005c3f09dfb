//! Counters of refusals and retries, and the invariants that the program asserts of itself.

use std::collections::BTreeMap;

use crate::refusal::{RefusalReason, RetryReason};

/// Most breaches whose text is kept.
const MAX_BREACH_TEXTS: usize = 32;

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantKind {
    /// No worker holds more than its size.
    Capacity,
    /// No attempt is adopted while a later one exists.
    SinglePlace,
    /// No team holds more than its quota.
    Quota,
    /// The bundle's version never falls.
    BundleRises,
    /// A ledger batch follows from the batch before it.
    ChainUnbroken,
    /// Nothing is sent out for an event before it is committed.
    IntentFirst,
    /// A gang's tasks start only after all hold room.
    GangTogether,
    /// A worker that is leaving gets no new task.
    LeavingUntouched,
}

impl InvariantKind {
    /// All invariants.
    pub const ALL: &'static [Self] = &[
        Self::Capacity,
        Self::SinglePlace,
        Self::Quota,
        Self::BundleRises,
        Self::ChainUnbroken,
        Self::IntentFirst,
        Self::GangTogether,
        Self::LeavingUntouched,
    ];

    /// Name used for counters and reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Capacity => "capacity",
            Self::SinglePlace => "single_place",
            Self::Quota => "quota",
            Self::BundleRises => "bundle_rises",
            Self::ChainUnbroken => "chain_unbroken",
            Self::IntentFirst => "intent_first",
            Self::GangTogether => "gang_together",
            Self::LeavingUntouched => "leaving_untouched",
        }
    }
}

/// What an entry instance counts.
///
/// # Examples
///
/// ```
/// use bankvalve_cell::tally::{CellTally, InvariantKind};
///
/// let mut tally = CellTally::default();
/// tally.assert(InvariantKind::Quota, true, || "never built".into());
/// assert_eq!(tally.checked(InvariantKind::Quota), 1);
/// assert!(tally.breaches().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CellTally {
    refusals: BTreeMap<RefusalReason, u64>,
    retries: BTreeMap<RetryReason, u64>,
    checks: BTreeMap<InvariantKind, u64>,
    breaches: Vec<String>,
    breach_count: u64,
    /// Placements decided by worker partitions.
    pub placed: u64,
    /// Tasks preempted for urgent work.
    pub preempted: u64,
    /// Peer batches dropped for being late or repeated.
    pub peer_batches_dropped: u64,
    /// Workers' answers dropped for being late or repeated.
    pub worker_answers_dropped: u64,
    /// Batches committed to the ledger.
    pub ledger_commits: u64,
    /// Events committed to the ledger.
    pub ledger_events: u64,
    /// Partitions taken over.
    pub claims: u64,
}

impl CellTally {
    /// Counts a refusal.
    pub fn refuse(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts a retry.
    pub fn retry(&mut self, reason: RetryReason) {
        *self.retries.entry(reason).or_default() += 1;
    }

    /// Counts a check of an invariant, and keeps its breach.
    pub fn assert(&mut self, kind: InvariantKind, holds: bool, text: impl FnOnce() -> String) {
        *self.checks.entry(kind).or_default() += 1;
        if holds {
            return;
        }
        self.breach_count += 1;
        if self.breaches.len() < MAX_BREACH_TEXTS {
            self.breaches.push(format!("{}: {}", kind.as_str(), text()));
        }
    }

    /// Refusals by reason.
    pub fn refusals(&self) -> &BTreeMap<RefusalReason, u64> {
        &self.refusals
    }

    /// Retries by reason.
    pub fn retries(&self) -> &BTreeMap<RetryReason, u64> {
        &self.retries
    }

    /// How often an invariant was checked.
    pub fn checked(&self, kind: InvariantKind) -> u64 {
        self.checks.get(&kind).copied().unwrap_or(0)
    }

    /// Texts of the first breaches.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Number of all breaches.
    pub fn breach_count(&self) -> u64 {
        self.breach_count
    }
}
