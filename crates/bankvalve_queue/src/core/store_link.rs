//! Requests to the table: its watches, and dispatch of the answers to all requests.

use std::time::Duration;

use super::EntryCore;
use crate::ids::{CoreTime, Ticket, WorkerId};
use crate::store::{StoreOutcome, StoreRequest, WorkerRow};

/// Table of the leader's row.
pub(super) const CELL_TABLE: &str = "cell";
/// Table of the ledger.
pub(super) const LEDGER_TABLE: &str = "ledger";
/// Part of the leader's row and of the ledger. They share it so that one transaction can cover both.
pub(super) const LEAD_PART: &str = "lead";

/// Maximum size of a key in the table, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Maximum time that a watch on the workers' entries waits for a change. A watch whose answer is lost
/// reports nothing until it times out, so this limits the age of the entries.
const WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Maximum time that a watch on the leader's row waits for a change. Heartbeats report such changes sooner.
const CELL_WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// The same for watches of members of a large site that do not lead soon: others tell them of changes, and
/// the number of their requests must not grow with the site.
pub(super) const RELAXED_WATCH_WAIT: Duration = Duration::from_millis(10_000);
/// Initial pause after a failed request. It doubles with each further failure, since requests to an
/// unavailable table are billed and delay its recovery.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Maximum number of doublings of [`RETRY_PAUSE`].
const MAX_RETRY_DOUBLINGS: u32 = 3;

/// What a request to the table is for.
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
    /// Read of the leader's row by the leader, to confirm its leadership.
    Confirm,
    /// A page of the ledger that starts at a batch.
    ReadLedger {
        from: u64,
    },
    LeaderRow,
    ReadCell,
    WatchCell,
    /// A page of the members' rows.
    ReadMembers,
    WatchMembers,
    /// Read of this instance's own member row.
    ReadOwnRow,
    /// Read or watch of the operator's configuration.
    WatchConfig,
    /// Query for a newer configuration than the watch has delivered.
    QueryConfig,
    /// Read of the operator's evacuations that the read of the configuration did not contain.
    ReadEvacuations,
    /// Workers' entries: a page of all of them, or their changes since a version.
    Workers {
        full: bool,
        /// Number of the scan of all entries that the request belongs to.
        scan: u64,
    },
    DropMember,
    /// Read of the leader's row by a follower, to find out whether the table answers it.
    Probe,
}

/// State of a watch on a table.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// Version up to which changes are known, or `None` before the first read.
    pub(super) after: Option<u64>,
    pub(super) busy: bool,
    pub(super) next_at: CoreTime,
    /// Number of requests that have failed since the last success.
    pub(super) failures: u32,
}

impl WatchState {
    pub(super) fn is_due(&self, now: CoreTime) -> bool {
        !self.busy && now >= self.next_at
    }

    /// Records the end of a request.
    pub(super) fn end(&mut self, succeeded: bool, now: CoreTime) {
        self.busy = false;
        if succeeded {
            self.failures = 0;
        } else {
            self.back_off(now);
        }
    }

    /// Records a failed request and delays the next one.
    pub(super) fn back_off(&mut self, now: CoreTime) {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS);
        self.failures += 1;
        self.next_at = now + RETRY_PAUSE * 2_u32.pow(doublings);
    }
}

