//! Members of the site: their rows, and heartbeats between them.

use std::time::Duration;

use super::election::{LeaderView, PeerView};
use super::member_ranks::MemberRow;
use super::round_trip::PeerEcho;
use super::store_link::{StorePurpose, CELL_TABLE, LEAD_PART, MEMBER_PART};
use super::EntryCore;
use crate::ids::CoreTime;
use crate::peer::{HeartbeatBody, PeerAddress, PeerMessage};
use crate::store::{RowKey, RowWrite, StoreOutcome, StoreRequest};

/// Time between two heartbeats of near members; a takeover within about a second needs some four
/// of them.
const HEARTBEAT: Duration = Duration::from_millis(160);
/// Time between two heartbeats to and from the others, which follow and do not take over: two of
/// them fit into the time for which a peer counts as alive.
const FAR_HEARTBEAT: Duration = Duration::from_millis(400);
/// The same between the leader and the others on a site of many members, where near members tell
/// the others how lately they heard the leader: 141 members at the pace above would cost it 700
/// exchanges a second.
const SLOW_HEARTBEAT: Duration = Duration::from_millis(2_000);
/// Age of the last sign of the leader from which on a far member asks it for one.
const LEADER_DOUBT: Duration = Duration::from_millis(800);
/// A peer that was heard this lately counts as alive.
const PEER_ALIVE: Duration = Duration::from_millis(900);
/// The same of one that is heard at the slow pace: two heartbeats, and some.
const SLOW_ALIVE: Duration = Duration::from_millis(4_500);
/// Silence after which a member's row is dropped.
const DROP_MEMBER_AFTER: Duration = Duration::from_secs(60);

impl EntryCore {
    pub(super) fn member_key(&self, address: PeerAddress) -> RowKey {
        RowKey::new(CELL_TABLE, MEMBER_PART, address.to_string())
    }

