//! What calls have in common that may crash the upstreams which run them.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::gateway::content::ContentDigest;
use crate::gateway::prompt::PromptShape;

/// Maximum number of a prompt's parts that are suspected and checked.
pub const MAX_PARTS: usize = 32;
/// Maximum number of parts that a cause names.
const MAX_CAUSE_PARTS: usize = 4;
/// Time for which an answer is written before its content cannot crash the upstream any more.
const CONTENT_WINDOW: Duration = Duration::from_secs(3);
/// The same time for a prompt part, which crashes an upstream as the answer begins.
const PART_WINDOW: Duration = Duration::from_secs(1);

/// A property of calls that may crash upstreams.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum SuspectKey {
    /// The whole content of a call.
    #[display("content:{_0}")]
    #[serde(rename = "c")]
    Content(ContentDigest),
    /// A part of its prompt, by its identifier.
    #[display("part:{_0:x}")]
    #[serde(rename = "p")]
    Part(u64),
}

impl SuspectKey {
    /// Time for which an answer has to be written to show that the property is harmless. A crash
    /// after that time is no evidence against it.
    pub fn window(self) -> Duration {
        match self {
            Self::Content(_) => CONTENT_WINDOW,
            Self::Part(_) => PART_WINDOW,
        }
    }
}

/// Returns what a call may crash upstreams with: its content, and the parts of its prompt that other
/// calls may share. The last part belongs to the call alone, also where it occurs twice.
pub fn suspects_of(content: ContentDigest, prompt: &PromptShape) -> Box<[SuspectKey]> {
    let own = prompt.parts.last().map(|part| part.id);
    let mut suspects = vec![SuspectKey::Content(content)];
    for part in prompt.shared_parts() {
        let suspect = SuspectKey::Part(part.id);
        if Some(part.id) != own && !suspects.contains(&suspect) {
            suspects.push(suspect);
        }
        if suspects.len() > MAX_PARTS {
            break;
        }
    }
    suspects.into()
}

/// Properties that crash upstreams together: calls that have all of them are quarantined.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{}", self.text())]
#[serde(transparent)]
pub struct CrashCause(Box<[SuspectKey]>);

impl CrashCause {
    /// Creates the cause of calls with this property and, if there are any, all of these others.
    pub fn new(suspect: SuspectKey, others: impl IntoIterator<Item = SuspectKey>) -> Self {
        let others = others.into_iter().take(MAX_CAUSE_PARTS - 1);
        let mut suspects: Vec<SuspectKey> = others.chain([suspect]).collect();
        suspects.sort_unstable();
        suspects.dedup();
        Self(suspects.into())
    }

    /// The properties, in order.
    pub fn suspects(&self) -> &[SuspectKey] {
        &self.0
    }

    /// The first property, which finds the cause among others.
    pub fn first(&self) -> Option<SuspectKey> {
        self.0.first().copied()
    }

    /// Whether a call with these properties has all of the cause's.
    pub fn applies_to(&self, suspects: &[SuspectKey]) -> bool {
        self.0.iter().all(|suspect| suspects.contains(suspect))
    }

    fn text(&self) -> String {
        let texts: Vec<String> = self.0.iter().map(SuspectKey::to_string).collect();
        texts.join("+")
    }
}
