//! Test fixture: a cell of real `serve` processes with a simulated platform.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use bankvalve::command::{token_hash, ApiClient, ClientSettings, OperatorSecret};
use bankvalve_cell::contract::{CellBundle, JobKind, JobSpec, PlaceRule, TeamContract};
use bankvalve_cell::link::TaskKey;
use bankvalve_cell::machine::TaskSize;
use bankvalve_link::OperatorSigner;
use bankvalve_standin::{PlatformStandin, StandinPlan};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde::Deserialize;
use serde_json::{json, Value};

/// Time after which `wait_until` fails the test.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(90);
/// Interval at which `wait_until` checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Key with which the instances sign their requests to each other.
pub(crate) const PEER_KEY: &str = "peer-key-of-the-tests";

/// A run of an attempt, as the simulated workers recorded it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct RunView {
    pub(crate) worker: String,
    pub(crate) key: TaskKey,
    pub(crate) started: u64,
    pub(crate) ended: Option<u64>,
}

/// A running `serve` process and its addresses.
pub(crate) struct EntryProcess {
    pub(crate) child: Child,
    pub(crate) callers: String,
    pub(crate) peers: String,
    pub(crate) admin: String,
    log: Arc<Mutex<Vec<String>>>,
}

/// A cell of `serve` processes with a simulated platform. Dropping it kills the processes.
pub(crate) struct TestCell {
    pub(crate) platform: PlatformStandin,
    pub(crate) entries: Vec<Option<EntryProcess>>,
    folder: tempfile::TempDir,
    secret: String,
    limits: Value,
    workers: usize,
    /// Certificate of the callers' listeners in PEM format, or `None` if they do not use TLS.
    certificate: Option<String>,
}

/// Waits until a condition holds; panics if it does not hold within `WAIT_LIMIT`.
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < WAIT_LIMIT, "not in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

impl TestCell {
    pub(crate) fn start(entries: usize, workers: u32) -> Self {
        Self::start_limited(entries, workers, json!({}))
    }

    pub(crate) fn start_limited(entries: usize, workers: u32, limits: Value) -> Self {
        Self::start_any(entries, workers, limits, false)
    }

    /// Starts a cell whose callers' listeners use TLS.
    pub(crate) fn start_encrypted(entries: usize, workers: u32) -> Self {
        Self::start_any(entries, workers, json!({}), true)
    }

    fn start_any(entries: usize, workers: u32, limits: Value, encrypted: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut plan = StandinPlan::small(&["hobart", "launceston", "devonport"], workers);
        plan.list_lag = Duration::from_millis(500);
        let platform = PlatformStandin::start(listener, &plan, 7).unwrap();
        let mut cell = Self {
            platform,
            entries: Vec::new(),
            folder: tempfile::tempdir().unwrap(),
            secret: "5a".repeat(32),
            limits,
            workers: workers as usize,
            certificate: None,
        };
        if encrypted {
            cell.make_certificate();
        }
        for index in 0..entries {
            let process = cell.spawn(index);
            cell.entries.push(Some(process));
        }
        cell.accept_bundle();
        cell.wait_until_ready();
        cell
    }

    pub(crate) fn client(&self) -> ApiClient {
        let live = self.entries.iter().flatten();
        self.client_to(live.map(|entry| entry.callers.clone()).collect())
    }

    pub(crate) fn client_of(&self, index: usize) -> ApiClient {
        let entry = self.entries[index].as_ref().unwrap();
        self.client_to(vec![entry.callers.clone()])
    }

    pub(crate) fn client_settings(&self, entries: Vec<String>) -> ClientSettings {
        let tokens = ["billing", "leakage"].map(|team| (team.to_owned(), token_of(team)));
        ClientSettings {
            entries,
            tokens: BTreeMap::from(tokens),
            operator: Some(OperatorSecret {
                name: "tester".into(),
                secret_key: self.secret.clone(),
            }),
            certificate: self.certificate.clone(),
        }
    }

    fn make_certificate(&mut self) {
        let made = rcgen::generate_simple_self_signed(vec!["127.0.0.1".into()]).unwrap();
        let certificate = made.cert.pem();
        let folder = self.folder.path();
        std::fs::write(folder.join("certificate.pem"), &certificate).unwrap();
        std::fs::write(folder.join("key.pem"), made.signing_key.serialize_pem()).unwrap();
        self.certificate = Some(certificate);
    }

    fn tls_settings(&self) -> Value {
        let path = |name: &str| self.folder.path().join(name);
        match self.certificate {
            None => Value::Null,
            Some(_) => json!({
                "certificate_file": path("certificate.pem"),
                "key_file": path("key.pem"),
            }),
        }
    }

