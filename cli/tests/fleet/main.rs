//! Runs the commands that start whole fleets, and checks the classification of answers.

mod support;
#[path = "../../src/verify.rs"]
mod verify;

use serde_json::Value;

use crate::support::{ServedFleet, run_json};
use crate::verify::{AnswerCheck, compare_answers};

macro_rules! demos {
    ($($name:ident: $deployment:expr, $nodes:expr;)*) => {
        $(#[test]
        fn $name() {
            let (code, report) = run_json(&[
                "demo", "--deployment", $deployment, "--nodes", $nodes, "--seconds", "4",
                "--rate", "40", "--format", "json",
            ]);
            for class in report["classes"].as_array().expect("classes") {
                check_class(class);
            }
            assert_eq!(report["incidents"].as_array().map(Vec::len), Some(3), "{report:#}");
            assert_eq!(code, Some(0), "{report:#}");
        })*
    };
}

demos! {
    the_tauhere_demo_ends_every_call_once: "tauhere", "4";
    the_bengal_demo_ends_every_call_once: "bengal", "5";
}

/// Checks that every call of a class ended exactly once and that no call was lost, crossed,
/// doubled, run twice or run after a refusal.
fn check_class(class: &Value) {
    let count = |name: &str| class[name].as_u64().expect("a count");
    let outcomes: u64 = ["whole", "refused", "unknown", "cut"]
        .map(count)
        .iter()
        .sum();
    assert_eq!(count("sent"), outcomes, "{class:#}");
    for name in ["lost", "crossed", "doubled", "ran_twice", "refused_but_ran"] {
        assert_eq!(count(name), 0, "{name}: {class:#}");
    }
    assert!(count("whole") > 0, "{class:#}");
}

#[test]
fn load_sends_to_every_target() {
    let fleet = ServedFleet::start("2");
    let target = format!("node={}", fleet.callers);
    let (code, report) = run_json(&[
        "load",
        "--target",
        &target,
        "--direct",
        &fleet.engine,
        "--token",
        "kauri-books-token",
        "--model",
        "tauhere-writer",
        "--rate",
        "20",
        "--seconds",
        "2",
        "--check",
        "--format",
        "json",
    ]);
    assert_eq!(code, Some(0), "{report:#}");
    let ways = report["ways"].as_array().expect("ways");
    for (way, name) in ways.iter().zip(["node", "direct"]) {
        assert_eq!(way["name"], name);
        assert!(way["whole"].as_u64() > Some(0), "{way:#}");
        assert_eq!(way["whole"], way["sent"], "{way:#}");
    }
    assert_eq!(report["added"][0]["name"], "node");
}

macro_rules! verdicts {
    ($($name:ident: $got:expr => $verdict:ident;)*) => {
        $(#[test]
        fn $name() {
            assert_eq!(compare_answers("w1 w2 w3 w2 ", $got), AnswerCheck::$verdict);
        })*
    };
}

verdicts! {
    every_token_once_is_whole: "w1 w2 w3 w2 " => Whole;
    an_empty_answer_is_short: "" => Short;
    missing_end_is_short: "w1 w2 w3 " => Short;
    missing_middle_is_short: "w1 w3 w2 " => Short;
    repeated_token_is_doubled: "w1 w1 w2 w3 w2 " => Doubled;
    repeated_answer_is_doubled: "w1 w2 w3 w2 w1 w2 w3 w2 " => Doubled;
    resumed_too_early_is_doubled: "w1 w2 w1 w2 w3 w2 " => Doubled;
    foreign_token_is_crossed: "w1 w9 w2 w3 w2 " => Crossed;
    foreign_answer_is_crossed: "w7 w8 w9 w7 " => Crossed;
    half_a_token_is_crossed: "w1 w2 w3 w" => Crossed;
}

#[test]
fn bench_fleet_measures_publishing() {
    let (code, report) = run_json(&[
        "bench",
        "fleet",
        "--only",
        "publish",
        "--nodes",
        "3",
        "--publishes",
        "2",
        "--logs",
        "healthy,down",
        "--format",
        "json",
    ]);
    assert_eq!(code, Some(0), "{report:#}");
    let samples = report["publish"].as_array().expect("samples");
    assert_eq!(samples.len(), 2, "{report:#}");
    for sample in samples {
        assert_eq!(sample["in_force_ms"]["count"], 2, "{report:#}");
    }
}
