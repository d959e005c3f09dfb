//! What instances ask for, carried to peers and the table.

use std::time::Duration;

use bankvalve_queue::{
    AdviceAnswer, AdviceRequest, CoreAction, CoreEvent, PeerAddress, StepKey, StoreOutcome,
    StoreRequest, Ticket, WorkerAnswer,
};
use bankvalve_standin::site::SitePolicy;
use rand::Rng;

use super::site_bytes::{message_bytes, request_bytes};
use super::site_plan::SiteNode;
use super::site_silence::call_ms;
use super::site_world::{Later, OrderReceiver, SiteWorld, QUEUE};

/// Time that the policy service takes, in milliseconds.
const ADVICE_MS: u64 = 10;
/// Questions of one instance that wait while the policy service handles another one; more are turned away.
const MAX_WAITING_ADVICE: usize = 32;
/// Most workers in one question to the policy service.
const MAX_ADVICE_WORKERS: usize = 100;
/// Longest way of a message to a peer, in milliseconds.
const WAY_MS: u64 = 4;
/// The same of a configuration, which may be large, where links do not tell.
const LARGE_WAY_MS: u64 = 650;
/// Wait from which on a question about the configuration counts as long, in milliseconds.
const LONG_WAIT_MS: u64 = 100;
/// Longest wait of a watch here, in milliseconds.
const WATCH_MS: u64 = 1_000;
/// Longer waits than this are waited for as long as asked.
const LONG_WATCH_MS: u64 = 3_000;
/// Time after which a long question about the configuration is given up, in milliseconds.
const WATCH_LOST_MS: u64 = 1_700;
/// Share of writes that a silent table carries out after all, later, in percent.
const SILENT_DONE_PERCENT: u32 = 25;
/// Time until a port that nobody listens at has refused, in milliseconds.
const REFUSAL_MS: u64 = 2;
/// Time after which an answer that was lost is given up, in milliseconds.
const SILENT_MS: u64 = 900;

impl SiteWorld {
    pub(super) fn act(&mut self, node: usize, action: CoreAction) {
        let life = self.nodes[node].life;
        if let Some(costs) = self.costs.as_mut().filter(|_| self.nodes[node].leads()) {
            costs.note_sent(&action);
        }
        match action {
            CoreAction::Store {
                ticket,
                request,
                time,
            } => {
                self.note_page_read(node, &request);
                let mut delay = self.rng.random_range(3..8) + self.store_delay_ms;
                delay += self.send_out(node, request_bytes(&request));
                if let Some(part) = written_part(&request).filter(|_| self.store_turn_ms > 0) {
                    let busy_until = self.store_busy_until.entry(part).or_default();
                    let begins = (*busy_until).max(self.now_ms + delay);
                    *busy_until = begins + self.store_turn_ms;
                    delay = *busy_until - self.now_ms;
                }
                let limit = time.as_millis() as u64;
                if self.links_carry_all && is_about_tables(&request) {
                    self.after(limit, Later::StoreLimit { node, life, ticket });
                } else if self.store_delay_ms > 0 || self.nodes[node].link_bytes_per_ms.is_some() {
                    // If the answer comes first, this finds nobody.
                    let outcome = StoreOutcome::Lost;
                    let event = CoreEvent::Store { ticket, outcome };
                    self.after(limit, Later::Event { node, life, event });
                }
                self.after(
                    delay,
                    Later::StoreArrives {
                        node,
                        life,
                        ticket,
                        request,
                    },
                );
            }
            CoreAction::Worker {
                ticket,
                worker,
                address,
                token,
                call,
                time,
            } => {
                let hold = matches!(call, bankvalve_queue::WorkerCall::Hold { .. });
                let lost = hold
                    && self.lost_looks_percent > 0
                    && self.rng.random_range(0..100) < self.lost_looks_percent;
                let start = matches!(call, bankvalve_queue::WorkerCall::Start(_));
                let late = start && self.rng.random_range(0..100) < self.late_orders_percent;
                let delay = if late {
                    self.rng.random_range(2_000..12_000)
                } else {
                    self.rng.random_range(1..4)
                };
                if late || lost {
                    let event = CoreEvent::Worker {
                        ticket,
                        answer: WorkerAnswer::NoReply,
                    };
                    let limit = time.as_millis() as u64;
                    self.after(limit, Later::Event { node, life, event });
                }
                let receiver = late.then(|| OrderReceiver(self.process_at(&address)));
                // A late order's answer finds nobody, and neither does a lost one.
                let life = if late || lost { 0 } else { life };
                self.after(
                    delay,
                    Later::WorkerArrives {
                        node,
                        life,
                        ticket,
                        worker,
                        address,
                        token,
                        call,
                        receiver,
                    },
                );
            }
            CoreAction::Advice { ticket, ask } => {
                if ask.workers.len() > MAX_ADVICE_WORKERS {
                    let text = format!("{}: advice about {} workers", ask.step, ask.workers.len());
                    self.rules.breach("ADVICE", self.now_ms, &text);
                }
                let turn = self.take_advice_turn(node, &ask);
                let limit = ask.time.as_millis() as u64;
                if let Some(load) = self.load.as_mut() {
                    *load.advice.entry(ask.step).or_default() += 1;
                }
                let (delay, answer) = match (turn, self.policy_of(ask.step)) {
                    (None, _) => (REFUSAL_MS, AdviceAnswer::Busy),
                    // The service handles the request all the same.
                    (Some(delay), _) if delay > limit => (limit, AdviceAnswer::NoReply),
                    (Some(delay), Some(policy)) => {
                        (delay, policy.answer(&ask, self.now_ms + delay))
                    }
                    (Some(delay), None) => (delay, AdviceAnswer::NoReply),
                };
                self.after(
                    delay,
                    Later::Event {
                        node,
                        life,
                        event: CoreEvent::Advice { ticket, answer },
                    },
                );
            }
            CoreAction::Peer { to, message } => self.send_peer(node, to, message),
            CoreAction::Answer { ticket, answer } => self.finish_call(node, ticket, answer),
            CoreAction::DecodeTable(raw) => self.decode_table(node, raw),
            CoreAction::UseTable(table) => self.note_table(node, table.version),
            CoreAction::Log(line) => {
                if let Some(lines) = &mut self.lines {
                    lines.push((self.now_ms, node, line));
                }
            }
        }
    }

