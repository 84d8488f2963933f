//! Tests of the digest of a call's content.

use monsoonbank_kernel::gateway::content::{ContentDigest, ContentParts};

const CALL: ContentParts<&[u8]> = ContentParts {
    host: "calls.example",
    method: "POST",
    target: "/chat/7",
    workspace: Some("desk"),
    body: &[b"hello"],
};

macro_rules! differs {
    ($($name:ident: $field:ident = $value:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let other = ContentParts { $field: $value, ..CALL };
                assert_ne!(ContentDigest::of(&CALL), ContentDigest::of(&other));
            }
        )*
    };
}

differs! {
    another_body_is_another_call: body = &[b"hello!".as_slice()];
    another_path_is_another_call: target = "/chat/8";
    another_method_is_another_call: method = "PUT";
    another_host_is_another_call: host = "other.example";
    another_workspace_is_another_call: workspace = Some("yard");
    a_call_of_no_workspace_is_another_call: workspace = None;
}

#[test]
fn parts_do_not_run_into_each_other() {
    let shifted = ContentParts {
        target: "/chat/7d",
        workspace: Some("esk"),
        ..CALL
    };
    assert_ne!(ContentDigest::of(&CALL), ContentDigest::of(&shifted));
}

#[test]
fn the_pieces_of_a_body_do_not_matter() {
    let pieces: &[&[u8]] = &[b"he", b"", b"llo"];
    let other = ContentParts {
        body: pieces,
        ..CALL
    };
    assert_eq!(ContentDigest::of(&CALL), ContentDigest::of(&other));
}
