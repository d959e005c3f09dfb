//! Handing leadership over to a peer: at a planned stop, when the table answers the peer but not the
//! leader, when the leader reads the ledger too slowly, or when the peer has much more CPU.

use std::cmp::Reverse;
use std::time::Duration;

use super::election::PeerView;
use super::store_link::StorePurpose;
use super::EntryCore;
use crate::peer::{PeerAddress, PeerMessage};
use crate::policy::PolicySwitch;
use crate::store::StoreOutcome;

/// Time without an answer from the table after which a leader reports this to its peers, which then
/// query the table. A slow table answers the read that checks a write before that.
const TROUBLE_AFTER: Duration = Duration::from_millis(450);
/// Multiple of the usual latency of a small answer that must also have passed before the report.
const TROUBLE_LATENCY_FACTOR: u32 = 2;
/// Minimum interval between two queries by a peer to which the leader has reported this.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time for which a leader that has asked a peer to take over continues until the peer's
/// claim is applied. With a slow table, a claim takes a second.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Maximum time for which a handover waits until leases that are no longer renewed are recorded: a few writes.
const LEASE_RECORD_TIMEOUT: Duration = Duration::from_millis(200);
/// Number of batches by which an up-to-date book may seem to be behind: those committed between two
/// heartbeats, and a margin.
const MAX_BATCHES_IN_FLIGHT: u64 = 60;
/// Time within which a new leader should have read the ledger. On a slow link it may take longer.
const LEDGER_READ_LIMIT: Duration = Duration::from_millis(1_500);
/// Time given to peers with an up-to-date book to report that the table answers them, before a peer
/// without such a book may take over: a few heartbeats.
const UP_TO_DATE_GRACE: Duration = Duration::from_millis(700);
/// Minimum time for which an instance leads before it hands over to a peer with more CPU.
const MIN_LEADERSHIP: Duration = Duration::from_millis(1_200);
/// Maximum age of the table's last answer to a peer that counts as reaching the table. It allows for a
/// watch, which waits for a second.
const MAX_TABLE_CONTACT_AGE: Duration = Duration::from_millis(1_400);
/// CPU capacity that a peer needs to take over because it has more, in percent of this instance's. A
/// change of leader costs a few tenths of a second.
const MIN_SUCCESSOR_CPU_PERCENT: u64 = 150;

impl EntryCore {
    /// Queries the table because it does not answer the leader.
    pub(super) fn probe_store(&mut self) {
        if self.now < self.next_probe || self.lead.is_some() {
            return;
        }
        self.next_probe = self.now + PROBE_INTERVAL;
        self.request_leader_row(StorePurpose::Probe);
    }

    pub(super) fn end_probe(&mut self, outcome: &StoreOutcome) {
        if let StoreOutcome::Rows { rows, .. } = outcome {
            self.probe_answered = Some(self.now);
            // The leader needs the result sooner than the next regular heartbeat.
            self.next_heartbeat = self.now;
            self.handle_leader_rows(rows);
        }
    }

