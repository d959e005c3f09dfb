//! Interface to the platform's protocol: functions that encode requests as HTTP calls and decode replies.

use crate::caller::{CallerAnswer, DenialReason, ResolvedRequest};
use crate::ids::{FenceToken, WorkerId};
use crate::queue_table::QueueTable;
use crate::store::{StoreOutcome, StoreRequest};
use crate::worker::{AdviceAnswer, AdviceRequest, WorkerAnswer, WorkerCall};

/// An outgoing HTTP call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WireCall {
    /// Method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// An incoming HTTP request.
#[derive(Clone, Copy, Debug)]
pub struct WireRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Host that the request names.
    pub host: &'a str,
    /// Headers, with names in lower case.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
}

impl WireRequest<'_> {
    /// Returns the value of a header, or `None` if the request does not have it. `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| *value)
    }
}

/// An outgoing HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireAnswer {
    /// Status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_ms: Option<u64>,
}

/// Why a caller's request is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The configuration denies the request, but a newer one may accept it.
    Denied {
        /// Why it is denied.
        reason: DenialReason,
        /// Response to the caller once the configuration is known to be the newest.
        answer: WireAnswer,
        /// How long the caller waits, in milliseconds.
        patience_ms: u64,
    },
    /// The request is refused with this response, without a check for a newer configuration.
    Refused(WireAnswer),
}

impl RequestFault {
    /// Returns the response to the caller. The response to a denied request may be sent only once the
    /// configuration is known to be the newest.
    pub fn into_answer(self) -> WireAnswer {
        match self {
            RequestFault::Denied { answer, .. } | RequestFault::Refused(answer) => answer,
        }
    }
}

/// Outcome of an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireReply {
    /// A complete response arrived.
    Answer {
        /// Status code.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The call was not sent: the port refused the connection, so no process listens there.
    PortRefused,
    /// The call was not sent: no connection could be opened, in time or at all.
    NotSent,
    /// No complete response arrived. The call may have been received.
    NoReply,
}

/// The platform's protocol, as function pointers that tests replace with fakes.
#[derive(Clone, Copy)]
pub struct PlatformPort {
    /// Encodes a request to the table as an HTTP call.
    pub store_call: fn(&StoreRequest) -> WireCall,
    /// Decodes the reply to a request to the table.
    pub store_outcome: fn(&StoreRequest, &WireReply) -> StoreOutcome,
    /// Encodes a call to a worker as an HTTP call.
    pub worker_call: fn(&WorkerId, FenceToken, &WorkerCall) -> WireCall,
    /// Decodes the reply to a call to a worker.
    pub worker_answer: fn(&WorkerCall, &WireReply) -> WorkerAnswer,
    /// Encodes a request to the policy service as an HTTP call.
    pub advice_call: fn(&AdviceRequest) -> WireCall,
    /// Decodes the reply to a request to the policy service.
    pub advice_answer: fn(&WireReply) -> AdviceAnswer,
    /// Decodes a caller's request, or returns why it is not accepted.
    pub read_request: fn(&WireRequest<'_>, &QueueTable) -> Result<ResolvedRequest, RequestFault>,
    /// Encodes the answer to a caller.
    pub write_answer: fn(&CallerAnswer) -> WireAnswer,
    /// Decodes a configuration in the operator's format; `None` if it cannot be decoded.
    pub read_table: fn(&[u8]) -> Option<QueueTable>,
    /// Path of the platform's readiness check.
    pub ready_path: &'static str,
}

impl std::fmt::Debug for PlatformPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformPort")
    }
}
