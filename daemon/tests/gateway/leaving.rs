//! Planned shutdowns and reloads cut off no calls.

use std::time::Duration;

use monsoonbank_standin::scripted::ScriptStep::{Send, Wait};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use crate::world::{World, events, get, good, read_answer, request, script, stream_head, until};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_finishes_streams_and_ends_in_time() {
    let slow = script(|request, _| {
        let mut steps = vec![Send(stream_head(request))];
        for id in 1..=10 {
            steps.push(Send(events(id, id)));
            steps.push(Wait(Duration::from_millis(150)));
        }
        steps.push(Send(b"0\r\n\r\n".to_vec()));
        steps
    });
    let mut world = World::start(&["east"], vec![slow]).await;
    let address = world.nodes[0].address(4000);
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream
        .write_all(request("/stream/x", "a1", "").as_bytes())
        .await
        .expect("written");
    until("the call arrives", async || world.arrivals() == 1).await;
    world.nodes[0].signal("-TERM");
    let stopped = Instant::now();
    sleep(Duration::from_millis(100)).await;
    let ready = get(world.nodes[0].address(4001), "/readyz")
        .await
        .expect("an answer");
    assert_eq!(ready.status, 503);
    let lookup = get(world.nodes[0].address(4002), "/lookup?zone=east")
        .await
        .expect("an answer");
    assert_eq!(lookup.status, 503);
    let answer = timeout(Duration::from_secs(5), read_answer(&mut stream))
        .await
        .expect("an answer");
    assert!(answer.complete);
    let ended = timeout(Duration::from_secs(8), async {
        loop {
            if let Some(status) = world.nodes[0].child.try_wait().expect("a status") {
                return status;
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
    assert!(ended.await.expect("an end in time").success());
    assert!(
        stopped.elapsed() < Duration::from_secs(6),
        "{:?}",
        stopped.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_right_after_a_shutdown_signal_are_served() {
    let world = World::start(&["east"], vec![good()]).await;
    let address = world.nodes[0].address(4000);
    let mut late = TcpStream::connect(address).await.expect("a connection");
    world.nodes[0].signal("-TERM");
    sleep(Duration::from_millis(300)).await;
    let answer = world.send(&request("/once/x", "a1", "")).await;
    assert_eq!(answer.status, 200);
    assert!(answer.has("connection: close"));
    // An idle connection is closed; a call sent at the same moment has not been read.
    let _ = late
        .write_all(request("/once/x", "a2", "").as_bytes())
        .await;
    let status = read_answer(&mut late).await.status;
    assert!([0, 200].contains(&status), "{status}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_reload_cuts_nothing_and_reports_a_wrong_file() {
    let world = World::start(&["east"], vec![good()]).await;
    let mut stream = TcpStream::connect(world.nodes[0].address(4000))
        .await
        .expect("a connection");
    for number in 0..5 {
        world.nodes[0].signal("-HUP");
        let id = format!("a{number}");
        stream
            .write_all(request("/safe/x", &id, "").as_bytes())
            .await
            .expect("written");
        assert_eq!(read_answer(&mut stream).await.status, 200);
    }
    world.nodes[0].spoil_settings();
    world.nodes[0].signal("-HUP");
    until("the error is recorded", async || {
        let wrong = |line: &serde_json::Value| {
            line["event"] == "reloaded"
                && line["error"]
                    .as_str()
                    .is_some_and(|error| error.contains("name"))
        };
        world.nodes[0].lines().iter().any(wrong)
    })
    .await;
    assert_eq!(
        world.send(&request("/safe/x", "after", "")).await.status,
        200
    );
}
