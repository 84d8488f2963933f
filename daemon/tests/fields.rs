//! Fields of completion requests that the router reads.

use monsoonbank_daemon::completions::CompletionKind;
use monsoonbank_daemon::fields::CompletionFields;
use xxhash_rust::xxh3::xxh3_64;

fn parse(kind: CompletionKind, body: &str) -> Result<CompletionFields, String> {
    CompletionFields::parse(kind, body.as_bytes()).map_err(|error| error.message.into())
}

/// Defines a case: a chat request's fields besides the model, and the text that its prefix is of.
macro_rules! prefixes {
    ($($name:ident: $fields:expr => $text:expr;)*) => {$(
        #[test]
        fn $name() {
            let body = format!("{{\"model\": \"writer\", {}}}", $fields);
            let fields = parse(CompletionKind::Chat, &body).expect("valid fields");
            assert_eq!(fields.prefix, xxh3_64($text.as_bytes()));
            assert_eq!(&*fields.model, "writer");
        }
    )*};
}

prefixes! {
    contents_are_joined: r#""messages": [{"content": "a"}, {"role": "user", "content": "b"}]"# => "a\nb";
    escapes_are_decoded: r#""messages": [{"content": "a\"\u00e4"}]"# => "a\"ä";
    contents_that_are_no_text_are_left_out:
        r#""messages": [{"content": ["x"]}, 7, {"role": "user"}, {"content": "b"}]"# => "b";
    an_empty_content_counts: r#""messages": [{"content": ""}, {"content": "b"}]"# => "\nb";
    a_prefix_has_256_bytes:
        format!(r#""messages": [{{"content": "{}"}}, {{"content": "b"}}]"#, "x".repeat(300))
        => "x".repeat(256);
    a_prefix_ends_inside_the_next_content:
        format!(r#""messages": [{{"content": "{}"}}, {{"content": "bc"}}]"#, "x".repeat(254))
        => "x".repeat(254) + "\nb";
}

#[test]
fn fields_are_read() {
    let body = r#"{"model": "m", "prompt": "p", "stream": true, "n": 1, "max_tokens": 7,
        "stream_options": {"include_usage": true}, "other": [0, 0]}"#;
    let fields = parse(CompletionKind::Text, body).expect("valid fields");
    let expected = CompletionFields {
        model: "m".into(),
        streamed: true,
        include_usage: true,
        max_tokens: 7,
        prefix: xxh3_64(b"p"),
    };
    assert_eq!(fields, expected);
}

/// Defines a case: a text request's fields besides the model, and the field that its error names.
macro_rules! refuses {
    ($($name:ident: $fields:expr => $field:expr;)*) => {$(
        #[test]
        fn $name() {
            let body = format!("{{\"model\": \"writer\", {}}}", $fields);
            let error = parse(CompletionKind::Text, &body).expect_err("an error");
            assert!(error.contains(concat!("field `", $field, "`")), "{error}");
        }
    )*};
}

refuses! {
    a_prompt_that_is_a_list: r#""prompt": ["a"]"# => "prompt";
    no_prompt: r#""stream": false"# => "prompt";
    too_many_tokens: r#""prompt": "a", "max_tokens": 4294967296"# => "max_tokens";
    negative_tokens: r#""prompt": "a", "max_completion_tokens": -1"# => "max_completion_tokens";
    two_answers: r#""prompt": "a", "n": 2"# => "n";
}
