//! Messages to and from peers: batched, numbered, taken once and in order.

use std::collections::BTreeMap;

use super::{CoreAction, InstanceCore, PeerBatch};
use crate::ids::{CellTime, Incarnation, InstanceName};
use crate::link::PeerMessage;
use crate::membership::{MemberState, PartitionKey};
use crate::owner::GuardName;
use crate::refusal::RefusalReason;

/// Messages that wait for one peer at most; the oldest are dropped.
const OUTBOX_LIMIT: usize = 4_096;

/// Messages that wait for a peer.
#[derive(Clone, Debug, Default)]
struct PeerOutbox {
    messages: Vec<PeerMessage>,
    sequence: u64,
    next: CellTime,
    last: CellTime,
}

/// What is known of the links to peers.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerState {
    outboxes: BTreeMap<InstanceName, PeerOutbox>,
    taken: BTreeMap<InstanceName, (Incarnation, u64)>,
    next_heartbeat: CellTime,
}

impl PeerState {
    /// Begins a new life: messages of the last one are not sent any more.
    pub(super) fn begin_incarnation(&mut self) {
        self.outboxes.clear();
    }
}

impl InstanceCore {
    /// Puts a message in line for a peer.
    pub(super) fn send_to_peer(&mut self, to: &InstanceName, message: PeerMessage) {
        let outbox = self.peers.outboxes.entry(to.clone()).or_default();
        if outbox.messages.len() >= OUTBOX_LIMIT {
            self.tally.refuse(RefusalReason::QueueFull);
            return;
        }
        outbox.messages.push(message);
    }

    /// Puts a message in line for all peers.
    pub(super) fn send_to_all_peers(&mut self, message: &PeerMessage) {
        for to in self.peer_names() {
            self.send_to_peer(&to, message.clone());
        }
    }

    /// Names of the peers that live.
    pub(super) fn peer_names(&self) -> Vec<InstanceName> {
        let lease = self.settings.timings.instance_lease;
        self.roster
            .all(lease)
            .filter(|(_, state)| matches!(state, MemberState::Live | MemberState::Stopping))
            .map(|(row, _)| row.detail.name.clone())
            .filter(|name| *name != self.settings.detail.name)
            .collect()
    }

    /// Sends what waits for peers, one batch for each.
    pub(super) fn send_batches(&mut self) {
        let pace = self.settings.timings.peer_pace;
        let now = self.now;
        let due: Vec<InstanceName> = self
            .peers
            .outboxes
            .iter()
            .filter(|(_, outbox)| !outbox.messages.is_empty() && outbox.next <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for to in due {
            let Some((row, _)) = self.roster.row_of(&to) else {
                self.peers.outboxes.remove(&to);
                continue;
            };
            let address = row.detail.peer_address.clone();
            let outbox = self.peers.outboxes.get_mut(&to).expect("due");
            outbox.next = now + pace;
            outbox.last = now;
            outbox.sequence += 1;
            let batch = PeerBatch {
                from: self.settings.detail.name.clone(),
                incarnation: self.incarnation,
                sequence: outbox.sequence,
                bundle: self.bundle.in_force().version,
                messages: std::mem::take(&mut outbox.messages),
            };
            self.actions.push(CoreAction::Peer { to, address, batch });
        }
    }

    /// Tells peers that have heard nothing for a while that the instance lives.
    pub(super) fn run_heartbeats(&mut self) {
        if self.now < self.peers.next_heartbeat || !self.lease.is_registered() {
            return;
        }
        let interval = self.settings.timings.peer_heartbeat;
        self.peers.next_heartbeat = self.now + interval / 4;
        for to in self.peer_names() {
            let last = self.peers.outboxes.get(&to).map(|outbox| outbox.last);
            if last.is_none_or(|last| self.now >= last + interval) {
                self.send_to_peer(&to, PeerMessage::Heartbeat);
            }
        }
    }

    /// Takes a peer's batch, unless it is late or repeated.
    pub(super) fn handle_batch(&mut self, batch: PeerBatch) {
        let place = (batch.incarnation, batch.sequence);
        let taken = self.peers.taken.entry(batch.from.clone()).or_default();
        if place <= *taken && self.settings.guards.enforces(GuardName::PeerOrder) {
            self.tally.peer_batches_dropped += 1;
            return;
        }
        *taken = (*taken).max(place);
        self.poll_newer_bundle(batch.bundle);
        for message in batch.messages {
            self.handle_message(&batch.from, message);
        }
    }

    /// Takes a message of a peer, or of this instance itself.
    pub(super) fn handle_message(&mut self, from: &InstanceName, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat => {}
            PeerMessage::OwnerChanged => self.lease.scan_soon(),
            PeerMessage::Digest(digest) => self.digest_cache.update(self.now, digest),
            PeerMessage::Points(points) => self.handle_points(points),
            PeerMessage::Place {
                partition,
                epoch,
                order,
            } => {
                if self.is_current(partition, epoch) {
                    self.with_worker_partition(partition, |owner, ctx| owner.place(*order, ctx));
                }
            }
            PeerMessage::Withdraw {
                partition, epoch, ..
            } => {
                if self.is_current(partition, epoch) {
                    self.with_worker_partition(partition, |owner, ctx| {
                        owner.withdraw(message, ctx);
                    });
                }
            }
            PeerMessage::EndRecorded { partition, key } => {
                self.with_worker_partition(partition, |owner, ctx| owner.end_recorded(&key, ctx));
            }
            PeerMessage::Status {
                team_partition,
                partition,
                epoch,
                key,
                status,
            } => self.with_team_partition(team_partition, |owner, view, ctx| {
                owner.handle_status(partition, epoch, &key, status, view, ctx);
            }),
            PeerMessage::Forward {
                origin,
                ticket,
                command,
            } => self.handle_forwarded(&origin, ticket, *command),
            PeerMessage::Answer { ticket, answer } => self.handle_answer(from, ticket, *answer),
        }
    }

    /// Tells whether a worker partition is owned here under an epoch.
    fn is_current(&mut self, partition: u32, epoch: u64) -> bool {
        let owner = self.workers.get(&partition);
        let releasing = self.releasing.contains(&PartitionKey::worker(partition));
        let current = owner.is_some_and(|owner| owner.epoch() == epoch && owner.has_roster());
        if !current || releasing {
            self.tally.refuse(RefusalReason::StaleEpoch);
        }
        current && !releasing
    }
}
