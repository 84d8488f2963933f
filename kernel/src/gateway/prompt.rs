//! Sizes of a call's prompt and the parts that it shares with other calls.

/// One part of a prompt, identified by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part's content, the same in all prompts that contain it.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Prompt and output sizes of a model call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens to prefill before the first token is generated.
    pub prompt_tokens: u32,
    /// Maximum number of tokens that may be generated.
    pub output_tokens: u32,
    /// Number of tokens that the caller expects, which is often far off; `None` if it gave none.
    pub expected_tokens: Option<u32>,
    /// Parts of the prompt in order; the last belongs only to the call or its session.
    pub parts: Box<[PromptPart]>,
}

impl PromptShape {
    /// Expected number of events in the answer's stream, with `event_tokens` tokens each.
    pub fn expected_events(&self, event_tokens: u32) -> f64 {
        let expected = self.expected_tokens.unwrap_or(self.output_tokens);
        let tokens = expected.min(self.output_tokens);
        f64::from(tokens) / f64::from(event_tokens.max(1))
    }

    /// Number of tokens in the parts that other calls may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Parts that other calls may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
