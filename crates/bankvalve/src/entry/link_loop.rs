//! The `links` thread, which performs the core's requests to other processes.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bankvalve_link::{
    encode_message, ClientFailure, ClientLimits, HttpClient, HttpReply, PostCall, ProcessCheck,
    WIRE_TYPE,
};
use bankvalve_queue::{
    AdviceAnswer, BatchTimeout, ConnectionId, CoreAction, CoreEvent, FenceToken, PeerAddress,
    PeerBatch, PeerMessage, PlatformPort, ProcessStart, ProxiedOrder, StoreRequest, Ticket,
    WireCall, WireReply, WorkerAnswer, WorkerCall, WorkerId, IDENTIFICATION_TIMEOUT,
    PEER_BATCHES_IN_FLIGHT, POOLED_CONNECTIONS,
};
use hyper::Method;
use tokio::sync::mpsc;

use super::core_loop::EntryHandle;

/// Path to which peers send message batches.
pub(super) const PEER_PATH: &str = "/messages";
/// Maximum number of messages that wait for one peer. Further ones are dropped; a sender that needs an answer
/// sends its request again.
const MAX_QUEUED_MESSAGES: usize = 2_000;
/// Longest pause within an answer to a configuration query, which may be large, before it counts as lost.
const ANSWER_PAUSE: Duration = Duration::from_millis(1_000);
/// Size of an answer, in bytes, from which the core is notified when the answer begins. A slow link takes
/// about 30 ms for it.
const LONG_ANSWER_BYTES: u64 = 32 * 1024;
/// Interval between two batches to one peer of proxied worker calls and of messages relayed by hubs. An
/// exchange with a peer costs a leader about 0.1 ms with its wake-ups, regardless of its size. At 700 calls
/// a second, a batch holds 15 of them, and each waits about 12 ms.
const CALL_BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Interval between two batches to one peer if only polls wait, or answers that report no ended run.
const POLL_BATCH_INTERVAL: Duration = Duration::from_millis(80);
/// Timeout for establishing a connection: about ten one-way trips across the site.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which sent bytes may stay unacknowledged before the connection is closed.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which an idle connection is closed. It is long because new connections to workers are
/// expensive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time after which a connection for polls is closed that no poll uses: workers are polled each few seconds,
/// so another instance polls this one.
const HELD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a reply, in bytes. The largest replies are pages of rows.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// This instance's address for peers, and the addresses of the platform's services.
#[derive(Clone, Debug)]
pub(super) struct LinkAddresses {
    pub(super) own: PeerAddress,
    pub(super) table: SocketAddr,
    pub(super) policy: Option<SocketAddr>,
}

/// Messages that wait for one peer, and its batches in flight.
#[derive(Default)]
struct PeerOutbox {
    queue: Vec<PeerMessage>,
    in_flight: usize,
    /// When the last batch was sent.
    sent_at: Option<Instant>,
    /// When the next batch is due, if a timer is set for it.
    timer: Option<Instant>,
}

/// Returns how long after the previous batch a message may wait, so that more messages share its batch.
fn batching_delay(message: &PeerMessage) -> Duration {
    match message {
        PeerMessage::Carry { call, .. } if matches!(call.order, ProxiedOrder::Hold { .. }) => {
            POLL_BATCH_INTERVAL
        }
        PeerMessage::Carried { answer, .. } if reports_no_end(answer) => POLL_BATCH_INTERVAL,
        PeerMessage::Carry { .. } | PeerMessage::Carried { .. } | PeerMessage::Relay { .. } => {
            CALL_BATCH_INTERVAL
        }
        _ => Duration::ZERO,
    }
}

/// Returns whether an answer is a worker's run lists without any ended run.
fn reports_no_end(answer: &WorkerAnswer) -> bool {
    matches!(answer, WorkerAnswer::Done { report: Some(report), .. } if report.ended.is_empty())
}

impl PeerOutbox {
    /// Returns the time until the next batch may be sent, or `None` if it may be sent now. Worker calls are
    /// frequent, so they are sent in batches.
    fn pause(&self) -> Option<Duration> {
        let sent_at = self.sent_at?;
        let wait = self.queue.iter().map(batching_delay).min()?;
        let pause = wait.saturating_sub(sent_at.elapsed());
        (!pause.is_zero()).then_some(pause)
    }

    /// Removes and returns the messages of the next batch: all waiting ones up to a configuration. A
    /// configuration forms a batch of its own, since a slow link takes a second for it, which would delay the
    /// other messages.
    fn take_batch(&mut self) -> Vec<PeerMessage> {
        let large = |message: &PeerMessage| matches!(message, PeerMessage::Table { .. });
        match self.queue.iter().position(large) {
            None => std::mem::take(&mut self.queue),
            Some(0) => vec![self.queue.remove(0)],
            Some(place) => self.queue.drain(..place).collect(),
        }
    }
}

