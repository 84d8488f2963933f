//! Checks that the tables in docs/CAPACITY.md are those of docs/capacity/slopes.json.

use std::path::PathBuf;
use std::process::Command;

fn docs() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../docs")
}

#[test]
fn the_capacity_page_shows_the_committed_results() {
    let output = Command::new(env!("CARGO_BIN_EXE_monsoon"))
        .args(["bench", "slopes", "--from"])
        .arg(docs().join("capacity/slopes.json"))
        .output()
        .unwrap();
    assert!(output.status.success());
    let tables = String::from_utf8(output.stdout).unwrap();
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    let shown = page
        .split_once("<!-- slopes:begin -->\n")
        .and_then(|(_, rest)| rest.split_once("<!-- slopes:end -->"));
    let (shown, _) = shown.expect("the page has the markers around the tables");
    assert_eq!(shown.trim(), tables.trim());
}
