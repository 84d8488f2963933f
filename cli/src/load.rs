//! `monsoon load`: sends open-loop load to running nodes, and optionally directly to an upstream
//! for comparison.

pub mod report;

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::arguments::{self, OutputFormat};
use crate::caller::{CallOutcome, CallResult};
use crate::error::CliError;
use crate::exchange::{self, ExchangeOutcome, ExchangeTarget};
use crate::exit_codes::ExitCode;
use crate::load::report::LoadReport;
use crate::request::RequestBody;
use crate::tally::ClassTally;
use crate::traffic::{ArrivalSource, ClassTraffic, RequestShape, TrafficPlan, WorkspaceSource};

const LONG_ABOUT: &str = "\
Sends requests to running nodes at times that do not depend on the answers, and reports their \
outcomes.

With more than one way (targets and --direct) requests take the ways in turn within one run, so \
that the ways can be compared: the report gives what each target adds to the direct way. A target \
that owns the upstream shows one hop, any other shows two.

Examples:
  monsoon load --target 10.0.0.4:8080 --token \"$TOKEN\" --model tauhere-writer
  monsoon load --target one-hop=10.0.0.4:8080 --target two-hops=10.0.0.5:8080 \\
      --direct 10.0.1.9:7101 --token \"$TOKEN\" --model tauhere-writer --rate 300";

/// Timeout of a call; a call that exceeds it counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);

/// Name of the report row of requests sent directly to the upstream.
const DIRECT: &str = "direct";