fn is_config_request(request: &StoreRequest) -> bool {
    matches!(
        request,
        StoreRequest::ReadOperator | StoreRequest::WatchOperator { .. }
    )
}

struct LinkLoop {
    addresses: LinkAddresses,
    port: PlatformPort,
    core: EntryHandle,
    client: HttpClient,
    outboxes: RefCell<BTreeMap<PeerAddress, PeerOutbox>>,
    batch_timeout: Cell<BatchTimeout>,
}

/// Creates the client for all calls of an instance, which opens no more than `connections` connections.
pub(super) fn new_client(connections: usize) -> HttpClient {
    HttpClient::with_limits(ClientLimits {
        idle: POOLED_CONNECTIONS,
        idle_time: IDLE_TIMEOUT,
        held_time: HELD_TIMEOUT,
        open: connections,
        connect_time: CONNECT_TIMEOUT,
        ack_timeout: Some(ACK_TIMEOUT),
        reply_bytes: MAX_REPLY_BYTES,
    })
}

/// Performs the core's actions until the core drops its end of the channel.
pub(super) async fn run_links(
    client: HttpClient,
    addresses: LinkAddresses,
    port: PlatformPort,
    core: EntryHandle,
    mut actions: mpsc::Receiver<Vec<CoreAction>>,
) {
    let links = Rc::new(LinkLoop {
        addresses,
        port,
        core,
        client,
        outboxes: RefCell::new(BTreeMap::new()),
        batch_timeout: Cell::new(BatchTimeout::default()),
    });
    let local = tokio::task::LocalSet::new();
    local
        .run_until(async move {
            while let Some(batch) = actions.recv().await {
                for action in batch {
                    links.clone().perform(action);
                }
                links.clone().send_outboxes();
            }
        })
        .await;
}

