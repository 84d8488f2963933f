//! The limiter's side: divides a workspace's limits among the nodes that have demand.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{NodeId, WorkspaceId};
use crate::limits::LimitShare;

/// Duration of the lease on a share.
pub const SHARE_LENGTH: Duration = Duration::from_secs(20);

/// Shortest time between any message to a holder and one that reduces its share.
const MIN_SHRINK_INTERVAL: Duration = Duration::from_millis(200);

/// Time for the holders of a former limiter's shares to report them to the new one. Until then the
/// new limiter grants nobody more than it already has, or than an even share.
const TAKEOVER_TIME: Duration = Duration::from_secs(3);

/// Factor by which a holder's rate may be above or below its fair share before it is adjusted.
const TOLERANCE: f64 = 1.1;

/// A share to be sent to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareGrant {
    /// Receiver of the share.
    pub node: NodeId,
    /// Share that replaces the receiver's current one.
    pub share: LimitShare,
    /// Duration of the lease.
    pub length: Duration,
    /// Whether the share is reduced, so that the holder must report what it still has.
    pub reclaim: bool,
}

#[derive(Clone, Copy, Debug)]
struct ShareHolder {
    wanted: LimitShare,
    held: LimitShare,
    even: LimitShare,
    expires: Duration,
    last_sent: Duration,
}

/// Parameters by which a workspace's limits are divided.
#[derive(Clone, Copy, Debug)]
pub struct ShareTerms {
    /// Limits of the whole fleet.
    pub limits: LimitShare,
    /// Number of live nodes.
    pub nodes: usize,
    /// Time at which this node replaced another limiter; `None` if it was the limiter already
    /// before the last change of membership.
    pub became_limiter: Option<Duration>,
}

#[derive(Debug, Default)]
struct WorkspaceLedger {
    holders: BTreeMap<NodeId, ShareHolder>,
}

/// The shares that this node has granted as a limiter.
#[derive(Debug, Default)]
pub struct ShareLedger {
    workspaces: BTreeMap<WorkspaceId, WorkspaceLedger>,
}

/// Max-min fair parts of `limit`: small demands are met in full and the rest is divided evenly.
/// Unclaimed capacity is spread over all `nodes`, so that growth needs no message and a node that
/// receives its first call finds capacity.
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

/// A node's demand message.
#[derive(Clone, Copy, Debug)]
pub struct ShareDemand {
    /// Sender of the demand.
    pub node: NodeId,
    /// Share that it could use.
    pub wanted: LimitShare,
    /// Share that it has by an unexpired lease.
    pub held: LimitShare,
    /// Share of the sender if all live nodes get the same.
    pub even: LimitShare,
}

impl ShareLedger {
    /// Number of workspaces with granted shares.
    pub fn len(&self) -> usize {
        self.workspaces.len()
    }

    /// Whether no share is granted.
    pub fn is_empty(&self) -> bool {
        self.workspaces.is_empty()
    }

    /// Applies a node's demand. Returns its new share, reduced shares for holders above their fair
    /// share, and larger ones for holders below it. The shares granted by one limiter never exceed
    /// the limit in total.
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
                expires: now + SHARE_LENGTH,
                last_sent: now,
            },
        );
        let mut grants = vec![ledger.grant(now, terms, demand.node)];
        grants.extend(ledger.balance(now, terms, demand.node));
        grants
    }

    /// Drops shares whose lease has expired.
    pub fn expire(&mut self, now: Duration) {
        for ledger in self.workspaces.values_mut() {
            ledger.holders.retain(|_, holder| now < holder.expires);
        }
        self.workspaces
            .retain(|_, ledger| !ledger.holders.is_empty());
    }
}

fn min_share(a: LimitShare, b: LimitShare) -> LimitShare {
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
                // Concurrent calls do not divide evenly: the remainder goes to the first holders
                // that send a demand.
                let concurrent = (counts[&node].floor() as u32).max(1);
                (node, LimitShare { rate, concurrent })
            })
            .collect()
    }

    /// Part of the limits that the shares of the other holders leave.
    fn unclaimed(&self, limits: LimitShare, node: NodeId) -> LimitShare {
        let others = || self.holders.iter().filter(|(other, _)| **other != node);
        let rate: f64 = others().map(|(_, holder)| holder.held.rate).sum();
        let concurrent = others().map(|(_, holder)| holder.held.concurrent);
        let concurrent = concurrent.fold(0, u32::saturating_add);
        LimitShare {
            rate: (limits.rate - rate).max(0.0),
            concurrent: limits.concurrent.saturating_sub(concurrent),
        }
    }

    /// Grants a holder its fair share, as far as the shares of the others allow.
    fn grant(&mut self, now: Duration, terms: ShareTerms, node: NodeId) -> ShareGrant {
        let part = self.parts(terms)[&node];
        let mut share = min_share(part, self.unclaimed(terms.limits, node));
        let taking_over = terms
            .became_limiter
            .is_some_and(|since| now < since + TAKEOVER_TIME);
        if let Some(holder) = self.holders.get_mut(&node) {
            if taking_over {
                share = min_share(share, max_share(holder.held, holder.even));
            }
            holder.held = share;
            holder.last_sent = now;
        }
        let expires = self.holders.get(&node).map_or(now, |holder| holder.expires);
        ShareGrant {
            node,
            share,
            length: expires.saturating_sub(now),
            reclaim: false,
        }
    }

    /// Reduced shares for holders above their fair share while another holder is below its own, and
    /// larger ones for holders below it once there is capacity.
    fn balance(&mut self, now: Duration, terms: ShareTerms, requester: NodeId) -> Vec<ShareGrant> {
        let parts = self.parts(terms);
        let lacks = |holder: &ShareHolder, part: &LimitShare| {
            let wanted = min_share(holder.wanted, *part);
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
            if *node == requester || !above || now < holder.last_sent + MIN_SHRINK_INTERVAL {
                continue;
            }
            // A reduced share counts in full until the holder confirms the reduction.
            grants.push(ShareGrant {
                node: *node,
                share: min_share(holder.held, *part),
                length: holder.expires.saturating_sub(now),
                reclaim: true,
            });
        }
        for grant in &grants {
            if let Some(holder) = self.holders.get_mut(&grant.node) {
                holder.last_sent = now;
            }
        }
        for node in lacking {
            let unclaimed = self.unclaimed(terms.limits, node);
            let held = self.holders[&node].held;
            let room =
                unclaimed.rate > held.rate * TOLERANCE || unclaimed.concurrent > held.concurrent;
            if node != requester && room {
                grants.push(self.grant(now, terms, node));
            }
        }
        grants
    }
}

fn max_share(a: LimitShare, b: LimitShare) -> LimitShare {
    LimitShare {
        rate: a.rate.max(b.rate),
        concurrent: a.concurrent.max(b.concurrent),
    }
}
