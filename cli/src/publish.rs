//! `monsoon publish`: publishes configuration changes through a node.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use monsoonbank_kernel::config::document::{join, split};
use monsoonbank_kernel::config::text::{FileFault, check_texts, parse as parse_file};
use monsoonbank_kernel::config::{Document, DocumentKey, DocumentList};
use monsoonbank_kernel::configuration::publish::ChangeStatus;
use monsoonbank_kernel::record::{ChangeRecord, DocumentChange, PublishResult};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::arguments::{self, OutputFormat};
use crate::check::{TextFile, read_files};
use crate::client::NodeClient;
use crate::error::CliError;
use crate::exit_codes::ExitCode;

/// Interval between two polls of the progress of a change.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of attempts while nodes answer that the result is unavailable.
const MAX_ATTEMPTS: u32 = 3;

const LONG_ABOUT: &str = "\
Publishes configuration through a node.

Each class, workspace, pool and upstream, the list of tiers and the rule list is a document with a \
version of its own. Only documents that differ from those in force are changed, all of them or \
none. The change is accepted if no other change of the same documents came first; otherwise the \
conflict shows both versions: check the new content, then publish again. With --id a change may \
be sent again safely, for example after a lost answer.

\"accepted\" is printed once the record was read back from the log, \"in force\" as the nodes \
report it.

Exit codes: 0 accepted and in force on every node, 3 refused (invalid or conflict), 1 unknown.

Examples:
  monsoon publish --node 10.0.0.4:8082 --token \"$TOKEN\" examples/tauhere/config.yaml
  monsoon publish --node 10.0.0.4:8082 --token \"$TOKEN\" rules.yaml --seen 1041
  monsoon publish --node 10.0.0.4:8082 --token \"$TOKEN\" --remove workspace/tui-tutoring";

/// The command's arguments.
pub fn command() -> Command {
    Command::new("publish")
        .about("Publishes configuration through a node")
        .long_about(LONG_ABOUT)
        .arg(arguments::node())
        .arg(arguments::token())
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .num_args(0..)
                .required_unless_present("remove")
                .value_parser(value_parser!(PathBuf))
                .help("YAML files, or directories of them"),
        )
        .arg(
            Arg::new("remove")
                .long("remove")
                .value_name("KEY")
                .action(ArgAction::Append)
                .value_parser(|text: &str| text.parse::<DocumentKey>())
                .help("Removes a document, for example `class/chat`; may be given several times"),
        )
        .arg(
            Arg::new("prune")
                .long("prune")
                .action(ArgAction::SetTrue)
                .help("Removes every document that is not in the files"),
        )
        .arg(
            Arg::new("seen")
                .long("seen")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Conflicts with documents that changed after this version [default: newest]"),
        )
        .arg(
            Arg::new("id")
                .long("id")
                .value_name("ID")
                .help("The change's identifier, at most 64 bytes [default: random]"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .value_name("SECONDS")
                .default_value("30")
                .value_parser(value_parser!(u64))
                .help("How long to wait until the change is in force on every node"),
        )
        .arg(arguments::format())
}

fn parse<T: DeserializeOwned>(address: &str, value: Value) -> Result<T, CliError> {
    serde_json::from_value(value).map_err(|error| CliError::Refused {
        address: address.into(),
        status: 200,
        message: format!("the answer has an unknown format: {error}").into(),
    })
}

/// The changes that turn the documents in force into those wanted. A change replaces no version
/// after `seen`. Pruning removes every document that is not wanted, except placements.
fn document_changes(
    wanted: Vec<Document>,
    removed: &[DocumentKey],
    prune: bool,
    list: &DocumentList,
    seen: u64,
) -> Vec<DocumentChange> {
    let in_force: BTreeMap<DocumentKey, (u64, &Document)> = list
        .documents
        .iter()
        .map(|one| (one.content.key(), (one.version, &one.content)))
        .collect();
    // A change of a document that is newer than `seen` names the older version, so it conflicts.
    let version = |key: &DocumentKey| {
        in_force
            .get(key)
            .map_or(0, |(version, _)| *version)
            .min(seen)
    };
    let keys: Vec<DocumentKey> = wanted.iter().map(Document::key).collect();
    let mut changes: Vec<DocumentChange> = wanted
        .into_iter()
        .filter(|document| in_force.get(&document.key()).map(|(_, old)| *old) != Some(document))
        .map(|document| {
            let replaces = version(&document.key());
            DocumentChange::set(document, replaces)
        })
        .collect();
    let removals = in_force.keys().filter(|key| {
        let placement = matches!(key, DocumentKey::Placement(_));
        removed.contains(key) || (prune && !placement && !keys.contains(key))
    });
    changes.extend(removals.map(|key| DocumentChange::remove(key.clone(), version(key))));
    changes
}

