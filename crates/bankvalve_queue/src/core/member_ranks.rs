//! Who is near: the strongest members hear each other often and keep the leader's book.
//!
//! On a site of many instances a heartbeat from each to each, and every batch of the ledger to
//! each, would take most of the processor of the small ones. So the first few members, by
//! strength, are near: they hear each other and the leader at the full pace, and those that live
//! are sent what is kept, so that they can take over at once. The others hear the leader only.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::election::PeerView;
use super::handover::reaches_table;
use super::EntryCore;
use crate::peer::PeerAddress;

/// Members that are near, by rank: on sites of today all of them, or two thirds.
const NEAR_MEMBERS: usize = 6;
/// Members, by rank, that read the ledger as soon as they start: reading it takes some tenths of a
/// second, in which a leader is being agreed on after a loss of all.
const FIRST_HEIRS: usize = 2;
/// Time in which a member that is known from its row only is reckoned to be starting.
const STARTING: Duration = Duration::from_millis(500);

/// Order of members; smaller ones come first.
type MemberRank = (Reverse<u64>, PeerAddress);

/// Content of a member's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberRow {
    /// Start of its life, milliseconds since 1970.
    pub(super) life: u64,
    /// Processor that it has, in thousandths of a core.
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
    fn own_rank(&self) -> MemberRank {
        (Reverse(self.settings.strength), self.settings.address)
    }

    /// All members but this one, the strongest first.
    fn ranked_peers(&self) -> Vec<(MemberRank, &PeerView)> {
        let mut ranked: Vec<(MemberRank, &PeerView)> = self
            .peers
            .iter()
            .map(|(address, peer)| ((Reverse(peer.strength), *address), peer))
            .collect();
        ranked.sort_unstable_by_key(|(rank, _)| *rank);
        ranked
    }

    /// The near members, with this one if it is near.
    pub(super) fn preferred_members(&self) -> Vec<PeerAddress> {
        let mut ranks: Vec<MemberRank> =
            self.ranked_peers().iter().map(|(rank, _)| *rank).collect();
        ranks.push(self.own_rank());
        ranks.sort_unstable();
        ranks.truncate(NEAR_MEMBERS);
        ranks.into_iter().map(|(_, address)| address).collect()
    }

    /// Tells whether this instance leads and a peer is far, on a site of many members.
    pub(super) fn has_slow_heartbeat(&self, peer: PeerAddress) -> bool {
        self.lead.is_some() && self.has_many_members() && !self.preferred.contains(&peer)
    }

    /// Members that are sent a heartbeat now; the far ones only when theirs is due.
    pub(super) fn heartbeat_targets(&self, far_due: bool, slow_due: bool) -> Vec<PeerAddress> {
        let preferred = self.preferred_members();
        let is_near = |address: &PeerAddress| preferred.contains(address);
        let own_near = is_near(&self.settings.address);
        let leads = self.lead.is_some();
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let (many, doubts) = (self.has_many_members(), self.lacks_leader_contact());
        let pairs = |peer: &PeerAddress| {
            let near_pair = own_near && is_near(peer);
            let led_near = (leads && is_near(peer)) || (own_near && leader == Some(*peer));
            let with_leader = leads || leader == Some(*peer);
            let due = if many && with_leader {
                slow_due || (far_due && !leads && doubts)
            } else {
                far_due
            };
            let told = far_due && self.is_hub_of(*peer);
            near_pair || led_near || told || (due && (with_leader || is_near(peer)))
        };
        self.peers.keys().copied().filter(pairs).collect()
    }

    /// Tells whether this member is among the first to take over, by rank.
    pub(super) fn is_first_successor(&self) -> bool {
        let preferred = self.preferred_members();
        let first = &preferred[..preferred.len().min(FIRST_HEIRS)];
        first.contains(&self.settings.address)
    }

    /// Live members that keep the leader's book, the strongest first.
    pub(super) fn live_standbys(&self) -> Vec<PeerAddress> {
        self.ranked_peers()
            .into_iter()
            .filter(|(_, peer)| peer.is_live(self.now))
            .map(|((_, address), _)| address)
            .take(NEAR_MEMBERS - 1)
            .collect()
    }

    /// Tells whether this member is not near while a near one lives that the table answers.
    pub(super) fn defers_to_preferred(&self) -> bool {
        let preferred = self.preferred_members();
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let fit = |address: &PeerAddress| {
            let peer = self.peers.get(address);
            let able = |peer: &PeerView| peer.is_live(self.now) && reaches_table(peer);
            Some(*address) != leader && peer.is_some_and(able)
        };
        !preferred.contains(&self.settings.address) && preferred.iter().any(fit)
    }

    /// Members that may claim the lead before this one: near ones, and others.
    ///
    /// Of members that it hears often only those that are alive count; of the others, which a
    /// member that is not near does not hear, all do.
    pub(super) fn higher_ranked_members(&self) -> (u32, u32) {
        let own = self.own_rank();
        let preferred = self.preferred_members();
        let own_near = preferred.contains(&self.settings.address);
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let mut before = (0, 0);
        for ((strength, address), peer) in self.ranked_peers() {
            if (strength, address) >= own || Some(address) == leader || peer.heartbeat.stopping {
                continue;
            }
            let starting = peer.last_contact.is_none() && self.age(peer.known_at) < STARTING;
            let live = peer.is_live(self.now);
            if !preferred.contains(&address) {
                before.1 += 1;
            } else if live || starting || !own_near {
                before.0 += 1;
            }
        }
        before
    }
}
