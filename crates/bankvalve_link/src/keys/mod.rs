//! Authentication of callers, operators and peers.
//!
//! Each kind of link has its own header, and a link never checks the keys of
//! another kind. A caller sends a token; the settings hold only the token's
//! SHA-256 hash. An operator signs each command with Ed25519. Peers authenticate
//! each batch with an HMAC-SHA256 under a key that all instances share.

use std::collections::BTreeMap;
use std::time::Duration;

use ed25519_dalek::{Signature, Signer, SigningKey, Verifier, VerifyingKey};
use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum difference between the time of an operator's signature and an instance's clock.
pub const CLOCK_SLACK: Duration = Duration::from_secs(120);

/// Header with a caller's token.
const CALLER_HEADER: &str = "authorization";
/// Header with an operator's name, the time of the signature and the signature.
const OPERATOR_HEADER: &str = "bankvalve-operator";
/// Header with a peer's authentication code.
const PEER_HEADER: &str = "bankvalve-peer";

/// A caller's key in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerKey {
    /// Team that the key authenticates.
    pub team: String,
    /// SHA-256 of the token, in hexadecimal.
    pub token_sha256: String,
}

/// An operator's key in the settings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorKey {
    /// Name of the operator.
    pub name: String,
    /// Ed25519 public key, in hexadecimal.
    pub public_key: String,
}

/// Why a key was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFailure {
    /// The link's key header is missing.
    Missing,
    /// The header cannot be parsed.
    Malformed,
    /// The settings have no such caller or operator.
    Unknown,
    /// The signature or authentication code does not match the request.
    Wrong,
    /// The time of the signature differs from the instance's clock by more than [`CLOCK_SLACK`].
    Stale,
}

impl std::fmt::Display for KeyFailure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            KeyFailure::Missing => "expected this link's key header, found none",
            KeyFailure::Malformed => "expected a readable key header",
            KeyFailure::Unknown => "expected a key that the settings name",
            KeyFailure::Wrong => "expected a signature of this request",
            KeyFailure::Stale => "expected a signature of the last two minutes",
        })
    }
}

/// Authenticates batches to peers.
#[derive(Clone)]
pub struct PeerSigner {
    key: Vec<u8>,
}

impl std::fmt::Debug for PeerSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerSigner")
    }
}

impl PeerSigner {
    /// Creates a signer from the key that all instances share.
    pub fn new(key: &str) -> Self {
        let key = key.as_bytes().to_vec();
        Self { key }
    }

    /// Returns the name and value of the header for a request with this path and body.
    pub fn header(&self, path: &str, body: &[u8]) -> (&'static str, String) {
        let tag = self.mac(path, body).finalize().into_bytes();
        (PEER_HEADER, hex::encode(tag))
    }

    fn mac(&self, path: &str, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.key).expect("any length is accepted");
        mac.update(path.as_bytes());
        mac.update(&[0]);
        mac.update(body);
        mac
    }
}

/// Signs commands of an operator.
#[derive(Clone)]
pub struct OperatorSigner {
    name: String,
    key: SigningKey,
}

impl std::fmt::Debug for OperatorSigner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OperatorSigner")
            .field("name", &self.name)
            .finish()
    }
}

impl OperatorSigner {
    /// Creates a signer from an operator's name and secret key in hexadecimal.
    ///
    /// Returns `None` if the key is not 32 bytes in hexadecimal.
    ///
    /// # Examples
    ///
    /// ```
    /// use bankvalve_link::OperatorSigner;
    ///
    /// let signer = OperatorSigner::new("tess", &"07".repeat(32)).unwrap();
    /// assert_eq!(signer.public_key().len(), 64);
    /// ```
    pub fn new(name: &str, secret_key: &str) -> Option<Self> {
        let bytes: [u8; 32] = hex::decode(secret_key).ok()?.try_into().ok()?;
        Some(Self {
            name: name.to_owned(),
            key: SigningKey::from_bytes(&bytes),
        })
    }

    /// Returns the public key, in hexadecimal.
    pub fn public_key(&self) -> String {
        hex::encode(self.key.verifying_key().as_bytes())
    }
}

/// Returns the name and value of the header that signs an operator's command.
///
/// `unix_seconds` is the time of the signature in seconds since the Unix epoch.
pub fn sign_command(
    signer: &OperatorSigner,
    unix_seconds: u64,
    method: &str,
    path: &str,
    body: &[u8],
) -> (&'static str, String) {
    let text = command_text(unix_seconds, method, path, body);
    let signature = signer.key.sign(&text);
    let value = format!(
        "{} {unix_seconds} {}",
        signer.name,
        hex::encode(signature.to_bytes())
    );
    (OPERATOR_HEADER, value)
}

