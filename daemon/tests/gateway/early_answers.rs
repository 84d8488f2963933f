//! Upstreams that answer a long upload before they have read it.

use std::time::Duration;

use monsoonbank_standin::early::{EarlyAnswer, EarlyEnd, EarlyUpstream};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::world::{
    RawAnswer, World, answer_head, chunk, configuration, event, events, read_answer,
};

/// Size of the uploads, far more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 3 << 20;
/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

/// Uploads to such an upstream through a node, and returns what its caller gets.
async fn upload(path: &str, carried: bool, more: &str, end: EarlyEnd) -> RawAnswer {
    let answer = EarlyAnswer {
        text: answer_head("{id}", more).into(),
        end,
    };
    let upstream = EarlyUpstream::start("127.0.0.1:0", answer).await;
    let upstream = upstream.expect("a port");
    let world = World::start(&[], vec![]).await;
    let entry = json!({ "service": "model", "address": upstream.address().to_string(), "zone": "east",
        "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "sequence": 1 });
    let entry = entry.to_string();
    world.store.put("keyed.servers", "i-0", entry.as_bytes());
    let mut large = configuration(2);
    large["limits"]["maxBodyBytes"] = (4 << 20).into();
    world.publish(&large);
    let world = world.with_nodes(&["east"]).await;
    let (port, more) = if carried { (4010, SENT_ON) } else { (4000, "") };
    let mut stream = TcpStream::connect(world.nodes[0].address(port)).await;
    let stream = stream.as_mut().expect("a connection");
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: calls.example\r\nX-Attempt-Id: a1\r\nX-Key: key-1\r\n\
         X-Deadline-Ms: 2500\r\n{more}Content-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    let body = vec![b'x'; UPLOAD_BYTES];
    stream.write_all(&body).await.expect("written");
    read_answer(stream).await
}

const UNFRAMED: &str = "Connection: close\r\n\r\nhalf";
const UNFRAMED_EVENTS: &str =
    "Content-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: piece 1\n\n";
const AT_ONCE: EarlyEnd = EarlyEnd::Reset(Duration::ZERO);
const SOON: EarlyEnd = EarlyEnd::Reset(Duration::from_millis(50));
/// Each case gives the path, whether another node sent the call on, and the answer of the upstream, which
/// is not complete.
macro_rules! broken_off {
    ($($name:ident: $path:literal, $carried:literal, $more:expr, $end:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = upload($path, $carried, $more, $end).await;
            assert!(answer.status != 200 || !answer.complete, "{}{}", answer.head, answer.text());
        }
    )*};
}

// Guards against a part of an answer that is passed on as complete.
broken_off! {
    an_unframed_answer_that_is_reset_at_once: "/once/x", false, UNFRAMED, AT_ONCE;
    an_unframed_answer_that_is_reset_soon: "/once/x", false, UNFRAMED, SOON;
    an_unframed_answer_that_is_reset_through_another_node: "/once/x", true, UNFRAMED, SOON;
    an_unframed_answer_to_a_repeatable_call: "/safe/x", false, UNFRAMED, SOON;
    an_unframed_answer_that_is_closed_unread: "/once/x", false, UNFRAMED, EarlyEnd::Close;
    an_answer_with_a_length_that_is_reset: "/once/x", false, "Content-Length: 100\r\n\r\nhalf", SOON;
    an_unframed_stream_that_is_reset: "/stream/x", false, UNFRAMED_EVENTS, SOON;
    an_unframed_stream_that_is_reset_through_another_node:
        "/stream/x", true, UNFRAMED_EVENTS, SOON;
}

// Guards against an answer that is lost since it was whole before the upload was.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_answer_is_passed_on_before_the_upload_ends() {
    for carried in [false, true] {
        let more = "Content-Length: 5\r\n\r\nwhole";
        let answer = upload("/once/x", carried, more, EarlyEnd::Read).await;
        assert_eq!((answer.status, answer.text()), (200, "whole".into()));
    }
}

// Guards against a stream that is lost since it was whole before the upload was.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_whole_stream_is_passed_on_before_the_upload_ends() {
    let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    let body = [events(1, 3), chunk("")].concat();
    let more = head.to_owned() + &String::from_utf8_lossy(&body);
    let answer = upload("/stream/x", false, &more, EarlyEnd::Read).await;
    assert!(answer.complete, "{}", answer.head);
    let expected: String = (1..=3).map(event).collect();
    assert_eq!(answer.text(), expected);
}
