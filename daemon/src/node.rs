//! Starts and stops a node and its tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use monsoonbank_kernel::clock::MonotonicClock;
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{Incarnation, NodeId, ZoneId};
use monsoonbank_kernel::kernel::Kernel;
use monsoonbank_kernel::plugin::NodeProfile;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::prelude::{Router, Server};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;

use crate::account::BodyAccount;
use crate::error::NodeError;
use crate::settings::Settings;
use crate::shared::{NodeShared, SharedParts};
use crate::{callers, driver, links, operators, platform, reports};

/// Maximum number of connections in a listening socket's accept queue.
const BACKLOG: u32 = 1024;

/// Maximum number of bytes that are read ahead on a connection, which also bounds the head of a request.
const CONNECTION_BUFFER_BYTES: usize = 64 << 10;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of a running node. Dropping it leaves the node running.
pub struct NodeHandle {
    shared: Arc<NodeShared>,
    /// Listen address for callers, with the actual port.
    pub callers: SocketAddr,
    /// Listen address for other nodes, with the actual port.
    pub peers: SocketAddr,
    /// Listen address for operators, with the actual port.
    pub operators: SocketAddr,
}

impl NodeHandle {
    /// State shared by the node's tasks.
    pub fn shared(&self) -> &Arc<NodeShared> {
        &self.shared
    }

    /// Starts a graceful shutdown: the node rejects new calls and finishes the open ones.
    pub fn drain(&self) {
        self.shared.send_event(Event::DrainNode);
    }

    /// Waits until a graceful shutdown has finished.
    pub async fn finished(&self) {
        self.shared.done.cancelled().await;
    }

    /// Cancels every task of the node immediately, as a crash would, and waits for them to end.
    pub async fn kill(&self) {
        self.shared.kill.cancel();
        self.shared.wait().await;
    }
}

/// Binds the listening sockets of the settings and starts a node.
pub async fn start(settings: Settings) -> Result<NodeHandle, NodeError> {
    let listeners = NodeListeners::bind(&settings).await?;
    start_with(settings, listeners)
}

/// A node's listening sockets, one per kind of client.
pub struct NodeListeners {
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
}

impl NodeListeners {
    /// Binds the listen addresses of the settings; port 0 picks a free port.
    // Async because the sockets have to be registered with the runtime that awaits this.
    #[allow(clippy::unused_async)]
    pub async fn bind(settings: &Settings) -> Result<Self, NodeError> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind(listen.callers, "callers")?,
            peers: bind(listen.peers, "nodes")?,
            operators: bind(listen.operators, "operators")?,
        })
    }

    /// Bound addresses for callers, other nodes and operators, in this order.
    pub fn addresses(&self) -> std::io::Result<[SocketAddr; 3]> {
        Ok([
            self.callers.local_addr()?,
            self.peers.local_addr()?,
            self.operators.local_addr()?,
        ])
    }
}

fn bind(address: SocketAddr, role: &'static str) -> Result<TcpListener, NodeError> {
    listen(address).map_err(|source| NodeError::Listen {
        address,
        role,
        source,
    })
}

/// Opens a listening socket. Accepted connections inherit `TCP_NODELAY`; without it each token of a
/// stream would wait for the TCP acknowledgement of the previous one.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Starts a node on sockets that are already bound.
pub fn start_with(settings: Settings, listeners: NodeListeners) -> Result<NodeHandle, NodeError> {
    let profile = profile(&settings)?;
    let (inputs, receiver) = mpsc::unbounded_channel();
    let listen = settings.listen.clone();
    let error = |role, address| {
        move |source| NodeError::Listen {
            address,
            role,
            source,
        }
    };
    let [callers, peers, operators] = listeners
        .addresses()
        .map_err(error("nodes", listen.peers))?;
    let clock = MonotonicClock::new();
    let shared = Arc::new(NodeShared::new(SharedParts {
        clock: Box::new(clock),
        bodies: Arc::new(BodyAccount::new(settings.bounds.memory, clock)),
        client: client().build()?,
        single_use_client: client().pool_max_idle_per_host(0).build()?,
        inputs,
        profile: profile.clone(),
        settings,
    }));
    shared.spawn(driver::run(
        Arc::clone(&shared),
        Kernel::new(profile),
        receiver,
    ));
    shared.spawn(links::listen(Arc::clone(&shared), listeners.peers));
    shared.spawn(platform::poll_hosts(Arc::clone(&shared)));
    shared.spawn(reports::poll(Arc::clone(&shared)));
    let acceptor = TcpAcceptor::try_from(listeners.callers);
    let acceptor = acceptor.map_err(error("callers", listen.callers))?;
    serve(&shared, acceptor, callers::router(&shared));
    let acceptor = TcpAcceptor::try_from(listeners.operators);
    let acceptor = acceptor.map_err(error("operators", listen.operators))?;
    serve(&shared, acceptor, operators::router(&shared));
    log::info!(
        "event=started node={} callers={callers} peers={peers} operators={operators}",
        shared.profile.name
    );
    Ok(NodeHandle {
        shared,
        callers,
        peers,
        operators,
    })
}

fn serve(shared: &Arc<NodeShared>, acceptor: TcpAcceptor, router: Router) {
    let bounds = &shared.settings.bounds;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(bounds.head_timeout)
        .with_request_body_timeout(bounds.body_timeout);
    let mut server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(bounds.connections);
    server.http1_mut().max_buf_size(CONNECTION_BUFFER_BYTES);
    shared.spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            log::error!("event=server_ended reason=\"{error}\"");
        }
    });
}

fn client() -> reqwest::ClientBuilder {
    // Only the kernel decides on retries, so the client never retries by itself.
    reqwest::Client::builder()
        .no_proxy()
        .http1_only()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
}

fn profile(settings: &Settings) -> Result<NodeProfile, NodeError> {
    let mut secret = [0; 32];
    getrandom::fill(&mut secret)?;
    let mut seed = [0; 8];
    getrandom::fill(&mut seed)?;
    let age = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(NodeProfile {
        node: NodeId::named(&settings.name),
        name: settings.name.clone(),
        zone: ZoneId::named(&settings.zone),
        zone_name: settings.zone.clone(),
        incarnation: Incarnation(age.as_micros() as u64),
        seed: u64::from_le_bytes(seed),
        secret,
    })
}
