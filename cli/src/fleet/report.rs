//! The results of the fleet measurements and their text rendering.

use serde::{Deserialize, Serialize};

use crate::fleet::control::{ControlSample, ControlTable};
use crate::fleet::loss::LossSample;
use crate::fleet::path::PathTable;
use crate::fleet::publish::PublishSample;
use crate::fleet::rolling::{LoadRow, RollingSample};

/// The results of all measurements; absent where one was not made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetReport {
    /// Propagation of configuration changes, by state of the log.
    pub publish: Vec<PublishSample>,
    /// Failover after the loss of a node.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loss: Option<LossSample>,
    /// Replacement of all nodes under load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rolling: Option<RollingSample>,
    /// Control traffic and resources, by fleet size.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlTable>,
    /// Latency and processor time that nodes add to streams.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<PathTable>,
}

impl FleetReport {
    /// Merges two reports: these results, and those of `other` where these have none.
    pub fn or(mut self, other: Self) -> Self {
        let measured = |log: &str| self.publish.iter().any(|sample| &*sample.log == log);
        let remaining = other.publish.into_iter();
        let remaining: Vec<PublishSample> =
            remaining.filter(|sample| !measured(&sample.log)).collect();
        self.publish.extend(remaining);
        Self {
            publish: self.publish,
            loss: self.loss.or(other.loss),
            rolling: self.rolling.or(other.rolling),
            control: self.control.or(other.control),
            path: self.path.or(other.path),
        }
    }

    /// Prints the results as text to standard output.
    pub fn print(&self) {
        for sample in &self.publish {
            println!("publish, log {}, {} nodes:", sample.log, sample.nodes);
            println!("  accepted          {}", sample.accepted_ms);
            println!("  in force on all   {}", sample.in_force_ms);
            println!("  from one to other {}", sample.accepted_to_in_force_ms);
            println!("  sent again        {}", sample.sent_again);
        }
        if let Some(loss) = &self.loss {
            println!(
                "node lost, {} nodes, {} upstreams owned by those killed:",
                loss.nodes, loss.upstreams
            );
            println!("  given up by all   {}", loss.given_up_ms);
            println!("  owned again       {}", loss.owned_again_ms);
        }
        if let Some(rolling) = &self.rolling {
            print_rolling(rolling);
        }
        if let Some(control) = &self.control {
            print_control(control);
        }
        if let Some(path) = &self.path {
            print_path(path);
        }
    }
}

fn print_rolling(sample: &RollingSample) {
    println!(
        "{} nodes replaced in turn, {} requests/s for {} s:",
        sample.nodes, sample.rate, sample.seconds
    );
    println!("  left after        {}", sample.left_ms);
    print_load("kept", &sample.kept);
    print_load("replaced", &sample.replaced);
}

fn print_load(name: &str, rows: &[LoadRow]) {
    for row in rows {
        println!(
            "  {name:<8} {:<16} sent {}, whole {}, not_run {}, unknown {}, lost {}, doubled {}, \
             attained {:.2}%",
            row.class,
            row.sent,
            row.whole,
            row.refused,
            row.unknown,
            row.lost,
            row.doubled,
            row.attainment * 100.0
        );
        for (reason, count) in &row.refusals {
            println!("           not_run for {reason}: {count}");
        }
    }
}

fn print_control(table: &ControlTable) {
    println!("control, idle, windows of {:.0} s, a node:", table.seconds);
    print_samples(&table.idle);
    println!("control, with {} requests/s over the fleet:", table.rate);
    print_samples(&table.loaded);
    for fit in &table.growth {
        println!(
            "  {}: {} with slope {:.4}, at the origin {:.1}, residual {:.2}",
            fit.quantity, fit.shape, fit.slope, fit.intercept, fit.residual
        );
    }
}

fn print_samples(samples: &[ControlSample]) {
    for row in samples {
        println!(
            "  {:>3} nodes: sent {:.0} B/s, received {:.0} B/s, {:.2}% of a core, {:.1} MiB",
            row.nodes, row.sent_bytes, row.received_bytes, row.core_percent, row.memory_mib
        );
    }
}

fn print_path(table: &PathTable) {
    println!(
        "streams of {} tokens, {} requests/s, loads of {} s:",
        table.tokens, table.rate, table.seconds
    );
    for row in &table.ways {
        println!(
            "  {:<8} first token p50 {:.3} ms ({:+.3}), p99 {:.3} ms ({:+.3}); alone: {:.0} \
             tokens/s, {} whole, {} others, {:.2} ms of processor a 1,000 tokens, nodes' part {:.2}",
            row.way,
            row.p50_ms,
            row.added_p50_ms,
            row.p99_ms,
            row.added_p99_ms,
            row.tokens_per_second,
            row.whole,
            row.others,
            row.process_ms,
            row.nodes_ms
        );
    }
}
