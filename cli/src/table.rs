//! Result table of `monsoon demo` and `monsoon load`.

use comfy_table::{CellAlignment, Table, presets};

use crate::tally::ClassRow;

const HEADINGS: [&str; 17] = [
    "class",
    "sent",
    "whole",
    "not_run",
    "unknown",
    "lost",
    "crossed",
    "doubled",
    "ran\ntwice",
    "not_run\nbut ran",
    "attained",
    "goodput\n/s",
    "wasted",
    "first\np50 ms",
    "first\np95 ms",
    "first\np99 ms",
    "gap\np95 ms",
];

/// The table, with one row per class or way.
pub fn class_table(rows: &[ClassRow]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(HEADINGS);
    for row in rows {
        table.add_row(cells(row));
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 1));
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// One line for each class or way with refusals: their number by error code.
pub fn refusal_lines(rows: &[ClassRow]) -> Vec<String> {
    let refused = rows.iter().filter(|row| !row.refusals.is_empty());
    refused
        .map(|row| {
            let reasons = row.refusals.iter();
            let reasons: Vec<String> = reasons
                .map(|(reason, count)| format!("{reason} {count}"))
                .collect();
            format!("not_run of {}: {}", row.name, reasons.join(", "))
        })
        .collect()
}

fn cells(row: &ClassRow) -> [String; 17] {
    let counts = &row.counts;
    let first = row.first_token_ms;
    [
        row.name.to_string(),
        counts.sent.to_string(),
        counts.whole.to_string(),
        counts.refused.to_string(),
        (counts.unknown + counts.cut).to_string(),
        counts.lost.to_string(),
        counts.crossed.to_string(),
        counts.doubled.to_string(),
        counts.ran_twice.to_string(),
        counts.refused_but_ran.to_string(),
        percent(row.attainment),
        format!("{:.0}", row.goodput),
        percent(row.wasted),
        format!("{:.1}", first.p50),
        format!("{:.1}", first.p95),
        format!("{:.1}", first.p99),
        row.longest_gap_ms
            .map_or_else(|| "-".to_owned(), |gap| format!("{:.1}", gap.p95)),
    ]
}

fn percent(share: Option<f64>) -> String {
    share.map_or_else(|| "-".to_owned(), |share| format!("{:.1}%", share * 100.0))
}
