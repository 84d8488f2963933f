//! Errors of the tool's commands.

use thiserror::Error;

/// Error that stops a command.
#[derive(Debug, Error)]
pub enum CliError {
    /// A node cannot be reached, or its response cannot be read.
    #[error("{address}: {source}")]
    Unreachable {
        /// The node's address.
        address: Box<str>,
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// A node answered with an error status, or in an unknown format.
    #[error("{address}: status {status}: {message}")]
    Refused {
        /// The node's address.
        address: Box<str>,
        /// The HTTP status code.
        status: u16,
        /// The node's error message, or the response body if there is none.
        message: Box<str>,
    },
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// Path of the file or directory.
        file: Box<str>,
        /// The I/O error.
        source: std::io::Error,
    },
    /// An argument has an invalid value.
    #[error("argument {name}: {reason}")]
    Argument {
        /// Name of the argument.
        name: &'static str,
        /// Description of the problem and of the expected value.
        reason: Box<str>,
    },
    /// The async runtime cannot be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// A benchmark failed.
    #[error("{0}")]
    Bench(#[from] crate::bench::BenchError),
    /// A node of the demonstration cannot be started.
    #[error("{0}")]
    Node(#[from] monsoonbank_daemon::error::NodeError),
    /// A stand-in of the demonstration cannot be started.
    #[error("cannot start a stand-in: {0}")]
    Standin(std::io::Error),
    /// A node of the demonstration had no configuration in force before the timeout.
    #[error("{node}: no configuration in force in time")]
    NotReady {
        /// Name of the node.
        node: Box<str>,
    },
    /// A node of a measured fleet did not show the expected state before the timeout.
    #[error("{node}: does not show {what} in time")]
    NotShown {
        /// Name of the node.
        node: Box<str>,
        /// Description of the expected state.
        what: &'static str,
    },
    /// A configuration change was not accepted.
    #[error("a change was not accepted: {answer}")]
    NotAccepted {
        /// The node's response.
        answer: Box<str>,
    },
    /// The HTTP client cannot be created.
    #[error("cannot create the HTTP client: {0}")]
    Client(reqwest::Error),
}
