//! Upstreams that limit the requests per second from all nodes together.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::Send;
use tokio::time::{Instant, sleep};

use crate::world::{World, answer_head, good, request, script, send, until};

/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window that are allowed beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time from the first answer with a limit to the first request that is counted.
const PROPAGATION_TIME: Duration = Duration::from_millis(500);
/// Interval between calls of the load.
const CALL_INTERVAL: Duration = Duration::from_millis(25);

/// Answers successfully and announces a limit, if one is given for the number of the call.
fn limited(
    limit: impl Fn(usize) -> Option<&'static str> + Sync + std::marker::Send + 'static,
) -> AnswerScript {
    script(move |request, number| {
        let line =
            limit(number).map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        let head = answer_head(request.header("x-attempt-id"), &line);
        vec![Send(
            format!("{head}Content-Length: 2\r\n\r\nok").into_bytes(),
        )]
    })
}

/// Sends calls to all nodes in turn for a time. Returns the share that succeeded.
async fn send_load(world: &World, load_time: Duration) -> f64 {
    let started = Instant::now();
    let mut answered = Vec::new();
    while started.elapsed() < load_time {
        let number = answered.len();
        let node = &world.nodes[number % world.nodes.len()];
        let call = request(
            &format!("/safe/{number}"),
            &format!("c{number}"),
            "X-Deadline-Ms: 200\r\n",
        );
        let call = call.replacen("X-Deadline-Ms: 2500\r\n", "", 1);
        let address = node.address(4000);
        answered.push(tokio::spawn(async move {
            send(address, call.as_bytes()).await.status
        }));
        sleep(CALL_INTERVAL).await;
    }
    let mut good = 0;
    for answer in &mut answered {
        good += usize::from(answer.await.expect("an answer") == 200);
    }
    good as f64 / answered.len() as f64
}

/// Returns the largest number of requests in a window that an upstream got after the nodes could
/// know the limit.
fn most_in_window(world: &World, index: usize) -> usize {
    let calls = world.upstreams[index].calls();
    let calls = calls
        .iter()
        .filter(|call| call.request.target.starts_with("/safe"));
    let times: Vec<Instant> = calls.map(|call| call.at).collect();
    let counted_from = times.first().map(|first| *first + PROPAGATION_TIME);
    let counted: Vec<Instant> = times
        .into_iter()
        .filter(|at| Some(*at) >= counted_from)
        .collect();
    let in_window = |from: &Instant| {
        let window = counted
            .iter()
            .filter(|at| *at >= from && **at < *from + WINDOW);
        window.count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

/// Defines a case: the zones of the nodes, the upstreams and the limit of the first of them.
macro_rules! limits {
    ($($name:ident: $zones:expr, $upstreams:expr, $limit:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&$zones, $upstreams).await;
            send_load(&world, Duration::from_secs(7)).await;
            let most = most_in_window(&world, 0);
            assert!(most <= allowed($limit), "{most} requests");
            assert!(most >= 2, "{most} requests: the upstream's share is not used");
        }
    )*};
}

// Guards against an upstream that gets more than the limit that it has announced.
limits! {
    a_limit_holds_at_one_node: ["east"], vec![limited(|_| Some("1")), good()], 1.0;
    a_limit_holds_over_all_nodes: ["east", "east", "west", "west"], vec![limited(|_| Some("1.5")), good()], 1.5;
    a_limit_holds_where_there_is_no_other_upstream: ["east", "west"], vec![limited(|_| Some("2"))], 2.0;
}

// Guards against a refusal, which contains no limit, that ends the limit for the whole fleet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_does_not_end_a_limit() {
    let refusing = script(|request, number| {
        let id = request.header("x-attempt-id");
        let more = "Server-Limit: 1\r\nContent-Length: 2\r\n\r\nok";
        let refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
        let text = match number {
            0 => answer_head(id, more),
            _ => format!("{refusal}X-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"),
        };
        vec![Send(text.into_bytes())]
    });
    let world = World::start(&["east"], vec![refusing]).await;
    assert_eq!(world.send(&request("/safe/x", "a1", "")).await.status, 200);
    sleep(Duration::from_millis(1200)).await;
    assert_eq!(world.send(&request("/safe/x", "a2", "")).await.status, 503);
    let state = world.nodes[0].state().await;
    assert_eq!(state["upstreams"][0]["limit_per_s"], 1.0);
}

// Guards against an upstream that stays limited after it has stopped announcing a limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_whose_limit_ended_gets_all_its_calls_again() {
    let ends_soon = limited(|number| (number < 3).then_some("2"));
    let world = World::start(&["east", "west"], vec![ends_soon]).await;
    send_load(&world, Duration::from_secs(5)).await;
    let answered = send_load(&world, Duration::from_secs(1)).await;
    assert!(answered > 0.95, "{answered}");
}

// Guards against calls that are refused although another upstream has capacity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_go_to_upstreams_without_a_limit() {
    let world = World::start(&["east", "west"], vec![limited(|_| Some("0")), good()]).await;
    let answered = send_load(&world, Duration::from_secs(3)).await;
    assert!(answered > 0.99, "{answered}");
}

// Guards against a restarted node that uses the limit of the whole fleet alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_holds_while_a_node_starts_anew() {
    let upstreams = vec![limited(|_| Some("1")), good()];
    let mut world = World::start(&["east", "east", "east"], upstreams).await;
    send_load(&world, Duration::from_secs(3)).await;
    world.nodes[1].child.kill().expect("killed");
    world.nodes[1].child.wait().expect("ended");
    world.nodes[1].restart();
    world.nodes[1].ready().await;
    send_load(&world, Duration::from_secs(5)).await;
    let most = most_in_window(&world, 0);
    assert!(most <= allowed(1.0), "{most} requests");
}

// Guards against nodes that each exceed a limit before they know it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_propagates_to_nodes_that_sent_no_calls() {
    let world = World::start(&["east", "west"], vec![limited(|_| Some("2.5"))]).await;
    assert_eq!(world.send(&request("/safe/x", "a1", "")).await.status, 200);
    until("the other node knows the limit", async || {
        let state = world.nodes[1].state().await;
        state["upstreams"][0]["limit_per_s"] == 2.5
    })
    .await;
}
