//! Upper bound on the work that any schedule can finish within its targets.
//!
//! The bound treats calls as divisible: a call may be served in parts, on any engine, by any number
//! of slots. Its work must lie between its arrival and its deadline: the arrival plus the
//! first-token target plus, where its class has a target for the time per token, that time for
//! every token. A call of a class without such a target has no deadline. The engines together
//! provide one slot-second per second and slot, less when they are slow or down. For divisible work
//! of equal value, serving the earliest deadline first and dropping overdue work finishes the most,
//! because it is idle only when there is nothing to serve. Every real schedule is also a schedule
//! of this relaxed problem, so none exceeds the bound. Only work done while calls arrive counts,
//! here and in the goodput that is compared with the bound: afterwards there is no contention and
//! no time limit.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::bench::measure::RunRecord;
use crate::bench::scenario::ScenarioFile;

/// Returns the upper bound on goodput, in slot-seconds of work.
pub fn goodput(scenario: &ScenarioFile, record: &RunRecord) -> f64 {
    let mut queue: BinaryHeap<Reverse<(Duration, usize)>> = BinaryHeap::new();
    let mut remaining: Vec<f64> = (0..record.calls.len())
        .map(|index| record.work(scenario, index))
        .collect();
    let mut served_total = 0.0;
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
        while queue
            .peek()
            .is_some_and(|Reverse((deadline, _))| *deadline <= now)
        {
            queue.pop();
        }
        let arrival = record.calls.get(next_call).map(|call| call.at);
        let change = record.capacity.get(next_change).map(|(at, _)| *at);
        if now >= scenario.length {
            return served_total;
        }
        let end = Some(scenario.length);
        let until = arrival.into_iter().chain(change).chain(end).min();
        let Some(Reverse((deadline, index))) = queue.peek().copied() else {
            match arrival {
                Some(at) => now = at,
                None => return served_total,
            }
            continue;
        };
        if rate <= 0.0 {
            now = until.unwrap_or(scenario.length);
            continue;
        }
        let finish = now + Duration::from_secs_f64((remaining[index] / rate).min(1e7));
        let end = finish.min(deadline).min(until.unwrap_or(Duration::MAX));
        let served = (end.saturating_sub(now).as_secs_f64() * rate).min(remaining[index]);
        served_total += served;
        remaining[index] -= served;
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
