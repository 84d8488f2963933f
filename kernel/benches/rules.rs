//! Classifying a request with 1,000 rules and 5,400 workspaces, folding changes of them, and a
//! gateway's rule lookup with 50 and with 8,000 rules.
//!
//! Run with `cargo bench -p monsoonbank-kernel --bench rules`.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use monsoonbank_kernel::config::rules::first_match;
use monsoonbank_kernel::config::{
    Config, ConfigFile, Document, RequestFacts, RuleMatch, RuleSpec, RuleTarget, WorkspaceSpec,
};
use monsoonbank_kernel::configuration::fold::ConfigFold;
use monsoonbank_kernel::gateway::rules::{
    AnswerForm, CallClass, CallRule, CallSafety, CallerBounds, PoolShare, RuleTable,
};
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, LogRecord, Record};

const WORKSPACES: usize = 5_400;
const RULES: usize = 1_000;
const UPSTREAMS: usize = 10_000;

const BASE: &str = "
tiers: [{ tier: 0, floor: 0.0 }, { tier: 1, floor: 0.1 }, { tier: 2, floor: 0.1 }]
classes: [{ name: chat, tier: 1, target: 650ms, repeatable: true }]
pools:
  - { name: model-0, kind: model }
  - { name: model-1, kind: model }
  - { name: model-2, kind: model }
  - { name: model-3, kind: model }
";

fn workspace(index: usize, weight: u32) -> WorkspaceSpec {
    WorkspaceSpec {
        name: format!("workspace-{index}").into(),
        token_sha256: format!("{index:064x}").into(),
        weight,
        calls_per_second: Some(100.0),
        concurrent_calls: None,
    }
}

fn named(prefix: &str, index: usize) -> Box<str> {
    format!("{prefix}-{index}").into()
}

/// Each rule lists five or six workspaces and a model; every third one has a path prefix as well.
fn rule(index: usize) -> RuleSpec {
    let workspaces = (0..WORKSPACES).skip(index).step_by(RULES);
    let path = (index.is_multiple_of(3)).then(|| "/v1/chat".into());
    RuleSpec {
        name: named("rule", index),
        when: RuleMatch {
            workspaces: workspaces.map(|index| named("workspace", index)).collect(),
            models: vec![named("model", index % 4)],
            path_prefix: path,
            ..RuleMatch::default()
        },
        then: RuleTarget {
            class: "chat".into(),
            tier: None,
            pool: None,
        },
    }
}

/// Rules that differ by header only, so that the index cannot exclude any.
fn header_rule(index: usize) -> RuleSpec {
    let mut rule = rule(index);
    rule.when = RuleMatch::default();
    rule.when
        .headers
        .insert("x-purpose".into(), named("purpose", index));
    rule
}

fn file(rule: fn(usize) -> RuleSpec) -> ConfigFile {
    let mut file: ConfigFile = serde_yaml_ng::from_str(BASE).expect("the base is valid");
    file.workspaces = (0..WORKSPACES).map(|index| workspace(index, 1)).collect();
    file.rules = (0..RULES).map(rule).collect();
    file.upstreams = (0..UPSTREAMS)
        .map(|index| {
            let address = format!("10.{}.{}.1:8000", index / 250, index % 250);
            serde_yaml_ng::from_str(&format!(
                "{{ name: engine-{index}, pool: model-{}, zone: z{}, address: '{address}', \
                 slots: 50 }}",
                index % 4,
                index % 23
            ))
            .expect("the upstream is valid")
        })
        .collect();
    file
}

fn classify(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("classify");
    let headers = [
        ("x-purpose", "none"),
        ("accept", "*/*"),
        ("user-agent", "bench"),
    ];
    let facts = RequestFacts {
        workspace: "workspace-999",
        path: "/v1/chat/completions",
        method: "POST",
        model: "model-3",
        headers: &headers,
        bytes: 4_000,
        streamed: true,
    };
    let unmatched = RequestFacts {
        workspace: "workspace-other",
        ..facts.clone()
    };
    for (name, rule) in [
        ("named", rule as fn(usize) -> RuleSpec),
        ("headers", header_rule),
    ] {
        let config = Config::from_file(1, &file(rule));
        group.bench_function(format!("{name}/last"), |bencher| {
            bencher.iter(|| config.classify(black_box(&facts)));
        });
        group.bench_function(format!("{name}/none"), |bencher| {
            bencher.iter(|| config.classify(black_box(&unmatched)));
        });
        group.bench_function(format!("{name}/one by one"), |bencher| {
            bencher.iter(|| first_match(&config.rules, black_box(&facts)));
        });
    }
    group.finish();
}

