//! `monsoonbankd`: runs one node until SIGTERM or SIGINT.

use std::path::PathBuf;

use clap::{Arg, ArgMatches, Command, value_parser};
use monsoonbank_daemon::error::NodeError;
use monsoonbank_daemon::exit_codes::ExitCode;
use monsoonbank_daemon::gateway::settings::GatewaySettings;
use monsoonbank_daemon::settings::Settings;
use monsoonbank_daemon::{gateway, node};
use monsoonbank_platform::names;
use simplelog::{ColorChoice, ConfigBuilder, TermLogger, TerminalMode};
use tokio::signal::unix::{SignalKind, signal};

const LONG_ABOUT: &str = "\
Runs one node of the monsoonbank router.

The node reads its settings once, at startup. On SIGTERM or SIGINT it rejects new calls, finishes \
the open ones and exits with 0.

Examples:
  monsoonbankd --config /etc/monsoonbank/node.yaml
  monsoonbankd --config node.yaml --check
  monsoonbankd gateway --config gateway.yaml";

const GATEWAY_ABOUT: &str = "\
Runs one node that forwards calls unchanged, for a platform that has its own interfaces.

Examples:
  monsoonbankd gateway --config /etc/monsoonbank/settings.yaml
  monsoonbankd gateway --config settings.yaml --check";

fn command() -> Command {
    Command::new("monsoonbankd")
        .version(clap::crate_version!())
        .about("Runs one node of the monsoonbank router")
        .long_about(LONG_ABOUT)
        .subcommand_negates_reqs(true)
        .arg(config_argument())
        .arg(check_argument())
        .subcommand(
            Command::new("gateway")
                .about("Runs a node that forwards calls unchanged")
                .long_about(GATEWAY_ABOUT)
                .arg(config_argument().env(names::SETTINGS_VARIABLE))
                .arg(check_argument()),
        )
}

fn config_argument() -> Arg {
    Arg::new("config")
        .long("config")
        .short('c')
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The node's settings, in YAML")
}

fn check_argument() -> Arg {
    Arg::new("check")
        .long("check")
        .action(clap::ArgAction::SetTrue)
        .help("Checks the settings and exits")
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
    if let Some(("gateway", matches)) = matches.subcommand() {
        return run_gateway(matches);
    }
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

fn run_gateway(matches: &ArgMatches) -> Result<(), NodeError> {
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return Ok(());
    };
    let settings = GatewaySettings::load(path)?;
    if matches.get_flag("check") {
        return Ok(());
    }
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    simplelog::WriteLogger::init(log::LevelFilter::Info, config, std::io::stderr())?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, gateway::run(settings))
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
