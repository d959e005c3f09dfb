//! A site of real `serve` processes and a stand-in platform.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bankvalve_platform::counterpart;
use bankvalve_queue::{
    CallerAnswer, CallerRequest, JobId, JobSpec, JobState, JobTerms, QueueRule, QueueTable,
    StepSpec, TaskKey, TaskSize, WireCall, WireReply,
};
use bankvalve_standin::site::{SeenRun, SitePlatform, SitePolicy};
use nix::sys::signal::Signal;

use crate::entry_child::{EntryChild, ListenPlan};

/// Upper limit of every wait. Reaching it fails the test.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(60);
/// Service whose workers run the jobs of all queues.
const SERVICE: &str = "billing";
/// Time that callers wait for an answer, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Time that instances have for a stop, in milliseconds, as on the platform.
const STOP_MS: u64 = 4_200;

/// Real `serve` processes and the stand-in platform that they use.
pub(crate) struct TestSite {
    pub(crate) platform: SitePlatform,
    pub(crate) entries: Vec<Option<EntryChild>>,
    pub(crate) rule: QueueRule,
    folder: tempfile::TempDir,
}

/// Waits until a condition holds; panics after [`MAX_WAIT`]. There is no pause between two checks, since each
/// one exchanges messages with a process.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < MAX_WAIT, "not in time: {what}");
        std::thread::yield_now();
    }
}

/// Returns a job with one step for each count of tasks, where each step runs after the one before.
pub(crate) fn job_of(id: JobId, payload: &str, counts: &[u32]) -> JobSpec {
    let steps = counts.iter().enumerate().map(|(number, count)| StepSpec {
        count: *count,
        size: TaskSize {
            millicores: 1_000,
            memory_mib: 64,
            accelerators: 0,
        },
        estimate_ms: 100,
        after: (0..number as u16).collect(),
        ..StepSpec::default()
    });
    JobSpec {
        id,
        queue: "lookups".into(),
        payload: payload.into(),
        steps: steps.collect(),
        ..JobSpec::default()
    }
}

/// Returns the number of runs that have ended successfully.
pub(crate) fn count_done(runs: &[SeenRun]) -> usize {
    let done = |run: &&SeenRun| matches!(run.ended, Some((_, how)) if how == bankvalve_queue::EndKind::Done);
    runs.iter().filter(done).count()
}

/// Asserts that no task runs twice at the same time, and that none runs again after it has succeeded.
pub(crate) fn assert_tasks_run_once(runs: &[SeenRun]) {
    let mut by_task: BTreeMap<TaskKey, Vec<&SeenRun>> = BTreeMap::new();
    for run in runs {
        by_task.entry(run.task).or_default().push(run);
    }
    for (task, runs) in by_task {
        for pair in runs.windows(2) {
            let ended = pair[0].ended.expect("a later run after one that goes on");
            assert!(ended.0 <= pair[1].began_ms, "{task} ran twice at once");
            assert_ne!(ended.1, bankvalve_queue::EndKind::Done, "{task} ran again");
        }
    }
}

impl TestSite {
    pub(crate) fn start(entries: usize, workers: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let policy = SitePolicy {
            good_percent: 80,
            valid_ms: 1_500,
        };
        let platform = SitePlatform::start(listener, Some(policy)).expect("a platform");
        for _ in 0..workers {
            platform.add_worker(SERVICE, 4_000).expect("a worker");
        }
        let mut site = Self {
            platform,
            entries: Vec::new(),
            rule: rule_of("lookups", "/lookups/"),
            folder: tempfile::tempdir().expect("a folder"),
        };
        site.configure(1, vec![site.rule.clone()]);
        for index in 0..entries {
            let child = site.spawn(index);
            site.entries.push(Some(child));
        }
        for index in 0..entries {
            site.wait_until_ready(index);
        }
        site
    }

    pub(crate) fn configure(&self, version: u64, rules: Vec<QueueRule>) {
        let table = QueueTable::new(version, rules, BTreeMap::new());
        self.platform.configure(table);
    }

    /// Starts an instance with its own settings file and with ports that the system assigns.
    pub(crate) fn spawn(&self, index: usize) -> EntryChild {
        self.spawn_with(index, &ListenPlan::any(), STOP_MS)
    }

    /// Kills all instances and restarts them, all at once, on their previous addresses.
    pub(crate) fn restart_all(&mut self) {
        let plans = self.entries.drain(..).flatten();
        let plans = plans.map(|entry| entry.plan().clone()).collect::<Vec<_>>();
        let spawned = plans.iter().enumerate();
        let spawned = spawned.map(|(index, plan)| Some(self.spawn_with(index, plan, STOP_MS)));
        self.entries = spawned.collect();
        for (index, plan) in plans.iter().enumerate() {
            assert_eq!(self.entry(index).plan(), plan);
        }
    }

    /// Starts an instance with a stop time of `stop_ms`, which also limits its wait for an address in use.
    pub(crate) fn spawn_with(&self, index: usize, plan: &ListenPlan, stop_ms: u64) -> EntryChild {
        let file = self.folder.path().join(format!("entry-{index}.jsonc"));
        let settings = serde_json::json!({
            "site": { "name": format!("front-{index}"), "domain": "hobart" },
            "listen": plan,
            "platform": { "table": self.platform.address(), "policy": self.platform.address() },
            "bounds_ms": {
                "hold_limit": 6000, "early": 250, "status": 120000, "stop": stop_ms
            }
        });
        std::fs::write(&file, settings.to_string()).expect("settings are written");
        EntryChild::start(&file)
    }

