//! Upstreams that fall over when they have to turn away too many requests in a second.

use std::time::Duration;

use monsoonbank_standin::brittle::{BrittleCount, BrittleService, BrittleSettings};
use tokio::time::{Instant, sleep};

use crate::world::{World, entry, request, send, until};

/// Time for which calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Falls that are allowed while services are brittle, besides a tenth of their number.
const ALLOWED_FALLS: usize = 2;

/// Services of four slots that take 40 ms for a call, at most 100 a second.
fn settings(refusals: usize) -> BrittleSettings {
    BrittleSettings {
        slots: 4,
        work: Duration::from_millis(40),
        refusals,
        down: Duration::from_secs(2),
    }
}

/// Starts nodes of these zones and some brittle services.
async fn start(
    zones: &[&str],
    count: usize,
    settings: BrittleSettings,
) -> (World, Vec<BrittleService>) {
    let world = World::start(&[], Vec::new()).await;
    let mut services = Vec::new();
    for index in 0..count {
        let service = BrittleService::start(settings).await.expect("a port");
        let mut entry = entry(service.address(), "ready");
        entry["slots"] = settings.slots.into();
        let id = format!("b-{index}");
        world
            .store
            .put("keyed.servers", &id, entry.to_string().as_bytes());
        services.push(service);
    }
    (world.with_nodes(zones).await, services)
}

/// Sends this number of calls a second to all nodes in turn. Returns the number that were answered
/// well and the number of all.
async fn send_load(world: &World, path: &str, per_second: u32) -> (usize, usize) {
    let started = Instant::now();
    let mut sent = Vec::new();
    while started.elapsed() < LOAD_TIME {
        let number = sent.len();
        let call = request(path, &format!("c{number}"), "");
        let address = world.nodes[number % world.nodes.len()].address(4000);
        sent.push(tokio::spawn(async move {
            send(address, call.as_bytes()).await.status
        }));
        sleep(Duration::from_secs(1) / per_second).await;
    }
    let all = sent.len();
    let mut good = 0;
    for status in sent {
        good += usize::from(status.await.expect("an answer") == 200);
    }
    (good, all)
}

fn total(services: &[BrittleService]) -> BrittleCount {
    let counts = services.iter().map(BrittleService::count);
    counts.fold(BrittleCount::default(), |sum, one| BrittleCount {
        answered: sum.answered + one.answered,
        refused: sum.refused + one.refused,
        falls: sum.falls + one.falls,
    })
}

/// Defines a case: zones of the nodes, services, refusals a second that each bears, calls a second,
/// and the least share of the calls that has to be served.
macro_rules! brittle {
    ($($name:ident: $zones:expr, $services:expr, $refusals:expr, $per_second:expr, $share:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let (world, services) = start(&$zones, $services, settings($refusals)).await;
            let (good, all) = send_load(&world, "/once/x", $per_second).await;
            let total = total(&services);
            let allowed = ALLOWED_FALLS + $services / 10;
            assert!(total.falls <= allowed, "{total:?}, {good} of {all}");
            assert!(good as f64 >= $share * all as f64, "{total:?}, {good} of {all}");
        }
    )*};
}

// Guards against upstreams that fall over because the nodes together send them more than they have
// room for.
brittle! {
    brittle_services_bear_a_usual_load:
        ["east", "east", "west"], 3, 4, 150, 0.9;
    brittle_services_bear_more_than_they_can_serve:
        ["east", "east", "west"], 2, 4, 350, 0.3;
    services_that_bear_one_refusal_bear_a_usual_load:
        ["east", "west"], 3, 2, 120, 0.8;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_a_brittle_service_is_told_to_all_nodes() {
    let (world, services) = start(&["east", "west"], 1, settings(4)).await;
    send_load(&world, "/once/x", 350).await;
    assert!(total(&services).refused > 0, "none had to be refused");
    for node in &world.nodes {
        let lines = node.lines();
        let told = |line: &serde_json::Value| line["event"] == "brittle_refused";
        until("the node knows of a refusal", async || {
            lines.iter().any(told)
        })
        .await;
    }
}
