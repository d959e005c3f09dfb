//! Shares of customers: jobs beyond their customer's share come after the jobs of other customers that
//! are within theirs.
//!
//! Problem: one customer submits many times more jobs than usual. If jobs were served in the order of
//! their arrival, it would take the capacity of all other customers, which submit no more than before.
//! So each customer has a token bucket that fills at the rate of its weight. A job without a token
//! starts only in capacity that no other job needs, and is refused at once while many tasks wait for
//! capacity.
//!
//! The scheduled start of such a job is when the bucket has filled for it and for the customer's earlier
//! open jobs of this kind. From then on it ranks like a job within the share, so no job waits forever.
//! A job that ends before that time returns its token, so a customer does not pay for capacity that
//! nobody else needed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::EntryCore;
use crate::customer::CustomerName;
use crate::decision::CustomerView;
use crate::ids::{CoreTime, JobId};
use crate::policy::PolicySwitch;

/// Time in which an empty bucket becomes full. It allows for bursts, since jobs arrive in waves.
const BUCKET_FILL_TIME: Duration = Duration::from_millis(2_000);
/// Minimum capacity of a bucket, in tokens, so that a small customer may submit a few jobs at once.
const MIN_CAPACITY: f64 = 4.0;
/// CPU that waiting tasks request, in percent of the CPU of all workers, from which jobs beyond their
/// customer's share are refused.
const SITE_FULL_PERCENT: u64 = 25;
/// Minimum and maximum time after which a caller may retry whose job was beyond its customer's share,
/// in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (1_000, 5_000);
/// Time range over which the retries of callers that are refused at the same time are spread, in
/// milliseconds.
const SPREAD_MS: u64 = 1_000;

/// Maximum time until the scheduled start of a job, in seconds.
const MAX_START_DELAY_S: f64 = 300.0;
/// Maximum number of customers in the metrics.
const MAX_CUSTOMER_VIEWS: usize = 64;

/// Token bucket of one customer.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: CoreTime,
}

/// Scheduled start of a job beyond its customer's share: from then on it ranks like one within it.
#[derive(Clone, Copy, Debug)]
pub(in crate::core) struct ScheduledStart {
    pub(in crate::core) at: CoreTime,
    /// Time from its submission to its scheduled start.
    pub(in crate::core) wait: Duration,
}

/// An open job that was beyond its customer's share when it was submitted.
#[derive(Clone, Debug)]
struct BeyondJob {
    customer: CustomerName,
    scheduled_start: ScheduledStart,
}

/// Number of jobs of one customer under this leader.
#[derive(Clone, Copy, Debug, Default)]
struct JobTally {
    accepted: u64,
    beyond_share: u64,
    refused: u64,
}

impl TokenBucket {
    /// Fills the bucket up to `now`, at the rate of a weight in jobs per second.
    fn fill(&mut self, weight: f64, now: CoreTime) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * weight).min(capacity_of(weight));
        self.filled_at = now;
    }
}

fn capacity_of(weight: f64) -> f64 {
    (weight * BUCKET_FILL_TIME.as_secs_f64()).max(MIN_CAPACITY)
}

/// Token buckets of customers, and their jobs beyond their shares.
#[derive(Debug, Default)]
pub(in crate::core) struct CustomerShares {
    buckets: BTreeMap<CustomerName, TokenBucket>,
    tallies: BTreeMap<CustomerName, JobTally>,
    beyond: BTreeMap<JobId, BeyondJob>,
    /// CPU that waiting tasks requested at the last placement pass, in percent of the CPU of all workers.
    backlog_percent: u64,
}

impl CustomerShares {
    /// Returns the scheduled start of a job that was beyond its customer's share, or `None` for any other.
    pub(in crate::core) fn scheduled_start(&self, job: JobId) -> Option<ScheduledStart> {
        self.beyond.get(&job).map(|beyond| beyond.scheduled_start)
    }

    /// Removes a job that has ended, and returns its token if it ended before its scheduled start.
    pub(in crate::core) fn end_job(&mut self, job: JobId, now: CoreTime) {
        let Some(beyond) = self.beyond.remove(&job) else {
            return;
        };
        let bucket = self.buckets.get_mut(&beyond.customer);
        if let Some(bucket) = bucket.filter(|_| beyond.scheduled_start.at > now) {
            bucket.tokens += 1.0;
        }
    }

