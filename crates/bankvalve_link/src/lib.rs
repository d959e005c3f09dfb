//! Carries messages between bankvalve, its callers, its workers and the platform.
//!
//! Start with [`HttpServer`], which bounds what a peer can cost, and
//! [`HttpClient`], which keeps connections open between exchanges. Messages
//! between processes are encoded by [`encode_message`]; [`KeyRing`] tells the
//! kinds of peers apart.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod keys;
mod server;
mod wire;

pub use client::{ClientFailure, ClientLimits, HeldNumber, HttpClient, HttpReply};
pub use keys::{
    sign_command, CallerKey, KeyFailure, KeyRing, OperatorKey, OperatorSigner, PeerSigner,
    CLOCK_SLACK,
};
pub use server::{
    listen, AnswerBody, HttpAnswer, HttpRequest, HttpServer, ServerCounters, ServerLimits,
    ServerTls,
};
pub use wire::{decode_message, encode_message, WIRE_TYPE};
