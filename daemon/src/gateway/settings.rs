//! Settings of a gateway, read from one YAML file.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use monsoonbank_kernel::gateway::budget::BudgetSpec;
use serde::{Deserialize, Deserializer};

use crate::error::NodeError;
use crate::settings::default_memory;

/// Settings that the operator gives a gateway.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// File that the settings were read from.
    #[serde(skip)]
    pub file: PathBuf,
    /// Name of the node; unique in the fleet.
    pub name: Box<str>,
    /// Availability zone of the host.
    pub zone: Box<str>,
    /// Addresses that the node listens on.
    pub listen: ListenSettings,
    /// Addresses for the traffic between nodes.
    pub peers: PeerSettings,
    /// Address of the platform's store.
    pub store: StoreSettings,
    /// Resources that the host grants the process.
    pub limits: HostLimits,
    /// Time limits on trust in the store and on the shutdown.
    pub times: TimeSettings,
    /// Retry budget of the fleet.
    pub retries: RetrySettings,
    /// Calls to the platform that one node at a time makes; `None` if the platform has none.
    #[serde(default)]
    pub duties: Option<DutySettings>,
}

/// Settings of the duties, which are calls to the platform that one node at a time makes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DutySettings {
    /// Address that the calls are sent to.
    pub address: SocketAddr,
    /// Names of the duties; unknown names are ignored.
    pub names: Vec<Box<str>>,
    /// Calls per second that the platform accepts, for all duties together.
    pub calls_per_s: f64,
    /// Whether pools whose slots run out are ordered by a forecast of their demand, at a lower price
    /// and with fewer engines in reserve for a surge.
    #[serde(default)]
    pub forecast: bool,
    /// Length of the lease: a holder makes no call earlier than this after another holder's last.
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
    /// Time after the end of a window until which its report is in time.
    #[serde(
        rename = "usage_late_s",
        default = "default_late",
        deserialize_with = "seconds"
    )]
    pub usage_late: Duration,
}

impl DutySettings {
    /// Returns whether the settings list a duty. Unknown names are ignored, since a platform may
    /// have duties that this version does not implement.
    pub fn has(&self, name: DutyName) -> bool {
        let name = name.to_string();
        self.names.iter().any(|known| **known == *name)
    }
}

/// Duty that this version implements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum DutyName {
    /// Reporting each workspace's usage to the platform.
    Usage,
    /// Ordering the engines of each pool from the platform.
    Autoscale,
}

/// Slowest link of a host that is supported.
fn default_link() -> f64 {
    10.0
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

/// Listen addresses, each an IP address and a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address for lookups of the addresses that callers may use.
    pub lookup: SocketAddr,
    /// Address for operators' requests.
    pub operators: SocketAddr,
    /// Port for metrics, on the IP address of `callers`.
    pub metrics_port: u16,
}

/// Addresses for the traffic between nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// IP address of this node.
    pub ip: IpAddr,
    /// First and last port that the nodes may use among themselves.
    pub ports: [u16; 2],
    /// Addresses of a few hosts that may run nodes, which a starting node contacts first; their
    /// port is ignored.
    pub seeds: Vec<SocketAddr>,
}

/// Location of the platform's store.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

/// Resources that the host grants the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostLimits {
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Processor time, in cores.
    pub cores: f64,
    /// Bandwidth of the host's link, in Mbit/s.
    #[serde(default = "default_link")]
    pub link_mbps: f64,
    /// Memory, in bytes; in MB in the settings file.
    #[serde(
        rename = "memory_mb",
        default = "default_memory",
        deserialize_with = "crate::settings::megabytes"
    )]
    pub memory: usize,
}

/// Time limits of the node, in milliseconds in the settings file.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeSettings {
    /// Time for which the store must have been reachable before a missing entry means that its
    /// upstream has left.
    #[serde(rename = "trust_ms", deserialize_with = "millis")]
    pub trust: Duration,
    /// Time between the signal to stop and the end of the process.
    #[serde(rename = "grace_ms", deserialize_with = "millis")]
    pub grace: Duration,
    /// Interval at which upstreams write their entries; `None` if it is not known.
    #[serde(
        default,
        rename = "entry_interval_ms",
        deserialize_with = "some_millis"
    )]
    pub entry_interval: Option<Duration>,
}

/// Retry budget of the fleet, for each pool.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries in the window for each call in it.
    pub ratio: f64,
    /// Retries in a window that are permitted regardless of the number of calls.
    pub slack: f64,
    /// Length of the sliding window in which calls and retries are counted.
    #[serde(rename = "window_s", deserialize_with = "seconds")]
    pub window: Duration,
}

impl RetrySettings {
    /// Converts the settings to the kernel's type.
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

fn some_millis<'de, D: Deserializer<'de>>(source: D) -> Result<Option<Duration>, D::Error> {
    millis(source).map(Some)
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

    /// Returns the address on which this node receives heartbeats and serves state to other nodes.
    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::new(self.peers.ip, self.peers.ports[0])
    }
}
