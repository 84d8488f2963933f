//! The load's report.

use serde::Serialize;

use crate::load::LoadWay;
use crate::table;
use crate::tally::{ClassRow, ClassTally};
use crate::traffic::TrafficPlan;

/// What a target adds to the direct way.
#[derive(Clone, Debug, Serialize)]
pub struct AddedLatency {
    /// The target.
    pub name: Box<str>,
    /// Difference of the medians, in milliseconds.
    pub p50_ms: f64,
    /// Difference of the 99th percentiles, in milliseconds.
    pub p99_ms: f64,
    /// Ratio of the medians.
    pub p50_ratio: f64,
    /// Ratio of the 99th percentiles.
    pub p99_ratio: f64,
}

/// What the load showed.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests a second, over all ways.
    pub rate: f64,
    /// How long requests arrived, in seconds.
    pub seconds: u64,
    /// One row a way.
    pub ways: Vec<ClassRow>,
    /// What each target adds to the direct way.
    pub added: Vec<AddedLatency>,
}

/// Compares the ways.
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

/// Prints the report for people.
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
