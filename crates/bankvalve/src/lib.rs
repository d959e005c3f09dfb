//! The bankvalve binary: command line, settings, threads, links and metrics.
//!
//! The scheduling decisions of a cell are made in `bankvalve_cell`; [`serve`] runs them with threads,
//! sockets and clocks. [`settings`] parses and validates the settings of an instance, and [`command`]
//! is the command line.

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
