//! The demonstration's fleet: stand-ins for the platform and the upstreams, and nodes.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use monsoonbank_daemon::node::{self, NodeHandle, NodeListeners};
use monsoonbank_daemon::settings::{
    BoundSettings, ListenSettings, PlatformSettings, SecretSettings, Settings,
};
use monsoonbank_kernel::config::{ConfigFile, PoolKind, UpstreamSpec};
use monsoonbank_kernel::record::{ChangeRecord, Record};
use monsoonbank_standin::engine::{self, EngineHandle, EngineSettings};
use monsoonbank_standin::hosts::{self, HostRole, HostRow, HostSettings, HostsHandle};
use monsoonbank_standin::log::{self, LogHandle, LogSettings};
use monsoonbank_standin::service::{self, ServiceHandle, ServiceSettings};
use tokio::time::{Instant, sleep};

use crate::error::CliError;

/// Any free port.
const LOOPBACK: &str = "127.0.0.1:0";

/// Bearer token of the demonstration's operators.
pub const OPERATOR_TOKEN: &str = "demo-operator";

/// Longest wait for all nodes to have the configuration in force.
const READY_LIMIT: Duration = Duration::from_secs(30);

/// A node and what is known of it.
pub struct FleetNode {
    /// The name.
    pub name: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The node.
    pub handle: NodeHandle,
}

/// How fast the stand-ins are.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpeed {
    /// Length of an engine's step.
    pub step: Duration,
    /// Time that a plain service takes for a call.
    pub work: Duration,
}

/// A running fleet.
pub struct Fleet {
    /// The log service.
    pub log: LogHandle,
    /// The host list.
    pub hosts: HostsHandle,
    /// Engines by name.
    pub engines: BTreeMap<Box<str>, EngineHandle>,
    /// Plain services by name.
    pub services: BTreeMap<Box<str>, ServiceHandle>,
    /// Nodes.
    pub nodes: Vec<FleetNode>,
    /// The configuration, with the stand-ins' addresses.
    pub file: ConfigFile,
}

