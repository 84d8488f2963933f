//! `monsoon drain`: drains a node or an upstream for a planned stop.

use clap::{Arg, ArgMatches, Command};
use serde_json::Value;

use crate::arguments;
use crate::client::NodeClient;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Stops a node, or takes an upstream out of service, without interrupting any call.

Without UPSTREAM the node itself leaves: it accepts no new calls, hands queued work to other \
nodes, finishes every call in flight and exits. With UPSTREAM every node stops sending it new \
work; its calls in flight finish.

Examples:
  monsoon drain --node 10.0.0.4:8082 --token \"$TOKEN\"
  monsoon drain --node 10.0.0.4:8082 --token \"$TOKEN\" engine-3";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("drain")
        .about("Stops a node or takes an upstream out of service without interrupting calls")
        .long_about(LONG_ABOUT)
        .arg(arguments::node())
        .arg(arguments::token())
        .arg(
            Arg::new("upstream")
                .value_name("UPSTREAM")
                .help("The upstream's name"),
        )
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let node = arguments::text(matches, "node");
    let client = NodeClient::new(node, Some(arguments::text(matches, "token")));
    let path = match matches.get_one::<String>("upstream") {
        Some(upstream) => format!("/v1/drain/{upstream}"),
        None => "/v1/drain".to_owned(),
    };
    client.post(&path, &Value::Null).await?;
    println!("draining");
    Ok(ExitCode::Success)
}
