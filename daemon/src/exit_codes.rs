//! Exit codes of the daemon.

use crate::error::NodeError;

/// How the daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// It left as planned.
    Success,
    /// The settings are wrong.
    Settings,
    /// It could not start.
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
            NodeError::SettingsUnread { .. } | NodeError::SettingsInvalid { .. } => Self::Settings,
            _ => Self::Start,
        }
    }
}