impl LinkLoop {
    fn perform(self: Rc<Self>, action: CoreAction) {
        match action {
            CoreAction::Store {
                ticket,
                request,
                time,
            } => {
                tokio::task::spawn_local(async move {
                    let call = (self.port.store_call)(&request);
                    let reply = if is_config_request(&request) {
                        self.query_configuration(ticket, call, time).await
                    } else {
                        self.call(self.addresses.table, call, time).await
                    };
                    let outcome = (self.port.store_outcome)(&request, &reply);
                    self.core.enqueue(CoreEvent::Store { ticket, outcome });
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
                            let (reply, on) =
                                self.poll_worker(address, wire, (*connection, time)).await;
                            with_connection((self.port.worker_answer)(&call, &reply), on)
                        }
                        WorkerCall::Start(start) => {
                            let order = WorkerOrder {
                                worker: &worker,
                                token,
                                process: start.process,
                                wire: &wire,
                                time,
                            };
                            let reply = self.send_order(address, order).await;
                            (self.port.worker_answer)(&call, &reply)
                        }
                        WorkerCall::Stop { .. } | WorkerCall::Pace { .. } => {
                            let reply = self.call(address, wire, time).await;
                            (self.port.worker_answer)(&call, &reply)
                        }
                    };
                    self.core.enqueue(CoreEvent::Worker { ticket, answer });
                });
            }
            CoreAction::Advice { ticket, ask } => {
                tokio::task::spawn_local(async move {
                    let answer = match self.addresses.policy {
                        None => AdviceAnswer::NoReply,
                        Some(policy) => {
                            let call = (self.port.advice_call)(&ask);
                            let reply = self.call(policy, call, ask.time).await;
                            (self.port.advice_answer)(&reply)
                        }
                    };
                    self.core.enqueue(CoreEvent::Advice { ticket, answer });
                });
            }
            CoreAction::Peer { to, message } => {
                let mut outboxes = self.outboxes.borrow_mut();
                let outbox = outboxes.entry(to).or_default();
                if outbox.queue.len() < MAX_QUEUED_MESSAGES {
                    outbox.queue.push(message);
                }
            }
            CoreAction::Answer { .. }
            | CoreAction::UseTable(_)
            | CoreAction::DecodeTable(_)
            | CoreAction::Log(_) => {}
        }
    }

    /// Sends the waiting messages to all peers that are due and have fewer batches in flight than the
    /// maximum.
    fn send_outboxes(self: Rc<Self>) {
        let mut outboxes = self.outboxes.borrow_mut();
        for (peer, outbox) in outboxes.iter_mut() {
            while !outbox.queue.is_empty() && outbox.in_flight < PEER_BATCHES_IN_FLIGHT {
                if let Some(pause) = outbox.pause() {
                    let due = Instant::now() + pause;
                    if outbox.timer.is_none_or(|timer| due < timer) {
                        outbox.timer = Some(due);
                        tokio::task::spawn_local(self.clone().send_after(*peer, pause));
                    }
                    break;
                }
                outbox.sent_at = Some(Instant::now());
                outbox.in_flight += 1;
                let messages = outbox.take_batch();
                let links = self.clone();
                let peer = *peer;
                tokio::task::spawn_local(async move { links.send_batch(peer, messages).await });
            }
        }
    }

    /// Clears a peer's timer after a pause and sends the messages that are due.
    async fn send_after(self: Rc<Self>, peer: PeerAddress, pause: Duration) {
        tokio::time::sleep(pause).await;
        if let Some(outbox) = self.outboxes.borrow_mut().get_mut(&peer) {
            outbox.timer = None;
        }
        self.send_outboxes();
    }

    async fn send_batch(self: Rc<Self>, peer: PeerAddress, messages: Vec<PeerMessage>) {
        let batch = PeerBatch {
            from: self.addresses.own,
            messages,
        };
        let call = WireCall {
            method: "POST",
            path: PEER_PATH.to_owned(),
            headers: Vec::new(),
            content_type: WIRE_TYPE,
            body: encode_message(&batch),
        };
        let time = self.batch_timeout.get().time(call.body.len());
        let sent_at = Instant::now();
        let sent = self.exchange(peer, call, time).await;
        // Only a refused connection shows that the process has ended. After a timeout the peer may be alive
        // but cut off.
        let refused = matches!(sent, Err(ClientFailure::Refused(_)));
        let reached = sent.is_ok_and(|reply| reply.status == 200);
        let mut batch_timeout = self.batch_timeout.get();
        if reached {
            batch_timeout.note_taken(sent_at.elapsed());
        } else if !refused {
            batch_timeout.note_missed(peer);
        }
        self.batch_timeout.set(batch_timeout);
        if !reached {
            self.core
                .enqueue(CoreEvent::PeerUnreached { peer, refused });
        }
        if let Some(outbox) = self.outboxes.borrow_mut().get_mut(&peer) {
            outbox.in_flight -= 1;
        }
        self.send_outboxes();
    }

    /// Sends a configuration query to the table, and notifies the core when a long answer begins.
    async fn query_configuration(
        &self,
        ticket: Ticket,
        call: WireCall,
        time: Duration,
    ) -> WireReply {
        let url = format!("http://{}{}", self.addresses.table, call.path);
        let begins = |bytes: Option<u64>| {
            if bytes.is_none_or(|bytes| bytes >= LONG_ANSWER_BYTES) {
                self.core.enqueue(CoreEvent::StoreBegins { ticket });
            }
        };
        let times = (time, ANSWER_PAUSE);
        let sent = self
            .client
            .send_long(&url, call.content_type, times, begins)
            .await;
        reply_of(sent)
    }

    /// Polls a worker on the connection kept open for its polls. Returns the reply and the connection used.
    async fn poll_worker(
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

    /// Sends a start order to one process of a worker. It is not sent if another one answers.
    async fn send_order(
        &self,
        address: impl std::fmt::Display,
        order: WorkerOrder<'_>,
    ) -> WireReply {
        let identification = WorkerCall::identification();
        let check_call = (self.port.worker_call)(order.worker, order.token, &identification);
        let url = format!("http://{address}{}", order.wire.path);
        let check_url = format!("http://{address}{}", check_call.path);
        let read = |reply: &HttpReply| {
            let reply = reply_of(Ok(reply.clone()));
            let answer = (self.port.worker_answer)(&identification, &reply);
            let WorkerAnswer::Done { report, .. } = answer else {
                return None;
            };
            Some(report?.started.map(|started| started.0))
        };
        let check = ProcessCheck {
            expected: order.process.map(|process| process.0),
            call: post_call(&check_url, &check_call),
            read: &read,
            time: IDENTIFICATION_TIMEOUT,
        };
        let call = post_call(&url, order.wire);
        reply_of(self.client.send_to_process(call, check, order.time).await)
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

/// A start order to one process of a worker.
struct WorkerOrder<'a> {
    worker: &'a WorkerId,
    token: FenceToken,
    /// Start of the process, if the worker reports it.
    process: Option<ProcessStart>,
    wire: &'a WireCall,
    time: Duration,
}

fn post_call<'a>(url: &'a str, call: &'a WireCall) -> PostCall<'a> {
    PostCall {
        url,
        headers: &call.headers,
        content_type: call.content_type,
        body: &call.body,
    }
}

/// Returns the answer to a poll with the connection on which it arrived.
fn with_connection(mut answer: WorkerAnswer, connection: Option<ConnectionId>) -> WorkerAnswer {
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
