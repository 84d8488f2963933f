//! Upstreams that name how many requests a second they take from all nodes together.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::Send;
use tokio::time::{Instant, sleep};

use crate::world::{World, answer_head, good, request, script, send, until};

/// Time in which an upstream's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time from a node's first answer with a limit to the first request that counts.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Time between two calls of the load.
const CALL_PAUSE: Duration = Duration::from_millis(25);

/// Answers well and names a limit, if one is given for the number of the call.
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

/// Sends calls to all nodes in turn for a while. Gives the share that was answered.
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
        sleep(CALL_PAUSE).await;
    }
    let mut good = 0;
    for answer in &mut answered {
        good += usize::from(answer.await.expect("an answer") == 200);
    }
    good as f64 / answered.len() as f64
}

/// Most requests in a window that an upstream got after nodes had been told.
fn most_in_window(world: &World, index: usize) -> usize {
    let calls = world.upstreams[index].calls();
    let calls = calls
        .iter()
        .filter(|call| call.request.target.starts_with("/safe"));
    let times: Vec<Instant> = calls.map(|call| call.at).collect();
    let told = times.first().map(|first| *first + TOLD_TIME);
    let counted: Vec<Instant> = times.into_iter().filter(|at| Some(*at) >= told).collect();
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

/// Names a case: the zones of the nodes, the upstreams and the limit of the first of them.
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

// Guards against an upstream that got more than the limit it had named, as no node read it.
limits! {
    a_limit_holds_at_one_node: ["east"], vec![limited(|_| Some("1")), good()], 1.0;
    a_limit_holds_over_all_nodes: ["east", "east", "west", "west"], vec![limited(|_| Some("1.5")), good()], 1.5;
    a_limit_holds_where_there_is_no_other_upstream: ["east", "west"], vec![limited(|_| Some("2"))], 2.0;
}

// Guards against a refusal, which says nothing of limits, that ends one for the whole fleet.
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

// Guards against an upstream that stays limited after it has stopped to say so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upstream_that_names_no_limit_any_more_gets_its_calls_again() {
    let ends_soon = limited(|number| (number < 3).then_some("2"));
    let world = World::start(&["east", "west"], vec![ends_soon]).await;
    send_load(&world, Duration::from_secs(5)).await;
    let answered = send_load(&world, Duration::from_secs(1)).await;
    assert!(answered > 0.95, "{answered}");
}

// Guards against calls that are refused although another upstream has room.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_go_to_upstreams_without_a_limit() {
    let world = World::start(&["east", "west"], vec![limited(|_| Some("0")), good()]).await;
    let answered = send_load(&world, Duration::from_secs(3)).await;
    assert!(answered > 0.99, "{answered}");
}

// Guards against a node that starts anew and sends what the others may send in all.
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

// Guards against nodes that each learn a limit by sending more than it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_limit_is_told_to_nodes_that_sent_nothing() {
    let world = World::start(&["east", "west"], vec![limited(|_| Some("2.5"))]).await;
    assert_eq!(world.send(&request("/safe/x", "a1", "")).await.status, 200);
    until("the other node knows the limit", async || {
        let state = world.nodes[1].state().await;
        state["upstreams"][0]["limit_per_s"] == 2.5
    })
    .await;
}
