//! `monsoon bench slopes`: growth of a node's control traffic, processor time and memory with the
//! size of the fleet, measured on kernels within one process.

use std::fs;
use std::time::Duration;

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::exit_codes::ExitCode;

mod digest;
mod failures;
pub mod fit;
mod fleet;
mod idle;
mod messages;
pub mod meter;
mod owners;
mod report;
mod state;

use report::SlopeReport;

const PARTS: [&str; 4] = ["fleets", "state", "owners", "failures"];

/// Builds the command-line interface of `monsoon bench slopes`.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measure how control traffic, processor time and memory grow with the fleet")
        .long_about(
            "Measure how control traffic, processor time and memory grow with the fleet. Kernels \
             exchange messages in this process; bytes are those of the encoded messages \
             with IPv4, TCP and WebSocket headers and one TCP acknowledgement each.",
        )
        .arg(sizes())
        .arg(count(
            "seconds",
            "60",
            "Simulated seconds for each size, after a warm-up",
        ))
        .arg(count("kills", "20", "Number of nodes killed for each size"))
        .arg(count(
            "cut-minutes",
            "60",
            "Duration of the partition of a region, in minutes",
        ))
        .arg(parts())
        .arg(
            Arg::new("from")
                .long("from")
                .value_name("FILE")
                .help("Show the results in this file instead of measuring"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .default_value("markdown")
                .value_parser(["markdown", "json"]),
        )
}

fn sizes() -> Arg {
    Arg::new("sizes")
        .long("sizes")
        .value_name("NODES")
        .help("Fleet sizes; failures are measured at the largest")
        .value_delimiter(',')
        .default_value("9,20,40,80,160,320,980")
        .value_parser(value_parser!(u64).range(2..=2000))
}

fn parts() -> Arg {
    Arg::new("parts")
        .long("parts")
        .value_delimiter(',')
        .default_value("fleets,state,owners,failures")
        .value_parser(PossibleValuesParser::new(PARTS))
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64).range(1..=3600))
}

/// Makes the selected measurements, or reads them from a file, and prints them. Fails if that file
/// cannot be read or parsed.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let report = match matches.get_one::<String>("from") {
        Some(file) => read(file)?,
        None => measure(matches),
    };
    let json = matches
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).unwrap_or_default()
        );
    } else {
        println!("{}", report.markdown());
    }
    Ok(ExitCode::Success)
}

fn read(file: &str) -> Result<SlopeReport, CliError> {
    let failed = |source| CliError::File {
        file: file.into(),
        source,
    };
    let text = fs::read_to_string(file).map_err(failed)?;
    serde_json::from_str(&text).map_err(|error| failed(error.into()))
}

fn measure(matches: &ArgMatches) -> SlopeReport {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let wanted = |part: &str| {
        let mut parts = matches.get_many::<String>("parts").into_iter().flatten();
        parts.any(|name| name == part)
    };
    let sizes: Vec<usize> = matches
        .get_many::<u64>("sizes")
        .into_iter()
        .flatten()
        .map(|nodes| *nodes as usize)
        .collect();
    let largest = sizes.iter().copied().max().unwrap_or(2);
    let mut report = SlopeReport::default();
    if wanted("fleets") {
        let time = Duration::from_secs(number("seconds"));
        let kills = number("kills") as usize;
        let samples = sizes.iter().map(|nodes| idle::measure(*nodes, time, kills));
        report.fleets = samples.collect();
        report.fit();
        report.messages = messages::measure();
        report.digests = sizes.iter().map(|nodes| digest::measure(*nodes)).collect();
    }
    if wanted("state") {
        report.state = [25, 50, 100].into_iter().flat_map(state::measure).collect();
    }
    if wanted("owners") {
        report.balance = owners::balance();
        let sizes = [(9, 3, 18), (80, 4, 800), (320, 8, 3_200), (980, 23, 10_000)];
        let changes = sizes.map(|(nodes, zones, count)| owners::change(nodes, zones, count));
        report.changes = changes.into();
    }
    if wanted("failures") {
        let cut = Duration::from_mins(number("cut-minutes"));
        report.failures = failures::measure(largest, cut);
    }
    report
}
