//! Patches of configurations between nodes. Whatever the texts and whatever was damaged, a node
//! ends up with either its source's text or its own.

use bytes::Bytes;
use monsoonbank_daemon::gateway::patch::{
    ConfigurationHistory, ConfigurationPatch, PatchError, text_digest,
};
use proptest::prelude::*;

/// Builds a text of many similar parts, as in a configuration.
fn text(parts: &[u16]) -> Vec<u8> {
    let part = |part: &u16| format!("{{\"name\":\"r-{part}\",\"priority\":2}},");
    parts
        .iter()
        .flat_map(|number| part(number).into_bytes())
        .collect()
}

fn encoded(patch: &ConfigurationPatch) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(patch, &mut bytes).expect("written");
    bytes
}

proptest! {
    #[test]
    fn a_patch_produces_the_text_that_it_was_made_of(
        base in prop::collection::vec(any::<u16>(), 0..200),
        added in prop::collection::vec(any::<u16>(), 0..200),
        kept in 0_usize..200,
    ) {
        let base = text(&base);
        let mut newest = base[..kept.min(base.len())].to_vec();
        newest.extend(text(&added));
        for base in [None, Some(&base[..])] {
            let patch = ConfigurationPatch::new(base, &newest).expect("a patch");
            let sent: ConfigurationPatch = ciborium::from_reader(&encoded(&patch)[..]).expect("read");
            prop_assert_eq!(&sent.apply(base).expect("a text")[..], &newest[..]);
        }
    }

    #[test]
    fn a_damaged_patch_produces_no_other_text(at in any::<prop::sample::Index>(), by in 1_u8..) {
        let base = text(&[1, 2, 3, 4]);
        let newest = text(&[1, 2, 9, 3, 4]);
        let mut bytes = encoded(&ConfigurationPatch::new(Some(&base), &newest).expect("a patch"));
        let at = at.index(bytes.len());
        bytes[at] ^= by;
        if let Ok(patch) = ciborium::from_reader::<ConfigurationPatch, _>(&bytes[..])
            && let Ok(text) = patch.apply(Some(&base))
        {
            prop_assert_eq!(&text[..], &newest[..]);
        }
    }
}

#[test]
fn a_patch_for_another_text_is_refused() {
    let patch = ConfigurationPatch::new(Some(b"one"), b"two").expect("a patch");
    for base in [None, Some(&b"other"[..])] {
        assert!(matches!(patch.apply(base), Err(PatchError::OtherBase)));
    }
}

#[test]
fn a_patch_that_would_fill_the_memory_is_refused() {
    let patch = ConfigurationPatch::new(None, &vec![b'x'; 17 << 20]).expect("a patch");
    assert!(encoded(&patch).len() < 10_000);
    assert!(matches!(patch.apply(None), Err(PatchError::OtherText)));
}

fn history(texts: &[&'static [u8]]) -> ConfigurationHistory {
    let mut history = ConfigurationHistory::default();
    for text in texts {
        history.put(Bytes::from_static(text));
    }
    history
}

/// Returns the base of the patch that a node with these texts makes for `base`, and the text that
/// the patch makes of `base`.
fn apply_patch(texts: &mut ConfigurationHistory, base: &[u8]) -> (Option<u64>, Bytes) {
    let patch = texts.patch_from(Some(text_digest(base))).expect("made");
    let patch = patch.expect("a text");
    (patch.base(), patch.apply(Some(base)).expect("a text"))
}

#[test]
fn a_node_without_a_text_has_no_patch() {
    assert!(history(&[]).patch_from(None).expect("made").is_none());
}

#[test]
fn recent_texts_get_a_patch_and_others_the_complete_text() {
    let mut texts = history(&[b"one", b"two", b"three", b"four"]);
    let newest = Bytes::from_static(b"four");
    let digest = |text| Some(text_digest(text));
    assert_eq!(
        apply_patch(&mut texts, b"three"),
        (digest(b"three"), newest.clone())
    );
    assert_eq!(
        apply_patch(&mut texts, b"two"),
        (digest(b"two"), newest.clone())
    );
    assert_eq!(apply_patch(&mut texts, b"one"), (None, newest.clone()));
    assert_eq!(apply_patch(&mut texts, b"never"), (None, newest));
}

#[test]
fn a_received_patch_is_served_until_the_next_text() {
    let base = b"a text that this node never had";
    let patch = ConfigurationPatch::new(Some(base), b"two").expect("a patch");
    let mut texts = history(&[b"one", b"two"]);
    texts.keep_patch(patch);
    assert_eq!(apply_patch(&mut texts, base).0, Some(text_digest(base)));
    texts.put(Bytes::from_static(b"three"));
    assert_eq!(apply_patch(&mut texts, base).0, None);
}

/// Builds a configuration's text as an operator's tool writes it, some 190 bytes per rule.
fn rules_text(version: u64, rules: u64) -> Vec<u8> {
    let rule = |index: u64| {
        let draw = |salt: u64| (index + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15 ^ salt) >> 16;
        serde_json::json!({ "name": format!("r-{:x}", draw(0)), "host": "calls.example",
            "pathPrefix": format!("/{:x}/", draw(0xABCD)), "kind": "idempotent",
            "timeoutMs": 800, "targetLatencyMs": 150, "priority": 2, "service": "model",
            "maxAttempts": 2, "public": false })
    };
    let routes: Vec<serde_json::Value> = (0..rules).map(rule).collect();
    let text = serde_json::json!({ "version": version, "routes": routes });
    text.to_string().into_bytes()
}

/// Returns the size of a frame of zstd's level 3 with its default tables, for comparison.
fn default_frame_size(base: &[u8], text: &[u8]) -> usize {
    let mut encoder = zstd::stream::Encoder::with_ref_prefix(Vec::new(), 3, base).expect("made");
    encoder
        .set_pledged_src_size(Some(text.len() as u64))
        .expect("set");
    let reach = usize::BITS - (base.len() + text.len()).leading_zeros();
    encoder.window_log(reach).expect("set");
    std::io::Write::write_all(&mut encoder, text).expect("written");
    encoder.finish().expect("finished").len()
}

/// Bytes that a change may cost a node. At 4 KB a second, 14,000 changes a day leave 6.2 s for
/// each.
const CHANGE_BYTES: usize = 24_700;

#[test]
fn one_rule_more_of_many_costs_no_more_than_a_node_may_spend_on_a_change() {
    for rules in [4_250, 8_000] {
        let (base, newest) = (rules_text(7, rules), rules_text(9, rules + 1));
        let patch = encoded(&ConfigurationPatch::new(Some(&base), &newest).expect("a patch")).len();
        let whole = encoded(&ConfigurationPatch::new(None, &newest).expect("a patch")).len();
        println!(
            "{rules} rules and one more: {} bytes of text, patch {patch}, whole compressed {whole}, \
             level 3 with its own tables {}",
            newest.len(),
            default_frame_size(&base, &newest)
        );
        assert!(patch < CHANGE_BYTES, "{patch} bytes");
    }
}
