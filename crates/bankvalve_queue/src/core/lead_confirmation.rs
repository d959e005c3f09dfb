//! Confirms, while nothing is being committed, that this leader's row is unchanged.

use std::time::Duration;

use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART};
use super::EntryCore;
use crate::store::{StoreOutcome, StoreRequest};

/// Time since the last confirmation after which the leader reads its row again.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);
/// Time between two such reads while the table is unavailable.
const UNAVAILABLE_CONFIRM_INTERVAL: Duration = Duration::from_millis(120);

impl EntryCore {
    /// Reads the leader's row if nothing has confirmed it for a while, or if requests wait for a
    /// confirmation.
    pub(super) fn run_confirm(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let interval = match lead.unavailable_since {
            Some(_) => UNAVAILABLE_CONFIRM_INTERVAL,
            None => CONFIRM_INTERVAL,
        };
        let due = now.saturating_sub(lead.confirmed_at) > interval && now >= lead.next_confirm;
        let wanted = !lead.requests_awaiting_confirmation.is_empty() || due;
        if !wanted || lead.confirming.is_some() {
            return;
        }
        lead.confirming = Some(now);
        lead.next_confirm = now + interval;
        let request = StoreRequest::Read {
            table: CELL_TABLE.to_owned(),
            part: LEAD_PART.to_owned(),
            from: String::new(),
            limit: None,
        };
        self.record_store_request();
        self.send_store_request(StorePurpose::Confirm, request);
    }

    pub(super) fn end_confirm(&mut self, outcome: &StoreOutcome) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let Some(read_sent_at) = lead.confirming.take() else {
            return;
        };
        let StoreOutcome::Rows { rows, .. } = outcome else {
            return;
        };
        lead.record_store_answer();
        if !rows.iter().any(|row| row.version == lead.row_version) {
            self.step_down("the leader's row has changed");
            self.handle_leader_rows(rows);
            return;
        }
        lead.confirmed_at = lead.confirmed_at.max(read_sent_at);
        if lead.in_flight_commit.is_none() {
            lead.unavailable_since = None;
        }
        if !lead.loaded {
            return;
        }
        let waiting = std::mem::take(&mut lead.requests_awaiting_confirmation);
        let (ready, later): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|waiting| waiting.at <= read_sent_at);
        lead.requests_awaiting_confirmation = later;
        for waiting in ready {
            self.serve_confirmed(waiting);
        }
    }
}
