//! Typed settings of an entry instance on the users' platform.
//!
//! The doc comments of the types that derive `JsonSchema` are part of the settings schema.

use std::net::SocketAddr;
use std::time::Duration;

use bankvalve_queue::OptionalPolicies;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::field_check::{check_name, check_positive, check_range};
use super::{parse_jsonc, LogSettings, SettingsProblem};

/// Top-level key that only site settings have, which distinguishes them from `ServeSettings`.
const SITE_KEY: &str = "site";
/// Maximum of all times, in milliseconds: one day.
const MAX_TIME_MS: u64 = 86_400_000;
/// Maximum of `processor.share` and `processor.speed`.
const MAX_PROCESSOR_VALUE: f64 = 1_000.0;

/// Who the instance is and where it stands.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteInstance {
    /// Unique at the site.
    pub name: String,
    /// Failure domain.
    pub domain: String,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteListen {
    /// Callers.
    pub callers: SocketAddr,
    /// The platform's question whether the instance is ready.
    pub readiness: SocketAddr,
    /// Other entry instances.
    pub peers: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// The platform's services, as IP and port.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SitePlatform {
    /// Table.
    pub table: SocketAddr,
    /// Policy that permits starts; null if there is none.
    #[serde(default)]
    pub policy: Option<SocketAddr>,
    /// Machines that workers run on; null if there is none.
    #[serde(default)]
    pub machines: Option<SocketAddr>,
}

/// Bounds that the site sets, in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteBounds {
    /// Longest hold that a worker grants.
    pub hold_limit: u64,
    /// How much earlier than due a task may start.
    pub early: u64,
    /// How long an ended job's state is told.
    pub status: u64,
    /// Time from SIGTERM in which the process must have ended; also the time for which a start
    /// tries again if an address is still held, as by the process of before.
    pub stop: u64,
}

/// Processor that the instance may use.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteProcessor {
    /// Share of one core.
    pub share: f64,
    /// Speed of that core, as a factor.
    pub speed: f64,
}

impl Default for SiteProcessor {
    fn default() -> Self {
        Self {
            share: 1.0,
            speed: 1.0,
        }
    }
}

impl SiteProcessor {
    /// Returns the CPU capacity in thousandths of a core of speed 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve::settings::SiteProcessor;
    ///
    /// let processor = SiteProcessor { share: 0.25, speed: 2.0 };
    /// assert_eq!(processor.strength(), 500);
    /// ```
    pub fn strength(&self) -> u64 {
        (self.share * self.speed * 1_000.0).round() as u64
    }
}

/// Limits.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SiteLimits {
    /// Longest value of a row of the table, in bytes.
    pub row_bytes: u64,
    /// Open connections of callers, at most a quarter of the descriptors.
    pub caller_connections: u64,
    /// Descriptors that the process may have open. Half of them are for connections to others.
    pub descriptors: u64,
    /// Largest body of a caller's request in bytes.
    pub body_bytes: u64,
    /// Entries in each ring between two threads.
    pub ring: u64,
}

impl Default for SiteLimits {
    fn default() -> Self {
        Self {
            row_bytes: 65_536,
            caller_connections: 2_000,
            descriptors: 16_384,
            body_bytes: 262_144,
            ring: 8_192,
        }
    }
}

/// Keys of customers.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SiteKeys {
    /// Whether requests with a key are refused while it is not known whether keys still hold.
    pub strict: bool,
    /// Time, in milliseconds, since that was last known after which they are.
    pub revoke_ms: u64,
}

impl SiteKeys {
    /// Returns the maximum age of the last confirmation that keys are still valid.
    ///
    /// Once the confirmation is older, requests with a key are refused. Returns `None` if they are never
    /// refused for this reason.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve::settings::SiteKeys;
    ///
    /// let keys = SiteKeys { strict: true, revoke_ms: 5_000 };
    /// assert_eq!(keys.age_limit().map(|limit| limit.as_secs()), Some(5));
    /// assert!(SiteKeys::default().age_limit().is_none());
    /// ```
    pub fn age_limit(&self) -> Option<Duration> {
        self.strict.then(|| Duration::from_millis(self.revoke_ms))
    }
}

