//! Command failures and their exit codes.

use std::fmt;
use std::process::ExitCode;

/// Kind of a failure, which determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// The command is known not to have taken effect: exit code 1.
    NotRun,
    /// A file or an argument is invalid: exit code 2.
    BadInput,
    /// The command may or may not have taken effect: exit code 3.
    Unknown,
    /// No entry instance could be reached: exit code 4.
    Unreachable,
}

/// A failed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandFailure {
    /// Kind of the failure.
    pub kind: FailureKind,
    /// What went wrong and what was expected.
    pub text: String,
    /// Delay before a retry in milliseconds, or `None` if the answer named none.
    pub retry_after_ms: Option<u64>,
}

impl CommandFailure {
    /// Creates a failure without a retry delay.
    pub fn new(kind: FailureKind, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            kind,
            text,
            retry_after_ms: None,
        }
    }

    /// Creates a `BadInput` failure for a file that is invalid or cannot be accessed.
    pub fn file(path: &str, problem: impl fmt::Display) -> Self {
        Self::new(FailureKind::BadInput, format!("{path}: {problem}"))
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self.kind {
            FailureKind::NotRun => 1,
            FailureKind::BadInput => 2,
            FailureKind::Unknown => 3,
            FailureKind::Unreachable => 4,
        })
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for CommandFailure {}
