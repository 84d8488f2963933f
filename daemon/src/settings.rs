//! Settings of the daemon: one YAML file, read once at startup.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::de::{DeserializeOwned, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::error::NodeError;

/// Bytes in one MB of memory.
const MEGABYTE: usize = 1 << 20;

/// Settings of a node, as written by its operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node; unique in the fleet, and the same as in the host list.
    pub name: Box<str>,
    /// Availability zone of the host.
    pub zone: Box<str>,
    /// Addresses on which the node accepts connections.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Secrets that authenticate nodes and operators.
    pub secrets: SecretSettings,
    /// Limits on the resources that callers can use.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Lowest severity that is logged: `error`, `warn`, `info`, `debug` or `trace`. Default: `info`.
    #[serde(default = "default_log_level")]
    pub log_level: log::LevelFilter,
}

/// Listen addresses, each an IP address and a port.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Listen address for callers.
    pub callers: SocketAddr,
    /// Listen address for other nodes.
    pub peers: SocketAddr,
    /// Listen address for operators.
    pub operators: SocketAddr,
}

/// Base URLs of the platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Base URL of the append-only log, for example `http://10.0.0.5:7000`.
    pub log: Box<str>,
    /// Base URL of the host list.
    pub hosts: Box<str>,
    /// Interval between two reads of the host list. Default: 1 s.
    #[serde(default = "default_poll", with = "humantime_serde")]
    pub hosts_poll: Duration,
}

/// Secrets. Their values appear in no state dump and no log.
#[derive(Clone, Serialize, Deserialize, derive_more::Debug)]
#[serde(deny_unknown_fields)]
pub struct SecretSettings {
    /// Key shared by all nodes, with which they authenticate each other.
    #[debug("\"…\"")]
    pub peer_key: Box<str>,
    /// Bearer token with which operators authenticate.
    #[debug("\"…\"")]
    pub operator_token: Box<str>,
}

/// Limits on the resources that callers can use.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Memory of the host, in bytes; in MB in the settings file.
    #[serde(
        rename = "memory_mb",
        serialize_with = "as_megabytes",
        deserialize_with = "megabytes"
    )]
    pub memory: usize,
    /// Maximum number of open calls.
    pub open_calls: usize,
    /// Maximum number of open connections on each of the HTTP listen addresses.
    pub connections: usize,
    /// Maximum number of unread answer bytes per call. A call whose caller exceeds it is cancelled.
    pub waiting_bytes: usize,
    /// Timeout for receiving the head of a request.
    #[serde(with = "humantime_serde")]
    pub head_timeout: Duration,
    /// Longest pause while receiving the body of a request.
    #[serde(with = "humantime_serde")]
    pub body_timeout: Duration,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            memory: default_memory(),
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

/// Memory of the smallest hosts that are supported, in bytes.
pub fn default_memory() -> usize {
    120 * MEGABYTE
}

/// Reads a size in MB, fractions allowed, as bytes.
pub fn megabytes<'de, D: Deserializer<'de>>(source: D) -> Result<usize, D::Error> {
    let value = f64::deserialize(source)?;
    let bytes = value * MEGABYTE as f64;
    if bytes.is_finite() && bytes >= 1.0 {
        Ok(bytes as usize)
    } else {
        Err(D::Error::custom("expected a size in MB above 0"))
    }
}

// The signature is serde's.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn as_megabytes<S: Serializer>(bytes: &usize, target: S) -> Result<S::Ok, S::Error> {
    target.serialize_f64(*bytes as f64 / MEGABYTE as f64)
}

fn default_poll() -> Duration {
    Duration::from_secs(1)
}

impl Settings {
    /// Reads and parses a settings file. Errors name the file, the line and the field.
    pub fn load(path: &Path) -> Result<Self, NodeError> {
        load_yaml(path)
    }

    /// Parses the text of a settings file; `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, NodeError> {
        parse_yaml(file, text)
    }
}

/// Reads and parses any YAML settings file. Errors name the file, the line and the field.
pub fn load_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, NodeError> {
    let file: Box<str> = path.display().to_string().into();
    let text = std::fs::read_to_string(path).map_err(|source| NodeError::SettingsUnreadable {
        file: file.clone(),
        source,
    })?;
    parse_yaml(&file, &text)
}

/// Parses the text of a YAML settings file; `file` is its name in errors.
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
