//! Exit codes of the command-line tool.

use crate::error::CliError;

/// Result of a command, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded (0).
    Success,
    /// The command ran and found a problem, such as an invalid file, a conflict or a violated
    /// guarantee (3).
    ProblemFound,
    /// The command failed (1).
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
