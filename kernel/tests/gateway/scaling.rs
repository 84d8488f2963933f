//! Tests of ordering engines: spot engines replace firm ones before there is load, other zones
//! replace those of a lost zone, and a surge adds engines.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::gateway::scaling::{
    EngineKind, EngineOrder, OrderOutcome, PoolLoad, PoolScaling, ScalingSpec, ZoneEngines,
};

const ZONES: [&str; 3] = ["east", "north", "west"];
const STARTUP: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(200);

fn spec(spot_price: Option<f64>) -> ScalingSpec {
    ScalingSpec {
        least: 1,
        most: 40,
        startup: STARTUP,
        spot_price,
        zone_prices: BTreeMap::new(),
    }
}

/// A platform that starts and stops engines as ordered.
struct EngineWorld {
    spec: ScalingSpec,
    scaling: PoolScaling,
    zones: BTreeMap<Box<str>, ZoneEngines>,
    starting: Vec<(Duration, Box<str>, u32)>,
    /// Zones in which no spot engines are available.
    unavailable: Vec<&'static str>,
    load: PoolLoad,
    orders: Vec<(Duration, EngineOrder)>,
    fewest: u32,
    now: Duration,
}

impl EngineWorld {
    fn new(spot_price: Option<f64>, firm: u32) -> Self {
        let engines = ZoneEngines { firm, spot: 0 };
        let zones = ZONES.map(|zone| (zone.into(), engines));
        Self {
            spec: spec(spot_price),
            scaling: PoolScaling::default(),
            zones: zones.into(),
            starting: Vec::new(),
            unavailable: Vec::new(),
            load: PoolLoad::default(),
            orders: Vec::new(),
            fewest: u32::MAX,
            now: Duration::ZERO,
        }
    }

    fn present(&self) -> u32 {
        self.zones.values().map(|engines| engines.total()).sum()
    }

    fn zone(&self, zone: &str) -> ZoneEngines {
        self.zones[zone]
    }

    /// Reclaims a zone's spot engines for good.
    fn reclaim(&mut self, zone: &'static str) {
        self.unavailable.push(zone);
        if let Some(engines) = self.zones.get_mut(zone) {
            engines.spot = 0;
        }
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now += STEP;
            self.start_engines();
            self.scaling.record_load(self.load, self.now);
            let next = self.scaling.next_order(&self.spec, &self.zones, self.now);
            if let Some(order) = next {
                self.order(order);
            }
            self.fewest = self.fewest.min(self.present());
        }
    }

    fn start_engines(&mut self) {
        let now = self.now;
        for (at, zone, desired) in &self.starting {
            if *at <= now
                && let Some(engines) = self.zones.get_mut(zone)
            {
                engines.spot = *desired;
            }
        }
        self.starting.retain(|(at, ..)| *at > now);
    }

    fn order(&mut self, order: EngineOrder) {
        self.orders.push((self.now, order.clone()));
        let is_unavailable = self.unavailable.iter().any(|zone| **zone == *order.zone);
        let is_spot = order.kind == EngineKind::Spot;
        let outcome = if is_unavailable && is_spot {
            OrderOutcome::Unavailable
        } else {
            OrderOutcome::Accepted
        };
        if outcome == OrderOutcome::Accepted && is_spot {
            let ready_at = self.now + STARTUP;
            self.starting
                .push((ready_at, order.zone.clone(), order.desired));
        } else if let Some(engines) = self.zones.get_mut(&order.zone)
            && !is_spot
        {
            engines.firm = order.desired;
        }
        self.scaling.record_order(order, outcome, self.now);
    }
}

#[test]
fn spot_engines_replace_firm_ones_and_capacity_never_falls_short() {
    let mut world = EngineWorld::new(Some(0.22), 20);
    world.run(20);
    assert_eq!(world.fewest, 60);
    assert_eq!(world.zone("east"), ZoneEngines { firm: 1, spot: 39 });
    assert_eq!(world.present(), 120);
}

#[test]
fn nothing_more_is_ordered_once_all_engines_are_present() {
    let mut world = EngineWorld::new(Some(0.22), 20);
    world.run(20);
    let orders = world.orders.len();
    world.run(20);
    assert_eq!(world.orders.len(), orders);
}

#[test]
fn firm_engines_stay_where_there_are_no_others() {
    let mut world = EngineWorld::new(None, 20);
    world.run(30);
    assert_eq!(world.present(), 60);
    assert!(world.orders.is_empty());
}

