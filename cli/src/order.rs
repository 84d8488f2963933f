//! `monsoon order`: sends an order for an engine to a node.

use clap::{Arg, ArgMatches, Command};
use monsoonbank_kernel::leases::EngineOrder;
use serde_json::json;

use crate::arguments;
use crate::client::NodeClient;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Sends an order for an engine to a node.

The one node that holds the lease on the log passes the order to the engine, and retries until \
the engine accepts it or has refused it several times. While the log is down orders wait. The \
outcome is reported in the `leases` section of the state of the node that holds the lease.

Examples:
  monsoon order --node 10.0.0.4:8082 writer-3 load-model tauhere-writer 2026-11
  monsoon order --node 10.0.0.4:8082 writer-3 load-adapter courier-notices
  monsoon order --node 10.0.0.4:8082 writer-3 change-role prefill";

fn value(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).value_name(name).required(true).help(help)
}

/// The command's arguments.
pub fn command() -> Command {
    let load_model = Command::new("load-model")
        .about("Load a version of a model's weights")
        .arg(value("MODEL", "The model"))
        .arg(value("VERSION", "The version"));
    let load_adapter = Command::new("load-adapter")
        .about("Load an adapter")
        .arg(value("ADAPTER", "The adapter"));
    let change_role = Command::new("change-role")
        .about("Change the engine's role")
        .arg(value("ROLE", "The role"));
    Command::new("order")
        .about("Sends an order for an engine to a node")
        .long_about(LONG_ABOUT)
        .arg(arguments::node())
        .arg(arguments::token())
        .arg(value("UPSTREAM", "The engine's name"))
        .subcommand_required(true)
        .subcommand(load_model)
        .subcommand(load_adapter)
        .subcommand(change_role)
}

fn parse_order(matches: &ArgMatches) -> Option<EngineOrder> {
    let (name, matches) = matches.subcommand()?;
    let text = |name| arguments::text(matches, name).into();
    match name {
        "load-model" => Some(EngineOrder::LoadModel {
            model: text("MODEL"),
            version: text("VERSION"),
        }),
        "load-adapter" => Some(EngineOrder::LoadAdapter {
            adapter: text("ADAPTER"),
        }),
        "change-role" => Some(EngineOrder::ChangeRole { role: text("ROLE") }),
        _ => None,
    }
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let Some(order) = parse_order(matches) else {
        return Ok(ExitCode::Failure);
    };
    let node = arguments::text(matches, "node");
    let client = NodeClient::new(node, Some(arguments::text(matches, "token")));
    let path = format!("/v1/orders/{}", arguments::text(matches, "UPSTREAM"));
    client.post(&path, &json!(order)).await?;
    println!("wanted: {order}");
    Ok(ExitCode::Success)
}
