//! The thread that carries what the core asks for.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bankvalve_link::{
    encode_message, ClientFailure, ClientLimits, HttpClient, HttpReply, WIRE_TYPE,
};
use bankvalve_queue::{
    AdviceAnswer, BatchTimeout, ConnectionId, CoreAction, CoreEvent, PeerAddress, PeerBatch,
    PeerMessage, PlatformPort, ProxiedOrder, StoreRequest, Ticket, WireCall, WireReply,
    WorkerAnswer, WorkerCall, PEER_BATCHES_IN_FLIGHT, POOLED_CONNECTIONS,
};
use hyper::Method;
use tokio::sync::mpsc;

use super::core_loop::EntryHandle;

/// Path of peers' messages.
pub(super) const PEER_PATH: &str = "/messages";
/// Messages that wait for one peer at most; more are dropped, and whoever needs an answer asks again.
const PEER_QUEUE: usize = 2_000;
/// Longest pause in an answer about the configuration, which may be large, until it is given up.
const ANSWER_PAUSE: Duration = Duration::from_millis(1_000);
/// Size of an answer from which on the core is told that it has begun, in bytes: it takes a thin
/// link some 30 ms.
const LONG_ANSWER: u64 = 32 * 1024;
/// Time between two batches to one peer of calls to workers and of what hubs pass on. An exchange
/// with a peer costs a leader some 0.1 ms with its wake-ups, however much it carries; at 700 calls a
/// second a batch takes 15 of them along, and each waits some 12 ms.
const CARRY_PACE: Duration = Duration::from_millis(25);
/// The same where nothing but looks waits, or answers that tell of no end.
const LAZY_PACE: Duration = Duration::from_millis(80);
/// Time in which a connection must be made: some ten ways across the site.
const CONNECT_TIME: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before a connection is given up.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed; new ones to workers are dear.
const IDLE_TIME: Duration = Duration::from_secs(90);
/// Largest reply: a page of rows.
const REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Where the platform's services are.
#[derive(Clone, Debug)]
pub(super) struct LinkPlan {
    pub(super) own: PeerAddress,
    pub(super) table: SocketAddr,
    pub(super) policy: Option<SocketAddr>,
}

/// Messages that wait for a peer.
#[derive(Default)]
struct PeerLane {
    queue: Vec<PeerMessage>,
    flights: usize,
    /// When the last batch left.
    sent_at: Option<Instant>,
    /// When the next one leaves, if a timer is set for it.
    timer: Option<Instant>,
}

/// How long a message may wait for others to travel with.
fn wait_of(message: &PeerMessage) -> Duration {
    match message {
        PeerMessage::Carry { call, .. } if matches!(call.order, ProxiedOrder::Hold { .. }) => {
            LAZY_PACE
        }
        PeerMessage::Carried { answer, .. } if tells_of_no_end(answer) => LAZY_PACE,
        PeerMessage::Carry { .. } | PeerMessage::Carried { .. } | PeerMessage::Relay { .. } => {
            CARRY_PACE
        }
        _ => Duration::ZERO,
    }
}

/// Tells whether an answer is a worker's lists without an end.
fn tells_of_no_end(answer: &WorkerAnswer) -> bool {
    matches!(answer, WorkerAnswer::Done { report: Some(report), .. } if report.ended.is_empty())
}

impl PeerLane {
    /// Time until the next batch may leave: calls to workers are many, and travel together.
    fn pause(&self) -> Option<Duration> {
        let sent_at = self.sent_at?;
        let wait = self.queue.iter().map(wait_of).min()?;
        let pause = wait.saturating_sub(sent_at.elapsed());
        (!pause.is_zero()).then_some(pause)
    }

    /// Takes what travels together: all that waits, but a configuration by itself, since it takes a
    /// thin link a second and the others should not wait for it.
    fn take_batch(&mut self) -> Vec<PeerMessage> {
        let large = |message: &PeerMessage| matches!(message, PeerMessage::Table { .. });
        match self.queue.iter().position(large) {
            None => std::mem::take(&mut self.queue),
            Some(0) => vec![self.queue.remove(0)],
            Some(place) => self.queue.drain(..place).collect(),
        }
    }
}

fn is_about_tables(request: &StoreRequest) -> bool {
    matches!(
        request,
        StoreRequest::ReadOperator | StoreRequest::WatchOperator { .. }
    )
}

