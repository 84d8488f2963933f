//! Assembles the chunks of a completion for callers that did not ask for a stream.

use serde_json::{Value, json};

use crate::completions::{CompletionKind, CompletionMetadata};
use crate::frame::Chunk;

/// Assembles the chunks of a completion into one JSON answer.
#[derive(Debug, Default)]
pub struct CompletionAssembler {
    text: String,
    tool_calls: Vec<Value>,
    finish_reason: Value,
    usage: Option<Value>,
}

impl CompletionAssembler {
    /// Adds the next chunk. Chunks that are not part of a completion are ignored.
    pub fn add(&mut self, chunk: &Chunk) {
        match chunk {
            Chunk::Choices { json, .. } => self.add_choice(json),
            Chunk::Usage(json) => self.usage = serde_json::from_str(json).ok(),
            Chunk::Head { .. } | Chunk::Data(_) => {}
        }
    }

    fn add_choice(&mut self, json: &str) {
        let Ok(choices) = serde_json::from_str::<Value>(json) else {
            return;
        };
        let Some(choice) = choices.get(0) else {
            return;
        };
        let delta = choice.get("delta");
        let text = choice
            .get("text")
            .or_else(|| delta.and_then(|delta| delta.get("content")));
        self.text
            .push_str(text.and_then(Value::as_str).unwrap_or_default());
        let calls = delta
            .and_then(|delta| delta.get("tool_calls"))
            .and_then(Value::as_array);
        for call in calls.into_iter().flatten() {
            self.add_tool_call(call);
        }
        if let Some(reason) = choice
            .get("finish_reason")
            .filter(|reason| !reason.is_null())
        {
            self.finish_reason = reason.clone();
        }
    }

    /// Tool calls are streamed in parts: the arguments of parts with the same index are concatenated.
    fn add_tool_call(&mut self, part: &Value) {
        let index = part
            .get("index")
            .and_then(Value::as_u64)
            .unwrap_or_default() as usize;
        let Some(known) = self.tool_calls.get_mut(index) else {
            self.tool_calls.push(part.clone());
            return;
        };
        let more = part.pointer("/function/arguments").and_then(Value::as_str);
        if let (Some(more), Some(arguments)) = (more, known.pointer_mut("/function/arguments")) {
            *arguments = format!("{}{more}", arguments.as_str().unwrap_or_default()).into();
        }
    }

    /// Returns the assembled answer in the shape of the completions API.
    pub fn finish(self, metadata: &CompletionMetadata) -> Value {
        let choice = match metadata.kind {
            CompletionKind::Text => json!({
                "index": 0, "text": self.text, "finish_reason": self.finish_reason,
                "logprobs": Value::Null,
            }),
            CompletionKind::Chat => {
                let mut message = json!({ "role": "assistant", "content": self.text });
                if !self.tool_calls.is_empty() {
                    message["tool_calls"] = Value::Array(self.tool_calls);
                }
                json!({ "index": 0, "message": message, "finish_reason": self.finish_reason })
            }
        };
        json!({
            "id": metadata.id, "object": metadata.kind.object(false), "created": metadata.created,
            "model": metadata.model, "choices": [choice], "usage": self.usage,
        })
    }
}
