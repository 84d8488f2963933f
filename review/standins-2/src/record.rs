//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    file: Mutex<File>,
    start: Instant,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) {
    let file = File::create(path).unwrap_or_else(|error| crate::cannot_run(&format!("{path}: {error}")));
    let _ = RECORD.set(Record { file: Mutex::new(file), start: Instant::now() });
}

/// Writes a line.
pub fn line(text: &str) {
    if let Some(record) = RECORD.get() {
        let at = record.start.elapsed().as_secs_f64();
        let mut file = record.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{at:9.3}  {text}");
    }
}

/// Writes a line, and prints it.
pub fn say(text: &str) {
    line(text);
    println!("{text}");
}