    pub(crate) fn entry(&self, index: usize) -> &EntryChild {
        self.entries[index].as_ref().expect("a running instance")
    }

    pub(crate) fn is_ready(&self, index: usize) -> bool {
        let call = WireCall {
            method: "GET",
            path: (bankvalve_platform::port().ready_path).to_owned(),
            ..WireCall::default()
        };
        matches!(
            exchange(self.entry(index).plan().readiness, &call),
            WireReply::Answer { status: 200, .. }
        )
    }

    pub(crate) fn wait_until_ready(&self, index: usize) {
        wait_until("an instance is ready", || {
            self.entry(index).assert_runs();
            self.is_ready(index)
        });
    }

    /// Returns the index of the instance that leads, according to the instances' metrics.
    pub(crate) fn leader(&self) -> Option<usize> {
        let leads = |entry: &EntryChild| {
            metrics_of(entry).lines().any(|line| {
                line.starts_with("bankvalve_state{")
                    && line.contains("leading")
                    && line.ends_with(" 1")
            })
        };
        self.entries
            .iter()
            .position(|entry| entry.as_ref().is_some_and(leads))
    }

    pub(crate) fn metrics(&self, index: usize) -> String {
        metrics_of(self.entry(index))
    }

    /// Sends SIGKILL to an instance and waits for its end.
    pub(crate) fn kill(&mut self, index: usize) {
        self.entries[index] = None;
    }

    pub(crate) fn signal(&self, index: usize, signal: Signal) {
        self.entry(index).signal(signal);
    }

    pub(crate) fn wait_for_end(&mut self, index: usize) -> ExitStatus {
        let entry = self.entries[index].as_mut().expect("a running instance");
        entry.wait_for_end()
    }

    /// Sends a caller's request to an instance and returns the reply.
    pub(crate) fn send_request(&self, index: usize, request: &CallerRequest) -> WireReply {
        let call = counterpart::write_request(&self.rule, request, None);
        exchange(self.entry(index).plan().callers, &call)
    }

    /// Submits a job to the instances in turn until one accepts it.
    pub(crate) fn submit(&self, spec: JobSpec) {
        let spec = Arc::new(spec);
        let request = submission(&spec);
        let mut turn = spec.id as usize;
        wait_until("a job is accepted", || {
            turn += 1;
            let index = turn % self.entries.len();
            self.entries[index].is_some()
                && counterpart::read_answer(&request, &self.send_request(index, &request))
                    == Some(CallerAnswer::Accepted)
        });
    }

    pub(crate) fn state(&self, index: usize, job: JobId) -> Option<CallerAnswer> {
        let request = CallerRequest::Status { job };
        counterpart::read_answer(&request, &self.send_request(index, &request))
    }

    /// Waits until an instance reports all of the jobs as succeeded.
    pub(crate) fn wait_for_success(&self, index: usize, jobs: impl Iterator<Item = JobId>) {
        for job in jobs {
            let wanted = Some(CallerAnswer::State(JobState::Succeeded));
            wait_until("a job succeeds", || self.state(index, job) == wanted);
        }
    }
}

pub(crate) fn submission(spec: &Arc<JobSpec>) -> CallerRequest {
    CallerRequest::Submit {
        spec: spec.clone(),
        terms: JobTerms::default(),
    }
}

pub(crate) fn rule_of(name: &str, prefix: &str) -> QueueRule {
    QueueRule {
        name: name.into(),
        host: "hobart.example".into(),
        prefix: prefix.into(),
        keyed: false,
        terms: JobTerms {
            service: SERVICE.into(),
            priority: 1,
            attempts: 3,
            stretch: 2.0,
            target_ms: 500,
            advice: Some(bankvalve_queue::AdviceRule {
                decide_ms: 1.0,
                each_ms: 0.1,
                valid_ms: 1_500,
            }),
            ..JobTerms::default()
        },
    }
}

pub(crate) fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_bankvalve"))
}

fn metrics_of(entry: &EntryChild) -> String {
    let call = WireCall {
        method: "GET",
        path: "/metrics".into(),
        ..WireCall::default()
    };
    match exchange(entry.plan().metrics, &call) {
        WireReply::Answer { body, .. } => String::from_utf8_lossy(&body).into_owned(),
        WireReply::PortRefused | WireReply::NotSent | WireReply::NoReply => String::new(),
    }
}

/// Performs a call on a new connection and returns the reply.
pub(crate) fn exchange(to: SocketAddr, call: &WireCall) -> WireReply {
    match exchange_full(to, call) {
        Some((status, _, body)) => WireReply::Answer { status, body },
        None => WireReply::NoReply,
    }
}

/// Performs a call on a new connection and returns the status, head and body of the answer, or `None` if
/// there is none.
pub(crate) fn exchange_full(to: SocketAddr, call: &WireCall) -> Option<(u16, String, Vec<u8>)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(MAX_WAIT)).ok()?;
    let mut head = format!(
        "{} {} HTTP/1.1\r\nconnection: close\r\nx-deadline-ms: {CALLER_TIMEOUT_MS}\r\ncontent-length: {}\r\n",
        call.method,
        call.path,
        call.body.len()
    );
    if !call.headers.iter().any(|(name, _)| *name == "host") {
        head.push_str("host: localhost\r\n");
    }
    for (name, value) in &call.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(&call.body).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let end = answer.windows(4).position(|part| part == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    Some((status, head, answer[end + 4..].to_vec()))
}
