//! `monsoon demo`: runs a whole fleet in one process, with traffic, faults and a report.

mod audit;
pub mod callers;
pub mod deployment;
pub mod fleet;
mod incidents;
pub mod report;

use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressStyle};
use monsoonbank_kernel::config::{ConfigFile, PoolKind};
use tokio::time::Instant;

use crate::arguments::{self, OutputFormat};
use crate::caller::KilledNodes;
use crate::demo::deployment::Deployment;
use crate::demo::fleet::{Fleet, UpstreamSpeed};
use crate::demo::report::DemoReport;
use crate::error::CliError;
use crate::exchange;
use crate::exit_codes::ExitCode;
use crate::traffic::{TrafficBurst, TrafficPlan};

const LONG_ABOUT: &str = "\
Runs a whole fleet in one process on loopback ports and checks every answer.

Nodes and stand-ins for the platform and the upstreams run as tasks with sockets of their own, in \
the shape of one of the two deployments. Callers send traffic of every class on top of a backlog \
of the bulk class, the urgent class bursts, an engine crashes, one node is killed and one is \
stopped as planned. The report counts the outcomes that callers received and compares them with \
what the upstreams ran by their own counters.

Ends with 3 if an answer was lost, crossed or doubled, if a call that may not be repeated ran \
twice, if a refused call ran, or if the planned stop did not end.

Examples:
  monsoon demo
  monsoon demo --deployment bengal --seconds 30 --rate 300
  monsoon demo --seed 7 --format json
  monsoon demo --serve
  monsoon demo --serve --config one-engine.yaml --step-ms 0";

/// Start and end of the bulk class's initial backlog as shares of the run, and its multiple of the
/// usual rate.
const BULK_BURST: (f64, f64, f64) = (0.0, 0.1, 20.0);

/// Start and end of the urgent class's burst as shares of the run, and its multiple of the usual
/// rate.
const URGENT_BURST: (f64, f64, f64) = (0.2, 0.35, 6.0);

/// The command's arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a whole fleet in one process and checks every answer")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("NAME")
                .value_parser(["tauhere", "bengal"])
                .default_value("tauhere")
                .help("The deployment whose shape the fleet takes"),
        )
        .arg(number(
            "seconds",
            "20",
            "How long requests arrive, in seconds",
        ))
        .arg(number(
            "seed",
            "1",
            "Seed of the traffic; the same seed sends the same requests",
        ))
        .arg(
            Arg::new("nodes")
                .long("nodes")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=64))
                .help("Nodes [default: 6 for tauhere, 9 for bengal]"),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("R")
                .value_parser(value_parser!(f64))
                .default_value("150")
                .help("Requests a second outside of the burst"),
        )
        .arg(
            Arg::new("serve")
                .long("serve")
                .action(ArgAction::SetTrue)
                .help("Starts the fleet, prints its addresses and runs until interrupted"),
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .requires("serve")
                .help("A configuration to serve instead of the deployment's"),
        )
        .arg(number(
            "step-ms",
            "20",
            "Length of an engine's step with one request, in milliseconds",
        ))
        .arg(number(
            "work-ms",
            "10",
            "Time that a plain service takes for a call, in milliseconds",
        ))
        .arg(arguments::format())
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .default_value(default)
        .help(help)
}

/// Options of a run, from the command line.
#[derive(Clone, Copy, Debug)]
struct DemoOptions {
    deployment: Deployment,
    length: Duration,
    seed: u64,
    nodes: u64,
    rate: f64,
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let options = options(matches)?;
    let file = config(matches, options.deployment)?;
    let fleet = Fleet::start(file, options.nodes, speed(matches)).await?;
    if matches.get_flag("serve") {
        return serve(fleet).await;
    }
    let report = run_demo(&fleet, options).await?;
    fleet.stop().await;
    match arguments::chosen_format(matches) {
        OutputFormat::Json => println!("{:#}", serde_json::json!(report)),
        OutputFormat::Text => report::print(&report),
    }
    Ok(if report.passed() {
        ExitCode::Success
    } else {
        ExitCode::ProblemFound
    })
}

fn config(matches: &ArgMatches, deployment: Deployment) -> Result<ConfigFile, CliError> {
    let text = match matches.get_one::<String>("config") {
        None => deployment.config_text().to_owned(),
        Some(file) => std::fs::read_to_string(file).map_err(|source| CliError::File {
            file: file.as_str().into(),
            source,
        })?,
    };
    serde_yaml_ng::from_str(&text).map_err(|error| argument("--config", &error.to_string()))
}

