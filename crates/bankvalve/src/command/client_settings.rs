//! Client settings: addresses and credentials for reaching a cell.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{CommandFailure, FailureKind};
use crate::settings::parse_jsonc;

/// An operator's name and secret key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSecret {
    /// Name of the operator.
    pub name: String,
    /// Ed25519 secret key in hexadecimal.
    pub secret_key: String,
}

/// Addresses and credentials that the command line uses to reach a cell.
///
/// # Examples
///
/// ```
/// use bankvalve::command::ClientSettings;
///
/// let text = r#"{"entries": ["http://127.0.0.1:7200"], "tokens": {"billing": "secret"}}"#;
/// let settings = ClientSettings::parse(text).unwrap();
/// assert_eq!(settings.tokens["billing"], "secret");
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientSettings {
    /// Base URLs of entry instances, or of a load balancer in front of them.
    pub entries: Vec<String>,
    /// Caller tokens by team.
    #[serde(default)]
    pub tokens: BTreeMap<String, String>,
    /// Operator credentials, for operator commands and for teams without a token.
    #[serde(default)]
    pub operator: Option<OperatorSecret>,
    /// PEM certificate of the authority that signs the instances' certificates, for `https` URLs.
    #[serde(default)]
    pub certificate: Option<String>,
}

impl ClientSettings {
    /// Parses settings from JSON with comments.
    ///
    /// # Errors
    ///
    /// Returns the first problem, with its line and field.
    pub fn parse(text: &str) -> Result<Self, crate::settings::SettingsProblem> {
        parse_jsonc(text, |settings: &Self| {
            if settings.entries.is_empty() {
                return Err(("entries".into(), "expected at least one URL".into()));
            }
            Ok(())
        })
    }

    /// Returns the path of the file that `bankvalve dev` writes.
    pub fn dev_file() -> PathBuf {
        std::env::temp_dir().join("bankvalve-dev-client.json")
    }

    /// Reads the named file, or the file that the last `bankvalve dev` wrote if `named` is `None`.
    ///
    /// # Errors
    ///
    /// Returns why the file cannot be read, or the first problem in it.
    pub fn load(named: Option<&str>) -> Result<Self, CommandFailure> {
        let path = named.map_or_else(Self::dev_file, PathBuf::from);
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|error| {
            let hint = "name a file with --client or BANKVALVE_CLIENT, or run `bankvalve dev`";
            CommandFailure::new(FailureKind::BadInput, format!("{shown}: {error}; {hint}"))
        })?;
        Self::parse(&text).map_err(|problem| CommandFailure::file(&shown, problem))
    }
}
