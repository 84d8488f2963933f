//! Nodes that reach no upstream while other nodes do.

use std::net::SocketAddr;
use std::time::Duration;

use monsoonbank_kernel::gateway::heartbeat::{NodeHeartbeat, NodeState};
use monsoonbank_standin::keyed::KeyedStore;
use monsoonbank_standin::scripted::ScriptStep::{self, Hang, Reset, Send, Wait};
use monsoonbank_standin::scripted::{AnswerScript, ScriptedUpstream};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};
use tokio::time::{Instant, timeout};

use crate::heartbeats::{decode, encode, heartbeat, receive_all, strong};
use crate::world::{
    RawAnswer, World, configuration, entry, event, events, good, request, script, send,
    stream_head, until, upstream_id,
};

/// Number of upstreams.
pub const UPSTREAMS: usize = 4;

/// How connections of the cut-off node to upstreams end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutKind {
    /// They are not answered.
    Silent,
    /// They are refused.
    Refused,
}

/// Two nodes of which the first reaches no upstream: its store names addresses that take no
/// connection.
struct CutWorld {
    world: World,
    store: KeyedStore,
    /// Sockets that keep these addresses from taking connections.
    _held: Vec<DeadEnd>,
}

/// A socket that keeps its address from taking connections. The port stays reserved, so that no other
/// test gets it.
pub enum DeadEnd {
    /// Bound only: connections are refused.
    Bound { _socket: TcpSocket },
    /// Its queue of new connections is full: further ones are not answered.
    Full {
        _listener: TcpListener,
        _queued: Vec<TcpStream>,
    },
}

impl DeadEnd {
    /// Returns an address that takes no connection in this way, and what has to be kept for that.
    pub async fn start(kind: CutKind) -> (SocketAddr, Self) {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any = "127.0.0.1:0".parse().expect("an address");
        socket.bind(any).expect("a port");
        let address = socket.local_addr().expect("an address");
        if kind == CutKind::Refused {
            return (address, Self::Bound { _socket: socket });
        }
        let listener = socket.listen(1).expect("a listener");
        let mut queued = Vec::new();
        let connect = || timeout(Duration::from_millis(100), TcpStream::connect(address));
        while let Ok(stream) = connect().await {
            queued.push(stream.expect("a connection"));
        }
        let full = Self::Full {
            _listener: listener,
            _queued: queued,
        };
        (address, full)
    }
}

/// Writes addresses that take no connection into a store, for runs of the upstreams with this number.
pub async fn name_dead_ends(store: &KeyedStore, kind: CutKind, born: u64) -> Vec<DeadEnd> {
    let mut held = Vec::new();
    for index in 0..UPSTREAMS {
        let (address, dead_end) = DeadEnd::start(kind).await;
        let mut entry = entry(address, "ready");
        entry["born"] = json!(born);
        let text = entry.to_string();
        store.put("keyed.servers", &upstream_id(index), text.as_bytes());
        held.push(dead_end);
    }
    held
}

/// Writes the upstreams' own addresses into a store.
fn name_upstreams(world: &World, store: &KeyedStore) {
    for (index, upstream) in world.upstreams.iter().enumerate() {
        let mut entry = entry(upstream.address(), "ready");
        entry["born"] = json!(1);
        let text = entry.to_string();
        store.put("keyed.servers", &upstream_id(index), text.as_bytes());
    }
}

impl CutWorld {
    async fn start(kind: CutKind, script: AnswerScript) -> Self {
        let store = KeyedStore::start("127.0.0.1:0").await.expect("a store");
        store.put(
            "keyed.op",
            "config",
            configuration(1).to_string().as_bytes(),
        );
        let held = name_dead_ends(&store, kind, 0).await;
        let mut world = World::start(&[], vec![script; UPSTREAMS]).await;
        // Each reads its own store. The second takes over the other's entries at its start, so its
        // store names the upstreams anew.
        world.add_with_store("west", store.address()).await;
        let world = world.with_nodes(&["east"]).await;
        name_upstreams(&world, &world.store);
        let cut = Self {
            world,
            store,
            _held: held,
        };
        cut.settle().await;
        cut
    }

