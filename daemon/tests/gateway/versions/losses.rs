//! Streams whose callers return after the node that began them was lost.

use monsoonbank_standin::scripted::ScriptStep::{Hang, Send};

use crate::versions::{
    BEGINNER, BEGUN, BegunStream, EVENTS, STREAMS, all_events, all_know, assert_complete,
    assert_resumed, begins, calls_at_second_version, knows, last_event, resume, resumption,
    second_version_comes, serves_rest, start, start_with,
};
use crate::world::{chunk, events, request, script, send, stream_head};

/// What happens to the node that began streams before their callers return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NodeLoss {
    /// Its process is killed.
    Killed,
    /// It does not answer any more.
    CutOff,
}

async fn resumes_after_a_loss(loss: NodeLoss) {
    let mut world = start(&["east", "east", "west"], begins()).await;
    let mut streams = Vec::new();
    for id in STREAMS {
        streams.push(BegunStream::begin(&world.nodes[0], id).await);
    }
    second_version_comes(&world).await;
    match loss {
        NodeLoss::Killed => world.nodes[0].child.kill().expect("killed"),
        NodeLoss::CutOff => world.nodes[0].signal("-STOP"),
    }
    for (index, stream) in streams.into_iter().enumerate() {
        let first = stream.leave();
        let node = &world.nodes[1 + index % 2];
        let answer = resume(node, &format!("{first}-again"), &first).await;
        assert_resumed(&world, &answer);
    }
}

/// Defines a case: what happens to the node that began the streams.
macro_rules! node_losses {
    ($($name:ident: $loss:expr;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            resumes_after_a_loss($loss).await;
        }
    )*};
}

// Guards against a stream whose software version only the node that began it knows.
node_losses! {
    a_stream_goes_on_at_its_version_after_its_node_was_killed: NodeLoss::Killed;
    a_stream_goes_on_at_its_version_after_its_node_was_cut_off: NodeLoss::CutOff;
}

// Guards against a caller that returns before other nodes were told of its stream.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_if_its_node_is_killed_at_its_first_event() {
    let mut world = start(&["east", "east", "west"], begins()).await;
    world.register_version(1, "i-1", "v1", "north");
    all_know(&world, 2).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    world.nodes[0].child.kill().expect("killed");
    let first = stream.leave();
    world.deregister(BEGINNER);
    knows(&world.nodes[1], 1).await;
    let answer = resume(&world.nodes[1], "a2", &first).await;
    assert_resumed(&world, &answer);
}

// Guards against a node that lost what it knew with its process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_its_version_at_a_node_that_restarted() {
    let mut world = start(&["east", "east", "west"], begins()).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    second_version_comes(&world).await;
    world.nodes[0].child.kill().expect("killed");
    world.nodes[0].child.wait().expect("ended");
    let first = stream.leave();
    world.nodes[0].restart();
    world.nodes[0].ready().await;
    knows(&world.nodes[0], world.upstreams.len() - 1).await;
    let answer = resume(&world.nodes[0], "a2", &first).await;
    assert_resumed(&world, &answer);
}

// Guards against a stream that is lost when its caller returns a second time, which still names the
// first attempt, and after the node that it returned to first was killed too.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_goes_on_at_its_version_twice_over() {
    let stops_again = script(|request, _| {
        let last = last_event(request);
        let mut steps = vec![Send(stream_head(request))];
        if last == BEGUN {
            steps.extend([Send(events(BEGUN + 1, BEGUN + 1)), Hang]);
        } else {
            steps.extend([Send(events(last + 1, EVENTS)), Send(chunk(""))]);
        }
        steps
    });
    let mut scripts = vec![begins(), stops_again];
    scripts.extend(vec![serves_rest(); 3]);
    let mut world = start_with(&["east", "east", "west"], scripts).await;
    let stream = BegunStream::begin(&world.nodes[0], "a1").await;
    second_version_comes(&world).await;
    world.nodes[0].child.kill().expect("killed");
    let first = stream.leave();
    let more = resumption(&first, BEGUN);
    let address = world.nodes[1].address(4000);
    let again = BegunStream::read_until(address, "a2", &more, BEGUN + 1).await;
    world.nodes[1].child.kill().expect("killed");
    again.leave();
    let text = request("/resume/x", "a3", &resumption(&first, BEGUN + 1));
    let answer = send(world.nodes[2].address(4000), text.as_bytes()).await;
    assert_complete(&answer);
    assert_eq!(answer.text(), all_events(BEGUN + 2, EVENTS));
    assert_eq!(calls_at_second_version(&world), 0);
}

/// Header lines of a call that another node sends on.
const SENT_ON: &str = "X-Monsoonbank-Version: 1\r\nX-Monsoonbank-Sends: 0\r\n";

// Guards against a stream that a node carries for another one and keeps from others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_another_node_carries_goes_on_at_its_version() {
    let mut world = start(&["east", "east", "west"], begins()).await;
    let carrier = world.nodes[0].address(4010);
    let stream = BegunStream::begin_at(carrier, "a1", SENT_ON).await;
    second_version_comes(&world).await;
    world.nodes[0].child.kill().expect("killed");
    let first = stream.leave();
    let answer = resume(&world.nodes[1], "a2", &first).await;
    assert_resumed(&world, &answer);
    // The caller returns to a node that sends the call on again.
    let more = resumption(&first, BEGUN) + SENT_ON;
    let text = request("/resume/x", "a3", &more);
    let answer = send(world.nodes[2].address(4010), text.as_bytes()).await;
    assert_resumed(&world, &answer);
}
