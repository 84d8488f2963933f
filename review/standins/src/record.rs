//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A file of lines, each with the seconds since the start of the case.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    since: Instant,
}

impl Record {
    /// Creates the file, in place of an earlier one.
    pub fn create(path: &Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("a record"))),
            since: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.since.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{seconds:8.3} {text}");
    }
}
