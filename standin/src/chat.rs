//! The part of the `OpenAI` completion API that an engine needs.

use serde::Deserialize;
use serde_json::{Value, json};

/// One of the two completion endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionKind {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// Text, or a list of parts of which some are text.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextContent {
    Whole(String),
    Parts(Vec<TextPart>),
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum TextPart {
    Text { text: String },
    Plain(String),
    Other(#[allow(dead_code)] Value),
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: Option<TextContent>,
}

#[derive(Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A completion request.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    /// Name of the requested model.
    pub(crate) model: Box<str>,
    #[serde(default)]
    messages: Value,
    prompt: Option<TextContent>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n_tokens: Option<u32>,
    priority: Option<i64>,
    resume_tokens: Option<u32>,
}

impl TextContent {
    fn text(&self) -> String {
        match self {
            Self::Whole(text) => text.clone(),
            Self::Parts(parts) => parts.iter().map(TextPart::text).collect(),
        }
    }
}

impl TextPart {
    fn text(&self) -> &str {
        match self {
            Self::Text { text } | Self::Plain(text) => text,
            Self::Other(_) => "",
        }
    }
}

impl CompletionRequest {
    /// The prompt; for a chat, the contents of all messages joined by line breaks.
    pub(crate) fn prompt(&self, kind: CompletionKind) -> String {
        match kind {
            CompletionKind::Text => self
                .prompt
                .as_ref()
                .map(TextContent::text)
                .unwrap_or_default(),
            CompletionKind::Chat => {
                let messages = Vec::<ChatMessage>::deserialize(&self.messages);
                let contents: Vec<String> = messages
                    .unwrap_or_default()
                    .iter()
                    .filter_map(|message| message.content.as_ref())
                    .map(TextContent::text)
                    .collect();
                contents.join("\n")
            }
        }
    }

    /// Text by which the prefix cache is looked up, see [`crate::answer::prefix_hash`].
    pub(crate) fn cache_text(&self, kind: CompletionKind) -> String {
        match kind {
            CompletionKind::Text => self.prompt(kind),
            CompletionKind::Chat => self.messages.to_string(),
        }
    }

    /// Requested length of the answer, in tokens; `None` if the request has none.
    pub(crate) fn requested_tokens(&self) -> Option<u32> {
        self.n_tokens
            .or(self.max_tokens)
            .or(self.max_completion_tokens)
    }

    /// Whether the answer is streamed.
    pub(crate) fn streamed(&self) -> bool {
        self.stream.unwrap_or(false)
    }

    /// Whether the end of the stream includes the usage.
    pub(crate) fn include_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }

    /// Priority; requests with a lower value run first. 0 if the request has none.
    pub(crate) fn priority(&self) -> i64 {
        self.priority.unwrap_or(0)
    }

    /// Number of tokens that the caller already has.
    pub(crate) fn resume_tokens(&self) -> u32 {
        self.resume_tokens.unwrap_or(0)
    }
}

/// Fields that all chunks of one answer have in common.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMetadata {
    /// Endpoint of the request.
    pub(crate) kind: CompletionKind,
    /// Value of the `id` field.
    pub(crate) id: Box<str>,
    /// Name of the model.
    pub(crate) model: Box<str>,
    /// Size of the prompt, in tokens.
    pub(crate) prompt_tokens: u32,
    /// Number of tokens in this answer.
    pub(crate) answer_tokens: u32,
}

impl AnswerMetadata {
    fn usage(&self) -> Value {
        json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.answer_tokens,
            "total_tokens": self.prompt_tokens + self.answer_tokens,
        })
    }

    fn object(&self, streamed: bool) -> &'static str {
        match (self.kind, streamed) {
            (CompletionKind::Chat, true) => "chat.completion.chunk",
            (CompletionKind::Chat, false) => "chat.completion",
            (CompletionKind::Text, _) => "text_completion",
        }
    }

    fn body(&self, streamed: bool, choice: &Value) -> Value {
        json!({
            "id": self.id,
            "object": self.object(streamed),
            "created": 0,
            "model": self.model,
            "choices": [choice],
        })
    }

    /// Event for one token; the first one of a chat includes the role.
    pub(crate) fn token_event(&self, text: &str, first: bool) -> String {
        let choice = match self.kind {
            CompletionKind::Chat if first => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": null,
            }),
            CompletionKind::Chat => json!({
                "index": 0,
                "delta": { "content": text },
                "finish_reason": null,
            }),
            CompletionKind::Text => json!({
                "index": 0,
                "text": text,
                "logprobs": null,
                "finish_reason": null,
            }),
        };
        event(&self.body(true, &choice))
    }

    /// Events after the last token.
    pub(crate) fn end_events(&self, include_usage: bool) -> String {
        let choice = match self.kind {
            CompletionKind::Chat => json!({ "index": 0, "delta": {}, "finish_reason": "stop" }),
            CompletionKind::Text => {
                json!({ "index": 0, "text": "", "logprobs": null, "finish_reason": "stop" })
            }
        };
        let mut body = self.body(true, &choice);
        if include_usage {
            body["usage"] = self.usage();
        }
        event(&body) + "data: [DONE]\n\n"
    }

    /// The whole answer in one body.
    pub(crate) fn whole(&self, text: &str) -> Value {
        let choice = match self.kind {
            CompletionKind::Chat => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "logprobs": null,
                "finish_reason": "stop",
            }),
            CompletionKind::Text => json!({
                "index": 0,
                "text": text,
                "logprobs": null,
                "finish_reason": "stop",
            }),
        };
        let mut body = self.body(false, &choice);
        body["usage"] = self.usage();
        body
    }
}

fn event(body: &Value) -> String {
    format!("data: {body}\n\n")
}
