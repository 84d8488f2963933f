//! Tests of the order of waiting calls.

use std::time::Duration;

use monsoonbank_kernel::gateway::waiting::WaitList;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_most_urgent_goes_first_then_the_earliest_deadline_then_the_first_arrival() {
    let mut list = WaitList::default();
    let late = list.join("model", 3, SECOND, SECOND);
    let patient = list.join("model", 1, SECOND, SECOND * 9);
    let second = list.join("model", 1, SECOND, SECOND * 4);
    let third = list.join("model", 1, SECOND, SECOND * 4);
    list.join("other", 0, SECOND, SECOND);
    for rank in [second, third, patient, late] {
        assert_eq!(list.first("model", Duration::ZERO), Some(rank));
        list.leave("model", rank);
    }
    assert_eq!(list.first("model", Duration::ZERO), None);
    assert_eq!(list.len(), 1);
}

#[test]
fn calls_that_can_be_in_time_go_before_late_ones() {
    let mut list = WaitList::default();
    let old = list.join("model", 1, SECOND, SECOND * 9);
    let new = list.join("model", 1, SECOND * 3, SECOND * 12);
    let bulk = list.join("model", 2, SECOND * 5, SECOND * 12);
    assert_eq!(list.first("model", Duration::ZERO), Some(old));
    assert_eq!(list.first("model", SECOND * 2), Some(new));
    assert_eq!(list.first("model", SECOND * 4), Some(old), "none can be");
    list.leave("model", old);
    list.leave("model", new);
    assert_eq!(list.first("model", SECOND * 4), Some(bulk));
}
