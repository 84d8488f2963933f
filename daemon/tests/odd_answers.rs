//! Plain services in trouble, at the product's own interface: a status that is none, and answers that break
//! off while the upload goes on.

mod common;

use std::time::Duration;

use common::{TestFleet, configuration, wait_until};
use monsoonbank_kernel::config::Document;
use monsoonbank_kernel::record::{ChangeRecord, Record};
use monsoonbank_standin::early::{EarlyAnswer, EarlyEnd, EarlyUpstream};
use reqwest::StatusCode;
use serde_json::{Value, json};

/// Size of the uploads, far more than the buffers of a connection hold.
const UPLOAD_BYTES: usize = 512 << 10;
const SOON: EarlyEnd = EarlyEnd::Reset(Duration::from_millis(50));

/// Kind of a call to the plain service.
#[derive(Clone, Copy, Debug)]
enum Call {
    /// It may run several times.
    Repeatable,
    /// It may run once, under an idempotency key.
    Keyed,
}

/// Starts a node whose only plain service answers so.
async fn start(text: &str, end: EarlyEnd) -> (TestFleet, EarlyUpstream) {
    let fleet = TestFleet::start(1, 1).await;
    let answer = EarlyAnswer {
        text: text.into(),
        end,
    };
    let upstream = EarlyUpstream::start("127.0.0.1:0", answer).await;
    let upstream = upstream.expect("a port");
    let mut file = configuration(&fleet.engines, &fleet.service);
    let address = upstream.address().to_string();
    for entry in file["upstreams"].as_array_mut().expect("upstreams") {
        if entry["name"] == "gate-0" {
            entry["address"] = address.clone().into();
        }
    }
    let file = serde_json::from_value(file).expect("a valid configuration");
    let shared = fleet.nodes[0].shared().clone();
    let mut change = ChangeRecord::from_file("second", &file);
    let is_gate = |document: &Option<Document>| matches!(document, Some(Document::Upstream(upstream)) if &*upstream.name == "gate-0");
    change.changes.retain(|one| is_gate(&one.content));
    for one in &mut change.changes {
        one.replaces = shared.config().version;
    }
    let record = serde_json::to_value(Record::Change(change));
    fleet.log.append(record.expect("a serializable record"));
    wait_until("the node applies the configuration", || {
        let config = shared.config();
        let mut addresses = config.upstreams.values().map(|known| &known.spec.address);
        addresses.any(|known| **known == *address)
    })
    .await;
    (fleet, upstream)
}

/// Uploads to the service and returns the status and body of the answer; `None` if it breaks off.
async fn upload(fleet: &TestFleet, call: Call) -> Option<(StatusCode, Vec<u8>)> {
    let body: Value = json!({ "text": "x".repeat(UPLOAD_BYTES) });
    let answer = match call {
        Call::Repeatable => fleet.post(0, "/services/gate/passes/7", &body).await,
        Call::Keyed => {
            let keys = fleet.mint_keys(0, 1).await;
            fleet.release_locker(0, &keys[0], &body).await
        }
    };
    let status = answer.status();
    Some((status, answer.bytes().await.ok()?.to_vec()))
}

/// Each case gives the kind of call, and an answer that is none or breaks off.
macro_rules! odd_answers {
    ($($name:ident: $call:expr, $text:expr, $end:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread")]
        async fn $name() {
            let (fleet, _upstream) = start($text, $end).await;
            let answer = upload(&fleet, $call).await;
            let status = answer.as_ref().map(|(status, _)| *status);
            assert!(
                status.is_none_or(|status| [502, 503, 504].contains(&status.as_u16())),
                "{answer:?}"
            );
        }
    )*};
}

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";

// Guards against a status that is none, and against a part of an answer, as a caller's answer.
odd_answers! {
    a_service_answers_000: Call::Repeatable,
        "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd", EarlyEnd::Read;
    a_service_answers_101: Call::Repeatable,
        "HTTP/1.1 101 Odd\r\nContent-Length: 3\r\n\r\nodd", EarlyEnd::Read;
    a_service_answers_600: Call::Repeatable,
        "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nodd", EarlyEnd::Read;
    a_service_answers_999: Call::Repeatable,
        "HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nodd", EarlyEnd::Read;
    a_service_answers_600_to_a_call_that_may_run_once: Call::Keyed,
        "HTTP/1.1 600 Odd\r\nContent-Length: 3\r\n\r\nodd", EarlyEnd::Read;
    a_service_breaks_off_an_unframed_answer: Call::Repeatable, UNFRAMED, SOON;
    a_service_breaks_off_at_once: Call::Repeatable, UNFRAMED, EarlyEnd::Reset(Duration::ZERO);
    a_service_closes_with_the_upload_unread: Call::Repeatable, UNFRAMED, EarlyEnd::Close;
    a_service_breaks_off_a_call_that_may_run_once: Call::Keyed, UNFRAMED, SOON;
}

// Guards against an answer that is lost since it was whole before the upload was.
#[tokio::test(flavor = "multi_thread")]
async fn a_whole_answer_is_passed_on_before_the_upload_ends() {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";
    let (fleet, _upstream) = start(text, EarlyEnd::Read).await;
    let answer = upload(&fleet, Call::Repeatable).await;
    assert_eq!(answer, Some((StatusCode::OK, b"whole".to_vec())));
}
