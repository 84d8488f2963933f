//! Which callers pay for a shortage of capacity: how the calls of each workspace, class or
//! availability zone ended, from the decision lines of nodes.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use comfy_table::{CellAlignment, Table, presets};
use derive_more::{AddAssign, Display, FromStr};
use serde::Serialize;
use serde_json::Value;

use crate::why::{DecisionLines, number};

/// What calls are grouped by.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum PayerGroup {
    /// The workspace of the caller's key.
    #[display("workspace")]
    Workspace,
    /// The rule that the call matched.
    #[display("class")]
    Class,
    /// The availability zone of the node that the call came to.
    #[display("zone")]
    Zone,
}

/// Name of the group of calls whose lines do not name one.
const NO_GROUP: &str = "-";

const HEADINGS: [&str; 8] = [
    "asked",
    "returns",
    "in target",
    "late",
    "refused",
    "failed",
    "waited",
    "wait p95 ms",
];

/// How the calls of a group ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, AddAssign, Serialize)]
struct PayerCounts {
    /// Calls that matched a rule.
    asked: u64,
    /// Calls among them whose content had been asked for before without a whole answer.
    returns: u64,
    /// Whole answers whose first part came within the target.
    in_target: u64,
    /// Whole answers after it, or without a target in their lines.
    late: u64,
    /// Calls that did not run.
    refused: u64,
    /// Calls that ended without a whole answer in any other way.
    failed: u64,
    /// Calls that waited for capacity.
    waited: u64,
}

impl PayerCounts {
    /// Number of calls that got no answer within their target.
    fn lost(&self) -> u64 {
        self.asked - self.in_target
    }
}

/// A group with its counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PayerRow {
    name: Box<str>,
    #[serde(flatten)]
    counts: PayerCounts,
    /// 95th percentile of the waits of calls that waited, in ms; 0 if none did.
    wait_p95_ms: u64,
}

/// Calls of a group, of which some contents may have been asked for several times.
#[derive(Default)]
struct PayerCalls<'a> {
    counts: PayerCounts,
    waits: Vec<u64>,
    contents: BTreeMap<&'a str, ContentCalls>,
}

/// Calls with the same content.
#[derive(Default)]
struct ContentCalls {
    asked: u64,
    unanswered: u64,
}

impl<'a> PayerCalls<'a> {
    fn count(&mut self, matched: &'a Value, lines: &[Value]) {
        let last = |event: &str| lines.iter().rev().find(|line| line["event"] == event);
        let mut counts = PayerCounts {
            asked: 1,
            ..PayerCounts::default()
        };
        let ended = last("ended");
        let outcome = ended.and_then(|line| line["outcome"].as_str());
        match outcome {
            Some("answered") if is_in_target(matched, ended) => counts.in_target = 1,
            Some("answered") => counts.late = 1,
            Some("not_run") => counts.refused = 1,
            _ => counts.failed = 1,
        }
        let waits = lines.iter().filter(|line| line["event"] == "waited");
        let waited: u64 = waits.map(|line| number(line, "waited_ms")).sum();
        if last("waited").is_some() {
            counts.waited = 1;
            self.waits.push(waited);
        }
        if let Some(content) = matched["content"].as_str() {
            let calls = self.contents.entry(content).or_default();
            calls.asked += 1;
            calls.unanswered += u64::from(outcome != Some("answered"));
        }
        self.counts += counts;
    }

    fn row(mut self, name: &str) -> PayerRow {
        let returns = |calls: &ContentCalls| calls.unanswered.min(calls.asked - 1);
        self.counts.returns = self.contents.values().map(returns).sum();
        self.waits.sort_unstable();
        let rank = (self.waits.len() * 95).div_ceil(100);
        PayerRow {
            name: name.into(),
            counts: self.counts,
            wait_p95_ms: self.waits.get(rank.saturating_sub(1)).copied().unwrap_or(0),
        }
    }
}

fn is_in_target(matched: &Value, ended: Option<&Value>) -> bool {
    let first = ended.and_then(|line| line["first_ms"].as_u64());
    let target = matched["target_ms"].as_u64();
    first
        .zip(target)
        .is_some_and(|(first, target)| first <= target)
}

/// Counts all calls that matched a rule, by group: first the group that lost most.
pub fn count(lines: &DecisionLines, group: PayerGroup) -> Vec<PayerRow> {
    let mut groups: BTreeMap<&str, PayerCalls> = BTreeMap::new();
    for calls in lines.calls.values() {
        let Some(matched) = calls.iter().find(|line| line["event"] == "matched") else {
            continue;
        };
        let name = match group {
            PayerGroup::Workspace => matched["workspace"].as_str(),
            PayerGroup::Class => matched["rule"].as_str(),
            PayerGroup::Zone => {
                let node = matched["node"].as_str().unwrap_or_default();
                lines.zones.get(node).map(|zone| &**zone)
            }
        };
        let group = groups.entry(name.unwrap_or(NO_GROUP)).or_default();
        group.count(matched, calls);
    }
    let rows = groups.into_iter().map(|(name, calls)| calls.row(name));
    let mut rows: Vec<PayerRow> = rows.collect();
    rows.sort_by_key(|row| Reverse(row.counts.lost()));
    rows
}

/// The table, with one row per group.
pub fn table(rows: &[PayerRow], group: PayerGroup) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    let group = group.to_string();
    table.set_header(std::iter::once(group.as_str()).chain(HEADINGS));
    for row in rows {
        let counts = &row.counts;
        let numbers = [
            counts.asked,
            counts.returns,
            counts.in_target,
            counts.late,
            counts.refused,
            counts.failed,
            counts.waited,
            row.wait_p95_ms,
        ];
        let numbers = numbers.iter().map(u64::to_string);
        table.add_row(std::iter::once(row.name.to_string()).chain(numbers));
    }
    for column in table.column_iter_mut() {
        column.set_padding((0, 1));
    }
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}