/// Optional policies of the scheduler. Each is off unless it is called for here.
#[derive(Clone, Debug, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SitePolicies {
    /// Whether gangs get planned starts, and steps are placed by priority, where the configuration has a queue
    /// whose priority is between those of others.
    pub capacity_plan: bool,
    /// Whether run times and the speed of workers are learned.
    pub run_times: bool,
    /// Whether jobs are refused that are expected to end too late.
    pub admission_forecast: bool,
    /// Whether submits wait through the rest of a short outage of the table. It helps callers that do not
    /// follow the time to come back that a refusal tells.
    pub outage_wait: bool,
}

impl SitePolicies {
    /// Returns the policies as the scheduler takes them.
    pub(crate) fn optional(&self) -> OptionalPolicies {
        OptionalPolicies {
            capacity_plan: self.capacity_plan,
            run_times: self.run_times,
            admission_forecast: self.admission_forecast,
            outage_wait: self.outage_wait,
        }
    }
}

/// Settings of an entry instance on the users' platform.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteSettings {
    /// Who the instance is and where it stands.
    pub site: SiteInstance,
    /// Addresses to listen on.
    pub listen: SiteListen,
    /// The platform's services.
    pub platform: SitePlatform,
    /// Bounds that the site sets.
    pub bounds_ms: SiteBounds,
    /// Processor that the instance may use; strong instances lead.
    #[serde(default)]
    pub processor: SiteProcessor,
    /// Keys of customers.
    #[serde(default)]
    pub keys: SiteKeys,
    /// Optional policies.
    #[serde(default)]
    pub policies: SitePolicies,
    /// Limits.
    #[serde(default)]
    pub limits: SiteLimits,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

impl SiteSettings {
    /// Returns whether a text parses as JSON and has the top-level key `site`, as site settings do.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve::settings::SiteSettings;
    ///
    /// assert!(SiteSettings::is_meant("{ \"site\": {} }"));
    /// assert!(!SiteSettings::is_meant("{ \"instance\": {} }"));
    /// ```
    pub fn is_meant(text: &str) -> bool {
        let value =
            jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &Default::default());
        value.is_ok_and(|value: serde_json::Value| value.get(SITE_KEY).is_some())
    }

    /// Parses settings from JSON with comments and validates every field.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and field.
    pub fn parse(text: &str) -> Result<Self, SettingsProblem> {
        parse_jsonc(text, Self::check)
    }

    /// Returns the log level.
    ///
    /// # Errors
    ///
    /// Returns the field and what was expected of it.
    pub fn log_level(&self) -> Result<log::LevelFilter, (String, String)> {
        self.log.parse_level()
    }

    fn check(&self) -> Result<(), (String, String)> {
        check_name("site.name", &self.site.name)?;
        check_name("site.domain", &self.site.domain)?;
        let bounds = &self.bounds_ms;
        let times = [
            ("bounds_ms.hold_limit", bounds.hold_limit, 1_000),
            ("bounds_ms.early", bounds.early, 0),
            ("bounds_ms.status", bounds.status, 1_000),
            ("bounds_ms.stop", bounds.stop, 500),
        ];
        for (field, value, min) in times {
            check_range(field, value, min, MAX_TIME_MS)?;
        }
        if self.keys.strict {
            check_range("keys.revoke_ms", self.keys.revoke_ms, 1_000, MAX_TIME_MS)?;
        }
        let processor = &self.processor;
        let fields = [
            ("processor.share", processor.share),
            ("processor.speed", processor.speed),
        ];
        for (field, value) in fields {
            check_positive(field, value, MAX_PROCESSOR_VALUE)?;
        }
        let limits = &self.limits;
        check_range("limits.row_bytes", limits.row_bytes, 4_096, 1 << 24)?;
        let connections = limits.caller_connections;
        check_range("limits.caller_connections", connections, 1, 100_000)?;
        check_range("limits.descriptors", limits.descriptors, 256, 1 << 24)?;
        check_range("limits.body_bytes", limits.body_bytes, 1_024, 64 << 20)?;
        check_range("limits.ring", limits.ring, 64, 1 << 20)?;
        self.log_level().map(|_| ())
    }
}
