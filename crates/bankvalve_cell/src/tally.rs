//! Counters of refusals and retries, and the invariants that are checked at run time.

use std::collections::BTreeMap;

use crate::refusal::{RefusalReason, RetryReason};

/// Maximum number of breaches whose text is kept.
const MAX_BREACH_TEXTS: usize = 32;

/// Invariant that is checked at run time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum InvariantKind {
    /// No worker has more capacity reserved than its size.
    Capacity,
    /// A task has at most one unfinished attempt, which runs only on the worker assigned to it.
    SinglePlace,
    /// No team has more resources reserved than its quota.
    Quota,
    /// The bundle's version never decreases.
    BundleRises,
    /// Each ledger batch has the number after the batch before it, and a higher row version.
    ChainUnbroken,
    /// A placement order is sent only after the attempt's `Intended` event is committed.
    IntentFirst,
    /// A gang's tasks start only after capacity is reserved for all of them.
    GangTogether,
    /// A worker that is draining or leaving gets no new task.
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

    /// Returns the name used for counters and reports.
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

/// Counters of an entry instance.
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
    /// Number of attempts that worker partitions assigned to a worker.
    pub placed: u64,
    /// Number of tasks preempted for urgent work.
    pub preempted: u64,
    /// Number of peer batches dropped because they were out of order or repeated.
    pub peer_batches_dropped: u64,
    /// Number of workers' answers dropped because they were late or repeated.
    pub worker_answers_dropped: u64,
    /// Number of batches committed to the ledger.
    pub ledger_commits: u64,
    /// Number of events committed to the ledger.
    pub ledger_events: u64,
    /// Number of partitions taken over.
    pub claims: u64,
}

impl CellTally {
    /// Counts a refusal. Does not refuse anything itself.
    pub fn refuse(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Counts a retry. Does not retry anything itself.
    pub fn retry(&mut self, reason: RetryReason) {
        *self.retries.entry(reason).or_default() += 1;
    }

    /// Counts a check of an invariant, and records a breach if `holds` is false. Never panics.
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

    /// Returns the number of refusals by reason.
    pub fn refusals(&self) -> &BTreeMap<RefusalReason, u64> {
        &self.refusals
    }

    /// Returns the number of retries by reason.
    pub fn retries(&self) -> &BTreeMap<RetryReason, u64> {
        &self.retries
    }

    /// Returns how often an invariant was checked.
    pub fn checked(&self, kind: InvariantKind) -> u64 {
        self.checks.get(&kind).copied().unwrap_or(0)
    }

    /// Returns the texts of the first `MAX_BREACH_TEXTS` breaches.
    pub fn breaches(&self) -> &[String] {
        &self.breaches
    }

    /// Returns the number of all breaches.
    pub fn breach_count(&self) -> u64 {
        self.breach_count
    }
}
