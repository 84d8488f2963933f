//! Text tables of the figures.

use comfy_table::{Table, presets};

use crate::bench::measure::RunFigures;

fn percent(value: f64) -> String {
    format!("{:.2}%", value * 100.0)
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(header.iter().copied());
    table
}

/// Renders the figures of one run: a table by class, then one row for the whole run.
pub fn run_tables(figures: &RunFigures) -> String {
    let mut classes = table(&[
        "class",
        "tier",
        "sent",
        "whole",
        "not run",
        "unknown",
        "attainment",
        "first p50",
        "p99",
    ]);
    for class in &figures.classes {
        classes.add_row([
            class.class.to_string(),
            class.tier.to_string(),
            class.sent.to_string(),
            class.whole.to_string(),
            class.refused.to_string(),
            class.unknown.to_string(),
            percent(class.attainment),
            format!("{:.0} ms", class.first_token_p50_ms),
            format!("{:.0} ms", class.first_token_p99_ms),
        ]);
    }
    format!("{classes}\n\n{}", run_rows(std::slice::from_ref(figures)))
}

/// Renders a table with one row per run.
pub fn run_rows(runs: &[RunFigures]) -> String {
    let mut rows = table(&[
        "policy",
        "seed",
        "urgent",
        "shed",
        "goodput/bound",
        "waste",
        "floors",
        "jain",
        "open",
    ]);
    for run in runs {
        let floors: Vec<String> = run
            .floors
            .iter()
            .map(|(tier, progress)| format!("{tier}: {progress:.2}"))
            .collect();
        rows.add_row([
            run.policy.to_string(),
            run.seed.to_string(),
            percent(run.urgent_attainment),
            run.urgent_shed.to_string(),
            percent(run.goodput_share),
            percent(run.busy),
            percent(run.waste),
            floors.join(" "),
            format!("{:.4}", run.jain),
            run.open.to_string(),
        ]);
    }
    rows.to_string()
}

/// Combines the runs of one policy into the worst value of each figure over the seeds, or `None` if
/// there is no run. Counts of calls are those of the first run, `busy` too.
pub fn worst(runs: &[RunFigures]) -> Option<RunFigures> {
    let mut worst = runs.first()?.clone();
    for run in &runs[1..] {
        worst.urgent_attainment = worst.urgent_attainment.min(run.urgent_attainment);
        worst.urgent_shed = worst.urgent_shed.max(run.urgent_shed);
        worst.goodput_share = worst.goodput_share.min(run.goodput_share);
        worst.goodput = worst.goodput.min(run.goodput);
        worst.goodput_bound = worst.goodput_bound.max(run.goodput_bound);
        worst.waste = worst.waste.max(run.waste);
        worst.jain = worst.jain.min(run.jain);
        worst.open = worst.open.max(run.open);
        for (tier, progress) in &run.floors {
            let least = worst.floors.entry(*tier).or_insert(*progress);
            *least = least.min(*progress);
        }
        for (class, other) in worst.classes.iter_mut().zip(&run.classes) {
            class.attainment = class.attainment.min(other.attainment);
            class.first_token_p50_ms = class.first_token_p50_ms.max(other.first_token_p50_ms);
            class.first_token_p99_ms = class.first_token_p99_ms.max(other.first_token_p99_ms);
        }
    }
    Some(worst)
}
