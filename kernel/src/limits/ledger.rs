//! The limiter's side: shares a workspace's limits out over the nodes that have demand.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{NodeId, WorkspaceId};
use crate::limits::LimitShare;

/// How long a share holds.
pub const SHARE_LENGTH: Duration = Duration::from_secs(20);

/// Least time between two unasked messages to one holder.
const SHRINK_GAP: Duration = Duration::from_millis(200);

/// Time in which holders of a former limiter's shares ask anew: until then a limiter gives nobody
/// more than it holds already, or an even part.
const TAKE_OVER: Duration = Duration::from_secs(3);

/// How far above its fair part a holder may be before it is told of a smaller one.
const TOLERANCE: f64 = 1.1;

/// A share to be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareGrant {
    /// The node.
    pub node: NodeId,
    /// The share.
    pub share: LimitShare,
    /// How long it holds.
    pub length: Duration,
    /// Whether a part is taken back: the holder must say what it still holds.
    pub reclaim: bool,
}

#[derive(Clone, Copy, Debug)]
struct ShareHolder {
    wanted: LimitShare,
    held: LimitShare,
    even: LimitShare,
    until: Duration,
    told: Duration,
}

/// What a workspace's limits are shared out by.
#[derive(Clone, Copy, Debug)]
pub struct ShareTerms {
    /// The limits of the whole fleet.
    pub limits: LimitShare,
    /// Live nodes.
    pub nodes: usize,
    /// When this node took over from another limiter, if it did so lately.
    pub took_over: Option<Duration>,
}

#[derive(Debug, Default)]
struct WorkspaceLedger {
    holders: BTreeMap<NodeId, ShareHolder>,
}

/// The shares that this node has given out.
#[derive(Debug, Default)]
pub struct ShareLedger {
    workspaces: BTreeMap<WorkspaceId, WorkspaceLedger>,
}

/// Max-min fair parts of `limit`: small demands are met whole and the rest is cut evenly. What no
/// demand takes is spread over all `nodes`, so that growth needs no message and a node whose first
/// call is yet to come finds room.
pub fn fair_parts(
    limit: f64,
    nodes: usize,
    demands: &BTreeMap<NodeId, f64>,
) -> BTreeMap<NodeId, f64> {
    let mut order: Vec<(f64, NodeId)> = demands.iter().map(|(node, want)| (*want, *node)).collect();
    order.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let mut left = limit;
    let mut rest = order.len();
    let mut parts = BTreeMap::new();
    for (want, node) in order {
        let part = want.min(left / rest as f64);
        parts.insert(node, part);
        left -= part;
        rest -= 1;
    }
    let spare = left / parts.len().max(nodes).max(1) as f64;
    for part in parts.values_mut() {
        *part += spare;
    }
    parts
}

/// A node's message about its demand.
#[derive(Clone, Copy, Debug)]
pub struct ShareDemand {
    /// The node.
    pub node: NodeId,
    /// What it could use.
    pub wanted: LimitShare,
    /// What it holds.
    pub held: LimitShare,
    /// The part of a node when all live nodes get the same.
    pub even: LimitShare,
}

impl ShareLedger {
    /// Workspaces whose limits are being shared out.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether nothing is shared out.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Takes in a node's demand; gives back its new share, smaller ones for holders that have more
    /// than their part, and greater ones for holders that had to do with less. The shares that one
    /// limiter gave never exceed the limit together.
    pub fn demand(
        &mut self,
        now: Duration,
        workspace: WorkspaceId,
        terms: ShareTerms,
        demand: ShareDemand,
    ) -> Vec<ShareGrant> {
        let ledger = self.workspaces.entry(workspace).or_default();
        ledger.holders.insert(
            demand.node,
            ShareHolder {
                wanted: demand.wanted,
                held: demand.held,
                even: demand.even,
                until: now + SHARE_LENGTH,
                told: now,
            },
        );
        let mut grants = vec![ledger.grant(now, terms, demand.node)];
        grants.extend(ledger.balance(now, terms, demand.node));
        grants
    }

    /// Drops shares that have run out.
    pub fn expire(&mut self, now: Duration) {
        for ledger in self.workspaces.values_mut() {
            ledger.holders.retain(|_, holder| now < holder.until);
        }
        self.workspaces
            .retain(|_, ledger| !ledger.holders.is_empty());
    }
}

