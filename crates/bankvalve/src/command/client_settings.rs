//! What the command line needs to reach a cell.

use std::collections::BTreeMap;
use std::path::PathBuf;

use serde::{Deserialize, Serialize};

use super::{CommandFailure, FailureKind};
use crate::settings::parse_jsonc;

/// An operator's name and secret key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSecret {
    /// The operator.
    pub name: String,
    /// Ed25519 secret key in hexadecimal.
    pub secret_key: String,
}

/// What the command line needs to reach a cell.
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
    /// Base URLs of entry instances, or of the balancer before them.
    pub entries: Vec<String>,
    /// Callers' tokens by team.
    #[serde(default)]
    pub tokens: BTreeMap<String, String>,
    /// The operator, if the user is one.
    #[serde(default)]
    pub operator: Option<OperatorSecret>,
    /// Certificate in PEM that signs those of the entry instances, for `https` URLs.
    #[serde(default)]
    pub certificate: Option<String>,
}

impl ClientSettings {
    /// Reads settings from text.
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

    /// File that the last `bankvalve dev` of this user wrote.
    pub fn dev_file() -> PathBuf {
        std::env::temp_dir().join("bankvalve-dev-client.json")
    }

    /// Reads the file that was named, or the one of the last `bankvalve dev`.
    ///
    /// # Errors
    ///
    /// Returns why there are no settings to use.
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
