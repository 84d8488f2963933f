//! Upstreams in trouble that answer with a status that is none.

use monsoonbank_standin::raw::RawRequest;
use monsoonbank_standin::scripted::{AnswerScript, ScriptStep};

use crate::world::{RawAnswer, World, good_answer, request, script, send};

/// Id of a call that is answered well.
const GOOD: &str = "good";
/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

/// Way in which a call reaches its upstream.
#[derive(Clone, Copy, Debug)]
enum CallWay {
    /// On a new connection.
    New,
    /// On a connection that has carried another call.
    Kept,
    /// Sent on by another node.
    Carried,
}

/// Answers with this status, and otherwise as an upstream does.
fn answers_with(status: &'static str) -> AnswerScript {
    script(move |request: &RawRequest, _| {
        let id = request.header("x-attempt-id");
        if id == GOOD {
            return vec![ScriptStep::Send(good_answer(request))];
        }
        let text = format!(
            "HTTP/1.1 {status} Odd\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: signed-{id}\r\n\
             Content-Length: 3\r\n\r\nodd"
        );
        vec![ScriptStep::Send(text.into_bytes())]
    })
}

async fn call(status: &'static str, path: &str, way: CallWay) -> RawAnswer {
    let world = World::start(&["east"], vec![answers_with(status)]).await;
    if matches!(way, CallWay::Kept) {
        let answer = world.send(&request("/safe/x", GOOD, "")).await;
        assert_eq!(answer.status, 200, "{}", answer.head);
    }
    let (port, more) = match way {
        CallWay::New | CallWay::Kept => (4000, ""),
        CallWay::Carried => (4010, SENT_ON),
    };
    let text = request(path, "a1", more);
    send(world.nodes[0].address(port), text.as_bytes()).await
}

/// Each case gives the status, the path of the call and its way.
macro_rules! invalid_statuses {
    ($($name:ident: $status:literal, $path:literal, $way:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let answer = call($status, $path, $way).await;
            assert_eq!((answer.status, answer.complete), (502, true), "{}", answer.head);
            assert!(!answer.has("x-response-seal"), "{}", answer.head);
        }
    )*};
}

// Guards against a status that is none, or that is not final, as a caller's answer.
invalid_statuses! {
    status_000: "000", "/once/x", CallWay::New;
    status_099: "099", "/once/x", CallWay::New;
    status_101: "101", "/once/x", CallWay::New;
    status_101_of_a_repeatable_call: "101", "/safe/x", CallWay::New;
    status_600: "600", "/once/x", CallWay::New;
    status_600_of_a_repeatable_call: "600", "/safe/x", CallWay::New;
    status_600_of_a_stream: "600", "/stream/x", CallWay::New;
    status_600_of_a_stream_that_may_be_resumed: "600", "/resume/x", CallWay::New;
    status_600_on_a_kept_connection: "600", "/once/x", CallWay::Kept;
    status_600_through_another_node: "600", "/once/x", CallWay::Carried;
    status_999: "999", "/once/x", CallWay::New;
    status_999_of_a_repeatable_call: "999", "/safe/x", CallWay::New;
    status_999_through_another_node: "999", "/safe/x", CallWay::Carried;
}
