//! Tests of whether a late call is worth sending.
//!
//! In a surge of long prompts each token waits for a chunk of 2,048 prompt tokens: a stream of some
//! thirty events that takes 1 s on an idle engine takes 5 s, and a caller that retries after a
//! refusal has 2 to 3 s left.

use std::time::Duration;

use monsoonbank_kernel::gateway::pace::StreamPace;
use monsoonbank_kernel::gateway::prompt::PromptShape;

const MS: Duration = Duration::from_millis(1);

/// The pace after this many streams of ten events each, with these times to the first event and
/// between two.
fn pace(streams: usize, first_ms: u32, event_ms: u32) -> StreamPace {
    let mut pace = StreamPace::default();
    for _ in 0..streams {
        pace.record_stream(MS * first_ms, MS * event_ms * 9, 9);
    }
    pace
}

/// Each case gives the recorded pace, the number of events of a call's stream, its time left, and
/// whether it can finish.
macro_rules! ends {
    ($($name:ident: $pace:expr, $events:literal, $left_ms:literal => $ends:literal;)*) => {$(
        #[test]
        fn $name() {
            let pace: StreamPace = $pace;
            assert_eq!(pace.can_finish($events, MS * $left_ms), $ends);
        }
    )*};
}

ends! {
    no_call_is_given_up_before_a_stream_was_recorded: StreamPace::default(), 900.0, 10 => true;
    a_short_answer_ends_in_a_surge: pace(50, 400, 180), 8.0, 2500 => true;
    a_long_answer_does_not: pace(50, 400, 180), 30.0, 2500 => false;
    a_long_answer_ends_in_calm_times: pace(50, 150, 30), 30.0, 2500 => true;
    the_first_event_has_to_arrive_too: pace(50, 400, 180), 1.0, 300 => false;
}

#[test]
fn the_pace_follows_the_load_within_some_tens_of_streams() {
    let mut pace = pace(200, 150, 30);
    assert!(pace.can_finish(30.0, MS * 2500));
    for _ in 0..60 {
        pace.record_stream(MS * 400, MS * 180 * 9, 9);
    }
    assert!(!pace.can_finish(30.0, MS * 2500));
    assert!(pace.expected_first_event() > MS * 350);
}

#[test]
fn the_callers_estimate_precedes_the_maximum() {
    let mut prompt = PromptShape {
        output_tokens: 100,
        ..PromptShape::default()
    };
    assert!((prompt.expected_events(5) - 20.0).abs() < f64::EPSILON);
    prompt.expected_tokens = Some(10);
    assert!((prompt.expected_events(5) - 2.0).abs() < f64::EPSILON);
    prompt.expected_tokens = Some(4000);
    assert!((prompt.expected_events(5) - 20.0).abs() < f64::EPSILON);
}