#[test]
fn other_zones_replace_the_engines_of_a_lost_zone() {
    let mut world = EngineWorld::new(Some(0.22), 12);
    world.run(20);
    world.reclaim("west");
    world.run(8);
    assert_eq!(world.zone("west"), ZoneEngines { firm: 1, spot: 0 });
    assert_eq!(world.zone("east").total(), 36);
    assert_eq!(world.zone("north").total(), 36);
    assert!(world.fewest >= 36);
    world.unavailable.clear();
    world.run(8);
    assert_eq!(world.zone("west").spot, 23);
}

#[test]
fn a_surge_adds_engines_up_to_what_is_allowed() {
    let mut world = EngineWorld::new(Some(0.22), 12);
    world.run(20);
    world.load = PoolLoad {
        calls: 1500,
        slots: 64,
        tokens_per_s: 2_600_000.0,
    };
    world.run(8);
    assert!((115..=120).contains(&world.present()));
    world.load = PoolLoad::default();
    world.run(30);
    assert!((115..=120).contains(&world.present()));
}

#[test]
fn a_pool_that_is_idle_for_long_shrinks_slowly() {
    let mut world = EngineWorld::new(Some(0.22), 20);
    world.run(55);
    assert_eq!(world.present(), 120);
    world.run(90);
    assert!(world.present() < 30);
    let lowered = world
        .orders
        .iter()
        .filter(|(at, order)| order.kind == EngineKind::Spot && *at > Duration::from_secs(30));
    let times: Vec<Duration> = lowered.map(|(at, _)| *at).collect();
    let fast = times
        .windows(2)
        .any(|pair| pair[1] < pair[0] + Duration::from_secs(20));
    assert!(!fast, "{times:?}");
}

#[test]
fn a_new_holder_continues_with_its_predecessors_decision() {
    let mut world = EngineWorld::new(Some(0.22), 12);
    world.run(20);
    world.reclaim("west");
    world.scaling = PoolScaling::resume(36);
    world.orders.clear();
    world.run(10);
    let lowered = world.orders.iter().any(|(_, order)| order.desired < 23);
    assert!(!lowered, "{:?}", world.orders);
    assert_eq!(world.zone("east").total(), 36);
}

#[test]
fn spot_engines_that_cost_nearly_as_much_replace_firm_ones_one_by_one() {
    let mut world = EngineWorld::new(Some(0.9), 20);
    world.run(20);
    assert_eq!(world.present(), 69);
}

#[test]
fn a_surge_adds_firm_engines_where_there_are_no_others() {
    let mut world = EngineWorld::new(None, 12);
    world.run(20);
    world.load = PoolLoad {
        calls: 1500,
        slots: 64,
        tokens_per_s: 1_300_000.0,
    };
    world.run(8);
    assert!((58..=62).contains(&world.present()), "{}", world.present());
}

#[test]
fn firm_engines_return_when_other_zones_cannot_replace_lost_spot_engines() {
    let mut world = EngineWorld::new(Some(0.22), 20);
    world.run(20);
    world.reclaim("west");
    world.reclaim("north");
    world.run(8);
    assert!(world.present() >= 60, "{}", world.present());
    world.unavailable.clear();
    world.run(30);
    assert_eq!(world.zone("west"), ZoneEngines { firm: 1, spot: 39 });
}

#[test]
fn firm_engines_replace_a_lost_zone_in_a_surge_and_stop_after_it() {
    let mut world = EngineWorld::new(Some(0.22), 20);
    world.run(20);
    world.load = PoolLoad {
        calls: 1500,
        slots: 64,
        tokens_per_s: 2_400_000.0,
    };
    world.run(2);
    world.reclaim("west");
    world.run(4);
    assert_eq!(world.zone("west"), ZoneEngines { firm: 20, spot: 0 });
    world.unavailable.clear();
    world.load = PoolLoad::default();
    world.run(30);
    assert_eq!(world.zone("west"), ZoneEngines { firm: 1, spot: 39 });
}

macro_rules! left_alone {
    ($($name:ident: $firm:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut world = EngineWorld::new(Some(0.22), $firm);
            world.run(30);
            assert!(world.orders.is_empty(), "{:?}", world.orders);
        }
    )*};
}

left_alone! {
    zones_with_more_engines_than_may_be_ordered: 41;
    a_pool_above_the_size_limit: 400;
}
