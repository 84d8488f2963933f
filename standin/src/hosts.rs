//! Stand-in of the platform's host list. Changes become visible after a delay.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use salvo::http::{Method, StatusCode};
use salvo::{Depot, FlowCtrl, Handler, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::Instant;

use crate::faults::HostFaults;
use crate::reply::{JsonReply, read_json};
use crate::server::{HttpServer, lock};

/// Kind of process that runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostRole {
    /// A node of the router.
    Node,
    /// An upstream.
    Upstream,
}

/// Entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostRow {
    /// Name of the host.
    pub name: Box<str>,
    /// Availability zone of the host.
    pub zone: Box<str>,
    /// Kind of process that runs on the host.
    pub role: HostRole,
    /// Address for other nodes; empty for upstreams.
    #[serde(default)]
    pub peer_address: Box<str>,
    /// Address for callers; empty for upstreams.
    #[serde(default)]
    pub caller_address: Box<str>,
    /// Whether the host is leaving the fleet.
    #[serde(default)]
    pub leaving: bool,
}

/// Settings of a host list.
#[derive(Clone, Copy, Debug)]
pub struct HostSettings {
    /// Time until a change becomes visible.
    pub lag: Duration,
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            lag: Duration::from_secs(1),
        }
    }
}

struct Version {
    visible_at: Instant,
    rows: Vec<HostRow>,
}

struct HostState {
    faults: HostFaults,
    versions: VecDeque<Version>,
}

struct HostList {
    settings: HostSettings,
    state: Mutex<HostState>,
    server: HttpServer,
}

struct HostApi {
    list: Arc<HostList>,
}

impl HostState {
    /// The newest visible version; older ones are removed.
    fn visible(&mut self, now: Instant) -> &[HostRow] {
        while !self.faults.stale
            && self
                .versions
                .get(1)
                .is_some_and(|second| second.visible_at <= now)
        {
            self.versions.pop_front();
        }
        self.versions.front().map_or(&[], |version| &version.rows)
    }
}

#[salvo::async_trait]
impl Handler for HostApi {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        control: &mut FlowCtrl,
    ) {
        let path = request.uri().path().to_owned();
        if path == "/faults" {
            self.change_faults(request).await.write(response);
            return;
        }
        if lock(&self.list.state).faults.down {
            control.conn().abort();
            return;
        }
        match (request.method(), path.as_str()) {
            (&Method::GET, "/hosts") => {
                JsonReply::ok(lock(&self.list.state).visible(Instant::now())).write(response);
            }
            _ => JsonReply::not_run(StatusCode::NOT_FOUND, "no such path").write(response),
        }
    }
}

impl HostApi {
    async fn change_faults(&self, request: &mut Request) -> JsonReply {
        match read_json::<HostFaults>(request).await {
            Ok(faults) => {
                self.list.set_faults(faults);
                JsonReply::ok(Value::Null)
            }
            Err(reply) => reply,
        }
    }
}

impl HostList {
    fn set_faults(&self, faults: HostFaults) {
        let mut state = lock(&self.state);
        // Moves on to the visible version before it may become stale.
        state.visible(Instant::now());
        state.faults = faults;
    }
}

/// Handle of a running host list. Dropping it stops the service.
pub struct HostsHandle {
    list: Arc<HostList>,
}

/// Starts a host list on `address` ("127.0.0.1:0" picks a free port).
pub async fn start(address: &str, settings: HostSettings) -> io::Result<HostsHandle> {
    let list = Arc::new(HostList {
        settings,
        state: Mutex::new(HostState {
            faults: HostFaults::default(),
            versions: VecDeque::new(),
        }),
        server: HttpServer::bind(address).await?,
    });
    let api = HostApi {
        list: Arc::clone(&list),
    };
    list.server.open(api)?;
    Ok(HostsHandle { list })
}

impl HostsHandle {
    /// Listen address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.list.server.address()
    }

    /// Replaces the faults in effect.
    pub fn set_faults(&self, faults: HostFaults) {
        self.list.set_faults(faults);
    }

    /// Replaces the rows. They become visible after the lag, the first ones immediately.
    pub fn set_rows(&self, rows: Vec<HostRow>) {
        let mut state = lock(&self.list.state);
        let lag = if state.versions.is_empty() {
            Duration::ZERO
        } else {
            self.list.settings.lag
        };
        state.versions.push_back(Version {
            visible_at: Instant::now() + lag,
            rows,
        });
    }

    /// The current rows, visible or not.
    pub fn rows(&self) -> Vec<HostRow> {
        lock(&self.list.state)
            .versions
            .back()
            .map(|version| version.rows.clone())
            .unwrap_or_default()
    }

    /// Stops the service permanently.
    pub async fn stop(self) {
        self.list.server.close().await;
    }
}

impl Drop for HostsHandle {
    fn drop(&mut self) {
        self.list.server.abort();
    }
}
