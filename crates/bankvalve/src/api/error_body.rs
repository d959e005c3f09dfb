//! JSON body that all error answers have.

use bankvalve_cell::link::Refusal;
use bankvalve_cell::refusal::RefusalReason;
use bankvalve_link::HttpAnswer;
use serde::{Deserialize, Serialize};

/// Content type of JSON bodies.
pub(crate) const JSON: &str = "application/json";

/// Description of an error.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// `not_run` if the request is known not to have had any effect; `unknown` if it may have had an effect.
    pub outcome: String,
    /// Reason, one of the list in docs/API.md.
    pub reason: String,
    /// What was expected or is missing.
    pub detail: String,
    /// Path of the invalid field, if a single field is invalid.
    pub field: Option<String>,
    /// Step that failed.
    pub step: String,
    /// Peer that reported the error, or `None` if it arose in this instance.
    pub peer: Option<String>,
    /// Time after which to retry, in milliseconds, or `None` if a retry does not help.
    pub retry_after_ms: Option<u64>,
}

/// Body of an error answer.
///
/// # Examples
///
/// ```
/// use bankvalve::api::ErrorBody;
/// use bankvalve_cell::link::Refusal;
/// use bankvalve_cell::refusal::RefusalReason;
///
/// let refusal = Refusal::temporary(RefusalReason::NoOwner, "changing hands", 2_000);
/// let answer = ErrorBody::refused("submit", refusal).answer();
/// assert_eq!((answer.status, answer.retry_after_ms), (503, Some(2_000)));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Description of the error.
    pub error: ErrorDetail,
    /// HTTP status of the answer.
    #[serde(skip)]
    status: u16,
}

impl ErrorBody {
    /// Creates the body of a refusal: the request is known not to have had any effect.
    pub fn refused(step: &str, refusal: Refusal) -> Self {
        Self {
            status: status_of(refusal.reason),
            error: ErrorDetail {
                outcome: "not_run".into(),
                reason: refusal.reason.as_str().into(),
                detail: refusal.detail,
                field: refusal.field,
                step: step.into(),
                peer: None,
                retry_after_ms: refusal.retry_after_ms,
            },
        }
    }

    /// Creates the body of an answer with unknown outcome: the request may have had an effect.
    pub fn unknown(step: &str, detail: &str) -> Self {
        Self {
            status: 504,
            error: ErrorDetail {
                outcome: "unknown".into(),
                reason: "unknown".into(),
                detail: detail.into(),
                field: None,
                step: step.into(),
                peer: None,
                retry_after_ms: None,
            },
        }
    }

    /// Sets the peer that reported the error.
    pub fn at_peer(mut self, peer: &str) -> Self {
        self.error.peer = Some(peer.into());
        self
    }

    /// Converts the body to an HTTP answer.
    pub fn answer(&self) -> HttpAnswer {
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut answer = HttpAnswer::new(self.status, JSON, text);
        answer.retry_after_ms = self.error.retry_after_ms;
        answer
    }
}

fn status_of(reason: RefusalReason) -> u16 {
    match reason {
        RefusalReason::Malformed => 400,
        RefusalReason::NotAllowed => 403,
        RefusalReason::UnknownTeam
        | RefusalReason::UnknownJob
        | RefusalReason::UnknownService
        | RefusalReason::UnknownWorker => 404,
        RefusalReason::JobConflict | RefusalReason::VersionConflict => 409,
        RefusalReason::CanNeverRun | RefusalReason::RuleForbids => 422,
        RefusalReason::QuotaExceeded | RefusalReason::NoFreeSlot | RefusalReason::QueueFull => 429,
        RefusalReason::DeadlinePassed => 504,
        _ => 503,
    }
}
