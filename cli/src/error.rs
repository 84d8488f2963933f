//! What can keep a command from doing what was asked.

use thiserror::Error;

/// What can keep a command from doing what was asked.
#[derive(Debug, Error)]
pub enum CliError {
    /// A node cannot be reached, or its answer cannot be read.
    #[error("{address}: {source}")]
    Unreachable {
        /// The node's address.
        address: Box<str>,
        /// Why.
        source: reqwest::Error,
    },
    /// A node refused the request.
    #[error("{address}: status {status}: {message}")]
    Refused {
        /// The node's address.
        address: Box<str>,
        /// The HTTP status.
        status: u16,
        /// The node's message.
        message: Box<str>,
    },
    /// A file cannot be read or written.
    #[error("{file}: {source}")]
    File {
        /// The file.
        file: Box<str>,
        /// Why.
        source: std::io::Error,
    },
    /// An argument has no usable value.
    #[error("argument {name}: {reason}")]
    Argument {
        /// The argument.
        name: &'static str,
        /// What is wrong, and what was expected.
        reason: Box<str>,
    },
    /// The async runtime cannot be made.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// A measurement cannot be made.
    #[error("{0}")]
    Bench(#[from] crate::bench::BenchError),
    /// A node of the demonstration cannot be started.
    #[error("{0}")]
    Node(#[from] monsoonbank_daemon::error::NodeError),
    /// A stand-in of the demonstration cannot be started.
    #[error("cannot start a stand-in: {0}")]
    Standin(std::io::Error),
    /// A node of the demonstration has no configuration in force.
    #[error("{node}: no configuration in force in time")]
    NotReady {
        /// The node.
        node: Box<str>,
    },
    /// A node of a measured fleet does not show what it should.
    #[error("{node}: does not show {what} in time")]
    NotShown {
        /// The node.
        node: Box<str>,
        /// What it should show.
        what: &'static str,
    },
    /// A change of configuration was not accepted.
    #[error("a change was not accepted: {answer}")]
    NotAccepted {
        /// The node's answer.
        answer: Box<str>,
    },
    /// The HTTP client cannot be made.
    #[error("cannot make the HTTP client: {0}")]
    Client(reqwest::Error),
}
