//! `monsoonbankd` in separate processes that are stopped, paused and killed by signals.

mod common;

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use common::process::NodeProcess;
use common::{TestFleet, streamed_text, wait_until};
use monsoonbank_standin::answer::expected_answer;

#[tokio::test(flavor = "multi_thread")]
async fn a_terminated_process_finishes_its_streams_and_exits_with_0() {
    let fleet = TestFleet::start(0, 1).await;
    let mut first = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let second = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let stop = async {
        wait_until("the stream began", || fleet.engines[0].totals().tokens > 5).await;
        first.signal("-TERM");
    };
    let (text, ()) = tokio::join!(first.stream_answer(&fleet, "to the end", 200), stop);
    assert_eq!(streamed_text(&text), expected_answer("to the end", 200));
    assert_eq!(first.wait_for_exit().await.code(), Some(0));
    let text = second.stream_answer(&fleet, "after", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("after", 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_avoid_a_paused_owner_and_succeed_after_it_continues() {
    let fleet = TestFleet::start(0, 1).await;
    let owner = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let entry = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let text = entry.stream_answer(&fleet, "before", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("before", 5));
    owner.signal("-STOP");
    let text = entry.stream_answer(&fleet, "while paused", 30).await;
    owner.signal("-CONT");
    assert_eq!(
        streamed_text(&text),
        expected_answer("while paused", 30),
        "{text}"
    );
    for node in [&owner, &entry] {
        let text = node.stream_answer(&fleet, "awake again", 5).await;
        assert_eq!(
            streamed_text(&text),
            expected_answer("awake again", 5),
            "{text}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_breaks_no_stream_and_is_replaced_by_a_new_process() {
    let fleet = TestFleet::start(0, 1).await;
    let owner = NodeProcess::start(&fleet, "node-0", "zone-0").await;
    let entry = NodeProcess::start(&fleet, "node-1", "zone-1").await;
    let kill = async {
        wait_until("the stream began", || fleet.engines[0].totals().tokens > 5).await;
        owner.signal("-KILL");
    };
    let (text, ()) = tokio::join!(entry.stream_answer(&fleet, "killed owner", 100), kill);
    assert_eq!(
        streamed_text(&text),
        expected_answer("killed owner", 100),
        "{text}"
    );
    let fresh = NodeProcess::start(&fleet, "node-2", "zone-0").await;
    let text = fresh.stream_answer(&fleet, "fresh", 5).await;
    assert_eq!(streamed_text(&text), expected_answer("fresh", 5));
}

#[test]
fn wrong_settings_name_file_line_and_field() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("wrong.yaml");
    fs::write(&file, "name: n\nzone: z\nlisten:\n  callers: nowhere\n").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_monsoonbankd"))
        .arg("--config")
        .arg(&file)
        .output()
        .expect("a process");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        error.contains("wrong.yaml:4: field `listen.callers`"),
        "{error}"
    );
}

#[test]
fn a_host_without_memory_is_refused() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("no-memory.yaml");
    let text = "limits: {descriptors: 4096, cores: 0.25, memory_mb: 0}\n";
    fs::write(&file, text).expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_monsoonbankd"))
        .args(["gateway", "--check", "--config"])
        .arg(&file)
        .output()
        .expect("a process");
    let error = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    for expected in [
        "no-memory.yaml:1: field `limits.memory_mb`",
        "expected a size in MB above 0",
    ] {
        assert!(error.contains(expected), "{error}");
    }
}
