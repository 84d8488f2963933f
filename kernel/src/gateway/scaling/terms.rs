//! The platform's terms for ordering engines, and the orders themselves.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;

/// The platform's terms for ordering a pool's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Minimum number of engines in an availability zone, of both kinds together.
    pub least: u32,
    /// Maximum number of engines in an availability zone, of both kinds together.
    pub most: u32,
    /// Time that a new engine takes to start.
    pub startup: Duration,
    /// Price of a spot engine as a fraction of a firm one's; `None` if no spot engines are offered.
    pub spot_price: Option<f64>,
    /// Price of an engine in each availability zone.
    pub zone_prices: BTreeMap<Box<str>, f64>,
}

/// Kind of an engine by its price and permanence.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineKind {
    /// At full price; not reclaimed.
    #[display("firm")]
    Firm,
    /// At a reduced price; may be reclaimed by the platform.
    #[display("spot")]
    Spot,
}

/// Number of engines of an availability zone that accept calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneEngines {
    /// Number of firm engines, which the platform does not reclaim.
    pub firm: u32,
    /// Number of spot engines, which the platform may reclaim.
    pub spot: u32,
}

impl ZoneEngines {
    /// Number of engines of both kinds.
    pub fn total(self) -> u32 {
        self.firm + self.spot
    }
}

/// An order to the platform for the number of engines of one kind in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// Availability zone of the engines.
    pub zone: Box<str>,
    /// Kind of the engines.
    pub kind: EngineKind,
    /// Number of such engines that the zone should have.
    pub desired: u32,
}

/// Result of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The platform accepted the order.
    #[display("accepted")]
    Accepted,
    /// The platform has no such engines at present.
    #[display("unavailable")]
    Unavailable,
    /// No answer arrived, so the order may or may not have been accepted.
    #[display("unanswered")]
    Unanswered,
}
