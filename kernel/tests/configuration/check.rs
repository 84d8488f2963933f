//! Errors of a configuration check: position, field and expected value.

use monsoonbank_kernel::config::text::check_text;

use crate::support::BASE;

macro_rules! fault {
    ($name:ident, $old:expr => $new:expr, $expected:expr) => {
        #[test]
        fn $name() {
            assert!(BASE.contains($old));
            let text = BASE.replacen($old, $new, 1);
            let faults = check_text("base.yaml", &text).expect_err("it has a fault");
            let found: Vec<String> = faults.iter().map(ToString::to_string).collect();
            assert_eq!(found, [$expected]);
        }
    };
}

#[test]
fn examples_are_valid() {
    for name in ["tauhere", "bengal"] {
        let path = format!(
            "{}/../examples/{name}/config.yaml",
            env!("CARGO_MANIFEST_DIR")
        );
        let text = std::fs::read_to_string(path).expect("the example exists");
        let found = check_text(name, &text).map(|_| ());
        assert_eq!(found, Ok(()));
    }
}

fault!(unknown_field, "floor: 0.1" => "flor: 0.1",
    "base.yaml:4:16: tiers[1].flor: unknown field `flor`, expected `tier` or `floor`");
fault!(missing_field, "tier: 0, target: 1s, " => "tier: 0, ",
    "base.yaml:6:5: classes[0]: missing field `target`");
fault!(wrong_type, "slots: 4" => "slots: many",
    "base.yaml:11:80: upstreams[0].slots: invalid type: string \"many\", expected u32");
fault!(wrong_duration, "target: 1s" => "target: soon",
    "base.yaml:6:36: classes[0].target: invalid value: string \"soon\", expected a duration such as `650ms`");
fault!(zero_duration, "target: 1s" => "target: 0s",
    "base.yaml:6:36: classes[0].target: target is 0; expected a duration above 0 such as `650ms`");
fault!(unknown_class, "class: chat }" => "class: talk }",
    "base.yaml:13:61: rules[0].then.class: unknown class `talk`; expected one of chat, digest");
fault!(unknown_pool, "pool: writer, zone" => "pool: reader, zone",
    "base.yaml:11:29: upstreams[0].pool: unknown pool `reader`; expected one of writer");
fault!(unknown_model, "models: [writer]" => "models: [reader]",
    "base.yaml:13:35: rules[0].when.models[0]: unknown pool `reader`; expected one of writer");
fault!(impossible_floors, "floor: 0.0" => "floor: 0.95",
    "base.yaml:3:3: tiers: floors sum to 1.050; expected at most 1");
fault!(zero_floor, "floor: 0.1" => "floor: 0.0",
    "base.yaml:4:23: tiers[1].floor: floor of tier 1 is 0; expected more than 0");
fault!(duplicate_name, "name: digest" => "name: chat",
    "base.yaml:7:13: classes[1].name: `chat` is also classes[0]; expected another name");
fault!(bad_address, "127.0.0.1:7001" => "engine.local:7001",
    "base.yaml:11:55: upstreams[0].address: `engine.local:7001` is no address; expected an IP number and port such as `10.0.0.7:8000`");
fault!(zero_slots, "slots: 4" => "slots: 0",
    "base.yaml:11:80: upstreams[0].slots: 0 slots; expected 1 or more");
fault!(unreachable_rule, "rules:" => "rules:\n  - { name: any, then: { class: chat } }",
    "base.yaml:14:5: rules[1]: rule `all` is never reached; expected it before rule `any`, which matches all that it matches");
fault!(broken_yaml, "rules:" => "rules: [",
    "base.yaml:13:3: rules: did not find expected node content");
