//! Arguments shared by several commands.

use clap::{Arg, ArgMatches, value_parser};
use derive_more::FromStr;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, FromStr)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// JSON.
    Json,
}

/// The argument `--format`.
pub fn format() -> Arg {
    Arg::new("format")
        .long("format")
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("How to print the result")
}

/// The value of `--format`.
pub fn chosen_format(matches: &ArgMatches) -> OutputFormat {
    let text = matches
        .get_one::<String>("format")
        .map_or("text", String::as_str);
    text.parse().unwrap_or(OutputFormat::Text)
}

/// The argument `--node`: a node's operators' address.
pub fn node() -> Arg {
    Arg::new("node")
        .long("node")
        .short('n')
        .value_name("ADDRESS")
        .env("MONSOONBANK_NODE")
        .required(true)
        .value_parser(value_parser!(String))
        .help("A node's operators' address (IP number and port)")
}

/// The argument `--token`: the operators' bearer token.
pub fn token() -> Arg {
    Arg::new("token")
        .long("token")
        .value_name("TOKEN")
        .env("MONSOONBANK_TOKEN")
        .hide_env_values(true)
        .required(true)
        .value_parser(value_parser!(String))
        .help("The bearer token")
}

/// The value of a text argument; empty if it was not given.
pub fn text<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}
