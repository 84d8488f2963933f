//! `monsoon`: the command-line tool for operators and callers of monsoonbank.

mod addresses;
mod arguments;
mod bench;
mod caller;
mod check;
mod client;
mod completions;
mod demo;
mod drain;
mod error;
mod exchange;
mod exit_codes;
mod explain;
mod fleet;
mod load;
mod order;
mod publish;
mod request;
mod slopes;
mod state;
mod table;
mod tally;
mod traffic;
mod verify;
mod why;

use clap::{ArgMatches, Command};

use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
The command-line tool for operators and callers of monsoonbank.

Examples:
  monsoon demo
  monsoon check examples/tauhere/config.yaml
  monsoon where 10.0.0.4:8080
  monsoon state --node 10.0.0.4:8082 --section ownership";

fn command() -> Command {
    Command::new("monsoon")
        .version(clap::crate_version!())
        .about("The command-line tool for operators and callers of monsoonbank")
        .long_about(LONG_ABOUT)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(demo::command())
        .subcommand(check::command())
        .subcommand(explain::command())
        .subcommand(publish::command())
        .subcommand(addresses::command())
        .subcommand(order::command())
        .subcommand(state::command())
        .subcommand(drain::command())
        .subcommand(why::command())
        .subcommand(load::command())
        .subcommand(bench_command())
        .subcommand(completions::command())
}

fn bench_command() -> Command {
    bench::command()
        .args_conflicts_with_subcommands(true)
        .subcommand_negates_reqs(true)
        .subcommand(slopes::command())
        .subcommand(fleet::command())
}

fn main() -> std::process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(code) => code.into(),
        Err(error) => {
            eprintln!("monsoon: error: {error}");
            ExitCode::from(&error).into()
        }
    }
}

fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let runtime = tokio::runtime::Runtime::new().map_err(CliError::Runtime)?;
    runtime.block_on(dispatch(matches))
}

async fn dispatch(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("demo", matches)) => demo::run(matches).await,
        Some(("check", matches)) => check::run(matches),
        Some(("explain", matches)) => explain::run(matches),
        Some(("why", matches)) => why::run(matches),
        Some(("order", matches)) => order::run(matches).await,
        Some(("publish", matches)) => publish::run(matches).await,
        Some(("where", matches)) => addresses::run(matches).await,
        Some(("state", matches)) => state::run(matches).await,
        Some(("drain", matches)) => drain::run(matches).await,
        Some(("load", matches)) => load::run(matches).await,
        Some(("bench", matches)) => bench(matches).await,
        Some(("completions", matches)) => Ok(completions::run(matches, command())),
        _ => Ok(ExitCode::Failure),
    }
}

async fn bench(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    match matches.subcommand() {
        Some(("slopes", matches)) => slopes::run(matches),
        Some(("fleet", matches)) => fleet::run(matches).await,
        _ => Ok(bench::run(matches).map(|()| ExitCode::Success)?),
    }
}
