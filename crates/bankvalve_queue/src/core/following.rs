//! An instance that does not lead: it keeps its book close to the ledger's end.

use std::time::Duration;

use super::store_link::{StorePurpose, LEAD_PART, LEDGER_TABLE};
use super::EntryCore;
use crate::ids::WorkerId;
use crate::ledger::LedgerBatch;
use crate::peer::{PeerAddress, PeerMessage};
use crate::store::{StoreOutcome, StoreRequest};

/// Wait before missing batches are read, since they may still be on their way.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(1_500);

/// Time between two tellings of what was measured.
const MEASURES_EVERY: Duration = Duration::from_secs(2);

pub(super) fn batch_key(sequence: u64) -> String {
    format!("{sequence:012}")
}

impl EntryCore {
    pub(super) fn take_message(&mut self, from: PeerAddress, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(news) => self.take_heartbeat(from, news),
            PeerMessage::Ask {
                ticket,
                table_version,
                request,
            } => {
                self.hear_of_table(from, table_version);
                self.take_ask(from, ticket, table_version, request);
            }
            PeerMessage::Reply { ticket, answer } => self.take_reply(from, ticket, answer),
            PeerMessage::Advise { ticket, ask } => self.carry_advice(from, ticket, ask),
            PeerMessage::Advised { ticket, answer } => self.end_advice(ticket, answer),
            PeerMessage::Committed {
                epoch,
                sequence,
                batch,
            } => self.take_committed(epoch, sequence, &batch),
            PeerMessage::Measured { workers, queues } => self.take_measures(workers, queues),
            PeerMessage::TakeOver { epoch, over } => self.take_over(from, epoch, over),
            PeerMessage::TableWanted { version } => self.take_table_wanted(from, version),
            PeerMessage::TableOffer { version, bytes } => {
                self.take_table_offer(from, version, bytes);
            }
            PeerMessage::TableTaken => self.take_table_taken(from),
            PeerMessage::TableRefused => self.lose_giver(from),
            PeerMessage::Table { raw } => self.take_peer_table(raw),
        }
    }

    /// Tells peers what was measured of workers and queues, every now and then.
    pub(super) fn tell_measures(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_measures {
            return;
        }
        lead.next_measures = now + MEASURES_EVERY;
        let workers: Vec<(WorkerId, f64)> = lead
            .seats
            .iter()
            .filter(|(_, seat)| seat.slowness != 0.0)
            .map(|(id, seat)| (id.clone(), seat.slowness))
            .collect();
        let queues: Vec<(String, f64)> = lead
            .guess_error
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
            self.tell(peer, message);
        }
    }

    fn take_measures(&mut self, workers: Vec<(WorkerId, f64)>, queues: Vec<(String, f64)>) {
        if self.lead.is_none() {
            self.measures = (workers.into_iter().collect(), queues.into_iter().collect());
        }
    }

    fn take_committed(&mut self, epoch: u64, sequence: u64, batch: &[u8]) {
        if self.lead.is_some() || epoch < self.highest_epoch || sequence <= self.applied {
            return;
        }
        if sequence == self.applied + 1 {
            self.apply_batch(sequence, batch);
        } else if self.catch_up_at.is_none() {
            self.catch_up_at = Some(self.now + CATCH_UP_PAUSE);
        }
    }

    /// Applies the next batch of the ledger to the book.
    pub(super) fn apply_batch(&mut self, sequence: u64, batch: &[u8]) {
        match LedgerBatch::decode(batch) {
            Ok(batch) => {
                for event in &batch.events {
                    self.book.apply(event);
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
        if self.lead.is_some() || self.catch_up_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.catch_up_at = None;
        self.ask_ledger(StorePurpose::CatchUp);
    }

    pub(super) fn ask_ledger(&mut self, purpose: StorePurpose) {
        self.catching_up = true;
        let request = StoreRequest::Read {
            table: LEDGER_TABLE.to_owned(),
            part: LEAD_PART.to_owned(),
            from: batch_key(self.applied + 1),
            limit: Some(self.ledger_page.rows),
        };
        self.ledger_page.asked_at = self.now;
        let time = self.ledger_page.time;
        self.ask_store_within(purpose, request, time);
    }

    /// Notes how a page of the ledger came, and logs it: a thin link takes long for a large one.
    pub(super) fn note_page(&mut self, outcome: &StoreOutcome) {
        let took = self.age(self.ledger_page.asked_at);
        let rows = match outcome {
            StoreOutcome::Rows { rows, .. } => {
                self.ledger_page.note_came(took);
                Some(rows.len())
            }
            _ => {
                self.ledger_page.note_missed();
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
            StoreOutcome::Rows { rows, .. } => self.take_leader_rows(rows),
            _ if self.leader.is_none() => self.read_leader_later(),
            _ => {}
        }
    }

    /// Takes rows of the ledger that were read while following.
    pub(super) fn end_catch_up(&mut self, outcome: StoreOutcome) {
        self.note_page(&outcome);
        let StoreOutcome::Rows { rows, more, .. } = outcome else {
            self.catch_up_at = Some(self.now + CATCH_UP_PAUSE);
            return;
        };
        if self.lead.as_ref().is_some_and(|lead| lead.loaded) {
            return;
        }
        self.take_ledger_rows(&rows);
        self.catching_up = false;
        if more && self.lead.is_none() {
            self.ask_ledger(StorePurpose::CatchUp);
        }
    }

    fn read_leader_later(&mut self) {
        // The next look at the cell's rows reads the leader's row too.
        self.members_known = false;
        self.cell_watch.after = None;
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