    /// Keeps the own row in place and drops those of members that are long gone.
    pub(super) fn run_membership(&mut self) {
        // The row of an earlier life says the same, so a start of all needs no writes.
        if self.registered || !self.members_known || !self.own_row.is_due(self.now) {
            return;
        }
        self.own_row.busy = true;
        let key = self.member_key(self.settings.address);
        let row = MemberRow {
            life: self.settings.life,
            strength: self.settings.strength,
        };
        let value = row.encode();
        let writes = vec![RowWrite { key, value }];
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes,
            removals: Vec::new(),
        };
        self.send_store_request(StorePurpose::Register, request);
    }

    pub(super) fn end_register(&mut self, outcome: &StoreOutcome) {
        self.registered |= matches!(outcome, StoreOutcome::Applied { .. });
        self.own_row.end(self.registered, self.now);
    }

    pub(super) fn handle_cell_row(&mut self, key: &RowKey, value: Option<&[u8]>, version: u64) {
        if key.part == LEAD_PART {
            if let Some(value) = value {
                self.handle_leader_row(value, version);
            }
            return;
        }
        let Ok(address) = key.key.parse::<PeerAddress>() else {
            return;
        };
        if address == self.settings.address {
            let row = value.and_then(MemberRow::decode);
            let stands = row.is_some_and(|row| row.strength == self.settings.strength);
            self.registered = stands || self.stopping;
            return;
        }
        let Some(value) = value else {
            self.peers.remove(&address);
            return;
        };
        let row = MemberRow::decode(value);
        if row.is_none() {
            let id = address.to_string();
            self.log("members", "row_unreadable", id, String::new());
        }
        let now = self.now;
        let peer = self.peers.entry(address).or_insert_with(|| PeerView {
            known_at: now,
            ..PeerView::default()
        });
        peer.strength = row.map_or(peer.strength, |row| row.strength);
    }

    pub(super) fn run_heartbeats(&mut self) {
        if self.now < self.next_heartbeat {
            return;
        }
        self.next_heartbeat = self.now + HEARTBEAT;
        let far_due = self.now >= self.next_other_heartbeat;
        if far_due {
            self.next_other_heartbeat = self.now + FAR_HEARTBEAT;
        }
        let slow_due = self.now >= self.next_slow_heartbeat;
        if slow_due {
            self.next_slow_heartbeat = self.now + SLOW_HEARTBEAT;
        }
        self.preferred = self.preferred_members();
        let news = self.build_heartbeat();
        for peer in self.heartbeat_targets(far_due, slow_due) {
            let news = self.heartbeat_for(peer, &news);
            self.send_message(peer, PeerMessage::Heartbeat(news));
        }
        let wait = self.least_round_trip();
        if let Some(lead) = self.lead.as_deref_mut() {
            lead.round_trip_time = wait;
            lead.load
                .note(self.now, wait.min(lead.link_delay(self.now)));
        }
        self.send_measurements();
        self.drop_gone_members();
    }

    /// What the own heartbeats tell now.
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
        }
    }

    pub(super) fn drop_gone_members(&mut self) {
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        // Members may have told only the leader before that they are alive.
        let began_at = lead.began_at;
        let silent = |peer: &PeerView| {
            let since = peer.last_contact.unwrap_or(peer.known_at).max(began_at);
            self.now.saturating_sub(since) > DROP_MEMBER_AFTER
        };
        let gone = self.peers.iter().find(|(_, peer)| silent(peer));
        let Some(address) = gone.map(|(address, _)| *address) else {
            return;
        };
        self.peers.remove(&address);
        let removals = vec![self.member_key(address)];
        let request = StoreRequest::Transact {
            conditions: Vec::new(),
            writes: Vec::new(),
            removals,
        };
        self.log("members", "drop", address.to_string(), String::new());
        self.send_store_request(StorePurpose::DropMember, request);
    }

    pub(super) fn handle_heartbeat(&mut self, from: PeerAddress, news: HeartbeatBody) {
        self.note_announced_version(from, news.table_version);
        self.note_newest_version(news.table_version, news.table_age_ms);
        self.finish_outgoing_copy(from, news.table_version);
        if let Some(lead) = &self.lead {
            if news.epoch > lead.epoch {
                self.step_down("a peer knows a later epoch");
            }
        }
        if news.store_trouble {
            self.probe_store();
        }
        self.hear_of_leader(from, &news);
        if news.leading {
            self.note_leader_heartbeat(from, &news);
        } else if self.is_gone_leader(from, &news) {
            self.mark_leader_gone();
            if let Some(leader) = self.leader.as_mut() {
                leader.ended |= news.life > leader.life;
            }
        }
        let now = self.now;
        self.former_leaders.note_heartbeat(from, &news, now);
        let slow = self.has_slow_heartbeat(from);
        let peer = self.peers.entry(from).or_insert_with(|| PeerView {
            known_at: now,
            ..PeerView::default()
        });
        if peer.heartbeat.life != news.life {
            // What an earlier life heard says nothing of this one.
            peer.echo = PeerEcho::default();
        }
        let doubt = slow && news.leader_age_ms > LEADER_DOUBT.as_millis() as u64;
        let first = peer.last_contact.is_none() || doubt;
        peer.last_contact = Some(now);
        peer.strength = news.strength;
        peer.slow = slow;
        peer.echo.note(now, &news);
        peer.heartbeat = news;
        self.note_unreachable_leaders();
        if first && self.lead.is_some() {
            // It should not have to wait for the next heartbeat to know who leads.
            let news = self.heartbeat_for(from, &self.build_heartbeat());
            self.send_message(from, PeerMessage::Heartbeat(news));
        }
    }

    /// Takes from a near member how lately it heard the leader, on a site of many members.
    ///
    /// Near members hear the leader themselves: what they hear of it must not come back to them.
    fn hear_of_leader(&mut self, from: PeerAddress, news: &HeartbeatBody) {
        if !self.is_behind_hubs() || !self.preferred.contains(&from) || news.leading {
            return;
        }
        let at = self
            .now
            .checked_sub(Duration::from_millis(news.leader_age_ms));
        let Some((leader, at)) = self.leader.as_mut().zip(at) else {
            return;
        };
        let same = news.leader == Some(leader.address) && news.epoch == leader.epoch;
        if same && !leader.gone {
            leader.last_contact = leader.last_contact.max(at);
            leader.refuse_percent = news.refuse_percent;
        }
    }

    /// Tells whether the leader is to be asked for a sign of life.
    pub(super) fn lacks_leader_contact(&self) -> bool {
        let heard = |leader: &LeaderView| self.age(leader.last_contact) < LEADER_DOUBT;
        !self.leader.as_ref().is_some_and(heard)
    }

    /// A peer does not answer; a leader that refuses connections is suspected at once.
    pub(super) fn peer_unreached(&mut self, peer: PeerAddress, refused: bool) {
        self.counters.count("retries", "peer_unreached");
        let why = if refused {
            "refused"
        } else {
            "no answer or no connection in time"
        };
        // Only while it counts as alive: one that is gone is tried for a minute.
        let live = |view: &PeerView| view.is_live(self.now);
        if self.peers.get(&peer).is_some_and(live) {
            self.log("members", "unreached", peer.to_string(), why.to_owned());
        }
        if let Some(view) = self.peers.get_mut(&peer) {
            if refused {
                view.last_contact = None;
                view.known_at = view
                    .known_at
                    .max(self.now.saturating_sub(DROP_MEMBER_AFTER / 2));
            }
        }
        self.reassign_advice(peer);
        if refused {
            self.remove_proxy(peer);
        }
        self.drop_source(peer);
        let leads = self.lead.is_none()
            && self
                .leader
                .as_ref()
                .is_some_and(|leader| leader.address == peer);
        if refused && leads {
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
    /// Tells whether the peer was heard so lately that it counts as alive.
    pub(super) fn is_live(&self, now: CoreTime) -> bool {
        let alive = if self.slow { SLOW_ALIVE } else { PEER_ALIVE };
        self.last_contact
            .is_some_and(|at| now.saturating_sub(at) < alive)
    }
}
