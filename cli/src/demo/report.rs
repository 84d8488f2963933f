//! The demonstration's report.

use std::collections::BTreeMap;

use monsoonbank_kernel::config::{ClassSpec, ConfigFile};
use serde::Serialize;

use crate::demo::audit::RunAudit;
use crate::demo::callers::FinishedCall;
use crate::demo::fleet::Fleet;
use crate::demo::incidents::IncidentRecord;
use crate::table;
use crate::tally::{ClassRow, ClassTally, ClassTarget};
use crate::traffic::TrafficPlan;

/// What the demonstration showed.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// The deployment.
    pub deployment: Box<str>,
    /// How long requests arrived, in seconds.
    pub seconds: u64,
    /// Seed of the traffic.
    pub seed: u64,
    /// Nodes.
    pub nodes: u64,
    /// Requests a second outside of the burst.
    pub rate: f64,
    /// What happened in mid-run.
    pub incidents: Vec<IncidentRecord>,
    /// Whether the planned stop ended by itself.
    pub stopped_as_planned: bool,
    /// One row a class.
    pub classes: Vec<ClassRow>,
}

impl DemoReport {
    /// Whether every promise was kept.
    pub fn passed(&self) -> bool {
        self.stopped_as_planned && !self.classes.iter().any(|row| row.counts.has_violations())
    }
}

/// One row a class, from what callers were told and what upstreams ran.
pub fn rows(fleet: &Fleet, plan: &TrafficPlan, calls: &[FinishedCall]) -> Vec<ClassRow> {
    let targets = targets(&fleet.file);
    let mut tallies: Vec<ClassTally> = plan
        .classes
        .iter()
        .map(|class| ClassTally::new(targets.get(&*class.class).copied()))
        .collect();
    let audit = RunAudit::read(fleet);
    for call in calls {
        let tally = &mut tallies[call.class];
        tally.record(call.due, call.body.units(), &call.result);
        audit.check(call, tally);
    }
    plan.classes
        .iter()
        .zip(&tallies)
        .map(|(class, tally)| tally.row(&class.class, plan.length))
        .collect()
}

fn targets(file: &ConfigFile) -> BTreeMap<&str, ClassTarget> {
    let target = |class: &ClassSpec| ClassTarget {
        first: class.target,
        token_gap: class.token_target,
    };
    file.classes
        .iter()
        .map(|class| (&*class.name, target(class)))
        .collect()
}

/// Prints the report for people.
pub fn print(report: &DemoReport) {
    println!(
        "{}: {} nodes, {} s, {} requests/s, seed {}",
        report.deployment, report.nodes, report.seconds, report.rate, report.seed
    );
    for note in &report.incidents {
        println!("  {:>6.1} s  {}", note.at_ms as f64 / 1000.0, note.what);
    }
    println!("{}", table::class_table(&report.classes));
    for line in table::refusal_lines(&report.classes) {
        println!("{line}");
    }
    let verdict = if report.passed() {
        "nothing lost, crossed or doubled; nothing ran twice; nothing refused ran"
    } else {
        "a promise was broken"
    };
    println!("{verdict}");
}
