//! Typed settings of an entry instance of a cell.
//!
//! The doc comments of the types that derive `JsonSchema` are part of the settings schema.

use std::net::SocketAddr;
use std::time::Duration;

use bankvalve_cell::machine::{InstanceDetail, PartitionPlan};
use bankvalve_cell::owner::CellTimings;
use bankvalve_link::{CallerKey, KeyRing, OperatorKey, ServerLimits, ServerTls};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::field_check::{check_name, check_range};
use super::{parse_jsonc, SettingsProblem};

/// Minimum length of the key that peers share, in bytes.
const MIN_PEER_KEY_BYTES: usize = 16;
/// Maximum number of worker partitions per region, and of team partitions in the cell.
const MAX_PARTITIONS: u32 = 1_024;
/// Maximum of all times, in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;

/// Who the instance is and where it stands.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Unique in the cell; kept over restarts.
    pub name: String,
    /// Region, one of the cell's.
    pub region: String,
    /// Failure domain inside the region.
    pub domain: String,
    /// Share of partitions relative to the other instances.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

fn default_weight() -> u32 {
    1
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers and operators.
    pub callers: SocketAddr,
    /// Other entry instances.
    pub peers: SocketAddr,
    /// Metrics and health.
    pub admin: SocketAddr,
    /// Address that peers are told to use.
    #[serde(default)]
    pub peers_advertised: Option<SocketAddr>,
    /// Encrypts the callers' listener.
    #[serde(default)]
    pub callers_tls: Option<TlsSettings>,
}

/// Files of the certificate chain and the private key, both in PEM.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TlsSettings {
    /// Certificate chain.
    pub certificate_file: String,
    /// Private key.
    pub key_file: String,
}

/// The platform's services.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Table service.
    pub table_url: String,
    /// Object store.
    pub objects_url: String,
    /// Instance list.
    pub list_url: String,
}

/// How the cell is cut into partitions.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CellSettings {
    /// Regions of the cell.
    pub regions: Vec<String>,
    /// Worker partitions in each region.
    pub worker_partitions_per_region: u32,
    /// Team partitions in the cell.
    pub team_partitions: u32,
}

/// Keys that are accepted.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// Shared by all entry instances.
    pub peer_key: String,
    /// Callers' tokens.
    #[serde(default)]
    #[schemars(with = "Vec<serde_json::Value>")]
    pub callers: Vec<CallerKey>,
    /// Operators' keys.
    #[serde(default)]
    #[schemars(with = "Vec<serde_json::Value>")]
    pub operators: Vec<OperatorKey>,
}

macro_rules! timings {
    ($($(#[$doc:meta])* $name:ident = $default:literal,)*) => {
        /// Times in milliseconds.
        #[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
        #[serde(deny_unknown_fields, default)]
        pub struct TimingSettings {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Default for TimingSettings {
            fn default() -> Self {
                Self { $($name: $default,)* }
            }
        }

        impl TimingSettings {
            fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

timings! {
    /// Lease under which a worker runs tasks.
    worker_lease = 15_000,
    /// Between two exchanges with a worker that has nothing to do.
    worker_heartbeat = 4_000,
    /// After which an exchange with a worker counts as unanswered.
    worker_answer = 2_000,
    /// Lease of an entry instance.
    instance_lease = 6_000,
    /// Between two renewals of it.
    instance_renewal = 2_000,
    /// Between two scans of the membership rows.
    scan = 2_000,
    /// Between two reads of the bundle's row.
    bundle_poll = 1_000,
    /// Least time between two commits to the ledger.
    commit_pace = 40,
    /// After which a request to the table service counts as unanswered.
    store_answer = 2_000,
    /// After which the table service counts as unavailable for new work.
    store_silence = 5_000,
    /// Longest that an instance goes on commanding workers without the table service.
    unattended = 7_200_000,
    /// Between two reads of the instance list.
    list_poll = 1_000,
    /// Longest that a planned stop may take.
    stop = 20_000,
}

/// Limits that bound what a peer can cost.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Open connections of callers.
    pub caller_connections: usize,
    /// Open connections of peers.
    pub peer_connections: usize,
    /// Largest body of a caller's request in bytes.
    pub body_bytes: usize,
    /// Time in which a request's headers must arrive, in milliseconds.
    pub header_ms: u64,
    /// Time in which a request's body must arrive, in milliseconds.
    pub body_ms: u64,
    /// Entries in each ring between two threads.
    pub ring: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            caller_connections: 4_096,
            peer_connections: 256,
            body_bytes: 1024 * 1024,
            header_ms: 10_000,
            body_ms: 10_000,
            ring: 8_192,
        }
    }
}

/// Logs.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level: error, warn, info, debug or trace.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".into(),
        }
    }
}

