//! Answers of an engine. They are a pure function of the prompt, so that callers can check each one.

use std::ops::RangeInclusive;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Size of a block in the prefix cache, in bytes of prompt.
pub const BLOCK_BYTES: usize = 256;

/// Number of prompt bytes that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Seed of the hash that determines the answer's length, different from the tokens' hashes.
const LENGTH_SEED: u64 = 0x6c65_6e67;

/// Hash of a whole prompt; it determines every token of the answer.
pub fn prompt_hash(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// Hash of a prompt's first block, used in cache events and for prefix affinity. It is
/// the XXH3-64 hash of the first [`BLOCK_BYTES`] bytes, or of the whole of a shorter text. The text
/// is the prompt, or for a chat the JSON of its `messages` without spaces and with sorted keys.
pub fn prefix_hash(text: &str) -> u64 {
    let bytes = text.as_bytes();
    xxh3_64(&bytes[..bytes.len().min(BLOCK_BYTES)])
}

/// Size of a prompt in tokens, at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES))
        .unwrap_or(u32::MAX)
        .max(1)
}

/// The token at `index` of the answer to the prompt with this hash.
pub fn token_at(prompt_hash: u64, index: u32) -> String {
    let hash = xxh3_64_with_seed(&index.to_le_bytes(), prompt_hash);
    format!("w{} ", hash % 1000)
}

/// Number of tokens in the answer: the requested one, or else a number in `range` that the prompt
/// determines. At least 1.
pub fn answer_tokens(prompt: &str, requested: Option<u32>, range: &RangeInclusive<u32>) -> u32 {
    let tokens = requested.unwrap_or_else(|| {
        let span = u64::from(range.end().saturating_sub(*range.start())) + 1;
        let extra = xxh3_64_with_seed(prompt.as_bytes(), LENGTH_SEED) % span;
        range.start() + u32::try_from(extra).unwrap_or(0)
    });
    tokens.max(1)
}

/// The whole answer to a prompt whose request sets the length in tokens (`max_tokens`).
pub fn expected_answer(prompt: &str, tokens: u32) -> String {
    answer_part(prompt, 0, tokens)
}

/// Tokens `from..to` of the answer to a prompt.
pub fn answer_part(prompt: &str, from: u32, to: u32) -> String {
    let hash = prompt_hash(prompt);
    (from..to).map(|index| token_at(hash, index)).collect()
}