struct LinkLoop {
    plan: LinkPlan,
    port: PlatformPort,
    core: EntryHandle,
    client: HttpClient,
    lanes: RefCell<BTreeMap<PeerAddress, PeerLane>>,
    patience: Cell<BatchTimeout>,
}

/// Carries actions until the core's end of the ring is closed.
pub(super) async fn carry_all(
    plan: LinkPlan,
    port: PlatformPort,
    core: EntryHandle,
    mut actions: mpsc::Receiver<Vec<CoreAction>>,
) {
    let client = HttpClient::with_limits(ClientLimits {
        idle: POOLED_CONNECTIONS,
        idle_time: IDLE_TIME,
        connect_time: CONNECT_TIME,
        ack_timeout: Some(SILENCE),
        reply_bytes: REPLY_BYTES,
    });
    let links = Rc::new(LinkLoop {
        plan,
        port,
        core,
        client,
        lanes: RefCell::new(BTreeMap::new()),
        patience: Cell::new(BatchTimeout::default()),
    });
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async move {
            while let Some(batch) = actions.recv().await {
                for action in batch {
                    links.clone().carry(action);
                }
                links.clone().send_lanes();
            }
        })
        .await;
}

impl LinkLoop {
    fn carry(self: Rc<Self>, action: CoreAction) {
        match action {
            CoreAction::Store {
                ticket,
                request,
                time,
            } => {
                tokio::task::spawn_local(async move {
                    let call = (self.port.store_call)(&request);
                    let reply = if is_about_tables(&request) {
                        self.call_long(ticket, call, time).await
                    } else {
                        self.call(self.plan.table, call, time).await
                    };
                    let outcome = (self.port.store_outcome)(&request, &reply);
                    self.core.give(CoreEvent::Store { ticket, outcome });
                });
            }
            CoreAction::Worker {
                ticket,
                worker,
                address,
                token,
                call,
                time,
            } => {
                tokio::task::spawn_local(async move {
                    let wire = (self.port.worker_call)(&worker, token, &call);
                    let answer = match &call {
                        WorkerCall::Hold { connection, .. } => {
                            let (reply, on) = self.look(address, wire, (*connection, time)).await;
                            answer_on((self.port.worker_answer)(&call, &reply), on)
                        }
                        _ => {
                            let reply = self.call(address, wire, time).await;
                            (self.port.worker_answer)(&call, &reply)
                        }
                    };
                    self.core.give(CoreEvent::Worker { ticket, answer });
                });
            }
            CoreAction::Advice { ticket, ask } => {
                tokio::task::spawn_local(async move {
                    let answer = match self.plan.policy {
                        None => AdviceAnswer::NoReply,
                        Some(policy) => {
                            let call = (self.port.advice_call)(&ask);
                            let reply = self.call(policy, call, ask.time).await;
                            (self.port.advice_answer)(&reply)
                        }
                    };
                    self.core.give(CoreEvent::Advice { ticket, answer });
                });
            }
            CoreAction::Peer { to, message } => {
                let mut lanes = self.lanes.borrow_mut();
                let lane = lanes.entry(to).or_default();
                if lane.queue.len() < PEER_QUEUE {
                    lane.queue.push(message);
                }
            }
            CoreAction::Answer { .. }
            | CoreAction::UseTable(_)
            | CoreAction::DecodeTable(_)
            | CoreAction::Log(_) => {}
        }
    }

    /// Sends what waits for peers that have room for one more request.
    fn send_lanes(self: Rc<Self>) {
        let mut lanes = self.lanes.borrow_mut();
        for (peer, lane) in lanes.iter_mut() {
            while !lane.queue.is_empty() && lane.flights < PEER_BATCHES_IN_FLIGHT {
                if let Some(pause) = lane.pause() {
                    let due = Instant::now() + pause;
                    if lane.timer.is_none_or(|timer| due < timer) {
                        lane.timer = Some(due);
                        tokio::task::spawn_local(self.clone().send_after(*peer, pause));
                    }
                    break;
                }
                lane.sent_at = Some(Instant::now());
                lane.flights += 1;
                let messages = lane.take_batch();
                let links = self.clone();
                let peer = *peer;
                tokio::task::spawn_local(async move { links.send_batch(peer, messages).await });
            }
        }
    }