    /// The policy for a step, which depends on its queue under a hard load.
    pub(super) fn policy_of(&self, step: StepKey) -> Option<SitePolicy> {
        let spec = self.specs.get(&step.job);
        let kind = spec.and_then(|spec| self.work_kind(&spec.queue));
        let mut usual = self.policy.clone()?;
        if spec.is_some_and(|spec| self.refused_queues.contains(&spec.queue)) {
            usual.good_percent = 0;
        }
        Some(kind.map_or(usual, |kind| SitePolicy {
            good_percent: kind.good_percent,
            valid_ms: kind.advice.valid_ms,
        }))
    }

    /// Milliseconds until the policy service has answered an instance's question; none if it turns it away.
    fn take_advice_turn(&mut self, node: usize, ask: &AdviceRequest) -> Option<u64> {
        let queue = self.specs.get(&ask.step.job).map(|spec| &*spec.queue);
        let Some(rule) = self.advice_of(queue.unwrap_or(QUEUE)) else {
            return Some(ADVICE_MS);
        };
        let now = self.now_ms;
        let turns = self.advice_turns.entry(node).or_default();
        turns.retain(|until| *until > now);
        if turns.len() > MAX_WAITING_ADVICE {
            self.advice_refusals += 1;
            return None;
        }
        let begins = turns.back().copied().unwrap_or(now);
        let until = begins + rule.time_for(ask.workers.len()).as_millis() as u64;
        turns.push_back(until);
        Some(until - now)
    }

