//! Streams whose callers return, without naming the attempt that began them, after all nodes were lost.

use std::time::Duration;

use monsoonbank_standin::scripted::ScriptedUpstream;
use tokio::time::{Instant, sleep};

use crate::versions::unknown::{UNNAMED, start_nodes};
use crate::versions::{BEGINNER, BegunStream, all_know};
use crate::world::{World, request, send, upstream_id};

/// Index of the upstream that runs the second version.
const SECOND: usize = 1;
/// Time for which callers return after the nodes are ready again.
const RETURN_TIME: Duration = Duration::from_secs(3);
/// Time between an early departure of the first version and the loss of all nodes.
const EARLY: Duration = Duration::from_secs(3);

/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

/// When the second version replaces the first one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReplaceTime {
    /// Some seconds before all nodes are lost.
    Early,
    /// Just before all nodes are lost.
    Late,
    /// While no node runs.
    WhileDown,
    /// While no node runs, under the same id.
    SameId,
}

fn replace(world: &World) {
    world.register_version(SECOND, &upstream_id(SECOND), "v2", "east");
    world.deregister(BEGINNER);
}

async fn restart_all(world: &mut World) {
    for node in &mut world.nodes {
        node.restart();
    }
    for node in &world.nodes {
        node.ready().await;
    }
}

/// Loses all nodes of these zones after streams began at the first version. `meanwhile` changes the store
/// while no node runs.
async fn lose_all(zones: &[&str], time: ReplaceTime, meanwhile: impl Fn(&World)) -> World {
    let mut world = start_nodes(zones).await;
    for (index, node) in world.nodes.iter().enumerate() {
        BegunStream::begin(node, &format!("a{index}")).await.leave();
    }
    if matches!(time, ReplaceTime::Early | ReplaceTime::Late) {
        replace(&world);
        all_know(&world, 1).await;
    }
    if time == ReplaceTime::Early {
        sleep(EARLY).await;
    }
    for node in &mut world.nodes {
        node.child.kill().expect("killed");
        node.child.wait().expect("ended");
    }
    match time {
        ReplaceTime::Early | ReplaceTime::Late => {}
        ReplaceTime::WhileDown => replace(&world),
        ReplaceTime::SameId => {
            world.register_version(SECOND, &upstream_id(BEGINNER), "v2", "east");
        }
    }
    meanwhile(&world);
    restart_all(&mut world).await;
    world
}

/// Lets callers return to all nodes for a while, who have to be refused as not run.
async fn assert_all_refused(world: &World) {
    let arrivals = || {
        let calls = world.upstreams.iter().flat_map(ScriptedUpstream::calls);
        let streams = calls.filter(|call| call.request.target.starts_with("/resume/"));
        streams.count()
    };
    let before = arrivals();
    let last = Instant::now() + RETURN_TIME;
    while Instant::now() < last {
        let ways = [
            (4000, UNNAMED.into()),
            (4010, format!("{UNNAMED}{SENT_ON}")),
        ];
        for (node, (port, more)) in world.nodes.iter().zip(ways.iter().cycle()) {
            let text = request("/resume/x", "again", more);
            let answer = send(node.address(*port), text.as_bytes()).await;
            assert_eq!(answer.status, 503, "{}{}", answer.head, answer.text());
        }
        sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(arrivals(), before);
}

/// Each case gives the zones of the nodes, and when the second version replaces the first.
macro_rules! replaced_versions {
    ($($name:ident: $zones:expr, $time:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = lose_all(&$zones, $time, |_| ()).await;
            assert_all_refused(&world).await;
        }
    )*};
}

// Guards against a stream that goes on at the version which replaced its own before any node that runs
// now was started.
replaced_versions! {
    an_unnamed_stream_is_refused_if_its_version_left_early: ["east", "east"], ReplaceTime::Early;
    an_unnamed_stream_is_refused_if_its_version_left_late: ["east", "west"], ReplaceTime::Late;
    an_unnamed_stream_is_refused_if_its_version_left_while_no_node_ran:
        ["east", "east", "west"], ReplaceTime::WhileDown;
    an_unnamed_stream_is_refused_if_its_upstream_came_back_at_another_version:
        ["east", "east"], ReplaceTime::SameId;
    an_unnamed_stream_is_refused_if_its_only_node_was_lost: ["east"], ReplaceTime::Late;
}

/// Each case gives what happens to the store while no node runs.
macro_rules! unknown_histories {
    ($($name:ident: $meanwhile:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = lose_all(&["east", "east"], ReplaceTime::Late, $meanwhile).await;
            assert_all_refused(&world).await;
        }
    )*};
}

// Guards against a log that is taken for complete although records of it are gone.
unknown_histories! {
    an_unnamed_stream_is_refused_if_the_log_was_compacted: |world| {
        world.store.compact("keyed.servers");
    };
    an_unnamed_stream_is_refused_if_the_store_came_back_older: |world| {
        world.store.roll_back("keyed.servers", 0);
        world.store.compact("keyed.servers");
    };
}
