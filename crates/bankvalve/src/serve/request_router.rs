//! Forwards callers' requests to running tasks of a service, through at most one peer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankvalve_cell::instance::ServiceRoute;
use bankvalve_cell::refusal::{RefusalReason, RetryReason};
use bankvalve_link::{ClientFailure, HttpClient, PeerSigner};
use bytes::Bytes;
use hyper::Method;
use rand::seq::SliceRandom;

use super::route_table::{RouteTable, SlotGate};
use super::CoreHandle;

/// Largest number of endpoints that one request is sent to.
const MAX_TRIES: usize = 4;
/// Amount that each request adds to the retry budget, in thousandths of a retry.
const RETRY_BUDGET_EARNED: u64 = 100;
/// Amount that a retry takes from the retry budget, in thousandths of a retry.
const RETRY_BUDGET_COST: u64 = 1_000;
/// Upper limit of the retry budget, in thousandths of a retry.
const RETRY_BUDGET_LIMIT: u64 = 50_000;
/// Time subtracted from the deadline sent to a peer, so that the peer's answer arrives before the caller's
/// deadline.
const HOP_MARGIN: Duration = Duration::from_millis(5);
/// Largest number of idle connections pooled for each host.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// Largest answer of a service that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Content type of requests to services.
const CONTENT_TYPE: &str = "application/octet-stream";

/// A request to a service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Team that owns the service.
    pub team: String,
    /// Name of the service.
    pub service: String,
    /// Request id that the caller chose.
    pub id: String,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
    /// Whether the request may be sent again when it is unknown whether it ran.
    pub repeatable: bool,
    /// Body of the request.
    pub body: Bytes,
}

/// Outcome of a request.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// The service answered, with this status and body.
    Answered(u16, Bytes),
    /// The request is known not to have run.
    NotRun(RefusalReason),
    /// The request may have run; its answer was lost.
    Unknown,
}

/// Budget that limits retries to a share of the requests.
///
/// Each request earns a tenth of a retry, and up to 50 retries can be saved.
#[derive(Debug)]
struct RetryBudget {
    saved: AtomicU64,
}

impl RetryBudget {
    fn earn(&self) {
        let more = |saved: u64| Some((saved + RETRY_BUDGET_EARNED).min(RETRY_BUDGET_LIMIT));
        let _ = self
            .saved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, more);
    }

    fn spend(&self) -> bool {
        let less = |saved: u64| saved.checked_sub(RETRY_BUDGET_COST);
        self.saved
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, less)
            .is_ok()
    }
}

/// Counters of the request path.
#[derive(Debug, Default)]
struct RouterCounters {
    answered: AtomicU64,
    unknown: AtomicU64,
    hops: AtomicU64,
    refused: [AtomicU64; RefusalReason::ALL.len()],
    retried: [AtomicU64; RetryReason::ALL.len()],
}

/// Snapshot of the router's counters.
#[derive(Clone, Debug, Default)]
pub struct RequestCounts {
    /// Requests refused, by reason.
    pub refused: Vec<(RefusalReason, u64)>,
    /// Failed tries that allow a retry, by reason.
    pub retried: Vec<(RetryReason, u64)>,
    /// Requests answered by their service.
    pub answered: u64,
    /// Requests that may have run and whose answer was lost.
    pub unknown: u64,
    /// Tries that were sent through a peer.
    pub hops: u64,
}

/// Forwards requests to services and counts the outcomes.
#[derive(Clone, Debug)]
pub struct RequestRouter {
    core: CoreHandle,
    client: HttpClient,
    signer: PeerSigner,
    name: String,
    domain: String,
    budget: Arc<RetryBudget>,
    counters: Arc<RouterCounters>,
}

impl RequestRouter {
    pub(super) fn new(core: CoreHandle, signer: PeerSigner, name: &str, domain: &str) -> Self {
        Self {
            core,
            client: HttpClient::new(MAX_IDLE_CONNECTIONS, MAX_ANSWER_BYTES),
            signer,
            name: name.to_owned(),
            domain: domain.to_owned(),
            budget: Arc::new(RetryBudget {
                saved: AtomicU64::new(RETRY_BUDGET_LIMIT),
            }),
            counters: Arc::new(RouterCounters::default()),
        }
    }

