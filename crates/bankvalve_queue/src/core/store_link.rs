//! Requests to the table: watches, and where answers go.

use std::time::Duration;

use super::EntryCore;
use crate::ids::{CoreTime, Ticket};
use crate::store::{StoreOutcome, StoreRequest};

/// Table that holds the leader's row and the members' rows.
pub(super) const CELL_TABLE: &str = "cell";
/// Table that holds the ledger.
pub(super) const LEDGER_TABLE: &str = "ledger";
/// Part of the leader's row and of the ledger, so that they change together.
pub(super) const LEAD_PART: &str = "lead";
/// Part of the members' rows.
pub(super) const MEMBER_PART: &str = "member";

/// Longest that a watch on the workers' entries waits; a connection on which an answer was lost
/// says nothing more, so this bounds how old they can get.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// The same for members' rows and the leader's, of which heartbeats tell sooner.
const CELL_WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// Members from which on a site has many: when all start at once, each row that is written wakes
/// every one of them.
const MANY_MEMBERS: usize = 12;
/// Pause between two watches of members' rows on such a site, so that changes come together.
const MANY_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a request that failed; it doubles with each one that does, since each instance that
/// asks a table that is away is paid for, and delays its return.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Most doublings of it.
const RETRY_DOUBLINGS: u32 = 3;

/// What a request to the table was for.
#[derive(Clone, Debug)]
pub(super) enum StorePurpose {
    Register,
    Claim,
    Commit {
        sequence: u64,
        sent_at: CoreTime,
    },
    CheckCommit {
        sequence: u64,
        sent_at: CoreTime,
    },
    Confirm,
    /// A page of the ledger from a batch on.
    ReadLedger {
        from: u64,
    },
    LeaderRow,
    ReadCell,
    WatchCell,
    Operator,
    AskOperator,
    /// Of the workers' entries: a page of all of them, or what has changed since.
    Workers {
        full: bool,
        /// Number of the reading of all entries that it belongs to.
        reading: u64,
    },
    DropMember,
    Probe,
}

/// A watch on a table.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// Version up to which changes are known; none before the first read.
    pub(super) after: Option<u64>,
    pub(super) busy: bool,
    pub(super) next_at: CoreTime,
    /// Requests that failed since the last one that did not.
    pub(super) failures: u32,
}

impl WatchState {
    pub(super) fn is_due(&self, now: CoreTime) -> bool {
        !self.busy && now >= self.next_at
    }

    /// A request ended, well or not.
    pub(super) fn end(&mut self, well: bool, now: CoreTime) {
        self.busy = false;
        if well {
            self.failures = 0;
        } else {
            self.back_off(now);
        }
    }

    /// A request failed; the next one waits.
    pub(super) fn back_off(&mut self, now: CoreTime) {
        let doublings = self.failures.min(RETRY_DOUBLINGS);
        self.failures += 1;
        self.next_at = now + RETRY_PAUSE * 2_u32.pow(doublings);
    }
}

impl EntryCore {
    pub(super) fn run_watches(&mut self) {
        let wait_ms = WATCH_WAIT.as_millis() as u64;
        if self.cell_watch.is_due(self.now) {
            self.cell_watch.busy = true;
            match self.cell_watch.after {
                None => self.read_cell(),
                Some(after) => {
                    let table = CELL_TABLE.to_owned();
                    let request = StoreRequest::Watch {
                        table,
                        after,
                        wait_ms: CELL_WATCH_WAIT.as_millis() as u64,
                    };
                    self.send_store_request(StorePurpose::WatchCell, request);
                }
            }
        }
        self.run_table();
        if self.lead.is_some() && self.worker_watch.is_due(self.now) {
            self.worker_watch.busy = true;
            self.worker_list_sent = self.now;
            let (request, full) = match self.worker_watch.after {
                None => {
                    self.entry_scan.begin();
                    let from = String::new();
                    (StoreRequest::ReadWorkers { from }, true)
                }
                Some(after) => (StoreRequest::WatchWorkers { after, wait_ms }, false),
            };
            let reading = self.entry_scan.number();
            self.send_store_request(StorePurpose::Workers { full, reading }, request);
        }
    }

    fn read_cell(&mut self) {
        let table = CELL_TABLE.to_owned();
        let part = MEMBER_PART.to_owned();
        let from = String::new();
        self.send_store_request(
            StorePurpose::ReadCell,
            StoreRequest::Read {
                table,
                part,
                from,
                limit: None,
            },
        );
    }

