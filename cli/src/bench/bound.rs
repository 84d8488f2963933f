//! The most work that any schedule could finish within its targets.
//!
//! Calls are taken as divisible: a call may be served in parts, on any engine, by any number of
//! slots. Its work must lie between its arrival and the last moment at which it can end in time:
//! arrival, first-token target and, where its class has a target for the pace, that pace for every
//! token. The engines together offer one slot-second a second for each slot, less when they are
//! slow or down. For divisible work of equal worth, serving the earliest deadline first and
//! dropping what is overdue finishes the most (it is only idle when nothing can be served), and
//! every real schedule is one of those allowed here. So no schedule reaches more. Only what is done
//! while calls arrive counts, here and in the goodput that is compared with it: afterwards there is
//! no contention, and time has no end.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::bench::measure::RunRecord;
use crate::bench::scenario::ScenarioFile;

/// The bound, in slot-seconds of work.
pub fn goodput(scenario: &ScenarioFile, record: &RunRecord) -> f64 {
    let mut queue: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut left: Vec<f64> = (0..record.calls.len())
        .map(|index| record.work(scenario, index))
        .collect();
    let mut done = 0.0;
    let mut now = Duration::ZERO;
    let mut next_call = 0;
    let mut next_change = 0;
    let mut rate = 0.0;
    loop {
        while next_change < record.capacity.len() && record.capacity[next_change].0 <= now {
            rate = record.capacity[next_change].1;
            next_change += 1;
        }
        while next_call < record.calls.len() && record.calls[next_call].at <= now {
            queue.push(Reverse((deadline(scenario, record, next_call), next_call)));
            next_call += 1;
        }
        while queue.peek().is_some_and(|Reverse((due, _))| *due <= now) {
            queue.pop();
        }
        let arrival = record.calls.get(next_call).map(|call| call.at);
        let change = record.capacity.get(next_change).map(|(at, _)| *at);
        if now >= scenario.length {
            return done;
        }
        let end = Some(scenario.length);
        let until = arrival.into_iter().chain(change).chain(end).min();
        let Some(Reverse((due, index))) = queue.peek().copied() else {
            match arrival {
                Some(at) => now = at,
                None => return done,
            }
            continue;
        };
        if rate <= 0.0 {
            now = until.unwrap_or(scenario.length);
            continue;
        }
        let finish = now + Duration::from_secs_f64((left[index] / rate).min(1e7));
        let end = finish.min(due).min(until.unwrap_or(Duration::MAX));
        let served = (end.saturating_sub(now).as_secs_f64() * rate).min(left[index]);
        done += served;
        left[index] -= served;
        if end == finish {
            queue.pop();
        }
        now = end.max(now + Duration::from_nanos(1));
    }
}

fn deadline(scenario: &ScenarioFile, record: &RunRecord, index: usize) -> Duration {
    let call = &record.calls[index];
    let class = &scenario.classes[call.class];
    match class.token_target {
        Some(target) => call.at + class.target + target * call.output,
        None => Duration::MAX,
    }
}
