//! A follower's book, which stays close to the end of the ledger, and the dispatch of peer messages.

use std::collections::BTreeMap;
use std::time::Duration;

use super::forecast::run_times::MeasuredModel;
use super::store_link::{StorePurpose, LEAD_PART, LEDGER_TABLE};
use super::store_requests::OpenStoreRequest;
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::{CoreTime, WorkerId};
use crate::ledger::LedgerBatch;
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::store::{StoreOutcome, StoreRequest};

/// Delay before missing batches are read from the table, since they may still be in flight.
const CATCH_UP_DELAY: Duration = Duration::from_millis(1_500);

/// Delay before a failed read is repeated: of a page of the ledger by a leader, or of the leader's row
/// by an instance that knows no leader.
const READ_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Interval between two messages with the leader's measurements.
const MEASUREMENT_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum size of the measured run times and speeds of groups in such a message. With five standbys, they use
/// less than two percent of a link of 10 Mbit/s, the slowest at the users' sites.
const MAX_MODEL_BYTES: usize = 8 * 1024;

/// What the leader has measured, as it last sent it to this standby.
#[derive(Debug, Default)]
pub(super) struct LeaderMeasurements {
    /// Slowness of workers.
    pub(super) workers: BTreeMap<WorkerId, f64>,
    /// Estimate errors of queues.
    pub(super) queues: BTreeMap<String, f64>,
    pub(super) model: MeasuredModel,
}

pub(super) fn batch_key(sequence: u64) -> String {
    format!("{sequence:012}")
}

impl EntryCore {
    /// Returns whether a peer is the leader that this instance follows.
    pub(super) fn follows(&self, peer: PeerAddress) -> bool {
        let leader = self.leader.as_ref().filter(|_| self.lead.is_none());
        leader.is_some_and(|leader| leader.address == peer)
    }

    pub(super) fn handle_message(&mut self, from: PeerAddress, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(from, heartbeat),
            PeerMessage::Ask {
                ticket,
                table_version,
                caller,
                request,
            } => {
                self.record_announced_version(from, table_version);
                self.handle_forwarded_request(from, ticket, table_version, &caller, request);
            }
            PeerMessage::Reply { ticket, answer } => self.handle_reply(from, ticket, answer),
            PeerMessage::MarkWanted { round } => self.send_read_index(from, round),
            PeerMessage::Mark { round, sequence } => self.handle_read_index(from, round, sequence),
            PeerMessage::Advise { ticket, ask } => self.proxy_advice(from, ticket, ask),
            PeerMessage::Advised { ticket, answer } => {
                self.finish_advice(ticket, answer);
            }
            PeerMessage::AdviceAnswered {
                step,
                workers,
                answer,
            } => self.receive_advice(from, step, workers, answer),
            PeerMessage::AdviceKnown { summaries } => self.handle_known_advice(summaries),
            PeerMessage::LeaseBounds { bounds } => self.handle_lease_bounds(from, bounds),
            PeerMessage::UnlistedWorkers { workers } => self.handle_unlisted_workers(from, workers),
            PeerMessage::Relay { from, to, message } => self.handle_relayed(from, to, message),
            PeerMessage::Carry { ticket, call } => self.proxy_call(from, ticket, call),
            PeerMessage::Carried { ticket, answer } => self.handle_worker_answer(ticket, answer),
            PeerMessage::Committed {
                epoch,
                sequence,
                batch,
                onward,
            } => {
                self.handle_committed(epoch, sequence, &batch);
                self.forward_committed(epoch, sequence, batch, onward);
            }
            PeerMessage::Measured {
                workers,
                queues,
                model,
            } => self.handle_measurements(workers, queues, model),
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

    /// Sends the slowness of workers, the estimate errors of queues and the learned run times to the standbys,
    /// at intervals.
    pub(super) fn send_measurements(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        if now < lead.next_measurements {
            return;
        }
        lead.next_measurements = now + MEASUREMENT_INTERVAL;
        self.refresh_speeds();
        self.log_forecast();
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
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
        let model = if self.uses(PolicySwitch::RunTimeModel) {
            lead.run_times.measured(MAX_MODEL_BYTES)
        } else {
            MeasuredModel::default()
        };
        for peer in self.live_standbys() {
            let message = PeerMessage::Measured {
                workers: workers.clone(),
                queues: queues.clone(),
                model: model.clone(),
            };
            self.send_message(peer, message);
        }
    }

    fn handle_measurements(
        &mut self,
        workers: Vec<(WorkerId, f64)>,
        queues: Vec<(String, f64)>,
        model: MeasuredModel,
    ) {
        if self.lead.is_none() {
            self.measurements = LeaderMeasurements {
                workers: workers.into_iter().collect(),
                queues: queues.into_iter().collect(),
                model,
            };
        }
    }

    /// Applies a batch from the leader if it is the next one, or schedules a read of those that are
    /// missing.
    fn handle_committed(&mut self, epoch: u64, sequence: u64, batch: &[u8]) {
        if self.lead.is_some() || epoch < self.highest_epoch || sequence <= self.applied {
            return;
        }
        if sequence == self.applied + 1 {
            self.apply_batch(sequence, batch);
            self.end_read_round();
        } else if self.catch_up_at.is_none() {
            self.catch_up_at = Some(self.now + CATCH_UP_DELAY);
        }
    }

    /// Forwards a batch to the next standby, for a leader that saves link capacity.
    fn forward_committed(
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

    pub(super) fn run_follower(&mut self) {
        let due = self.catch_up_at.is_some_and(|at| self.now >= at);
        if self.lead.is_some() || !due || self.is_reading_ledger() {
            return;
        }
        self.catch_up_at = None;
        self.read_ledger();
    }

    /// Returns whether a request for a page of the ledger is in flight.
    pub(super) fn is_reading_ledger(&self) -> bool {
        let is_ledger_read =
            |request: &OpenStoreRequest| matches!(request.purpose, StorePurpose::ReadLedger { .. });
        self.open_store_requests.values().any(is_ledger_read)
    }

    /// Requests the next page of the ledger, unless a request for a page is in flight for any reason.
    /// Two at the same time would share a slow link and return the same rows.
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
        self.ledger_page.sent_at = self.now;
        let latency = self.store_timeouts.latency;
        let latency = latency.filter(|_| self.enforces(SiteGuard::LedgerProgress));
        let time = self.ledger_page.timeout(latency.unwrap_or_default());
        self.send_store_request_within(StorePurpose::ReadLedger { from }, request, time);
    }

    /// Handles a page of the ledger, and requests the next one unless the book is complete.
    pub(super) fn end_ledger_page(&mut self, from: u64, sent_at: CoreTime, outcome: StoreOutcome) {
        let lead = self.lead.as_deref();
        if lead.is_some_and(|lead| lead.loaded) {
            return;
        }
        // A page requested before this leadership began may lack the previous leader's last batches.
        let current = lead.is_none_or(|lead| sent_at >= lead.began_at);
        self.record_page_time(sent_at, &outcome);
        let StoreOutcome::Rows { rows, more, .. } = outcome else {
            let retry_at = self.now + READ_RETRY_DELAY;
            let in_contact = self.has_leader_contact();
            match self.lead.as_deref_mut() {
                Some(lead) => lead.load_at = Some(retry_at),
                // Without a leader, this instance may have to lead next.
                None if !in_contact => self.catch_up_at = Some(retry_at),
                None => self.catch_up_at = Some(self.now + CATCH_UP_DELAY),
            }
            return;
        };
        // A page that starts beyond the end of the book was requested before the book was cleared.
        let continues_book = from <= self.applied + 1;
        self.apply_ledger_rows(&rows);
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.record_store_answer();
        }
        if more || !continues_book || !current {
            self.read_next_page();
        } else if self.lead.is_some() {
            // The peers hold requests back until a heartbeat says that the ledger has been read.
            self.next_heartbeat = self.now;
            self.next_other_heartbeat = self.now;
            self.next_slow_heartbeat = self.now;
            self.end_loading();
        } else {
            self.catching_up = false;
        }
    }