    /// Removes jobs that are no longer open.
    pub(in crate::core) fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.beyond.retain(|job, _| open(*job));
    }
}

impl EntryCore {
    /// Takes a token for a submitted job. If there is none and the site is full, returns the time after
    /// which the caller may retry, in milliseconds.
    pub(in crate::core) fn take_share(
        &mut self,
        job: JobId,
        customer: Option<&CustomerName>,
    ) -> Result<(), u64> {
        let now = self.now;
        let (Some(customer), true) = (customer, self.uses(PolicySwitch::CustomerShares)) else {
            return Ok(());
        };
        let rule = self
            .table
            .as_ref()
            .and_then(|table| table.customer(customer));
        let Some(weight) = rule.map(|rule| rule.weight).filter(|weight| *weight > 0.0) else {
            return Ok(());
        };
        let Some(lead) = self.lead.as_deref_mut() else {
            return Ok(());
        };
        let shares = &mut lead.shares;
        let tally = shares.tallies.entry(customer.clone()).or_default();
        tally.accepted += 1;
        let full = TokenBucket {
            tokens: capacity_of(weight),
            filled_at: now,
        };
        let bucket = shares.buckets.entry(customer.clone()).or_insert(full);
        bucket.fill(weight, now);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        if shares.backlog_percent >= SITE_FULL_PERCENT {
            tally.accepted -= 1;
            tally.refused += 1;
            let (least, most) = RETRY_RANGE_MS;
            let wait_ms = (1.0 - bucket.tokens) / weight * 1_000.0;
            return Err((wait_ms as u64).clamp(least, most) + job % SPREAD_MS);
        }
        tally.beyond_share += 1;
        bucket.tokens -= 1.0;
        let wait = Duration::from_secs_f64((-bucket.tokens / weight).clamp(0.0, MAX_START_DELAY_S));
        let beyond = BeyondJob {
            customer: customer.clone(),
            scheduled_start: ScheduledStart {
                at: now + wait,
                wait,
            },
        };
        shares.beyond.insert(job, beyond);
        self.counters.count("jobs", "beyond_share");
        Ok(())
    }

    /// Returns the customers with the most CPU in use, for the metrics.
    pub(in crate::core) fn customer_views(&self) -> Vec<CustomerView> {
        // Without a configuration, customers may have limits that are not known yet.
        let may_be_limited = self.limits.are_known() || self.table.is_none();
        let Some(lead) = self.lead.as_deref().filter(|_| may_be_limited) else {
            return Vec::new();
        };
        let mut views: BTreeMap<&CustomerName, CustomerView> = BTreeMap::new();
        let usage = lead.sum_usage();
        for (name, running) in usage.running() {
            views.entry(name).or_default().running = *running;
        }
        for step in lead.waiting.values() {
            if let Some(name) = &step.customer {
                views.entry(name).or_default().waiting_tasks += u64::from(step.tasks);
            }
        }
        for (name, tally) in &lead.shares.tallies {
            let view = views.entry(name).or_default();
            view.accepted = tally.accepted;
            view.beyond_share = tally.beyond_share;
            view.refused = tally.refused;
        }
        let named = views.into_iter();
        let mut views: Vec<CustomerView> = named
            .map(|(name, view)| CustomerView {
                name: name.clone(),
                ..view
            })
            .collect();
        views.sort_by_key(|view| Reverse(view.running.millicores));
        views.truncate(MAX_CUSTOMER_VIEWS);
        views
    }

    /// Records how much CPU the tasks request that a placement pass leaves waiting. Tasks that wait for their
    /// customer's limit do not count: they leave the free capacity to others.
    pub(in crate::core) fn record_backlog(&mut self) {
        if !self.limits.are_known() {
            return;
        }
        let limits = &self.limits;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let mut usage = lead.usage.clone();
        let waiting = lead.waiting.iter();
        let waiting = waiting.filter(|(key, _)| !lead.waiting_for_limit.contains_key(key));
        let wanted =
            waiting.map(|(_, step)| limits.take_startable(step, &mut usage) * step.size.millicores);
        let wanted: u64 = wanted.sum();
        let capacities = lead
            .worker_states
            .values()
            .filter(|state| !state.domain_evacuated)
            .map(|state| state.entry.room.millicores);
        let all: u64 = capacities.sum();
        lead.shares.backlog_percent = wanted * 100 / all.max(1);
    }
}
