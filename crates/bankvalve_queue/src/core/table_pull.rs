//! Pulling the configuration from a peer when the table does not answer this instance.
//!
//! The instance asks a few peers at a time whether they have a newer configuration, and pulls it from
//! the first that offers one. A peer sends one copy at a time, since a large one fills a slow link for
//! a second.

use std::time::Duration;

use super::EntryCore;
use crate::core::CoreAction;
use crate::ids::CoreTime;
use crate::peer::{peer_batch_timeout, PeerAddress, PeerMessage};

/// Number of peers asked at a time: some may be dead, or have no newer configuration either.
const PEERS_PER_QUERY: usize = 3;
/// First round in which the leader is asked beside other peers: by then each of them may have sent copies to
/// two instances.
const LEADER_ROUND: usize = 3;
/// Maximum wait for an offer from one of them.
const OFFER_TIMEOUT: Duration = Duration::from_millis(400);
/// Minimum time between two configurations pulled from peers: in a quick series only the last one
/// counts.
const MIN_PULL_INTERVAL: Duration = Duration::from_millis(1_000);

/// State of pulling a configuration from peers.
#[derive(Debug, Default)]
pub(super) struct PeerPull {
    /// Peer that sends the configuration, and the deadline for its arrival.
    source: Option<(PeerAddress, CoreTime)>,
    /// Number of peers asked in this round.
    asked_count: usize,
    /// Number of rounds since a configuration arrived.
    round_count: usize,
    /// When the next peers are asked.
    next_at: CoreTime,
}

/// A copy of the configuration that is being sent to a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingCopy {
    to: PeerAddress,
    version: u64,
    until: CoreTime,
}

impl EntryCore {
    /// Asks peers for a newer configuration if the table does not answer.
    pub(super) fn run_pull(&mut self) {
        let now = self.now;
        if !self.is_behind_announced() || !self.tables.is_unanswered(now) {
            return;
        }
        let pull = &mut self.tables.pull;
        if pull.source.is_some_and(|(_, until)| now < until) || now < pull.next_at {
            return;
        }
        pull.source = None;
        pull.next_at = now + OFFER_TIMEOUT;
        let asked = self.source_candidates();
        let pull = &mut self.tables.pull;
        let asked: Vec<PeerAddress> = asked
            .into_iter()
            .skip(pull.asked_count)
            .take(PEERS_PER_QUERY)
            .collect();
        pull.asked_count += asked.len();
        if asked.len() < PEERS_PER_QUERY {
            pull.asked_count = 0;
            pull.round_count += 1;
        }
        let version = self.table_version();
        let detail = format!("the table does not answer, {} peers asked", asked.len());
        self.log("config", "pull", version.to_string(), detail);
        self.counters.count("config", "pull");
        for peer in asked {
            self.send_message(peer, PeerMessage::TableWanted { version });
        }
    }

    /// Returns the peers that may have a newer configuration, most CPU first. The leader, whose link
    /// carries the heartbeats to all members, is included last, and only in every second round or if
    /// there is no other peer.
    fn source_candidates(&self) -> Vec<PeerAddress> {
        let in_force = self.table_version();
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
            // A member that is not preferred may receive no heartbeats from preferred members.
            let newer = peer.heartbeat.table_version > in_force || !peer.is_live(self.now);
            newer && !peer.heartbeat.stopping
        };
        let mut candidates: Vec<PeerAddress> = others.into_iter().filter(may_have).collect();
        let round_count = self.tables.pull.round_count;
        if candidates.is_empty() || (round_count >= LEADER_ROUND && round_count % 2 == 1) {
            candidates.extend(leader.filter(may_have));
        }
        candidates
    }

    /// Returns whether a copy is being sent to a peer other than `receiver`.
    fn is_sending_copy(&self, receiver: PeerAddress) -> bool {
        let now = self.now;
        let other = self
            .tables
            .outgoing
            .filter(|outgoing| outgoing.to != receiver);
        other.is_some_and(|outgoing| now < outgoing.until)
    }

    /// Handles a peer's query for a newer configuration than `version`.
    pub(super) fn handle_table_wanted(&mut self, from: PeerAddress, version: u64) {
        let bytes = self.tables.raw.len() as u64;
        if self.table_version() <= version || self.is_sending_copy(from) || bytes == 0 {
            self.counters.count("config", "pull_refused");
            return;
        }
        let version = self.table_version();
        self.send_message(from, PeerMessage::TableOffer { version, bytes });
    }

    /// Handles a peer's offer of a newer configuration.
    pub(super) fn handle_table_offer(&mut self, from: PeerAddress, version: u64, bytes: u64) {
        let now = self.now;
        let wanted = version > self.table_version() && self.tables.is_unanswered(now);
        let pull = &mut self.tables.pull;
        if !wanted || pull.source.is_some_and(|(_, until)| now < until) {
            return;
        }
        pull.source = Some((from, now + peer_batch_timeout(bytes as usize)));
        self.send_message(from, PeerMessage::TableTaken);
    }

    /// Sends the configuration to a peer that has accepted the offer.
    pub(super) fn handle_table_taken(&mut self, from: PeerAddress) {
        if self.is_sending_copy(from) {
            // Another peer accepted first. After the refusal, this one asks again.
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

    /// Handles a peer that refuses to send its configuration after the offer, or that is unreachable.
    pub(super) fn drop_source(&mut self, peer: PeerAddress) {
        let pull = &mut self.tables.pull;
        if pull.source.is_some_and(|(source, _)| source == peer) {
            pull.source = None;
            pull.next_at = self.now;
        }
    }

    /// Handles a configuration from a peer.
    pub(super) fn handle_peer_table(&mut self, raw: Vec<u8>) {
        self.tables.pull = PeerPull {
            next_at: self.now + MIN_PULL_INTERVAL,
            ..PeerPull::default()
        };
        self.actions.push(CoreAction::DecodeTable(raw));
    }

    /// Ends the outgoing copy to a peer that has its version in force, since it has arrived.
    pub(super) fn finish_outgoing_copy(&mut self, peer: PeerAddress, version: u64) {
        let arrived = |outgoing: &OutgoingCopy| outgoing.to == peer && version >= outgoing.version;
        if self.tables.outgoing.as_ref().is_some_and(arrived) {
            self.tables.outgoing = None;
        }
    }
}