impl LogSettings {
    /// Returns the log level.
    ///
    /// # Errors
    ///
    /// Returns the field and what was expected of it.
    pub fn parse_level(&self) -> Result<log::LevelFilter, (String, String)> {
        let expected = "expected error, warn, info, debug or trace";
        self.level
            .parse()
            .map_err(|_| ("log.level".into(), expected.into()))
    }
}

/// Settings of an entry instance.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServeSettings {
    /// Who the instance is and where it stands.
    pub instance: InstanceSettings,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// How the cell is cut into partitions.
    pub cell: CellSettings,
    /// Keys that are accepted.
    pub keys: KeySettings,
    /// Times.
    #[serde(default)]
    pub timings_ms: TimingSettings,
    /// Limits.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

impl ServeSettings {
    /// Parses settings from JSON with comments and validates every field.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and field.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve::settings::{ServeSettings, DEFAULT_SETTINGS};
    ///
    /// let settings = ServeSettings::parse(DEFAULT_SETTINGS).unwrap();
    /// assert_eq!(settings.instance.name, "entry-1");
    /// ```
    pub fn parse(text: &str) -> Result<Self, SettingsProblem> {
        parse_jsonc(text, Self::check)
    }

    fn check(&self) -> Result<(), (String, String)> {
        self.check_instance()?;
        self.check_addresses()?;
        self.check_cell()?;
        self.check_keys()?;
        self.check_timings()?;
        self.check_limits()?;
        self.caller_tls()?;
        self.log_level().map(|_| ())
    }

    /// Returns the log level.
    ///
    /// # Errors
    ///
    /// Returns the field and what was expected of it.
    pub fn log_level(&self) -> Result<log::LevelFilter, (String, String)> {
        self.log.parse_level()
    }

    /// Returns the description of this instance that peers receive.
    pub fn instance_detail(&self) -> InstanceDetail {
        let advertised = self.listen.peers_advertised;
        InstanceDetail {
            name: self.instance.name.clone(),
            peer_address: advertised.unwrap_or(self.listen.peers).to_string(),
            region: self.instance.region.clone(),
            domain: self.instance.domain.clone(),
            weight: self.instance.weight,
        }
    }

    /// Returns how the cell is divided into partitions.
    pub fn partition_plan(&self) -> PartitionPlan {
        PartitionPlan {
            regions: self.cell.regions.clone(),
            worker_partitions_per_region: self.cell.worker_partitions_per_region,
            team_partitions: self.cell.team_partitions,
        }
    }

    /// Returns the timings for the decisions that `bankvalve_cell` makes.
    pub fn cell_timings(&self) -> CellTimings {
        let times = &self.timings_ms;
        let ms = Duration::from_millis;
        CellTimings {
            worker_lease: ms(times.worker_lease),
            worker_heartbeat: ms(times.worker_heartbeat),
            worker_answer: ms(times.worker_answer),
            instance_lease: ms(times.instance_lease),
            instance_renewal: ms(times.instance_renewal),
            scan: ms(times.scan),
            bundle_poll: ms(times.bundle_poll),
            commit_pace: ms(times.commit_pace),
            store_answer: ms(times.store_answer),
            store_silence: ms(times.store_silence),
            unattended: ms(times.unattended),
            ..CellTimings::default()
        }
    }

    /// Returns the keys of callers, operators and peers that the instance accepts.
    ///
    /// # Errors
    ///
    /// Returns the field and what was expected of it.
    pub fn key_ring(&self) -> Result<KeyRing, (String, String)> {
        let keys = &self.keys;
        KeyRing::new(&keys.callers, &keys.operators, &keys.peer_key).map_err(|place| {
            (
                format!("keys.{place}"),
                "expected 64 hexadecimal digits".into(),
            )
        })
    }

    /// Reads the certificate and key of the callers' listener, or returns `None` if it does not use TLS.
    ///
    /// # Errors
    ///
    /// Returns the field and what was expected of it.
    pub fn caller_tls(&self) -> Result<Option<ServerTls>, (String, String)> {
        let Some(files) = &self.listen.callers_tls else {
            return Ok(None);
        };
        let read = |field: &str, path: &str| {
            std::fs::read_to_string(path).map_err(|error| {
                let field = format!("listen.callers_tls.{field}");
                (field, format!("expected a readable file: {path}: {error}"))
            })
        };
        let certificates = read("certificate_file", &files.certificate_file)?;
        let key = read("key_file", &files.key_file)?;
        ServerTls::from_pem(&certificates, &key)
            .map(Some)
            .map_err(|expected| ("listen.callers_tls".into(), expected))
    }

