//! Token-by-token comparison of an answer with the one expected from the stand-in engines.

/// Result of checking an answer that was received to its end, from least to most severe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerCheck {
    /// Every token is present once and in order.
    Whole,
    /// Tokens are missing.
    Short,
    /// A token occurs twice.
    Doubled,
    /// A token does not belong to this answer.
    Crossed,
}

/// Compares two answers whose tokens each end in a space, and returns the most severe mismatch.
pub fn compare_answers(expected: &str, received: &str) -> AnswerCheck {
    let expected: Vec<&str> = expected.split_inclusive(' ').collect();
    let mut check = AnswerCheck::Whole;
    let mut next = 0;
    for token in received.split_inclusive(' ') {
        let remaining = &expected[next..];
        if remaining.first() == Some(&token) {
            next += 1;
        } else if expected[..next].contains(&token) {
            check = check.max(AnswerCheck::Doubled);
        } else if let Some(gap) = remaining.iter().position(|later| *later == token) {
            check = check.max(AnswerCheck::Short);
            next += gap + 1;
        } else {
            check = check.max(AnswerCheck::Crossed);
        }
    }
    if next < expected.len() {
        check = check.max(AnswerCheck::Short);
    }
    check
}
