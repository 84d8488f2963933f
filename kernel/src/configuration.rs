//! The plug-in that folds the log's records into the configuration in force.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::config::Config;
use crate::event::{Action, Event};
use crate::plugin::{Context, NodeProfile, Plugin, Registration};
use crate::record::{LogRecord, Record};

/// Configuration records passed between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigurationMessage {
    /// "I have everything before this offset."
    Have {
        /// The offset.
        next: u64,
    },
    /// Records that the receiver does not have yet.
    Records(Vec<LogRecord>),
}

/// Folds log records into the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigurationFold {
    next: u64,
    reading: bool,
    config: Arc<Config>,
}

impl ConfigurationFold {
    fn apply(&mut self, entry: &LogRecord) -> bool {
        if entry.offset < self.next {
            return false;
        }
        self.next = entry.offset + 1;
        let Some(Record::Change(change)) = &entry.record else {
            return false;
        };
        if change.replaces != self.config.version {
            return false;
        }
        self.config = Arc::new(Config::from_file(entry.offset + 1, &change.file));
        true
    }
}

impl Plugin for ConfigurationFold {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        if matches!(event, Event::Tick) && !self.reading {
            self.reading = true;
            context.act(Action::ReadLog { from: self.next });
        }
        if matches!(event, Event::LogUnavailable) {
            self.reading = false;
        }
        let Event::LogRead { records, .. } = event else {
            return;
        };
        let mut changed = false;
        for entry in records {
            changed |= self.apply(entry);
        }
        if changed {
            context.raise(Event::ConfigApplied(Arc::clone(&self.config)));
        }
        context.act(Action::ReadLog { from: self.next });
    }

    fn dump(&self) -> Value {
        json!({ "next_offset": self.next, "version": self.config.version })
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<ConfigurationFold>::default()
}

inventory::submit! {
    Registration { name: "configuration", order: 10, build }
}
