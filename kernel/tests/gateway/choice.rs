//! Tests of the selection of an upstream for a call.

use std::time::Duration;

use monsoonbank_kernel::gateway::choice::{ChoiceInput, UpstreamChoice, choose};
use monsoonbank_kernel::gateway::load::{WorkCount, WorkItem};
use monsoonbank_kernel::gateway::prompt::{PromptPart, PromptShape};
use monsoonbank_kernel::gateway::registry::UpstreamRegistry;

use crate::engines::{NOW, bulk, input, registry};

fn shared(id: u64) -> PromptShape {
    let parts = [
        PromptPart { id, tokens: 5000 },
        PromptPart {
            id: 999,
            tokens: 1000,
        },
    ];
    PromptShape {
        prompt_tokens: 6000,
        output_tokens: 100,
        expected_tokens: None,
        parts: parts.into(),
    }
}

fn id(registry: &UpstreamRegistry, choice: Option<UpstreamChoice>) -> String {
    let upstream = choice.and_then(|choice| registry.get(choice.key));
    upstream.map_or_else(
        || "none".to_owned(),
        |upstream| upstream.entry.id.to_string(),
    )
}

fn load(registry: &mut UpstreamRegistry, id: &str, item: WorkItem, times: usize) {
    let key = registry.key(id).expect("known");
    for _ in 0..times {
        registry.get_mut(key).expect("known").load.begin(item);
    }
}

#[test]
fn urgent_streams_stay_away_from_long_prompts() {
    let mut registry = registry(&["east", "east"], 10);
    load(
        &mut registry,
        "i-0",
        WorkItem {
            prefill_tokens: 20_000,
            ..WorkItem::default()
        },
        1,
    );
    load(&mut registry, "i-1", WorkItem::default(), 5);
    let prompt = bulk(600);
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "i-1"
    );
}

#[test]
fn long_prompts_stay_away_from_urgent_streams() {
    let mut registry = registry(&["east", "east"], 10);
    load(
        &mut registry,
        "i-0",
        WorkItem {
            tight: true,
            ..WorkItem::default()
        },
        6,
    );
    load(
        &mut registry,
        "i-1",
        WorkItem {
            prefill_tokens: 10_000,
            ..WorkItem::default()
        },
        2,
    );
    let prompt = bulk(12_000);
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, false))),
        "i-1"
    );
}

#[test]
fn a_cached_prompt_attracts_calls_until_its_upstream_is_busy() {
    let mut registry = registry(&["east", "east"], 10);
    let key = registry.key("i-1").expect("known");
    registry
        .get_mut(key)
        .expect("known")
        .load
        .record_part_prefilled(7, NOW);
    let prompt = shared(7);
    let choice = choose(&registry, &input(&prompt, false)).expect("a choice");
    assert_eq!(
        (choice.key, choice.prefill_tokens, choice.fetch_from),
        (key, 1000, None)
    );
    load(
        &mut registry,
        "i-1",
        WorkItem {
            prefill_tokens: 30_000,
            ..WorkItem::default()
        },
        1,
    );
    let choice = choose(&registry, &input(&prompt, false)).expect("a choice");
    assert_eq!(id(&registry, Some(choice)), "i-0");
    assert_eq!(
        (choice.prefill_tokens, choice.fetch_from),
        (1000, Some(key)),
        "it fetches the part"
    );
}

#[test]
fn nodes_agree_on_an_upstream_for_a_prompt_that_none_has_cached() {
    let registry = registry(&["east", "east", "east", "east", "west"], 10);
    let homes: Vec<String> = (0..40)
        .map(|part| id(&registry, choose(&registry, &input(&shared(part), false))))
        .collect();
    let same: Vec<String> = (0..40)
        .map(|part| id(&registry, choose(&registry, &input(&shared(part), false))))
        .collect();
    assert_eq!(homes, same);
    let tight = id(&registry, choose(&registry, &input(&bulk(600), true)));
    for upstream in ["i-0", "i-1", "i-2", "i-3"] {
        let count = homes.iter().filter(|home| *home == upstream).count();
        assert!(
            if upstream == tight {
                count == 0
            } else {
                count > 5
            },
            "three get prompts, one is reserved for tight streams: {homes:?}"
        );
    }
    assert!(
        !homes.contains(&"i-4".to_owned()),
        "the other zone gets none"
    );
}