    /// Returns a router with its own HTTP client, for use in another runtime. Counters and retry budget are
    /// shared.
    pub(super) fn for_other_runtime(&self) -> Self {
        Self {
            client: HttpClient::new(MAX_IDLE_CONNECTIONS, MAX_ANSWER_BYTES),
            ..self.clone()
        }
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> RequestCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let refused = RefusalReason::ALL.iter().zip(&self.counters.refused);
        let retried = RetryReason::ALL.iter().zip(&self.counters.retried);
        RequestCounts {
            refused: refused
                .map(|(reason, count)| (*reason, read(count)))
                .collect(),
            retried: retried
                .map(|(reason, count)| (*reason, read(count)))
                .collect(),
            answered: read(&self.counters.answered),
            unknown: read(&self.counters.unknown),
            hops: read(&self.counters.hops),
        }
    }

    /// Forwards a caller's request to the service's endpoints in turn, within the retry budget and the
    /// deadline.
    ///
    /// Retries only a request that is known not to have run, or that is repeatable.
    pub async fn forward(&self, request: &ServiceRequest) -> RequestOutcome {
        self.budget.earn();
        let routes = self.core.routes();
        let mut candidates = self.order_routes(routes.routes_of(&request.team, &request.service));
        candidates.truncate(MAX_TRIES);
        let mut last = RefusalReason::UnknownService;
        let mut may_have_run = false;
        for (index, candidate) in candidates.iter().enumerate() {
            if index > 0 && !self.budget.spend() {
                break;
            }
            if Instant::now() >= request.deadline {
                last = RefusalReason::DeadlinePassed;
                break;
            }
            match self.try_route(&routes, candidate, request).await {
                RequestOutcome::NotRun(reason) => {
                    last = reason;
                    self.count_retry(RetryReason::RequestNotRun);
                }
                RequestOutcome::Unknown if request.repeatable => {
                    may_have_run = true;
                    self.count_retry(RetryReason::WorkerAnswerLost);
                }
                outcome => return self.counted(outcome),
            }
        }
        self.counted(if may_have_run {
            RequestOutcome::Unknown
        } else {
            RequestOutcome::NotRun(last)
        })
    }

    /// Forwards a request from a peer to a worker that this instance owns.
    pub async fn forward_to_owned_worker(
        &self,
        worker: &str,
        request: &ServiceRequest,
    ) -> RequestOutcome {
        let routes = self.core.routes();
        self.send_to_worker(&routes, worker, request).await
    }