fn speed(matches: &ArgMatches) -> UpstreamSpeed {
    let time = |name: &str| {
        let millis = matches.get_one::<u64>(name).copied();
        Duration::from_millis(millis.unwrap_or_default())
    };
    UpstreamSpeed {
        step: time("step-ms"),
        work: time("work-ms"),
    }
}

fn argument(name: &'static str, reason: &str) -> CliError {
    CliError::Argument {
        name,
        reason: reason.into(),
    }
}

fn options(matches: &ArgMatches) -> Result<DemoOptions, CliError> {
    let deployment: Deployment = arguments::text(matches, "deployment")
        .parse()
        .map_err(|_| argument("--deployment", "expected tauhere or bengal"))?;
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    let rate = matches.get_one::<f64>("rate").copied().unwrap_or_default();
    if !(rate > 0.0 && rate.is_finite()) {
        return Err(argument("--rate", "expected a number above 0"));
    }
    Ok(DemoOptions {
        deployment,
        length: Duration::from_secs(number("seconds").unwrap_or_default().max(1)),
        seed: number("seed").unwrap_or_default(),
        nodes: number("nodes").unwrap_or_else(|| deployment.nodes()),
        rate,
    })
}

async fn serve(fleet: Fleet) -> Result<ExitCode, CliError> {
    for node in &fleet.nodes {
        let handle = &node.handle;
        println!(
            "node\t{}\t{}\tcallers {}\toperators {}",
            node.name, node.zone, handle.callers, handle.operators
        );
    }
    for spec in &fleet.file.upstreams {
        println!("upstream\t{}\t{}\t{}", spec.name, spec.zone, spec.address);
    }
    println!("log\t{}", fleet.log.address());
    println!("hosts\t{}", fleet.hosts.address());
    println!("operator token\t{}", fleet::OPERATOR_TOKEN);
    tokio::signal::ctrl_c().await.map_err(CliError::Runtime)?;
    fleet.stop().await;
    Ok(ExitCode::Success)
}

async fn run_demo(fleet: &Fleet, options: DemoOptions) -> Result<DemoReport, CliError> {
    let plan = plan(fleet, options);
    let client = exchange::client().map_err(CliError::Client)?;
    let killed = Arc::new(KilledNodes::default());
    let progress = progress_bar(options.length);
    let start = Instant::now();
    let log = |what: &str| progress.println(format!("{:>5.1?}  {what}", start.elapsed()));
    let traffic = callers::send_traffic(
        fleet,
        &client,
        plan.clone(),
        options.seed,
        start,
        Arc::clone(&killed),
        &progress,
    );
    let incidents = incidents::run(fleet, &killed, start, options.length, log);
    let (calls, incidents) = tokio::join!(traffic, incidents);
    progress.finish_and_clear();
    Ok(DemoReport {
        deployment: options.deployment.to_string().into(),
        seconds: options.length.as_secs(),
        seed: options.seed,
        nodes: options.nodes,
        rate: options.rate,
        stopped_as_planned: incidents.stopped_as_planned,
        incidents: incidents.records,
        classes: report::rows(fleet, &plan, &calls),
    })
}

fn plan(fleet: &Fleet, options: DemoOptions) -> TrafficPlan {
    let burst = |class, (from, to, factor): (f64, f64, f64)| TrafficBurst {
        class,
        from: options.length.mul_f64(from),
        to: options.length.mul_f64(to),
        factor,
    };
    let pool = |kind| {
        let mut pools = fleet.file.pools.iter();
        let found = pools.find(|pool| pool.kind == kind);
        found.map_or_else(|| "".into(), |pool| pool.name.clone())
    };
    TrafficPlan {
        classes: options.deployment.traffic(),
        workspaces: deployment::sources(&fleet.file),
        model: pool(PoolKind::Model),
        service: pool(PoolKind::Service),
        rate: options.rate,
        length: options.length,
        bursts: vec![
            burst(deployment::BULK_CLASS, BULK_BURST),
            burst(deployment::URGENT_CLASS, URGENT_BURST),
        ],
    }
}

fn progress_bar(length: Duration) -> ProgressBar {
    let progress = ProgressBar::new(length.as_millis() as u64);
    let style = ProgressStyle::with_template("{bar:40} {percent:>3}% {msg}");
    progress.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    progress.set_message("calls under way");
    progress
}
