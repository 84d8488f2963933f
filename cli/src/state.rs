//! `monsoon state`: prints a node's state dump.

use clap::{Arg, ArgMatches, Command};

use crate::arguments;
use crate::client::NodeClient;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Prints a node's state, or one section of it, as JSON.

Examples:
  monsoon state --node 10.0.0.4:8082 --token \"$TOKEN\"
  monsoon state --node 10.0.0.4:8082 --section membership";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("state")
        .about("Prints a node's state")
        .long_about(LONG_ABOUT)
        .arg(arguments::node())
        .arg(arguments::token())
        .arg(
            Arg::new("section")
                .long("section")
                .short('s')
                .value_name("NAME")
                .help("Only this section, for example `ownership`"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let node = arguments::text(matches, "node");
    let client = NodeClient::new(node, Some(arguments::text(matches, "token")));
    let path = match matches.get_one::<String>("section") {
        Some(section) => format!("/v1/state?section={section}"),
        None => "/v1/state".to_owned(),
    };
    let state = client.get(&path).await?;
    println!("{state:#}");
    Ok(ExitCode::Success)
}
