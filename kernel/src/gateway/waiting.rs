//! Queue of calls that wait for capacity at an upstream: the most urgent first, and among equals
//! those that can still meet their target.
//!
//! With more calls than capacity, an order by deadline alone would make all calls late.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::gateway::backlog::{BacklogReport, WaitClass, YIELD_TIME, pool_hash};
use crate::gateway::fairness;

/// Fraction of a call's latency target that a busy upstream takes to serve it. A call that has
/// waited for the rest of its target will miss it in any case.
const SERVING_FRACTION: f64 = 0.5;

/// Latest time at which sending a call can still meet its target, counted from the time at which
/// its caller's first attempt began.
pub fn send_by(first_attempt: Duration, target: Duration) -> Duration {
    first_attempt + target.mul_f64(1.0 - SERVING_FRACTION)
}

/// Time for which a turn holds while no call joins or leaves: all waiting calls look at the same
/// moment whose turn it is.
const TURN_TTL: Duration = Duration::from_millis(2);

/// Position of a waiting call: by tier, then by the latest time at which sending it can meet its
/// target, then by deadline, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitRank {
    /// Effective tier of the call; 0 is the most urgent.
    pub tier: u8,
    /// Latest time at which sending it can still meet its target.
    pub send_by: Duration,
    /// Time at which the call must have ended.
    pub deadline: Duration,
    /// Sequence number; increases with each call that joins the queue.
    pub number: u64,
}

impl WaitRank {
    /// Class of the call among those that wait at all nodes.
    pub fn class(&self, now: Duration) -> WaitClass {
        WaitClass {
            tier: self.tier,
            late: self.send_by <= now,
        }
    }
}

/// Time over which sent calls are counted.
const SENT_PERIOD: Duration = Duration::from_secs(1);

/// Calls of one tier that no longer wait.
#[derive(Clone, Debug, Default)]
struct TierTally {
    sent_at: VecDeque<Duration>,
    returns_at: BTreeMap<Duration, u32>,
}

impl TierTally {
    fn expire(&mut self, now: Duration) {
        while self
            .sent_at
            .front()
            .is_some_and(|at| *at + SENT_PERIOD <= now)
        {
            self.sent_at.pop_front();
        }
        while self
            .returns_at
            .first_key_value()
            .is_some_and(|(at, _)| *at <= now)
        {
            self.returns_at.pop_first();
        }
    }
}

/// Whose turn it is in a pool that workspaces share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairTurn {
    /// Call that is to be sent next.
    pub first: WaitRank,
    /// Mean recent use of the workspaces that wait in its tier, in ms of one slot: the share that
    /// each of them can have of what the others leave.
    pub share: f64,
    /// Number of these workspaces.
    pub workspaces: usize,
}

/// All waiting calls, by pool.
#[derive(Clone, Debug, Default)]
pub struct WaitList {
    waiting: BTreeSet<(Box<str>, WaitRank)>,
    tallies: BTreeMap<(Box<str>, u8), TierTally>,
    unclaimed_at: BTreeMap<Box<str>, Duration>,
    /// Workspaces of waiting calls, by the calls' sequence numbers.
    workspaces: BTreeMap<u64, u64>,
    turns: BTreeMap<Box<str>, (Duration, FairTurn)>,
    next_number: u64,
}

