//! The results.

use serde::{Deserialize, Serialize};

use crate::fleet::control::ControlTable;
use crate::fleet::loss::LossSample;
use crate::fleet::publish::PublishSample;

/// Everything that was measured.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FleetReport {
    /// Changes of configuration, by state of the log.
    pub publish: Vec<PublishSample>,
    /// Lost nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loss: Option<LossSample>,
    /// Control traffic.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlTable>,
}

impl FleetReport {
    /// These results, and the other's where these have none.
    pub fn or(mut self, other: Self) -> Self {
        let measured = |log: &str| self.publish.iter().any(|sample| &*sample.log == log);
        let kept = other.publish.into_iter();
        let kept: Vec<PublishSample> = kept.filter(|sample| !measured(&sample.log)).collect();
        self.publish.extend(kept);
        Self {
            publish: self.publish,
            loss: self.loss.or(other.loss),
            control: self.control.or(other.control),
        }
    }

    /// Prints the results for people.
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
        if let Some(control) = &self.control {
            print_control(control);
        }
    }
}

fn print_control(table: &ControlTable) {
    println!("control, idle, windows of {:.0} s, a node:", table.seconds);
    for row in &table.idle {
        println!(
            "  {:>3} nodes: sent {:.0} B/s, received {:.0} B/s, {:.2}% of a core, {:.1} MiB",
            row.nodes, row.sent_bytes, row.received_bytes, row.core_percent, row.memory_mib
        );
    }
    for fit in &table.growth {
        println!(
            "  {}: {} with slope {:.4}, at the origin {:.1}, residual {:.2}",
            fit.quantity, fit.shape, fit.slope, fit.intercept, fit.residual
        );
    }
}
