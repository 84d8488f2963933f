//! Report of the demonstration.

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

/// Results of a demonstration run.
#[derive(Clone, Debug, Serialize)]
pub struct DemoReport {
    /// Name of the deployment.
    pub deployment: Box<str>,
    /// Time during which requests arrived, in seconds.
    pub seconds: u64,
    /// Seed of the traffic.
    pub seed: u64,
    /// Number of nodes at the start.
    pub nodes: u64,
    /// Mean number of requests per second outside bursts.
    pub rate: f64,
    /// Incidents during the run, in chronological order.
    pub incidents: Vec<IncidentRecord>,
    /// Whether the planned stop finished before its timeout; `true` if there was none.
    pub stopped_as_planned: bool,
    /// One row per class.
    pub classes: Vec<ClassRow>,
}

impl DemoReport {
    /// Whether the planned stop finished and no call violated a guarantee.
    pub fn passed(&self) -> bool {
        self.stopped_as_planned && !self.classes.iter().any(|row| row.counts.has_violations())
    }
}

/// The rows by class, from the outcomes that callers received and what the upstreams ran.
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

/// Prints the report as text.
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
    let summary = if report.passed() {
        "nothing lost, crossed or doubled; nothing ran twice; nothing refused ran"
    } else {
        "a guarantee was violated"
    };
    println!("{summary}");
}
