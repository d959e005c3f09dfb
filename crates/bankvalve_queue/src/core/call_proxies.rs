//! Call proxies: standbys that send calls to workers for the leader and return the answers.
//!
//! An exchange with a worker costs about 25 us of a core, a message in a batch to a peer about 3 us.
//! On a site with 1,100 workers and 1,500 starts a second, calls alone take 0.08 of a core. So if a
//! leader has many workers for its CPU capacity, its standbys send its calls and forward the answers.
//! The leader still makes all decisions and determines the outcome of each call: if no answer reaches
//! it in time, the call is unanswered, whichever instance sent it. Workers check the leader's fencing token.
//! A proxy has each job in its own book, so a proxied start does not contain the job.

use std::time::Duration;

use super::election::PeerView;
use super::hubs::choice_weight;
use super::lead_state::LeadState;
use super::EntryCore;
use crate::core::CoreAction;
use crate::ids::{CoreTime, FenceToken, Ticket, WorkerId};
use crate::peer::{PeerAddress, PeerMessage, ProxiedCall, ProxiedOrder};
use crate::worker::{StartOrder, WorkerAnswer, WorkerCall};

/// Number of workers per core of the leader from which its calls are proxied. Exchanges with that many
/// workers take a tenth of its CPU.
const PROXIED_WORKERS_PER_CORE: u64 = 800;
/// Time added to the limit of a proxied call, for the round trip between the two instances and for the
/// interval of their batches.
pub(super) const PROXY_SLACK: Duration = Duration::from_millis(150);
/// Interval between two selections of proxies.
const SELECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time since the last heartbeat of a proxy: more than two heartbeat intervals.
const PROXY_CONTACT_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of ledger batches that a proxy's book may lack, by its last heartbeat. Batches are
/// written 24 ms apart, and heartbeats come every 160 ms.
const MAX_BATCHES_BEHIND: u64 = 30;
/// Time after which a proxy forgets a call that has no answer.
const FORGET_CALL_AFTER: Duration = Duration::from_secs(5);

/// Proxies that a leader has selected.
#[derive(Debug, Default)]
pub(super) struct ProxyList {
    peers: Vec<PeerAddress>,
    selected_at: Option<CoreTime>,
}

impl ProxyList {
    /// Returns whether calls are proxied.
    pub(super) fn are_used(&self) -> bool {
        !self.peers.is_empty()
    }

    /// Returns the proxy for a worker's calls. It stays the same while the proxies do.
    pub(super) fn proxy_of(&self, worker: &WorkerId) -> Option<PeerAddress> {
        let weight = |peer: &PeerAddress| choice_weight(worker, peer);
        self.peers.iter().copied().max_by_key(weight)
    }
}

/// Where a call that this instance proxies came from.
#[derive(Debug)]
pub(super) struct ProxyOrigin {
    leader: PeerAddress,
    ticket: Ticket,
    since: CoreTime,
}

impl EntryCore {
    /// Selects the proxies when that is due, and times out calls.
    pub(super) fn run_proxies(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.as_deref() else {
            return;
        };
        let due = |at: CoreTime| now >= at + SELECTION_INTERVAL;
        if lead.proxies.selected_at.is_none_or(due) {
            let peers = self.select_proxies(lead);
            if let Some(lead) = self.lead.as_deref_mut() {
                lead.proxies.peers = peers;
                lead.proxies.selected_at = Some(now);
            }
        }
        self.time_out_calls();
    }

    /// Returns the standbys to use as proxies; none if the leader has enough CPU for its workers.
    fn select_proxies(&self, lead: &LeadState) -> Vec<PeerAddress> {
        let workers = lead.worker_states.len() as u64 * 1_000;
        if workers < PROXIED_WORKERS_PER_CORE * self.settings.strength.max(1) || self.stopping {
            return Vec::new();
        }
        let is_usable = |peer: &PeerView| {
            let in_contact = peer
                .last_contact
                .is_some_and(|at| self.age(at) < PROXY_CONTACT_TIMEOUT);
            let has_book = peer.heartbeat.applied + MAX_BATCHES_BEHIND >= self.applied;
            in_contact && has_book && !peer.heartbeat.stopping
        };
        let mut standbys = self.live_standbys();
        standbys.retain(|address| self.peers.get(address).is_some_and(is_usable));
        standbys
    }

