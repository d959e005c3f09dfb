//! Hubs: preferred members of a large site that relay messages between the leader and other members.
//!
//! On a site with 141 instances, each instance sends a few requests a second. A message that is sent
//! by itself costs the leader an exchange of about 25 us, and its reply costs another one. Through a
//! few hubs, many messages travel in one batch; each takes about 8 ms longer. A message that a hub
//! loses is lost as on any other connection: a sender that needs an answer repeats its request, this
//! time directly to the leader.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::commit::Origin;
use super::EntryCore;
use crate::caller::CallerRequest;
use crate::peer::{PeerAddress, PeerMessage};

/// Minimum number of members of a large site, where messages go through hubs. On smaller sites, the leader
/// can handle each message by itself.
pub(super) const LARGE_SITE_MEMBERS: usize = 64;
/// Maximum time since the last heartbeat of a hub: more than two heartbeat intervals of other members.
const HUB_CONTACT_TIMEOUT: Duration = Duration::from_millis(900);

/// Number of hubs that report their last contact with the leader to each other member.
const HUBS_PER_MEMBER: usize = 2;

/// Returns the weight of a pair for rendezvous hashing: of several candidates, the one with the
/// greatest weight is chosen. The choice is stable while that candidate is available, and the loss of a
/// candidate changes the choice only where that candidate was chosen.
pub(super) fn choice_weight(first: impl Hash, second: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (first, second).hash(&mut hasher);
    hasher.finish()
}

impl EntryCore {
    /// Returns whether the site has so many members that messages go through hubs.
    pub(super) fn is_large_site(&self) -> bool {
        self.member_rows.are_partial() || self.peers.len() + 1 >= LARGE_SITE_MEMBERS
    }

    /// Returns whether this instance gets heartbeats from the leader at the slow rate and learns
    /// more about it from hubs: it is not a preferred member, and the site is large.
    pub(super) fn is_behind_hubs(&self) -> bool {
        self.is_large_site() && !self.preferred.contains(&self.settings.address)
    }

    /// Sends a message to a member, through a hub if there is one between this instance and the member.
    pub(super) fn send_via_hub(&mut self, to: PeerAddress, message: PeerMessage) {
        match self.hub_between(to) {
            None => self.send_message(to, message),
            Some(hub) => {
                let from = self.settings.address;
                let message = Box::new(message);
                self.send_message(hub, PeerMessage::Relay { from, to, message });
            }
        }
    }

    /// Returns the hub between this instance and another, which stays the same while that hub is alive.
    fn hub_between(&self, to: PeerAddress) -> Option<PeerAddress> {
        if !self.is_large_site() {
            return None;
        }
        let local = self.settings.address;
        let preferred = &self.preferred;
        let leads = self.lead.is_some();
        let member = if leads { to } else { local };
        if preferred.contains(&member) {
            return None;
        }
        let usable = |hub: &PeerAddress| {
            let peer = self.peers.get(hub);
            let live = peer.is_some_and(|peer| {
                let in_contact = peer
                    .last_contact
                    .is_some_and(|at| self.age(at) < HUB_CONTACT_TIMEOUT);
                in_contact && !peer.heartbeat.stopping
            });
            *hub != to && *hub != local && live
        };
        let weight = |hub: &PeerAddress| choice_weight(*hub, member);
        preferred.iter().copied().filter(usable).max_by_key(weight)
    }

    /// Returns whether this instance is one of the hubs that report about the leader to another member.
    pub(super) fn is_hub_of(&self, member: PeerAddress) -> bool {
        let local = self.settings.address;
        if !self.is_large_site()
            || !self.preferred.contains(&local)
            || self.preferred.contains(&member)
        {
            return false;
        }
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let local_weight = choice_weight(local, member);
        let others = self.preferred.iter().filter(|hub| Some(**hub) != leader);
        let before = others.filter(|hub| choice_weight(**hub, member) > local_weight);
        before.count() < HUBS_PER_MEMBER
    }

    /// Handles a relayed message that is for this instance, or forwards it.
    pub(super) fn handle_relayed(
        &mut self,
        from: PeerAddress,
        to: PeerAddress,
        message: Box<PeerMessage>,
    ) {
        if to == self.settings.address {
            self.handle_message(from, *message);
        } else if !self.answer_from_book(from, &message) {
            self.counters.count("calls", "relayed");
            self.send_message(to, PeerMessage::Relay { from, to, message });
        }
    }

    /// Answers a status request to the leader from the local book, if that is possible.
    ///
    /// Returns whether this instance answers it, now or once its book has reached the read index.
    fn answer_from_book(&mut self, from: PeerAddress, message: &PeerMessage) -> bool {
        let PeerMessage::Ask {
            ticket,
            caller,
            request,
            ..
        } = message
        else {
            return false;
        };
        let CallerRequest::Status { job } = request else {
            return false;
        };
        if let Some(answer) = self.committed_outcome(*job, caller) {
            let (ticket, answer) = (*ticket, Some(answer));
            self.send_message(from, PeerMessage::Reply { ticket, answer });
            return true;
        }
        let origin = Origin::Peer(from, *ticket);
        self.read_local_book(origin, *job, caller).is_some()
    }
}
