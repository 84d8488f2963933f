//! `monsoon where`: prints the addresses that a caller should use.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use crate::arguments::{self, OutputFormat};
use crate::client::NodeClient;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Requests from any node the addresses that callers should use, and how long they are valid.

Examples:
  monsoon where 10.0.0.4:8080
  monsoon where 10.0.0.4:8080 --zone akl-1 --format json";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("where")
        .about("Prints the addresses that callers should use")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .required(true)
                .help("Any node's callers' address (IP number and port)"),
        )
        .arg(
            Arg::new("zone")
                .long("zone")
                .value_name("ZONE")
                .help("The caller's own zone"),
        )
        .arg(arguments::format())
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let client = NodeClient::new(arguments::text(matches, "address"), None);
    let zone = arguments::text(matches, "zone");
    let answer = client.get(&format!("/v1/addresses?zone={zone}")).await?;
    match arguments::chosen_format(matches) {
        OutputFormat::Json => println!("{answer:#}"),
        OutputFormat::Text => print_addresses(&answer),
    }
    Ok(ExitCode::Success)
}

fn print_addresses(answer: &Value) {
    let addresses = answer.get("addresses").and_then(Value::as_array);
    for address in addresses.into_iter().flatten() {
        println!("{}", address.as_str().unwrap_or_default());
    }
}
