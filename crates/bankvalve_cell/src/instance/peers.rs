//! Messages to and from peers, in numbered batches that are handled once and in order.

use std::collections::BTreeMap;

use super::{CoreAction, InstanceCore, PeerBatch};
use crate::ids::{CellTime, Incarnation, InstanceName};
use crate::link::PeerMessage;
use crate::membership::{MemberState, PartitionKey};
use crate::owner::GuardName;
use crate::refusal::RefusalReason;

/// Maximum number of messages that wait for one peer; further messages are dropped.
const OUTBOX_LIMIT: usize = 4_096;

/// Messages that wait to be sent to a peer.
#[derive(Clone, Debug, Default)]
struct PeerOutbox {
    messages: Vec<PeerMessage>,
    /// Sequence of the last batch sent.
    sequence: u64,
    /// Earliest time of the next batch.
    next_send: CellTime,
    last_sent: CellTime,
}

/// State of the links to all peers.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerState {
    outboxes: BTreeMap<InstanceName, PeerOutbox>,
    /// Incarnation and sequence of the last batch handled from each peer.
    last_received: BTreeMap<InstanceName, (Incarnation, u64)>,
    next_heartbeat: CellTime,
}

impl PeerState {
    /// Discards messages of the previous incarnation that were not sent.
    pub(super) fn begin_incarnation(&mut self) {
        self.outboxes.clear();
    }
}

impl InstanceCore {
    /// Queues a message for a peer.
    pub(super) fn send_to_peer(&mut self, to: &InstanceName, message: PeerMessage) {
        let outbox = self.peers.outboxes.entry(to.clone()).or_default();
        if outbox.messages.len() >= OUTBOX_LIMIT {
            self.tally.refuse(RefusalReason::QueueFull);
            return;
        }
        outbox.messages.push(message);
    }

    /// Queues a message for all live or stopping peers.
    pub(super) fn send_to_all_peers(&mut self, message: &PeerMessage) {
        for to in self.peer_names() {
            self.send_to_peer(&to, message.clone());
        }
    }

    /// Returns the names of the peers that are live or stopping.
    pub(super) fn peer_names(&self) -> Vec<InstanceName> {
        let lease = self.settings.timings.instance_lease;
        self.roster
            .all(lease)
            .filter(|(_, state)| matches!(state, MemberState::Live | MemberState::Stopping))
            .map(|(row, _)| row.detail.name.clone())
            .filter(|name| *name != self.settings.detail.name)
            .collect()
    }

    /// Sends the queued messages to each peer whose next batch is due, as one batch per peer.
    pub(super) fn send_batches(&mut self) {
        let batch_interval = self.settings.timings.peer_pace;
        let now = self.now;
        let due: Vec<InstanceName> = self
            .peers
            .outboxes
            .iter()
            .filter(|(_, outbox)| !outbox.messages.is_empty() && outbox.next_send <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for to in due {
            let Some((row, _)) = self.roster.row_of(&to) else {
                self.peers.outboxes.remove(&to);
                continue;
            };
            let address = row.detail.peer_address.clone();
            let outbox = self.peers.outboxes.get_mut(&to).expect("due");
            outbox.next_send = now + batch_interval;
            outbox.last_sent = now;
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

    /// Sends a heartbeat to each peer to which no batch was sent for a heartbeat interval.
    pub(super) fn run_heartbeats(&mut self) {
        if self.now < self.peers.next_heartbeat || !self.lease.is_registered() {
            return;
        }
        let interval = self.settings.timings.peer_heartbeat;
        self.peers.next_heartbeat = self.now + interval / 4;
        for to in self.peer_names() {
            let last = self.peers.outboxes.get(&to).map(|outbox| outbox.last_sent);
            if last.is_none_or(|last| self.now >= last + interval) {
                self.send_to_peer(&to, PeerMessage::Heartbeat);
            }
        }
    }

    /// Handles a peer's batch, unless it is late or repeated.
    pub(super) fn handle_batch(&mut self, batch: PeerBatch) {
        let position = (batch.incarnation, batch.sequence);
        let last_received = self
            .peers
            .last_received
            .entry(batch.from.clone())
            .or_default();
        if position <= *last_received && self.settings.guards.enforces(GuardName::PeerOrder) {
            self.tally.peer_batches_dropped += 1;
            return;
        }
        *last_received = (*last_received).max(position);
        self.poll_newer_bundle(batch.bundle);
        for message in batch.messages {
            self.handle_message(&batch.from, message);
        }
    }

    /// Handles a message from a peer, or from this instance to itself.
    pub(super) fn handle_message(&mut self, from: &InstanceName, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat => {}
            PeerMessage::OwnerChanged => self.lease.scan_soon(),
            PeerMessage::Digest(digest) => self.digest_cache.update(self.now, digest),
            PeerMessage::Points(points) => self.handle_endpoints(points),
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

    /// Returns whether this instance owns a worker partition under an epoch, has its roster, and is not
    /// releasing it.
    ///
    /// Counts a refusal otherwise.
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
