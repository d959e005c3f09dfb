//! Versioned HTTP interface for callers and operators, described in docs/API.md.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bankvalve_cell::contract::{CellBundle, JobSpec};
use bankvalve_cell::link::{CallerAnswer, CallerCommand, Refusal};
use bankvalve_cell::machine::PartitionPlan;
use bankvalve_cell::refusal::RefusalReason;
use bankvalve_link::{HttpAnswer, HttpRequest, KeyRing};
use hyper::Method;
use serde::{Deserialize, Serialize};

use super::error_body::{ErrorBody, JSON};
use crate::serve::{CoreHandle, RecordReader, RequestOutcome, RequestRouter, ServiceRequest};

/// Time limit of a service request without the header `bankvalve-deadline-ms`.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time limit of a service request; longer ones are shortened to this.
const MAX_TIMEOUT: Duration = Duration::from_secs(50);
/// Time after which a caller may retry a refused request, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// Authenticated sender of a request.
enum Sender {
    Team(String),
    Operator,
}

/// Body of a command that drains a worker or ends the drain.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    drain: bool,
}

/// Body of a command that sets the log level.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct LevelBody {
    level: String,
}

/// HTTP interface for callers and operators.
#[derive(Clone, Debug)]
pub struct CallerApi {
    core: CoreHandle,
    router: RequestRouter,
    keys: Arc<KeyRing>,
    records: RecordReader,
    plan: PartitionPlan,
    in_flight: Arc<AtomicU64>,
}

type ApiResult = Result<HttpAnswer, Box<ErrorBody>>;

impl CallerApi {
    pub(crate) fn new(
        core: CoreHandle,
        router: RequestRouter,
        keys: Arc<KeyRing>,
        records: RecordReader,
        plan: PartitionPlan,
        in_flight: Arc<AtomicU64>,
    ) -> Self {
        Self {
            core,
            router,
            keys,
            records,
            plan,
            in_flight,
        }
    }

    /// Handles a request, and counts it as in flight until its answer is ready.
    pub async fn handle(self, request: HttpRequest) -> HttpAnswer {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        let answer = self.route(&request).await;
        self.in_flight.fetch_sub(1, Ordering::AcqRel);
        answer.unwrap_or_else(|error| error.answer())
    }

    async fn route(&self, request: &HttpRequest) -> ApiResult {
        let path = request.path.trim_matches('/').to_owned();
        let parts: Vec<&str> = path.split('/').collect();
        match (&request.method, parts.as_slice()) {
            (&Method::POST, ["v1", "jobs"]) => self.submit(request).await,
            (&Method::GET, ["v1", "jobs", team]) => {
                self.check_team(request, team)?;
                let team = (*team).to_owned();
                self.run_command("jobs", CallerCommand::Jobs { team }).await
            }
            (&Method::GET, ["v1", "jobs", team, job]) => {
                self.check_team(request, team)?;
                let (team, job) = ((*team).to_owned(), (*job).to_owned());
                self.run_command("status", CallerCommand::Status { team, job })
                    .await
            }
            (&Method::DELETE, ["v1", "jobs", team, job]) => {
                self.check_team(request, team)?;
                let (team, job) = ((*team).to_owned(), (*job).to_owned());
                self.run_command("cancel", CallerCommand::Cancel { team, job })
                    .await
            }
            (&Method::POST, ["v1", "services", team, service, "requests"]) => {
                self.check_caller(request, team)?;
                self.serve(request, team, service).await
            }
            (&Method::GET, ["v1", "record", team]) => self.record(request, team, None).await,
            (&Method::GET, ["v1", "record", team, job]) => {
                self.record(request, team, Some(job)).await
            }
            (_, ["v1", ..]) => {
                self.check_operator(request)?;
                self.route_operator(request, &parts).await
            }
            _ => Err(no_such_path(request)),
        }
    }

