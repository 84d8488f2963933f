//! Crowds at a gateway, on the port for callers and on the port for nodes.

use std::time::Duration;

use monsoonbank_standin::scripted::{AnswerScript, ScriptStep, ScriptedUpstream};
use serde_json::Value;
use tokio::time::sleep;

use crate::clients::{ClientScript, Crowd, open_chunks, plain, press};
use crate::world::{World, configuration, entry, good, request, script, until};
use crate::{BODY_BYTES, HOST_DESCRIPTORS, HOST_MEMORY_MB, alone, check_resources};

/// Port for callers.
const CALLERS: u16 = 4000;
/// Port for other nodes.
const NODES: u16 = 4010;
/// Pause after which a client that sends nothing has stopped.
const STOP_PAUSE: Duration = Duration::from_secs(2);

/// A node, an upstream of the pool `model` for the crowd, and one of the pool `desk` for ordinary
/// calls.
struct PressedNode {
    world: World,
    _desk: ScriptedUpstream,
}

impl PressedNode {
    async fn start(model: AnswerScript) -> Self {
        let limits = format!(
            "limits: {{descriptors: {HOST_DESCRIPTORS}, cores: 0.25, memory_mb: {HOST_MEMORY_MB}}}\n"
        );
        let world = World::start_with(&["east"], vec![model], &limits).await;
        let desk = ScriptedUpstream::start("127.0.0.1:0", good())
            .await
            .expect("a port");
        let mut desk_entry = entry(desk.address(), "ready");
        desk_entry["service"] = "desk".into();
        let desk_entry = desk_entry.to_string();
        world
            .store
            .put("keyed.servers", "i-desk", desk_entry.as_bytes());
        world.publish(&pressed_configuration());
        until("the node knows all", async || {
            let state = world.nodes[0].state().await;
            let upstreams = state["upstreams"].as_array().map_or(0, Vec::len);
            state["version"] == 2 && upstreams == 2
        })
        .await;
        Self { world, _desk: desk }
    }

    async fn press(&self, port: u16, script: ClientScript) -> Crowd {
        press(self.world.nodes[0].address(port), script).await
    }

    /// Checks that the process lives within its host's limits and answers an ordinary call.
    async fn check(&mut self) {
        let answer = self.world.send(&request("/ordinary/x", "after", "")).await;
        assert_eq!(answer.status, 200, "{}{}", answer.head, answer.text());
        assert_eq!(answer.text(), "answer to after");
        let child = &mut self.world.nodes[0].child;
        assert!(child.try_wait().expect("a child").is_none(), "it ended");
        check_resources(child.id());
    }

    /// Checks that refused calls have not run and say when to come back.
    fn check_refusals(&self, crowd: &Crowd) {
        let calls = self.world.upstreams[0].calls();
        for (id, answer) in crowd.answers() {
            if answer.status != 503 {
                continue;
            }
            assert!(answer.has("retry-after: "), "{}", answer.head);
            let ran = calls
                .iter()
                .any(|call| call.request.header("x-attempt-id") == id);
            assert!(!ran, "{id} was refused and ran");
        }
    }
}

/// A configuration with large bodies, long timeouts and a route of its own for ordinary calls.
fn pressed_configuration() -> Value {
    let mut text = configuration(2);
    text["limits"]["maxBodyBytes"] = BODY_BYTES.into();
    text["limits"]["idleTimeoutMs"] = 120_000.into();
    let mut route = text["routes"][0].clone();
    route["name"] = "ordinary".into();
    route["pathPrefix"] = "/ordinary/".into();
    route["service"] = "desk".into();
    if let Some(routes) = text["routes"].as_array_mut() {
        for route in routes.iter_mut() {
            route["timeoutMs"] = 120_000.into();
        }
        routes.push(route);
    }
    let mut service = text["services"][0].clone();
    service["name"] = "desk".into();
    if let Some(services) = text["services"].as_array_mut() {
        services.push(service);
    }
    text
}

/// Builds the head of a crowd's requests.
fn head(framing: &str) -> String {
    format!(
        "POST /safe/x HTTP/1.1\r\nHost: calls.example\r\nX-Key: key-1\r\nX-Deadline-Ms: 110000\r\n\
         {framing}\r\n"
    )
}

fn announced(clients: usize, length: usize, sent: usize, pieces: usize) -> ClientScript {
    ClientScript {
        clients,
        head: head(&format!("Content-Length: {length}")),
        id_header: "X-Attempt-Id",
        body: plain(sent),
        pieces,
    }
}

