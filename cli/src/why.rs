//! `monsoon why`: determines the cause of a call's outcome from the decision lines of nodes.

mod payers;

use std::collections::BTreeMap;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use derive_more::Display;
use serde_json::{Value, json};

use crate::error::CliError;
use crate::exit_codes::ExitCode;
use crate::why::payers::PayerGroup;

const LONG_ABOUT: &str = "\
Names the cause of a call's end from the decision lines that nodes wrote.

With CALL it prints the call's lines of all nodes in order and one sentence on the cause. With \
--summary it counts the causes of all calls that got no whole answer, and with --by how all calls \
of each workspace, class (rule) or availability zone ended: in their target, late, refused, failed, \
and how many of them waited or were returns of a call without an answer. It exits with 3 if the \
call is in none of the files.

Examples:
  monsoon why 9c41d07be2a35f68 --logs node-1.log node-2.log
  monsoon why --summary --logs node-*.log
  monsoon why --summary --by workspace --logs node-*.log
  monsoon why --format json 9c41d07be2a35f68 --logs node-1.log";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("why")
        .about("Names the cause of a call's end from the lines of nodes")
        .long_about(LONG_ABOUT)
        .arg(
            Arg::new("call")
                .value_name("CALL")
                .required_unless_present("summary")
                .help("The id of the caller's attempt"),
        )
        .arg(
            Arg::new("logs")
                .long("logs")
                .value_name("FILE")
                .num_args(1..)
                .required(true)
                .value_parser(value_parser!(PathBuf))
                .help("Files with the lines of nodes"),
        )
        .arg(
            Arg::new("summary")
                .long("summary")
                .action(ArgAction::SetTrue)
                .help("Counts the causes of all calls that got no whole answer"),
        )
        .arg(
            Arg::new("by")
                .long("by")
                .value_name("GROUP")
                .value_parser(["workspace", "class", "zone"])
                .requires("summary")
                .help("Counts how all calls ended, by group"),
        )
        .arg(
            Arg::new("format")
                .long("format")
                .value_name("FORMAT")
                .value_parser(["text", "json"])
                .default_value("text")
                .help("How the result is printed"),
        )
}

/// Cause of a call's outcome.
#[derive(Clone, Debug, Display, PartialEq)]
enum CallCause {
    #[display("it was answered whole by {upstream}")]
    Answered { upstream: Box<str> },
    #[display(
        "it was refused with {status} before any upstream was chosen: {reason} (configuration {version})"
    )]
    Refused {
        status: u64,
        reason: Box<str>,
        version: u64,
    },
    #[display(
        "no upstream of {pool} had room for tier {tier} within {waited_ms} ms; it did not run"
    )]
    NoCapacity {
        pool: Box<str>,
        tier: u64,
        waited_ms: u64,
    },
    #[display(
        "its stream of about {events} events needed {needs_ms} ms and it had {left_ms} ms left; it did not run"
    )]
    TooLate {
        events: u64,
        needs_ms: u64,
        left_ms: u64,
    },
    #[display(
        "{bodies} bodies took {held_bytes} of the {limit_bytes} bytes that they may take at the node; it did not run"
    )]
    NoMemory {
        bodies: u64,
        held_bytes: u64,
        limit_bytes: u64,
    },
    #[display(
        "{crashes} upstreams broke off under calls with its {cause}, which are no longer sent; it did not run"
    )]
    Quarantined { cause: Box<str>, crashes: u64 },
    #[display("all upstreams of {pool} had asked for a pause; it did not run")]
    Paused { pool: Box<str> },
    #[display("the software version that began its stream is not known: {reason}; it did not run")]
    StartUnknown { reason: Box<str> },
    #[display(
        "no further upstream of {pool} runs the software version that began its stream; it did not run"
    )]
    VersionGone { pool: Box<str> },
    #[display("{upstream} did not take it ({end}: {reason}); it did not run")]
    Rejected {
        upstream: Box<str>,
        end: Box<str>,
        reason: Box<str>,
    },
    #[display("the node took nothing new; it did not run")]
    NodeLeaving,
    #[display("{upstream} answered with a failure of its own: {reason}")]
    Failed {
        upstream: Box<str>,
        reason: Box<str>,
    },
    #[display(
        "the answer of {upstream} was lost ({reason}); it may have run, so it was not sent again"
    )]
    AnswerLost {
        upstream: Box<str>,
        reason: Box<str>,
    },
    #[display(
        "the stream of {upstream} broke off after {events} events and could not go on elsewhere: {reason}"
    )]
    StreamCut {
        upstream: Box<str>,
        events: u64,
        reason: Box<str>,
    },
    #[display("the caller left after {took_ms} ms and {events} events, while {place}")]
    CallerLeft {
        took_ms: u64,
        events: u64,
        place: Box<str>,
    },
    #[display(
        "the lines end before the call did: the node was stopped or killed, or dropped lines"
    )]
    Unfinished,
}

