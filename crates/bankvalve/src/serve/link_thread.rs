//! The links thread, which sends the core's requests to the platform, the workers and the peers.

use std::collections::BTreeMap;
use std::time::Duration;

use bankvalve_cell::instance::{CoreAction, CoreEvent, PeerBatch};
use bankvalve_cell::link::{
    LinkFailure, ObjectOutcome, ObjectRequest, StoreOutcome, StoreRequest, WorkerExchange,
    WorkerRefusal, WorkerReport,
};
use bankvalve_link::{
    decode_message, encode_message, ClientFailure, HttpClient, HttpReply, PeerSigner, WIRE_TYPE,
};
use hyper::Method;
use tokio::sync::mpsc;

use super::CoreHandle;

/// HTTP path to which peers post message batches.
pub(crate) const BATCH_PATH: &str = "/peer/batch";
/// Largest number of batches queued for one peer.
const PEER_QUEUE_BATCHES: usize = 64;
/// Time within which a peer must answer a batch.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of idle connections pooled for each host.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Addresses, timeouts and signing key of the links thread.
#[derive(Clone, Debug)]
pub(super) struct LinkPlan {
    pub(super) table_url: String,
    pub(super) objects_url: String,
    pub(super) store_timeout: Duration,
    pub(super) worker_timeout: Duration,
    pub(super) signer: PeerSigner,
}

/// Performs the core's actions until the channel is closed.
///
/// Each request runs as its own task; batches to one peer go through a queue so that they stay in order.
pub(super) async fn run_links(
    plan: LinkPlan,
    mut ring: mpsc::Receiver<CoreAction>,
    core: CoreHandle,
) {
    let client = HttpClient::new(MAX_IDLE_CONNECTIONS, MAX_REPLY_BYTES);
    let mut peers = BTreeMap::<String, mpsc::Sender<PeerBatch>>::new();
    while let Some(action) = ring.recv().await {
        match action {
            CoreAction::Store { ticket, request } => {
                let (client, core, plan) = (client.clone(), core.clone(), plan.clone());
                tokio::spawn(async move {
                    let outcome = send_table_request(&client, &plan, &request).await;
                    core.send_event(CoreEvent::Store { ticket, outcome });
                });
            }
            CoreAction::Object { ticket, request } => {
                let (client, core, plan) = (client.clone(), core.clone(), plan.clone());
                tokio::spawn(async move {
                    let url = &plan.objects_url;
                    let outcome =
                        send_object_request(&client, url, plan.store_timeout, &request).await;
                    core.send_event(CoreEvent::Object { ticket, outcome });
                });
            }
            CoreAction::Worker {
                partition,
                worker,
                address,
                exchange,
            } => {
                let (client, core, plan) = (client.clone(), core.clone(), plan.clone());
                tokio::spawn(async move {
                    let token = exchange.token;
                    let answer = send_worker_exchange(&client, &plan, &address, &exchange).await;
                    core.send_event(CoreEvent::Worker {
                        partition,
                        worker,
                        token,
                        answer,
                    });
                });
            }
            CoreAction::Peer { address, batch, .. } => {
                let sender = peers.entry(address.clone()).or_insert_with(|| {
                    let (sender, batches) = mpsc::channel(PEER_QUEUE_BATCHES);
                    let sending =
                        send_batches(address, batches, client.clone(), plan.signer.clone());
                    tokio::spawn(sending);
                    sender
                });
                if sender.try_send(batch).is_err() {
                    log::debug!("links: the queue for a peer is full; a batch was dropped");
                }
            }
            CoreAction::Answer { .. } | CoreAction::Stopped => {}
        }
    }
}

/// Sends batches to one peer, one after the other. A batch that fails is dropped.
async fn send_batches(
    address: String,
    mut batches: mpsc::Receiver<PeerBatch>,
    client: HttpClient,
    signer: PeerSigner,
) {
    let url = format!("http://{address}{BATCH_PATH}");
    while let Some(batch) = batches.recv().await {
        let body = encode_message(&batch);
        let headers = [signer.header(BATCH_PATH, &body)];
        let sent = client
            .send(Method::POST, &url, &headers, WIRE_TYPE, body, PEER_TIMEOUT)
            .await;
        if let Err(failure) = sent {
            log::debug!("links: a batch to peer {address} was dropped: {failure}");
        }
    }
}

async fn send_table_request(
    client: &HttpClient,
    plan: &LinkPlan,
    request: &StoreRequest,
) -> StoreOutcome {
    let body = encode_message(request);
    let sent = client
        .send(
            Method::POST,
            &plan.table_url,
            &[],
            WIRE_TYPE,
            body,
            plan.store_timeout,
        )
        .await;
    match sent {
        Ok(reply) => decode_ok(&reply).unwrap_or(StoreOutcome::Lost),
        Err(ClientFailure::Refused(text) | ClientFailure::NotSent(text)) => {
            log::debug!("links: the table service could not be reached: {text}");
            StoreOutcome::Busy
        }
        Err(ClientFailure::NoReply(_)) => StoreOutcome::Lost,
    }
}

/// Sends a request to the object store; any failure becomes `ObjectOutcome::Failed`.
pub(super) async fn send_object_request(
    client: &HttpClient,
    url: &str,
    time: Duration,
    request: &ObjectRequest,
) -> ObjectOutcome {
    let body = encode_message(request);
    let sent = client
        .send(Method::POST, url, &[], WIRE_TYPE, body, time)
        .await;
    let reply = sent.ok();
    reply
        .and_then(|reply| decode_ok(&reply))
        .unwrap_or(ObjectOutcome::Failed)
}

async fn send_worker_exchange(
    client: &HttpClient,
    plan: &LinkPlan,
    address: &str,
    exchange: &WorkerExchange,
) -> Result<Result<WorkerReport, WorkerRefusal>, LinkFailure> {
    let url = format!("{address}/exchange");
    let body = encode_message(exchange);
    let sent = client
        .send(
            Method::POST,
            &url,
            &[],
            WIRE_TYPE,
            body,
            plan.worker_timeout,
        )
        .await;
    match sent {
        Ok(reply) => decode_ok(&reply).ok_or(LinkFailure::NoAnswer),
        Err(ClientFailure::Refused(_) | ClientFailure::NotSent(_)) => Err(LinkFailure::NotSent),
        Err(ClientFailure::NoReply(_)) => Err(LinkFailure::NoAnswer),
    }
}

fn decode_ok<T: serde::de::DeserializeOwned>(reply: &HttpReply) -> Option<T> {
    if reply.status != 200 {
        return None;
    }
    decode_message(&reply.body)
}
