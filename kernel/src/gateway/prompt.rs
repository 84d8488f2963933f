//! What a call says of its prompt: sizes and the parts that it shares with other calls.

/// One part of a prompt, named by its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Sizes of a model call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens to read before the first token is generated.
    pub prompt_tokens: u32,
    /// Most tokens that may be generated.
    pub output_tokens: u32,
    /// Tokens that the caller expects; often far off.
    pub expected_tokens: Option<u32>,
    /// The prompt's parts in order; the last belongs to the call or its session alone.
    pub parts: Box<[PromptPart]>,
}

impl PromptShape {
    /// Events of the answer's stream that are to be expected, of `event_tokens` tokens each.
    pub fn expected_events(&self, event_tokens: u32) -> f64 {
        let expected = self.expected_tokens.unwrap_or(self.output_tokens);
        let tokens = expected.min(self.output_tokens);
        f64::from(tokens) / f64::from(event_tokens.max(1))
    }

    /// Tokens of the parts that other calls may share.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The parts that other calls may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }
}
