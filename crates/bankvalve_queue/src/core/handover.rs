//! Letting a peer lead: at a planned stop, when the table answers it and not the leader, or when
//! it is much stronger.

use std::cmp::Reverse;
use std::time::Duration;

use super::election::PeerView;
use super::store_link::StorePurpose;
use super::EntryCore;
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::store::StoreOutcome;

/// Silence of the table after which a leader tells its peers, which then ask the table.
/// A slow table answers the read-back of a write before that.
const TROUBLE_AFTER: Duration = Duration::from_millis(450);
/// The usual time of a small answer, times this, after which silence is trouble at the earliest.
const TROUBLE_FACTOR: u32 = 2;
/// Time between two such questions.
const PROBE_EVERY: Duration = Duration::from_millis(250);
/// Longest that a leader goes on for a peer that it has asked to lead: a slow table takes a second
/// for the claim.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(1_600);
/// Batches that are kept between two heartbeats, and some.
const BATCHES_ON_THEIR_WAY: u64 = 60;
/// Time in which a new leader should have read the ledger; on a thin link it may take longer.
const ADOPT_LIMIT: Duration = Duration::from_millis(1_500);
/// Time in which the peers that have the book tell whether the table answers them, before one
/// without it is let lead: a few heartbeats.
const BEHIND_GRACE: Duration = Duration::from_millis(700);
/// Least time for which an instance leads before it lets a stronger one lead.
const SETTLED: Duration = Duration::from_millis(1_200);
/// A peer that the table answered this lately reaches it: a watch waits for a second.
const REACHES_TABLE: Duration = Duration::from_millis(1_400);
/// A peer must have this share of the own processor, in percent, to be let lead for its strength:
/// a change of leader costs some tenths of a second.
const MUCH_STRONGER_PERCENT: u64 = 150;

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
            // The leader that asked for it should not wait for the usual heartbeat.
            self.next_heartbeat = self.now;
            self.handle_leader_rows(rows);
        }
    }

    /// Lets a peer lead: at a planned stop, or if the table answers it and not us.
    pub(super) fn consider_handover(&mut self) {
        let now = self.now;
        let stopping = self.stopping;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        // A table that answers anything is there, however slow it is with the rest.
        let heard = self.store_last_contact.unwrap_or_default();
        let unanswered = lead
            .unanswered_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at.max(heard)));
        let turned_away = lead.unavailable_since.is_some();
        let usual = self.store_timeouts.usual();
        let silent = unanswered > TROUBLE_AFTER.max(usual * TROUBLE_FACTOR);
        if !turned_away && !silent {
            lead.trouble_since = None;
        } else if (turned_away || silent) && lead.trouble_since.is_none() {
            lead.trouble_since = Some(now);
            self.next_heartbeat = now;
        }
        let handing = lead
            .handover_sent_at
            .is_some_and(|at| now.saturating_sub(at) < HAND_OVER_LIMIT);
        if handing {
            return;
        }
        let stop_due = stopping;
        let trouble = lead.trouble_since;
        let slow_start = !lead.loaded && now.saturating_sub(lead.began_at) > ADOPT_LIMIT;
        if slow_start && !stop_due {
            self.yield_to_whole_book();
            // Another may also be ahead in that the table answers it.
            if self.lead.is_none() || trouble.is_none() {
                return;
            }
        }
        if trouble.is_none() && !stop_due {
            if self.uses(PolicySwitch::StrongLeader) {
                self.yield_to_stronger();
            }
            return;
        }
        if !stop_due && !self.uses(PolicySwitch::TableYield) {
            return;
        }
        let own_book = self.applied;
        let grace_over = trouble.is_some_and(|at| now.saturating_sub(at) > BEHIND_GRACE);
        let reaches = |peer: &PeerView| {
            let probed = peer.heartbeat.probe_age_ms.map(Duration::from_millis);
            let answered = trouble
                .zip(probed)
                .is_some_and(|(since, probed)| probed < now.saturating_sub(since));
            let ready = stop_due || grace_over || is_up_to_date(peer, own_book);
            !peer.heartbeat.stopping && (stop_due || answered) && ready
        };
        let why = if stop_due {
            "planned stop"
        } else {
            "table away"
        };
        self.yield_to_first(why, stop_due, reaches);
    }

    /// Lets a peer lead that has more of the ledger, when reading it takes too long here.
    fn yield_to_whole_book(&mut self) {
        let own_book = self.applied;
        let suits = |peer: &PeerView| {
            let ahead = peer.heartbeat.applied > own_book + BATCHES_ON_THEIR_WAY;
            ahead && reaches_table(peer) && !peer.heartbeat.stopping
        };
        self.yield_to_first("the ledger is read too slowly", false, suits);
    }

    /// Lets a much stronger peer lead: on a site of unlike instances a weak one would keep all
    /// waiting.
    fn yield_to_stronger(&mut self) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let settled = lead.loaded && self.age(lead.began_at) > SETTLED;
        if !settled || lead.flight.is_some() {
            return;
        }
        let epoch = lead.epoch;
        let least = self.settings.strength * MUCH_STRONGER_PERCENT / 100;
        let own_book = self.applied;
        let suits = |peer: &PeerView| {
            let news = &peer.heartbeat;
            let follows = news.epoch == epoch && !news.stopping;
            peer.strength >= least
                && reaches_table(peer)
                && follows
                && is_up_to_date(peer, own_book)
        };
        self.yield_to_first("a stronger instance", true, suits);
    }

    /// Lets the first peer lead that suits: one whose book is up to date, then the strongest.
    ///
    /// Gently, it goes on until the peer's claim stands.
    fn yield_to_first(&mut self, why: &str, gently: bool, suits: impl Fn(&PeerView) -> bool) {
        let own_book = self.applied;
        let heir = self
            .live_peers()
            .filter(|(_, peer)| suits(peer))
            .min_by_key(|(address, peer)| {
                let behind = !is_up_to_date(peer, own_book);
                (behind, Reverse(peer.strength), *address)
            });
        let Some(heir) = heir.map(|(address, _)| address) else {
            return;
        };
        let epoch = self.highest_epoch;
        self.log("election", "yield", heir.to_string(), why.to_owned());
        self.counters.count("elections", "yielded");
        if gently && self.begin_hand_over(heir) {
            return;
        }
        self.step_down(why);
        let over = true;
        self.send_message(heir, PeerMessage::TakeOver { epoch, over });
    }

    /// Asks a peer to lead and goes on until its claim stands; not twice.
    fn begin_hand_over(&mut self, heir: PeerAddress) -> bool {
        let now = self.now;
        let epoch = self.highest_epoch;
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        if lead.handover_sent_at.is_some() {
            return false;
        }
        lead.handover_sent_at = Some(now);
        let over = false;
        self.send_message(heir, PeerMessage::TakeOver { epoch, over });
        true
    }

    pub(super) fn handle_take_over(&mut self, from: PeerAddress, epoch: u64, over: bool) {
        if epoch < self.highest_epoch || self.lead.is_some() || self.stopping {
            return;
        }
        self.log(
            "election",
            "asked_to_lead",
            from.to_string(),
            format!("epoch {epoch}"),
        );
        self.handover_epoch = Some(epoch);
        self.handover_leader_stopped = over;
        self.claim = None;
        self.run_election();
    }
}

/// Tells whether the table has answered a peer lately.
pub(super) fn reaches_table(peer: &PeerView) -> bool {
    let age = peer.heartbeat.store_age_ms.map(Duration::from_millis);
    age.is_some_and(|age| age < REACHES_TABLE)
}

/// Tells whether a peer's book lacks no more batches than may be on their way.
fn is_up_to_date(peer: &PeerView, own_book: u64) -> bool {
    peer.heartbeat.applied + BATCHES_ON_THEIR_WAY >= own_book
}
