//! The product's side of the platform: closures that turn requests into calls and answers back.

use crate::caller::{CallerAnswer, DenialReason, ResolvedRequest};
use crate::ids::{FenceToken, WorkerId};
use crate::queue_table::QueueTable;
use crate::store::{StoreOutcome, StoreRequest};
use crate::worker::{AdviceAnswer, AdviceRequest, WorkerAnswer, WorkerCall};

/// An HTTP call as it goes out.
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

/// An HTTP request as it came in.
#[derive(Clone, Copy, Debug)]
pub struct WireRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Host that it names.
    pub host: &'a str,
    /// Headers, with their names in lower case.
    pub headers: &'a [(&'a str, &'a str)],
    /// Body.
    pub body: &'a [u8],
}

impl WireRequest<'_> {
    /// A header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| *known == name);
        found.map(|(_, value)| *value)
    }
}

/// An HTTP answer as it goes out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WireAnswer {
    /// Status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: &'static str,
    /// Body.
    pub body: Vec<u8>,
    /// When to come back, in milliseconds.
    pub retry_ms: Option<u64>,
}

/// What is wrong with a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestFault {
    /// The configuration denies it; a newer one may not.
    Denied {
        /// Why.
        reason: DenialReason,
        /// What to say once it is known that this one is the newest.
        answer: WireAnswer,
        /// Time that the caller waits, in milliseconds.
        patience_ms: u64,
    },
    /// It is refused as it is.
    Refused(WireAnswer),
}

impl RequestFault {
    /// What to say to the caller; of a denial, once it is known that the configuration is the newest.
    pub fn into_answer(self) -> WireAnswer {
        match self {
            RequestFault::Denied { answer, .. } | RequestFault::Refused(answer) => answer,
        }
    }
}

/// What became of an HTTP call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireReply {
    /// A whole answer.
    Answer {
        /// Status code.
        status: u16,
        /// Body.
        body: Vec<u8>,
    },
    /// The port refused the connection: nothing listens there, and it was not sent.
    PortRefused,
    /// No connection could be made, in time or at all, so it was not sent.
    NotSent,
    /// It may have been received.
    NoReply,
}

/// The platform's manner of speaking, as closures; tests put fakes in their place.
#[derive(Clone, Copy)]
pub struct PlatformPort {
    /// Turns a request to the table into a call.
    pub store_call: fn(&StoreRequest) -> WireCall,
    /// Turns its reply into an outcome.
    pub store_outcome: fn(&StoreRequest, &WireReply) -> StoreOutcome,
    /// Turns a call to a worker into an HTTP call.
    pub worker_call: fn(&WorkerId, FenceToken, &WorkerCall) -> WireCall,
    /// Turns its reply into an answer.
    pub worker_answer: fn(&WorkerCall, &WireReply) -> WorkerAnswer,
    /// Turns a question to the policy service into a call.
    pub advice_call: fn(&AdviceRequest) -> WireCall,
    /// Turns its reply into an answer.
    pub advice_answer: fn(&WireReply) -> AdviceAnswer,
    /// Reads a caller's request, or says what is wrong with it.
    pub read_request: fn(&WireRequest<'_>, &QueueTable) -> Result<ResolvedRequest, RequestFault>,
    /// Writes the answer to a caller.
    pub write_answer: fn(&CallerAnswer) -> WireAnswer,
    /// Reads a configuration as the operator wrote it.
    pub read_table: fn(&[u8]) -> Option<QueueTable>,
    /// Path at which the platform asks whether the instance is ready.
    pub ready_path: &'static str,
}

impl std::fmt::Debug for PlatformPort {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PlatformPort")
    }
}