    /// Handles calls whose time limit has passed as unanswered.
    ///
    /// The limit is compared with the arrival time of the event that is being handled, because an
    /// answer may wait in the queue behind it.
    fn time_out_calls(&mut self) {
        let event_time = self.now.saturating_sub(self.lag);
        while let Some(lead) = self.lead.as_deref_mut() {
            let first = lead.call_deadlines.first().copied();
            let Some((_, ticket)) = first.filter(|(limit, _)| event_time >= *limit) else {
                return;
            };
            lead.call_deadlines.pop_first();
            self.counters.count("retries", "call_unanswered");
            self.handle_worker_answer(ticket, WorkerAnswer::NoReply);
        }
    }

    /// Stops using a peer as a proxy, and handles its open calls as unanswered.
    pub(super) fn remove_proxy(&mut self, peer: PeerAddress) {
        let Some(lead) = self.lead.as_deref_mut() else {
            return;
        };
        lead.proxies.peers.retain(|proxy| *proxy != peer);
        let open = lead
            .calls
            .iter()
            .filter(|(_, open)| open.proxy == Some(peer));
        let tickets: Vec<Ticket> = open.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.handle_worker_answer(ticket, WorkerAnswer::NoReply);
        }
    }

    /// Sends a call through a proxy, if there is one, and returns the proxy's address.
    pub(super) fn send_via_proxy(
        &mut self,
        ticket: Ticket,
        worker: &WorkerId,
        call: &WorkerCall,
        time: Duration,
    ) -> Option<PeerAddress> {
        let lead = self.lead.as_deref()?;
        let proxy = lead.proxies.proxy_of(worker)?;
        let address = lead.worker_states.get(worker)?.call_address().to_owned();
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

    /// Sends a call to a worker for the leader.
    pub(super) fn proxy_call(&mut self, from: PeerAddress, ticket: Ticket, proxied: ProxiedCall) {
        let Some(call) = self.complete_call(proxied.order) else {
            // The local book does not have the job yet. Nothing was sent, so the leader can try again.
            let answer = WorkerAnswer::NotSent;
            self.send_message(from, PeerMessage::Carried { ticket, answer });
            return;
        };
        let local_ticket = self.take_ticket();
        let since = self.now;
        let origin = ProxyOrigin {
            leader: from,
            ticket,
            since,
        };
        self.proxied_calls.insert(local_ticket, origin);
        self.counters.count("calls", "carried");
        self.push_worker_call(
            local_ticket,
            &proxied.worker,
            proxied.address,
            proxied.token,
            call,
            Duration::from_millis(proxied.time_ms),
        );
    }

    /// Returns the complete call. The job of a start is added from the local book; `None` if the book
    /// does not have it.
    fn complete_call(&self, order: ProxiedOrder) -> Option<WorkerCall> {
        Some(match order {
            ProxiedOrder::Start {
                task,
                run,
                saved,
                permit,
                until_ms,
                process,
            } => WorkerCall::Start(Box::new(StartOrder {
                task,
                run,
                job: self.book.job(task.step.job)?.spec.clone(),
                saved,
                permit,
                until_ms,
                process,
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

    /// Forwards an answer if its call was proxied for the leader, and returns whether it was.
    pub(super) fn forward_answer(&mut self, ticket: Ticket, answer: &WorkerAnswer) -> bool {
        let Some(origin) = self.proxied_calls.remove(&ticket) else {
            return false;
        };
        let ticket = origin.ticket;
        let answer = answer.clone();
        self.send_message(origin.leader, PeerMessage::Carried { ticket, answer });
        true
    }

    /// Forgets proxied calls that have had no answer for too long.
    pub(super) fn expire_proxied_calls(&mut self) {
        let now = self.now;
        while let Some(first) = self.proxied_calls.first_entry() {
            if now.saturating_sub(first.get().since) < FORGET_CALL_AFTER {
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
