//! Carriers: strong instances that hold the workers' connections for the leader.
//!
//! An exchange with a worker costs some 25 us of a core, a message in a batch to a peer some 3 us.
//! On a site of 1,100 workers and 1,500 starts a second that is 0.08 of a core for calls alone. So
//! where a leader has many workers for its processor, its standbys send its calls and pass the
//! answers on. All decisions, and what became of a call, stay with the leader: a call of which it
//! hears nothing in time has no answer, whoever carried it, and workers compare the leader's token.
//! A carrier has each job in its own book, so that an order does not bring the job along.

use std::time::Duration;

use super::election::PeerView;
use super::hubs::choice_weight;
use super::lead_state::LeadState;
use super::EntryCore;
use crate::core::CoreAction;
use crate::ids::{CoreTime, FenceToken, Ticket, WorkerId};
use crate::peer::{PeerAddress, PeerMessage, ProxiedCall, ProxiedOrder};
use crate::worker::{StartOrder, WorkerAnswer, WorkerCall};

/// Workers for each core of the leader's processor from which on its calls are carried: exchanges
/// with so many take a tenth of it.
const WORKERS_PER_CORE: u64 = 800;
/// Time that a carried call may take beyond its own: the ways between two instances, and the pace
/// of their batches.
pub(super) const PROXY_SLACK: Duration = Duration::from_millis(150);
/// Time between two choices of carriers.
const CHOOSE_EVERY: Duration = Duration::from_millis(100);
/// A carrier was heard this lately: more than two heartbeats.
const CARRIER_HEARD: Duration = Duration::from_millis(450);
/// Batches of the ledger that a carrier may be behind, as its last heartbeat told; they are written
/// 24 ms apart, and heartbeats come each 160 ms.
const BATCHES_BEHIND: u64 = 30;
/// Time for which a carrier remembers a call that has no answer.
const FORGET_CALL: Duration = Duration::from_secs(5);

/// What a leader knows of its carriers.
#[derive(Debug, Default)]
pub(super) struct ProxyList {
    peers: Vec<PeerAddress>,
    chosen_at: Option<CoreTime>,
}

impl ProxyList {
    /// Tells whether calls are carried.
    pub(super) fn are_used(&self) -> bool {
        !self.peers.is_empty()
    }

    /// The carrier of a worker's calls; the same one while the carriers stay.
    pub(super) fn proxy_of(&self, worker: &WorkerId) -> Option<PeerAddress> {
        let weight = |peer: &PeerAddress| choice_weight(worker, peer);
        self.peers.iter().copied().max_by_key(weight)
    }
}

/// A call that this instance carries.
#[derive(Debug)]
pub(super) struct ProxyOrigin {
    leader: PeerAddress,
    ticket: Ticket,
    since: CoreTime,
}

