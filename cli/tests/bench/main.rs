//! Runs `monsoon bench` as a program.

use std::process::{Command, Output};

fn bench(file: &str, arguments: &[&str]) -> Output {
    let scenario = format!("{}/tests/bench/{file}", env!("CARGO_MANIFEST_DIR"));
    Command::new(env!("CARGO_BIN_EXE_monsoon"))
        .args(["bench", "--scenario", &scenario])
        .args(arguments)
        .output()
        .expect("the tool runs")
}

#[test]
fn the_same_seed_gives_identical_output() {
    let first = bench("small.yaml", &["--seed", "7", "--format", "json"]);
    let second = bench("small.yaml", &["--seed", "7", "--format", "json"]);
    assert!(first.status.success());
    assert_eq!(first.stdout, second.stdout);
    let other_seed = bench("small.yaml", &["--seed", "8", "--format", "json"]);
    assert_ne!(first.stdout, other_seed.stdout);
}

#[test]
fn every_policy_ends_every_call() {
    let arguments = ["--compare", "--seeds", "2", "--format", "json"];
    let output = bench("small.yaml", &arguments);
    let runs: Vec<serde_json::Value> =
        serde_json::from_slice(&output.stdout).expect("JSON figures");
    assert_eq!(runs.len(), 18);
    for run in &runs {
        assert_eq!(run["open"], 0, "{run}");
    }
    let share = |policy: &str| {
        let of_policy = runs.iter().filter(|run| run["policy"] == policy);
        of_policy
            .filter_map(|run| run["goodput_share"].as_f64())
            .sum::<f64>()
    };
    for baseline in ["fifo-roundrobin", "strict-priority", "least-reported-load"] {
        assert!(
            share("monsoon") > share(baseline),
            "{baseline} has a goodput share at least as high"
        );
    }
    let own_runs = runs.iter().filter(|run| run["policy"] == "monsoon");
    assert!(own_runs.into_iter().all(|run| run["urgent_shed"] == 0));
}

#[test]
fn an_unknown_scenario_field_is_reported() {
    let output = bench("unknown.yaml", &[]);
    assert!(!output.status.success());
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        message.contains("faults[0]") && message.contains("colour"),
        "{message}"
    );
}

#[test]
fn plot_writes_an_svg_file() {
    let file = std::env::temp_dir().join(format!("monsoon-bench-{}.svg", std::process::id()));
    let path = file.display().to_string();
    let output = bench("small.yaml", &["--plot", &path]);
    assert!(output.status.success());
    let svg = std::fs::read_to_string(&file).expect("the SVG file");
    std::fs::remove_file(&file).expect("the SVG file can be removed");
    assert!(svg.starts_with("<svg") && svg.contains("attainment"));
}
