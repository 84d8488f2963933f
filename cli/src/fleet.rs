//! `monsoon bench fleet`: measures fleets of nodes that communicate over loopback sockets.

use std::fs;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsoonbank_kernel::config::{ConfigFile, PoolKind};

use crate::arguments::{self, OutputFormat};
use crate::demo::deployment::{self, Deployment};
use crate::demo::fleet::{Fleet, UpstreamSpeed};
use crate::error::CliError;
use crate::exit_codes::ExitCode;
use crate::traffic::TrafficPlan;

mod control;
mod loss;
mod path;
mod publish;
mod quantiles;
mod report;
mod rolling;
mod views;

use report::FleetReport;

const PARTS: [&str; 5] = ["publish", "loss", "rolling", "control", "path"];

/// Speed of the simulated upstreams, as in the demonstration.
const SPEED: UpstreamSpeed = UpstreamSpeed {
    step: Duration::from_millis(20),
    work: Duration::from_millis(10),
};

/// Builds the command-line interface of `monsoon bench fleet`.
pub fn command() -> Command {
    Command::new("fleet")
        .about("Measure fleets of nodes on loopback sockets")
        .long_about(
            "Measure fleets of nodes on loopback sockets. Nodes and stand-ins for the platform and the \
             upstreams run as tasks of this process with sockets of their own.",
        )
        .arg(
            Arg::new("only")
                .long("only")
                .value_name("NAME")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(PossibleValuesParser::new(PARTS))
                .help("The measurements to make; may be given again [default: all]"),
        )
        .arg(count("nodes", "9", "Number of nodes, except for `control`"))
        .arg(count(
            "publishes",
            "200",
            "Number of changes published for each state of the log",
        ))
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("STATE")
                .value_delimiter(',')
                .default_value("healthy,slow,down")
                .value_parser(PossibleValuesParser::new(["healthy", "slow", "down"]))
                .help("States of the log for `publish`"),
        )
        .arg(count("kills", "10", "Number of nodes killed, one after another"))
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("NODES")
                .value_delimiter(',')
                .default_value("9,20,40,80")
                .value_parser(value_parser!(u64).range(2..=160))
                .help("Fleet sizes for `control`"),
        )
        .arg(count(
            "seconds",
            "20",
            "Length of each load and of each `control` window, in seconds",
        ))
        .arg(count("rate", "150", "Requests per second of each load"))
        .arg(
            Arg::new("output")
                .long("output")
                .value_name("FILE")
                .help("Write the results as JSON to this file; keeps its results of other measurements"),
        )
        .arg(arguments::format())
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=3600))
}

/// The options of the command line.
#[derive(Clone, Debug)]
struct FleetOptions {
    nodes: u64,
    publishes: u64,
    logs: Vec<String>,
    kills: u64,
    sizes: Vec<u64>,
    length: Duration,
    rate: f64,
}

impl FleetOptions {
    fn read(matches: &ArgMatches) -> Self {
        let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
        let logs = matches.get_many::<String>("logs").into_iter().flatten();
        let sizes = matches.get_many::<u64>("sizes").into_iter().flatten();
        Self {
            nodes: number("nodes"),
            publishes: number("publishes"),
            logs: logs.cloned().collect(),
            kills: number("kills"),
            sizes: sizes.copied().collect(),
            length: Duration::from_secs(number("seconds")),
            rate: number("rate") as f64,
        }
    }
}

/// Makes the selected measurements, prints them and, with `--output`, merges them into a file.
/// Fails at the first measurement that cannot be made.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let options = FleetOptions::read(matches);
    let wanted = |part: &str| {
        let only = matches.get_many::<String>("only");
        only.is_none_or(|mut names| names.any(|name| name == part))
    };
    let mut report = FleetReport::default();
    if wanted("publish") {
        report.publish = publish::measure(&options).await?;
    }
    if wanted("loss") {
        report.loss = Some(loss::measure(&options).await?);
    }
    if wanted("rolling") {
        report.rolling = Some(rolling::measure(&options).await?);
    }
    if wanted("control") {
        report.control = Some(control::measure(&options).await?);
    }
    if wanted("path") {
        report.path = Some(path::measure(&options).await?);
    }
    match arguments::chosen_format(matches) {
        OutputFormat::Json => println!("{:#}", serde_json::json!(report)),
        OutputFormat::Text => report.print(),
    }
    if let Some(file) = matches.get_one::<String>("output") {
        write(file, report)?;
    }
    Ok(ExitCode::Success)
}

fn write(file: &str, report: FleetReport) -> Result<(), CliError> {
    let failed = |source| CliError::File {
        file: file.into(),
        source,
    };
    let existing = match fs::read_to_string(file) {
        Ok(text) => serde_json::from_str(&text).map_err(|error| failed(error.into()))?,
        Err(_) => FleetReport::default(),
    };
    let text = format!("{:#}\n", serde_json::json!(report.or(existing)));
    fs::write(file, text).map_err(failed)
}

async fn start(nodes: u64) -> Result<Fleet, CliError> {
    Fleet::start(config()?, nodes, SPEED).await
}

fn config() -> Result<ConfigFile, CliError> {
    let file = serde_yaml_ng::from_str(Deployment::Bengal.config_text());
    file.map_err(|error| CliError::Argument {
        name: "--nodes",
        reason: error.to_string().into(),
    })
}

/// Returns the traffic of the demonstration without its bursts.
fn plan(fleet: &Fleet, options: &FleetOptions) -> TrafficPlan {
    let pool = |kind| {
        let mut pools = fleet.file.pools.iter();
        let found = pools.find(|pool| pool.kind == kind);
        found.map_or_else(|| "".into(), |pool| pool.name.clone())
    };
    TrafficPlan {
        classes: Deployment::Bengal.traffic(),
        workspaces: deployment::sources(&fleet.file),
        model: pool(PoolKind::Model),
        service: pool(PoolKind::Service),
        rate: options.rate,
        length: options.length,
        bursts: Vec::new(),
    }
}
