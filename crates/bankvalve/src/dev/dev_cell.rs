//! A small cell in one process: entry instances and a platform stand-in, on loopback addresses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::time::{Duration, Instant};

use bankvalve_cell::contract::{CellBundle, PlaceRule, TeamContract};
use bankvalve_cell::machine::TaskSize;
use bankvalve_link::{CallerKey, OperatorKey, OperatorSigner};
use bankvalve_standin::{PlatformStandin, StandinPlan};

use crate::command::{
    token_hash, ApiClient, ClientSettings, CommandFailure, FailureKind, OperatorSecret,
};
use crate::serve::{InstanceListeners, InstanceProcess};
use crate::settings::{ServeSettings, DEFAULT_SETTINGS};

/// Failure domains of the cell; with fewer than four workers, only the first ones have workers.
const DOMAINS: [&str; 4] = ["hobart", "launceston", "devonport", "burnie"];
/// Teams of the cell in addition to those of the submitted jobs.
const TEAMS: [&str; 2] = ["billing", "leakage"];
/// Name of the operator of the cell.
const OPERATOR: &str = "dev";
/// Interval between two checks while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Seed for the random faults of the platform stand-in.
const SEED: u64 = 1;

/// Size and teams of a small cell.
#[derive(Clone, Debug)]
pub struct DevPlan {
    /// Number of entry instances.
    pub entries: u32,
    /// Number of workers.
    pub workers: u32,
    /// Teams that submit jobs, in addition to the default ones.
    pub teams: BTreeSet<String>,
}

/// A running small cell.
#[derive(Debug)]
pub struct DevCell {
    platform: PlatformStandin,
    entries: Vec<InstanceProcess>,
    client: ClientSettings,
    workers: u32,
    partitions: usize,
}

impl DevCell {
    /// Starts a small cell and accepts its first bundle, which gives every team the same contract.
    ///
    /// # Errors
    ///
    /// Returns what could not be started.
    pub fn start(plan: &DevPlan) -> Result<Self, CommandFailure> {
        let domains = &DOMAINS[..DOMAINS.len().min(plan.workers.max(1) as usize)];
        let standins = StandinPlan::small(domains, plan.workers);
        let platform = PlatformStandin::start(free_listener()?, &standins, SEED)
            .map_err(|error| failure(&error))?;
        let mut teams: BTreeSet<String> = TEAMS.iter().map(|team| (*team).to_owned()).collect();
        teams.extend(plan.teams.iter().cloned());
        let secret = hex::encode(rand::random::<[u8; 32]>());
        let tokens: BTreeMap<String, String> = teams
            .iter()
            .map(|team| (team.clone(), hex::encode(rand::random::<[u8; 24]>())))
            .collect();
        let mut entries = Vec::new();
        let mut partitions = 0;
        for index in 0..plan.entries {
            let (settings, listeners) = entry_settings(index, &platform, &tokens, &secret)?;
            let cell = settings.partition_plan();
            partitions = (cell.worker_partitions() + cell.team_partitions) as usize;
            let process = InstanceProcess::start(&settings, listeners)
                .map_err(|report| failure(&format!("{report:?}")))?;
            entries.push(process);
        }
        let urls = entries
            .iter()
            .filter_map(InstanceProcess::caller_address)
            .map(|address| format!("http://{address}"))
            .collect();
        let client = ClientSettings {
            entries: urls,
            tokens,
            operator: Some(OperatorSecret {
                name: OPERATOR.into(),
                secret_key: secret,
            }),
            certificate: None,
        };
        let cell = Self {
            platform,
            entries,
            client,
            workers: plan.workers,
            partitions,
        };
        cell.accept_first_bundle(&teams)?;
        Ok(cell)
    }

    /// Returns the entry instances.
    pub fn entries(&self) -> &[InstanceProcess] {
        &self.entries
    }

    /// Returns the base URLs of the entry instances.
    pub fn entry_urls(&self) -> Vec<String> {
        self.client.entries.clone()
    }

    /// Returns the base URL of the platform stand-in.
    pub fn platform_url(&self) -> String {
        self.platform.base_url()
    }

    /// Creates a client with the tokens of all teams and the operator's key.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator's key is malformed, which cannot happen for a running cell.
    pub fn client(&self) -> Result<ApiClient, CommandFailure> {
        ApiClient::new(self.client.clone())
    }

