//! `monsoon check`: validates configuration, settings and scenario files without a node.

use std::path::{Path, PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use monsoonbank_daemon::settings::Settings;
use monsoonbank_kernel::config::text::{FileFault, check_texts};
use serde_json::json;

use crate::arguments::{self, OutputFormat};
use crate::bench::scenario::ScenarioFile;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Checks configuration and settings files without a node.

Configuration files are checked together, as one configuration: each may contain a part of it, \
such as the rule list. A directory stands for the YAML files in it. A node's settings files are \
recognized by their `listen` section and are checked one by one. An error names the file, the \
line and column, the field and what was expected.

Exit codes: 0 valid, 3 invalid, 1 not checked.

Examples:
  monsoon check examples/tauhere/config.yaml
  monsoon check base.yaml rules.yaml --format json
  monsoon check /etc/monsoonbank";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("check")
        .about("Checks configuration, settings and scenario files without a node")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("paths")
                .value_name("PATH")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf))
                .help("YAML files, or directories of them"),
        )
        .arg(arguments::format())
}

/// Path and content of a text file.
pub struct TextFile {
    /// Path as given on the command line, or below a directory given there.
    pub name: Box<str>,
    /// Content of the file.
    pub text: String,
}

fn file_error(path: &Path) -> impl Fn(std::io::Error) -> CliError {
    let file: Box<str> = path.display().to_string().into();
    move |source| CliError::File {
        file: file.clone(),
        source,
    }
}

fn is_yaml(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    matches!(extension, Some("yaml" | "yml"))
}

fn expand_path(path: &Path) -> Result<Vec<PathBuf>, CliError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(file_error(path))? {
        files.push(entry.map_err(file_error(path))?.path());
    }
    files.retain(|file| is_yaml(file));
    files.sort();
    if files.is_empty() {
        let reason = format!("{} has no YAML file; expected at least one", path.display());
        return Err(CliError::Argument {
            name: "PATH",
            reason: reason.into(),
        });
    }
    Ok(files)
}

/// Reads the files, and the YAML files in the directories, at `paths`.
pub fn read_files<'a>(paths: impl Iterator<Item = &'a PathBuf>) -> Result<Vec<TextFile>, CliError> {
    let mut texts = Vec::new();
    for path in paths {
        for file in expand_path(path)? {
            texts.push(TextFile {
                name: file.display().to_string().into(),
                text: std::fs::read_to_string(&file).map_err(file_error(&file))?,
            });
        }
    }
    Ok(texts)
}

fn is_settings(file: &TextFile) -> bool {
    file.text.lines().any(|line| line.starts_with("listen:"))
}

fn is_scenario(file: &TextFile) -> bool {
    file.text.lines().any(|line| line.starts_with("engines:"))
}

/// Error messages for invalid settings files and scenario files.
fn settings_and_scenario_errors(settings: &[TextFile], scenarios: &[TextFile]) -> Vec<String> {
    let settings = settings
        .iter()
        .filter_map(|file| Settings::parse(&file.name, &file.text).err())
        .map(|error| error.to_string());
    let scenarios = scenarios
        .iter()
        .filter_map(|file| ScenarioFile::parse(&file.name, &file.text).err())
        .map(|error| error.to_string());
    settings.chain(scenarios).collect()
}

fn fault_json(fault: &FileFault) -> serde_json::Value {
    json!({
        "file": fault.file,
        "line": fault.position.line,
        "column": fault.position.column,
        "field": fault.field,
        "message": fault.message,
    })
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let paths = matches.get_many::<PathBuf>("paths").into_iter().flatten();
    let (settings, others): (Vec<TextFile>, Vec<TextFile>) =
        read_files(paths)?.into_iter().partition(is_settings);
    let (scenarios, configs): (Vec<TextFile>, Vec<TextFile>) =
        others.into_iter().partition(is_scenario);
    let texts: Vec<(&str, &str)> = configs
        .iter()
        .map(|file| (&*file.name, file.text.as_str()))
        .collect();
    let faults = if texts.is_empty() {
        Vec::new()
    } else {
        check_texts(&texts).err().unwrap_or_default()
    };
    let errors = settings_and_scenario_errors(&settings, &scenarios);
    let valid = faults.is_empty() && errors.is_empty();
    match arguments::chosen_format(matches) {
        OutputFormat::Json => {
            let faults: Vec<_> = faults.iter().map(fault_json).collect();
            println!(
                "{:#}",
                json!({ "valid": valid, "faults": faults, "settings": errors })
            );
        }
        OutputFormat::Text => {
            for fault in &faults {
                println!("{fault}");
            }
            for error in &errors {
                println!("{error}");
            }
            if valid {
                println!(
                    "valid: {} files",
                    texts.len() + settings.len() + scenarios.len()
                );
            }
        }
    }
    Ok(if valid {
        ExitCode::Success
    } else {
        ExitCode::ProblemFound
    })
}
