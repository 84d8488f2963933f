//! Fleet of the demonstration: nodes, and stand-ins for the platform and the upstreams.

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

/// Loopback address with any free port.
const LOOPBACK: &str = "127.0.0.1:0";

/// Bearer token of the demonstration's operators.
pub const OPERATOR_TOKEN: &str = "demo-operator";

/// Timeout for all nodes to have the configuration in force.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// A running node with its name and availability zone.
pub struct FleetNode {
    /// Name of the node.
    pub name: Box<str>,
    /// Availability zone of the node.
    pub zone: Box<str>,
    /// Handle of the running node.
    pub handle: NodeHandle,
}

/// Speed of the stand-ins for upstreams.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSpeed {
    /// Length of an engine's step with one request.
    pub step: Duration,
    /// Time that a plain service takes for a call.
    pub work: Duration,
}

/// A running fleet with its stand-ins.
pub struct Fleet {
    /// Stand-in for the platform's log.
    pub log: LogHandle,
    /// Stand-in for the platform's host list.
    pub hosts: HostsHandle,
    /// Stand-ins for engines, by upstream name.
    pub engines: BTreeMap<Box<str>, EngineHandle>,
    /// Stand-ins for plain services, by upstream name.
    pub services: BTreeMap<Box<str>, ServiceHandle>,
    /// Nodes, in the order in which they were started.
    pub nodes: Vec<FleetNode>,
    /// The configuration in force, with the stand-ins' addresses.
    pub file: ConfigFile,
}

impl Fleet {
    /// Starts the stand-ins and `nodes` nodes, publishes the configuration and waits until every
    /// node has it in force.
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

    /// The addresses at which the nodes accept callers.
    pub fn caller_addresses(&self) -> Vec<Box<str>> {
        let addresses = self.nodes.iter();
        addresses
            .map(|node| node.handle.callers.to_string().into())
            .collect()
    }

    /// Replaces the row of the host `name` in the host list; `None` removes it.
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
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            while !is_ready(node.handle.operators).await {
                if Instant::now() > deadline {
                    return Err(CliError::NotReady {
                        node: node.name.clone(),
                    });
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    /// Starts another node and adds it to the host list; it is not added to `nodes`.
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

    /// Kills every node and drops the stand-ins.
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