    fn client_to(&self, entries: Vec<String>) -> ApiClient {
        ApiClient::new(self.client_settings(entries)).unwrap()
    }

    /// Starts or restarts an instance.
    pub(crate) fn start_entry(&mut self, index: usize) {
        let process = self.spawn(index);
        self.entries[index] = Some(process);
    }

    pub(crate) fn signal(&self, index: usize, signal: Signal) {
        let process = self.entries[index].as_ref().unwrap();
        kill(Pid::from_raw(process.child.id() as i32), signal).unwrap();
    }

    /// Kills an instance with SIGKILL and waits for its end.
    pub(crate) fn kill_entry(&mut self, index: usize) {
        self.signal(index, Signal::SIGKILL);
        let mut process = self.entries[index].take().unwrap();
        process.child.wait().unwrap();
    }

    /// Waits until the process of an instance exits, and returns its exit status.
    pub(crate) fn wait_for_end(&mut self, index: usize) -> ExitStatus {
        let mut process = self.entries[index].take().unwrap();
        let mut status = None;
        wait_until("the process ends", || {
            status = process.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Waits until a partition has an owner, and returns the owner's name.
    pub(crate) fn owner_of(&self, partition: &str) -> String {
        let mut owner = String::new();
        wait_until("a partition has an owner", || {
            let list = self.client().instances();
            let row = list.ok().and_then(|list| {
                let mut rows = list.partitions.into_iter();
                rows.find(|row| row.key == partition)
            });
            owner = row.map(|row| row.owner).unwrap_or_default();
            !owner.is_empty()
        });
        owner
    }

    pub(crate) fn index_of(&self, name: &str) -> usize {
        name.trim_start_matches("entry-").parse::<usize>().unwrap() - 1
    }

    pub(crate) fn set_faults(&self, faults: &Value) {
        let url = format!("{}/faults", self.platform.base_url());
        let sent = attohttpc::post(url)
            .text(faults.to_string())
            .send()
            .unwrap();
        assert_eq!(sent.status().as_u16(), 204);
    }

    pub(crate) fn platform_json(&self, path: &str) -> Value {
        let url = format!("{}/{path}", self.platform.base_url());
        let reply = attohttpc::get(url).send().unwrap();
        serde_json::from_slice(&reply.bytes().unwrap()).unwrap()
    }

    pub(crate) fn runs(&self) -> Vec<RunView> {
        serde_json::from_value(self.platform_json("runs")).unwrap()
    }

    pub(crate) fn metrics(&self, index: usize) -> String {
        let admin = &self.entries[index].as_ref().unwrap().admin;
        let reply = attohttpc::get(format!("http://{admin}/metrics")).send();
        reply.unwrap().text().unwrap()
    }

    pub(crate) fn wait_until_ready(&self) {
        wait_until("all instances are ready and all workers take work", || {
            let ready = |entry: &EntryProcess| {
                let reply = attohttpc::get(format!("http://{}/readyz", entry.admin)).send();
                reply.is_ok_and(|reply| reply.is_success())
            };
            let live = self.entries.iter().flatten();
            let all_ready = live.clone().all(ready);
            let views = self.client().workers().unwrap_or_default();
            let working = views.iter().filter(|view| view.state == "ready").count();
            all_ready && working == self.workers
        });
    }

    pub(crate) fn wait_done(&self, team: &str, job: &str) {
        wait_until("the job is done", || {
            let view = self.client().status(team, job);
            view.is_ok_and(|view| {
                assert_ne!(view.phase, "failed", "{view:?}");
                view.phase == "done"
            })
        });
    }

    /// Checks that no two runs of a task overlapped and that no worker was over its capacity.
    pub(crate) fn assert_runs_sound(&self) {
        let mut runs = self.runs();
        runs.sort_by_key(|run| run.started);
        let mut last = BTreeMap::<(String, String, u32), RunView>::new();
        for run in runs {
            let id = (run.key.team.clone(), run.key.job.clone(), run.key.task);
            if let Some(before) = last.insert(id, run.clone()) {
                let ended = before.ended.unwrap_or(u64::MAX);
                assert!(ended <= run.started, "{before:?} overlaps {run:?}");
            }
        }
        assert_eq!(self.platform_json("stats")["overfull_workers"], json!(0));
    }

    /// Checks that no instance has counted a broken invariant.
    pub(crate) fn assert_no_breach(&self) {
        for (index, entry) in self.entries.iter().enumerate() {
            if let Some(entry) = entry {
                let text = self.metrics(index);
                let line = text
                    .lines()
                    .find(|line| line.starts_with("bankvalve_invariant_breaches"));
                assert!(
                    line.unwrap().ends_with(" 0"),
                    "{:?}",
                    entry.log.lock().unwrap()
                );
            }
        }
    }

    fn accept_bundle(&self) {
        let contract = TeamContract {
            quota: TaskSize {
                millicores: 1_000_000,
                memory_mib: 1_000_000,
                accelerators: 0,
            },
            weight: 1,
            place: PlaceRule::default(),
        };
        let teams = ["billing", "leakage"].map(|team| (team.to_owned(), contract.clone()));
        let bundle = CellBundle {
            version: 1,
            author: "tester".into(),
            teams: BTreeMap::from(teams),
        };
        wait_until("the first bundle is accepted", || {
            self.client().accept_bundle(&bundle).is_ok()
        });
    }

    fn spawn(&self, index: usize) -> EntryProcess {
        let path = self.write_settings(index);
        let mut child = Command::new(env!("CARGO_BIN_EXE_bankvalve"))
            .args(["serve", "--settings"])
            .arg(path)
            .stderr(Stdio::piped())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let log = Arc::new(Mutex::new(Vec::new()));
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let kept = log.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                kept.lock().unwrap().push(line);
            }
        });
        let scheme = match self.certificate {
            None => "http",
            Some(_) => "https",
        };
        let mut addresses = Vec::new();
        wait_until("the instance listens", || {
            let log = log.lock().unwrap();
            let line = log.iter().find(|line| line.contains("listens for callers"));
            addresses = line.map(|line| addresses_in(line)).unwrap_or_default();
            !addresses.is_empty()
        });
        EntryProcess {
            child,
            callers: format!("{scheme}://{}", addresses[0]),
            peers: addresses[1].clone(),
            admin: addresses[2].clone(),
            log,
        }
    }