/// A gateway rule with a distinct path, of which an operator may have thousands.
fn path_rule(index: usize) -> CallRule {
    CallRule {
        name: named("rule", index),
        host: "calls.example".into(),
        path_prefix: format!("/{:x}/", index.wrapping_mul(0x9E37_79B9) % (1 << 31)).into(),
        class: CallClass {
            safety: CallSafety::Idempotent,
            form: AnswerForm::Whole,
            tier: 0,
            timeout: Duration::from_secs(1),
            target: Duration::from_millis(100),
            event_timeout: None,
            max_attempts: 2,
            gap: Some(Duration::from_millis(250)),
            cached: false,
        },
        pools: [PoolShare {
            pool: named("model", index % 4),
            weight: 1,
        }]
        .into(),
        public: false,
    }
}

/// The lookup that a gateway does for each call, by the number of rules.
fn gateway(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("gateway");
    let bounds = CallerBounds {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
    };
    for rules in [50, 8_000] {
        let table = RuleTable::new(1, bounds, (0..rules).map(path_rule).collect(), Vec::new());
        let path = format!("{}x", path_rule(rules / 2).path_prefix);
        group.bench_function(format!("{rules} rules"), |bencher| {
            bencher.iter(|| {
                let rule = table.find("calls.example", black_box(&path));
                rule.map(|rule| table.is_tight(rule))
            });
        });
    }
    group.finish();
}

fn entry(offset: u64, change: ChangeRecord) -> LogRecord {
    LogRecord {
        offset,
        record: Some(Record::Change(change)),
    }
}

fn change(offset: u64, content: Document, replaces: u64) -> LogRecord {
    let change = ChangeRecord {
        id: format!("change-{offset}").into(),
        changes: vec![DocumentChange::set(content, replaces)],
    };
    entry(offset, change)
}

/// Folds changes in sequence. With `shared` the previous configuration stays referenced, as on a
/// node that serves calls.
fn changes(criterion: &mut Criterion, name: &str, shared: bool, content: fn(u64) -> Document) {
    let mut fold = ConfigFold::default();
    fold.apply(&entry(0, ChangeRecord::from_file("base", &file(rule))));
    let mut offset = 1;
    criterion.bench_function(&format!("fold/{name}"), |bencher| {
        bencher.iter(|| {
            let in_force = shared.then(|| fold.config().clone());
            let document = content(offset);
            let replaces = fold.version_of(&document.key());
            fold.apply(&change(offset, document, replaces));
            offset += 1;
            in_force
        });
    });
    assert_eq!(fold.config().version, offset, "every change was accepted");
}

fn set_workspace(offset: u64) -> Document {
    let index = offset as usize % WORKSPACES;
    Document::Workspace(workspace(index, offset as u32))
}

fn set_rules(offset: u64) -> Document {
    let mut rules: Vec<RuleSpec> = (0..RULES).map(rule).collect();
    rules[0].then.tier = Some(monsoonbank_kernel::call::Tier((offset % 2) as u8));
    Document::Rules(rules)
}

fn fold(criterion: &mut Criterion) {
    changes(criterion, "one workspace", true, set_workspace);
    changes(
        criterion,
        "one workspace while catching up",
        false,
        set_workspace,
    );
    changes(criterion, "the rule list", true, set_rules);
    let file = file(rule);
    criterion.bench_function("fold/the whole configuration", |bencher| {
        bencher.iter(|| Config::from_file(1, black_box(&file)));
    });
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20);
    targets = classify, gateway, fold
}
criterion_main!(benches);