/// The command's arguments.
pub fn command() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("load")
        .about("Sends load to running nodes")
        .long_about(LONG_ABOUT)
        .arg(
            text(
                "target",
                "[NAME=]ADDRESS",
                "A node's callers' address; may be given again",
            )
            .required(true)
            .action(ArgAction::Append),
        )
        .arg(text(
            "direct",
            "ADDRESS",
            "An upstream's address, for comparison",
        ))
        .arg(
            text("token", "TOKEN", "The workspace's bearer token")
                .env("MONSOONBANK_WORKSPACE_TOKEN")
                .hide_env_values(true)
                .required(true),
        )
        .arg(
            text("model", "NAME", "Sends chat completions for this model")
                .required_unless_present("service"),
        )
        .arg(
            text(
                "service",
                "NAME/PATH",
                "Sends calls to this path of a plain service",
            )
            .conflicts_with("model"),
        )
        .arg(text(
            "purpose",
            "TEXT",
            "The header x-purpose of completions",
        ))
        .arg(
            text("tokens", "N", "Tokens in an answer")
                .value_parser(value_parser!(u32).range(1..))
                .default_value("16"),
        )
        .arg(
            text("prompt-bytes", "N", "Size of a prompt")
                .value_parser(value_parser!(u32))
                .default_value("400"),
        )
        .arg(
            Arg::new("whole")
                .long("whole")
                .action(ArgAction::SetTrue)
                .help("Asks for answers in one piece instead of streams"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Compares every answer with the one that a stand-in gives"),
        )
        .arg(
            text("rate", "R", "Requests a second, over all ways")
                .value_parser(value_parser!(f64))
                .default_value("100"),
        )
        .arg(
            text("seconds", "N", "How long requests arrive, in seconds")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("10"),
        )
        .arg(
            text("seed", "N", "Seed of the traffic")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(arguments::format())
}

/// A destination of requests: a node or, for comparison, an upstream.
#[derive(Clone, Debug)]
pub struct LoadWay {
    /// Name in the report.
    pub name: Box<str>,
    /// IP number and port.
    pub address: Box<str>,
    /// Whether the address belongs to an upstream rather than a node.
    pub direct: bool,
}

/// State shared by all requests of a run.
struct LoadRun {
    ways: Vec<LoadWay>,
    client: Client,
    token: Box<str>,
    checked: bool,
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let plan = plan(matches)?;
    let seed = matches.get_one("seed").copied().unwrap_or_default();
    let run = Arc::new(LoadRun {
        ways: ways(matches),
        client: exchange::client().map_err(CliError::Client)?,
        token: arguments::text(matches, "token").into(),
        checked: matches.get_flag("check"),
    });
    let tallies = send(&run, &plan, seed).await;
    let report = report::report(&run.ways, &plan, &tallies);
    match arguments::chosen_format(matches) {
        OutputFormat::Json => println!("{:#}", serde_json::json!(report)),
        OutputFormat::Text => report::print(&report),
    }
    let broken = report.ways.iter().any(|row| row.counts.has_violations());
    Ok(if broken {
        ExitCode::ProblemFound
    } else {
        ExitCode::Success
    })
}

/// Sends a plan's requests along the ways in turn and returns the report. Answers are not compared
/// with expected ones.
pub async fn measure(
    ways: Vec<LoadWay>,
    plan: &TrafficPlan,
    token: &str,
    seed: u64,
) -> Result<LoadReport, CliError> {
    let run = Arc::new(LoadRun {
        ways,
        client: exchange::client().map_err(CliError::Client)?,
        token: token.into(),
        checked: false,
    });
    let tallies = send(&run, plan, seed).await;
    Ok(report::report(&run.ways, plan, &tallies))
}

fn ways(matches: &ArgMatches) -> Vec<LoadWay> {
    let targets = matches.get_many::<String>("target").into_iter().flatten();
    let mut ways: Vec<LoadWay> = targets
        .map(|target| {
            let (name, address) = target.split_once('=').unwrap_or((target, target));
            LoadWay {
                name: name.into(),
                address: address.into(),
                direct: false,
            }
        })
        .collect();
    ways.extend(matches.get_one::<String>("direct").map(|address| LoadWay {
        name: DIRECT.into(),
        address: address.as_str().into(),
        direct: true,
    }));
    ways
}

fn plan(matches: &ArgMatches) -> Result<TrafficPlan, CliError> {
    let rate = matches.get_one::<f64>("rate").copied().unwrap_or_default();
    if !(rate > 0.0 && rate.is_finite()) {
        return Err(CliError::Argument {
            name: "--rate",
            reason: "expected a number above 0".into(),
        });
    }
    let seconds = matches.get_one("seconds").copied().unwrap_or(1);
    let (service, shape) = shape(matches);
    Ok(TrafficPlan {
        classes: vec![ClassTraffic {
            class: "load".into(),
            share: 1.0,
            shape,
        }],
        workspaces: vec![WorkspaceSource {
            name: "load".into(),
            share: 1.0,
        }],
        model: arguments::text(matches, "model").into(),
        service,
        rate,
        length: Duration::from_secs(seconds),
        bursts: Vec::new(),
    })
}

fn shape(matches: &ArgMatches) -> (Box<str>, RequestShape) {
    if let Some(target) = matches.get_one::<String>("service") {
        let (name, path) = target.split_once('/').unwrap_or((target, ""));
        let path = format!("/{path}").into();
        return (name.into(), RequestShape::Service { path, keyed: false });
    }
    let tokens = matches.get_one::<u32>("tokens").copied().unwrap_or(1);
    let bytes = matches.get_one::<u32>("prompt-bytes").copied();
    let bytes = bytes.unwrap_or_default() as usize;
    let shape = RequestShape::Completion {
        purpose: matches
            .get_one::<String>("purpose")
            .map(|text| text.as_str().into()),
        streamed: !matches.get_flag("whole"),
        prompt_bytes: bytes..=bytes,
        tokens: tokens..=tokens,
    };
    ("".into(), shape)
}

async fn send(run: &Arc<LoadRun>, plan: &TrafficPlan, seed: u64) -> Vec<ClassTally> {
    let mut tallies = vec![ClassTally::new(None); run.ways.len()];
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for (number, arrival) in ArrivalSource::new(plan.clone(), seed).enumerate() {
        let due = start + arrival.at;
        sleep_until(due).await;
        let way = number % run.ways.len();
        let run = Arc::clone(run);
        tasks.spawn(async move {
            let result = run.call(way, &arrival.body).await;
            (way, due, arrival.body.units(), result)
        });
        while let Some(Ok((way, due, units, result))) = tasks.try_join_next() {
            tallies[way].record(due, units, &result);
        }
    }
    while let Some(Ok((way, due, units, result))) = tasks.join_next().await {
        tallies[way].record(due, units, &result);
    }
    tallies
}

impl LoadRun {
    async fn call(&self, way: usize, body: &RequestBody) -> CallResult {
        let LoadWay {
            address, direct, ..
        } = &self.ways[way];
        let target = ExchangeTarget {
            address,
            direct: *direct,
            token: &self.token,
            key: None,
            checked: self.checked,
        };
        let exchange = exchange::exchange(&self.client, target, body);
        match timeout(CALL_TIMEOUT, exchange).await {
            Ok(outcome) => call_result(&outcome),
            Err(_) => CallOutcome::Lost.into(),
        }
    }
}

fn call_result(outcome: &ExchangeOutcome) -> CallResult {
    match outcome {
        ExchangeOutcome::Answer(check, times) => CallResult::answered(*check, *times),
        ExchangeOutcome::NotRun(details) => CallResult::refused(&details.code),
        ExchangeOutcome::Unsent => CallResult::refused("unreachable"),
        ExchangeOutcome::Unknown => CallOutcome::Unknown.into(),
        ExchangeOutcome::Broken => CallOutcome::Lost.into(),
    }
}
