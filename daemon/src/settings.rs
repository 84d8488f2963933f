//! The daemon's settings: one YAML file, read once at the start.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::NodeError;

/// Everything that a node is told by its operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name; unique in the fleet and the same as in the host list.
    pub name: Box<str>,
    /// The availability zone that the host stands in.
    pub zone: Box<str>,
    /// Where the node listens.
    pub listen: ListenSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// What proves who is who.
    pub secrets: SecretSettings,
    /// Bounds on what callers may use up.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Least severity that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// Listen addresses, each an IP number and a port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// Base addresses of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The append-only log, for example `http://10.0.0.5:7000`.
    pub log: Box<str>,
    /// The host list.
    pub hosts: Box<str>,
    /// Time between two looks at the host list.
    #[serde(default = "default_poll", with = "humantime_serde")]
    pub hosts_poll: Duration,
}

/// Secrets; never dumped or logged.
#[derive(Clone, Serialize, Deserialize, derive_more::Debug)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// The key that nodes prove to each other.
    #[debug("\"…\"")]
    pub peer_key: Box<str>,
    /// The bearer token of operators.
    #[debug("\"…\"")]
    pub operator_token: Box<str>,
}

/// Bounds on what callers may use up.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Most calls open at a time.
    pub open_calls: usize,
    /// Most connections of callers at a time.
    pub connections: usize,
    /// Most bytes of answers that wait for one slow caller.
    pub waiting_bytes: usize,
    /// Longest wait for a request's head.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Longest pause within a request's body.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            open_calls: 20_000,
            connections: 20_000,
            waiting_bytes: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
        }
    }
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn default_poll() -> Duration {
    Duration::from_secs(1)
}

impl Settings {
    /// Reads a settings file. Errors name the file, the line and the field.
    pub fn load(path: &Path) -> Result<Self, NodeError> {
        load_yaml(path)
    }

    /// Parses the text of the settings file called `file`.
    pub fn parse(file: &str, text: &str) -> Result<Self, NodeError> {
        parse_yaml(file, text)
    }
}

/// Reads any settings file. Errors name the file, the line and the field.
pub fn load_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, NodeError> {
    let file: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|source| NodeError::SettingsUnread {
        file: file.clone(),
        source,
    })?;
    parse_yaml(&file, &text)
}

/// Parses the text of the settings file called `file`.
pub fn parse_yaml<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, NodeError> {
    let parser = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(parser).map_err(|error| {
        let line = error
            .inner()
            .location()
            .map_or(1, |location| location.line());
        NodeError::SettingsInvalid {
            file: file.into(),
            line,
            field: error.path().to_string().into(),
            reason: error.inner().to_string().into(),
        }
    })
}
