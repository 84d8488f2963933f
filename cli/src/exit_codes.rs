//! Exit codes of the command-line tool.

use crate::error::CliError;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It did what was asked.
    Success,
    /// It found what it was asked to look for: an invalid file, a conflict, a broken promise.
    ProblemFound,
    /// It could not do what was asked.
    Failure,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::ProblemFound => 3,
        })
    }
}

impl From<&CliError> for ExitCode {
    fn from(_error: &CliError) -> Self {
        Self::Failure
    }
}
