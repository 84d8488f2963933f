//! Compressed answers between nodes, which may end with their connection.

use monsoonbank_daemon::gateway::frame::{compress, decompress};

// Guards against a truncated answer of another node that is taken for a whole one.
#[test]
fn an_answer_that_is_cut_off_is_refused() {
    let whole = vec![7; 40_000];
    let framed = compress(&whole).expect("compressed");
    assert_eq!(decompress(&framed).expect("whole"), whole);
    for length in 0..framed.len() {
        assert!(decompress(&framed[..length]).is_err(), "{length}");
    }
}