#[test]
fn another_zone_gets_calls_for_which_the_own_one_is_too_busy() {
    let mut registry = registry(&["east", "west"], 10);
    let prompt = bulk(600);
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "i-0"
    );
    load(
        &mut registry,
        "i-0",
        WorkItem {
            prefill_tokens: 40_000,
            ..WorkItem::default()
        },
        1,
    );
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "i-1"
    );
}

#[test]
fn a_full_pool_rejects_calls_and_reserves_capacity_for_urgent_ones() {
    let mut registry = registry(&["east"], 10);
    let prompt = bulk(600);
    let mut low = input(&prompt, false);
    low.tier = 2;
    load(&mut registry, "i-0", WorkItem::default(), 9);
    assert_eq!(id(&registry, choose(&registry, &low)), "none");
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "i-0"
    );
    load(&mut registry, "i-0", WorkItem::default(), 1);
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "none"
    );
}

#[test]
fn calls_of_other_nodes_count_until_their_report_expires() {
    let mut registry = registry(&["east"], 10);
    let key = registry.key("i-0").expect("known");
    let count = WorkCount {
        calls: 10,
        ..WorkCount::default()
    };
    registry
        .get_mut(key)
        .expect("known")
        .load
        .receive_report("peer", count, NOW);
    let prompt = bulk(600);
    assert_eq!(
        id(&registry, choose(&registry, &input(&prompt, true))),
        "none"
    );
    let mut later = input(&prompt, true);
    later.now = NOW + Duration::from_secs(2);
    assert_eq!(id(&registry, choose(&registry, &later)), "i-0");
}

#[test]
fn an_unanswering_upstream_is_backed_off_unless_there_is_no_other() {
    let mut registry = registry(&["east", "east"], 10);
    let prompt = bulk(600);
    for upstream in ["i-0", "i-1"] {
        let key = registry.key(upstream).expect("known");
        registry.get_mut(key).expect("known").health.unanswered(NOW);
        let choice = choose(&registry, &input(&prompt, true));
        assert!(choice.is_some());
        if upstream == "i-0" {
            assert_eq!(id(&registry, choice), "i-1");
        }
    }
}

/// Three plain services: `i-0` and `i-1` are backed off after lost answers, with their last
/// successful answer `since` ago; `i-2` is full.
fn mostly_backed_off(since: Duration) -> UpstreamRegistry {
    let mut registry = registry(&["east"; 3], 6);
    for upstream in ["i-0", "i-1"] {
        let key = registry.key(upstream).expect("known");
        let health = &mut registry.get_mut(key).expect("known").health;
        for _ in 0..20 {
            health.succeeded(NOW.saturating_sub(since));
        }
        health.unanswered(NOW);
    }
    load(&mut registry, "i-2", WorkItem::default(), 18);
    registry
}

/// A call to a pool of plain services.
fn plain(prompt: &PromptShape, repeatable: bool) -> ChoiceInput<'_> {
    ChoiceInput {
        cache_tokens: 0,
        repeatable,
        ..input(prompt, false)
    }
}

/// Each case gives the time since the backed-off upstreams last answered, whether the call may be
/// repeated, and the selected upstream while all others are full.
macro_rules! overflows {
    ($($name:ident: $since_ms:literal, $repeatable:literal => $upstream:literal;)*) => {$(
        #[test]
        fn $name() {
            let registry = mostly_backed_off(Duration::from_millis($since_ms));
            let prompt = bulk(0);
            let choice = choose(&registry, &plain(&prompt, $repeatable));
            assert_eq!(id(&registry, choice), $upstream);
        }
    )*};
}

overflows! {
    one_that_loses_some_answers_gets_calls_when_healthy_ones_are_full: 500, true => "i-0";
    also_a_call_that_may_run_once_if_most_are_answered: 500, false => "i-0";
    one_that_has_not_answered_for_long_gets_no_calls: 5000, true => "none";
}