    fn write_settings(&self, index: usize) -> PathBuf {
        let domains = ["hobart", "launceston", "devonport"];
        let base = self.platform.base_url();
        let signer = OperatorSigner::new("tester", &self.secret).unwrap();
        let caller =
            |team: &str| json!({"team": team, "token_sha256": token_hash(&token_of(team))});
        let settings = json!({
            "instance": {
                "name": format!("entry-{}", index + 1),
                "region": "tasmania",
                "domain": domains[index % domains.len()],
            },
            "listen": {
                "callers": "127.0.0.1:0",
                "peers": "127.0.0.1:0",
                "admin": "127.0.0.1:0",
                "callers_tls": self.tls_settings(),
            },
            "platform": {
                "table_url": format!("{base}/table"),
                "objects_url": format!("{base}/objects"),
                "list_url": format!("{base}/list"),
            },
            "cell": {
                "regions": ["tasmania"],
                "worker_partitions_per_region": 6,
                "team_partitions": 6,
            },
            "keys": {
                "peer_key": PEER_KEY,
                "callers": [caller("billing"), caller("leakage")],
                "operators": [{"name": "tester", "public_key": signer.public_key()}],
            },
            "timings_ms": {
                "worker_lease": 3000,
                "worker_heartbeat": 800,
                "worker_answer": 600,
                "instance_lease": 1500,
                "instance_renewal": 400,
                "scan": 400,
                "bundle_poll": 300,
                "store_answer": 600,
                "store_silence": 1500,
                "unattended": 60000,
                "list_poll": 300,
                "stop": 20000,
            },
            "limits": self.limits,
        });
        let path = self.folder.path().join(format!("entry-{index}.json"));
        std::fs::write(&path, settings.to_string()).unwrap();
        path
    }
}

impl Drop for TestCell {
    fn drop(&mut self) {
        for process in self.entries.iter_mut().flatten() {
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }
}

pub(crate) fn token_of(team: &str) -> String {
    format!("token-of-{team}")
}

/// Returns a batch job of team billing.
pub(crate) fn batch(id: &str, tasks: u32, run_time_ms: u64) -> JobSpec {
    JobSpec {
        id: id.into(),
        team: "billing".into(),
        kind: JobKind::Batch { tasks },
        size: TaskSize {
            millicores: 2_000,
            memory_mib: 2_048,
            accelerators: 0,
        },
        run_time_ms,
        urgent: false,
        repeatable: true,
        place: PlaceRule::default(),
        payload: String::new(),
    }
}

/// Returns a service job of team billing.
pub(crate) fn service(id: &str, replicas: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Service {
            service: id.into(),
            replicas,
            min_available: 1,
        },
        ..batch(id, 1, 0)
    }
}

fn addresses_in(line: &str) -> Vec<String> {
    line.split([' ', ','])
        .filter(|word| word.starts_with("127.0.0.1:"))
        .map(str::to_owned)
        .collect()
}
