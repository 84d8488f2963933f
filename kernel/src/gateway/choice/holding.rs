//! Cost of the time for which a call's answer holds a slot, for pools whose slots run out and whose
//! engines differ in speed.
//!
//! In a surge, an answer of many events on a slow engine holds a slot for seconds longer than on a
//! fast one, and one of a few events for a tenth of a second: long answers go to fast engines and
//! short ones to slow ones. With room, each call goes where it is answered soonest.

use std::time::Duration;

use crate::gateway::choice::ChoiceInput;
use crate::gateway::pace::StreamPace;
use crate::gateway::partition::UpstreamCandidate;

/// Weight of the time after the first event, relative to the time until it.
const REST_WEIGHT: f64 = 0.1;
/// Cost of an answer of far more than the mean events on an engine of infinitely slow speed, in a
/// crowded pool; for one of far fewer events it is the cost of a fast engine instead.
const HOLDING_COST: f64 = 1200.0;
/// Share of a pool's slots with calls from which on it gets crowded.
const CROWDED_FROM: f64 = 0.55;
/// Share of a pool's slots with calls from which on it is crowded: less urgent calls find none.
const CROWDED_AT: f64 = 0.75;
/// Cost of an engine that cannot keep the gap target or cannot end the answer in time: it gets the
/// call only if no other has capacity.
const UNFIT_COST: f64 = 10_000.0;

/// Expected answer of a call to a pool whose slots run out.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedAnswer {
    /// Expected number of events.
    pub events: f64,
    /// Mean expected number of events of the pool's recent calls.
    pub mean_events: f64,
    /// Number of tokens in one event.
    pub event_tokens: u32,
    /// Target for the longest gap between two events; `None` if there is none.
    pub gap: Option<Duration>,
    /// Pace of streams of its kind.
    pub pace: StreamPace,
    /// Time left until the call's deadline.
    pub left: Duration,
}

/// How far the slots of these upstreams run out: 0 with room, 1 if the pool is crowded.
pub fn crowding(all: &[UpstreamCandidate], input: &ChoiceInput) -> f64 {
    if input.answer.is_none() {
        return 0.0;
    }
    let healthy = all.iter().filter(|candidate| !candidate.backed_off);
    let (calls, slots) = healthy.fold((0.0, 0.0), |(calls, slots), candidate| {
        let entry = &candidate.upstream.entry;
        (
            calls + f64::from(candidate.total.calls),
            slots + f64::from(entry.slots),
        )
    });
    let fill = calls / f64::max(slots, 1.0);
    ((fill - CROWDED_FROM) / (CROWDED_AT - CROWDED_FROM)).clamp(0.0, 1.0)
}

/// Cost of the answer's duration at an upstream; 0 unless its speed clearly differs from the pool's
/// median.
pub fn holding_cost(candidate: &UpstreamCandidate, input: &ChoiceInput, crowding: f64) -> f64 {
    let Some(answer) = &input.answer else {
        return 0.0;
    };
    let speed = &candidate.upstream.load.speed;
    let ratio = speed.ratio();
    let gap_s = answer.pace.expected_gap().as_secs_f64();
    let rest = (answer.events - 1.0).max(0.0) * REST_WEIGHT;
    let delay = (ratio.token - 1.0) * gap_s * (1.0 + rest);
    let slowness = ((ratio.token - 1.0) / ratio.token).max(-1.0);
    let length =
        (answer.events - answer.mean_events) / (answer.events + answer.mean_events).max(1.0);
    let mut cost = 1000.0 * delay / input.target.as_secs_f64().max(0.001);
    cost += HOLDING_COST * crowding * length * slowness;
    if !ratio.is_slow() {
        return cost;
    }
    let token_us = speed.token_us(input.now).unwrap_or_default();
    let event = Duration::from_secs_f64(token_us * f64::from(answer.event_tokens) / 1e6);
    let keeps_gap = answer.gap.is_none_or(|gap| event <= gap);
    let ends = answer
        .pace
        .can_finish_at(ratio.token, answer.events, answer.left);
    if !keeps_gap || !ends {
        cost += UNFIT_COST;
    }
    cost
}
