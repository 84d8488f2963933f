//! Validates a whole configuration file: every document, duplicate names and unreachable rules.

use std::collections::BTreeMap;

use crate::config::Config;
use crate::config::check::{ConfigFault, check_document};
use crate::config::document::{self, Document};
use crate::config::locate::FieldPath;
use crate::config::spec::{ConfigFile, RuleSpec};

/// Positions of unreachable rules, each with the position of an earlier rule that matches
/// everything it matches.
pub fn unreachable_rules(rules: &[RuleSpec]) -> Vec<(usize, usize)> {
    rules
        .iter()
        .enumerate()
        .filter_map(|(position, rule)| {
            let earlier = &rules[..position];
            let cover = earlier
                .iter()
                .position(|other| other.when.covers(&rule.when))?;
            Some((position, cover))
        })
        .collect()
}

fn duplicates<'a>(
    section: &str,
    names: impl Iterator<Item = &'a str>,
    faults: &mut Vec<ConfigFault>,
) {
    let mut seen = BTreeMap::new();
    for (position, name) in names.enumerate() {
        let Some(first) = seen.insert(name, position) else {
            continue;
        };
        faults.push(ConfigFault {
            path: FieldPath::default()
                .field(section)
                .item(position)
                .field("name"),
            message: format!("`{name}` is also {section}[{first}]; expected another name").into(),
        });
    }
}

/// Validates a whole configuration file; returns all errors found.
pub fn check_file(file: &ConfigFile) -> Vec<ConfigFault> {
    let config = Config::from_file(1, file);
    let mut faults = Vec::new();
    let mut positions: BTreeMap<&str, usize> = BTreeMap::new();
    for document in document::split(file) {
        let section = section_of(&document);
        let mut path = FieldPath::default().field(section);
        if !matches!(document, Document::Tiers(_) | Document::Rules(_)) {
            let position = positions.entry(section).or_default();
            path = path.item(*position);
            *position += 1;
        }
        let found = check_document(&config, &document);
        faults.extend(found.into_iter().map(|fault| fault.under(&path)));
    }
    duplicates(
        "classes",
        file.classes.iter().map(|class| &*class.name),
        &mut faults,
    );
    let workspaces = file.workspaces.iter().map(|workspace| &*workspace.name);
    duplicates("workspaces", workspaces, &mut faults);
    duplicates(
        "pools",
        file.pools.iter().map(|pool| &*pool.name),
        &mut faults,
    );
    let upstreams = file.upstreams.iter().map(|upstream| &*upstream.name);
    duplicates("upstreams", upstreams, &mut faults);
    faults.extend(
        unreachable_rules(&file.rules)
            .into_iter()
            .map(|(rule, cover)| {
                let other = &file.rules[cover].name;
                ConfigFault {
            path: FieldPath::default().field("rules").item(rule),
            message: format!(
                "rule `{}` is never reached; expected it before rule `{other}`, which matches \
                 all that it matches",
                file.rules[rule].name
            )
            .into(),
        }
            }),
    );
    faults
}

fn section_of(document: &Document) -> &'static str {
    match document {
        Document::Tiers(_) => "tiers",
        Document::Class(_) => "classes",
        Document::Workspace(_) => "workspaces",
        Document::Pool(_) => "pools",
        Document::Upstream(_) => "upstreams",
        Document::Rules(_) => "rules",
        Document::Placement(_) => "placements",
    }
}
