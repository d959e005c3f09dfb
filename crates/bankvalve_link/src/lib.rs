//! HTTP links between bankvalve, its callers, its workers and the platform.
//!
//! Start with [`HttpServer`], which limits connections and the size and time of requests,
//! and [`HttpClient`], which keeps connections open between calls.
//! [`encode_message`] encodes messages between processes. [`KeyRing`]
//! authenticates callers, operators and peers.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod keys;
mod server;
mod wire;

pub use client::{
    ClientFailure, ClientLimits, ConnectionCounts, HeldNumber, HttpClient, HttpReply, PostCall,
    ProcessCheck, ProcessTag,
};
pub use keys::{
    sign_command, CallerKey, KeyFailure, KeyRing, OperatorKey, OperatorSigner, PeerSigner,
    CLOCK_SLACK,
};
pub use server::{
    listen, AnswerBody, HttpAnswer, HttpRequest, HttpServer, ServerCounters, ServerLimits,
    ServerTls,
};
pub use wire::{decode_message, encode_message, WIRE_TYPE};
