//! `monsoon bench`: simulates a node's dispatch decisions on virtual time.

mod bound;
mod engine;
mod measure;
mod plot;
mod policy;
mod report;
mod run;
pub mod scenario;
mod traffic;

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use thiserror::Error;

use crate::arguments::{self, OutputFormat};
use crate::bench::measure::RunFigures;
use crate::bench::policy::{BenchPolicy, POLICIES};
use crate::bench::scenario::ScenarioFile;

/// Errors of `monsoon bench`.
#[derive(Debug, Error)]
pub enum BenchError {
    /// A scenario file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// Path of the scenario file.
        file: Box<str>,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A field of a scenario has no usable value.
    #[error("{file}: {field}: {reason}")]
    Field {
        /// Path of the scenario file.
        file: Box<str>,
        /// Path of the field within the file, such as `faults[0]`.
        field: Box<str>,
        /// What is wrong with the value, and what was expected.
        reason: Box<str>,
    },
    /// The plot cannot be drawn or written.
    #[error("{file}: {reason}")]
    Plot {
        /// Path of the SVG file.
        file: Box<str>,
        /// Error of the plotting library.
        reason: Box<str>,
    },
    /// The figures cannot be serialized as JSON.
    #[error("cannot write the figures: {0}")]
    Json(#[from] serde_json::Error),
}

const LONG_ABOUT: &str = "\
Runs one node's kernel on virtual time against simulated engines and prints its figures: the share \
of calls within their targets, goodput against the most that any schedule could reach, wasted work, \
each lower tier's progress against its floor, and fairness between workspaces. The same scenario, \
seed and policy give the same figures, byte for byte.

Examples:
  monsoon bench --scenario examples/scenarios/overload.yaml --seed 1
  monsoon bench --scenario examples/scenarios/straggler.yaml --seed 1 --seeds 20 --compare
  monsoon bench --scenario examples/scenarios/gates.yaml --seed 1 --plot gates.svg";

/// Builds the command-line interface of `monsoon bench`.
pub fn command() -> Command {
    Command::new("bench")
        .about("Simulates a node's dispatch decisions on virtual time")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Scenario file"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Seed of the first run"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("COUNT")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..=1_000))
                .help("Runs, each with the next seed; the worst of each figure is printed"),
        )
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("COUNT")
                .default_value("2")
                .value_parser(value_parser!(u64).range(1..=64))
                .help("Number of runs in parallel"),
        )
        .arg(
            Arg::new("policy")
                .long("policy")
                .value_name("NAME")
                .default_value("monsoon")
                .value_parser(POLICIES.map(|policy| policy.to_string()).to_vec())
                .help("Policy to run"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .action(ArgAction::SetTrue)
                .help("Run every policy"),
        )
        .arg(
            Arg::new("plot")
                .long("plot")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Draw the policy's first run as SVG into this file"),
        )
        .arg(arguments::format())
}

/// Runs the scenario for each chosen policy and seed and prints the figures; with `--plot`, also
/// draws the first run. Fails if the scenario cannot be read or the plot cannot be written.
pub fn run(matches: &ArgMatches) -> Result<(), BenchError> {
    let empty = PathBuf::new();
    let path = matches.get_one::<PathBuf>("scenario").unwrap_or(&empty);
    let scenario = ScenarioFile::read(path)?;
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(1);
    let jobs = matches.get_one::<u64>("jobs").copied().unwrap_or(1);
    let name = matches.get_one::<String>("policy");
    let policy = name.and_then(|name| BenchPolicy::named(name));
    let policy = policy.unwrap_or(BenchPolicy::Monsoon);
    let policies = if matches.get_flag("compare") {
        POLICIES.to_vec()
    } else {
        vec![policy]
    };
    if let Some(file) = matches.get_one::<PathBuf>("plot") {
        draw_first_run(file, &scenario, seed, policy)?;
    }
    let tasks: Vec<(BenchPolicy, u64)> = policies
        .iter()
        .flat_map(|policy| (seed..seed + seeds).map(|seed| (*policy, seed)))
        .collect();
    let runs = run_all(&scenario, &tasks, jobs as usize);
    print(
        &scenario,
        &runs,
        &policies,
        arguments::chosen_format(matches),
    )
}

fn draw_first_run(
    file: &Path,
    scenario: &ScenarioFile,
    seed: u64,
    policy: BenchPolicy,
) -> Result<(), BenchError> {
    let record = run::run(scenario, seed, policy);
    plot::draw(file, scenario, &record)
}

/// Runs all tasks on up to `jobs` threads and returns the figures in the order of the tasks.
fn run_all(scenario: &ScenarioFile, tasks: &[(BenchPolicy, u64)], jobs: usize) -> Vec<RunFigures> {
    let next_task = AtomicUsize::new(0);
    let results: Mutex<Vec<(usize, RunFigures)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs.min(tasks.len()) {
            scope.spawn(|| {
                loop {
                    let index = next_task.fetch_add(1, Ordering::Relaxed);
                    let Some((policy, seed)) = tasks.get(index).copied() else {
                        return;
                    };
                    let record = run::run(scenario, seed, policy);
                    let figures = record.figures(scenario, &policy.to_string(), seed);
                    if let Ok(mut results) = results.lock() {
                        results.push((index, figures));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_default();
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, figures)| figures).collect()
}

fn print(
    scenario: &ScenarioFile,
    runs: &[RunFigures],
    policies: &[BenchPolicy],
    format: OutputFormat,
) -> Result<(), BenchError> {
    if format == OutputFormat::Json {
        println!("{}", serde_json::to_string_pretty(runs)?);
        return Ok(());
    }
    let worst: Vec<RunFigures> = policies
        .iter()
        .filter_map(|policy| {
            let name = policy.to_string();
            let of_policy = runs.iter().filter(|run| *run.policy == *name);
            report::worst(&of_policy.cloned().collect::<Vec<_>>())
        })
        .collect();
    println!("{}\n", scenario.about);
    match worst.as_slice() {
        [figures] => println!("{}", report::run_tables(figures)),
        several => println!("{}", report::run_rows(several)),
    }
    Ok(())
}
