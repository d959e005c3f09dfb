//! Making sure that the own row still stands, when nothing is being kept.

use std::time::Duration;

use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART};
use super::EntryCore;
use crate::store::{StoreOutcome, StoreRequest};

/// Silence after which the leader asks whether it still leads.
const CONFIRM_EVERY: Duration = Duration::from_millis(600);
/// Time between two such questions while the table is away.
const AWAY_CONFIRM: Duration = Duration::from_millis(120);

impl EntryCore {
    /// Asks whether the own row still stands, if nothing has been kept for a while.
    pub(super) fn run_confirm(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let pace = match lead.unavailable_since {
            Some(_) => AWAY_CONFIRM,
            None => CONFIRM_EVERY,
        };
        let due = now.saturating_sub(lead.confirmed_at) > pace && now >= lead.next_confirm;
        let wanted = !lead.confirm_waiting.is_empty() || due;
        if !wanted || lead.confirming.is_some() {
            return;
        }
        lead.confirming = Some(now);
        lead.next_confirm = now + pace;
        let request = StoreRequest::Read {
            table: CELL_TABLE.to_owned(),
            part: LEAD_PART.to_owned(),
            from: String::new(),
            limit: None,
        };
        self.note_store_request();
        self.send_store_request(StorePurpose::Confirm, request);
    }

    pub(super) fn end_confirm(&mut self, outcome: &StoreOutcome) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(asked_at) = lead.confirming.take() else {
            return;
        };
        let StoreOutcome::Rows { rows, .. } = outcome else {
            return;
        };
        lead.note_store_answer();
        if !rows.iter().any(|row| row.version == lead.row_version) {
            self.step_down("the row names another leader");
            self.handle_leader_rows(rows);
            return;
        }
        lead.confirmed_at = lead.confirmed_at.max(asked_at);
        if lead.flight.is_none() {
            lead.unavailable_since = None;
        }
        if !lead.loaded {
            return;
        }
        let waiting = std::mem::take(&mut lead.confirm_waiting);
        let (ready, later): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|ask| ask.at <= asked_at);
        lead.confirm_waiting = later;
        for ask in ready {
            self.serve_unknown(ask);
        }
    }
}