    /// Writes the client settings file that the other commands read by default.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be written.
    pub fn write_client_file(&self) -> Result<(), CommandFailure> {
        let text = serde_json::to_string_pretty(&self.client).unwrap_or_default();
        let path = ClientSettings::dev_file();
        std::fs::write(&path, text)
            .map_err(|error| CommandFailure::file(&path.display().to_string(), error))
    }

    /// Waits until all partitions are owned, all instances are ready and all workers accept tasks.
    ///
    /// # Errors
    ///
    /// Returns how many workers are ready if not all are ready within `time`.
    pub fn wait_until_ready(&self, time: Duration) -> Result<(), CommandFailure> {
        let begun = Instant::now();
        let client = self.client()?;
        loop {
            let owned: usize = self.entries.iter().map(owned_partitions).sum();
            let ready = owned == self.partitions
                && self.entries.iter().all(|entry| entry.core().is_ready());
            let views = if ready {
                client.workers().unwrap_or_default()
            } else {
                Vec::new()
            };
            let working = views.iter().filter(|view| view.state == "ready").count();
            if working == self.workers as usize {
                return Ok(());
            }
            if begun.elapsed() > time {
                let text = format!("{working} of {} workers are ready in time", self.workers);
                return Err(CommandFailure::new(FailureKind::Unreachable, text));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Performs a planned stop of the instances, one at a time.
    pub fn stop(self) {
        for entry in self.entries {
            entry.stop();
        }
    }

    fn accept_first_bundle(&self, teams: &BTreeSet<String>) -> Result<(), CommandFailure> {
        let contract = TeamContract {
            quota: TaskSize {
                millicores: 1_000_000,
                memory_mib: 4_000_000,
                accelerators: 64,
            },
            weight: 1,
            place: PlaceRule::default(),
        };
        let bundle = CellBundle {
            version: 1,
            author: OPERATOR.into(),
            teams: teams
                .iter()
                .map(|team| (team.clone(), contract.clone()))
                .collect(),
        };
        let client = self.client()?;
        let begun = Instant::now();
        loop {
            match client.accept_bundle(&bundle) {
                Ok(()) => return Ok(()),
                Err(failure) if begun.elapsed() > Duration::from_secs(10) => return Err(failure),
                Err(_) => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

fn entry_settings(
    index: u32,
    platform: &PlatformStandin,
    tokens: &BTreeMap<String, String>,
    secret: &str,
) -> Result<(ServeSettings, InstanceListeners), CommandFailure> {
    let listeners = InstanceListeners {
        callers: free_listener()?,
        peers: free_listener()?,
        admin: free_listener()?,
    };
    let mut settings = ServeSettings::parse(DEFAULT_SETTINGS).map_err(|error| failure(&error))?;
    let base = platform.base_url();
    settings.instance.name = format!("entry-{}", index + 1);
    settings.instance.domain = DOMAINS[index as usize % DOMAINS.len()].into();
    settings.platform.table_url = format!("{base}/table");
    settings.platform.objects_url = format!("{base}/objects");
    settings.platform.list_url = format!("{base}/list");
    settings.keys.callers = tokens
        .iter()
        .map(|(team, token)| CallerKey {
            team: team.clone(),
            token_sha256: token_hash(token),
        })
        .collect();
    let signer = OperatorSigner::new(OPERATOR, secret);
    settings.keys.operators = vec![OperatorKey {
        name: OPERATOR.into(),
        public_key: signer.map(|key| key.public_key()).unwrap_or_default(),
    }];
    let settings = listeners
        .bound_settings(&settings)
        .map_err(|report| failure(&format!("{report:?}")))?;
    Ok((settings, listeners))
}

fn owned_partitions(entry: &InstanceProcess) -> usize {
    let owned = entry.core().view().partitions;
    owned.0 + owned.1
}

fn free_listener() -> Result<TcpListener, CommandFailure> {
    TcpListener::bind("127.0.0.1:0").map_err(|error| failure(&error))
}

fn failure(error: &dyn std::fmt::Display) -> CommandFailure {
    CommandFailure::new(FailureKind::Unreachable, error.to_string())
}