    /// Reports trouble with the table, and hands leadership over to a peer if there is a reason to.
    pub(super) fn consider_handover(&mut self) {
        let now = self.now;
        let stopping = self.stopping;
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        // A table that answers any request is available, however slow it is with others.
        let last_answer = self.store_last_contact.unwrap_or_default();
        let unanswered = lead
            .unanswered_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(at.max(last_answer)));
        let refused = lead.unavailable_since.is_some();
        let usual_latency = self.store_timeouts.usual_latency();
        let unresponsive = unanswered > TROUBLE_AFTER.max(usual_latency * TROUBLE_LATENCY_FACTOR);
        if !refused && !unresponsive {
            lead.trouble_since = None;
        } else if (refused || unresponsive) && lead.trouble_since.is_none() {
            lead.trouble_since = Some(now);
            self.next_heartbeat = now;
        }
        let handover_pending = lead
            .handover_sent_at
            .is_some_and(|at| now.saturating_sub(at) < HANDOVER_TIMEOUT);
        if handover_pending {
            return;
        }
        let stop_due = stopping;
        let trouble = lead.trouble_since;
        let slow_start = !lead.loaded && now.saturating_sub(lead.began_at) > LEDGER_READ_LIMIT;
        if slow_start && !stop_due {
            self.hand_over_to_more_complete_book();
            // Below, a peer may also qualify because the table answers it and not this leader.
            if self.lead.is_none() || trouble.is_none() {
                return;
            }
        }
        if trouble.is_none() && !stop_due {
            if self.uses(PolicySwitch::StrongLeader) {
                self.hand_over_to_more_cpu();
            }
            return;
        }
        if !stop_due && !self.uses(PolicySwitch::TableYield) {
            return;
        }
        let local_batches = self.applied;
        let grace_expired = trouble.is_some_and(|at| now.saturating_sub(at) > UP_TO_DATE_GRACE);
        let can_take_over = |peer: &PeerView| {
            let probed = peer.heartbeat.probe_age_ms.map(Duration::from_millis);
            let answered = trouble
                .zip(probed)
                .is_some_and(|(since, probed)| probed < now.saturating_sub(since));
            let ready = stop_due || grace_expired || is_up_to_date(peer, local_batches);
            !peer.heartbeat.stopping && (stop_due || answered) && ready
        };
        let why = if stop_due {
            "planned stop"
        } else {
            "table unavailable"
        };
        self.hand_over_to_best(why, stop_due, can_take_over);
    }

    /// Hands leadership over to a peer that has more of the ledger, if reading it takes too long here.
    fn hand_over_to_more_complete_book(&mut self) {
        let local_batches = self.applied;
        let qualifies = |peer: &PeerView| {
            let ahead = peer.heartbeat.applied > local_batches + MAX_BATCHES_IN_FLIGHT;
            ahead && reaches_table(peer) && !peer.heartbeat.stopping
        };
        self.hand_over_to_best("reading the ledger takes too long", false, qualifies);
    }

    /// Hands leadership over to a peer with much more CPU. On a site with unequal instances, a leader
    /// with little CPU would delay everything.
    fn hand_over_to_more_cpu(&mut self) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let settled = lead.loaded && self.age(lead.began_at) > MIN_LEADERSHIP;
        if !settled || lead.in_flight_commit.is_some() {
            return;
        }
        let epoch = lead.epoch;
        let min_cpu = self.settings.strength * MIN_SUCCESSOR_CPU_PERCENT / 100;
        let local_batches = self.applied;
        let qualifies = |peer: &PeerView| {
            let heartbeat = &peer.heartbeat;
            let follows = heartbeat.epoch == epoch && !heartbeat.stopping;
            peer.strength >= min_cpu
                && reaches_table(peer)
                && follows
                && is_up_to_date(peer, local_batches)
        };
        self.hand_over_to_best("an instance with more CPU", true, qualifies);
    }

    /// Hands leadership over to the best live peer that `qualifies`. Peers with an up-to-date book come
    /// first, then those with more CPU.
    ///
    /// With `until_claimed`, this leader continues until the peer's claim is applied.
    fn hand_over_to_best(
        &mut self,
        why: &str,
        until_claimed: bool,
        qualifies: impl Fn(&PeerView) -> bool,
    ) {
        let local_batches = self.applied;
        let successor = self
            .live_peers()
            .filter(|(_, peer)| qualifies(peer))
            .min_by_key(|(address, peer)| {
                let behind = !is_up_to_date(peer, local_batches);
                (behind, Reverse(peer.strength), *address)
            });
        let Some(successor) = successor.map(|(address, _)| address) else {
            return;
        };
        if until_claimed && self.awaits_lease_records() {
            return;
        }
        let epoch = self.highest_epoch;
        self.log("election", "yield", successor.to_string(), why.to_owned());
        self.counters.count("elections", "yielded");
        if until_claimed && self.begin_handover(successor) {
            return;
        }
        self.hand_over_knowledge(successor);
        self.step_down(why);
        let over = true;
        self.send_message(successor, PeerMessage::TakeOver { epoch, over });
    }

    /// Asks a peer to take over and continues to lead until its claim is applied. Returns `false` if
    /// this leader has done so before.
    fn begin_handover(&mut self, successor: PeerAddress) -> bool {
        let now = self.now;
        let epoch = self.highest_epoch;
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        if lead.handover_sent_at.is_some() {
            return false;
        }
        lead.handover_sent_at = Some(now);
        self.hand_over_knowledge(successor);
        let over = false;
        self.send_message(successor, PeerMessage::TakeOver { epoch, over });
        true
    }

    /// Records the leases of unresponsive workers that the successor could not bound as well. Returns whether the
    /// handover waits for the records.
    fn awaits_lease_records(&mut self) -> bool {
        let now = self.now;
        let Some(lead) = self.lead.as_deref_mut() else {
            return false;
        };
        let began_at = *lead.handover_began_at.get_or_insert(now);
        self.stop_lease_renewals();
        now.saturating_sub(began_at) < LEASE_RECORD_TIMEOUT && self.has_uncommitted_lease_stop()
    }

    /// Returns whether this leader is handing over.
    pub(super) fn is_handing_over(&self) -> bool {
        let lead = self.lead.as_deref();
        let began_at = lead.and_then(|lead| lead.handover_began_at);
        began_at.is_some_and(|at| self.age(at) < HANDOVER_TIMEOUT)
    }

    /// Tells a successor what is in neither the ledger nor its book and ends with this leadership.
    fn hand_over_knowledge(&mut self, successor: PeerAddress) {
        self.hand_over_advice(successor);
        self.send_lease_bounds(successor);
        self.send_unlisted_workers(successor);
    }

    /// Handles a leader's request to take over; `over` is set if that leader has stepped down already.
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

/// Returns whether the table has answered a peer recently.
pub(super) fn reaches_table(peer: &PeerView) -> bool {
    let age = peer.heartbeat.store_age_ms.map(Duration::from_millis);
    age.is_some_and(|age| age < MAX_TABLE_CONTACT_AGE)
}

/// Returns whether a peer's book lacks no more batches than may be in flight.
fn is_up_to_date(peer: &PeerView, local_batches: u64) -> bool {
    peer.heartbeat.applied + MAX_BATCHES_IN_FLIGHT >= local_batches
}
