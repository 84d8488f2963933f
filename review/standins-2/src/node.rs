//! Starts the project's program as the deploy file does.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crate::http;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;

/// Processes that were started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started, for a case that can't run.
pub fn kill_all() {
    for process in RUNNING.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(process as i32, SIGKILL) };
    }
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// A loopback address of this case's own.
pub fn host(number: u8) -> IpAddr {
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high | 1, low, number))
}

/// Limits of a machine.
#[derive(Clone, Copy)]
pub struct Machine {
    pub descriptors: usize,
    pub memory_mb: usize,
}

/// A machine of the small deployments.
pub const SMALL: Machine = Machine { descriptors: 4100, memory_mb: 260 };

/// A node that runs as a process. It is killed when this is dropped.
pub struct Node {
    pub child: Child,
    pub host: IpAddr,
    pub name: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let process = self.child.id();
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != process);
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node with settings as the template in `deploy/` gives them. The case runs in the
    /// repository's root.
    pub fn start(folder: &Path, name: &str, zone: &str, host: IpAddr, seeds: &[IpAddr], store: SocketAddr, machine: Machine) -> Self {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("{seed}:8229")).collect();
        let text = format!(
            "name: \"{name}\"\nzone: \"{zone}\"\nlisten:\n  callers: \"{host}:8227\"\n  ready: \"{host}:8220\"\n  \
             lookup: \"{host}:8224\"\n  operators: \"{host}:8229\"\n  metrics_port: 9464\npeers:\n  ip: \"{host}\"\n  \
             ports: [7340,7355]\n  seeds: [{}]\nstore:\n  address: \"{store}\"\nlimits:\n  descriptors: {}\n  \
             cores: 0.25\n  link_mbps: 1000.0\n  memory_mb: {}\ntimes:\n  trust_ms: 3000\n  grace_ms: 8000\nretries:\n  \
             ratio: 0.2\n  slack: 52\n  window_s: 10\n",
            seeds.join(","),
            machine.descriptors,
            machine.memory_mb,
        );
        let settings = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}.log"));
        if let Err(error) = std::fs::write(&settings, text) {
            crate::cannot_run(&format!("settings: {error}"));
        }
        let log = std::fs::File::options().create(true).append(true).open(log);
        let output = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let mut command = Command::new("target/release/monsoonbankd");
        // SAFETY: only a system call is made. The process ends with the case, also if that is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command
            .arg("gateway")
            .env("MONSOONBANK_BOOT", &settings)
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|error| crate::cannot_run(&format!("monsoonbankd: {error}")));
        RUNNING.lock().unwrap_or_else(PoisonError::into_inner).push(child.id());
        Self { child, host, name: name.into() }
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.host, 8227)
    }

    /// Text of an endpoint for operators, or of the readiness check.
    pub fn get(&self, port: u16, path: &str) -> http::Answer {
        let request = format!("GET {path} HTTP/1.1\r\nHost: node\r\n\r\n");
        http::exchange(SocketAddr::new(self.host, port), request.as_bytes(), Duration::from_secs(2))
    }

    pub fn is_ready(&self) -> bool {
        self.get(8220, "/readyz").status == 200
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Memory of the process that is backed by no file, in kB.
    pub fn anonymous_kb(&self) -> Option<usize> {
        self.status("RssAnon:")
    }

    /// Peak of the process's memory, in kB.
    pub fn peak_kb(&self) -> Option<usize> {
        self.status("VmHWM:")
    }

    fn status(&self, name: &str) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        line.trim().trim_end_matches(" kB").parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// A temporary folder of this case's own.
pub fn folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        crate::cannot_run(&format!("a folder: {error}"));
    }
    folder
}
