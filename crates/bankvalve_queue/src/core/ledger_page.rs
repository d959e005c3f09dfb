//! Size and timeout of the pages in which the ledger is read. A page should be as large as the link
//! transfers in a fraction of a second.

use std::time::Duration;

use crate::ids::CoreTime;

/// Number of rows of the first page: about 55 KB on the busiest sites, which a link of 2 Mbit/s
/// transfers in 0.2 s. On a fast link each page is four times as large as the one before.
const INITIAL_ROWS: u32 = 32;
/// Minimum and maximum number of rows of a page. The table returns no more than the maximum.
const MIN_ROWS: u32 = 4;
const MAX_ROWS: u32 = 500;
/// Initial and maximum timeout of a page. A row of 64 KiB takes 0.35 s on a link of 2 Mbit/s.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(900);
const MAX_PAGE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Transfer times of a page below which the next one is larger, and above which it is smaller. They do
/// not include the latency of the table, which says nothing about the link.
const FAST_PAGE: Duration = Duration::from_millis(150);
const SLOW_PAGE: Duration = Duration::from_millis(450);
/// Divisor of [`FAST_PAGE`] that gives the transfer time below which the next page is four times as large.
const VERY_FAST_DIVISOR: u32 = 4;
/// Minimum timeout of a page, as a multiple of the latency of a small answer.
const LATENCY_FACTOR: u32 = 4;

/// Size and timeout of the next page of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LedgerPage {
    pub(super) rows: u32,
    pub(super) time: Duration,
    pub(super) sent_at: CoreTime,
}

impl Default for LedgerPage {
    fn default() -> Self {
        Self {
            rows: INITIAL_ROWS,
            time: INITIAL_TIMEOUT,
            sent_at: CoreTime::ZERO,
        }
    }
}

impl LedgerPage {
    /// Limits the next page, which starts at the beginning of the ledger: the rows there may be much
    /// larger than those that the size was adjusted to.
    pub(super) fn restart(&mut self) {
        self.rows = self.rows.min(INITIAL_ROWS);
    }

    /// Returns the timeout of the next page, given the latency of a small answer.
    pub(super) fn timeout(&self, latency: Duration) -> Duration {
        self.time
            .max(latency * LATENCY_FACTOR)
            .min(MAX_PAGE_TIMEOUT)
    }

    /// Adjusts size and timeout after a page that took `took`, given the latency of a small answer. A
    /// page that was not full, at the end of the ledger, does not show that a larger one is as fast.
    pub(super) fn record_page(&mut self, full: bool, took: Duration, latency: Duration) {
        let transfer = took.saturating_sub(latency);
        if transfer > SLOW_PAGE {
            self.rows = (self.rows / 2).max(MIN_ROWS);
        } else if full && transfer < FAST_PAGE / VERY_FAST_DIVISOR {
            self.rows = (self.rows * 4).min(MAX_ROWS);
        } else if full && transfer < FAST_PAGE {
            self.rows = (self.rows * 2).min(MAX_ROWS);
        }
        self.time = self.time.max(took * 2).min(MAX_PAGE_TIMEOUT);
    }

    /// Doubles the timeout after a missing page, and reduces the size unless the table itself is slow.
    pub(super) fn record_miss(&mut self, latency: Duration) {
        if latency < self.time / 2 {
            self.rows = (self.rows / 4).max(MIN_ROWS);
        }
        self.time = (self.time * 2).min(MAX_PAGE_TIMEOUT);
    }
}