impl CallCause {
    /// Short name of the cause in JSON output and counts.
    fn label(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Refused { .. } => "refused",
            Self::NoCapacity { .. } => "no room",
            Self::TooLate { .. } => "too late",
            Self::NoMemory { .. } => "no memory",
            Self::Quarantined { .. } => "quarantined",
            Self::Paused { .. } => "pool paused",
            Self::StartUnknown { .. } => "stream not known",
            Self::VersionGone { .. } => "version gone",
            Self::Rejected { .. } => "not taken",
            Self::NodeLeaving => "node leaving",
            Self::Failed { .. } => "upstream failed",
            Self::AnswerLost { .. } => "answer lost",
            Self::StreamCut { .. } => "stream cut",
            Self::CallerLeft { .. } => "caller left",
            Self::Unfinished => "unfinished",
        }
    }
}

fn text(line: &Value, field: &str) -> Box<str> {
    line[field].as_str().unwrap_or("?").into()
}

fn number(line: &Value, field: &str) -> u64 {
    line[field].as_u64().unwrap_or(0)
}

/// Determines the cause from a call's lines, which are in the order in which they were written.
fn cause(lines: &[Value]) -> CallCause {
    let last = |event: &str| lines.iter().rev().find(|line| line["event"] == event);
    if let Some(line) = last("refused") {
        let (status, version) = (number(line, "status"), number(line, "version"));
        return CallCause::Refused {
            status,
            reason: text(line, "reason"),
            version,
        };
    }
    let Some(ended) = last("ended") else {
        return if last("sent").is_some() {
            CallCause::Unfinished
        } else {
            CallCause::NodeLeaving
        };
    };
    let upstream = last("sent").map_or_else(|| "?".into(), |line| text(line, "upstream"));
    let attempt = last("attempt_ended");
    let reason = attempt.map_or_else(|| "?".into(), |line| text(line, "reason"));
    let events = number(ended, "events");
    match ended["outcome"].as_str().unwrap_or_default() {
        "answered" => CallCause::Answered { upstream },
        "failed" => CallCause::Failed { upstream, reason },
        "unknown" => CallCause::AnswerLost { upstream, reason },
        "cut" => CallCause::StreamCut {
            upstream,
            events,
            reason,
        },
        "not_run" => not_run(lines),
        _ => CallCause::CallerLeft {
            took_ms: number(ended, "took_ms"),
            events,
            place: place(last("sent").is_some(), &upstream),
        },
    }
}

fn place(sent: bool, upstream: &str) -> Box<str> {
    if sent {
        format!("it was at {upstream}").into()
    } else {
        "it waited for room".into()
    }
}

/// Words what a refused call has in common with those that crash upstreams. Lines of earlier versions
/// only have its content.
fn quarantine_cause(line: &Value) -> Box<str> {
    match line["cause"].as_str() {
        Some(cause) => cause.replace('+', " and ").replace(':', " ").into(),
        None => format!("content {}", text(line, "content")).into(),
    }
}