impl EntryCore {
    pub(super) fn run_watches(&mut self) {
        let wait_ms = WATCH_WAIT.as_millis() as u64;
        self.run_member_rows();
        if self.cell_watch.is_due(self.now) {
            self.cell_watch.busy = true;
            match self.cell_watch.after {
                None => self.read_cell(),
                Some(after) => {
                    let table = CELL_TABLE.to_owned();
                    let wait = if self.relies_on_others() {
                        RELAXED_WATCH_WAIT
                    } else {
                        CELL_WATCH_WAIT
                    };
                    let request = StoreRequest::Watch {
                        table,
                        after,
                        wait_ms: wait.as_millis() as u64,
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
            let scan = self.entry_scan.number();
            self.send_store_request(StorePurpose::Workers { full, scan }, request);
        }
    }

    fn read_cell(&mut self) {
        self.request_leader_row(StorePurpose::ReadCell);
    }

    /// Returns whether others tell this instance of changes of the configuration and of the leader: it is a
    /// member of a large site that ranks after the first ones and after the leader.
    pub(super) fn relies_on_others(&self) -> bool {
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let leader = leader.and_then(|address| self.peers.get(&address));
        let is_weaker = leader.is_some_and(|leader| self.settings.strength <= leader.strength);
        self.member_rows.are_partial() && is_weaker
    }

    pub(super) fn handle_store_answer(&mut self, ticket: Ticket, outcome: StoreOutcome) {
        let Some(pending_request) = self.open_store_requests.remove(&ticket) else {
            return;
        };
        self.store_arrived(ticket);
        self.update_timeouts(&pending_request, &outcome);
        if !matches!(outcome, StoreOutcome::Lost | StoreOutcome::Busy) {
            self.store_last_contact = Some(self.now);
        }
        match &outcome {
            StoreOutcome::Lost => self.counters.count("retries", "store_lost"),
            StoreOutcome::Busy => self.counters.count("retries", "store_busy"),
            StoreOutcome::HistoryGone => self.counters.count("retries", "store_history_gone"),
            _ => {}
        }
        match pending_request.purpose {
            StorePurpose::Register => self.end_register(&outcome),
            StorePurpose::Claim => self.end_claim(outcome),
            StorePurpose::Commit { sequence, sent_at } => {
                self.end_commit(sequence, sent_at, outcome);
            }
            StorePurpose::CheckCommit { sequence, sent_at } => {
                self.end_commit_check(sequence, sent_at, &outcome);
            }
            StorePurpose::Confirm => self.end_confirm(&outcome),
            StorePurpose::ReadLedger { from } => {
                self.end_ledger_page(from, pending_request.sent_at, outcome);
            }
            StorePurpose::LeaderRow => self.end_leader_row(&outcome),
            StorePurpose::ReadCell => self.end_read_cell(outcome),
            StorePurpose::WatchCell => self.end_watch_cell(outcome),
            StorePurpose::ReadMembers => self.end_member_page(outcome),
            StorePurpose::WatchMembers => self.end_member_watch(outcome),
            StorePurpose::ReadOwnRow => self.end_read_own_row(outcome),
            StorePurpose::WatchConfig => self.end_config_watch(outcome),
            StorePurpose::QueryConfig => self.end_config_query(outcome),
            StorePurpose::ReadEvacuations => self.end_evacuation_read(outcome),
            StorePurpose::Workers { full, scan } => self.end_workers(outcome, full, scan),
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
        self.handle_leader_rows(&rows);
        self.cell_watch.after = Some(version);
        self.cell_watch.end(true, self.now);
        self.run_watches();
    }

    fn end_watch_cell(&mut self, outcome: StoreOutcome) {
        let watch = &mut self.cell_watch;
        watch.busy = false;
        match outcome {
            StoreOutcome::Changes { changes, version } => {
                watch.after = Some(version);
                watch.failures = 0;
                for change in changes.iter().filter(|change| change.key.part == LEAD_PART) {
                    if let Some(value) = &change.value {
                        self.handle_leader_row(value, change.version);
                    }
                }
            }
            StoreOutcome::HistoryGone => watch.after = None,
            _ => watch.back_off(self.now),
        }
        self.run_watches();
    }

    fn end_workers(&mut self, outcome: StoreOutcome, full: bool, scan: u64) {
        // Ignores answers to requests from an earlier leadership, which belong to no current scan.
        if scan != self.entry_scan.number() {
            return;
        }
        match outcome {
            StoreOutcome::Workers {
                entries,
                more,
                version,
            } => {
                let next = next_page_start(&entries);
                if full {
                    self.entry_scan.record_scan_page(&entries, version);
                }
                self.handle_worker_entries(entries, full);
                if let Some(from) = next.filter(|_| more) {
                    let request = StoreRequest::ReadWorkers { from };
                    self.send_store_request(StorePurpose::Workers { full, scan }, request);
                    return;
                }
                if more {
                    self.counters.count("worker_entries", "page_without_key");
                    self.worker_watch.busy = false;
                    self.worker_watch.next_at = self.now + RETRY_PAUSE;
                    self.run_watches();
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

/// Returns the first key after a page of workers' entries, or `None` if no key on the page can be read.
fn next_page_start(entries: &[(WorkerId, WorkerRow)]) -> Option<String> {
    let keys = entries.iter().rev().map(|(id, _)| id.to_string());
    let mut key = keys.into_iter().find(|key| !key.is_empty())?;
    if key.len() < MAX_KEY_BYTES {
        // `!` sorts before all characters of ids.
        key.push('!');
        return Some(key);
    }
    // No longer key exists, so the next one differs in an earlier character.
    while let Some(last) = key.pop() {
        let next = char::from_u32(u32::from(last) + 1);
        if let Some(next) = next.filter(|next| key.len() + next.len_utf8() <= MAX_KEY_BYTES) {
            key.push(next);
            return Some(key);
        }
    }
    None
}
