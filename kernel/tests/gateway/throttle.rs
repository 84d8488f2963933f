//! Tests of limits that upstreams advertise: shares of nodes in fleets of all sizes.

use std::time::Duration;

use monsoonbank_kernel::gateway::fleet::{FleetView, SharedLimit};
use monsoonbank_kernel::gateway::heartbeat::{NodeCard, NodeHeartbeat, NodeState};
use monsoonbank_kernel::gateway::throttle::{AdvertisedLimit, LimitShare, UpstreamThrottle};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// Window in which an upstream counts its requests.
const WINDOW_S: f64 = 4.0;

fn advertised(per_second: Option<f64>, at: Duration) -> AdvertisedLimit {
    AdvertisedLimit { per_second, at }
}

fn throttled(per_second: f64, share: LimitShare) -> UpstreamThrottle {
    let mut throttle = UpstreamThrottle::default();
    assert!(throttle.observe(advertised(Some(per_second), S), S));
    throttle.set_share(share, S);
    throttle
}

fn card(index: usize, zones: usize) -> NodeCard {
    let address = format!("10.{}.{}.1:7000", index / 250, index % 250 + 1);
    let address = address.parse().expect("an address");
    NodeCard {
        name: format!("node-{index}").into(),
        incarnation: 1,
        zone: format!("zone-{}", index % zones).into(),
        callers: address,
        peers: address,
        capacity: 250,
        state: NodeState::Ready,
    }
}

/// Views of all nodes of a fleet in which each has received heartbeats of its own zone and of three
/// nodes of each other zone.
fn fleet(nodes: usize, zones: usize) -> Vec<FleetView> {
    let views = (0..nodes).map(|own| {
        let mut view = FleetView::new(card(own, zones), S);
        let is_hub = |other: usize| other / zones < 3;
        let received = (0..nodes).filter(|other| other % zones == own % zones || is_hub(*other));
        for other in received {
            let zone_size = (nodes + zones - 1 - other % zones) / zones;
            let heartbeat = NodeHeartbeat {
                fleet_size: nodes as u32,
                zone_size: zone_size as u32,
                ..NodeHeartbeat::new(card(other, zones))
            };
            view.receive_heartbeat(heartbeat, S);
        }
        view
    });
    views.collect()
}

fn shares(views: &[FleetView], per_second: f64) -> Vec<LimitShare> {
    let limit = SharedLimit {
        run: 77,
        zone: "zone-0",
        per_second,
        confirmed: true,
    };
    let shares = views.iter().map(|view| view.limit_share(limit, S));
    shares.collect()
}

/// Each case gives the number of nodes and of availability zones, and the limit. All nodes together
/// keep within it, with a margin for two that disagree, and use most of it.
macro_rules! fleets {
    ($($name:ident: $nodes:literal, $zones:literal, $limit:literal;)*) => {$(
        #[test]
        fn $name() {
            let shares = shares(&fleet($nodes, $zones), $limit);
            let rate: f64 = shares.iter().map(|share| share.per_second).sum();
            let burst: f64 = shares.iter().map(|share| share.burst).sum();
            let limit: f64 = $limit;
            assert!(rate <= limit + 1e-6 && rate >= 0.8 * limit, "{rate} a second");
            let window = rate * WINDOW_S + burst;
            assert!(window + 2.0 <= 1.5 * limit * WINDOW_S + 5.0, "{window} in a window");
            assert!(shares.iter().all(|share| share.per_second == 0.0 || share.burst >= 1.0));
        }
    )*};
}