    async fn route_operator(&self, request: &HttpRequest, parts: &[&str]) -> ApiResult {
        match (&request.method, parts) {
            (&Method::GET, ["v1", "workers"]) => {
                self.run_command("workers", CallerCommand::Workers).await
            }
            (&Method::POST, ["v1", "workers", worker, "drain"]) => {
                let body: DrainBody = parse_body("drain", request)?;
                let command = CallerCommand::DrainWorker {
                    worker: (*worker).to_owned(),
                    drain: body.drain,
                };
                self.run_command("drain", command).await
            }
            (&Method::GET, ["v1", "instances"]) => {
                self.run_command("instances", CallerCommand::Instances)
                    .await
            }
            (&Method::POST, ["v1", "instances", instance, "drain"]) => {
                let instance = (*instance).to_owned();
                self.run_command("drain", CallerCommand::DrainInstance { instance })
                    .await
            }
            (&Method::GET, ["v1", "bundle"]) => {
                self.run_command("bundle", CallerCommand::Bundle).await
            }
            (&Method::POST, ["v1", "bundle"]) => {
                let bundle: Box<CellBundle> = parse_body("bundle", request)?;
                self.run_command("bundle", CallerCommand::AcceptBundle { bundle })
                    .await
            }
            (&Method::POST, ["v1", "log-level"]) => set_level(request),
            _ => Err(no_such_path(request)),
        }
    }

    async fn submit(&self, request: &HttpRequest) -> ApiResult {
        let spec: Box<JobSpec> = parse_body("submit", request)?;
        self.check_caller(request, &spec.team)?;
        self.run_command("submit", CallerCommand::Submit { spec })
            .await
    }

    async fn run_command(&self, step: &str, command: CallerCommand) -> ApiResult {
        let answer = self.core.command(command).await;
        match answer {
            CallerAnswer::NotRun(refusal) => Err(Box::new(ErrorBody::refused(step, refusal))),
            CallerAnswer::Unknown { detail } => Err(Box::new(ErrorBody::unknown(step, &detail))),
            CallerAnswer::Accepted { again } => {
                let status = if again { 200 } else { 202 };
                json(
                    status,
                    &serde_json::json!({ "accepted": true, "again": again }),
                )
            }
            CallerAnswer::Cancelled => json(200, &serde_json::json!({ "cancelled": true })),
            CallerAnswer::Done => json(200, &serde_json::json!({ "done": true })),
            CallerAnswer::Job(view) => json(200, &view),
            CallerAnswer::Jobs(views) => json(200, &views),
            CallerAnswer::Workers(views) => json(200, &views),
            CallerAnswer::Instances {
                instances,
                partitions,
            } => {
                let body = serde_json::json!({
                    "instances": instances,
                    "partitions": partitions,
                });
                json(200, &body)
            }
            CallerAnswer::Bundle {
                bundle,
                confirmed_ms_ago,
            } => {
                let body = serde_json::json!({
                    "bundle": bundle,
                    "confirmed_ms_ago": confirmed_ms_ago,
                });
                json(200, &body)
            }
            CallerAnswer::BundleAccepted(version) => {
                json(200, &serde_json::json!({ "in_force_from": version }))
            }
        }
    }

    async fn serve(&self, request: &HttpRequest, team: &str, service: &str) -> ApiResult {
        let id = request.header("bankvalve-request").unwrap_or_default();
        let timeout = header_ms(request, "bankvalve-deadline-ms");
        let timeout = timeout.unwrap_or(DEFAULT_TIMEOUT).min(MAX_TIMEOUT);
        let forwarded = ServiceRequest {
            team: team.to_owned(),
            service: service.to_owned(),
            id: id.to_owned(),
            deadline: Instant::now() + timeout,
            repeatable: request.header("bankvalve-repeatable") != Some("false"),
            body: request.body.clone(),
        };
        match self.router.forward(&forwarded).await {
            RequestOutcome::Answered(status, body) => Ok(HttpAnswer::new(status, JSON, body)),
            RequestOutcome::NotRun(reason) => {
                let detail = "no target took the request; it did not run";
                let refusal = Refusal::temporary(reason, detail, RETRY_AFTER_MS);
                Err(Box::new(ErrorBody::refused("request", refusal)))
            }
            RequestOutcome::Unknown => {
                let detail = "a target may have run the request, and its answer was lost";
                Err(Box::new(ErrorBody::unknown("request", detail)))
            }
        }
    }

