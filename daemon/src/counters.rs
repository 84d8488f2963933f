//! Metrics counted by the daemon, for the metrics endpoint.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Prefix of every metric name.
pub const METRIC_PREFIX: &str = "monsoonbank";

/// Metrics of one node, counted since its start.
#[derive(Debug)]
pub struct NodeCounters {
    /// Registry of all the metrics below, for export.
    pub registry: Registry,
    /// Ended calls, by class and outcome.
    pub calls: IntCounterVec,
    /// Bytes sent to other nodes as control messages, frame headers included.
    pub control_sent_bytes: IntCounter,
    /// Bytes received from other nodes as control messages, frame headers included.
    pub control_received_bytes: IntCounter,
    /// Bytes sent to other nodes with calls and answers, frame headers included.
    pub data_sent_bytes: IntCounter,
    /// Bytes received from other nodes with calls and answers, frame headers included.
    pub data_received_bytes: IntCounter,
    /// Frames received from other nodes that could not be decoded.
    pub bad_frames: IntCounter,
    /// Answer chunks that were dropped because they were late or duplicates.
    pub dropped_chunks: IntCounter,
}

fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::with_opts(Opts::new(name, help).namespace(METRIC_PREFIX))
        .expect("metric names are constants");
    registry
        .register(Box::new(counter.clone()))
        .expect("metric names are unique");
    counter
}

impl Default for NodeCounters {
    fn default() -> Self {
        let registry = Registry::new();
        let calls = IntCounterVec::new(
            Opts::new("calls_total", "Calls by class and outcome.").namespace(METRIC_PREFIX),
            &["class", "outcome"],
        )
        .expect("metric names are constants");
        registry
            .register(Box::new(calls.clone()))
            .expect("metric names are unique");
        let add = |name, help| counter(&registry, name, help);
        Self {
            calls,
            control_sent_bytes: add("control_sent_bytes_total", "Control bytes sent to nodes."),
            control_received_bytes: add(
                "control_received_bytes_total",
                "Control bytes received from nodes.",
            ),
            data_sent_bytes: add("data_sent_bytes_total", "Call bytes sent to nodes."),
            data_received_bytes: add(
                "data_received_bytes_total",
                "Call bytes received from nodes.",
            ),
            bad_frames: add("bad_frames_total", "Frames that could not be decoded."),
            dropped_chunks: add(
                "dropped_chunks_total",
                "Late or doubled answer pieces dropped.",
            ),
            registry,
        }
    }
}
