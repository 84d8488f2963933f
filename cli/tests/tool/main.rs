//! Golden tests of the output and the exit code of the `monsoon` binary.

mod publish;
mod support;

use crate::support::{monsoon, printed};

macro_rules! golden {
    ($name:ident, $($argument:expr),+) => {
        #[test]
        fn $name() {
            let output = monsoon().args([$($argument),+]).output().expect("the tool runs");
            insta::assert_snapshot!(printed(&output));
        }
    };
}

const TAUHERE: &str = "examples/tauhere/config.yaml";
const BENGAL: &str = "examples/bengal/config.yaml";
const BROKEN: &str = "cli/tests/tool/broken.yaml";

const DECISION_LOG: &str = "cli/tests/tool/decisions.log";
const RESUMPTION_LOG: &str = "cli/tests/tool/resumptions.log";
const BODY_LOG: &str = "cli/tests/tool/bodies.log";
const PAYER_LOG: &str = "cli/tests/tool/payers.log";

golden!(why_no_room, "why", "c1", "--logs", DECISION_LOG);
golden!(why_quarantined, "why", "c7", "--logs", DECISION_LOG);
golden!(why_pool_paused, "why", "c8", "--logs", DECISION_LOG);
golden!(why_too_late, "why", "c6", "--logs", DECISION_LOG);
golden!(why_no_memory, "why", "c1", "--logs", BODY_LOG);
golden!(why_answer_lost, "why", "c2", "--logs", DECISION_LOG);
golden!(why_stream_cut, "why", "c3", "--logs", DECISION_LOG);
golden!(
    why_resumed,
    "why",
    "--format",
    "json",
    "c4",
    "--logs",
    DECISION_LOG
);
golden!(why_start_unknown, "why", "c1", "--logs", RESUMPTION_LOG);
golden!(why_version_gone, "why", "c2", "--logs", RESUMPTION_LOG);
golden!(why_unfinished, "why", "c5", "--logs", DECISION_LOG);
golden!(why_unknown_call, "why", "c9", "--logs", DECISION_LOG);
golden!(why_summary, "why", "--summary", "--logs", DECISION_LOG);
golden!(
    why_by_workspace,
    "why",
    "--summary",
    "--by",
    "workspace",
    "--logs",
    PAYER_LOG
);
golden!(
    why_by_class,
    "why",
    "--summary",
    "--by",
    "class",
    "--logs",
    PAYER_LOG
);
golden!(
    why_by_zone,
    "why",
    "--summary",
    "--by",
    "zone",
    "--format",
    "json",
    "--logs",
    PAYER_LOG
);
golden!(
    why_by_nothing_known,
    "why",
    "--summary",
    "--by",
    "host",
    "--logs",
    PAYER_LOG
);
golden!(why_no_file, "why", "c1", "--logs", "nowhere.log");
golden!(check_valid, "check", TAUHERE);
golden!(check_broken, "check", BROKEN);
golden!(check_broken_json, "check", "--format", "json", BROKEN);
golden!(check_scenarios, "check", "examples/scenarios");
golden!(
    check_broken_scenario,
    "check",
    "cli/tests/tool/broken-scenario.yaml"
);
golden!(check_nothing, "check", "cli/tests");
golden!(
    explain_tag,
    "explain",
    "--rules",
    TAUHERE,
    "POST",
    "/v1/chat/completions",
    "--workspace",
    "kauri-books",
    "--model",
    "tauhere-writer",
    "--header",
    "X-Purpose=envelope-tag"
);
golden!(
    explain_locker,
    "explain",
    "--rules",
    BENGAL,
    "--format",
    "json",
    "POST",
    "/services/gate/lockers/7"
);
golden!(
    explain_refused,
    "explain",
    "--rules",
    BENGAL,
    "GET",
    "/v1/models",
    "--model",
    "other"
);
golden!(
    publish_bad_key,
    "publish",
    "--node",
    "127.0.0.1:1",
    "--token",
    "t",
    "--remove",
    "w/x"
);
golden!(demo_help, "demo", "--help");
golden!(load_help, "load", "--help");
golden!(demo_bad_rate, "demo", "--rate", "0");
