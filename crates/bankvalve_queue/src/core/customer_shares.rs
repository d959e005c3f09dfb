//! What customers send beyond their shares comes after what the others send within theirs.
//!
//! The pattern that it answers: one customer sends many times its usual. Served in the order in
//! which jobs come, it takes the room of all others, who have sent no more than before. So each
//! customer has a token bucket that fills at its weight; a job for which there is no token starts
//! where nothing else wants the room, and is refused at once while much else waits for it.
//!
//! Such a job has its turn when the bucket has filled for it and for those of its customer before it
//! that are still open, so that none waits for ever; one that is over by then gives its token back, so
//! that a customer does not pay for room that nobody else wanted.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::EntryCore;
use crate::customer::CustomerName;
use crate::decision::CustomerView;
use crate::ids::{CoreTime, JobId};
use crate::policy::PolicySwitch;

/// Time for which a customer's bucket fills until it is full: callers come in waves.
const BUCKET_TIME: Duration = Duration::from_millis(2_000);
/// Least tokens that a full bucket holds, so that a small customer may send a few jobs together.
const LEAST_TOKENS: f64 = 4.0;
/// Processor for which tasks wait, as a share of all room in percent, from which on jobs beyond
/// their customer's share are refused.
const FULL_PERCENT: u64 = 25;
/// When a caller whose job is beyond its customer's share may come back, at least and at most, in
/// milliseconds.
const COME_BACK_MS: (u64, u64) = (1_000, 5_000);
/// Span over which those who are refused together come back, in milliseconds.
const SPREAD_MS: u64 = 1_000;

/// Longest time until a job has its turn, in seconds.
const LONGEST_TURN_S: f64 = 300.0;
/// Customers that metrics name at most.
const VIEWS: usize = 64;

/// Tokens of one customer.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: CoreTime,
}

/// When a job has its turn beside those within their customers' shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobTurn {
    pub(super) at: CoreTime,
    /// Time from its coming to its turn.
    pub(super) wait: Duration,
}

/// An open job that was beyond its customer's share when it came.
#[derive(Clone, Debug)]
struct BeyondJob {
    customer: CustomerName,
    turn: JobTurn,
}

/// Jobs of one customer, as this leader has counted them.
#[derive(Clone, Copy, Debug, Default)]
struct JobTally {
    accepted: u64,
    beyond_share: u64,
    refused: u64,
}

impl TokenBucket {
    /// Fills it up to a time, at a weight in jobs a second.
    fn fill(&mut self, weight: f64, now: CoreTime) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * weight).min(capacity_of(weight));
        self.filled_at = now;
    }
}

fn capacity_of(weight: f64) -> f64 {
    (weight * BUCKET_TIME.as_secs_f64()).max(LEAST_TOKENS)
}

/// Who has sent more than its share lately.
#[derive(Debug, Default)]
pub(super) struct CustomerShares {
    buckets: BTreeMap<CustomerName, TokenBucket>,
    tallies: BTreeMap<CustomerName, JobTally>,
    beyond: BTreeMap<JobId, BeyondJob>,
    /// Processor for which tasks waited at the last placement, as a share of all room in percent.
    backlog_percent: u64,
}

impl CustomerShares {
    /// When a job has its turn, if it was beyond its customer's share when it came.
    pub(super) fn turn_of(&self, job: JobId) -> Option<JobTurn> {
        self.beyond.get(&job).map(|beyond| beyond.turn)
    }

    /// A job is over.
    pub(super) fn end_job(&mut self, job: JobId, now: CoreTime) {
        let Some(beyond) = self.beyond.remove(&job) else {
            return;
        };
        let bucket = self.buckets.get_mut(&beyond.customer);
        if let Some(bucket) = bucket.filter(|_| beyond.turn.at > now) {
            bucket.tokens += 1.0;
        }
    }

    /// Forgets jobs that are over.
    pub(super) fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.beyond.retain(|job, _| open(*job));
    }
}

impl EntryCore {
    /// Takes a token for a job that comes, or tells when its caller may come back if there is none
    /// and the site is full.
    pub(super) fn take_share(
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
        if shares.backlog_percent >= FULL_PERCENT {
            tally.accepted -= 1;
            tally.refused += 1;
            let (least, most) = COME_BACK_MS;
            let wait_ms = (1.0 - bucket.tokens) / weight * 1_000.0;
            return Err((wait_ms as u64).clamp(least, most) + job % SPREAD_MS);
        }
        tally.beyond_share += 1;
        bucket.tokens -= 1.0;
        let wait = Duration::from_secs_f64((-bucket.tokens / weight).clamp(0.0, LONGEST_TURN_S));
        let beyond = BeyondJob {
            customer: customer.clone(),
            turn: JobTurn {
                at: now + wait,
                wait,
            },
        };
        shares.beyond.insert(job, beyond);
        self.counters.count("jobs", "beyond_share");
        Ok(())
    }

    /// Customers with the most running, for the metrics.
    pub(super) fn customer_views(&self) -> Vec<CustomerView> {
        // Without a configuration it is not known either that customers have no limits.
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
        views.truncate(VIEWS);
        views
    }

    /// Notes how much waits for room, at a placement.
    pub(super) fn note_backlog(&mut self) {
        if !self.limits.are_known() {
            return;
        }
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let waiting = lead.waiting.iter();
        let waiting = waiting.filter(|(key, _)| !lead.waiting_for_limit.contains_key(key));
        let wanted = waiting.map(|(_, step)| step.size.millicores * u64::from(step.tasks));
        let wanted: u64 = wanted.sum();
        let rooms = lead
            .worker_states
            .values()
            .map(|state| state.entry.room.millicores);
        let all: u64 = rooms.sum();
        lead.shares.backlog_percent = wanted * 100 / all.max(1);
    }
}