    pub(super) fn send_peer(
        &mut self,
        from: usize,
        to: PeerAddress,
        message: bankvalve_queue::PeerMessage,
    ) {
        let Some(message) = self.pass_silent_lane(from, to, message) else {
            return;
        };
        *self.peer_messages.entry(from).or_default() += 1;
        let table = matches!(message, bankvalve_queue::PeerMessage::Table { .. });
        self.tables_passed += u64::from(table);
        let now = self.now_ms;
        let target = self.nodes.iter().position(|node| node.address == to);
        let cut = |node: &SiteNode| node.cut_from_peers_until > now;
        let life = self.nodes[from].life;
        let unreached = |refused| CoreEvent::PeerUnreached { peer: to, refused };
        match target {
            Some(target) if !cut(&self.nodes[from]) && !cut(&self.nodes[target]) => {
                if self.nodes[target].core.is_none() {
                    let dark = self.nodes[target].dark;
                    let event = unreached(!dark);
                    self.after(
                        if dark { call_ms() } else { REFUSAL_MS },
                        Later::Event {
                            node: from,
                            life,
                            event,
                        },
                    );
                    return;
                }
                let event = CoreEvent::Peer {
                    from: self.nodes[from].address,
                    message,
                };
                let target_life = self.nodes[target].life;
                let large = table && !self.links_carry_all;
                let longest = if large { LARGE_WAY_MS } else { WAY_MS };
                let way = self.rng.random_range(1..longest);
                let (delay, limit) = self.carry_message(from, target, &event, way);
                let patience = &mut self.nodes[from].patience;
                if delay > limit {
                    patience.note_missed(to);
                    let event = unreached(false);
                    self.after(
                        limit,
                        Later::Event {
                            node: from,
                            life,
                            event,
                        },
                    );
                    return;
                }
                patience.note_taken(Duration::from_millis(delay));
                self.after(
                    delay,
                    Later::Event {
                        node: target,
                        life: target_life,
                        event,
                    },
                );
            }
            _ => {
                let event = unreached(false);
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

    /// Milliseconds that a message takes, on the sender's link, on its way, and on the receiver's,
    /// and how many it may.
    fn carry_message(&mut self, from: usize, to: usize, event: &CoreEvent, way: u64) -> (u64, u64) {
        let CoreEvent::Peer { message, .. } = event else {
            return (way, way);
        };
        if !self.links_carry_all {
            let way = way.max(self.link_wait(to));
            return (way, way);
        }
        let bytes = message_bytes(message);
        *self.peer_bytes.entry(from).or_default() += bytes;
        let left = self.send_out(from, bytes);
        let took = self.take_in(to, bytes, left + way).last;
        let limit = self.nodes[from].patience.time(bytes as usize);
        (took, limit.as_millis() as u64)
    }

    pub(super) fn store_arrives(
        &mut self,
        node: usize,
        life: u64,
        ticket: Ticket,
        request: StoreRequest,
    ) {
        let now = self.now_ms;
        if let Some(table_use) = self.table_use.as_mut() {
            table_use.note_call(node, ticket, &request);
        }
        let cut = self.nodes[node].cut_from_store_until > now;
        let answer = |outcome| CoreEvent::Store { ticket, outcome };
        let watch = matches!(&request, StoreRequest::WatchOperator { wait_ms, .. } if *wait_ms >= LONG_WAIT_MS);
        let about_config = matches!(
            &request,
            StoreRequest::WatchOperator { .. } | StoreRequest::ReadOperator
        );
        let unanswered = (watch && self.nodes[node].watch_lost_until > now)
            || (about_config && self.nodes[node].config_lost_until > now);
        if unanswered {
            // It is told that there was no answer when its time is over.
            self.after(
                WATCH_LOST_MS,
                Later::Event {
                    node,
                    life,
                    event: answer(StoreOutcome::Lost),
                },
            );
            return;
        }
        if cut || (self.store_away_until > now && self.store_silent) {
            let write = matches!(request, StoreRequest::Transact { .. });
            if write && self.rng.random_range(0..100) < SILENT_DONE_PERCENT {
                let delay = self.rng.random_range(500..6_000);
                self.after(delay, Later::ApplyLate { request });
            }
            let event = answer(StoreOutcome::Lost);
            self.after(700, Later::Event { node, life, event });
            return;
        }
        let turned_away = self.nodes[node].turned_away_until > now;
        if turned_away || self.store_away_until > now {
            let event = answer(StoreOutcome::Busy);
            self.after(4, Later::Event { node, life, event });
            return;
        }
        if self.loses_answer() {
            self.store.handle(&request);
            self.answer_watches();
            let event = answer(StoreOutcome::Lost);
            self.after(SILENT_MS, Later::Event { node, life, event });
            return;
        }
        let write = matches!(request, StoreRequest::Transact { .. });
        if write && self.rng.random_range(0..100) < self.lost_percent {
            let event = answer(StoreOutcome::Lost);
            self.after(700, Later::Event { node, life, event });
            if self.lost_late {
                let delay = self.rng.random_range(1_000..6_000);
                self.after(delay, Later::ApplyLate { request });
            } else {
                self.store.handle(&request);
                self.answer_watches();
            }
            return;
        }
        match self.store.handle(&request) {
            Some(outcome) => {
                self.answer_request((node, life, ticket), outcome, 4);
            }
            None => {
                let wait = match &request {
                    StoreRequest::WatchOperator { wait_ms, .. } => *wait_ms,
                    StoreRequest::Watch { wait_ms, .. } if *wait_ms > LONG_WATCH_MS => *wait_ms,
                    _ => WATCH_MS,
                };
                self.watches.push((node, life, ticket, request));
                self.after(wait, Later::WatchEnds { node, life, ticket });
            }
        }
        if write {
            self.answer_watches();
        }
    }

    pub(super) fn answer_watches(&mut self) {
        for (node, life, ticket, request) in std::mem::take(&mut self.watches) {
            match self.store.handle(&request) {
                Some(outcome) => self.answer_request((node, life, ticket), outcome, 4),
                None => self.watches.push((node, life, ticket, request)),
            }
        }
    }

    pub(super) fn end_watch(&mut self, node: usize, life: u64, ticket: Ticket) {
        let Some(place) = self
            .watches
            .iter()
            .position(|watch| watch.2 == ticket && watch.0 == node)
        else {
            return;
        };
        let (_, _, _, request) = self.watches.remove(place);
        let outcome = self.store.unchanged(&request);
        self.answer_request((node, life, ticket), outcome, 1);
    }
}

/// The part that a request writes to.
fn written_part(request: &StoreRequest) -> Option<String> {
    let StoreRequest::Transact {
        writes, removals, ..
    } = request
    else {
        return None;
    };
    let written = writes.first().map(|write| &write.key);
    written.or(removals.first()).map(|key| key.part.clone())
}

fn is_about_tables(request: &StoreRequest) -> bool {
    matches!(
        request,
        StoreRequest::ReadOperator | StoreRequest::WatchOperator { .. }
    )
}
