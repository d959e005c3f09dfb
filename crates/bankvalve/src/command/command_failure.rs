//! Why a command failed, and the exit code for it.

use std::fmt;
use std::process::ExitCode;

/// Kind of a failure; each has an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// What was asked was certainly not done: exit code 1.
    NotRun,
    /// A file or an argument is not as it must be: exit code 2.
    BadInput,
    /// It is not known whether it was done: exit code 3.
    Unknown,
    /// No entry instance could be reached: exit code 4.
    Unreachable,
}

/// A failed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandFailure {
    /// Its kind.
    pub kind: FailureKind,
    /// What went wrong and what was expected.
    pub text: String,
    /// When to come back, in milliseconds, if that may help.
    pub retry_after_ms: Option<u64>,
}

impl CommandFailure {
    /// Makes a failure.
    pub fn new(kind: FailureKind, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            kind,
            text,
            retry_after_ms: None,
        }
    }

    /// Makes a failure for a file that is not as it must be.
    pub fn file(path: &str, problem: impl fmt::Display) -> Self {
        Self::new(FailureKind::BadInput, format!("{path}: {problem}"))
    }

    /// The exit code.
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
