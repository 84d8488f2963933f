//! Runs the tool to completion, or in the background as long as a test needs a fleet.

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use serde_json::Value;

fn monsoon() -> Command {
    Command::new(env!("CARGO_BIN_EXE_monsoon"))
}

/// Runs the tool to completion and returns its exit code (`None` if a signal ended it) and the JSON
/// from its standard output. Panics with the standard error if the output is not JSON.
pub fn run_json(arguments: &[&str]) -> (Option<i32>, Value) {
    let output = monsoon().args(arguments).output().expect("the tool runs");
    let report = serde_json::from_slice(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    (
        output.status.code(),
        report.unwrap_or_else(|error| panic!("no JSON ({error}): {errors}")),
    )
}

/// A demonstration fleet in a child process, which is killed on drop.
pub struct ServedFleet {
    child: Child,
    /// Address at which the first node accepts callers.
    pub callers: String,
    /// Address of the first engine.
    pub engine: String,
}

impl ServedFleet {
    /// Starts a fleet of `nodes` nodes and reads the addresses that it prints.
    pub fn start(nodes: &str) -> Self {
        let mut child = monsoon()
            .args(["demo", "--serve", "--nodes", nodes])
            .stdout(Stdio::piped())
            .spawn()
            .expect("the tool runs");
        let output = child.stdout.take().expect("a pipe");
        let lines: Vec<String> = BufReader::new(output)
            .lines()
            .map_while(Result::ok)
            .take_while(|line| !line.starts_with("operator token"))
            .collect();
        let field = |start: &str, index: usize| {
            let line = lines.iter().find(|line| line.starts_with(start));
            let line = line.unwrap_or_else(|| panic!("no {start} in {lines:?}"));
            line.split_whitespace()
                .nth(index)
                .expect("a field")
                .to_owned()
        };
        Self {
            callers: field("node", 4),
            engine: field("upstream", 3),
            child,
        }
    }
}

impl Drop for ServedFleet {
    fn drop(&mut self) {
        // The kill fails if the process has already ended, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
