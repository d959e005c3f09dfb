//! Hubs: on a site of many instances, near members pass messages on between the leader and others.
//!
//! An instance of 141 asks a few times a second, and each message by itself costs its leader an
//! exchange of some 25 us and another for the reply. Through a few hubs many travel in one batch;
//! each waits some 8 ms longer on its way. A message that a hub loses is lost as on any link: whoever
//! needs an answer asks again, then the leader directly.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

use super::commit::Origin;
use super::EntryCore;
use crate::caller::CallerRequest;
use crate::peer::{PeerAddress, PeerMessage};

/// Members from which on messages go through hubs: below, the leader bears each of them.
pub(super) const MANY_MEMBERS: usize = 64;
/// A hub was heard this lately: more than two of the heartbeats that far members hear.
const HUB_HEARD: Duration = Duration::from_millis(900);

/// Near members that tell a far one how lately they heard the leader.
const HUBS_OF_ONE: usize = 2;

/// Weight of a pair, by which one of many is chosen for another: the greatest is. The choice stays
/// while that one does, and the loss of one moves only what was its own.
pub(super) fn choice_weight(first: impl Hash, second: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (first, second).hash(&mut hasher);
    hasher.finish()
}

impl EntryCore {
    /// Tells whether the site has so many members that messages go through hubs.
    pub(super) fn has_many_members(&self) -> bool {
        self.peers.len() + 1 >= MANY_MEMBERS
    }

    /// Tells whether this member hears the leader at the slow pace, and of it through hubs.
    pub(super) fn is_behind_hubs(&self) -> bool {
        self.has_many_members() && !self.preferred.contains(&self.settings.address)
    }

    /// Says something to a member that may be far, through a hub if there is one.
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

    /// The hub between this instance and another: always the same near member while it lives.
    fn hub_between(&self, to: PeerAddress) -> Option<PeerAddress> {
        if !self.has_many_members() {
            return None;
        }
        let own = self.settings.address;
        let preferred = &self.preferred;
        let leads = self.lead.is_some();
        let far = if leads { to } else { own };
        if preferred.contains(&far) {
            return None;
        }
        let fit = |hub: &PeerAddress| {
            let peer = self.peers.get(hub);
            let live = peer.is_some_and(|peer| {
                let heard = peer.last_contact.is_some_and(|at| self.age(at) < HUB_HEARD);
                heard && !peer.heartbeat.stopping
            });
            *hub != to && *hub != own && live
        };
        let weight = |hub: &PeerAddress| choice_weight(*hub, far);
        preferred.iter().copied().filter(fit).max_by_key(weight)
    }

    /// Tells whether this near member is one of those that tell a far one of the leader.
    pub(super) fn is_hub_of(&self, far: PeerAddress) -> bool {
        let own = self.settings.address;
        if !self.has_many_members()
            || !self.preferred.contains(&own)
            || self.preferred.contains(&far)
        {
            return false;
        }
        let leader = self.leader.as_ref().map(|leader| leader.address);
        let own_weight = choice_weight(own, far);
        let others = self.preferred.iter().filter(|hub| Some(**hub) != leader);
        let before = others.filter(|hub| choice_weight(**hub, far) > own_weight);
        before.count() < HUBS_OF_ONE
    }

    /// Takes a message that came through a hub, or passes it on.
    pub(super) fn handle_relayed(
        &mut self,
        from: PeerAddress,
        to: PeerAddress,
        message: Box<PeerMessage>,
    ) {
        if to == self.settings.address {
            self.handle_message(from, *message);
        } else if !self.answers_from_book(from, &message) {
            self.counters.count("calls", "relayed");
            self.send_message(to, PeerMessage::Relay { from, to, message });
        }
    }

    /// Takes up a question on its way to the leader that the own book can answer.
    fn answers_from_book(&mut self, from: PeerAddress, message: &PeerMessage) -> bool {
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
