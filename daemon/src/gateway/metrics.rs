//! Counters and latency histograms, in the Prometheus text format.

use std::time::Duration;

use monsoonbank_kernel::gateway::backlog::FleetBacklog;
use prometheus::core::Collector;
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds, around the usual targets of 0.1 to 2.5 s.
const BUCKETS: [f64; 12] = [
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 3.0, 6.0, 15.0,
];

/// Metrics of a gateway.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Calls that ended, by tier and outcome.
    pub calls: IntCounterVec,
    /// Attempts without an answer to forward, by pool and kind of failure.
    pub attempts: IntCounterVec,
    /// Notices in upstreams' answers: that they leave or ask for a pause, by kind.
    pub notices: IntCounterVec,
    /// Time to the first part of the answer, in seconds, by tier.
    pub first_piece: HistogramVec,
    /// Calls to the store, by reader and outcome.
    pub store_calls: IntCounterVec,
    /// Bytes of configurations, registries and crash reports received, by source and by whether
    /// they were used.
    pub received_bytes: IntCounterVec,
    /// Bytes of heartbeats sent to other nodes.
    pub heartbeat_bytes: IntCounter,
    /// Bytes sent to other nodes about the starts of streams.
    pub start_bytes: IntCounter,
    /// Calls that resume a stream, by whether the software version that began it was known.
    resumptions: IntCounterVec,
    /// Opened connections to upstreams, by pool.
    pub connections_opened: IntCounterVec,
    /// Version of the configuration in force.
    pub version: IntGauge,
    /// What calls wait for, and what they leave to other nodes.
    pub room: RoomMetrics,
    /// Pools to whose upstreams no connection comes about.
    pub unreached_pools: IntGauge,
    /// Calls that have not ended.
    pub open_calls: IntGauge,
    /// Number of engines that are clearly slower than their pool's median, as far as this node knows.
    pub slow_engines: IntGauge,
    /// Calls that were not sent because their content is quarantined.
    pub quarantined_calls: IntCounter,
    /// Number of quarantined contents known to this node.
    pub quarantined_causes: IntGauge,
    /// Mean number of slots that this node's calls used in the last seconds, by pool and workspace:
    /// the largest uses.
    pub workspace_slots: GaugeVec,
    /// Windows of usage whose report was not accepted in time.
    pub duty_calls_missed: IntCounter,
    /// Bytes that the bodies of requests take.
    pub body_bytes: IntGauge,
    /// Calls that were refused for their body, by reason.
    refused_bodies: IntCounterVec,
}

/// Metrics of calls that wait for room.
#[derive(Debug)]
pub struct RoomMetrics {
    /// Calls that wait at all nodes for pools whose slots run out, by tier and by whether they can
    /// still meet their target.
    fleet_waiting: IntGaugeVec,
    /// Calls that waited in vain, by pool.
    no_room_calls: IntCounterVec,
    /// Nodes whose heartbeats stopped and that are assumed to send calls.
    silent_senders: IntGauge,
}

impl RoomMetrics {
    fn new(registry: &Registry) -> Self {
        let fleet_waiting = Opts::new(
            "monsoonbank_fleet_waiting_calls",
            "Calls that wait at all nodes for pools whose slots run out",
        );
        let no_room_calls = Opts::new(
            "monsoonbank_no_room_calls_total",
            "Calls that waited for room in vain",
        );
        let silent_senders = IntGauge::new(
            "monsoonbank_silent_senders",
            "Nodes whose heartbeats stopped and that are assumed to send calls",
        );
        Self {
            fleet_waiting: register(
                registry,
                IntGaugeVec::new(fleet_waiting, &["tier", "in_time"]),
            ),
            no_room_calls: register(registry, IntCounterVec::new(no_room_calls, &["pool"])),
            silent_senders: register(registry, silent_senders),
        }
    }

    /// Sets the calls that wait at all nodes.
    pub fn set_fleet_waiting(&self, backlog: &FleetBacklog) {
        self.fleet_waiting.reset();
        for (tier, calls) in backlog.tiers() {
            let tier = tier.to_string();
            for (in_time, count) in [("true", calls.timely), ("false", calls.late)] {
                let gauge = self.fleet_waiting.with_label_values(&[&*tier, in_time]);
                gauge.set(count.into());
            }
        }
    }

    /// Sets the number of nodes whose heartbeats stopped and that are assumed to send calls.
    pub fn set_silent_senders(&self, count: usize) {
        self.silent_senders
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Counts a call that waited for room in a pool in vain.
    pub fn count_no_room(&self, pool: &str) {
        self.no_room_calls.with_label_values(&[pool]).inc();
    }
}

/// Registers a metric whose name is a constant; panics if it is invalid or a duplicate.
fn register<T: Collector + Clone + 'static>(
    registry: &Registry,
    created: prometheus::Result<T>,
) -> T {
    let metric = created.expect("a valid name");
    registry
        .register(Box::new(metric.clone()))
        .expect("a new name");
    metric
}