impl EntryCore {
    /// Chooses the carriers anew: standbys that are heard and have the book.
    pub(super) fn run_proxies(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let due = |at: CoreTime| now >= at + CHOOSE_EVERY;
        if lead.proxies.chosen_at.is_none_or(due) {
            let peers = self.choose_carriers(lead);
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.proxies.peers = peers;
                lead.proxies.chosen_at = Some(now);
            }
        }
        self.end_late_calls();
    }

    fn choose_carriers(&self, lead: &LeadState) -> Vec<PeerAddress> {
        let workers = lead.worker_states.len() as u64 * 1_000;
        if workers < WORKERS_PER_CORE * self.settings.strength.max(1) || self.stopping {
            return Vec::new();
        }
        let able = |peer: &PeerView| {
            let heard = peer
                .last_contact
                .is_some_and(|at| self.age(at) < CARRIER_HEARD);
            let has_book = peer.heartbeat.applied + BATCHES_BEHIND >= self.applied;
            heard && has_book && !peer.heartbeat.stopping
        };
        let mut standbys = self.live_standbys();
        standbys.retain(|address| self.peers.get(address).is_some_and(able));
        standbys
    }

    /// Gives up calls of which nothing was heard in time, by the time of the oldest event that is
    /// not taken yet: an answer may wait behind it.
    fn end_late_calls(&mut self) {
        let seen = self.now.saturating_sub(self.lag);
        while let Some(lead) = self.lead.as_deref_mut() {
            let first = lead.call_deadlines.first().copied();
            let Some((_, ticket)) = first.filter(|(limit, _)| seen >= *limit) else {
                return;
            };
            lead.call_deadlines.pop_first();
            self.counters.count("retries", "call_unanswered");
            self.handle_worker_answer(ticket, WorkerAnswer::NoReply);
        }
    }

    /// Gives up the calls that a peer carries which is gone.
    pub(super) fn remove_proxy(&mut self, peer: PeerAddress) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.proxies.peers.retain(|proxy| *proxy != peer);
        let carried = lead
            .calls
            .iter()
            .filter(|(_, open)| open.proxy == Some(peer));
        let tickets: Vec<Ticket> = carried.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.handle_worker_answer(ticket, WorkerAnswer::NoReply);
        }
    }

    /// Has a call carried, if there is a carrier; tells by whom.
    pub(super) fn send_via_proxy(
        &mut self,
        ticket: Ticket,
        worker: &WorkerId,
        call: &WorkerCall,
        time: Duration,
    ) -> Option<PeerAddress> {
        let lead = self.lead.as_deref()?;
        let proxy = lead.proxies.proxy_of(worker)?;
        let address = lead.worker_states.get(worker)?.entry.address.clone();
        let order = ProxiedOrder::of(call)?;
        let call = ProxiedCall {
            worker: worker.clone(),
            address,
            token: lead.epoch,
            order,
            time_ms: time.as_millis() as u64,
        };
        self.send_message(proxy, PeerMessage::Carry { ticket, call });
        Some(proxy)
    }

    /// Carries a call for the leader.
    pub(super) fn proxy_call(&mut self, from: PeerAddress, ticket: Ticket, carried: ProxiedCall) {
        let Some(call) = self.whole_call(carried.order) else {
            // The book does not have the job yet: it is surely not sent, and the leader tries again.
            let answer = WorkerAnswer::NotSent;
            self.send_message(from, PeerMessage::Carried { ticket, answer });
            return;
        };
        let own_ticket = self.take_ticket();
        let since = self.now;
        let carried_for = ProxyOrigin {
            leader: from,
            ticket,
            since,
        };
        self.proxied_calls.insert(own_ticket, carried_for);
        self.counters.count("calls", "carried");
        self.push_worker_call(
            own_ticket,
            &carried.worker,
            carried.address,
            carried.token,
            call,
            Duration::from_millis(carried.time_ms),
        );
    }

    /// The call with the job that it is for, from the own book.
    fn whole_call(&self, order: ProxiedOrder) -> Option<WorkerCall> {
        Some(match order {
            ProxiedOrder::Start {
                task,
                run,
                saved,
                permit,
                until_ms,
            } => WorkerCall::Start(Box::new(StartOrder {
                task,
                run,
                job: self.book.job(task.step.job)?.spec.clone(),
                saved,
                permit,
                until_ms,
            })),
            ProxiedOrder::Stop { task, run } => WorkerCall::Stop { task, run },
            ProxiedOrder::Hold {
                until_ms,
                kept,
                connection,
                wait_ms,
            } => WorkerCall::Hold {
                until_ms,
                kept,
                connection,
                wait_ms,
            },
        })
    }

    /// Passes an answer on if its call was carried for the leader.
    pub(super) fn forward_answer(&mut self, ticket: Ticket, answer: &WorkerAnswer) -> bool {
        let Some(carried_for) = self.proxied_calls.remove(&ticket) else {
            return false;
        };
        let ticket = carried_for.ticket;
        let answer = answer.clone();
        self.send_message(carried_for.leader, PeerMessage::Carried { ticket, answer });
        true
    }

    /// Forgets carried calls of whose end no word will come.
    pub(super) fn expire_proxied_calls(&mut self) {
        let now = self.now;
        while let Some(first) = self.proxied_calls.first_entry() {
            if now.saturating_sub(first.get().since) < FORGET_CALL {
                return;
            }
            first.remove();
        }
    }

    pub(super) fn push_worker_call(
        &mut self,
        ticket: Ticket,
        worker: &WorkerId,
        address: String,
        token: FenceToken,
        call: WorkerCall,
        time: Duration,
    ) {
        self.actions.push(CoreAction::Worker {
            ticket,
            worker: worker.clone(),
            address,
            token,
            call,
            time,
        });
    }
}