// Guards against nodes that each use a whole limit, or one request at once, for themselves.
fleets! {
    one_node: 1, 1, 1.0;
    six_nodes_share_half_a_request: 6, 3, 0.5;
    nine_nodes_share_one_request: 9, 4, 1.0;
    nine_nodes_share_one_and_a_half: 9, 4, 1.5;
    nine_nodes_share_two: 9, 4, 2.0;
    nine_nodes_share_fifty: 9, 4, 50.0;
    eighty_two_nodes_share_one: 82, 5, 1.0;
    eighty_two_nodes_share_seven: 82, 5, 7.0;
    hundreds_of_nodes_share_one: 295, 5, 1.0;
    hundreds_of_nodes_share_twelve: 295, 5, 12.0;
    a_thousand_nodes_share_three: 980, 23, 3.0;
    a_thousand_nodes_share_forty: 980, 23, 40.0;
}

#[test]
fn a_small_limit_is_used_only_in_the_upstreams_zone() {
    let shares = shares(&fleet(295, 5), 1.0);
    let senders = shares
        .iter()
        .enumerate()
        .filter(|(_, share)| share.burst > 0.0);
    let senders: Vec<usize> = senders.map(|(index, _)| index).collect();
    assert!(
        senders.len() <= 3 && senders.iter().all(|index| index % 5 == 0),
        "{senders:?}"
    );
}

#[test]
fn a_limit_that_no_answer_confirms_is_shared_by_all() {
    let limit = SharedLimit {
        run: 77,
        zone: "zone-0",
        per_second: 0.0,
        confirmed: false,
    };
    let views = fleet(9, 4);
    assert!(
        views
            .iter()
            .all(|view| view.limit_share(limit, S).per_second > 0.0)
    );
}

#[test]
fn a_new_limit_leaves_nothing_to_send_at_once() {
    let share = LimitShare {
        per_second: 2.0,
        burst: 1.0,
    };
    let mut throttle = throttled(2.0, share);
    assert!(!throttle.is_open(S) && !throttle.is_open(S + MS * 499));
    assert!(throttle.is_open(S + MS * 500));
    throttle.consume(S + MS * 500);
    assert!(!throttle.is_open(S + MS * 999) && throttle.is_open(S * 2));
}

#[test]
fn an_idle_time_accumulates_no_more_than_a_burst() {
    let share = LimitShare {
        per_second: 2.0,
        burst: 1.0,
    };
    let mut throttle = throttled(2.0, share);
    let later = S * 100;
    throttle.consume(later);
    assert!(!throttle.is_open(later + MS * 499));
}

#[test]
fn a_node_that_loses_its_share_keeps_no_tokens() {
    let share = LimitShare {
        per_second: 2.0,
        burst: 1.0,
    };
    let mut throttle = throttled(2.0, share);
    throttle.set_share(LimitShare::default(), S * 3);
    assert!(!throttle.is_open(S * 9));
    throttle.set_share(share, S * 9);
    assert!(!throttle.is_open(S * 9) && throttle.is_open(S * 10));
}

#[test]
fn a_reordered_answer_does_not_end_a_limit() {
    let mut throttle = throttled(1.0, LimitShare::default());
    assert!(!throttle.observe(advertised(None, S + MS * 199), S + MS * 199));
    assert_eq!(throttle.limit(), Some(1.0));
    assert!(throttle.observe(advertised(None, S + MS * 200), S + MS * 200));
    assert!(throttle.is_open(S + MS * 200));
}

#[test]
fn an_older_report_of_another_node_changes_nothing() {
    let mut throttle = throttled(1.0, LimitShare::default());
    assert!(throttle.observe(advertised(Some(3.0), S * 2), S * 2));
    assert!(!throttle.observe(advertised(Some(1.0), S + MS * 900), S * 3));
    assert_eq!(throttle.limit(), Some(3.0));
}

#[test]
fn an_advertised_limit_is_reported_for_a_while() {
    let throttle = throttled(1.5, LimitShare::default());
    let report = throttle.report(7, S + MS * 300).expect("a report");
    assert_eq!(
        (report.run, report.per_second, report.age_ms),
        (7, Some(1.5), 300)
    );
    assert_eq!(report.advertised(S * 5), advertised(Some(1.5), MS * 4700));
    assert!(throttle.report(7, S * 3).is_none());
    assert!(UpstreamThrottle::default().report(7, S).is_none());
}