impl WaitList {
    /// Adds a call and returns its position.
    pub fn join(
        &mut self,
        pool: &str,
        tier: u8,
        send_by: Duration,
        deadline: Duration,
    ) -> WaitRank {
        let rank = WaitRank {
            tier,
            send_by,
            deadline,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert((pool.into(), rank));
        self.turns.remove(pool);
        rank
    }

    /// Records the workspace of a call that waits, by a hash that is not 0.
    pub fn set_workspace(&mut self, pool: &str, rank: WaitRank, workspace: u64) {
        self.workspaces.insert(rank.number, workspace);
        self.turns.remove(pool);
    }

    /// Removes a call that no longer waits.
    pub fn leave(&mut self, pool: &str, rank: WaitRank) {
        self.waiting.remove(&(pool.into(), rank));
        self.workspaces.remove(&rank.number);
        self.turns.remove(pool);
    }

    /// Call that is to be sent next: of the most urgent tier that waits, the first that can still
    /// meet its target, or the first of all if none can. `None` if no call of the pool waits.
    pub fn first(&self, pool: &str, now: Duration) -> Option<WaitRank> {
        let first = self.first_from(pool, 0, Duration::ZERO)?;
        if first.send_by > now {
            return Some(first);
        }
        let timely = self.first_from(pool, first.tier, now);
        timely
            .filter(|rank| rank.tier == first.tier)
            .or(Some(first))
    }

    /// As `first`, but calls of workspaces that recently used the pool more than others that wait
    /// are passed over. `slot_ms` returns the recent use by a workspace, in ms of one slot over its
    /// weight.
    pub fn first_fair(
        &mut self,
        pool: &str,
        now: Duration,
        slot_ms: impl Fn(u64) -> f64,
    ) -> Option<FairTurn> {
        if let Some((since, turn)) = self.turns.get(pool)
            && now < *since + TURN_TTL
        {
            return Some(*turn);
        }
        let tier = self.first_from(pool, 0, Duration::ZERO)?.tier;
        let turn = self.fair_turn(pool, tier, now, slot_ms)?;
        self.turns.insert(pool.into(), (now, turn));
        Some(turn)
    }

    fn fair_turn(
        &self,
        pool: &str,
        tier: u8,
        now: Duration,
        slot_ms: impl Fn(u64) -> f64,
    ) -> Option<FairTurn> {
        let workspace = |rank: &WaitRank| self.workspaces.get(&rank.number).copied().unwrap_or(0);
        let mut uses: BTreeMap<u64, f64> = BTreeMap::new();
        for rank in self.tier(pool, tier, Duration::ZERO) {
            let workspace = workspace(rank);
            uses.entry(workspace).or_insert_with(|| slot_ms(workspace));
        }
        let first_of = |since: Duration| {
            let use_of = |rank: &WaitRank| uses.get(&workspace(rank)).copied().unwrap_or(0.0);
            let least = self.tier(pool, tier, since).map(use_of).reduce(f64::min)?;
            let limit = fairness::lead_limit(least);
            let mut ranks = self.tier(pool, tier, since);
            ranks.find(|rank| use_of(rank) <= limit).copied()
        };
        Some(FairTurn {
            first: first_of(now).or_else(|| first_of(Duration::ZERO))?,
            share: uses.values().sum::<f64>() / uses.len() as f64,
            workspaces: uses.len(),
        })
    }

    /// Calls of a tier of a pool that can be sent at `send_by` or later, in order.
    fn tier(&self, pool: &str, tier: u8, send_by: Duration) -> impl Iterator<Item = &WaitRank> {
        let rank = |tier: u8, send_by: Duration| WaitRank {
            tier,
            send_by,
            deadline: Duration::ZERO,
            number: 0,
        };
        let start: (Box<str>, WaitRank) = (pool.into(), rank(tier, send_by));
        let waiting = self.waiting.range(start..);
        waiting
            .take_while(move |(found, rank)| &**found == pool && rank.tier == tier)
            .map(|(_, rank)| rank)
    }

    fn first_from(&self, pool: &str, tier: u8, send_by: Duration) -> Option<WaitRank> {
        self.from(pool, tier, send_by).next()
    }

    /// Waiting calls of a pool in their order, from this position.
    fn from(&self, pool: &str, tier: u8, send_by: Duration) -> impl Iterator<Item = WaitRank> {
        let from = WaitRank {
            tier,
            send_by,
            deadline: Duration::ZERO,
            number: 0,
        };
        let start: (Box<str>, WaitRank) = (pool.into(), from);
        let ranks = self.waiting.range(start..);
        let ranks = ranks.take_while(move |(found, _)| &**found == pool);
        ranks.map(|(_, rank)| *rank)
    }

    /// Counts a call that is sent, waited or not.
    pub fn record_sent(&mut self, pool: &str, tier: u8, now: Duration) {
        let tally = self.tallies.entry((pool.into(), tier)).or_default();
        tally.expire(now);
        tally.sent_at.push_back(now);
    }

    /// Records that a place of the pool was left to calls at other nodes in vain.
    pub fn record_unclaimed(&mut self, pool: &str, now: Duration) {
        self.unclaimed_at.insert(pool.into(), now);
    }

    /// Whether calls of the pool leave places to calls at other nodes: not for `YIELD_TIME` after one
    /// was left in vain, as those may be unable to use any.
    pub fn yields(&self, pool: &str, now: Duration) -> bool {
        let unclaimed = self.unclaimed_at.get(pool);
        unclaimed.is_none_or(|at| *at + YIELD_TIME <= now)
    }

    /// Counts a caller that was told to return at `at`, until then.
    pub fn expect_return(&mut self, pool: &str, tier: u8, at: Duration) {
        let tally = self.tallies.entry((pool.into(), tier)).or_default();
        *tally.returns_at.entry(at).or_default() += 1;
    }

    /// What this node reports of a pool: a report for each tier, the most urgent first.
    pub fn backlog(&mut self, pool: &str, now: Duration) -> Vec<BacklogReport> {
        let mut tiers: BTreeMap<u8, BacklogReport> = BTreeMap::new();
        self.tallies.retain(|_, tally| {
            tally.expire(now);
            !tally.sent_at.is_empty() || !tally.returns_at.is_empty()
        });
        let all = (Box::from(pool), 0)..=(Box::from(pool), u8::MAX);
        for ((_, tier), tally) in self.tallies.range(all) {
            let report = tiers.entry(*tier).or_default();
            report.sent = tally.sent_at.len() as u32;
            report.returning = tally.returns_at.values().sum();
        }
        for rank in self.from(pool, 0, Duration::ZERO) {
            let report = tiers.entry(rank.tier).or_default();
            if rank.class(now).late {
                report.late += 1;
                continue;
            }
            if report.timely == 0 {
                report.slack_ms = rank.send_by.saturating_sub(now).as_millis() as u32;
            }
            report.timely += 1;
        }
        let reports = tiers.into_iter().map(|(tier, report)| BacklogReport {
            pool: pool_hash(pool),
            tier,
            ..report
        });
        reports.collect()
    }

    /// Number of waiting calls in all pools.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call of any pool waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
