//! Pages in which the ledger is read: as large as the link carries in a fraction of a second.

use std::time::Duration;

use crate::ids::CoreTime;

/// Rows of the first page: some 55 KB on the busiest sites, which a link of 2 Mbit/s carries in
/// 0.2 s; on a wide one it grows fourfold with each page.
const FIRST_ROWS: u32 = 32;
/// Least and most rows of a page; the table gives no more than the latter.
const LEAST_ROWS: u32 = 4;
const MOST_ROWS: u32 = 500;
/// First and longest wait for a page; a row of 64 KiB takes 0.35 s on a link of 2 Mbit/s.
const FIRST_TIME: Duration = Duration::from_millis(900);
const LONGEST_TIME: Duration = Duration::from_millis(4_000);
/// Pages that the link carries sooner are enlarged, those that take it longer made smaller; the
/// table's own time for an answer says nothing of the link.
const SOON: Duration = Duration::from_millis(150);
const LATE: Duration = Duration::from_millis(450);
/// Pages that it carries in this part of the former time, as a divisor, are enlarged twice as much.
const VERY_SOON: u32 = 4;
/// A page is waited for this many times as long as a small answer takes, at least.
const LATENCY_FACTOR: u32 = 4;

/// How the ledger is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LedgerPage {
    pub(super) rows: u32,
    pub(super) time: Duration,
    pub(super) asked_at: CoreTime,
}

impl Default for LedgerPage {
    fn default() -> Self {
        Self {
            rows: FIRST_ROWS,
            time: FIRST_TIME,
            asked_at: CoreTime::ZERO,
        }
    }
}

impl LedgerPage {
    /// Wait for the next page, where a small answer takes so long.
    pub(super) fn time_to_wait(&self, latency: Duration) -> Duration {
        self.time.max(latency * LATENCY_FACTOR).min(LONGEST_TIME)
    }

    /// A page came so long after it was asked for, where a small answer takes so long; one that was
    /// not full, at the end of the ledger, does not tell that a larger one comes as soon.
    pub(super) fn note_came(&mut self, full: bool, took: Duration, latency: Duration) {
        let carried = took.saturating_sub(latency);
        if carried > LATE {
            self.rows = (self.rows / 2).max(LEAST_ROWS);
        } else if full && carried < SOON / VERY_SOON {
            self.rows = (self.rows * 4).min(MOST_ROWS);
        } else if full && carried < SOON {
            self.rows = (self.rows * 2).min(MOST_ROWS);
        }
        self.time = self.time.max(took * 2).min(LONGEST_TIME);
    }

    /// A page did not come: the next one has more time, and is smaller unless the table is slow.
    pub(super) fn note_missed(&mut self, latency: Duration) {
        if latency < self.time / 2 {
            self.rows = (self.rows / 4).max(LEAST_ROWS);
        }
        self.time = (self.time * 2).min(LONGEST_TIME);
    }
}
