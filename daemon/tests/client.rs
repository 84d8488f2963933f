//! A client library of the completions API works with the router when only its base URL is changed.

mod common;

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{
    ChatCompletionRequestUserMessage, CreateChatCompletionRequest, CreateChatCompletionRequestArgs,
};
use common::{TOKEN, TestFleet};
use futures_util::StreamExt;
use monsoonbank_standin::answer::expected_answer;

fn request(prompt: &str) -> CreateChatCompletionRequest {
    CreateChatCompletionRequestArgs::default()
        .model("writer")
        .max_completion_tokens(9_u32)
        .messages(vec![ChatCompletionRequestUserMessage::from(prompt).into()])
        .build()
        .expect("a request")
}

fn client(fleet: &TestFleet) -> Client<OpenAIConfig> {
    let base = format!("http://{}/v1", fleet.nodes[0].callers);
    Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(TOKEN))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_gets_a_whole_answer() {
    let fleet = TestFleet::start(2, 2).await;
    let answer = client(&fleet)
        .chat()
        .create(request("by library"))
        .await
        .expect("an answer");
    let text = answer.choices[0].message.content.as_deref();
    assert_eq!(text, Some(&*expected_answer("by library", 9)));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_gets_a_stream() {
    let fleet = TestFleet::start(2, 2).await;
    let request = request("in pieces");
    let mut stream = client(&fleet)
        .chat()
        .create_stream(request)
        .await
        .expect("a stream");
    let mut text = String::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.expect("a chunk");
        let content = chunk
            .choices
            .first()
            .and_then(|choice| choice.delta.content.clone());
        text.push_str(&content.unwrap_or_default());
    }
    assert_eq!(text, expected_answer("in pieces", 9));
}
