//! Decision log, counters and status of an instance.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::caller::RefusalReason;
use crate::core::TaskWaits;
use crate::customer::CustomerName;
use crate::ids::DomainName;
use crate::job::TaskSize;
use crate::peer::AdmissionCredits;

/// A line of the decision log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionLine {
    /// Part of the instance that made the decision.
    pub part: &'static str,
    /// What was decided.
    pub event: &'static str,
    /// Job, task, worker or peer that the decision concerns.
    pub id: String,
    /// Facts on which the decision is based, with their age or version.
    pub detail: String,
}

/// Counters of an instance, by family and kind.
#[derive(Clone, Debug, Default)]
pub struct EntryCounters {
    counts: BTreeMap<(&'static str, &'static str), u64>,
}

impl EntryCounters {
    /// Adds one to a counter.
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

    /// Adds a number to a counter.
    pub fn count_many(&mut self, family: &'static str, kind: &'static str, number: u64) {
        *self.counts.entry((family, kind)).or_default() += number;
    }

    /// Counts a refused request.
    pub fn refuse(&mut self, reason: RefusalReason) {
        self.count("refusals", reason.as_str());
    }

    /// Returns the value of a counter; 0 if nothing was counted.
    pub fn of(&self, family: &'static str, kind: &'static str) -> u64 {
        self.counts.get(&(family, kind)).copied().unwrap_or(0)
    }

    /// Returns all counters, each as family, kind and value.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, &'static str, u64)> + '_ {
        self.counts
            .iter()
            .map(|((family, kind), count)| (*family, *kind, *count))
    }
}

/// Status of a customer, as known to the leader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerView {
    /// Name of the customer.
    pub name: CustomerName,
    /// Resources of its tasks that are running or may be running.
    pub running: TaskSize,
    /// Number of its tasks that wait for capacity.
    pub waiting_tasks: u64,
    /// Number of its jobs that this leader has accepted.
    pub accepted: u64,
    /// Number of the accepted jobs that were beyond its share.
    pub beyond_share: u64,
    /// Number of its jobs that this leader has refused because they were beyond its share.
    pub refused: u64,
}

/// An evacuated failure domain, as known to an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationView {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Version of the table at which the operator requested the evacuation.
    pub requested_at: u64,
    /// Time since the instance learned of it.
    pub age: Duration,
}

/// What the leader expects of the speed of a group of workers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerGroupView {
    /// Failure domain.
    pub domain: DomainName,
    /// Label of the kind; empty if the workers have none.
    pub kind: String,
    /// Factor of the run times on its workers over those on a usual worker.
    pub time_factor: f64,
    /// Number of measurements that the factor is from, at most 2,000. Tasks of a step count for less than one.
    pub measurements: f64,
}

/// Status of an instance, for readiness and metrics.
#[derive(Clone, Debug, Default)]
pub struct EntryView {
    /// Whether the instance is ready to accept requests of callers.
    pub ready: bool,
    /// Whether it leads.
    pub leading: bool,
    /// Whether it leads but is still reading the ledger.
    pub loading: bool,
    /// Whether a planned stop is complete.
    pub stopped: bool,
    /// Number of jobs in its book.
    pub jobs: u64,
    /// Number of tasks that wait for capacity; 0 unless it leads.
    pub waiting_tasks: u64,
    /// Number of runs on workers; 0 unless it leads.
    pub live_runs: u64,
    /// CPU that the leader reserves for planned starts, in millicores; 0 on other instances.
    pub reserved_millicores: u64,
    /// What of it has stood idle recently, in millicores; 0 on other instances.
    pub idle_reserved_millicores: u64,
    /// Tasks that have run before and do not run now, as known to the leader; empty on other instances.
    pub task_waits: TaskWaits,
    /// Version of the configuration in force; 0 if there is none yet.
    pub table_version: u64,
    /// Time since the table last answered a watch or a query of the configuration; `None` if it never has.
    pub table_age: Option<Duration>,
    /// Time since the last contact with the leader: zero on the leader itself, `None` if no leader is known.
    pub leader_age: Option<Duration>,
    /// Number of ledger batches in its book.
    pub ledger_batches: u64,
    /// Time for which it has known no working leader, in milliseconds.
    pub leaderless_ms: u64,
    /// Customers with the most CPU in use, as known to the leader; empty on other instances.
    pub customers: Vec<CustomerView>,
    /// Expected wait of work that arrives now, by priority, as known to the leader; empty on other instances and
    /// without a recent forecast.
    pub forecast_waits: Vec<(u32, Duration)>,
    /// Share of a queue's new jobs that the instance passes on to the leader, where it is not all of them.
    pub credits: Option<AdmissionCredits>,
    /// Evacuated failure domains.
    pub evacuations: Vec<EvacuationView>,
    /// Groups of workers with the most measurements, as known to the leader; empty on other instances.
    pub worker_groups: Vec<WorkerGroupView>,
    /// Counters.
    pub counters: EntryCounters,
}
