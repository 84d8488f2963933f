//! Tests of the time for which a prompt part counts as cached: until the engine has added as many
//! tokens as the cache can keep.

use std::time::Duration;

use monsoonbank_kernel::gateway::cache::{CacheMoment, PromptCache};
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};

const SECOND: Duration = Duration::from_secs(1);
/// Size in tokens of the cache of these tests.
const SIZE: u64 = 100_000;

fn moment(now: Duration, held_tokens: u32) -> CacheMoment {
    CacheMoment { now, held_tokens }
}

/// A prompt with a shared part of 6,000 tokens and an own one of 1,000.
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

/// Each case gives the steps after the part was used, and how many of its tokens count as cached.
macro_rules! cached {
    ($($name:ident: $steps:expr, $moment:expr => $tokens:literal;)*) => {$(
        #[test]
        fn $name() {
            let mut cache = PromptCache::default();
            cache.record_tokens(7000, SIZE);
            assert!(cache.record_use(7, SECOND, moment(SECOND, 0)), "not cached before");
            let steps: fn(&mut PromptCache) = $steps;
            steps(&mut cache);
            assert_eq!(cache.cached_tokens(&prompt(), $moment), $tokens);
        }
    )*};
}

cached! {
    an_idle_engine_keeps_it_cached: |_| {}, moment(SECOND * 30, 0) => 6000;
    a_part_expires: |_| {}, moment(SECOND * 90, 0) => 0;
    a_few_tokens_do_not_evict_it: |cache| cache.record_tokens(80_000, SIZE), moment(SECOND * 2, 0) => 6000;
    a_cache_full_of_other_tokens_evicts_it: |cache| cache.record_tokens(95_000, SIZE), moment(SECOND * 2, 0) => 0;
    running_calls_leave_less_capacity: |cache| cache.record_tokens(50_000, SIZE), moment(SECOND * 2, 60_000) => 0;
    a_use_makes_it_the_most_recent: |cache| {
        cache.record_tokens(60_000, SIZE);
        cache.record_use(7, SECOND * 2, moment(SECOND * 2, 0));
        cache.record_tokens(60_000, SIZE);
    }, moment(SECOND * 3, 0) => 6000;
    calls_of_other_nodes_evict_it: |cache| { cache.receive_total("b", 10_000); cache.receive_total("b", 110_000); },
        moment(SECOND * 2, 0) => 0;
    tokens_before_a_nodes_first_report_do_not_evict_it: |cache| cache.receive_total("b", 900_000),
        moment(SECOND * 2, 0) => 6000;
    a_restarted_node_counts_from_zero: |cache| {
        cache.receive_total("b", 900_000);
        cache.receive_total("b", 1000);
    }, moment(SECOND * 2, 0) => 6000;
}

#[test]
fn an_evicted_part_is_prefilled_again_before_it_can_be_fetched() {
    let mut cache = PromptCache::default();
    cache.record_tokens(7000, SIZE);
    cache.record_use(7, SECOND, moment(SECOND, 0));
    cache.record_tokens(200_000, SIZE);
    let is_new = cache.record_use(7, SECOND * 9, moment(SECOND * 8, 0));
    assert!(is_new);
    assert_eq!(cache.cached_tokens(&prompt(), moment(SECOND * 8, 0)), 6000);
    assert_eq!(cache.prefilled_tokens(&prompt(), moment(SECOND * 8, 0)), 0);
    assert_eq!(
        cache.prefilled_tokens(&prompt(), moment(SECOND * 9, 0)),
        6000
    );
}
