//! What an entry node knows of an owner's load.

use std::time::Duration;

use crate::call::{CallSpec, LoadSummary};

/// Age at which a queue summary counts half. At 1 s an owner that is asked once in two seconds
/// looks idle while its queue grows; `examples/owner_choice.rs` shows it.
const NEWS_HALF_LIFE: Duration = Duration::from_secs(20);
/// Time for which an owner that said that it has no healthy slot gets no offers.
const NO_SLOTS_TIME: Duration = Duration::from_secs(2);

/// What a node knows of an owner's load.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerLoad {
    /// The newest summary, and when it came.
    pub summary: Option<(Duration, LoadSummary)>,
    /// Offers made since the summary.
    pub offers_since: u32,
    /// Offers that are not over.
    pub open_offers: u32,
}

impl OwnerLoad {
    /// Work a slot ahead of the call, if the owner has `configured` slots by its settings.
    pub fn ahead(&self, spec: &CallSpec, configured: u32, now: Duration) -> f64 {
        let open = f64::from(self.open_offers);
        let Some((at, told)) = self.summary else {
            return open / f64::from(configured.max(1));
        };
        let age = now.saturating_sub(at);
        let weight = 0.5_f64.powf(age.as_secs_f64() / NEWS_HALF_LIFE.as_secs_f64());
        if told.slots == 0 && age < NO_SLOTS_TIME {
            return f64::INFINITY;
        }
        let slots = if told.slots == 0 {
            configured
        } else {
            told.slots
        };
        let tier = usize::from(spec.tier.0).min(told.waiting.len() - 1);
        let waiting: u32 = told.waiting[..=tier].iter().sum();
        let counted = f64::from(told.running + waiting) * weight + f64::from(self.offers_since);
        counted.max(open) / f64::from(slots.max(1))
    }
}