fn chunked(clients: usize, size: usize, chunk_size: usize) -> ClientScript {
    ClientScript {
        clients,
        head: head("Transfer-Encoding: chunked"),
        id_header: "X-Attempt-Id",
        body: open_chunks(size, chunk_size),
        pieces: 1,
    }
}

fn by_node(script: ClientScript) -> ClientScript {
    let head = format!(
        "{}X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n",
        script.head
    );
    ClientScript { head, ..script }
}

/// Defines a case: the port that a crowd presses, and what its clients send. All stay open.
macro_rules! presses {
    ($($name:ident: $port:expr, $script:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        // The guard lets one test run at a time, each on a runtime of its own.
        #[allow(clippy::await_holding_lock)]
        async fn $name() {
            let _alone = alone();
            let mut node = PressedNode::start(good()).await;
            let crowd = node.press($port, $script).await;
            sleep(STOP_PAUSE).await;
            node.check().await;
            node.check_refusals(&crowd);
        }
    )*};
}

// Guards against bodies that are held without a bound in total: a node ran out of memory.
presses! {
    bodies_that_stop_short: CALLERS, announced(80, BODY_BYTES, BODY_BYTES - 1, 1);
    bodies_in_pieces_that_stop_short: CALLERS, announced(80, BODY_BYTES, BODY_BYTES - 1, 64);
    small_bodies_that_stop_short: CALLERS, announced(1800, 80_000, 79_999, 1);
    large_chunks_without_end: CALLERS, chunked(80, BODY_BYTES - 1, 256 << 10);
    chunks_of_one_byte_without_end: CALLERS, chunked(16, BODY_BYTES / 2, 1);
    far_too_large_bodies_that_stop: CALLERS, announced(80, 64 * BODY_BYTES, BODY_BYTES - 1, 1);
    far_too_large_bodies: CALLERS, announced(80, 4 * BODY_BYTES, 4 * BODY_BYTES, 1);
    far_too_many_chunks: CALLERS, chunked(80, 4 * BODY_BYTES, 64 << 10);
    bodies_of_nodes_that_stop_short: NODES, by_node(announced(80, BODY_BYTES, BODY_BYTES - 1, 1));
}

// Guards against clients that keep all connections with bodies that they never finish, however small.
presses! {
    tiny_bodies_that_stop_short: CALLERS, announced(1800, 100, 99, 1);
    empty_bodies_that_stop_short: CALLERS, announced(1800, 100, 0, 1);
}

/// Answers well, but holds calls with large bodies.
fn slow() -> AnswerScript {
    let good = good();
    script(move |request, number| {
        if request.body.len() < BODY_BYTES / 2 {
            return good(request, number);
        }
        vec![ScriptStep::Hang]
    })
}

// Guards against whole bodies that are held without a bound while their calls wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[allow(clippy::await_holding_lock)]
async fn whole_bodies_at_a_slow_upstream() {
    let _alone = alone();
    let mut node = PressedNode::start(slow()).await;
    let script = announced(80, BODY_BYTES, BODY_BYTES, 1);
    let crowd = node.press(CALLERS, script).await;
    sleep(STOP_PAUSE).await;
    node.check().await;
    node.check_refusals(&crowd);
}

// Guards against bounds that a single call inside the limits meets.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[allow(clippy::await_holding_lock)]
async fn a_body_at_the_limit_is_served_in_calm() {
    let _alone = alone();
    let mut node = PressedNode::start(good()).await;
    let sent = announced(1, BODY_BYTES, BODY_BYTES, 1);
    let mut chunks = open_chunks(BODY_BYTES, 1000).to_vec();
    chunks.extend_from_slice(b"0\r\n\r\n");
    let sent_in_chunks = ClientScript {
        body: chunks.into(),
        ..chunked(1, 1, 1)
    };
    for (script, arrivals) in [(sent, 1), (sent_in_chunks, 2)] {
        let crowd = node.press(CALLERS, script).await;
        until("it is answered", async || !crowd.answers().is_empty()).await;
        assert_eq!(crowd.answers()[0].1.status, 200);
        let calls = node.world.upstreams[0].calls();
        assert_eq!(calls.len(), arrivals);
        let body = &calls[arrivals - 1].request.body;
        assert!(body.len() == BODY_BYTES && body.iter().all(|byte| *byte == b'x'));
    }
    node.check().await;
}