    /// Returns the limits of the callers' listener.
    pub fn caller_limits(&self) -> ServerLimits {
        ServerLimits {
            connections: self.limits.caller_connections,
            header_time: Duration::from_millis(self.limits.header_ms),
            body_time: Duration::from_millis(self.limits.body_ms),
            body_bytes: self.limits.body_bytes,
            skips_abandoned: true,
            ..ServerLimits::default()
        }
    }

    /// Returns the limits of the peers' listener. The limit of a body is at least 8 MiB.
    pub fn peer_limits(&self) -> ServerLimits {
        ServerLimits {
            connections: self.limits.peer_connections,
            body_bytes: self.limits.body_bytes.max(8 * 1024 * 1024),
            ..ServerLimits::default()
        }
    }

    fn check_instance(&self) -> Result<(), (String, String)> {
        let instance = &self.instance;
        check_name("instance.name", &instance.name)?;
        check_name("instance.domain", &instance.domain)?;
        if !self.cell.regions.contains(&instance.region) {
            let expected = format!("expected one of cell.regions: {:?}", self.cell.regions);
            return Err(("instance.region".into(), expected));
        }
        check_range("instance.weight", u64::from(instance.weight), 1, 100)
    }

    fn check_addresses(&self) -> Result<(), (String, String)> {
        let urls = [
            ("platform.table_url", &self.platform.table_url),
            ("platform.objects_url", &self.platform.objects_url),
            ("platform.list_url", &self.platform.list_url),
        ];
        for (field, url) in urls {
            let uri = url.parse::<hyper::Uri>().ok();
            let good = uri.is_some_and(|uri| {
                uri.scheme_str() == Some("http") && uri.host().is_some_and(|host| !host.is_empty())
            });
            if !good {
                return Err((
                    field.into(),
                    "expected a URL that starts with http://".into(),
                ));
            }
        }
        let listen = &self.listen;
        let fixed = |address: SocketAddr| address.port() != 0;
        if fixed(listen.callers) && listen.callers == listen.peers {
            let expected = "expected an address other than listen.callers";
            return Err(("listen.peers".into(), expected.into()));
        }
        if fixed(listen.admin) && (listen.admin == listen.callers || listen.admin == listen.peers) {
            let expected = "expected an address of its own";
            return Err(("listen.admin".into(), expected.into()));
        }
        Ok(())
    }

    fn check_cell(&self) -> Result<(), (String, String)> {
        let cell = &self.cell;
        if cell.regions.is_empty() {
            return Err(("cell.regions".into(), "expected at least one region".into()));
        }
        for (index, region) in cell.regions.iter().enumerate() {
            check_name(&format!("cell.regions[{index}]"), region)?;
            if cell.regions[..index].contains(region) {
                let expected = "expected each region once";
                return Err((format!("cell.regions[{index}]"), expected.into()));
            }
        }
        let limit = u64::from(MAX_PARTITIONS);
        let field = "cell.worker_partitions_per_region";
        check_range(
            field,
            u64::from(cell.worker_partitions_per_region),
            1,
            limit,
        )?;
        let field = "cell.team_partitions";
        check_range(field, u64::from(cell.team_partitions), 1, limit)
    }

    fn check_keys(&self) -> Result<(), (String, String)> {
        if self.keys.peer_key.len() < MIN_PEER_KEY_BYTES {
            let expected = format!("expected at least {MIN_PEER_KEY_BYTES} characters");
            return Err(("keys.peer_key".into(), expected));
        }
        self.key_ring().map(|_| ())
    }

    fn check_timings(&self) -> Result<(), (String, String)> {
        let times = &self.timings_ms;
        for (name, value) in times.all() {
            check_range(&format!("timings_ms.{name}"), value, 1, MAX_TIME_MS)?;
        }
        if times.worker_heartbeat * 3 > times.worker_lease {
            let expected = "expected at most a third of timings_ms.worker_lease";
            return Err(("timings_ms.worker_heartbeat".into(), expected.into()));
        }
        if times.instance_renewal * 3 > times.instance_lease {
            let expected = "expected at most a third of timings_ms.instance_lease";
            return Err(("timings_ms.instance_renewal".into(), expected.into()));
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), (String, String)> {
        let limits = &self.limits;
        let number = |value: usize| value as u64;
        let connections = number(limits.caller_connections);
        check_range("limits.caller_connections", connections, 1, 100_000)?;
        let connections = number(limits.peer_connections);
        check_range("limits.peer_connections", connections, 1, 100_000)?;
        check_range(
            "limits.body_bytes",
            number(limits.body_bytes),
            1_024,
            64 << 20,
        )?;
        check_range("limits.header_ms", limits.header_ms, 1, MAX_TIME_MS)?;
        check_range("limits.body_ms", limits.body_ms, 1, MAX_TIME_MS)?;
        check_range("limits.ring", number(limits.ring), 64, 1 << 20)
    }
}