fn smaller(a: LimitShare, b: LimitShare) -> LimitShare {
    LimitShare {
        rate: a.rate.min(b.rate),
        concurrent: a.concurrent.min(b.concurrent),
    }
}

impl WorkspaceLedger {
    fn parts(&self, terms: ShareTerms) -> BTreeMap<NodeId, LimitShare> {
        let ShareTerms { limits, nodes, .. } = terms;
        let rates = self.holders.iter().map(|(n, h)| (*n, h.wanted.rate));
        let rates = fair_parts(limits.rate, nodes, &rates.collect());
        let counts = self.holders.iter();
        let counts = counts.map(|(n, h)| (*n, f64::from(h.wanted.concurrent)));
        let counts = fair_parts(f64::from(limits.concurrent), nodes, &counts.collect());
        rates
            .into_iter()
            .map(|(node, rate)| {
                // Whole calls do not divide evenly: what is left over goes to who asks first.
                let concurrent = (counts[&node].floor() as u32).max(1);
                (node, LimitShare { rate, concurrent })
            })
            .collect()
    }

    /// What the shares of the other holders leave of the limits.
    fn free(&self, limits: LimitShare, node: NodeId) -> LimitShare {
        let others = || self.holders.iter().filter(|(other, _)| **other != node);
        let rate: f64 = others().map(|(_, holder)| holder.held.rate).sum();
        let concurrent = others().map(|(_, holder)| holder.held.concurrent);
        let concurrent = concurrent.fold(0, u32::saturating_add);
        LimitShare {
            rate: (limits.rate - rate).max(0.0),
            concurrent: limits.concurrent.saturating_sub(concurrent),
        }
    }

    /// Gives a holder its fair part, as far as the shares of the others leave it.
    fn grant(&mut self, now: Duration, terms: ShareTerms, node: NodeId) -> ShareGrant {
        let part = self.parts(terms)[&node];
        let mut share = smaller(part, self.free(terms.limits, node));
        let taking_over = terms.took_over.is_some_and(|since| now < since + TAKE_OVER);
        if let Some(holder) = self.holders.get_mut(&node) {
            if taking_over {
                share = smaller(share, greater(holder.held, holder.even));
            }
            holder.held = share;
            holder.told = now;
        }
        let until = self.holders.get(&node).map_or(now, |holder| holder.until);
        ShareGrant {
            node,
            share,
            length: until.saturating_sub(now),
            reclaim: false,
        }
    }

    /// Smaller shares for holders that have more than their part while another has less; greater
    /// ones for those that have less, once there is room.
    fn balance(&mut self, now: Duration, terms: ShareTerms, asker: NodeId) -> Vec<ShareGrant> {
        let parts = self.parts(terms);
        let lacks = |holder: &ShareHolder, part: &LimitShare| {
            let wanted = smaller(holder.wanted, *part);
            holder.held.rate * TOLERANCE < wanted.rate || holder.held.concurrent < wanted.concurrent
        };
        let lacking: Vec<NodeId> = self
            .holders
            .iter()
            .filter(|(node, holder)| lacks(holder, &parts[node]))
            .map(|(node, _)| *node)
            .collect();
        if lacking.is_empty() {
            return Vec::new();
        }
        let mut grants = Vec::new();
        for (node, holder) in &self.holders {
            let part = &parts[node];
            let above = holder.held.rate > part.rate * TOLERANCE
                || holder.held.concurrent > part.concurrent;
            if *node == asker || !above || now < holder.told + SHRINK_GAP {
                continue;
            }
            // The holder's answer says when it has let go; until then it counts in full.
            grants.push(ShareGrant {
                node: *node,
                share: smaller(holder.held, *part),
                length: holder.until.saturating_sub(now),
                reclaim: true,
            });
        }
        for grant in &grants {
            if let Some(holder) = self.holders.get_mut(&grant.node) {
                holder.told = now;
            }
        }
        for node in lacking {
            let free = self.free(terms.limits, node);
            let held = self.holders[&node].held;
            let room = free.rate > held.rate * TOLERANCE || free.concurrent > held.concurrent;
            if node != asker && room {
                grants.push(self.grant(now, terms, node));
            }
        }
        grants
    }
}

fn greater(a: LimitShare, b: LimitShare) -> LimitShare {
    LimitShare {
        rate: a.rate.max(b.rate),
        concurrent: a.concurrent.max(b.concurrent),
    }
}
