//! Ranking of members by CPU capacity: preferred members, standbys and successors.
//!
//! On a site with many instances, heartbeats between all pairs and ledger batches to all members would
//! take most of the CPU of the small instances. So the few members with the most CPU are
//! preferred. They exchange heartbeats with each other and with the leader at the full rate, and the
//! live ones receive each committed batch, which lets them take over at once. The other members
//! receive heartbeats from the leader and, on a large site, from hubs.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::election::PeerView;
use super::handover::reaches_table;
use super::EntryCore;
use crate::peer::PeerAddress;

/// Number of preferred members, by rank. On current sites these are all members or two thirds.
const PREFERRED_COUNT: usize = 6;
/// Number of members, by rank, that read the ledger as soon as they start. Reading takes a few tenths
/// of a second, and after a loss of all instances the election runs at the same time.
const FIRST_SUCCESSORS: usize = 2;
/// Time for which a member that is known only from its row is assumed to be starting.
const STARTUP_GRACE: Duration = Duration::from_millis(500);

/// Rank of a member; the smallest is first.
type MemberRank = (Reverse<u64>, PeerAddress);

/// Contents of a member's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberRow {
    /// Start time of its process, in milliseconds since 1970.
    pub(super) life: u64,
    /// CPU capacity, in thousandths of a core.
    pub(super) strength: u64,
}

impl MemberRow {
    pub(super) fn encode(self) -> Vec<u8> {
        rmp_serde::to_vec(&self).expect("a member's row can be encoded")
    }

    pub(super) fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

impl EntryCore {
    fn local_rank(&self) -> MemberRank {
        (Reverse(self.settings.strength), self.settings.address)
    }

    /// Returns all members except this one, most CPU first.
    fn ranked_peers(&self) -> Vec<(MemberRank, &PeerView)> {
        let mut ranked: Vec<(MemberRank, &PeerView)> = self
            .peers
            .iter()
            .map(|(address, peer)| ((Reverse(peer.strength), *address), peer))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked
    }

    /// Returns the preferred members, including this instance if it is one.
    pub(super) fn preferred_members(&self) -> Vec<PeerAddress> {
        let mut ranks: Vec<MemberRank> =
            self.ranked_peers().iter().map(|(rank, _)| *rank).collect();
        ranks.push(self.local_rank());
        ranks.sort_unstable();
        ranks.truncate(PREFERRED_COUNT);
        ranks.into_iter().map(|(_, address)| address).collect()
    }

    /// Counts the known members that rank before this one.
    pub(super) fn ranks_before(&self) -> usize {
        let local = self.local_rank();
        let ranks = self.ranked_peers().into_iter().map(|(rank, _)| rank);
        ranks.filter(|rank| *rank < local).count()
    }

    /// Returns the known members that rank first.
    pub(super) fn first_ranks(&self, count: usize) -> BTreeSet<PeerAddress> {
        let ranks = self.ranked_peers().into_iter().take(count);
        ranks.map(|((_, address), _)| address).collect()
    }

    /// Returns whether heartbeats with a peer come at the slow rate: this instance leads a large
    /// site, and the peer is not a preferred member.
    pub(super) fn has_slow_heartbeat(&self, peer: PeerAddress) -> bool {
        self.lead.is_some() && self.is_large_site() && !self.preferred.contains(&peer)
    }

    /// Returns the members to send a heartbeat to now.
    ///
    /// Heartbeats between preferred members, and between them and the leader, are always due when
    /// this is called. `other_due` says whether those with other members are due, and `slow_due`
    /// whether those of the leader and another member on a large site are.
    pub(super) fn heartbeat_targets(&self, other_due: bool, slow_due: bool) -> Vec<PeerAddress> {
        let preferred = self.preferred_members();
        let is_preferred = |address: &PeerAddress| preferred.contains(address);
        let local_preferred = is_preferred(&self.settings.address);
        let leads = self.lead.is_some();
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let (large_site, lacks_contact) = (self.is_large_site(), self.lacks_leader_contact());
        let is_due = |peer: &PeerAddress| {
            let preferred_pair = local_preferred && is_preferred(peer);
            let leader_pair =
                (leads && is_preferred(peer)) || (local_preferred && leader == Some(*peer));
            let with_leader = leads || leader == Some(*peer);
            let due = if large_site && with_leader {
                slow_due || (other_due && !leads && lacks_contact)
            } else {
                other_due
            };
            let as_hub = other_due && self.is_hub_of(*peer);
            preferred_pair || leader_pair || as_hub || (due && (with_leader || is_preferred(peer)))
        };
        self.peers.keys().copied().filter(is_due).collect()
    }

    /// Returns whether this member is among the first to take over, by rank.
    pub(super) fn is_first_successor(&self) -> bool {
        let preferred = self.preferred_members();
        let first = &preferred[..preferred.len().min(FIRST_SUCCESSORS)];
        first.contains(&self.settings.address)
    }

    /// Returns the live members that receive the leader's ledger batches, most CPU first.
    pub(super) fn live_standbys(&self) -> Vec<PeerAddress> {
        self.ranked_peers()
            .into_iter()
            .filter(|(_, peer)| peer.is_live(self.now))
            .map(|((_, address), _)| address)
            .take(PREFERRED_COUNT - 1)
            .collect()
    }

    /// Returns whether this instance is not a preferred member, while a preferred member that the
    /// table answers is alive.
    pub(super) fn defers_to_preferred(&self) -> bool {
        let preferred = self.preferred_members();
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let may_claim = |address: &PeerAddress| {
            let peer = self.peers.get(address);
            let is_able = |peer: &PeerView| peer.is_live(self.now) && reaches_table(peer);
            Some(*address) != leader && peer.is_some_and(is_able)
        };
        !preferred.contains(&self.settings.address) && preferred.iter().any(may_claim)
    }

    /// Counts the members that may claim leadership before this one: preferred members, and others.
    ///
    /// A preferred member counts only those preferred members that are alive or starting. Any other
    /// member counts all preferred members, because it may receive no heartbeats from them. Members
    /// that are not preferred are always counted, for the same reason.
    pub(super) fn higher_ranked_members(&self) -> (u32, u32) {
        let local = self.local_rank();
        let preferred = self.preferred_members();
        let local_preferred = preferred.contains(&self.settings.address);
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let mut before = (0, 0);
        for ((strength, address), peer) in self.ranked_peers() {
            if (strength, address) >= local || Some(address) == leader || peer.heartbeat.stopping {
                continue;
            }
            let starting = peer.last_contact.is_none() && self.age(peer.known_at) < STARTUP_GRACE;
            let live = peer.is_live(self.now);
            if !preferred.contains(&address) {
                before.1 += 1;
            } else if live || starting || !local_preferred {
                before.0 += 1;
            }
        }
        before
    }
}