#[test]
fn a_call_that_may_run_once_does_not_go_where_most_answers_are_lost() {
    let mut registry = mostly_backed_off(Duration::from_millis(500));
    for upstream in ["i-0", "i-1"] {
        let key = registry.key(upstream).expect("known");
        let health = &mut registry.get_mut(key).expect("known").health;
        for _ in 0..20 {
            health.unanswered(NOW);
        }
    }
    let prompt = bulk(0);
    let once = choose(&registry, &plain(&prompt, false));
    assert_eq!(id(&registry, once), "none");
    let repeatable = choose(&registry, &plain(&prompt, true));
    assert_eq!(id(&registry, repeatable), "i-0");
}

#[test]
fn healthy_upstreams_with_capacity_are_preferred_to_backed_off_ones() {
    let mut registry = mostly_backed_off(Duration::from_millis(500));
    let key = registry.key("i-2").expect("known");
    registry
        .get_mut(key)
        .expect("known")
        .load
        .end(WorkItem::default());
    let prompt = bulk(0);
    let choice = choose(&registry, &plain(&prompt, true));
    assert_eq!(id(&registry, choice), "i-2");
}

#[test]
fn a_part_that_is_being_read_is_not_fetched_until_it_is_read() {
    let mut registry = registry(&["east", "east"], 10);
    let key = registry.key("i-0").expect("known");
    let load = &mut registry.get_mut(key).expect("known").load;
    load.record_part_sent(7, NOW);
    for _ in 0..10 {
        load.begin(WorkItem::default());
    }
    let prompt = shared(7);
    let early = choose(&registry, &input(&prompt, false)).expect("a choice");
    assert_eq!(
        (
            id(&registry, Some(early)),
            early.fetch_from,
            early.prefill_tokens
        ),
        ("i-1".to_owned(), None, 6000)
    );
    let later = ChoiceInput {
        now: NOW + Duration::from_secs(1),
        ..input(&prompt, false)
    };
    let later = choose(&registry, &later).expect("a choice");
    assert_eq!((later.fetch_from, later.prefill_tokens), (Some(key), 1000));
}

#[test]
fn a_call_goes_where_its_part_is_being_read_though_others_are_idle() {
    let mut registry = registry(&["east", "east", "east", "east"], 10);
    let idle = registry.clone();
    let prompt = shared(7);
    let first = choose(&idle, &input(&prompt, false)).expect("a choice");
    let load = &mut registry.get_mut(first.key).expect("known").load;
    load.record_part_sent(7, NOW);
    let item = WorkItem {
        prefill_tokens: 6000,
        ..WorkItem::default()
    };
    load.begin(item);
    load.begin(item);
    let second = choose(&registry, &input(&prompt, false)).expect("a choice");
    assert_eq!(second.key, first.key);
}

/// A surge fills the KV caches of all engines up to the share of the least urgent tier. What
/// remains above that has to fit a prompt of the next tier; otherwise its calls are refused, while
/// long calls that can wait are sent by whichever node first sees free capacity.
#[test]
fn capacity_left_by_the_least_urgent_tier_fits_a_prompt_of_the_next() {
    let prompt = bulk(6000);
    let most_held = |tier: u8| {
        let room_at = |held_tokens: u32| {
            let mut registry = registry(&["east"], 48);
            let item = WorkItem {
                held_tokens,
                ..WorkItem::default()
            };
            load(&mut registry, "i-0", item, 1);
            let call = ChoiceInput {
                tier,
                tiers: 6,
                ..input(&prompt, false)
            };
            choose(&registry, &call).is_some()
        };
        (0..500_000)
            .step_by(1000)
            .rev()
            .find(|held| room_at(*held))
            .expect("room")
    };
    for tier in 0..5 {
        assert!(most_held(tier) >= most_held(tier + 1) + 2 * 6000, "{tier}");
    }
}

// Guards against an upstream that is selected, or has cached tokens fetched from it, during a pause
// that it requested.
#[test]
fn a_pausing_upstream_is_neither_selected_nor_fetched_from() {
    let mut registry = registry(&["east", "east"], 10);
    let key = registry.key("i-1").expect("known");
    let upstream = registry.get_mut(key).expect("known");
    upstream.load.record_part_prefilled(7, NOW);
    upstream.pause.extend(Duration::from_secs(3), NOW);
    let prompt = shared(7);
    let choice = choose(&registry, &input(&prompt, false)).expect("a choice");
    assert_eq!(
        (choice.key, choice.fetch_from),
        (registry.key("i-0").expect("known"), None)
    );
}
