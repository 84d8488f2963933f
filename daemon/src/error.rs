//! What can keep a node from starting.

use std::net::SocketAddr;

use thiserror::Error;

/// What can keep a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings file cannot be read.
    #[error("{file}: {source}")]
    SettingsUnread {
        /// The file.
        file: Box<str>,
        /// Why.
        source: std::io::Error,
    },
    /// The settings file is not valid.
    #[error("{file}:{line}: field `{field}`: {reason}")]
    SettingsInvalid {
        /// The file.
        file: Box<str>,
        /// The line, counted from 1.
        line: usize,
        /// The path of the field.
        field: Box<str>,
        /// What is wrong, and what was expected.
        reason: Box<str>,
    },
    /// A listen address cannot be had.
    #[error("cannot listen on {address} for {role}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who was to connect there.
        role: &'static str,
        /// Why.
        source: std::io::Error,
    },
    /// The HTTP client cannot be made.
    #[error("cannot make the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The operating system gave no random bytes.
    #[error("no random bytes: {0}")]
    Random(#[from] getrandom::Error),
    /// The logger cannot be set up.
    #[error("cannot set up logging: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// The async runtime cannot be made.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
}
