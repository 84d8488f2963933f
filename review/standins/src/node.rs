//! Starts the project's own program as the nodes of a small deployment.

use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Program and argument of the deploy file.
const PROGRAM: &str = "target/release/monsoonbankd";
const ARGUMENT: &str = "gateway";

/// Ports of all nodes, which differ by their loopback addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    metrics: u16,
    internal: u16,
}

impl Ports {
    /// Finds ports that are free at the loopback addresses of all `nodes`.
    pub fn free(nodes: usize) -> Self {
        let is_free = |port: u16| {
            (0..nodes).all(|index| {
                let address = format!("{}:{port}", ip(index));
                TcpListener::bind(&address).is_ok() && UdpSocket::bind(&address).is_ok()
            })
        };
        let mut held: Vec<TcpListener> = Vec::new();
        while held.len() < 6 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let port = listener.local_addr().expect("a port").port();
            if is_free(port) {
                held.push(listener);
            }
        }
        let port = |index: usize| held[index].local_addr().expect("a port").port();
        Self {
            front: port(0),
            ready: port(1),
            control: port(2),
            directory: port(3),
            metrics: port(4),
            internal: port(5),
        }
    }
}

/// A node: one process of the program.
#[derive(Debug)]
pub struct Node {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pids: PathBuf,
    child: Option<Child>,
}

/// IP address of node `index`.
fn ip(index: usize) -> String {
    format!(
        "127.{}.{}.{}",
        40 + std::process::id() % 160,
        1 + index % 3,
        10 + index
    )
}

impl Node {
    /// Writes the settings of node `index` of a deployment with three zones, as the template has them.
    pub fn prepare(index: usize, ports: Ports, store: SocketAddr, folder: &Path) -> Self {
        let own = ip(index);
        let zone = format!("zone-{}", 1 + index % 3);
        let name = format!("front-{zone}-{}", 1 + index / 3);
        let seeds: Vec<String> = (0..3)
            .map(|seed| format!("\"{}:{}\"", ip(seed), ports.control))
            .collect();
        let settings = format!(
            "name: \"{name}\"\nzone: \"{zone}\"\nlisten:\n  callers: \"{own}:{}\"\n  ready: \"{own}:{}\"\n  \
             lookup: \"{own}:{}\"\n  operators: \"{own}:{}\"\n  metrics_port: {}\npeers:\n  ip: \"{own}\"\n  \
             ports: [{},{}]\n  seeds: [{}]\nstore:\n  address: \"{store}\"\nlimits:\n  descriptors: 4100\n  \
             cores: 0.25\n  link_mbps: 1000.0\ntimes:\n  trust_ms: 3000\n  grace_ms: 8000\nretries:\n  \
             ratio: 0.2\n  slack: 52\n  window_s: 10\n",
            ports.front,
            ports.ready,
            ports.directory,
            ports.control,
            ports.metrics,
            ports.internal,
            ports.internal,
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("the settings");
        let address = |port: u16| format!("{own}:{port}").parse().expect("an address");
        Self {
            log: folder.join(format!("{name}.log")),
            front: address(ports.front),
            ready: address(ports.ready),
            settings: path,
            pids: folder.join("pids"),
            child: None,
        }
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log");
        let errors = log.try_clone().expect("a log");
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env("MONSOONBANK_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the program of the deploy file");
        let pids = File::options().create(true).append(true).open(&self.pids);
        let _ = writeln!(pids.expect("the list of processes"), "{}", child.id());
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let request = b"GET /readyz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        let mut answer = [0; 12];
        stream.write_all(request).is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && answer.ends_with(b"200")
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all nodes are ready. Returns whether they are within `limit`.
pub fn wait_ready(nodes: &[Node], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