    /// Orders routes: workers owned by this instance first, then workers of its failure domain, otherwise at
    /// random.
    fn order_routes<'a>(&self, candidates: &'a [ServiceRoute]) -> Vec<&'a ServiceRoute> {
        let mut ordered: Vec<&ServiceRoute> = candidates.iter().collect();
        ordered.shuffle(&mut rand::rng());
        ordered.sort_by_key(|candidate| {
            let own = candidate.owner == self.name;
            let same_domain = candidate.endpoint.domain == self.domain;
            (!own, !same_domain)
        });
        ordered
    }

    async fn try_route(
        &self,
        routes: &RouteTable,
        candidate: &ServiceRoute,
        request: &ServiceRequest,
    ) -> RequestOutcome {
        if candidate.owner == self.name {
            return self
                .send_to_worker(routes, &candidate.endpoint.worker, request)
                .await;
        }
        self.counters.hops.fetch_add(1, Ordering::Relaxed);
        self.send_to_peer(candidate, request).await
    }

    async fn send_to_worker(
        &self,
        routes: &RouteTable,
        worker: &str,
        request: &ServiceRequest,
    ) -> RequestOutcome {
        let Some(gated) = routes.owned_worker(worker) else {
            return RequestOutcome::NotRun(RefusalReason::StaleEpoch);
        };
        let Some(_permit) = SlotGate::acquire(&gated.gate) else {
            return RequestOutcome::NotRun(RefusalReason::NoFreeSlot);
        };
        let url = format!("{}/requests/{}", gated.worker.address, request.service);
        let headers = [
            ("bankvalve-epoch", gated.worker.epoch.to_string()),
            ("bankvalve-request", request.id.clone()),
        ];
        let sent = self.send(&url, &headers, request).await;
        match sent {
            Ok((200, body)) => RequestOutcome::Answered(200, body),
            Ok((409, _)) => RequestOutcome::NotRun(RefusalReason::StaleEpoch),
            Ok((404, _)) => RequestOutcome::NotRun(RefusalReason::UnknownService),
            Ok((429, _)) => RequestOutcome::NotRun(RefusalReason::NoFreeSlot),
            Ok((status, body)) => RequestOutcome::Answered(status, body),
            Err(ClientFailure::Refused(_) | ClientFailure::NotSent(_)) => {
                RequestOutcome::NotRun(RefusalReason::WorkerUnreachable)
            }
            Err(ClientFailure::NoReply(_)) => RequestOutcome::Unknown,
        }
    }

    async fn send_to_peer(
        &self,
        candidate: &ServiceRoute,
        request: &ServiceRequest,
    ) -> RequestOutcome {
        let path = format!(
            "/peer/requests/{}/{}/{}",
            request.team, request.service, candidate.endpoint.worker
        );
        let url = format!("http://{}{path}", candidate.owner_address);
        let left = request.deadline.saturating_duration_since(Instant::now());
        let left = left.saturating_sub(HOP_MARGIN);
        let headers = [
            self.signer.header(&path, &request.body),
            ("bankvalve-request", request.id.clone()),
            ("bankvalve-deadline-ms", left.as_millis().to_string()),
        ];
        match self.send(&url, &headers, request).await {
            Ok((status, body)) => outcome_from_peer(status, body),
            Err(ClientFailure::Refused(_) | ClientFailure::NotSent(_)) => {
                RequestOutcome::NotRun(RefusalReason::PeerUnreachable)
            }
            Err(ClientFailure::NoReply(_)) => RequestOutcome::Unknown,
        }
    }

    async fn send(
        &self,
        url: &str,
        headers: &[(&'static str, String)],
        request: &ServiceRequest,
    ) -> Result<(u16, Bytes), ClientFailure> {
        let time = request.deadline.saturating_duration_since(Instant::now());
        let body = request.body.clone();
        let reply = self
            .client
            .send(Method::POST, url, headers, CONTENT_TYPE, body, time)
            .await?;
        Ok((reply.status, reply.body))
    }

    fn counted(&self, outcome: RequestOutcome) -> RequestOutcome {
        let counter = match &outcome {
            RequestOutcome::Answered(..) => &self.counters.answered,
            RequestOutcome::Unknown => &self.counters.unknown,
            RequestOutcome::NotRun(reason) => {
                let index = RefusalReason::ALL.iter().position(|known| known == reason);
                &self.counters.refused[index.unwrap_or(0)]
            }
        };
        counter.fetch_add(1, Ordering::Relaxed);
        outcome
    }

    fn count_retry(&self, reason: RetryReason) {
        let index = RetryReason::ALL.iter().position(|known| *known == reason);
        self.counters.retried[index.unwrap_or(0)].fetch_add(1, Ordering::Relaxed);
    }
}

/// HTTP status of a peer's answer for a request that is known not to have run.
pub(crate) const PEER_NOT_RUN: u16 = 570;
/// HTTP status of a peer's answer for a request that may have run.
pub(crate) const PEER_UNKNOWN: u16 = 571;

fn outcome_from_peer(status: u16, body: Bytes) -> RequestOutcome {
    match status {
        PEER_NOT_RUN => {
            let name = String::from_utf8_lossy(&body);
            let known = RefusalReason::ALL
                .iter()
                .find(|reason| reason.as_str() == name);
            RequestOutcome::NotRun(known.copied().unwrap_or(RefusalReason::PeerUnreachable))
        }
        PEER_UNKNOWN => RequestOutcome::Unknown,
        status => RequestOutcome::Answered(status, body),
    }
}