/// Returns the bytes that an operator signs.
fn command_text(unix_seconds: u64, method: &str, path: &str, body: &[u8]) -> Vec<u8> {
    let mut text = format!("bankvalve\n{unix_seconds}\n{method}\n{path}\n").into_bytes();
    text.extend_from_slice(body);
    text
}

/// The keys that an instance accepts, by kind of link.
#[derive(Clone, Debug)]
pub struct KeyRing {
    callers: BTreeMap<Vec<u8>, String>,
    operators: BTreeMap<String, VerifyingKey>,
    peers: PeerSigner,
}

impl KeyRing {
    /// Creates a key ring from the keys in the settings.
    ///
    /// # Errors
    ///
    /// Returns the path of the first malformed key within the key settings, such as
    /// `callers[2].token_sha256`.
    pub fn new(
        callers: &[CallerKey],
        operators: &[OperatorKey],
        peer_key: &str,
    ) -> Result<Self, String> {
        let mut ring = Self {
            callers: BTreeMap::new(),
            operators: BTreeMap::new(),
            peers: PeerSigner::new(peer_key),
        };
        for (index, key) in callers.iter().enumerate() {
            let hash = hex::decode(&key.token_sha256)
                .ok()
                .filter(|hash| hash.len() == 32);
            let hash = hash.ok_or_else(|| format!("callers[{index}].token_sha256"))?;
            ring.callers.insert(hash, key.team.clone());
        }
        for (index, key) in operators.iter().enumerate() {
            let location = || format!("operators[{index}].public_key");
            let bytes = hex::decode(&key.public_key)
                .ok()
                .and_then(|bytes| bytes.try_into().ok());
            let bytes: [u8; 32] = bytes.ok_or_else(location)?;
            let public = VerifyingKey::from_bytes(&bytes).map_err(|_| location())?;
            ring.operators.insert(key.name.clone(), public);
        }
        Ok(ring)
    }

    /// Returns the signer of batches to peers.
    pub fn peer_signer(&self) -> &PeerSigner {
        &self.peers
    }

    /// Checks a caller's token and returns its team.
    ///
    /// # Errors
    ///
    /// Returns why the key was not accepted.
    pub fn check_caller(&self, header: Option<&str>) -> Result<&str, KeyFailure> {
        let header = header.ok_or(KeyFailure::Missing)?;
        let token = header
            .strip_prefix("Bearer ")
            .ok_or(KeyFailure::Malformed)?;
        let hash = Sha256::digest(token.as_bytes()).to_vec();
        let team = self.callers.get(&hash).ok_or(KeyFailure::Unknown)?;
        Ok(team)
    }

    /// Checks the signature of a command and returns the name of the operator who signed it.
    ///
    /// # Errors
    ///
    /// Returns why the signature was not accepted.
    pub fn check_operator(
        &self,
        header: Option<&str>,
        now_seconds: u64,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> Result<&str, KeyFailure> {
        let header = header.ok_or(KeyFailure::Missing)?;
        let mut parts = header.split(' ');
        let mut part = || parts.next().ok_or(KeyFailure::Malformed);
        let (name, time, signature) = (part()?, part()?, part()?);
        let time: u64 = time.parse().map_err(|_| KeyFailure::Malformed)?;
        let bytes = hex::decode(signature)
            .ok()
            .and_then(|bytes| bytes.try_into().ok());
        let bytes: [u8; 64] = bytes.ok_or(KeyFailure::Malformed)?;
        let (name, key) = self
            .operators
            .get_key_value(name)
            .ok_or(KeyFailure::Unknown)?;
        if now_seconds.abs_diff(time) > CLOCK_SLACK.as_secs() {
            return Err(KeyFailure::Stale);
        }
        let text = command_text(time, method, path, body);
        key.verify(&text, &Signature::from_bytes(&bytes))
            .map_err(|_| KeyFailure::Wrong)?;
        Ok(name)
    }

    /// Checks the authentication code of a batch from a peer.
    ///
    /// # Errors
    ///
    /// Returns why the authentication code was not accepted.
    pub fn check_peer(
        &self,
        header: Option<&str>,
        path: &str,
        body: &[u8],
    ) -> Result<(), KeyFailure> {
        let header = header.ok_or(KeyFailure::Missing)?;
        let tag = hex::decode(header).ok().ok_or(KeyFailure::Malformed)?;
        let mac = self.peers.mac(path, body);
        mac.verify_slice(&tag).map_err(|_| KeyFailure::Wrong)
    }

    /// Returns the names of the key headers: caller, operator, peer.
    pub fn headers() -> (&'static str, &'static str, &'static str) {
        (CALLER_HEADER, OPERATOR_HEADER, PEER_HEADER)
    }
}
