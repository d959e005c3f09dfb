//! Error type of the start of an instance.

use std::fmt;

/// Step at which the start of an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServeFailure {
    /// The settings are invalid.
    Settings,
    /// An address could not be bound.
    Listen,
    /// A stop was requested while the instance waited for an address.
    Stopped,
    /// A thread could not be started.
    Thread,
}

impl fmt::Display for ServeFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ServeFailure::Settings => "step settings: expected settings that pass the check",
            ServeFailure::Listen => "step listen: expected a free address",
            ServeFailure::Stopped => "step listen: told to stop before an address was free",
            ServeFailure::Thread => "step thread: expected room for one more thread",
        })
    }
}

impl std::error::Error for ServeFailure {}
