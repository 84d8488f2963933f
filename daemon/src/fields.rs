//! Reads the fields of a completion request that the router needs. All others stay text: a parsed value
//! takes many times the memory of its text.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;

use salvo::http::StatusCode;
use serde::de::{DeserializeOwned, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::completions::CompletionKind;
use crate::refusal::CallerError;

/// Length of the prompt prefix that determines cache affinity, in bytes.
const PREFIX_BYTES: usize = 256;

/// Fields of a completion request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionFields {
    /// Name of the requested model.
    pub model: Box<str>,
    /// Whether the caller asked for a streamed answer.
    pub streamed: bool,
    /// Whether the caller asked for the usage at the end of the stream.
    pub include_usage: bool,
    /// Maximum number of tokens in the answer; 0 for no limit.
    pub max_tokens: u32,
    /// Hash of the beginning of the prompt, by which engines identify cached prefixes.
    pub prefix: u64,
}

type RawFields<'a> = BTreeMap<Cow<'a, str>, &'a RawValue>;

#[derive(Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct MessageText<'a> {
    #[serde(borrow, default)]
    content: Option<&'a RawValue>,
}

impl CompletionFields {
    /// Reads the fields of a request's body.
    pub fn parse(kind: CompletionKind, body: &[u8]) -> Result<Self, CallerError> {
        let fields: RawFields<'_> = serde_json::from_slice(body).map_err(|error| {
            let reason = format!("the body is not a JSON object: {error}");
            CallerError::not_run(StatusCode::BAD_REQUEST, "invalid_json", reason)
        })?;
        let model = required(&fields, "model", "a string")?;
        let streamed: Option<bool> = optional(&fields, "stream", "a boolean")?;
        let answers: Option<u64> = optional(&fields, "n", "1 (one answer a call)")?;
        if answers.is_some_and(|answers| answers != 1) {
            return Err(wrong_field("n", "1 (one answer a call)"));
        }
        let bound = if fields.contains_key("max_completion_tokens") {
            "max_completion_tokens"
        } else {
            "max_tokens"
        };
        let max_tokens: Option<u32> = optional(&fields, bound, "a whole number")?;
        let options = fields.get("stream_options");
        let options = options.and_then(|options| serde_json::from_str(options.get()).ok());
        let options: StreamOptions = options.unwrap_or_default();
        Ok(Self {
            model,
            streamed: streamed.unwrap_or(false),
            include_usage: options.include_usage,
            max_tokens: max_tokens.unwrap_or(0),
            prefix: xxh3_64(&prompt_prefix(kind, &fields)?),
        })
    }
}

fn required<T: DeserializeOwned>(
    fields: &RawFields<'_>,
    name: &str,
    expected: &str,
) -> Result<T, CallerError> {
    optional(fields, name, expected)?.ok_or_else(|| wrong_field(name, expected))
}

/// Returns the value of a field; `None` if it is missing or null.
fn optional<T: DeserializeOwned>(
    fields: &RawFields<'_>,
    name: &str,
    expected: &str,
) -> Result<Option<T>, CallerError> {
    let Some(value) = fields.get(name) else {
        return Ok(None);
    };
    serde_json::from_str(value.get()).map_err(|_| wrong_field(name, expected))
}

/// Returns the first bytes of the prompt's text.
fn prompt_prefix(kind: CompletionKind, fields: &RawFields<'_>) -> Result<Vec<u8>, CallerError> {
    match kind {
        CompletionKind::Chat => {
            let wrong = || wrong_field("messages", "a list with at least one message");
            let messages = fields.get("messages").ok_or_else(wrong)?;
            let prefix: Result<MessagePrefix, _> = serde_json::from_str(messages.get());
            let prefix = prefix.map_err(|_| wrong())?;
            if prefix.messages == 0 {
                return Err(wrong());
            }
            Ok(prefix.bytes)
        }
        CompletionKind::Text => {
            let wrong = || wrong_field("prompt", "a string");
            let prompt = fields.get("prompt").ok_or_else(wrong)?;
            let prompt: Cow<'_, str> = text(prompt).ok_or_else(wrong)?;
            Ok(prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)].to_vec())
        }
    }
}

/// Returns the value if it is a string.
fn text(value: &RawValue) -> Option<Cow<'_, str>> {
    #[derive(Deserialize)]
    struct BorrowedText<'a>(#[serde(borrow)] Cow<'a, str>);
    let text: BorrowedText<'_> = serde_json::from_str(value.get()).ok()?;
    Some(text.0)
}

/// First bytes of the contents of messages, with a line end between two of them.
#[derive(Default)]
struct MessagePrefix {
    messages: usize,
    contents: usize,
    bytes: Vec<u8>,
}

impl MessagePrefix {
    fn add(&mut self, message: &RawValue) {
        self.messages += 1;
        if self.bytes.len() >= PREFIX_BYTES {
            return;
        }
        let message: Option<MessageText<'_>> = serde_json::from_str(message.get()).ok();
        let content = message.and_then(|message| message.content);
        let Some(content) = content.and_then(text) else {
            return;
        };
        if self.contents > 0 {
            self.bytes.push(b'\n');
        }
        self.contents += 1;
        let left = PREFIX_BYTES - self.bytes.len();
        self.bytes
            .extend_from_slice(&content.as_bytes()[..content.len().min(left)]);
    }
}

impl<'de> Deserialize<'de> for MessagePrefix {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        struct PrefixVisitor;

        impl<'de> Visitor<'de> for PrefixVisitor {
            type Value = MessagePrefix;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("a list of messages")
            }

            fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<MessagePrefix, A::Error> {
                let mut prefix = MessagePrefix::default();
                while let Some(message) = list.next_element::<&RawValue>()? {
                    prefix.add(message);
                }
                Ok(prefix)
            }
        }

        source.deserialize_seq(PrefixVisitor)
    }
}

fn wrong_field(field: &str, expected: &str) -> CallerError {
    CallerError::not_run(
        StatusCode::BAD_REQUEST,
        "invalid_field",
        format!("field `{field}`: expected {expected}"),
    )
}
