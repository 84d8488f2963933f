//! Exit codes of the daemon.

use crate::error::NodeError;

/// Exit status of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Graceful shutdown, or valid settings with `--check`: code 0.
    Success,
    /// The settings cannot be read or are invalid: code 2.
    Settings,
    /// The node could not start for any other reason: code 1.
    Start,
}

impl From<ExitCode> for std::process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::Settings => 2,
            ExitCode::Start => 1,
        })
    }
}

impl From<&NodeError> for ExitCode {
    fn from(error: &NodeError) -> Self {
        match error {
            NodeError::SettingsUnreadable { .. } | NodeError::SettingsInvalid { .. } => {
                Self::Settings
            }
            _ => Self::Start,
        }
    }
}
