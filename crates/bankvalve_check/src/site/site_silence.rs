//! Connections between instances that go silent for good, while new ones work.

use bankvalve_queue::{
    peer_batch_timeout, CoreEvent, PeerAddress, PeerMessage, PEER_BATCHES_IN_FLIGHT,
    POOLED_CONNECTIONS,
};

use super::site_world::{Later, SiteWorld};

/// Time after which a call of a small batch without an answer is over, in milliseconds.
pub(super) fn call_ms() -> u64 {
    peer_batch_timeout(0).as_millis() as u64
}

/// Connections from one instance to another that are silent.
#[derive(Debug)]
pub(super) struct SilentLane {
    /// Silent connections that no call has used yet.
    unused: usize,
    /// When the calls on silent connections were made.
    called_at: Vec<u64>,
}

/// What becomes of a message on a lane.
enum LaneFate {
    /// It arrives.
    Arrives,
    /// It waits for a call to end, for so many milliseconds.
    Waits(u64),
    /// It is lost; if it is the first one of its call, the sender is told so later.
    Lost { first: bool },
}

impl SilentLane {
    fn fate(&mut self, now: u64, given_up_together: bool) -> LaneFate {
        let first_call = self.called_at.first();
        if given_up_together && first_call.is_some_and(|at| now >= at + call_ms()) {
            self.unused = 0;
        }
        if self.unused > 0 && self.called_at.last() == Some(&now) {
            return LaneFate::Lost { first: false };
        }
        let mut open = self.called_at.iter().filter(|at| now < **at + call_ms());
        let oldest = open.next().copied();
        match oldest {
            Some(at) if 1 + open.count() >= PEER_BATCHES_IN_FLIGHT => {
                LaneFate::Waits(at + call_ms() - now)
            }
            _ if self.unused > 0 => {
                self.unused -= 1;
                self.called_at.push(now);
                LaneFate::Lost { first: true }
            }
            _ => LaneFate::Arrives,
        }
    }
}

impl SiteWorld {
    /// Makes all connections silent that instances have open to each other now.
    pub fn silence_peers(&mut self) {
        self.lasting.trouble(self.now_ms);
        let count = self.nodes.len();
        let pairs = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
        self.silent_lanes = pairs
            .filter(|(from, to)| from != to)
            .map(|pair| {
                let called_at = Vec::new();
                let lane = SilentLane {
                    unused: POOLED_CONNECTIONS,
                    called_at,
                };
                (pair, lane)
            })
            .collect();
    }

    /// An instance that dies closes its connections.
    pub(super) fn end_silence_of(&mut self, node: usize) {
        self.silent_lanes
            .retain(|(from, to), _| *from != node && *to != node);
    }

    /// Keeps a message back, or loses it, if it goes out on a silent connection; else returns it.
    pub(super) fn pass_silent_lane(
        &mut self,
        from: usize,
        to: PeerAddress,
        message: PeerMessage,
    ) -> Option<PeerMessage> {
        let now = self.now_ms;
        let together = self.given_up_together;
        let target = self.nodes.iter().position(|node| node.address == to);
        let lane = target.and_then(|target| self.silent_lanes.get_mut(&(from, target)));
        let Some(lane) = lane else {
            return Some(message);
        };
        let life = self.nodes[from].life;
        match lane.fate(now, together) {
            LaneFate::Arrives => return Some(message),
            LaneFate::Waits(wait) => {
                self.after(
                    wait,
                    Later::SendPeer {
                        node: from,
                        life,
                        to,
                        message,
                    },
                );
            }
            LaneFate::Lost { first } => {
                if first {
                    let event = CoreEvent::PeerUnreached {
                        peer: to,
                        refused: false,
                    };
                    self.after(
                        call_ms(),
                        Later::Event {
                            node: from,
                            life,
                            event,
                        },
                    );
                }
            }
        }
        None
    }
}
