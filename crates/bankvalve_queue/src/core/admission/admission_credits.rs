//! Admission credits: the share of each queue's new jobs that is passed on to the leader.
//!
//! Problem: in a burst of many times the usual load, most jobs are refused by the forecast. If the leader had to
//! refuse each of them by itself, its CPU and link would be used up. So it lowers the share of a queue of which it
//! refuses most jobs, and the instances that callers reach refuse the rest at once. The leader still refuses some of
//! the jobs that reach it, so that it notices when it can accept more.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::core::admission::load_limit::ShareGate;
use crate::ids::CoreTime;
use crate::peer::{AdmissionCredits, QueueCredit};

/// Time between two changes of the shares: a few heartbeats, so that the effect of a change is visible.
const ADJUST_INTERVAL: Duration = Duration::from_millis(250);
/// Jobs of a queue that must have reached the leader since the last change for its share to be lowered.
const MIN_JOBS: u64 = 8;
/// Share of a queue's jobs refused by the leader above which its credit is lowered, and below which it is raised, in
/// percent.
const LOWER_ABOVE: u64 = 50;
const RAISE_BELOW: u64 = 25;
/// Minimum credit, in percent. It lets the leader notice that it can accept more again.
const MIN_PERCENT: u32 = 5;
/// Factor by which a credit is lowered at most in one change.
const MAX_FALL: u32 = 2;
/// Maximum number of queues in a table.
const MAX_QUEUES: usize = 64;
/// Age from which a table counts as none.
const MAX_AGE: Duration = Duration::from_millis(2_000);
/// Minimum and maximum time after which a refused caller may retry, in milliseconds.
const RETRY_RANGE_MS: (u64, u64) = (300, 5_000);

/// What the leader has decided about a queue's jobs.
#[derive(Clone, Copy, Debug)]
struct QueueTally {
    percent: u32,
    accepted: u64,
    refused: u64,
    /// Longest time after which a caller was told to retry, in milliseconds.
    retry_ms: u64,
}

impl Default for QueueTally {
    fn default() -> Self {
        Self {
            percent: 100,
            accepted: 0,
            refused: 0,
            retry_ms: RETRY_RANGE_MS.0,
        }
    }
}

impl QueueTally {
    fn adjust(&mut self) {
        let (accepted, refused) = (self.accepted, self.refused);
        let seen = accepted + refused;
        let refused_percent = refused * 100 / seen.max(1);
        if refused == 0 {
            self.percent = 100;
        } else if seen >= MIN_JOBS && refused_percent > LOWER_ABOVE {
            // With this share, the leader would have refused half of the jobs.
            let wanted = u64::from(self.percent) * 2 * accepted / seen;
            let wanted = u32::try_from(wanted).unwrap_or(u32::MAX);
            self.percent = wanted.max(self.percent / MAX_FALL).max(MIN_PERCENT);
        } else if refused_percent < RAISE_BELOW {
            self.percent = (self.percent * 3 / 2).min(100);
        }
        *self = Self {
            percent: self.percent,
            retry_ms: if refused == 0 {
                RETRY_RANGE_MS.0
            } else {
                self.retry_ms
            },
            ..Self::default()
        };
    }
}

/// The leader's part: the share of each queue's new jobs that it wants to see.
#[derive(Clone, Debug, Default)]
pub struct CreditMeter {
    queues: BTreeMap<String, QueueTally>,
    adjusted_at: Option<CoreTime>,
}

impl CreditMeter {
    /// Records that a job was accepted.
    pub fn record_accepted(&mut self, queue: &str) {
        self.tally(queue).accepted += 1;
    }

    /// Records that a job was refused by the forecast, and after which time its caller may retry.
    pub fn record_refused(&mut self, queue: &str, retry_ms: u64) {
        let tally = self.tally(queue);
        tally.refused += 1;
        tally.retry_ms = tally.retry_ms.max(retry_ms);
    }