    pub(super) fn handle_store_answer(&mut self, ticket: Ticket, outcome: StoreOutcome) {
        let Some(question) = self.open_store_requests.remove(&ticket) else {
            return;
        };
        self.store_arrived(ticket);
        self.note_answer_time(&question, &outcome);
        if !matches!(outcome, StoreOutcome::Lost | StoreOutcome::Busy) {
            self.store_last_contact = Some(self.now);
        }
        match &outcome {
            StoreOutcome::Lost => self.counters.count("retries", "store_lost"),
            StoreOutcome::Busy => self.counters.count("retries", "store_busy"),
            StoreOutcome::HistoryGone => self.counters.count("retries", "store_history_gone"),
            _ => {}
        }
        match question.purpose {
            StorePurpose::Register => self.end_register(&outcome),
            StorePurpose::Claim => self.end_claim(outcome),
            StorePurpose::Commit { sequence, sent_at } => {
                self.end_commit(sequence, sent_at, outcome);
            }
            StorePurpose::CheckCommit { sequence, sent_at } => {
                self.end_check(sequence, sent_at, &outcome);
            }
            StorePurpose::Confirm => self.end_confirm(&outcome),
            StorePurpose::ReadLedger { from } => {
                self.end_ledger_page(from, question.asked_at, outcome);
            }
            StorePurpose::LeaderRow => self.end_leader_row(&outcome),
            StorePurpose::ReadCell => self.end_read_cell(outcome),
            StorePurpose::WatchCell => self.end_watch_cell(outcome),
            StorePurpose::Operator => self.end_operator(outcome),
            StorePurpose::AskOperator => self.end_ask_operator(outcome),
            StorePurpose::Workers { full, reading } => self.end_workers(outcome, full, reading),
            StorePurpose::DropMember => {}
            StorePurpose::Probe => self.end_probe(&outcome),
        }
    }

    fn end_read_cell(&mut self, outcome: StoreOutcome) {
        let StoreOutcome::Rows { rows, version, .. } = outcome else {
            self.cell_watch.after = None;
            self.cell_watch.busy = false;
            self.cell_watch.back_off(self.now);
            return;
        };
        for row in rows {
            self.handle_cell_row(&row.key, Some(&row.value), row.version);
        }
        self.cell_watch.after = Some(version);
        self.cell_watch.busy = false;
        self.cell_watch.failures = 0;
        if !self.members_known {
            self.members_known = true;
            self.read_leader_row();
            // After a loss of all, the others learn by it that the leader's life is over.
            self.next_heartbeat = self.now;
            if self.is_first_successor() {
                self.read_ledger();
            }
        }
    }

    fn end_watch_cell(&mut self, outcome: StoreOutcome) {
        let many = self.peers.len() > MANY_MEMBERS;
        let watch = &mut self.cell_watch;
        watch.busy = false;
        match outcome {
            StoreOutcome::Changes { changes, version } => {
                watch.after = Some(version);
                watch.failures = 0;
                if many {
                    watch.next_at = self.now + MANY_PAUSE;
                }
                for change in changes {
                    self.handle_cell_row(&change.key, change.value.as_deref(), change.version);
                }
            }
            StoreOutcome::HistoryGone => {
                watch.after = None;
                self.read_leader_row();
            }
            _ => watch.back_off(self.now),
        }
        self.run_watches();
    }

    fn end_workers(&mut self, outcome: StoreOutcome, full: bool, reading: u64) {
        // An answer to what was asked during an earlier lead belongs to no reading of now.
        if reading != self.entry_scan.number() {
            return;
        }
        match outcome {
            StoreOutcome::Workers {
                entries,
                more,
                version,
            } => {
                let last = entries.last().map(|(id, _)| id.to_string());
                if full {
                    self.entry_scan.note_page(&entries, version);
                }
                self.handle_worker_entries(entries, full);
                if more {
                    // A sign before all that ids are made of, so that the last one is not read again.
                    let from = format!("{}!", last.unwrap_or_default());
                    let request = StoreRequest::ReadWorkers { from };
                    self.send_store_request(StorePurpose::Workers { full, reading }, request);
                    return;
                }
                let version = if full {
                    self.finish_entry_scan().unwrap_or(version)
                } else {
                    version
                };
                self.worker_watch.after = Some(version);
                self.worker_watch.busy = false;
                self.worker_list_at = Some(self.worker_list_sent);
            }
            StoreOutcome::HistoryGone => {
                self.worker_watch.after = None;
                self.worker_watch.busy = false;
            }
            _ => {
                self.worker_watch.busy = false;
                self.worker_watch.next_at = self.now + RETRY_PAUSE;
            }
        }
        self.run_watches();
    }
}
