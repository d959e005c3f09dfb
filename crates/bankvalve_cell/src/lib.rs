//! Decides where work runs in a bankvalve cell, without any I/O.
//!
//! The crate is a state machine: it receives an event and the current time,
//! and returns actions. Threads, sockets and clocks are in the `bankvalve`
//! crate. The randomised tests of `bankvalve_check` run the same code under
//! virtual time.
//!
//! Start with [`instance::InstanceCore`], which combines membership, the
//! partitions that an entry instance owns and the ledger.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod contract;
pub mod ids;
pub mod instance;
pub mod ledger;
pub mod link;
pub mod machine;
pub mod membership;
pub mod owner;
pub mod placement;
pub mod refusal;
pub mod tally;
