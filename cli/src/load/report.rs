//! Report of `monsoon load`.

use serde::Serialize;

use crate::load::LoadWay;
use crate::table;
use crate::tally::{ClassRow, ClassTally};
use crate::traffic::TrafficPlan;

/// Latency that a target adds to the direct way, by the time to the first token or whole answer.
#[derive(Clone, Debug, Serialize)]
pub struct AddedLatency {
    /// Name of the target.
    pub name: Box<str>,
    /// Difference between the medians, in milliseconds.
    pub p50_ms: f64,
    /// Difference between the 99th percentiles, in milliseconds.
    pub p99_ms: f64,
    /// Ratio of the target's median to the direct one.
    pub p50_ratio: f64,
    /// Ratio of the target's 99th percentile to the direct one.
    pub p99_ratio: f64,
}

/// Results of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Mean number of requests per second over all ways.
    pub rate: f64,
    /// Time during which requests arrived, in seconds.
    pub seconds: u64,
    /// One row per way.
    pub ways: Vec<ClassRow>,
    /// Latency that each target adds to the direct way; empty without a direct way.
    pub added: Vec<AddedLatency>,
}

/// The report of a run; `tallies` are in the order of `ways`.
pub fn report(ways: &[LoadWay], plan: &TrafficPlan, tallies: &[ClassTally]) -> LoadReport {
    let rows: Vec<ClassRow> = ways
        .iter()
        .zip(tallies)
        .map(|(way, tally)| tally.row(&way.name, plan.length))
        .collect();
    let direct = ways.iter().position(|way| way.direct);
    let added = direct.map_or_else(Vec::new, |direct| {
        let others = rows.iter().enumerate().filter(|(way, _)| *way != direct);
        others.map(|(_, row)| added(row, &rows[direct])).collect()
    });
    LoadReport {
        rate: plan.rate,
        seconds: plan.length.as_secs(),
        ways: rows,
        added,
    }
}

fn added(row: &ClassRow, direct: &ClassRow) -> AddedLatency {
    let (own, base) = (row.first_token_ms, direct.first_token_ms);
    AddedLatency {
        name: row.name.clone(),
        p50_ms: own.p50 - base.p50,
        p99_ms: own.p99 - base.p99,
        p50_ratio: own.p50 / base.p50,
        p99_ratio: own.p99 / base.p99,
    }
}

/// Prints the report as text.
pub fn print(report: &LoadReport) {
    println!("{}", table::class_table(&report.ways));
    for line in table::refusal_lines(&report.ways) {
        println!("{line}");
    }
    for added in &report.added {
        println!(
            "{} adds to the direct way: p50 {:+.3} ms (x{:.2}), p99 {:+.3} ms (x{:.2})",
            added.name, added.p50_ms, added.p50_ratio, added.p99_ms, added.p99_ratio
        );
    }
}
