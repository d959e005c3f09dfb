//! Decides where work runs in a bankvalve cell, without any I/O.
//!
//! Everything here is a plain state machine: an event and the time go in,
//! actions come out. The threads, sockets and clocks live in the `bankvalve`
//! crate; the randomised runs of `bankvalve_check` drive the same code under
//! virtual time.
//!
//! Start with [`instance::InstanceCore`], which ties together membership,
//! the partitions that an entry instance owns and the ledger.

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
