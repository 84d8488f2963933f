//! Errors that keep a node from starting.

use std::net::SocketAddr;

use thiserror::Error;

/// Error that keeps a node from starting.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The settings file cannot be read.
    #[error("{file}: {source}")]
    SettingsUnreadable {
        /// Path of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings file is not valid.
    #[error("{file}:{line}: field `{field}`: {reason}")]
    SettingsInvalid {
        /// Path of the file.
        file: Box<str>,
        /// Line number, counted from 1.
        line: usize,
        /// Path of the field within the file, such as `listen.peers`.
        field: Box<str>,
        /// Found and expected value.
        reason: Box<str>,
    },
    /// A listen address cannot be bound.
    #[error("cannot listen on {address} for {role}: {source}")]
    Listen {
        /// The listen address.
        address: SocketAddr,
        /// Kind of client that the address is for: callers, nodes or operators.
        role: &'static str,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client cannot be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The operating system supplied no random bytes.
    #[error("cannot get random bytes: {0}")]
    Random(#[from] getrandom::Error),
    /// The logger cannot be set up.
    #[error("cannot set up logging: {0}")]
    Logging(#[from] log::SetLoggerError),
    /// The async runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
}
