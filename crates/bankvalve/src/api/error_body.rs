//! The one shape that errors have.

use bankvalve_cell::link::Refusal;
use bankvalve_cell::refusal::RefusalReason;
use bankvalve_link::HttpAnswer;
use serde::{Deserialize, Serialize};

/// Content type of JSON.
pub(crate) const JSON: &str = "application/json";

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// `not_run`: certainly not done. `unknown`: it may have been done.
    pub outcome: String,
    /// Reason, from one list; docs/API.md has all of them.
    pub reason: String,
    /// What was expected, or what is missing.
    pub detail: String,
    /// The field at fault, if one is.
    pub field: Option<String>,
    /// Step at which it arose.
    pub step: String,
    /// Peer at which it arose, if it was not this instance.
    pub peer: Option<String>,
    /// When to come back, in milliseconds; none if coming back does not help.
    pub retry_after_ms: Option<u64>,
}

/// Body of an answer that is an error.
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
    /// What went wrong.
    pub error: ErrorDetail,
    /// Status code of the answer.
    #[serde(skip)]
    status: u16,
}

impl ErrorBody {
    /// A refusal: certainly not done.
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

    /// It may or may not have been done.
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

    /// Names the peer at which it arose.
    pub fn at_peer(mut self, peer: &str) -> Self {
        self.error.peer = Some(peer.into());
        self
    }

    /// The answer.
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