    /// Waits until the nodes know each other and their own upstreams.
    async fn settle(&self) {
        let knows = async |node: usize, upstream: SocketAddr| {
            let state = self.world.nodes[node].state().await;
            let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
            let known = upstreams
                .iter()
                .any(|known| known["address"] == upstream.to_string());
            known && state["peers"][0]["ready"] == true
        };
        let reached = self.world.upstreams[0].address();
        until("the nodes are ready", async || {
            knows(1, reached).await && !knows(0, reached).await
        })
        .await;
    }

    /// Gives the node a way to the upstreams.
    fn heal(&self) {
        name_upstreams(&self.world, &self.store);
    }

    /// Waits until the node that is cut off has written this line.
    async fn recorded(&self, event: &str) {
        until(event, async || {
            let lines = self.world.nodes[0].lines();
            lines.iter().any(|line| line["event"] == event)
        })
        .await;
    }

    /// Sends a request to the node that is cut off.
    async fn send(&self, text: &str) -> RawAnswer {
        send(self.world.nodes[0].address(4000), text.as_bytes()).await
    }
}

/// Defines a case: how connections end, and the path of a call that has to be served by the first
/// attempt and to run once.
macro_rules! served_through_another_node {
    ($($name:ident: $kind:expr, $path:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let cut = CutWorld::start($kind, good()).await;
            for id in ["a1", "a2", "a3"] {
                let answer = cut.send(&request($path, id, "")).await;
                assert_eq!((answer.status, answer.complete), (200, true), "{}", answer.head);
                assert!(answer.has(&format!("x-response-seal: signed-{id}")), "{}", answer.head);
                assert_eq!(answer.text(), format!("answer to {id}"));
            }
            assert_eq!(cut.world.arrivals(), 3);
        }
    )*};
}