    fn read_next_page(&mut self) {
        if self.lead.is_some() {
            self.load_ledger();
        } else {
            self.read_ledger();
        }
    }

    /// Records and logs how long a page of the ledger took, which is long for a large one on a slow
    /// link.
    fn record_page_time(&mut self, sent_at: CoreTime, outcome: &StoreOutcome) {
        let took = self.age(sent_at);
        let latency = self.store_timeouts.usual_latency();
        let rows = match outcome {
            StoreOutcome::Rows { rows, .. } => {
                let full = rows.len() as u32 >= self.ledger_page.rows;
                self.ledger_page.record_page(full, took, latency);
                Some(rows.len())
            }
            // The table did nothing, so this says nothing about the link.
            StoreOutcome::Busy => None,
            _ => {
                if self.enforces(SiteGuard::LedgerProgress) {
                    self.ledger_page.record_miss(latency);
                }
                None
            }
        };
        let next = self.ledger_page;
        let detail = match rows {
            Some(rows) => format!(
                "{rows} rows after {took:?}, next page of {} rows",
                next.rows
            ),
            None => format!(
                "no answer after {took:?}, next page of {} rows, timeout {:?}",
                next.rows, next.time
            ),
        };
        self.log("ledger", "page", self.applied.to_string(), detail);
    }

    /// Handles the leader's row that a follower has read.
    pub(super) fn end_leader_row(&mut self, outcome: &StoreOutcome) {
        match outcome {
            StoreOutcome::Rows { rows, .. } => self.handle_leader_rows(rows),
            _ if self.leader.is_none() => self.schedule_leader_row_read(),
            _ => {}
        }
    }

    /// Schedules another read of the leader's row.
    ///
    /// **NOTE:** This does not read the members again. If it did, the answer to a watch that is in
    /// flight would mark them as known without the read, and no instance would claim leadership again.
    fn schedule_leader_row_read(&mut self) {
        self.leader_row_at = Some(self.now + READ_RETRY_DELAY);
    }

    /// Reads the leader's row again if that is due.
    pub(super) fn run_leader_row(&mut self) {
        if self.leader_row_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.leader_row_at = None;
        if self.leader.is_none() && self.lead.is_none() {
            self.read_leader_row();
        }
    }

    /// Applies the rows that continue the book without a gap.
    pub(super) fn apply_ledger_rows(&mut self, rows: &[crate::store::StoredRow]) {
        for row in rows.iter().filter(|row| row.key.table == LEDGER_TABLE) {
            let sequence = row.key.key.parse::<u64>().unwrap_or(0);
            if sequence == self.applied + 1 {
                self.apply_batch(sequence, &row.value);
            }
        }
    }
}