    /// Sends what waits for a peer after a pause.
    async fn send_after(self: Rc<Self>, peer: PeerAddress, pause: Duration) {
        tokio::time::sleep(pause).await;
        if let Some(lane) = self.lanes.borrow_mut().get_mut(&peer) {
            lane.timer = None;
        }
        self.send_lanes();
    }

    async fn send_batch(self: Rc<Self>, peer: PeerAddress, messages: Vec<PeerMessage>) {
        let batch = PeerBatch {
            from: self.plan.own,
            messages,
        };
        let call = WireCall {
            method: "POST",
            path: PEER_PATH.to_owned(),
            headers: Vec::new(),
            content_type: WIRE_TYPE,
            body: encode_message(&batch),
        };
        let time = self.patience.get().time(call.body.len());
        let sent_at = Instant::now();
        let sent = self.exchange(peer, call, time).await;
        // One that no connection was made to in time may be cut off, and live.
        let refused = matches!(sent, Err(ClientFailure::Refused(_)));
        let reached = sent.is_ok_and(|reply| reply.status == 200);
        let mut patience = self.patience.get();
        if reached {
            patience.note_taken(sent_at.elapsed());
        } else if !refused {
            patience.note_missed(peer);
        }
        self.patience.set(patience);
        if !reached {
            self.core.give(CoreEvent::PeerUnreached { peer, refused });
        }
        if let Some(lane) = self.lanes.borrow_mut().get_mut(&peer) {
            lane.flights -= 1;
        }
        self.send_lanes();
    }

    /// Asks the table about the configuration, and tells the core when a long answer begins.
    async fn call_long(&self, ticket: Ticket, call: WireCall, time: Duration) -> WireReply {
        let url = format!("http://{}{}", self.plan.table, call.path);
        let begins = |bytes: Option<u64>| {
            if bytes.is_none_or(|bytes| bytes >= LONG_ANSWER) {
                self.core.give(CoreEvent::StoreBegins { ticket });
            }
        };
        let times = (time, ANSWER_PAUSE);
        let sent = self
            .client
            .send_long(&url, call.content_type, times, begins)
            .await;
        reply_of(sent)
    }

    /// Looks at a worker on the connection that is held to it; returns the reply and its connection.
    async fn look(
        &self,
        address: impl std::fmt::Display,
        call: WireCall,
        times: (Option<ConnectionId>, Duration),
    ) -> (WireReply, Option<ConnectionId>) {
        let url = format!("http://{address}{}", call.path);
        let headers = &call.headers;
        let sent = self.client.send_held(
            Method::POST,
            &url,
            headers,
            call.content_type,
            call.body,
            times,
        );
        match sent.await {
            Ok((reply, connection)) => (reply_of(Ok(reply)), Some(connection)),
            Err(failure) => (reply_of(Err(failure)), None),
        }
    }

    async fn call(
        &self,
        address: impl std::fmt::Display,
        call: WireCall,
        time: Duration,
    ) -> WireReply {
        reply_of(self.exchange(address, call, time).await)
    }

    async fn exchange(
        &self,
        address: impl std::fmt::Display,
        call: WireCall,
        time: Duration,
    ) -> Result<HttpReply, ClientFailure> {
        let url = format!("http://{address}{}", call.path);
        let method = match call.method {
            "GET" => Method::GET,
            _ => Method::POST,
        };
        self.client
            .send(
                method,
                &url,
                &call.headers,
                call.content_type,
                call.body,
                time,
            )
            .await
    }
}

/// The answer to a look with the connection on which it came.
fn answer_on(mut answer: WorkerAnswer, connection: Option<ConnectionId>) -> WorkerAnswer {
    if let WorkerAnswer::Done {
        report: Some(report),
        ..
    } = &mut answer
    {
        report.connection = connection;
    }
    answer
}

fn reply_of(sent: Result<HttpReply, ClientFailure>) -> WireReply {
    match sent {
        Ok(reply) => WireReply::Answer {
            status: reply.status,
            body: reply.body.to_vec(),
        },
        Err(ClientFailure::Refused(_)) => WireReply::PortRefused,
        Err(ClientFailure::NotSent(_)) => WireReply::NotSent,
        Err(ClientFailure::NoReply(_)) => WireReply::NoReply,
    }
}