/// Faults of the configuration that would result from the change. The files may contain only a part
/// of it, so they are checked together with the documents that stay in force.
fn faults(files: &[TextFile], list: &DocumentList, changes: &[DocumentChange]) -> Vec<FileFault> {
    let texts = files.iter().map(|file| (&*file.name, file.text.as_str()));
    let given = texts
        .clone()
        .filter_map(|(name, text)| parse_file(name, text).ok());
    let given: Vec<DocumentKey> = given
        .flat_map(|file| split(&file))
        .map(|document| document.key())
        .collect();
    let removed = |key: &DocumentKey| {
        let mut changes = changes.iter();
        changes.any(|change| change.key == *key && change.content.is_none())
    };
    let unchanged = list
        .documents
        .iter()
        .map(|one| &one.content)
        .filter(|content| {
            let key = content.key();
            !given.contains(&key) && !removed(&key)
        });
    let unchanged = serde_yaml_ng::to_string(&join(unchanged.cloned())).unwrap_or_default();
    let combined: Vec<(&str, &str)> = std::iter::once(("in force", unchanged.as_str()))
        .chain(texts)
        .collect();
    check_texts(&combined).err().unwrap_or_default()
}

fn parse_documents(files: &[TextFile]) -> Result<Vec<Document>, FileFault> {
    let mut documents = Vec::new();
    for file in files {
        documents.extend(split(&parse_file(&file.name, &file.text)?));
    }
    Ok(documents)
}

async fn send(
    client: &NodeClient,
    address: &str,
    record: &ChangeRecord,
) -> Result<PublishResult, CliError> {
    let body = json!(record);
    let mut result = PublishResult::Unavailable;
    for _ in 0..MAX_ATTEMPTS {
        let answer = client.post("/v1/changes", &body).await?;
        let value = serde_json::from_str(&answer).unwrap_or_default();
        result = parse(address, value)?;
        if result != PublishResult::Unavailable {
            break;
        }
    }
    Ok(result)
}

/// Polls until the change is in force on every node or the wait is over, and returns the last
/// status.
async fn wait_until_in_force(
    client: &NodeClient,
    address: &str,
    id: &str,
    wait: Duration,
) -> Result<ChangeStatus, CliError> {
    let start = Instant::now();
    loop {
        let path = format!("/v1/changes/{id}");
        let status: ChangeStatus = parse(address, client.get(&path).await?)?;
        let everywhere = status
            .progress
            .is_some_and(|progress| progress.in_force >= progress.of);
        if everywhere || start.elapsed() > wait {
            return Ok(status);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Runs the command.
pub async fn run(matches: &ArgMatches) -> Result<ExitCode, CliError> {
    let address = arguments::text(matches, "node");
    let client = NodeClient::new(address, Some(arguments::text(matches, "token")));
    let files = read_files(matches.get_many::<PathBuf>("files").into_iter().flatten())?;
    let documents = match parse_documents(&files) {
        Ok(documents) => documents,
        Err(fault) => {
            eprintln!("{fault}");
            return Ok(ExitCode::ProblemFound);
        }
    };
    let list: DocumentList = parse(address, client.get("/v1/documents").await?)?;
    let removed: Vec<DocumentKey> = matches
        .get_many("remove")
        .into_iter()
        .flatten()
        .cloned()
        .collect();
    let seen = matches.get_one("seen").copied().unwrap_or(u64::MAX);
    let prune = matches.get_flag("prune");
    let changes = document_changes(documents, &removed, prune, &list, seen);
    let given = matches.get_one::<String>("id").cloned();
    if changes.is_empty() && given.is_none() {
        println!(
            "nothing to publish: version {} already has this content",
            list.version
        );
        return Ok(ExitCode::Success);
    }
    let faults = faults(&files, &list, &changes);
    for fault in &faults {
        eprintln!("{fault}");
    }
    if !faults.is_empty() {
        return Ok(ExitCode::ProblemFound);
    }
    let id = given.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>()));
    let record = ChangeRecord {
        id: id.as_str().into(),
        changes,
    };
    let wait = Duration::from_secs(matches.get_one("wait").copied().unwrap_or_default());
    publish(
        &client,
        address,
        &record,
        wait,
        arguments::chosen_format(matches),
    )
    .await
}

/// Sends a change, prints its result and waits until it is in force.
async fn publish(
    client: &NodeClient,
    address: &str,
    record: &ChangeRecord,
    wait: Duration,
    format: OutputFormat,
) -> Result<ExitCode, CliError> {
    let start = Instant::now();
    let result = send(client, address, record).await?;
    let answered = start.elapsed().as_millis() as u64;
    if format == OutputFormat::Text {
        println!("{result} (id {}, {answered} ms)", record.id);
    }
    let progress = match result {
        PublishResult::Accepted { .. } => {
            wait_until_in_force(client, address, &record.id, wait)
                .await?
                .progress
        }
        _ => None,
    };
    let elapsed = start.elapsed().as_millis() as u64;
    match (format, progress) {
        (OutputFormat::Json, _) => println!(
            "{:#}",
            json!({ "id": record.id, "result": result, "answered_ms": answered,
                "progress": progress, "in_force_ms": elapsed })
        ),
        (OutputFormat::Text, Some(progress)) => {
            println!(
                "in force on {} of {} nodes ({elapsed} ms)",
                progress.in_force, progress.of
            );
        }
        (OutputFormat::Text, None) => {}
    }
    let everywhere = progress.is_some_and(|progress| progress.in_force >= progress.of);
    Ok(match result {
        PublishResult::Accepted { .. } if everywhere => ExitCode::Success,
        PublishResult::Conflict { .. } | PublishResult::Invalid { .. } => ExitCode::ProblemFound,
        _ => ExitCode::Failure,
    })
}
