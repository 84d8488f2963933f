//! `monsoon bench slopes`: how a node's control traffic, processor time and memory grow with the
//! fleet, measured with the kernel itself.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::error::CliError;
use crate::exit_codes::ExitCode;

mod fit;
mod fleet;
mod meter;
mod quiet;

/// The command.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Measure how control traffic, processor time and memory grow with the fleet")
        .arg(
            Arg::new("sizes")
                .long("sizes")
                .value_name("NODES")
                .help("Fleet sizes")
                .value_delimiter(',')
                .default_value("9,20,40,80,160,320,980")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Time measured for each size, after a warm-up")
                .default_value("60")
                .value_parser(value_parser!(u64).range(1..=3600)),
        )
        .arg(
            Arg::new("kills")
                .long("kills")
                .help("Nodes killed for each size")
                .default_value("20")
                .value_parser(value_parser!(usize)),
        )
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let sizes: Vec<usize> = matches
        .get_many("sizes")
        .into_iter()
        .flatten()
        .copied()
        .collect();
    let seconds = *matches.get_one::<u64>("seconds").unwrap_or(&60);
    let kills = *matches.get_one::<usize>("kills").unwrap_or(&20);
    for nodes in sizes {
        let sample = quiet::measure(nodes, Duration::from_secs(seconds), kills);
        println!("{}", serde_json::to_string(&sample).unwrap_or_default());
    }
    Ok(ExitCode::Success)
}
