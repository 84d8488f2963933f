//! Compares an answer, token by token, with the one that the stand-in engines must give.

/// What an answer that came to its end turned out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AnswerCheck {
    /// Every token, once and in order.
    Whole,
    /// Tokens are missing.
    Short,
    /// A token came twice.
    Doubled,
    /// Something is not of this answer.
    Crossed,
}

/// Compares two answers of tokens that each end in a space. Of several faults the worst counts.
pub fn compare_answers(expected: &str, got: &str) -> AnswerCheck {
    let expected: Vec<&str> = expected.split_inclusive(' ').collect();
    let mut verdict = AnswerCheck::Whole;
    let mut next = 0;
    for token in got.split_inclusive(' ') {
        let rest = &expected[next..];
        if rest.first() == Some(&token) {
            next += 1;
        } else if expected[..next].contains(&token) {
            verdict = verdict.max(AnswerCheck::Doubled);
        } else if let Some(gap) = rest.iter().position(|later| *later == token) {
            verdict = verdict.max(AnswerCheck::Short);
            next += gap + 1;
        } else {
            verdict = verdict.max(AnswerCheck::Crossed);
        }
    }
    if next < expected.len() {
        verdict = verdict.max(AnswerCheck::Short);
    }
    verdict
}
