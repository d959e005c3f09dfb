//! Bytes on instances' links, which carry them one after the other if a world says so.

use bankvalve_queue::{CoreEvent, PeerMessage, StoreOutcome, StoreRequest, Ticket};

use super::site_world::{Later, SiteWorld};

/// Bytes of a call or an answer beside its content: heads of HTTP and TCP.
pub(super) const HEAD_BYTES: u64 = 300;
/// Bytes of a row beside its value.
const ROW_BYTES: u64 = 80;
/// Bytes of a worker's entry.
const ENTRY_BYTES: u64 = 300;

/// Until when an instance's link is taken, each way, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkUse {
    out_until: f64,
    in_until: f64,
}

/// When bytes begin to arrive and when they have, in milliseconds from now.
pub(super) struct BytesCome {
    first: u64,
    pub(super) last: u64,
}

impl SiteWorld {
    fn link_rate(&self, node: usize) -> Option<f64> {
        let rate = self.nodes[node].link_bytes_per_ms?;
        self.links_carry_all.then_some(rate as f64)
    }

    /// Bytes leave an instance, behind what leaves it already; returns how long that takes.
    pub(super) fn send_out(&mut self, node: usize, bytes: u64) -> u64 {
        let Some(rate) = self.link_rate(node) else {
            return 0;
        };
        let now = self.now_ms as f64;
        let link = &mut self.nodes[node].link_use;
        link.out_until = link.out_until.max(now) + bytes as f64 / rate;
        (link.out_until - now) as u64
    }

    /// Bytes come to an instance after a time, behind what comes to it already.
    pub(super) fn take_in(&mut self, node: usize, bytes: u64, after: u64) -> BytesCome {
        let Some(rate) = self.link_rate(node) else {
            return BytesCome {
                first: after,
                last: after,
            };
        };
        let now = self.now_ms as f64;
        let link = &mut self.nodes[node].link_use;
        let first = link.in_until.max(now + after as f64);
        link.in_until = first + bytes as f64 / rate;
        BytesCome {
            first: (first - now) as u64,
            last: (link.in_until - now) as u64,
        }
    }

    /// The table's answer goes to an instance.
    pub(super) fn answer_request(
        &mut self,
        (node, life, ticket): (usize, u64, Ticket),
        outcome: StoreOutcome,
        delay: u64,
    ) {
        if let Some(table_use) = self.table_use.as_mut() {
            table_use.note_answer(node, ticket, &outcome);
        }
        let last = if self.links_carry_all {
            let come = self.take_in(node, outcome_bytes(&outcome), delay);
            if matches!(outcome, StoreOutcome::Operator { .. }) {
                self.begins.insert((node, ticket), self.now_ms + come.first);
                let event = CoreEvent::StoreBegins { ticket };
                self.after(come.first, Later::Event { node, life, event });
            }
            come.last
        } else {
            // Here nothing is seen of an answer before it is whole.
            delay + self.time_on_link(node, &outcome)
        };
        let event = CoreEvent::Store { ticket, outcome };
        self.after(last, Later::Event { node, life, event });
    }

    /// An answer about the configuration is given up unless it has begun.
    pub(super) fn store_limit(&mut self, (node, life, ticket): (usize, u64, Ticket)) {
        let begins = self.begins.remove(&(node, ticket));
        if begins.is_none_or(|at| at > self.now_ms) {
            let outcome = StoreOutcome::Lost;
            let event = CoreEvent::Store { ticket, outcome };
            self.after(0, Later::Event { node, life, event });
        }
    }
}

/// Bytes of a message to a peer.
pub(super) fn message_bytes(message: &PeerMessage) -> u64 {
    let encoded = rmp_serde::to_vec(message).expect("a message can be encoded");
    encoded.len() as u64 + HEAD_BYTES
}

/// Bytes of a request to the table.
pub(super) fn request_bytes(request: &StoreRequest) -> u64 {
    let rows = match request {
        StoreRequest::Transact {
            conditions, writes, ..
        } => {
            let values = writes.iter().map(|write| in_base64(write.value.len()));
            values.sum::<u64>() + ROW_BYTES * conditions.len() as u64
        }
        _ => 0,
    };
    HEAD_BYTES + rows
}

fn outcome_bytes(outcome: &StoreOutcome) -> u64 {
    let content = match outcome {
        StoreOutcome::Rows { rows, .. } | StoreOutcome::Conflict { rows } => {
            rows.iter().map(|row| in_base64(row.value.len())).sum()
        }
        StoreOutcome::Changes { changes, .. } => {
            let values = changes.iter().filter_map(|change| change.value.as_ref());
            values.map(|value| in_base64(value.len())).sum()
        }
        StoreOutcome::Operator { news, .. } => news.raw.len() as u64,
        StoreOutcome::Workers { entries, .. } => ENTRY_BYTES * entries.len() as u64,
        StoreOutcome::Applied { .. }
        | StoreOutcome::HistoryGone
        | StoreOutcome::Busy
        | StoreOutcome::Lost => 0,
    };
    HEAD_BYTES + content
}

fn in_base64(bytes: usize) -> u64 {
    ROW_BYTES + bytes as u64 * 4 / 3
}
