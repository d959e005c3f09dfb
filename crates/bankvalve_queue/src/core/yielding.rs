//! Letting a peer lead: at a planned stop, or when the table answers it and not the leader.

use std::time::Duration;

use super::election::PeerView;
use super::store_link::StorePurpose;
use super::EntryCore;
use crate::peer::{PeerAddress, PeerMessage};
use crate::store::StoreOutcome;

/// Silence of the table after which a leader tells its peers, which then ask the table.
const TROUBLE_AFTER: Duration = Duration::from_millis(800);
/// Time between two such questions.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Longest that a planned stop waits for a write before it lets a peer lead.
const STOP_FLUSH: Duration = Duration::from_millis(300);

impl EntryCore {
    /// Asks the table because it does not answer the leader.
    pub(super) fn probe_store(&mut self) {
        if self.now < self.next_probe || self.lead.is_some() {
            return;
        }
        self.next_probe = self.now + PROBE_EVERY;
        self.ask_leader_row(StorePurpose::Probe);
    }

    pub(super) fn end_probe(&mut self, outcome: &StoreOutcome) {
        if let StoreOutcome::Rows { rows, .. } = outcome {
            self.probe_answered = Some(self.now);
            self.take_leader_rows(rows);
        }
    }

    /// Lets a peer lead: at a planned stop, or if the table answers it and not us.
    pub(super) fn consider_yield(&mut self) {
        let now = self.now;
        let stopping = self.stopping;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        let unanswered = lead
            .asked_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let turned_away = lead.away_since.is_some();
        let silent = unanswered > TROUBLE_AFTER;
        if !turned_away && !silent {
            lead.trouble_since = None;
        } else if (turned_away || silent) && lead.trouble_since.is_none() {
            lead.trouble_since = Some(now);
            self.next_heartbeat = now;
        }
        if stopping && lead.stop_since.is_none() {
            lead.stop_since = Some(now);
        }
        let waited = lead
            .stop_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at));
        let flushed = lead.flight.is_none() && lead.pending.is_empty();
        let stop_due = stopping && (flushed || waited > STOP_FLUSH);
        let trouble = lead.trouble_since;
        if trouble.is_none() && !stop_due {
            return;
        }
        let reaches = |peer: &PeerView| {
            let probed = peer.news.probe_age_ms.map(Duration::from_millis);
            let answered = trouble
                .zip(probed)
                .is_some_and(|(since, probed)| probed < now.saturating_sub(since));
            !peer.news.stopping && (stop_due || answered)
        };
        let heir = self.live_peers().find(|(_, peer)| reaches(peer));
        let Some(heir) = heir.map(|(address, _)| address) else {
            return;
        };
        let epoch = self.highest_epoch;
        let why = if stop_due {
            "planned stop"
        } else {
            "table away"
        };
        self.log("election", "yield", heir.to_string(), why.to_owned());
        self.counters.count("elections", "yielded");
        self.depose(why);
        self.tell(heir, PeerMessage::TakeOver { epoch });
    }

    pub(super) fn take_over(&mut self, from: PeerAddress, epoch: u64) {
        if epoch < self.highest_epoch || self.lead.is_some() || self.stopping {
            return;
        }
        self.log(
            "election",
            "asked_to_lead",
            from.to_string(),
            format!("epoch {epoch}"),
        );
        self.asked_to_lead = Some(epoch);
        self.claim = None;
        self.run_election();
    }
}
