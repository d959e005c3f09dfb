//! HTTP client for the versioned API of the entry instances.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use attohttpc::{Method, RequestBuilder};
use bankvalve_link::{sign_command, OperatorSigner};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::CertificateDer;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{ClientSettings, CommandFailure, FailureKind};
use crate::api::ErrorBody;

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for a complete call to one instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// API client that tries the configured entry instances in order.
///
/// It moves on to the next instance only if the connection fails. Once a request has been sent, a call
/// without an answer is an error, because the request may have taken effect.
#[derive(Clone, Debug)]
pub struct ApiClient {
    settings: ClientSettings,
    signer: Option<OperatorSigner>,
    certificate: Option<CertificateDer<'static>>,
}

/// Whose credentials authorize a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallAs<'a> {
    /// A team, by its token. The operator's key is used if there is no token for the team.
    Team(&'a str),
    /// The operator, by a signature.
    Operator,
}

impl ApiClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns an error if the operator's key is malformed.
    pub fn new(settings: ClientSettings) -> Result<Self, CommandFailure> {
        let signer = match &settings.operator {
            None => None,
            Some(operator) => {
                let signer = OperatorSigner::new(&operator.name, &operator.secret_key);
                let text = "operator.secret_key: expected 64 hexadecimal digits";
                let failure = || CommandFailure::new(FailureKind::BadInput, text);
                Some(signer.ok_or_else(failure)?)
            }
        };
        let certificate = match &settings.certificate {
            None => None,
            Some(text) => {
                let read = CertificateDer::from_pem_slice(text.as_bytes());
                let problem = "certificate: expected a certificate in PEM";
                let failure = |_| CommandFailure::new(FailureKind::BadInput, problem);
                Some(read.map_err(failure)?)
            }
        };
        Ok(Self {
            settings,
            signer,
            certificate,
        })
    }

    /// Sends a request to a path and parses the JSON answer.
    ///
    /// A status other than 2xx is returned as a failure.
    pub(crate) fn call<T: DeserializeOwned>(
        &self,
        call_as: CallAs<'_>,
        method: &Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
    ) -> Result<T, CommandFailure> {
        let (status, bytes) = self.send_request(call_as, method, path, headers, body)?;
        if (200..300).contains(&status) {
            return serde_json::from_slice(&bytes).map_err(|error| {
                let text = format!("{path}: the answer cannot be read: {error}");
                CommandFailure::new(FailureKind::Unknown, text)
            });
        }
        Err(failure_from_response(status, &bytes))
    }

    /// Sends a `POST` request with a JSON body.
    pub(crate) fn post<T: DeserializeOwned>(
        &self,
        call_as: CallAs<'_>,
        path: &str,
        body: &Value,
    ) -> Result<T, CommandFailure> {
        let body = body.to_string().into_bytes();
        self.call(call_as, &Method::POST, path, &[], &body)
    }

    /// Sends a `GET` request.
    pub(crate) fn get<T: DeserializeOwned>(
        &self,
        call_as: CallAs<'_>,
        path: &str,
    ) -> Result<T, CommandFailure> {
        self.call(call_as, &Method::GET, path, &[], &[])
    }

    fn send_request(
        &self,
        call_as: CallAs<'_>,
        method: &Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: &[u8],
    ) -> Result<(u16, Vec<u8>), CommandFailure> {
        let mut last = String::new();
        for entry in &self.settings.entries {
            let url = format!("{}{path}", entry.trim_end_matches('/'));
            let mut builder = RequestBuilder::new(method.clone(), &url)
                .connect_timeout(CONNECT_TIMEOUT)
                .timeout(CALL_TIMEOUT);
            if let Some(certificate) = &self.certificate {
                builder = builder.add_root_certificate(certificate.clone());
            }
            for (name, value) in headers {
                builder = builder.header(*name, value);
            }
            let (name, value) = self.auth_header(call_as, method, path, body)?;
            let sent = builder.header(name, value).bytes(body.to_vec()).send();
            match sent {
                Ok(response) => {
                    let status = response.status().as_u16();
                    let read = response.bytes();
                    return read.map(|bytes| (status, bytes)).map_err(|error| {
                        let text = format!("{url}: the answer was cut off: {error}");
                        CommandFailure::new(FailureKind::Unknown, text)
                    });
                }
                Err(error) if is_connect_error(&error) => last = format!("{url}: {error}"),
                Err(error) => {
                    let text = format!("{url}: no answer: {error}");
                    return Err(CommandFailure::new(FailureKind::Unknown, text));
                }
            }
        }
        Err(CommandFailure::new(FailureKind::Unreachable, last))
    }

    fn auth_header(
        &self,
        call_as: CallAs<'_>,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<(&'static str, String), CommandFailure> {
        match call_as {
            CallAs::Team(team) => match (self.settings.tokens.get(team), &self.signer) {
                (Some(token), _) => Ok(("authorization", format!("Bearer {token}"))),
                (None, Some(_)) => self.auth_header(CallAs::Operator, method, path, body),
                (None, None) => {
                    let text = format!("tokens: expected a token of team {team}");
                    Err(CommandFailure::new(FailureKind::BadInput, text))
                }
            },
            CallAs::Operator => {
                let text = "operator: expected an operator's name and key";
                let failure = || CommandFailure::new(FailureKind::BadInput, text);
                let signer = self.signer.as_ref().ok_or_else(failure)?;
                let since = SystemTime::now().duration_since(UNIX_EPOCH);
                let seconds = since.map_or(0, |since| since.as_secs());
                Ok(sign_command(signer, seconds, method.as_str(), path, body))
            }
        }
    }
}

fn is_connect_error(error: &attohttpc::Error) -> bool {
    match error.kind() {
        attohttpc::ErrorKind::ConnectError { .. } => true,
        attohttpc::ErrorKind::Io(io) => io.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

fn failure_from_response(status: u16, bytes: &[u8]) -> CommandFailure {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(bytes) else {
        let text = format!("status {status}: {}", String::from_utf8_lossy(bytes).trim());
        return CommandFailure::new(FailureKind::NotRun, text);
    };
    let error = body.error;
    let mut text = format!("{}: {}", error.step, error.reason);
    if let Some(field) = &error.field {
        text.push_str(&format!(": {field}"));
    }
    text.push_str(&format!(": {}", error.detail));
    if let Some(wait) = error.retry_after_ms {
        text.push_str(&format!("; come back in {wait} ms"));
    }
    let kind = if error.outcome == "unknown" {
        FailureKind::Unknown
    } else {
        FailureKind::NotRun
    };
    CommandFailure {
        retry_after_ms: error.retry_after_ms,
        ..CommandFailure::new(kind, text)
    }
}