// Guards against callers that are not served because the node that they reach has lost its links to
// all upstreams.
served_through_another_node! {
    a_repeatable_call_is_served_while_upstreams_do_not_answer: CutKind::Silent, "/safe/x";
    a_call_that_may_run_once_is_served_while_upstreams_do_not_answer: CutKind::Silent, "/once/x";
    a_call_that_may_run_once_is_served_while_upstreams_refuse: CutKind::Refused, "/once/x";
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_reaches_upstreams_again_sends_calls_itself() {
    let cut = CutWorld::start(CutKind::Refused, good()).await;
    cut.send(&request("/safe/x", "a1", "")).await;
    cut.recorded("reach_lost").await;
    cut.heal();
    until("a call goes straight to an upstream", async || {
        cut.send(&request("/safe/x", "a2", "")).await;
        let lines = cut.world.nodes[0].lines();
        lines.iter().any(|line| line["event"] == "sent")
    })
    .await;
    cut.recorded("reach_regained").await;
}

/// Sends a stream of nine events, with a pause after the third.
fn paused_stream(end: ScriptStep) -> AnswerScript {
    script(move |request, _| {
        vec![
            Send(stream_head(request)),
            Send(events(1, 3)),
            Wait(Duration::from_millis(100)),
            end.clone(),
        ]
    })
}

// Guards against a stream that comes through another node, breaks off there and looks complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_off_behind_another_node_is_cut() {
    let cut = CutWorld::start(CutKind::Refused, paused_stream(Reset)).await;
    let answer = cut.send(&request("/stream/x", "a1", "")).await;
    let text: String = (1..=3).map(event).collect();
    assert_eq!(
        (answer.status, answer.complete, answer.text()),
        (200, false, text)
    );
    assert_eq!(cut.world.arrivals(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_through_another_node_is_passed_on_whole() {
    let ends = Send([events(4, 6), b"0\r\n\r\n".to_vec()].concat());
    let cut = CutWorld::start(CutKind::Silent, paused_stream(ends)).await;
    for id in ["a1", "a2"] {
        let answer = cut.send(&request("/stream/x", id, "")).await;
        let text: String = (1..=6).map(event).collect();
        assert_eq!((answer.complete, answer.text()), (true, text));
        assert!(
            answer.has(&format!("x-response-seal: signed-{id}")),
            "{}",
            answer.head
        );
    }
}

// Guards against an upstream that works on for a caller who has left the node in front of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_leaves_ends_its_work_behind_another_node() {
    let cut = CutWorld::start(CutKind::Refused, script(|_, _| vec![Hang])).await;
    let mut caller = TcpStream::connect(cut.world.nodes[0].address(4000))
        .await
        .expect("a connection");
    let text = request("/once/x", "a1", "");
    caller.write_all(text.as_bytes()).await.expect("written");
    let calls = || {
        let upstreams = cut.world.upstreams.iter();
        upstreams
            .flat_map(ScriptedUpstream::calls)
            .collect::<Vec<_>>()
    };
    until("the call is at an upstream", async || !calls().is_empty()).await;
    drop(caller);
    until("the upstream is told", async || {
        calls().iter().all(|call| call.abandoned_at.is_some())
    })
    .await;
}

// Guards against a refusal that says not run for a call that ran behind another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_answer_is_lost_behind_another_node_is_unknown() {
    let cut = CutWorld::start(CutKind::Refused, script(|_, _| vec![Reset])).await;
    let answer = cut.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 502, "{}", answer.head);
    assert_eq!(cut.world.arrivals(), 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_behind_another_node_is_passed_on() {
    let refusal =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let refuses = script(move |_, _| vec![Send(refusal.into())]);
    let cut = CutWorld::start(CutKind::Refused, refuses).await;
    let answer = cut.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(answer.has("retry-after: "), "{}", answer.head);
}

// Guards against nodes that pass a call around while none of them reaches an upstream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_is_refused_in_time_if_no_node_reaches_an_upstream() {
    let cut = CutWorld::start(CutKind::Refused, good()).await;
    let _held = name_dead_ends(&cut.world.store, CutKind::Refused, 2).await;
    let reached = cut.world.upstreams[0].address().to_string();
    until("the other node reaches none either", async || {
        let state = cut.world.nodes[1].state().await;
        let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
        let mut in_use = upstreams.iter().filter(|known| known["left"].is_null());
        in_use.all(|known| known["address"] != reached)
    })
    .await;
    for number in 0..3 {
        let started = Instant::now();
        let answer = cut
            .send(&request("/safe/x", &format!("a{number}"), ""))
            .await;
        assert_eq!(answer.status, 503, "{}", answer.head);
        assert!(
            started.elapsed() < Duration::from_secs(3),
            "{:?}",
            started.elapsed()
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_cannot_send_the_headers_of_nodes() {
    let world = World::start(&["east"], vec![good()]).await;
    let more = "X-Monsoonbank-Version: 99\r\nX-Monsoonbank-Sends: 7\r\n";
    let answer = world.send(&request("/safe/x", "a1", more)).await;
    assert_eq!(answer.status, 200, "{}", answer.head);
}

/// Defines a case: the header lines of a node's request to another one, and the status that it gets.
macro_rules! sent_by_a_node {
    ($($name:ident: $more:literal => $status:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let world = World::start(&["east"], vec![good()]).await;
            let text = request("/safe/x", "a1", $more);
            let answer = send(world.nodes[0].address(4010), text.as_bytes()).await;
            assert_eq!(answer.status, $status, "{}", answer.head);
            assert_eq!(world.arrivals(), usize::from($status == 200));
        }
    )*};
}

sent_by_a_node! {
    a_node_serves_the_call_of_another: "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n" => 200;
    a_node_declines_a_call_of_a_newer_configuration:
        "X-Monsoonbank-Version: 2\r\nX-Monsoonbank-Sends: 0\r\n" => 421;
    a_node_rejects_a_call_without_its_sends: "X-Monsoonbank-Version: 1\r\n" => 400;
    a_node_rejects_a_call_with_a_malformed_version:
        "X-Monsoonbank-Version: x\r\nX-Monsoonbank-Sends: 0\r\n" => 400;
    a_request_of_a_node_without_its_headers_is_no_call: "" => 404;
}

// Guards against a node that is cut off and tells others that sound upstreams fail.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_is_cut_off_reports_no_upstream_as_failing() {
    let cut = CutWorld::start(CutKind::Refused, good()).await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
    let mut own = strong(heartbeat(
        "listener",
        socket.local_addr().expect("an address"),
    ));
    own.card.zone = "west".into();
    own.card.state = NodeState::Starting;
    let bytes = encode(&own);
    let node = cut.world.nodes[0].address(4010);
    socket.send_to(&bytes, node).await.expect("sent");
    cut.send(&request("/safe/x", "a1", "")).await;
    let received = receive_all(&socket).await;
    let reports: Vec<NodeHeartbeat> = received
        .iter()
        .filter_map(|bytes| decode(bytes))
        .filter(|heartbeat| !heartbeat.unreached.is_empty())
        .collect();
    assert!(!reports.is_empty(), "{} heartbeats", received.len());
    assert!(
        reports.iter().all(|report| report.failing.is_empty()),
        "{reports:?}"
    );
}

// Guards against contents of calls that are kept from sound upstreams because the connections of a
// node that is cut off break under them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_that_breaks_while_upstreams_are_out_of_reach_is_no_crash() {
    let breaks = script(|_, _| vec![Wait(Duration::from_secs(1)), Reset]);
    let world = World::start(&["east"], vec![breaks; UPSTREAMS]).await;
    let text = request("/once/x", "a1", "");
    let sending = world.send(&text);
    let cutting = async {
        until("the call is at an upstream", async || world.arrivals() == 1).await;
        let held = name_dead_ends(&world.store, CutKind::Refused, 1).await;
        let call = request("/safe/x", "a2", "").replace("Ms: 2500", "Ms: 300");
        until("the pool is out of reach", async || {
            world.send(&call).await;
            let lines = world.nodes[0].lines();
            lines.iter().any(|line| line["event"] == "reach_lost")
        })
        .await;
        held
    };
    let (answer, _held) = tokio::join!(sending, cutting);
    assert_eq!(answer.status, 502);
    until("the end is recorded", async || {
        let lines = world.nodes[0].lines();
        lines
            .iter()
            .any(|line| line["event"] == "ended" && line["call"] == "a1")
    })
    .await;
    let lines = world.nodes[0].lines();
    assert!(
        lines
            .iter()
            .all(|line| line["call"] != "a1" || line["event"] != "upstream_broke")
    );
}

// Guards against a node that takes upstreams that crash together for a loss of its own link, and cuts
// off streams that could go on elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_stays_in_reach_while_some_upstreams_are_down() {
    let world = World::start(&["east", "west"], vec![good(); 8]).await;
    for upstream in &world.upstreams[..3] {
        upstream.stop_accepting();
    }
    for number in 0..40 {
        let answer = world
            .send(&request("/safe/x", &format!("a{number}"), ""))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.head);
    }
    let lines = world.nodes[0].lines();
    assert!(lines.iter().any(|line| line["event"] == "attempt_ended"));
    assert!(lines.iter().all(|line| line["event"] != "reach_lost"));
}

// Guards against a node that tells another one that a call has not run after it sent the call on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_sent_a_call_on_does_not_decline_it() {
    let breaks = script(|_, _| vec![Wait(Duration::from_millis(500)), Reset]);
    let world = World::start(&["east"], vec![breaks; UPSTREAMS]).await;
    let headers = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";
    let text = request("/safe/x", "a1", headers);
    let sending = send(world.nodes[0].address(4010), text.as_bytes());
    let closing = async {
        until("the call is at an upstream", async || world.arrivals() == 1).await;
        for upstream in &world.upstreams {
            upstream.stop_accepting();
        }
    };
    let (answer, ()) = tokio::join!(sending, closing);
    assert_eq!(answer.status, 502, "{}", answer.head);
    // Lines are written a little later than the answer.
    until("the loss is recorded", async || {
        let lines = world.nodes[0].lines();
        lines.iter().any(|line| line["event"] == "reach_lost")
    })
    .await;
}