impl Fleet {
    /// Starts everything and waits until each node has the configuration in force.
    pub async fn start(
        mut file: ConfigFile,
        nodes: u64,
        speed: UpstreamSpeed,
    ) -> Result<Self, CliError> {
        let log = log::start(LOOPBACK, LogSettings::default())
            .await
            .map_err(CliError::Standin)?;
        let hosts = hosts::start(LOOPBACK, HostSettings::default())
            .await
            .map_err(CliError::Standin)?;
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        let kinds: BTreeMap<Box<str>, PoolKind> = file
            .pools
            .iter()
            .map(|pool| (pool.name.clone(), pool.kind))
            .collect();
        for spec in &mut file.upstreams {
            let address = if kinds.get(&spec.pool) == Some(&PoolKind::Model) {
                let engine = start_engine(spec, speed).await?;
                let address = engine.address();
                engines.insert(spec.name.clone(), engine);
                address
            } else {
                let service = start_service(spec, speed).await?;
                let address = service.address();
                services.insert(spec.name.clone(), service);
                address
            };
            spec.address = address.to_string().into();
        }
        let nodes = start_nodes(&file, nodes, &log, &hosts).await?;
        let fleet = Self {
            log,
            hosts,
            engines,
            services,
            nodes,
            file,
        };
        fleet.publish();
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Callers' addresses of all nodes.
    pub fn caller_addresses(&self) -> Vec<Box<str>> {
        let addresses = self.nodes.iter();
        addresses
            .map(|node| node.handle.callers.to_string().into())
            .collect()
    }

    /// Changes one node's row in the host list; none takes it away.
    pub fn change_host(&self, name: &str, change: impl Fn(HostRow) -> Option<HostRow>) {
        let rows = self.hosts.rows().into_iter();
        let rows = rows.filter_map(|row| {
            if &*row.name == name {
                change(row)
            } else {
                Some(row)
            }
        });
        self.hosts.set_rows(rows.collect());
    }

    fn publish(&self) {
        let record = Record::Change(ChangeRecord::from_file("demo", &self.file));
        self.log
            .append(serde_json::to_value(record).unwrap_or_default());
    }

    async fn wait_until_ready(&self) -> Result<(), CliError> {
        let limit = Instant::now() + READY_LIMIT;
        for node in &self.nodes {
            while !is_ready(node.handle.operators).await {
                if Instant::now() > limit {
                    return Err(CliError::NotReady {
                        node: node.name.clone(),
                    });
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Starts one more node and adds it to the host list.
    pub async fn start_node(&self, name: &str, zone: &str) -> Result<FleetNode, CliError> {
        let settings = settings(name, zone, &self.log, &self.hosts);
        let listeners = NodeListeners::bind(&settings).await?;
        let row = node_row(&settings, &listeners)?;
        let handle = node::start_with(settings, listeners)?;
        let mut rows = self.hosts.rows();
        rows.push(row);
        self.hosts.set_rows(rows);
        Ok(FleetNode {
            name: name.into(),
            zone: zone.into(),
            handle,
        })
    }

    /// Stops everything.
    pub async fn stop(self) {
        for node in &self.nodes {
            node.handle.kill().await;
        }
    }
}

async fn is_ready(operators: SocketAddr) -> bool {
    reqwest::get(format!("http://{operators}/readyz"))
        .await
        .is_ok_and(|response| response.status().is_success())
}

async fn start_engine(spec: &UpstreamSpec, speed: UpstreamSpeed) -> Result<EngineHandle, CliError> {
    let settings = EngineSettings {
        models: vec![spec.pool.clone()],
        slots: spec.slots as usize,
        step: speed.step,
        step_per_job: speed.step / 100,
        prefill_per_token: speed.step / 1000,
        checks_fencing: spec.checks_fencing,
        ..EngineSettings::default()
    };
    engine::start(LOOPBACK, settings)
        .await
        .map_err(CliError::Standin)
}

async fn start_service(
    spec: &UpstreamSpec,
    speed: UpstreamSpeed,
) -> Result<ServiceHandle, CliError> {
    let settings = ServiceSettings {
        name: spec.name.clone(),
        work: speed.work,
        slots: spec.slots as usize,
    };
    service::start(LOOPBACK, settings)
        .await
        .map_err(CliError::Standin)
}

async fn start_nodes(
    file: &ConfigFile,
    count: u64,
    log: &LogHandle,
    hosts: &HostsHandle,
) -> Result<Vec<FleetNode>, CliError> {
    let zones = zones(file);
    let mut rows: Vec<HostRow> = file.upstreams.iter().map(upstream_row).collect();
    let mut bound = Vec::new();
    for index in 0..count as usize {
        let zone = &zones[index % zones.len()];
        let settings = settings(&format!("node-{}", index + 1), zone, log, hosts);
        let listeners = NodeListeners::bind(&settings).await?;
        rows.push(node_row(&settings, &listeners)?);
        bound.push((settings, listeners));
    }
    hosts.set_rows(rows);
    let mut nodes = Vec::new();
    for (settings, listeners) in bound {
        nodes.push(FleetNode {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            handle: node::start_with(settings, listeners)?,
        });
    }
    Ok(nodes)
}

fn node_row(settings: &Settings, listeners: &NodeListeners) -> Result<HostRow, CliError> {
    let [callers, peers, _] = listeners.addresses().map_err(CliError::Standin)?;
    Ok(HostRow {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        role: HostRole::Node,
        peer_address: peers.to_string().into(),
        caller_address: callers.to_string().into(),
        leaving: false,
    })
}

fn zones(file: &ConfigFile) -> Vec<Box<str>> {
    let mut zones: Vec<Box<str>> = file
        .upstreams
        .iter()
        .map(|spec| spec.zone.clone())
        .collect();
    zones.sort();
    zones.dedup();
    zones
}

fn upstream_row(spec: &UpstreamSpec) -> HostRow {
    HostRow {
        name: spec.name.clone(),
        zone: spec.zone.clone(),
        role: HostRole::Upstream,
        peer_address: "".into(),
        caller_address: "".into(),
        leaving: false,
    }
}

fn settings(name: &str, zone: &str, log: &LogHandle, hosts: &HostsHandle) -> Settings {
    let free = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    Settings {
        name: name.into(),
        zone: zone.into(),
        listen: ListenSettings {
            callers: free,
            peers: free,
            operators: free,
        },
        platform: PlatformSettings {
            log: format!("http://{}", log.address()).into(),
            hosts: format!("http://{}", hosts.address()).into(),
            hosts_poll: Duration::from_secs(1),
        },
        secrets: SecretSettings {
            peer_key: "demo-peer-key-of-a-loopback-fleet".into(),
            operator_token: OPERATOR_TOKEN.into(),
        },
        bounds: BoundSettings::default(),
        log_level: ::log::LevelFilter::Warn,
    }
}
