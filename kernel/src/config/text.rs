//! Parses and validates configuration texts. Errors state the position in the text.

use thiserror::Error;

use crate::config::check::ConfigFault;
use crate::config::file_check::check_file;
use crate::config::locate::{PathStep, TextPosition, locate};
use crate::config::spec::ConfigFile;

/// An error in a configuration file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{file}:{position}: {field}: {message}")]
pub struct FileFault {
    /// Name of the file.
    pub file: Box<str>,
    /// Position in the file.
    pub position: TextPosition,
    /// Path of the field.
    pub field: Box<str>,
    /// Description of the found and the expected value.
    pub message: Box<str>,
}

/// Parses a configuration from a YAML text without validating it. An error states the position, the
/// field and the expected value.
pub fn parse(file: &str, text: &str) -> Result<ConfigFile, FileFault> {
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    serde_path_to_error::deserialize(deserializer).map_err(|error| {
        let field = error.path().to_string();
        let position = error
            .inner()
            .location()
            .map_or_else(TextPosition::default, |location| TextPosition {
                line: location.line(),
                column: location.column(),
            });
        FileFault {
            file: file.into(),
            position,
            field: field.into(),
            message: strip_location(&error.inner().to_string())
                .replace("expected a duration", "expected a duration such as `650ms`")
                .into(),
        }
    })
}

/// Strips the position and the path from the parser's message; both are reported separately.
fn strip_location(message: &str) -> &str {
    let message = message
        .rsplit_once(" at line ")
        .map_or(message, |(before, _)| before);
    match message.split_once(": ") {
        Some((path, rest)) if !path.contains(' ') => rest,
        _ => message,
    }
}

/// Parses and validates a configuration given as one YAML text.
pub fn check_text(file: &str, text: &str) -> Result<ConfigFile, Vec<FileFault>> {
    check_texts(&[(file, text)])
}

/// Parses and validates a configuration given as several YAML texts, each with a part of it.
pub fn check_texts(texts: &[(&str, &str)]) -> Result<ConfigFile, Vec<FileFault>> {
    let mut faults = Vec::new();
    let mut files = Vec::new();
    for (file, text) in texts {
        match parse(file, text) {
            Ok(parsed) => files.push((*file, *text, parsed)),
            Err(fault) => faults.push(fault),
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let merged = merge(files.iter().map(|(_, _, parsed)| parsed));
    faults.extend(
        check_file(&merged)
            .into_iter()
            .map(|fault| locate_fault(&fault, &files)),
    );
    if faults.is_empty() {
        return Ok(merged);
    }
    faults.sort_by(|one, other| (&one.file, one.position).cmp(&(&other.file, other.position)));
    Err(faults)
}

fn merge<'a>(files: impl Iterator<Item = &'a ConfigFile>) -> ConfigFile {
    let mut merged = ConfigFile::default();
    for file in files {
        merged.tiers.extend(file.tiers.iter().cloned());
        merged.classes.extend(file.classes.iter().cloned());
        merged.workspaces.extend(file.workspaces.iter().cloned());
        merged.pools.extend(file.pools.iter().cloned());
        merged.upstreams.extend(file.upstreams.iter().cloned());
        merged.rules.extend(file.rules.iter().cloned());
    }
    merged
}

fn section_len(file: &ConfigFile, section: &str) -> usize {
    match section {
        "tiers" => file.tiers.len(),
        "classes" => file.classes.len(),
        "workspaces" => file.workspaces.len(),
        "pools" => file.pools.len(),
        "upstreams" => file.upstreams.len(),
        _ => file.rules.len(),
    }
}

/// Maps an error in the merged configuration to its file and the position in it.
fn locate_fault(fault: &ConfigFault, files: &[(&str, &str, ConfigFile)]) -> FileFault {
    let mut path = fault.path.clone();
    let mut source = files.first();
    if let [PathStep::Field(section), rest @ ..] = path.0.as_mut_slice() {
        let mut before = 0;
        let wanted = match rest.first() {
            Some(PathStep::Item(position)) => *position,
            _ => 0,
        };
        for file in files {
            let count = section_len(&file.2, section);
            if wanted < before + count {
                source = Some(file);
                break;
            }
            before += count;
        }
        if let Some(PathStep::Item(position)) = rest.first_mut() {
            *position -= before;
        }
    }
    let (file, text) = source.map_or(("", ""), |(file, text, _)| (*file, *text));
    FileFault {
        file: file.into(),
        position: locate(text, &path).unwrap_or_default(),
        field: path.to_string().into(),
        message: fault.message.clone(),
    }
}
