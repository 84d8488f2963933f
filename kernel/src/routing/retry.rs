//! Retry policy: a budget that limits retries to a fraction of the calls, and exponential backoff
//! with full jitter.
//!
//! Budget: Google, *Site Reliability Engineering* (2016), chapter 21. Jitter: M. Brooker,
//! *Exponential Backoff and Jitter*, AWS Architecture Blog (2015).

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::ids::{ClassId, WorkspaceId};

/// Retries that each call adds to the budget of its workspace and class.
pub const RETRY_SHARE: f64 = 0.1;
/// Largest retry credit; also the initial credit of a workspace and class.
pub const RETRY_BURST: f64 = 20.0;
/// Upper bound of the first backoff.
const BACKOFF_BASE: Duration = Duration::from_millis(20);
/// Upper bound of every backoff.
const BACKOFF_CAP: Duration = Duration::from_secs(2);

/// Retry credit by workspace and class; those that are not listed have the full credit.
#[derive(Debug, Default)]
pub struct RetryBudget {
    credit: BTreeMap<(WorkspaceId, ClassId), f64>,
}

impl RetryBudget {
    /// Adds the credit of one call.
    pub fn earn(&mut self, workspace: WorkspaceId, class: ClassId) {
        let Some(credit) = self.credit.get_mut(&(workspace, class)) else {
            return;
        };
        *credit += RETRY_SHARE;
        if *credit >= RETRY_BURST {
            self.credit.remove(&(workspace, class));
        }
    }

    /// Pays for one retry; returns `false` if the budget is exhausted.
    pub fn spend(&mut self, workspace: WorkspaceId, class: ClassId) -> bool {
        let credit = self.credit.entry((workspace, class)).or_insert(RETRY_BURST);
        if *credit < 1.0 {
            return false;
        }
        *credit -= 1.0;
        true
    }

    /// Number of workspaces and classes without full credit.
    pub fn len(&self) -> usize {
        self.credit.len()
    }

    /// Whether every workspace and class has full credit.
    pub fn is_empty(&self) -> bool {
        self.credit.is_empty()
    }
}

/// Delay before retry number `retry`, counted from 0: uniform between zero and a bound that doubles
/// with each retry.
pub fn backoff(retry: u32, random: &mut Pcg64Mcg) -> Duration {
    let bound = BACKOFF_BASE
        .saturating_mul(1 << retry.min(16))
        .min(BACKOFF_CAP);
    bound.mul_f64(random.random_range(0.0..1.0))
}