    fn tally(&mut self, queue: &str) -> &mut QueueTally {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueTally::default());
        }
        self.queues.entry(queue.to_owned()).or_default()
    }

    /// Changes the shares if that is due.
    pub fn update(&mut self, now: CoreTime) {
        let due = |at: CoreTime| now.saturating_sub(at) >= ADJUST_INTERVAL;
        if !self.adjusted_at.is_none_or(due) {
            return;
        }
        self.adjusted_at = Some(now);
        self.queues.values_mut().for_each(QueueTally::adjust);
        self.queues.retain(|_, tally| tally.percent < 100);
    }

    /// Returns the queues of which less than all jobs are passed on, those with the smallest share first.
    pub fn credits(&self) -> Vec<QueueCredit> {
        let limited = self.queues.iter().filter(|(_, tally)| tally.percent < 100);
        let mut credits: Vec<QueueCredit> = limited
            .map(|(queue, tally)| QueueCredit {
                queue: queue.clone(),
                percent: tally.percent,
                retry_ms: tally.retry_ms,
            })
            .collect();
        credits.sort_by_key(|credit| credit.percent);
        credits.truncate(MAX_QUEUES);
        credits
    }
}

/// Which rules of a [`CreditGate`] apply; all of them except in checks.
#[derive(Clone, Copy, Debug)]
pub struct CreditRules {
    /// Whether a table older than 2 s counts as none.
    pub age: bool,
    /// Whether a former leader's table counts as none.
    pub epoch: bool,
}

impl Default for CreditRules {
    fn default() -> Self {
        Self {
            age: true,
            epoch: true,
        }
    }
}

/// The part of the instances that callers reach: it passes a share of each queue's jobs on.
#[derive(Clone, Debug, Default)]
pub struct CreditGate {
    table: Option<AdmissionCredits>,
    received_at: CoreTime,
    gates: BTreeMap<String, ShareGate>,
}

impl CreditGate {
    /// Replaces the table by that of a heartbeat.
    pub fn receive(&mut self, table: Option<&AdmissionCredits>, now: CoreTime) {
        self.received_at = now;
        self.table = table.cloned();
        if let Some(table) = &mut self.table {
            table.queues.truncate(MAX_QUEUES);
        }
        let table = self.table.as_ref();
        let is_limited = |queue: &String| {
            table.is_some_and(|table| table.queues.iter().any(|credit| credit.queue == *queue))
        };
        self.gates.retain(|queue, _| is_limited(queue));
    }

    /// Returns the table in force, with its age at `now`; `None` if there is none from the leader of `epoch`.
    pub fn table(&self, epoch: u64, now: CoreTime, rules: CreditRules) -> Option<AdmissionCredits> {
        let (table, age_ms) = self.in_force(epoch, now, rules)?;
        let table = table.clone();
        Some(AdmissionCredits { age_ms, ..table })
    }

    fn in_force(
        &self,
        epoch: u64,
        now: CoreTime,
        rules: CreditRules,
    ) -> Option<(&AdmissionCredits, u64)> {
        let table = self.table.as_ref()?;
        let held = now.saturating_sub(self.received_at);
        let age_ms = table.age_ms.saturating_add(held.as_millis() as u64);
        let is_old = u128::from(age_ms) > MAX_AGE.as_millis();
        let is_outdated = rules.age && is_old;
        let is_former = rules.epoch && table.epoch != epoch;
        let counts = !is_outdated && !is_former;
        counts.then_some((table, age_ms))
    }

    /// Decides whether the next job of a queue is passed on.
    ///
    /// # Errors
    ///
    /// If it is not, returns the longest time after which its caller may retry, in milliseconds.
    pub fn pass(
        &mut self,
        queue: &str,
        epoch: u64,
        now: CoreTime,
        rules: CreditRules,
    ) -> Result<(), u64> {
        let table = self.in_force(epoch, now, rules);
        let mut limited = table.iter().flat_map(|(table, _)| &table.queues);
        let credit = limited.find(|credit| credit.queue == queue);
        let Some((percent, retry_ms)) = credit.map(|credit| (credit.percent, credit.retry_ms))
        else {
            return Ok(());
        };
        let gate = self.gates.entry(queue.to_owned()).or_default();
        if gate.passes(percent.min(100)) {
            return Ok(());
        }
        let (least, most) = RETRY_RANGE_MS;
        Err(retry_ms.clamp(least, most))
    }
}

/// Returns a time from half of `longest_ms` on, in milliseconds, that differs by `spread`, a number that differs
/// between jobs.
pub(in crate::core) fn spread_retry_ms(longest_ms: u64, spread: u64) -> u64 {
    let (least, most) = RETRY_RANGE_MS;
    let first = (longest_ms / 2).clamp(least, most);
    let last = longest_ms.clamp(first, most);
    first + spread % (last - first + 1)
}
