//! A caller's request, and the check of its answer.

use monsoonbank_standin::answer::expected_answer;
use serde_json::{Value, json};

use crate::verify::{AnswerCheck, compare_answers};

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestBody {
    /// A chat completion.
    Completion(CompletionBody),
    /// A call to a plain service.
    Service(ServiceBody),
}

/// A chat completion.
#[derive(Clone, Debug, PartialEq)]
pub struct CompletionBody {
    /// The model.
    pub model: Box<str>,
    /// The prompt; no other call has the same.
    pub prompt: Box<str>,
    /// Tokens wanted.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// The header `x-purpose`, if any.
    pub purpose: Option<Box<str>>,
}

/// A call to a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceBody {
    /// The service.
    pub service: Box<str>,
    /// The path at the service; begins with a slash.
    pub path: Box<str>,
    /// The body; no other call has the same.
    pub text: Box<str>,
    /// Whether the call may not be repeated and goes with an idempotency key.
    pub keyed: bool,
}

impl RequestBody {
    /// The path at a node.
    pub fn node_path(&self) -> String {
        match self {
            Self::Completion(_) => "/v1/chat/completions".to_owned(),
            Self::Service(body) => format!("/services/{}{}", body.service, body.path),
        }
    }

    /// The path at an upstream.
    pub fn upstream_path(&self) -> &str {
        match self {
            Self::Completion(_) => "/v1/chat/completions",
            Self::Service(body) => &body.path,
        }
    }

    /// The body as it is sent.
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

    /// Whether the call may not be repeated.
    pub fn keyed(&self) -> bool {
        matches!(self, Self::Service(body) if body.keyed)
    }

    /// What an upstream does for it: tokens, or one run.
    pub fn units(&self) -> u64 {
        match self {
            Self::Completion(body) => u64::from(body.tokens),
            Self::Service(_) => 1,
        }
    }

    /// Checks a whole answer that was not streamed.
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

    /// Checks the joined tokens of a completion.
    pub fn check_text(&self, text: &str) -> AnswerCheck {
        match self {
            Self::Completion(body) => {
                compare_answers(&expected_answer(&body.prompt, body.tokens), text)
            }
            Self::Service(_) => AnswerCheck::Crossed,
        }
    }
}
