//! What an instance tells about its decisions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::caller::RefusalReason;
use crate::core::TaskWaits;
use crate::customer::CustomerName;
use crate::job::TaskSize;

/// One decision, to be logged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionLine {
    /// Part that decided.
    pub part: &'static str,
    /// What was decided.
    pub event: &'static str,
    /// Job, task, worker or peer that it is about.
    pub id: String,
    /// What decided it, and its age or version.
    pub detail: String,
}

/// Counters of an instance.
#[derive(Clone, Debug, Default)]
pub struct EntryCounters {
    counts: BTreeMap<(&'static str, &'static str), u64>,
}

impl EntryCounters {
    /// Counts something of a family by its kind.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut counters = bankvalve_queue::EntryCounters::default();
    /// counters.count("retries", "store_lost");
    /// assert_eq!(counters.of("retries", "store_lost"), 1);
    /// ```
    pub fn count(&mut self, family: &'static str, kind: &'static str) {
        self.count_many(family, kind, 1);
    }

    /// Counts several things of a family by their kind.
    pub fn count_many(&mut self, family: &'static str, kind: &'static str, number: u64) {
        *self.counts.entry((family, kind)).or_default() += number;
    }

    /// Counts a refusal.
    pub fn refuse(&mut self, reason: RefusalReason) {
        self.count("refusals", reason.as_str());
    }

    /// One counter.
    pub fn of(&self, family: &'static str, kind: &'static str) -> u64 {
        self.counts.get(&(family, kind)).copied().unwrap_or(0)
    }

    /// All counters: family, kind, count.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> + '_ {
        self.counts
            .iter()
            .map(|((family, kind), count)| (*family, *kind, *count))
    }
}

/// How a customer stands, as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerView {
    /// The customer.
    pub name: CustomerName,
    /// What it has running, or may have.
    pub running: TaskSize,
    /// Its tasks that wait for room.
    pub waiting_tasks: u64,
    /// Its jobs that were accepted by this leader.
    pub accepted: u64,
    /// Of them those beyond its share.
    pub beyond_share: u64,
    /// Its jobs that were refused since they were beyond its share.
    pub refused: u64,
}

/// How an instance stands, for readiness and metrics.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// Whether it may be given callers.
    pub ready: bool,
    /// Whether it leads.
    pub leading: bool,
    /// Whether it leads and still reads the ledger.
    pub loading: bool,
    /// Whether a planned stop is over.
    pub stopped: bool,
    /// Jobs known.
    pub jobs: u64,
    /// Tasks that wait for room.
    pub waiting_tasks: u64,
    /// Runs on workers.
    pub live_runs: u64,
    /// Tasks that do not run though they did, as its leader sees them; none on others.
    pub task_waits: TaskWaits,
    /// Version of the configuration in force; 0 before the first.
    pub table_version: u64,
    /// Time since the table last told whether there is a newer one; none if it never did.
    pub table_age: Option<Duration>,
    /// Time since the leader was heard; zero on the leader, none if none is known.
    pub leader_age: Option<Duration>,
    /// Batches of the ledger in its book.
    pub ledger_batches: u64,
    /// Milliseconds for which it has known of no leader that works.
    pub leaderless_ms: u64,
    /// Customers with the most running, as its leader sees them; none on others.
    pub customers: Vec<CustomerView>,
    /// Counters.
    pub counters: EntryCounters,
}