impl GatewayMetrics {
    /// Creates and registers all metrics. Panics only on an invalid or duplicate name, and the
    /// names are constants.
    pub fn new() -> Self {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, labels: &[&str]| {
            let counter = IntCounterVec::new(Opts::new(name, help), labels);
            register(&registry, counter)
        };
        let gauge = |name: &str, help: &str| register(&registry, IntGauge::new(name, help));
        let plain_counter =
            |name: &str, help: &str| register(&registry, IntCounter::new(name, help));
        let first_piece = HistogramOpts::new(
            "monsoonbank_first_piece_seconds",
            "Time to the first piece of an answer",
        );
        let first_piece = first_piece.buckets(BUCKETS.to_vec());
        let workspace_slots = Opts::new(
            "monsoonbank_workspace_slots",
            "Slots that calls of a workspace used in the last seconds",
        );
        Self {
            workspace_slots: register(
                &registry,
                GaugeVec::new(workspace_slots, &["pool", "workspace"]),
            ),
            calls: counter(
                "monsoonbank_calls_total",
                "Calls that ended",
                &["tier", "outcome"],
            ),
            attempts: counter(
                "monsoonbank_failed_attempts_total",
                "Attempts without an answer to pass on",
                &["pool", "end"],
            ),
            notices: counter(
                "monsoonbank_upstream_notices_total",
                "Answers in which an upstream says that it leaves or asks for a pause",
                &["notice"],
            ),
            first_piece: register(&registry, HistogramVec::new(first_piece, &["tier"])),
            heartbeat_bytes: plain_counter(
                "monsoonbank_heartbeat_bytes_total",
                "Bytes of heartbeats that were sent to other nodes",
            ),
            start_bytes: plain_counter(
                "monsoonbank_stream_start_bytes_total",
                "Bytes that were sent to other nodes about the starts of streams",
            ),
            resumptions: counter(
                "monsoonbank_resumptions_total",
                "Calls that resume a stream, by whether its software version was known",
                &["start"],
            ),
            body_bytes: gauge(
                "monsoonbank_body_bytes",
                "Bytes that the bodies of requests take",
            ),
            refused_bodies: counter(
                "monsoonbank_refused_bodies_total",
                "Calls that were refused for their body",
                &["reason"],
            ),
            duty_calls_missed: plain_counter(
                "monsoonbank_usage_reports_missed_total",
                "Windows of usage whose report was not accepted in time",
            ),
            quarantined_calls: plain_counter(
                "monsoonbank_quarantined_calls_total",
                "Calls that were not sent, as upstreams crashed under such calls",
            ),
            quarantined_causes: gauge(
                "monsoonbank_quarantined_causes",
                "Contents of calls and prompt parts that are kept from upstreams",
            ),
            store_calls: counter(
                "monsoonbank_store_calls_total",
                "Calls to the platform's store",
                &["reader", "outcome"],
            ),
            received_bytes: counter(
                "monsoonbank_learnt_bytes_total",
                "Bytes of configurations and registries received",
                &["source", "outcome"],
            ),
            connections_opened: counter(
                "monsoonbank_upstream_connections_total",
                "Connections to upstreams that were opened",
                &["pool"],
            ),
            room: RoomMetrics::new(&registry),
            version: gauge("monsoonbank_configuration_version", "Version in force"),
            slow_engines: gauge(
                "monsoonbank_slow_engines",
                "Engines that are clearly slower than the median of their pool",
            ),
            unreached_pools: gauge(
                "monsoonbank_unreached_pools",
                "Pools to whose upstreams no connection comes about",
            ),
            open_calls: gauge("monsoonbank_open_calls", "Calls that have not ended"),
            registry,
        }
    }

    /// Counts bytes received from `source`: the store, or other nodes.
    pub fn count_received(&self, source: &str, outcome: &str, bytes: usize) {
        self.received_bytes
            .with_label_values(&[source, outcome])
            .inc_by(bytes as u64);
    }

    /// Counts a notice of this kind in an upstream's answer.
    pub fn count_notice(&self, notice: &str) {
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a call that was refused as its body is `too_large`, or as no memory was left while it was
    /// `reading` its body or `waiting`.
    pub fn count_refused_body(&self, reason: &str) {
        self.refused_bodies.with_label_values(&[reason]).inc();
    }

    /// Counts a call that resumes a stream whose start is `known` or `unknown`.
    pub fn count_resumption(&self, start: &str) {
        self.resumptions.with_label_values(&[start]).inc();
    }

    /// Records the time to the first part of an answer.
    pub fn observe_first(&self, tier: u8, took: Duration) {
        let tier = tier.to_string();
        self.first_piece
            .with_label_values(&[&tier])
            .observe(took.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode metrics: {error}");
        }
        text
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
