//! The settings of a gateway: one YAML file.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use monsoonbank_kernel::gateway::budget::BudgetSpec;
use serde::{Deserialize, Deserializer};

use crate::error::NodeError;

/// Everything that a gateway is told by its operator.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The file that the settings come from.
    #[serde(skip)]
    pub file: PathBuf,
    /// The node's name; unique in the fleet.
    pub name: Box<str>,
    /// The availability zone that the host stands in.
    pub zone: Box<str>,
    /// Where the node listens.
    pub listen: ListenSettings,
    /// How it meets the other nodes.
    pub peers: PeerSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// What the host allows.
    pub limits: HostLimits,
    /// Bounds in time.
    pub times: TimeSettings,
    /// The fleet's budget for repeats.
    pub retries: RetrySettings,
    /// Calls to the platform that one node at a time makes; none if it has no such duties.
    #[serde(default)]
    pub duties: Option<DutySettings>,
}

/// Calls to the platform that are the duty of one node at a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Where they go.
    pub address: SocketAddr,
    /// Which duties there are.
    pub names: Vec<Box<str>>,
    /// Calls a second that the platform accepts, of all duties.
    pub calls_per_s: f64,
    /// How soon after another holder's last call the next holder may make one.
    #[serde(
        rename = "lease_ms",
        default = "default_lease",
        deserialize_with = "millis"
    )]
    pub lease: Duration,
    /// Length of a window of usage.
    #[serde(
        rename = "usage_window_s",
        default = "default_window",
        deserialize_with = "seconds"
    )]
    pub usage_window: Duration,
    /// Time after a window's end at which its report is due.
    #[serde(
        rename = "usage_late_s",
        default = "default_late",
        deserialize_with = "seconds"
    )]
    pub usage_late: Duration,
}

impl DutySettings {
    /// Whether the platform has a duty. Names of others are passed over: a platform may have duties that
    /// this version does not know.
    pub fn has(&self, name: DutyName) -> bool {
        let name = name.to_string();
        self.names.iter().any(|known| **known == *name)
    }
}

/// A duty that this version knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum DutyName {
    /// Reports of each workspace's usage.
    Usage,
    /// Orders of engines.
    Autoscale,
}

fn default_lease() -> Duration {
    Duration::from_secs(3)
}

fn default_window() -> Duration {
    Duration::from_secs(5)
}

fn default_late() -> Duration {
    Duration::from_secs(10)
}

/// Listen addresses, each an IP number and a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub ready: SocketAddr,
    /// For the question which address to use.
    pub lookup: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// Port for metrics, on the address of `callers`.
    pub metrics_port: u16,
}

/// How a node meets the others.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The node's own address.
    pub ip: IpAddr,
    /// First and last port that are free for the nodes' own traffic.
    pub ports: [u16; 2],
    /// Addresses of a few hosts that may run nodes; their port is not used.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
}

/// What the host allows a process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostLimits {
    /// Open descriptors.
    pub descriptors: usize,
    /// Processor time, in cores.
    pub cores: f64,
}

/// Bounds in time.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// How long the store must have been well before a missing entry counts.
    #[serde(rename = "trust_ms", deserialize_with = "millis")]
    pub trust: Duration,
    /// Between the signal to stop and the end of the process.
    #[serde(rename = "grace_ms", deserialize_with = "millis")]
    pub grace: Duration,
}

/// The fleet's budget for repeats, for each pool.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats for each call in the window.
    pub ratio: f64,
    /// Repeats that are free in a window.
    pub slack: f64,
    /// Length of the window.
    #[serde(rename = "window_s", deserialize_with = "seconds")]
    pub window: Duration,
}

impl RetrySettings {
    /// As the kernel takes it.
    pub fn spec(&self) -> BudgetSpec {
        BudgetSpec {
            ratio: self.ratio,
            slack: self.slack,
            window: self.window,
        }
    }
}

fn millis<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    let value = f64::deserialize(source)?;
    Duration::try_from_secs_f64(value / 1000.0).map_err(serde::de::Error::custom)
}

fn seconds<'de, D: Deserializer<'de>>(source: D) -> Result<Duration, D::Error> {
    let value = f64::deserialize(source)?;
    Duration::try_from_secs_f64(value).map_err(serde::de::Error::custom)
}

impl GatewaySettings {
    /// Reads a settings file. Errors name the file, the line and the field.
    pub fn load(path: &Path) -> Result<Self, NodeError> {
        let mut settings: Self = crate::settings::load_yaml(path)?;
        settings.file = path.into();
        Ok(settings)
    }

    /// Where this node hears heartbeats of other nodes, and serves them what it has read.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peers.ip, self.peers.ports[0])
    }
}
