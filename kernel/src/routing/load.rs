//! An owner's load as its entry nodes estimate it.

use std::time::Duration;

use crate::call::{CallSpec, LoadSummary};

/// Age at which a load summary has half its weight. With 1 s, an owner that is offered one call in
/// two seconds looks idle while its queue grows; `examples/owner_choice.rs` shows it.
const SUMMARY_HALF_LIFE: Duration = Duration::from_secs(20);
/// Time without offers for an owner that reported no healthy slot.
const NO_SLOTS_TIME: Duration = Duration::from_secs(2);

/// Load of an owner, as recorded by an entry node.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerLoad {
    /// The newest summary and when it arrived; `None` before the first.
    pub summary: Option<(Duration, LoadSummary)>,
    /// Offers made since the newest summary.
    pub offers_since: u32,
    /// Offers that have not ended.
    pub open_offers: u32,
}

impl OwnerLoad {
    /// Work per slot ahead of the call; infinite for an owner that reported no healthy slot within
    /// the last two seconds. `configured` is the owner's number of slots by the configuration.
    pub fn ahead(&self, spec: &CallSpec, configured: u32, now: Duration) -> f64 {
        let open = f64::from(self.open_offers);
        let Some((at, summary)) = self.summary else {
            return open / f64::from(configured.max(1));
        };
        let age = now.saturating_sub(at);
        let weight = 0.5_f64.powf(age.as_secs_f64() / SUMMARY_HALF_LIFE.as_secs_f64());
        if summary.slots == 0 && age < NO_SLOTS_TIME {
            return f64::INFINITY;
        }
        let slots = if summary.slots == 0 {
            configured
        } else {
            summary.slots
        };
        let tier = usize::from(spec.tier.0).min(summary.waiting.len() - 1);
        let waiting: u32 = summary.waiting[..=tier].iter().sum();
        let counted = f64::from(summary.running + waiting) * weight + f64::from(self.offers_since);
        counted.max(open) / f64::from(slots.max(1))
    }
}
