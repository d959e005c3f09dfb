//! Members of the site: their rows in the table, and the heartbeats between them.

use std::time::Duration;

use super::election::{LeaderView, PeerView};
use super::member_ranks::MemberRow;
use super::round_trip::PeerEcho;
use super::store_link::StorePurpose;
use super::EntryCore;
use crate::guard::SiteGuard;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, PeerAddress, PeerMessage};
use crate::store::StoreRequest;

/// Interval between two heartbeats of preferred members. A takeover within about a second needs
/// about four of them.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(160);
/// Interval between two heartbeats with other members, which take over only if no preferred member
/// can. Two of them fit into the time for which a peer counts as alive.
const OTHER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Interval between two heartbeats of the leader and another member on a large site, where preferred
/// members report their last contact with the leader to the other members. With 141 members,
/// [`OTHER_HEARTBEAT_INTERVAL`] would cost the leader 700 exchanges a second.
const SLOW_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time without contact with the leader after which another member of a large site sends it
/// heartbeats at the usual rate, each of which the leader answers at once.
const LEADER_CONTACT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without contact after which a peer no longer counts as alive.
const PEER_TIMEOUT: Duration = Duration::from_millis(900);
/// Time without contact after which a peer whose heartbeats come at the slow rate of a large site
/// no longer counts as alive: two heartbeats and a margin.
const SLOW_PEER_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Time without contact after which the leader removes a member's row.
const REMOVE_MEMBER_AFTER: Duration = Duration::from_secs(60);

impl EntryCore {
    /// Records a member of which a row was read; `row` is `None` if it could not be decoded.
    pub(super) fn record_member(&mut self, address: PeerAddress, row: Option<MemberRow>) {
        let now = self.now;
        let peer = self.peers.entry(address).or_insert_with(|| PeerView {
            known_at: now,
            ..PeerView::default()
        });
        peer.strength = row.map_or(peer.strength, |row| row.strength);
    }

