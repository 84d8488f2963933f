//! Prompt parts that engines cached before a node started.

use monsoonbank_standin::scripted::{AnswerScript, ScriptStep};
use serde_json::json;

use crate::world::{World, configuration, good_answer, request, script, until};

/// Makes the script of an engine that lists these cached parts.
fn caches(list: &'static str) -> AnswerScript {
    script(move |request, _| {
        if &*request.target != "/kv-list" {
            return vec![ScriptStep::Send(good_answer(request))];
        }
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        vec![ScriptStep::Send((head + list).into_bytes())]
    })
}

const EMPTY: &str = r#"{"epoch":"a","next":0,"held":[]}"#;
const PROMPT: &str = r#"{"epoch":"a","next":3,"held":[["","5c1e07a2",4800,"m"]]}"#;

/// Defines a case: the lists of two engines that cached parts before a node starts, and how many
/// tokens of a call's prompt the node then counts as cached and not to be processed.
macro_rules! listed {
    ($($name:ident: $lists:expr => $known:literal;)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            let scripts = $lists.into_iter().map(caches).collect();
            let world = World::start(&[], scripts).await;
            let mut rules = configuration(2);
            rules["services"][0]["engine"] = json!({ "kvCapacity": 500_000, "stride": 5 });
            world.publish(&rules);
            let world = world.with_nodes(&["east"]).await;
            let listed = |line: &serde_json::Value| line["event"] == "cache_listed";
            until("both engines were queried", async || {
                world.nodes[0].lines().iter().filter(|line| listed(line)).count() == 2
            })
            .await;
            let prompt = "X-Model: m\r\nX-Token-Counts: 5000,10\r\n\
                          X-Prompt-Prefix: 5c1e07a2:4800,91bd3f06:200\r\n";
            let answer = world.send(&request("/safe/x", "a1", prompt)).await;
            assert_eq!(answer.status, 200);
            let sent = |line: &serde_json::Value| line["event"] == "sent";
            until("the call is recorded", async || {
                world.nodes[0].lines().iter().any(sent)
            })
            .await;
            let lines = world.nodes[0].lines();
            let line = lines.iter().find(|line| sent(line)).expect("a line");
            assert_eq!((&line["known"], &line["unread"]), (&json!($known), &json!(5000 - $known)));
        }
    )*};
}

listed! {
    the_first_engine_caches_the_prompt: [PROMPT, EMPTY] => 4800;
    the_second_engine_caches_the_prompt: [EMPTY, PROMPT] => 4800;
    no_engine_caches_the_prompt: [EMPTY, EMPTY] => 0;
    a_malformed_list_is_ignored: ["no JSON", PROMPT] => 4800;
    a_part_with_a_malformed_id_is_ignored: [r#"{"held":[["","x",1,"m"]]}"#, PROMPT] => 4800;
}
