//! Upstreams that refuse calls and want none from the node that sent them for a while.

use std::time::Duration;

use monsoonbank_standin::scripted::AnswerScript;
use monsoonbank_standin::scripted::ScriptStep::Send;
use tokio::time::{Instant, sleep};

use crate::world::{RawAnswer, World, request, script, send};

/// The pause that upstreams ask for.
const PAUSE: Duration = Duration::from_secs(3);
/// Time after a refusal in which calls may still arrive that were under way.
const NOTICE_TIME: Duration = Duration::from_millis(500);
/// Calls that may reach an upstream from the node in the rest of the pause.
const ALLOWED: usize = 2;
/// For how long calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time between two calls.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// Refuses all calls and asks for a pause.
fn pausing() -> AnswerScript {
    script(|request, _| {
        let id = request.header("x-attempt-id");
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\n\
             Retry-After: {}\r\nContent-Length: 0\r\n\r\n",
            PAUSE.as_secs()
        );
        vec![Send(text.into_bytes())]
    })
}

/// Sends calls to all nodes in turn for a while; the ids begin with the node's number.
async fn send_load(world: &World, folder: &str) -> Vec<RawAnswer> {
    let started = Instant::now();
    let mut sent = Vec::new();
    while started.elapsed() < LOAD_TIME {
        let number = sent.len();
        let node = number % world.nodes.len();
        let path = format!("/{folder}/{number}");
        let call = request(&path, &format!("{node}-{number}"), "");
        let address = world.nodes[node].address(4000);
        sent.push(tokio::spawn(
            async move { send(address, call.as_bytes()).await },
        ));
        sleep(CALL_PAUSE).await;
    }
    let mut answers = Vec::new();
    for answer in sent {
        answers.push(answer.await.expect("an answer"));
    }
    answers
}

/// Most calls that reached an upstream from one node in a pause that it had asked that node for.
fn most_in_pause(world: &World) -> usize {
    let mut most = 0;
    for upstream in &world.upstreams {
        for node in 0..world.nodes.len() {
            let prefix = format!("{node}-");
            let calls = upstream.calls();
            let times: Vec<Instant> = calls
                .iter()
                .filter(|call| call.request.header("x-attempt-id").starts_with(&prefix))
                .map(|call| call.at)
                .collect();
            let in_pause = |refused: &Instant| {
                let pause = *refused + NOTICE_TIME..*refused + PAUSE;
                times.iter().filter(|at| pause.contains(at)).count()
            };
            most = most.max(times.iter().map(in_pause).max().unwrap_or(0));
        }
    }
    most
}

/// Names a case: the zones of the nodes, the folder of the calls and how many upstreams there are, which
/// all ask for pauses.
macro_rules! pauses {
    ($($name:ident: $zones:expr, $folder:literal, $upstreams:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let upstreams = (0..$upstreams).map(|_| pausing()).collect();
            let world = World::start(&$zones, upstreams).await;
            send_load(&world, $folder).await;
            let most = most_in_pause(&world);
            assert!(most <= ALLOWED, "{most} calls");
        }
    )*};
}

// Guards against calls to an upstream that has refused one and named a time for which it wants none.
pauses! {
    the_only_upstream_asks_for_a_pause: ["east"], "safe", 1;
    all_upstreams_ask_two_nodes_for_pauses: ["east", "west"], "safe", 3;
    upstreams_ask_for_pauses_where_calls_may_run_once: ["east"], "once", 2;
}
