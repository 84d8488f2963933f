//! Crowds of clients that press a node with their bodies. The node has to live, to stay within its host's
//! memory and descriptors, and to answer an ordinary call.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod gateway;
mod interface;
#[allow(dead_code)]
#[path = "../gateway/world.rs"]
mod world;

use std::fs;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

/// Memory of the host in the settings of the tests, in MB.
pub const HOST_MEMORY_MB: usize = 64;
/// Descriptors of the host in the settings of the tests.
pub const HOST_DESCRIPTORS: usize = 2200;
/// Largest body in the settings of the tests, in bytes.
pub const BODY_BYTES: usize = 1 << 20;

/// Returns a guard that lets one test run at a time.
pub fn alone() -> MutexGuard<'static, ()> {
    static RUNNING: LazyLock<Mutex<()>> = LazyLock::new(Mutex::default);
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Checks that a process never held more memory than its host has, and holds no more descriptors.
pub fn check_resources(process: u32) {
    let status = fs::read_to_string(format!("/proc/{process}/status")).expect("the process lives");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok());
    let peak: usize = peak.expect("its peak memory in kB");
    let open = fs::read_dir(format!("/proc/{process}/fd"))
        .expect("its descriptors")
        .count();
    eprintln!("peak memory {peak} kB, {open} descriptors");
    assert!(peak <= HOST_MEMORY_MB << 10, "{peak} kB at the peak");
    assert!(open <= HOST_DESCRIPTORS, "{open} descriptors");
}