    async fn record(&self, request: &HttpRequest, team: &str, job: Option<&str>) -> ApiResult {
        self.check_team(request, team)?;
        let partition = self.plan.team_partition_of(team);
        match self.records.read(partition, team, job).await {
            Ok(entries) => json(200, &entries),
            Err(detail) => {
                let reason = RefusalReason::StoreUnavailable;
                let refusal = Refusal::temporary(reason, detail, RETRY_AFTER_MS);
                Err(Box::new(ErrorBody::refused("record", refusal)))
            }
        }
    }

    /// Checks that the sender is a caller of the team or an operator.
    fn check_team(&self, request: &HttpRequest, team: &str) -> Result<(), Box<ErrorBody>> {
        match self.sender(request)? {
            Sender::Team(own) if own != team => Err(not_allowed(&format!(
                "expected a key of team {team}, found one of team {own}"
            ))),
            _ => Ok(()),
        }
    }

    /// Checks that the sender is a caller of the team.
    fn check_caller(&self, request: &HttpRequest, team: &str) -> Result<(), Box<ErrorBody>> {
        let (caller, _, _) = KeyRing::headers();
        let own = self
            .keys
            .check_caller(request.header(caller))
            .map_err(|failure| not_allowed(&failure.to_string()))?;
        if own == team {
            return Ok(());
        }
        Err(not_allowed(&format!(
            "expected a key of team {team}, found one of team {own}"
        )))
    }

    fn check_operator(&self, request: &HttpRequest) -> Result<(), Box<ErrorBody>> {
        let (_, operator, _) = KeyRing::headers();
        self.keys
            .check_operator(
                request.header(operator),
                unix_seconds(),
                request.method.as_str(),
                &request.path,
                &request.body,
            )
            .map(|_| ())
            .map_err(|failure| not_allowed(&failure.to_string()))
    }

    fn sender(&self, request: &HttpRequest) -> Result<Sender, Box<ErrorBody>> {
        let (caller, operator, _) = KeyRing::headers();
        if request.header(operator).is_some() {
            self.check_operator(request)?;
            return Ok(Sender::Operator);
        }
        self.keys
            .check_caller(request.header(caller))
            .map(|team| Sender::Team(team.to_owned()))
            .map_err(|failure| not_allowed(&failure.to_string()))
    }
}

fn set_level(request: &HttpRequest) -> ApiResult {
    let body: LevelBody = parse_body("log-level", request)?;
    let Ok(level) = body.level.parse() else {
        let refusal = Refusal {
            field: Some("level".into()),
            ..Refusal::permanent(
                RefusalReason::Malformed,
                "expected error, warn, info, debug or trace",
            )
        };
        return Err(Box::new(ErrorBody::refused("log-level", refusal)));
    };
    crate::logging::set_level(level);
    json(200, &serde_json::json!({ "level": body.level }))
}

fn parse_body<T: serde::de::DeserializeOwned>(
    step: &str,
    request: &HttpRequest,
) -> Result<T, Box<ErrorBody>> {
    let mut deserializer = serde_json::Deserializer::from_slice(&request.body);
    serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let refusal = Refusal {
            field: Some(error.path().to_string()),
            ..Refusal::permanent(RefusalReason::Malformed, error.inner().to_string())
        };
        Box::new(ErrorBody::refused(step, refusal))
    })
}

fn json(status: u16, body: &impl Serialize) -> ApiResult {
    let text = serde_json::to_vec(body).unwrap_or_default();
    Ok(HttpAnswer::new(status, JSON, text))
}

fn not_allowed(detail: &str) -> Box<ErrorBody> {
    let refusal = Refusal::permanent(RefusalReason::NotAllowed, detail);
    Box::new(ErrorBody::refused("keys", refusal))
}

fn no_such_path(request: &HttpRequest) -> Box<ErrorBody> {
    let detail = format!(
        "expected a path of docs/API.md, found {} {}",
        request.method, request.path
    );
    let refusal = Refusal::permanent(RefusalReason::Malformed, detail);
    Box::new(ErrorBody::refused("path", refusal))
}

pub(super) fn header_ms(request: &HttpRequest, name: &str) -> Option<Duration> {
    let ms = request.header(name)?.parse().ok()?;
    Some(Duration::from_millis(ms))
}

fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
