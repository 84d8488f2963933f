//! `monsoonbankd`: runs one node until it is told to stop.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use monsoonbank_daemon::error::NodeError;
use monsoonbank_daemon::exit_codes::ExitCode;
use monsoonbank_daemon::node;
use monsoonbank_daemon::settings::Settings;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use tokio::signal::unix::{SignalKind, signal};

const LONG_ABOUT: &str = "\
Runs one node of the monsoonbank router.

The node reads its settings once. It stops on SIGTERM or SIGINT: it takes nothing new, finishes \
every call that it has, and exits with 0.

Examples:
  monsoonbankd --config /etc/monsoonbank/node.yaml
  monsoonbankd --config node.yaml --check";

fn command() -> Command {
    Command::new("monsoonbankd")
        .version(clap::crate_version!())
        .about("Runs one node of the monsoonbank router")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("config")
                .long("config")
                .short('c')
                .value_name("FILE")
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("The node's settings, in YAML"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(clap::ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

fn main() -> std::process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => ExitCode::Success.into(),
        Err(error) => {
            eprintln!("monsoonbankd: error: {error}");
            ExitCode::from(&error).into()
        }
    }
}

fn run(matches: &ArgMatches) -> Result<(), NodeError> {
    let settings = match matches.get_one::<PathBuf>("config") {
        Some(path) => Settings::load(path)?,
        None => return Ok(()),
    };
    if matches.get_flag("check") {
        return Ok(());
    }
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    TermLogger::init(
        settings.log_level,
        config,
        TerminalMode::Stderr,
        ColorChoice::Never,
    )?;
    let runtime = tokio::runtime::Runtime::new().map_err(NodeError::Runtime)?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), NodeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(NodeError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(NodeError::Runtime)?;
    let node = node::start(settings).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.finished() => {}
    }
    log::info!("event=leaving");
    node.drain();
    node.finished().await;
    node.kill().await;
    log::info!("event=left");
    Ok(())
}
