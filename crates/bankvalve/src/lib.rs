//! The bankvalve binary: command line, settings, threads, links and metrics.
//!
//! The decisions are in `bankvalve_cell`; [`serve`] puts threads, sockets and
//! clocks around them. [`settings`] reads what an instance is told, and
//! [`command`] is the command line.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
pub mod command;
#[cfg(feature = "dev")]
pub mod dev;
pub mod entry;
pub mod logging;
pub mod metrics;
pub mod serve;
pub mod settings;
