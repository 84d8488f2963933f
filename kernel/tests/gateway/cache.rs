//! How long a part of a prompt is counted on: until the cache has had to take in what it has room
//! for.

use std::time::Duration;

use monsoonbank_kernel::gateway::cache::{CacheMoment, PromptCache};
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};

const SECOND: Duration = Duration::from_secs(1);
/// Tokens that the cache of these tests holds.
const SIZE: u64 = 100_000;

fn moment(now: Duration, held_tokens: u32) -> CacheMoment {
    CacheMoment { now, held_tokens }
}

/// A prompt of a shared part of 6,000 tokens and 1,000 of its own.
fn prompt() -> PromptShape {
    PromptShape {
        prompt_tokens: 7000,
        output_tokens: 100,
        expected_tokens: None,
        parts: [
            PromptPart {
                id: 7,
                tokens: 6000,
            },
            PromptPart {
                id: 8,
                tokens: 1000,
            },
        ]
        .into(),
    }
}

/// Names a case: what happens after the part was used, and how many tokens of it are counted on.
macro_rules! kept {
    ($($name:ident: $steps:expr, $moment:expr => $tokens:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut cache = PromptCache::default();
            cache.record_tokens(7000, SIZE);
            assert!(cache.record_use(7, SECOND, moment(SECOND, 0)), "news");
            let steps: fn(&mut PromptCache) = $steps;
            steps(&mut cache);
            assert_eq!(cache.cached_tokens(&prompt(), $moment), $tokens);
        }
    )*};
}

kept! {
    an_idle_engine_keeps_it: |_| {}, moment(SECOND * 30, 0) => 6000;
    nothing_is_counted_on_for_ever: |_| {}, moment(SECOND * 90, 0) => 0;
    a_little_more_does_not_push_it_out: |cache| cache.record_tokens(80_000, SIZE), moment(SECOND * 2, 0) => 6000;
    a_cache_full_of_others_pushes_it_out: |cache| cache.record_tokens(95_000, SIZE), moment(SECOND * 2, 0) => 0;
    running_calls_leave_less_room: |cache| cache.record_tokens(50_000, SIZE), moment(SECOND * 2, 60_000) => 0;
    a_use_makes_it_the_newest: |cache| {
        cache.record_tokens(60_000, SIZE);
        cache.record_use(7, SECOND * 2, moment(SECOND * 2, 0));
        cache.record_tokens(60_000, SIZE);
    }, moment(SECOND * 3, 0) => 6000;
    other_nodes_calls_push_it_out: |cache| { cache.receive_total("b", 10_000); cache.receive_total("b", 110_000); },
        moment(SECOND * 2, 0) => 0;
    what_came_before_a_nodes_first_word_does_not: |cache| cache.receive_total("b", 900_000),
        moment(SECOND * 2, 0) => 6000;
    a_node_that_starts_again_counts_from_nothing: |cache| {
        cache.receive_total("b", 900_000);
        cache.receive_total("b", 1000);
    }, moment(SECOND * 2, 0) => 6000;
}

#[test]
fn a_part_that_was_pushed_out_is_read_anew_before_it_can_be_fetched() {
    let mut cache = PromptCache::default();
    cache.record_tokens(7000, SIZE);
    cache.record_use(7, SECOND, moment(SECOND, 0));
    cache.record_tokens(200_000, SIZE);
    let news = cache.record_use(7, SECOND * 9, moment(SECOND * 8, 0));
    assert!(news);
    assert_eq!(cache.cached_tokens(&prompt(), moment(SECOND * 8, 0)), 6000);
    assert_eq!(cache.read_tokens(&prompt(), moment(SECOND * 8, 0)), 0);
    assert_eq!(cache.read_tokens(&prompt(), moment(SECOND * 9, 0)), 6000);
}
