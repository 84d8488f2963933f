//! Stand-ins for the cases of the review: the platform's store, servers, clients, and the start of
//! the project's own program. Standard library only.

pub mod engine;
pub mod http;
pub mod node;
pub mod record;
pub mod store;

use std::time::{Duration, Instant};

/// Waits until a condition holds; false if it never did within `limit`.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Ends the case: 2 means that it couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("cannot run: {reason}");
    node::kill_all();
    std::process::exit(2)
}

/// Whether the case is to be played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
