//! A caller's request and the check of its answer.

use monsoonbank_standin::answer::expected_answer;
use serde_json::{Value, json};

use crate::verify::{AnswerCheck, compare_answers};

/// A caller's request by the API that it uses.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// A chat completion.
    Completion(CompletionBody),
    /// A call to a plain service.
    Service(ServiceBody),
}

/// Content of a chat completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionBody {
    /// Name of the model.
    pub model: Box<str>,
    /// The prompt, unique to the call.
    pub prompt: Box<str>,
    /// Number of tokens requested.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Value of the header `x-purpose`; `None` omits the header.
    pub purpose: Option<Box<str>>,
}

/// Content of a call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBody {
    /// Name of the service.
    pub service: Box<str>,
    /// Path at the service, with a leading slash.
    pub path: Box<str>,
    /// The body, unique to the call.
    pub text: Box<str>,
    /// Whether the call is not repeatable and carries an idempotency key.
    pub keyed: bool,
}

impl RequestBody {
    /// URL path of the request at a node.
    pub fn node_path(&self) -> String {
        match self {
            Self::Completion(_) => "/v1/chat/completions".to_owned(),
            Self::Service(body) => format!("/services/{}{}", body.service, body.path),
        }
    }

    /// URL path of the request at an upstream.
    pub fn upstream_path(&self) -> &str {
        match self {
            Self::Completion(_) => "/v1/chat/completions",
            Self::Service(body) => &body.path,
        }
    }

    /// The serialized request body.
    pub fn text(&self) -> String {
        match self {
            Self::Completion(body) => json!({
                "model": body.model,
                "messages": [{ "role": "user", "content": body.prompt }],
                "max_tokens": body.tokens,
                "stream": body.streamed,
            })
            .to_string(),
            Self::Service(body) => body.text.to_string(),
        }
    }

    /// Whether the answer is streamed.
    pub fn streamed(&self) -> bool {
        matches!(self, Self::Completion(body) if body.streamed)
    }

    /// Whether the call is not repeatable and needs an idempotency key.
    pub fn keyed(&self) -> bool {
        matches!(self, Self::Service(body) if body.keyed)
    }

    /// Work that the request causes at an upstream: tokens of a completion, or one run of a plain
    /// service.
    pub fn units(&self) -> u64 {
        match self {
            Self::Completion(body) => u64::from(body.tokens),
            Self::Service(_) => 1,
        }
    }

    /// Compares an answer that was not streamed with the expected one.
    pub fn check_answer(&self, answer: &Value) -> AnswerCheck {
        match self {
            Self::Completion(_) => {
                let text = answer.pointer("/choices/0/message/content");
                self.check_text(text.and_then(Value::as_str).unwrap_or_default())
            }
            Self::Service(body) => {
                let matches = answer["body"] == *body.text && answer["path"] == *body.path;
                if matches {
                    AnswerCheck::Whole
                } else {
                    AnswerCheck::Crossed
                }
            }
        }
    }

    /// Compares the joined tokens of a completion with the expected ones.
    pub fn check_text(&self, text: &str) -> AnswerCheck {
        match self {
            Self::Completion(body) => {
                compare_answers(&expected_answer(&body.prompt, body.tokens), text)
            }
            Self::Service(_) => AnswerCheck::Crossed,
        }
    }
}
