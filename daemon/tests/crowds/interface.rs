//! Crowds at the product's own interface.

use std::time::Duration;

use monsoonbank_standin::engine::EngineSettings;
use serde_json::json;
use tokio::time::sleep;

use crate::clients::{ClientScript, Crowd, open_chunks, plain, press};
use crate::common::process::NodeProcess;
use crate::common::{TOKEN, TestFleet, settings};
use crate::{BODY_BYTES, HOST_MEMORY_MB, alone, check_resources};

/// Pause after which a client that sends nothing has stopped.
const STOP_PAUSE: Duration = Duration::from_secs(2);
/// Time for a token of the slow engine.
const SLOW_STEP: Duration = Duration::from_mins(5);

/// A fleet whose nodes run in processes, and whose engine does not come to its first token.
struct PressedFleet {
    fleet: TestFleet,
    nodes: Vec<NodeProcess>,
}

impl PressedFleet {
    async fn start(nodes: usize) -> Self {
        let engine = EngineSettings {
            step: SLOW_STEP,
            ..EngineSettings::default()
        };
        let fleet = TestFleet::start_with_engines(0, vec![engine]).await;
        let mut started = Vec::new();
        for number in 0..nodes {
            let name = format!("node-{number}");
            let mut settings = settings(&name, "zone-0", &fleet.log, &fleet.hosts);
            settings.bounds.body_bytes = BODY_BYTES;
            settings.bounds.memory = HOST_MEMORY_MB << 20;
            settings.bounds.body_timeout = Duration::from_mins(2);
            started.push(NodeProcess::start_with(&fleet, settings).await);
        }
        Self {
            fleet,
            nodes: started,
        }
    }

    /// Presses the first node.
    async fn press(&self, script: ClientScript) -> Crowd {
        press(self.nodes[0].callers, script).await
    }

    /// Checks that each process lives within its host's memory and answers an ordinary call.
    async fn check(&mut self) {
        for node in &mut self.nodes {
            let url = format!("http://{}/services/gate/passes/7", node.callers);
            let request = self.fleet.client.post(url).bearer_auth(TOKEN);
            let answer = request.json(&json!({ "guest": "Kim" })).send().await;
            let answer = answer.expect("an answer");
            let status = answer.status();
            let text = answer.text().await.expect("text");
            assert_eq!(status, 200, "{text}");
            let child = &mut node.child;
            assert!(child.try_wait().expect("a child").is_none(), "it ended");
            check_resources(child.id());
        }
    }
}

/// Builds the head of a crowd's requests.
fn head(framing: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer {TOKEN}\r\n\
         Content-Type: application/json\r\n{framing}\r\n"
    )
}

fn announced(clients: usize, length: usize, sent: usize) -> ClientScript {
    ClientScript {
        clients,
        head: head(&format!("Content-Length: {length}")),
        id_header: "X-Client",
        body: plain(sent),
        pieces: 1,
    }
}

fn in_pieces(script: ClientScript) -> ClientScript {
    ClientScript {
        pieces: 64,
        ..script
    }
}

fn chunked(clients: usize, size: usize, chunk_size: usize) -> ClientScript {
    ClientScript {
        clients,
        head: head("Transfer-Encoding: chunked"),
        id_header: "X-Client",
        body: open_chunks(size, chunk_size),
        pieces: 1,
    }
}

/// Requests of the largest size whose prompts fill them.
fn whole(clients: usize) -> ClientScript {
    let text = |prompt: &str| {
        json!({ "model": "writer", "stream": true,
            "messages": [{ "role": "user", "content": prompt }] })
        .to_string()
    };
    let rest = BODY_BYTES - text("").len();
    let body = text(&"x".repeat(rest));
    ClientScript {
        body: body.into_bytes().into(),
        ..announced(clients, BODY_BYTES, 0)
    }
}

/// Requests of the largest size that are lists of small values, which take many times their text once
/// they are parsed.
fn whole_of_values(clients: usize) -> ClientScript {
    let text = |values: &str| {
        format!(
            "{{\"model\":\"writer\",\"stream\":true,\"messages\":[{{\"content\":\"x\"}}],\"v\":[0{values}]}}"
        )
    };
    let rest = BODY_BYTES - text("").len();
    let mut body = text(&",0".repeat(rest / 2)).into_bytes();
    body.resize(BODY_BYTES, b' ');
    ClientScript {
        body: body.into(),
        ..announced(clients, BODY_BYTES, 0)
    }
}

/// Defines a case: what the clients of a crowd send. All stay open.
macro_rules! presses {
    ($($name:ident: $script:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 4)]
        // The guard lets one test run at a time, each on a runtime of its own.
        #[allow(clippy::await_holding_lock)]
        async fn $name() {
            let _alone = alone();
            let mut fleet = PressedFleet::start(1).await;
            let _crowd = fleet.press($script).await;
            sleep(STOP_PAUSE).await;
            fleet.check().await;
        }
    )*};
}

// Guards against bodies that are held without a bound in total: a node ran out of memory.
presses! {
    bodies_that_stop_short: announced(80, BODY_BYTES, BODY_BYTES - 1);
    bodies_in_pieces_that_stop_short: in_pieces(announced(80, BODY_BYTES, BODY_BYTES - 1));
    far_too_large_bodies: announced(80, 4 * BODY_BYTES, 4 * BODY_BYTES);
    large_chunks_without_end: chunked(80, BODY_BYTES - 1, 256 << 10);
    chunks_of_one_byte_without_end: chunked(16, BODY_BYTES / 2, 1);
    far_too_large_bodies_that_stop: announced(80, 64 * BODY_BYTES, BODY_BYTES - 1);
    far_too_many_chunks: chunked(80, 4 * BODY_BYTES, 64 << 10);
    whole_bodies_at_a_slow_engine: whole(80);
    whole_bodies_of_small_values: whole_of_values(80);
}

// Guards against bodies that are held without a bound at the node that owns the engine.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[allow(clippy::await_holding_lock)]
async fn whole_bodies_that_go_to_another_node() {
    let _alone = alone();
    let mut fleet = PressedFleet::start(2).await;
    let _first = press(fleet.nodes[0].callers, whole(80)).await;
    let _second = press(fleet.nodes[1].callers, whole(80)).await;
    sleep(STOP_PAUSE).await;
    fleet.check().await;
}
