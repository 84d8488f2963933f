//! `monsoon completions`: prints shell completions.

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;

use crate::exit_codes::ExitCode;

/// The command's arguments.
pub fn command() -> Command {
    Command::new("completions")
        .about("Prints completions for a shell")
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Runs the command; `tool` is the tool's top-level command.
pub fn run(matches: &ArgMatches, mut tool: Command) -> ExitCode {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(*shell, &mut tool, "monsoon", &mut std::io::stdout());
    }
    ExitCode::Success
}
