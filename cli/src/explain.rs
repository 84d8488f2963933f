//! `monsoon explain`: shows which rule matches a request, and why each earlier one does not.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsoonbank_kernel::config::text::check_texts;
use monsoonbank_kernel::config::{Config, ConfigFile, RequestFacts};
use serde::Serialize;

use crate::arguments::{self, OutputFormat};
use crate::check::read_files;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

const LONG_ABOUT: &str = "\
Shows which rule matches a request, and why each rule before it does not.

REQUEST is written as METHOD PATH, as in the first line of an HTTP request.

Exit codes: 0 a rule matches, 3 none does or the files are invalid, 1 not evaluated.

Examples:
  monsoon explain --rules examples/tauhere/config.yaml POST /v1/chat/completions \\
      --workspace kauri-books --model tauhere-writer --header x-purpose=envelope-tag
  monsoon explain --rules config.yaml POST /services/mailbox/alerts --workspace rimu-joinery";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Shows which rule matches a request, and why the earlier ones do not")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("rules")
                .long("rules")
                .value_name("FILE")
                .required(true)
                .action(ArgAction::Append)
                .value_parser(value_parser!(PathBuf))
                .help("Configuration file; may be given several times"),
        )
        .arg(
            Arg::new("method")
                .value_name("METHOD")
                .required(true)
                .help("HTTP method"),
        )
        .arg(
            Arg::new("path")
                .value_name("PATH")
                .required(true)
                .help("HTTP path"),
        )
        .arg(
            Arg::new("workspace")
                .long("workspace")
                .value_name("NAME")
                .default_value("")
                .help("The caller's workspace"),
        )
        .arg(
            Arg::new("model")
                .long("model")
                .value_name("NAME")
                .help("The model; by default the service that the path names"),
        )
        .arg(
            Arg::new("header")
                .long("header")
                .value_name("NAME=VALUE")
                .action(ArgAction::Append)
                .help("A header; may be given several times"),
        )
        .arg(
            Arg::new("bytes")
                .long("bytes")
                .value_name("COUNT")
                .default_value("0")
                .value_parser(value_parser!(u64))
                .help("Declared size of the body, in bytes"),
        )
        .arg(
            Arg::new("streamed")
                .long("streamed")
                .action(ArgAction::SetTrue)
                .help("The answer is streamed"),
        )
        .arg(arguments::format())
}

#[derive(Serialize)]
struct RuleResult<'a> {
    rule: &'a str,
    matches: bool,
    reason: Option<String>,
}

#[derive(Serialize)]
struct Explanation<'a> {
    rules: Vec<RuleResult<'a>>,
    class: Option<&'a str>,
    tier: Option<u8>,
    pool: Option<String>,
}

fn explain<'a>(file: &'a ConfigFile, facts: &RequestFacts<'_>) -> Explanation<'a> {
    let mut rules = Vec::new();
    for rule in &file.rules {
        let mismatch = rule.when.mismatch(facts);
        let matches = mismatch.is_none();
        rules.push(RuleResult {
            rule: &rule.name,
            matches,
            reason: mismatch.map(|mismatch| mismatch.to_string()),
        });
        if matches {
            break;
        }
    }
    let found = Config::from_file(1, file).classify(facts);
    let matched = found.map(|found| &file.rules[found.rule].then);
    let pool = matched.map(|then| then.pool.as_deref().unwrap_or(facts.model).to_owned());
    Explanation {
        rules,
        class: matched.map(|then| &*then.class),
        tier: found.map(|found| found.tier.0),
        pool,
    }
}

fn print(explanation: &Explanation<'_>) {
    for result in &explanation.rules {
        match &result.reason {
            Some(reason) => println!("no   {}: {reason}", result.rule),
            None => println!("yes  {}", result.rule),
        }
    }
    match (explanation.class, explanation.tier, &explanation.pool) {
        (Some(class), Some(tier), Some(pool)) => {
            println!("class {class}, tier {tier}, pool {pool}");
        }
        _ => println!("refused: no rule matches, or the model named is no pool"),
    }
}

fn service_name(path: &str) -> &str {
    let rest = path.strip_prefix("/services/").unwrap_or_default();
    rest.split('/').next().unwrap_or_default()
}

fn headers(matches: &ArgMatches) -> Result<Vec<(String, &str)>, CliError> {
    let given = matches.get_many::<String>("header").into_iter().flatten();
    given
        .map(|text| {
            let (name, value) = text.split_once('=').ok_or_else(|| CliError::Argument {
                name: "--header",
                reason: format!("`{text}` has no `=`; expected NAME=VALUE").into(),
            })?;
            Ok((name.to_lowercase(), value))
        })
        .collect()
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let files = read_files(matches.get_many::<PathBuf>("rules").into_iter().flatten())?;
    let texts: Vec<(&str, &str)> = files
        .iter()
        .map(|file| (&*file.name, file.text.as_str()))
        .collect();
    let file = match check_texts(&texts) {
        Ok(file) => file,
        Err(faults) => {
            for fault in &faults {
                eprintln!("{fault}");
            }
            return Ok(ExitCode::ProblemFound);
        }
    };
    let headers = headers(matches)?;
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, value)| (name.as_str(), *value))
        .collect();
    let path = arguments::text(matches, "path");
    let model = matches.get_one::<String>("model").map(String::as_str);
    let method = arguments::text(matches, "method").to_uppercase();
    let facts = RequestFacts {
        workspace: arguments::text(matches, "workspace"),
        path,
        method: &method,
        model: model.unwrap_or_else(|| service_name(path)),
        headers: &headers,
        bytes: matches.get_one("bytes").copied().unwrap_or_default(),
        streamed: matches.get_flag("streamed"),
    };
    let explanation = explain(&file, &facts);
    match arguments::chosen_format(matches) {
        OutputFormat::Text => print(&explanation),
        OutputFormat::Json => println!("{:#}", serde_json::json!(explanation)),
    }
    Ok(if explanation.class.is_some() {
        ExitCode::Success
    } else {
        ExitCode::ProblemFound
    })
}