    /// Sends the heartbeats that are due, and updates the load limit with their round-trip time.
    pub(super) fn run_heartbeats(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        let other_due = self.now >= self.next_other_heartbeat;
        if other_due {
            self.next_other_heartbeat = self.now + OTHER_HEARTBEAT_INTERVAL;
        }
        let slow_due = self.now >= self.next_slow_heartbeat;
        if slow_due {
            self.next_slow_heartbeat = self.now + SLOW_HEARTBEAT_INTERVAL;
        }
        self.preferred = self.preferred_members();
        let heartbeat = self.build_heartbeat();
        for peer in self.heartbeat_targets(other_due, slow_due) {
            let heartbeat = self.heartbeat_for(peer, &heartbeat);
            self.send_message(peer, PeerMessage::Heartbeat(heartbeat));
        }
        let round_trip = self.min_round_trip();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.round_trip_time = round_trip;
            lead.load
                .record_wait(self.now, round_trip.min(lead.link_delay(self.now)));
        }
        self.send_measurements();
        self.remove_lost_members();
    }

    /// Returns the contents of a heartbeat, except for the parts that differ by receiver.
    pub(super) fn build_heartbeat(&self) -> HeartbeatBody {
        let leader = self.leader.as_ref();
        let lead = self.lead.as_deref();
        HeartbeatBody {
            life: self.settings.life,
            strength: self.settings.strength,
            epoch: self.highest_epoch,
            leader: leader.map(|leader| leader.address),
            leading: self.lead.is_some(),
            loading: lead.is_some_and(|lead| !lead.loaded),
            leader_age_ms: match (&self.lead, leader) {
                (Some(_), _) => 0,
                (None, Some(leader)) => self.age(leader.last_contact).as_millis() as u64,
                (None, None) => u64::MAX,
            },
            store_trouble: lead.is_some_and(|lead| lead.trouble_since.is_some()),
            probe_age_ms: self
                .probe_answered
                .map(|at| self.age(at).as_millis() as u64),
            store_age_ms: self
                .store_last_contact
                .map(|at| self.age(at).as_millis() as u64),
            applied: self.applied,
            table_version: self.table_version(),
            table_age_ms: self
                .tables
                .newest_at
                .map(|at| self.age(at).as_millis() as u64),
            refuse_percent: self.refuse_percent(),
            sent_ms: 0,
            echo: None,
            stopping: self.stopping,
            hold_ms: self.lease_duration().as_millis() as u64,
            evacuations: self.evacuations.list(),
            store_away_ms: self
                .store_away_since()
                .map(|at| self.age(at).as_millis() as u64),
            credits: self.credits_in_force(),
            former_leases: self.former_leaders.bound(self.now),
            advice_backlog_ms: self.advice_calls.backlog(self.now).as_millis() as u64,
        }
    }

    /// Removes a member that has been out of contact for too long, if this instance leads.
    pub(super) fn remove_lost_members(&mut self) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        // Until now, members may have sent heartbeats only to the previous leader.
        let began_at = lead.began_at;
        let is_lost = |peer: &PeerView| {
            let since = peer.last_contact.unwrap_or(peer.known_at).max(began_at);
            self.now.saturating_sub(since) > REMOVE_MEMBER_AFTER
        };
        let lost_peer = self.peers.iter().find(|(_, peer)| is_lost(peer));
        let lost_peer = lost_peer.map(|(address, peer)| (*address, peer.strength));
        let Some((address, strength)) = lost_peer else {
            return;
        };
        self.peers.remove(&address);
        let removals = vec![self.member_key(address, strength)];
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes: Vec::new(),
            removals,
        };
        self.log("members", "drop", address.to_string(), String::new());
        self.send_store_request(StorePurpose::DropMember, request);
    }

    pub(super) fn handle_heartbeat(&mut self, from: PeerAddress, heartbeat: HeartbeatBody) {
        self.record_announced_version(from, heartbeat.table_version);
        self.record_newest_version(heartbeat.table_version, heartbeat.table_age_ms);
        self.finish_outgoing_copy(from, heartbeat.table_version);
        self.handle_peer_evacuations(heartbeat.evacuations.as_ref());
        if let Some(lead) = &self.lead {
            if heartbeat.epoch > lead.epoch {
                self.step_down("a peer reported a later epoch");
            }
        }
        if heartbeat.store_trouble {
            self.probe_store();
        }
        self.update_leader_contact(from, &heartbeat);
        if heartbeat.leading {
            self.handle_leader_heartbeat(from, &heartbeat);
        } else if self.is_new_process_of_leader(from, &heartbeat) {
            self.mark_leader_gone();
            if let Some(leader) = self.leader.as_mut() {
                leader.ended |= heartbeat.life > leader.life;
            }
        }
        self.receive_credits(from, &heartbeat);
        let now = self.now;
        self.former_leaders.record_heartbeat(from, &heartbeat, now);
        if self.enforces(SiteGuard::KnownHolds) {
            self.former_leaders
                .record_bound(heartbeat.former_leases, now);
        }
        let slow = self.has_slow_heartbeat(from);
        let peer = self.peers.entry(from).or_insert_with(|| PeerView {
            known_at: now,
            ..PeerView::default()
        });
        let restarted = peer.heartbeat.life != heartbeat.life;
        if restarted {
            // Echoes from an earlier process of the peer say nothing about this one.
            peer.echo = PeerEcho::default();
        }
        let lacks_leader =
            slow && heartbeat.leader_age_ms > LEADER_CONTACT_TIMEOUT.as_millis() as u64;
        let answer_now = peer.last_contact.is_none() || lacks_leader;
        peer.last_contact = Some(now);
        peer.strength = heartbeat.strength;
        peer.slow = slow;
        peer.echo.record_heartbeat(now, &heartbeat);
        peer.heartbeat = heartbeat;
        if restarted {
            self.reassign_advice(from);
        }
        self.record_unreachable_leaders();
        if answer_now && self.lead.is_some() {
            // The peer should learn who leads without waiting for the next heartbeat.
            let heartbeat = self.heartbeat_for(from, &self.build_heartbeat());
            self.send_message(from, PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Updates the last contact with the leader from the report of a preferred member on a large
    /// site.
    ///
    /// Only members that are not preferred use these reports. Preferred members are in contact with the
    /// leader themselves, and must not rely on reports that are based on their own.
    fn update_leader_contact(&mut self, from: PeerAddress, heartbeat: &HeartbeatBody) {
        if !self.is_behind_hubs() || !self.preferred.contains(&from) || heartbeat.leading {
            return;
        }
        let at = self
            .now
            .checked_sub(Duration::from_millis(heartbeat.leader_age_ms));
        let store_away_since = self.reported_outage(heartbeat);
        let Some((leader, at)) = self.leader.as_mut().zip(at) else {
            return;
        };
        let same = heartbeat.leader == Some(leader.address) && heartbeat.epoch == leader.epoch;
        if same && !leader.gone {
            leader.last_contact = leader.last_contact.max(at);
            leader.refuse_percent = heartbeat.refuse_percent;
            leader.store_away_since = store_away_since;
        }
    }

    /// Returns whether the last contact with the leader is so old that this instance should request
    /// a heartbeat from it.
    pub(super) fn lacks_leader_contact(&self) -> bool {
        let recent = |leader: &LeaderView| self.age(leader.last_contact) < LEADER_CONTACT_TIMEOUT;
        !self.leader.as_ref().is_some_and(recent)
    }

    /// Handles a peer that does not answer. A leader that refuses connections is suspected at once.
    pub(super) fn peer_unreached(&mut self, peer: PeerAddress, refused: bool) {
        self.counters.count("retries", "peer_unreached");
        let why = if refused {
            "refused"
        } else {
            "no answer or no connection in time"
        };
        // Logged only while the peer counts as alive, because messages are sent to a lost peer for a minute.
        let is_live = |view: &PeerView| view.is_live(self.now);
        if self.peers.get(&peer).is_some_and(is_live) {
            self.log("members", "unreached", peer.to_string(), why.to_owned());
        }
        if let Some(view) = self.peers.get_mut(&peer) {
            if refused {
                view.last_contact = None;
                view.known_at = view
                    .known_at
                    .max(self.now.saturating_sub(REMOVE_MEMBER_AFTER / 2));
            }
        }
        self.reassign_advice(peer);
        self.forget_told_advice(peer);
        if refused {
            self.remove_proxy(peer);
        }
        self.drop_source(peer);
        let is_leader = self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == peer);
        if refused && is_leader {
            self.mark_leader_gone();
        }
    }

    pub(super) fn live_peers(&self) -> impl Iterator<Item = (PeerAddress, &PeerView)> {
        let now = self.now;
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.is_live(now))
            .map(|(address, peer)| (*address, peer))
    }
}

impl PeerView {
    /// Returns whether the last contact with the peer is recent enough that it counts as alive.
    pub(super) fn is_live(&self, now: CoreTime) -> bool {
        let timeout = if self.slow {
            SLOW_PEER_TIMEOUT
        } else {
            PEER_TIMEOUT
        };
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) < timeout)
    }
}
