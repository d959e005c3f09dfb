//! What customers send beyond their shares comes after what the others send within theirs.
//!
//! The pattern that it answers: one customer sends many times its usual. Served in the order in
//! which jobs come, it takes the room of all others, who have sent no more than before. So each
//! customer has a token bucket that fills at its weight; a job for which there is no token starts
//! where nothing else wants the room, and is refused at once while much else waits for it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
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

/// Customers that metrics name at most.
const VIEWS: usize = 64;

/// Tokens of one customer.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: CoreTime,
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
    /// Open jobs beyond their customers' shares.
    beyond: BTreeSet<JobId>,
    /// Processor for which tasks waited at the last placement, as a share of all room in percent.
    backlog_percent: u64,
}

impl CustomerShares {
    /// Whether a job was beyond its customer's share when it came.
    pub(super) fn is_beyond(&self, job: JobId) -> bool {
        self.beyond.contains(&job)
    }

    /// Forgets jobs that are over.
    pub(super) fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.beyond.retain(|job| open(*job));
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
        shares.beyond.insert(job);
        self.counters.count("jobs", "beyond_share");
        Ok(())
    }

    /// Customers with the most running, for the metrics.
    pub(super) fn customer_views(&self) -> Vec<CustomerView> {
        let Some(lead) = self.lead.as_deref().filter(|_| self.limits.are_known()) else {
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
        let waiting = waiting.filter(|(key, _)| !lead.held_back.contains_key(key));
        let wanted = waiting.map(|(_, step)| step.size.millicores * u64::from(step.tasks));
        let wanted: u64 = wanted.sum();
        let rooms = lead.seats.values().map(|seat| seat.entry.room.millicores);
        let all: u64 = rooms.sum();
        lead.shares.backlog_percent = wanted * 100 / all.max(1);
    }
}
