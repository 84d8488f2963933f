//! Tests of the limit on large responses to other nodes.

use std::time::Duration;

use monsoonbank_kernel::gateway::transfers::{TransferKey, TransferList};

const S: Duration = Duration::from_secs(1);

fn begin_all(list: &mut TransferList, now: Duration) -> Vec<TransferKey> {
    std::iter::from_fn(|| list.begin(now)).collect()
}

// Guards against so many concurrent responses that each arrives too slowly and its receiver gives
// up.
#[test]
fn responses_start_as_others_end() {
    let mut list = TransferList::new(10.0);
    let begun = begin_all(&mut list, S);
    assert_eq!(begun.len(), 8);
    assert!(list.is_full(S));
    list.end(begun[3]);
    assert_eq!(begin_all(&mut list, S).len(), 1);
}

// Guards against a strong host that serves the nodes of a large zone a few at a time.
#[test]
fn a_fast_link_carries_more_responses() {
    let mut list = TransferList::new(1000.0);
    assert_eq!(begin_all(&mut list, S).len(), 64);
}

// Guards against frozen nodes whose responses block those to all others for good.
#[test]
fn responses_that_are_not_received_no_longer_count() {
    let mut list = TransferList::new(10.0);
    let stuck = begin_all(&mut list, S);
    assert!(begin_all(&mut list, S * 10).is_empty());
    assert_eq!(begin_all(&mut list, S * 11).len(), 8);
    for key in stuck {
        list.end(key);
    }
    assert!(list.is_full(S * 11));
}