fn not_run(lines: &[Value]) -> CallCause {
    let last = |event: &str| lines.iter().rev().find(|line| line["event"] == event);
    if let Some(line) = last("call_quarantined") {
        return CallCause::Quarantined {
            cause: quarantine_cause(line),
            crashes: number(line, "crashes"),
        };
    }
    if let Some(line) = last("no_memory") {
        return CallCause::NoMemory {
            bodies: number(line, "bodies"),
            held_bytes: number(line, "held_bytes"),
            limit_bytes: number(line, "limit_bytes"),
        };
    }
    if let Some(line) = last("start_looked_up").filter(|line| line["known"] == false) {
        return CallCause::StartUnknown {
            reason: text(line, "reason"),
        };
    }
    if let Some(line) = last("version_gone") {
        return CallCause::VersionGone {
            pool: text(line, "pool"),
        };
    }
    if let Some(line) = last("pool_paused") {
        return CallCause::Paused {
            pool: text(line, "pool"),
        };
    }
    if last("exits_before").is_some() {
        return CallCause::NodeLeaving;
    }
    if let Some(line) = last("too_late") {
        return CallCause::TooLate {
            events: number(line, "expected_events"),
            needs_ms: number(line, "needs_ms"),
            left_ms: number(line, "left_ms"),
        };
    }
    let waited = last("waited").filter(|line| line["found"] == false);
    if let (Some(waited), Some(matched)) = (waited, last("matched")) {
        return CallCause::NoCapacity {
            pool: text(last("pool_kept").unwrap_or(matched), "pool"),
            tier: number(matched, "tier"),
            waited_ms: number(waited, "waited_ms"),
        };
    }
    match last("attempt_ended") {
        Some(line) => CallCause::Rejected {
            upstream: text(line, "upstream"),
            end: text(line, "end"),
            reason: text(line, "reason"),
        },
        None => CallCause::NodeLeaving,
    }
}

/// Lines of nodes.
#[derive(Default)]
struct DecisionLines {
    /// Lines about each call, in the order in which they were written.
    calls: BTreeMap<Box<str>, Vec<Value>>,
    /// Availability zone of each node whose start is in the lines.
    zones: BTreeMap<Box<str>, Box<str>>,
}

/// Reads the lines, of all calls or only of `only`. Lines that are not JSON are skipped.
fn read_lines(files: &[&PathBuf], only: Option<&str>) -> Result<DecisionLines, CliError> {
    let mut read = DecisionLines::default();
    for file in files {
        let bytes = std::fs::read(file).map_err(|source| CliError::File {
            file: file.display().to_string().into(),
            source,
        })?;
        for line in String::from_utf8_lossy(&bytes).lines() {
            // Log collectors may prepend output such as a timestamp.
            let Some(start) = line.find("{\"ms\"") else {
                continue;
            };
            let Ok(value) = serde_json::from_str::<Value>(&line[start..]) else {
                continue;
            };
            if value["event"] == "started" {
                read.zones
                    .insert(text(&value, "node"), text(&value, "zone"));
            }
            let Some(call) = value["call"].as_str() else {
                continue;
            };
            if only.is_none_or(|only| only == call) {
                read.calls.entry(call.into()).or_default().push(value);
            }
        }
    }
    Ok(read)
}

/// Runs the command.
pub fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let files: Vec<&PathBuf> = matches.get_many("logs").into_iter().flatten().collect();
    let json = matches
        .get_one::<String>("format")
        .is_some_and(|format| format == "json");
    let call = matches.get_one::<String>("call").map(String::as_str);
    let read = read_lines(&files, call)?;
    if matches.get_flag("summary") {
        let group = matches.get_one::<String>("by");
        match group.and_then(|group| group.parse().ok()) {
            Some(group) => print_payers(&read, group, json),
            None => summarize(&read.calls, json),
        }
        return Ok(ExitCode::Success);
    }
    let Some((call, lines)) = read.calls.first_key_value() else {
        eprintln!("monsoon: no line of this call in these files");
        return Ok(ExitCode::ProblemFound);
    };
    let cause = cause(lines);
    if json {
        let label = cause.label();
        println!(
            "{}",
            json!({ "call": call, "cause": label, "why": cause.to_string(), "lines": lines })
        );
    } else {
        for line in lines {
            println!("{line}");
        }
        println!("{call}: {cause}");
    }
    Ok(ExitCode::Success)
}

fn summarize(calls: &BTreeMap<Box<str>, Vec<Value>>, json: bool) {
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for lines in calls.values() {
        let cause = cause(lines);
        if !matches!(cause, CallCause::Answered { .. }) {
            *counts.entry(cause.label()).or_default() += 1;
        }
    }
    if json {
        println!("{}", json!({ "calls": calls.len(), "causes": counts }));
        return;
    }
    println!("{} calls", calls.len());
    for (label, count) in counts {
        println!("{count:>8} {label}");
    }
}

fn print_payers(read: &DecisionLines, group: PayerGroup, json: bool) {
    let rows = payers::count(read, group);
    if json {
        println!("{}", json!({ "by": group.to_string(), "groups": rows }));
    } else {
        println!("{}", payers::table(&rows, group).trim_fmt());
    }
}
