//! Pages in which the ledger is read: as large as the link carries in a fraction of a second.

use std::time::Duration;

use crate::ids::CoreTime;

/// Rows of the first page: some 200 KB on the busiest sites, which a link of 10 Mbit/s carries in
/// 0.2 s.
const FIRST_ROWS: u32 = 200;
/// Least and most rows of a page; the table gives no more than the latter.
const LEAST_ROWS: u32 = 4;
const MOST_ROWS: u32 = 500;
/// First and longest wait for a page; a row of 64 KiB takes 0.35 s on a link of 2 Mbit/s.
const FIRST_TIME: Duration = Duration::from_millis(900);
const LONGEST_TIME: Duration = Duration::from_millis(4_000);
/// Pages that come sooner are enlarged, those that come later made smaller.
const SOON: Duration = Duration::from_millis(150);
const LATE: Duration = Duration::from_millis(450);

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
    /// A page came so long after it was asked for.
    pub(super) fn note_came(&mut self, took: Duration) {
        if took < SOON {
            self.rows = (self.rows * 2).min(MOST_ROWS);
        } else if took > LATE {
            self.rows = (self.rows / 2).max(LEAST_ROWS);
        }
        self.time = self.time.max(took * 2).min(LONGEST_TIME);
    }

    /// A page did not come: the next one is smaller and has more time.
    pub(super) fn note_missed(&mut self) {
        self.rows = (self.rows / 4).max(LEAST_ROWS);
        self.time = (self.time * 2).min(LONGEST_TIME);
    }
}
