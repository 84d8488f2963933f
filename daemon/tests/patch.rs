//! Patches of configurations between nodes: whatever the texts and whatever was damaged, a node has
//! either exactly its source's text or its own.

use bytes::Bytes;
use monsoonbank_daemon::gateway::patch::{PatchError, TextHistory, TextPatch, text_digest};
use proptest::prelude::*;

/// A text of many like parts, as configurations are.
fn text(parts: &[u16]) -> Vec<u8> {
    let part = |part: &u16| format!("{{\"name\":\"r-{part}\",\"priority\":2}},");
    parts
        .iter()
        .flat_map(|number| part(number).into_bytes())
        .collect()
}

fn encoded(patch: &TextPatch) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(patch, &mut bytes).expect("written");
    bytes
}

proptest! {
    #[test]
    fn a_patch_gives_the_text_that_it_was_made_of(
        base in prop::collection::vec(any::<u16>(), 0..200),
        added in prop::collection::vec(any::<u16>(), 0..200),
        kept in 0_usize..200,
    ) {
        let base = text(&base);
        let mut newest = base[..kept.min(base.len())].to_vec();
        newest.extend(text(&added));
        for base in [None, Some(&base[..])] {
            let patch = TextPatch::new(base, &newest).expect("a patch");
            let sent: TextPatch = ciborium::from_reader(&encoded(&patch)[..]).expect("read");
            prop_assert_eq!(&sent.apply(base).expect("a text")[..], &newest[..]);
        }
    }

    #[test]
    fn a_damaged_patch_gives_nothing_else(at in any::<prop::sample::Index>(), by in 1_u8..) {
        let base = text(&[1, 2, 3, 4]);
        let newest = text(&[1, 2, 9, 3, 4]);
        let mut bytes = encoded(&TextPatch::new(Some(&base), &newest).expect("a patch"));
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        if let Ok(patch) = ciborium::from_reader::<TextPatch, _>(&bytes[..])
            && let Ok(text) = patch.apply(Some(&base))
        {
            prop_assert_eq!(&text[..], &newest[..]);
        }
    }
}

#[test]
fn a_patch_for_another_text_is_refused() {
    let patch = TextPatch::new(Some(b"one"), b"two").expect("a patch");
    for base in [None, Some(&b"other"[..])] {
        assert!(matches!(patch.apply(base), Err(PatchError::OtherBase)));
    }
}

#[test]
fn a_patch_that_would_fill_the_memory_is_refused() {
    let patch = TextPatch::new(None, &vec![b'x'; 17 << 20]).expect("a patch");
    assert!(encoded(&patch).len() < 10_000);
    assert!(matches!(patch.apply(None), Err(PatchError::OtherText)));
}

fn history(texts: &[&'static [u8]]) -> TextHistory {
    let mut history = TextHistory::default();
    for text in texts {
        history.put(Bytes::from_static(text));
    }
    history
}

/// The base of the patch that a node with these texts gives, and what it makes of `base`.
fn given(texts: &mut TextHistory, base: &[u8]) -> (Option<u64>, Bytes) {
    let patch = texts.patch_from(Some(text_digest(base))).expect("made");
    let patch = patch.expect("a text");
    (patch.base(), patch.apply(Some(base)).expect("a text"))
}

#[test]
fn a_node_without_a_text_gives_no_patch() {
    assert!(history(&[]).patch_from(None).expect("made").is_none());
}

#[test]
fn texts_of_a_moment_ago_get_a_patch_and_others_the_whole() {
    let mut texts = history(&[b"one", b"two", b"three", b"four"]);
    let newest = Bytes::from_static(b"four");
    let digest = |text| Some(text_digest(text));
    assert_eq!(
        given(&mut texts, b"three"),
        (digest(b"three"), newest.clone())
    );
    assert_eq!(given(&mut texts, b"two"), (digest(b"two"), newest.clone()));
    assert_eq!(given(&mut texts, b"one"), (None, newest.clone()));
    assert_eq!(given(&mut texts, b"never"), (None, newest));
}

#[test]
fn a_patch_that_was_received_is_passed_on_until_the_next_text() {
    let base = b"a text that this node never had";
    let patch = TextPatch::new(Some(base), b"two").expect("a patch");
    let mut texts = history(&[b"one", b"two"]);
    texts.keep_patch(patch);
    assert_eq!(given(&mut texts, base).0, Some(text_digest(base)));
    texts.put(Bytes::from_static(b"three"));
    assert_eq!(given(&mut texts, base).0, None);
}
