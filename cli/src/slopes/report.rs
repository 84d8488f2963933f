//! The results and their rendering as Markdown tables.

use serde::{Deserialize, Serialize};

use crate::slopes::digest::DigestSample;
use crate::slopes::failures::FailureSample;
use crate::slopes::fit::{self, GrowthFit};
use crate::slopes::idle::FleetSample;
use crate::slopes::messages::MessageSample;
use crate::slopes::owners::{BalanceSample, ChangeSample};
use crate::slopes::state::StateSample;

/// The results of all measurements; empty where one was not made.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlopeReport {
    /// Idle fleets, by size.
    pub fleets: Vec<FleetSample>,
    /// Growth of the figures of idle fleets.
    pub fits: Vec<GrowthFit>,
    /// Sizes of membership messages.
    pub messages: Vec<MessageSample>,
    /// Cost of full-digest gossip, by fleet size.
    pub digests: Vec<DigestSample>,
    /// Memory and time by kind of state.
    pub state: Vec<StateSample>,
    /// Costs of membership changes.
    pub changes: Vec<ChangeSample>,
    /// Balance of ownership.
    pub balance: Vec<BalanceSample>,
    /// Effects of failures.
    pub failures: Vec<FailureSample>,
}

type FleetQuantity = (&'static str, fn(&FleetSample) -> f64);

const QUANTITIES: [FleetQuantity; 5] = [
    ("bytes_per_second", |sample| sample.bytes_per_second),
    ("busiest_bytes_per_second", |sample| {
        sample.busiest_bytes_per_second
    }),
    ("processor_microseconds", |sample| {
        sample.processor_microseconds
    }),
    ("memory_bytes", |sample| sample.memory_bytes),
    ("fleet_noticed_p99_ms", |sample| sample.fleet_noticed_p99_ms),
];

impl SlopeReport {
    /// Fits growth models to the figures of the idle fleets, replacing earlier fits.
    pub fn fit(&mut self) {
        self.fits = QUANTITIES
            .iter()
            .flat_map(|(name, value)| {
                let points: Vec<(usize, f64)> = self
                    .fleets
                    .iter()
                    .map(|sample| (sample.nodes, value(sample)))
                    .collect();
                fit::fits(name, &points)
            })
            .collect();
    }

    /// Renders the Markdown tables of docs/CAPACITY.md, without those that have no rows.
    pub fn markdown(&self) -> String {
        let parts = [
            (self.fleets.is_empty(), self.fleet_table()),
            (self.fits.is_empty(), self.fit_table()),
            (self.messages.is_empty(), self.message_table()),
            (self.digests.is_empty(), self.digest_table()),
            (self.state.is_empty(), self.state_table()),
            (self.changes.is_empty(), self.change_table()),
            (self.balance.is_empty(), self.balance_table()),
            (self.failures.is_empty(), self.failure_table()),
        ];
        let shown = parts.into_iter().filter(|(empty, _)| !empty);
        let tables: Vec<String> = shown.map(|(_, table)| table).collect();
        tables.join("\n")
    }

    fn fleet_table(&self) -> String {
        let rows = self.fleets.iter().map(|row| {
            vec![
                row.nodes.to_string(),
                row.zones.to_string(),
                rounded(row.bytes_per_second),
                rounded(row.busiest_bytes_per_second),
                one_decimal(row.messages_per_second),
                one_decimal(row.processor_microseconds),
                rounded(row.memory_bytes / 1024.0),
                rounded(row.zone_noticed_p50_ms),
                rounded(row.zone_noticed_p99_ms),
                rounded(row.fleet_noticed_p99_ms),
                rounded(row.fleet_noticed_max_ms),
                row.unseen.to_string(),
            ]
        });
        let head = "nodes | zones | B/s a node | B/s busiest | messages/s | CPU us/s | memory KiB | \
                    noticed in zone p50 ms | p99 ms | in fleet p99 ms | max ms | unseen";
        table("Quiet fleets", head, rows)
    }

    fn fit_table(&self) -> String {
        let rows = self.fits.iter().map(|row| {
            vec![
                row.quantity.to_string(),
                row.shape.to_string(),
                format!("{:.4e}", row.intercept),
                format!("{:.4e}", row.slope),
                format!("{:.3e}", row.residual),
                format!("{} to {}", row.range[0], row.range[1]),
            ]
        });
        let head = "quantity | shape | intercept | slope | residual (rms) | range";
        table("Growth, the best fit of each quantity first", head, rows)
    }

    fn message_table(&self) -> String {
        let rows = self
            .messages
            .iter()
            .map(|row| vec![row.message.to_string(), row.bytes.to_string()]);
        table("Messages, without headers", "message | bytes", rows)
    }

    fn digest_table(&self) -> String {
        let rows = self
            .digests
            .iter()
            .map(|row| vec![row.nodes.to_string(), rounded(row.bytes_per_second)]);
        table(
            "Full-digest gossip, first message only",
            "nodes | B/s a node",
            rows,
        )
    }

    fn state_table(&self) -> String {
        let rows = self.state.iter().map(|row| {
            vec![
                row.item.to_string(),
                row.count.to_string(),
                rounded(row.bytes_each),
                format!("{:.3}", row.microseconds_each),
            ]
        });
        table("State", "item | held | bytes each | us each", rows)
    }

    fn change_table(&self) -> String {
        let rows = self.changes.iter().map(|row| {
            vec![
                row.nodes.to_string(),
                row.upstreams.to_string(),
                rounded(row.microseconds),
                one_decimal(row.moved),
            ]
        });
        let head = "nodes | upstreams | us a change | upstreams moved";
        table("One node goes or comes", head, rows)
    }

    fn balance_table(&self) -> String {
        let rows = self.balance.iter().map(|row| {
            vec![
                row.nodes.to_string(),
                row.upstreams.to_string(),
                row.bound
                    .map_or_else(|| "none".to_owned(), |bound| bound.to_string()),
                format!("{:.2}", row.busiest_over_mean),
                format!("{:.2}", row.worst_over_mean),
                format!("{:.2}", row.moved_over_least),
            ]
        });
        let head = "nodes | upstreams | bound | busiest/mean | worst | moved/least";
        table("Balance of owners in a zone", head, rows)
    }

    fn failure_table(&self) -> String {
        let rows = self.failures.iter().map(|row| {
            vec![
                row.failure.to_string(),
                row.nodes.to_string(),
                row.settled_seconds
                    .map_or_else(|| "more than 60".to_owned(), rounded),
                rounded(row.bytes_per_second),
                rounded(row.busiest_bytes_per_second),
                row.peak_bytes.to_string(),
            ]
        });
        let head = "failure | nodes | settled s | B/s a node | B/s busiest | most B in a second";
        table("Failures, the minute after", head, rows)
    }
}

fn rounded(value: f64) -> String {
    format!("{value:.0}")
}

fn one_decimal(value: f64) -> String {
    format!("{value:.1}")
}

fn table(title: &str, head: &str, rows: impl Iterator<Item = Vec<String>>) -> String {
    let columns = head.split(" | ").count();
    let separator = vec!["---"; columns].join(" | ");
    let mut lines = vec![format!("### {title}"), String::new()];
    lines.push(format!("| {head} |"));
    lines.push(format!("| {separator} |"));
    lines.extend(rows.map(|row| format!("| {} |", row.join(" | "))));
    lines.push(String::new());
    lines.join("\n")
}
