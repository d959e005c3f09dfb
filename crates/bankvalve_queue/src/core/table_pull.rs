//! Having the configuration from a peer, if the table does not answer this instance.
//!
//! It asks a few peers at a time whether they have a newer one, and takes it from the first that
//! says so. A peer gives one copy away at a time, since a large one fills a thin link for a second.

use std::time::Duration;

use super::EntryCore;
use crate::core::CoreAction;
use crate::ids::CoreTime;
use crate::peer::{peer_batch_timeout, PeerAddress, PeerMessage};

/// Peers that are asked at a time: some may be dead, or have no newer one either.
const ASKED_AT_ONCE: usize = 3;
/// Longest wait until one of them says that it has.
const OFFER_TIME: Duration = Duration::from_millis(400);
/// Least time between two configurations that are had from peers: in a quick series only the last
/// one counts.
const PULL_PAUSE: Duration = Duration::from_millis(1_000);

/// A configuration that is asked of peers.
#[derive(Debug, Default)]
pub(super) struct PeerPull {
    /// Peer that gives it, and until when that is waited for.
    giver: Option<(PeerAddress, CoreTime)>,
    /// Peers that were asked in this round, and rounds since a configuration came.
    tries: usize,
    rounds: usize,
    /// When the next ones are asked.
    next_at: CoreTime,
}

/// A configuration that is on its way to a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingCopy {
    to: PeerAddress,
    version: u64,
    until: CoreTime,
}

impl EntryCore {
    /// Asks peers for a newer configuration that the table does not give.
    pub(super) fn run_pull(&mut self) {
        let now = self.now;
        if !self.is_behind_announced() || !self.tables.is_unanswered(now) {
            return;
        }
        let pull = &mut self.tables.pull;
        if pull.giver.is_some_and(|(_, until)| now < until) || now < pull.next_at {
            return;
        }
        pull.giver = None;
        pull.next_at = now + OFFER_TIME;
        let asked = self.table_givers();
        let pull = &mut self.tables.pull;
        let asked: Vec<PeerAddress> = asked
            .into_iter()
            .skip(pull.tries)
            .take(ASKED_AT_ONCE)
            .collect();
        pull.tries += asked.len();
        if asked.len() < ASKED_AT_ONCE {
            pull.tries = 0;
            pull.rounds += 1;
        }
        let version = self.table_version();
        let detail = format!("the table does not answer, {} peers asked", asked.len());
        self.log("config", "pull", version.to_string(), detail);
        self.counters.count("config", "pull");
        for peer in asked {
            self.send_message(peer, PeerMessage::TableWanted { version });
        }
    }

    /// Peers that may have a newer configuration, the strongest first. The leader, whose link
    /// carries heartbeats to all, is the last one of each second round.
    fn table_givers(&self) -> Vec<PeerAddress> {
        let own = self.table_version();
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let others: Vec<PeerAddress> = self
            .preferred_members()
            .into_iter()
            .filter(|address| Some(*address) != leader)
            .collect();
        let may_have = |address: &PeerAddress| {
            let Some(peer) = self.peers.get(address) else {
                return false;
            };
            // A member that is not near does not hear the near ones.
            let newer = peer.heartbeat.table_version > own || !peer.is_live(self.now);
            newer && !peer.heartbeat.stopping
        };
        let mut givers: Vec<PeerAddress> = others.into_iter().filter(may_have).collect();
        if givers.is_empty() || self.tables.pull.rounds % 2 == 1 {
            givers.extend(leader.filter(may_have));
        }
        givers
    }

    /// Tells whether a copy is on its way to another peer.
    fn is_giving(&self, but_to: PeerAddress) -> bool {
        let now = self.now;
        let other = self
            .tables
            .outgoing
            .filter(|outgoing| outgoing.to != but_to);
        other.is_some_and(|outgoing| now < outgoing.until)
    }

    /// A peer asks for a newer configuration than it has.
    pub(super) fn handle_table_wanted(&mut self, from: PeerAddress, version: u64) {
        let bytes = self.tables.raw.len() as u64;
        if self.table_version() <= version || self.is_giving(from) || bytes == 0 {
            self.counters.count("config", "pull_refused");
            return;
        }
        let version = self.table_version();
        self.send_message(from, PeerMessage::TableOffer { version, bytes });
    }

    /// A peer has a newer configuration to give.
    pub(super) fn handle_table_offer(&mut self, from: PeerAddress, version: u64, bytes: u64) {
        let now = self.now;
        let wanted = version > self.table_version() && self.tables.is_unanswered(now);
        let pull = &mut self.tables.pull;
        if !wanted || pull.giver.is_some_and(|(_, until)| now < until) {
            return;
        }
        pull.giver = Some((from, now + peer_batch_timeout(bytes as usize)));
        self.send_message(from, PeerMessage::TableTaken);
    }

    /// A peer takes the configuration that it was offered.
    pub(super) fn handle_table_taken(&mut self, from: PeerAddress) {
        if self.is_giving(from) {
            // Another was quicker; it asks again when this one does not come.
            self.counters.count("config", "pull_refused");
            self.send_message(from, PeerMessage::TableRefused);
            return;
        }
        let version = self.table_version();
        let raw = self.tables.raw.clone();
        let bytes = raw.len();
        self.tables.outgoing = Some(OutgoingCopy {
            to: from,
            version,
            until: self.now + peer_batch_timeout(bytes),
        });
        self.log("config", "pass_on", from.to_string(), version.to_string());
        self.counters.count("config", "passed_on");
        self.send_message(from, PeerMessage::Table { raw });
    }

    /// A peer does not give its configuration after all, or is not reached.
    pub(super) fn drop_source(&mut self, peer: PeerAddress) {
        let pull = &mut self.tables.pull;
        if pull.giver.is_some_and(|(giver, _)| giver == peer) {
            pull.giver = None;
            pull.next_at = self.now;
        }
    }

    /// A configuration came from a peer.
    pub(super) fn handle_peer_table(&mut self, raw: Vec<u8>) {
        self.tables.pull = PeerPull {
            next_at: self.now + PULL_PAUSE,
            ..PeerPull::default()
        };
        self.actions.push(CoreAction::DecodeTable(raw));
    }

    /// A peer has a version in force, so a copy on its way to it has arrived.
    pub(super) fn finish_outgoing_copy(&mut self, peer: PeerAddress, version: u64) {
        let arrived = |outgoing: &OutgoingCopy| outgoing.to == peer && version >= outgoing.version;
        if self.tables.outgoing.as_ref().is_some_and(arrived) {
            self.tables.outgoing = None;
        }
    }
}
