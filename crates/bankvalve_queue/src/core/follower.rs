//! An instance that does not lead: it keeps its book close to the ledger's end.

use std::time::Duration;

use super::store_link::{StorePurpose, LEAD_PART, LEDGER_TABLE};
use super::store_requests::OpenStoreRequest;
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, WorkerId};
use crate::ledger::LedgerBatch;
use crate::peer::{PeerAddress, PeerMessage};
use crate::store::{StoreOutcome, StoreRequest};

/// Wait before missing batches are read, since they may still be on their way.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(1_500);

/// Pause before a leader asks anew for a page of the ledger, or an instance that knows none for the
/// leader's row, that did not come.
const LOAD_PAUSE: Duration = Duration::from_millis(120);

/// Time between two tellings of what was measured.
const MEASURES_EVERY: Duration = Duration::from_secs(2);

pub(super) fn batch_key(sequence: u64) -> String {
    format!("{sequence:012}")
}

impl EntryCore {
    pub(super) fn handle_message(&mut self, from: PeerAddress, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(news) => self.handle_heartbeat(from, news),
            PeerMessage::Ask {
                ticket,
                table_version,
                caller,
                request,
            } => {
                self.note_announced_version(from, table_version);
                self.handle_forwarded_request(from, ticket, table_version, &caller, request);
            }
            PeerMessage::Reply { ticket, answer } => self.handle_reply(from, ticket, answer),
            PeerMessage::MarkWanted { round } => self.send_read_index(from, round),
            PeerMessage::Mark { round, sequence } => self.handle_read_index(from, round, sequence),
            PeerMessage::Advise { ticket, ask } => self.proxy_advice(from, ticket, ask),
            PeerMessage::Advised { ticket, answer } => self.end_advice(ticket, answer),
            PeerMessage::Relay { from, to, message } => self.handle_relayed(from, to, message),
            PeerMessage::Carry { ticket, call } => self.proxy_call(from, ticket, call),
            PeerMessage::Carried { ticket, answer } => self.handle_worker_answer(ticket, answer),
            PeerMessage::Committed {
                epoch,
                sequence,
                batch,
                onward,
            } => {
                self.take_committed(epoch, sequence, &batch);
                self.pass_committed(epoch, sequence, batch, onward);
            }
            PeerMessage::Measured { workers, queues } => self.take_measures(workers, queues),
            PeerMessage::TakeOver { epoch, over } => self.handle_take_over(from, epoch, over),
            PeerMessage::TableWanted { version } => self.handle_table_wanted(from, version),
            PeerMessage::TableOffer { version, bytes } => {
                self.handle_table_offer(from, version, bytes);
            }
            PeerMessage::TableTaken => self.handle_table_taken(from),
            PeerMessage::TableRefused => self.drop_source(from),
            PeerMessage::Table { raw } => self.handle_peer_table(raw),
        }
    }

    /// Tells peers what was measured of workers and queues, every now and then.
    pub(super) fn send_measurements(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_measurements {
            return;
        }
        lead.next_measurements = now + MEASURES_EVERY;
        let workers: Vec<(WorkerId, f64)> = lead
            .worker_states
            .iter()
            .filter(|(_, state)| state.slowness != 0.0)
            .map(|(id, state)| (id.clone(), state.slowness))
            .collect();
        let queues: Vec<(String, f64)> = lead
            .estimate_error
            .iter()
            .map(|(queue, error)| (queue.clone(), *error))
            .collect();
        if workers.is_empty() {
            return;
        }
        for peer in self.live_standbys() {
            let message = PeerMessage::Measured {
                workers: workers.clone(),
                queues: queues.clone(),
            };
            self.send_message(peer, message);
        }
    }

    fn take_measures(&mut self, workers: Vec<(WorkerId, f64)>, queues: Vec<(String, f64)>) {
        if self.lead.is_none() {
            self.measurements = (workers.into_iter().collect(), queues.into_iter().collect());
        }
    }

    fn take_committed(&mut self, epoch: u64, sequence: u64, batch: &[u8]) {
        if self.lead.is_some() || epoch < self.highest_epoch || sequence <= self.applied {
            return;
        }
        if sequence == self.applied + 1 {
            self.apply_batch(sequence, batch);
            self.end_read_round();
        } else if self.catch_up_at.is_none() {
            self.catch_up_at = Some(self.now + CATCH_UP_PAUSE);
        }
    }

    /// Passes a batch on to the next standby, for a leader whose link is short.
    fn pass_committed(
        &mut self,
        epoch: u64,
        sequence: u64,
        batch: Vec<u8>,
        mut onward: Vec<PeerAddress>,
    ) {
        if onward.is_empty() {
            return;
        }
        let next = onward.remove(0);
        let message = PeerMessage::Committed {
            epoch,
            sequence,
            batch,
            onward,
        };
        self.send_message(next, message);
    }

    /// Applies the next batch of the ledger to the book.
    pub(super) fn apply_batch(&mut self, sequence: u64, batch: &[u8]) {
        match LedgerBatch::decode(batch) {
            Ok(batch) => {
                for event in &batch.events {
                    self.apply_event(event);
                }
            }
            Err(error) => {
                let id = sequence.to_string();
                self.log("ledger", "unreadable", id, error.to_string());
            }
        }
        self.applied = sequence;
    }

    pub(super) fn run_following(&mut self) {
        let due = self.catch_up_at.is_some_and(|at| self.now >= at);
        if self.lead.is_some() || !due || self.is_reading_ledger() {
            return;
        }
        self.catch_up_at = None;
        self.read_ledger();
    }

    /// Tells whether a page of the ledger is on its way.
    pub(super) fn is_reading_ledger(&self) -> bool {
        let reads = |question: &OpenStoreRequest| {
            matches!(question.purpose, StorePurpose::ReadLedger { .. })
        };
        self.open_store_requests.values().any(reads)
    }

    /// Asks for the next page of the ledger, unless one is on its way, whatever it was asked for:
    /// two side by side share a thin link and bring the same rows.
    pub(super) fn read_ledger(&mut self) {
        self.catching_up = true;
        if self.is_reading_ledger() {
            return;
        }
        let from = self.applied + 1;
        let request = StoreRequest::Read {
            table: LEDGER_TABLE.to_owned(),
            part: LEAD_PART.to_owned(),
            from: batch_key(from),
            limit: Some(self.ledger_page.rows),
        };
        self.ledger_page.asked_at = self.now;
        let latency = self.store_timeouts.latency;
        let latency = latency.filter(|_| self.enforces(SiteGuard::LedgerProgress));
        let time = self.ledger_page.time_to_wait(latency.unwrap_or_default());
        self.send_store_request_within(StorePurpose::ReadLedger { from }, request, time);
    }

    /// Takes a page of the ledger, and goes on with the next unless the book is whole.
    pub(super) fn end_ledger_page(&mut self, from: u64, asked_at: CoreTime, outcome: StoreOutcome) {
        let lead = self.lead.as_deref();
        if lead.is_some_and(|lead| lead.loaded) {
            return;
        }
        // What the leader before wrote until its end may be missing in an earlier page.
        let own = lead.is_none_or(|lead| asked_at >= lead.began_at);
        self.note_page(asked_at, &outcome);
        let StoreOutcome::Rows { rows, more, .. } = outcome else {
            let soon = self.now + LOAD_PAUSE;
            let heard = self.has_leader_contact();
            match self.lead.as_deref_mut() {
                Some(lead) => lead.load_at = Some(soon),
                // It may have to lead next.
                None if !heard => self.catch_up_at = Some(soon),
                None => self.catch_up_at = Some(self.now + CATCH_UP_PAUSE),
            }
            return;
        };
        // A page from further on than the book ends was asked for before the book was dropped.
        let joins = from <= self.applied + 1;
        self.take_ledger_rows(&rows);
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.note_store_answer();
        }
        if more || !joins || !own {
            self.read_on();
        } else if self.lead.is_some() {
            // Requests wait at the others until they are told.
            self.next_heartbeat = self.now;
            self.next_other_heartbeat = self.now;
            self.next_slow_heartbeat = self.now;
            self.end_loading();
        } else {
            self.catching_up = false;
        }
    }

    fn read_on(&mut self) {
        if self.lead.is_some() {
            self.load_ledger();
        } else {
            self.read_ledger();
        }
    }

    /// Notes how a page of the ledger came, and logs it: a thin link takes long for a large one.
    fn note_page(&mut self, asked_at: CoreTime, outcome: &StoreOutcome) {
        let took = self.age(asked_at);
        let latency = self.store_timeouts.usual();
        let rows = match outcome {
            StoreOutcome::Rows { rows, .. } => {
                let full = rows.len() as u32 >= self.ledger_page.rows;
                self.ledger_page.note_came(full, took, latency);
                Some(rows.len())
            }
            // The table did nothing: it says nothing of the link.
            StoreOutcome::Busy => None,
            _ => {
                if self.enforces(SiteGuard::LedgerProgress) {
                    self.ledger_page.note_missed(latency);
                }
                None
            }
        };
        let next = self.ledger_page;
        let detail = match rows {
            Some(rows) => format!("{rows} rows after {took:?}, next {}", next.rows),
            None => format!("none after {took:?}, next {} in {:?}", next.rows, next.time),
        };
        self.log("ledger", "page", self.applied.to_string(), detail);
    }

    /// Takes the leader's row that was read while following.
    pub(super) fn end_leader_row(&mut self, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Rows { rows, .. } => self.handle_leader_rows(rows),
            _ if self.leader.is_none() => self.read_leader_later(),
            _ => {}
        }
    }

    /// Has the leader's row read anew.
    ///
    /// **NOTE:** What is known of the members stays: were they to be read anew as well, the answer
    /// to a watch that is on its way would tell that they are known, and nobody would claim again.
    fn read_leader_later(&mut self) {
        self.leader_row_at = Some(self.now + LOAD_PAUSE);
    }

    /// Reads the leader's row anew if that is due.
    pub(super) fn run_leader_row(&mut self) {
        if self.leader_row_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.leader_row_at = None;
        if self.leader.is_none() && self.lead.is_none() {
            self.read_leader_row();
        }
    }

    /// Applies those rows that follow each other without a gap.
    pub(super) fn take_ledger_rows(&mut self, rows: &[crate::store::StoredRow]) {
        for row in rows.iter().filter(|row| row.key.table == LEDGER_TABLE) {
            let sequence = row.key.key.parse::<u64>().unwrap_or(0);
            if sequence == self.applied + 1 {
                self.apply_batch(sequence, &row.value);
            }
        }
    }
}
