//! The order of calls that wait.

use std::time::Duration;

use monsoonbank_kernel::gateway::waiting::WaitList;

#[test]
fn the_most_urgent_goes_first_then_the_earliest_deadline_then_the_first_come() {
    let mut list = WaitList::default();
    let seconds = Duration::from_secs;
    let late = list.join("model", 3, seconds(1));
    let patient = list.join("model", 1, seconds(9));
    let second = list.join("model", 1, seconds(4));
    let third = list.join("model", 1, seconds(4));
    list.join("other", 0, seconds(1));
    for rank in [second, third, patient, late] {
        assert_eq!(list.first("model"), Some(rank));
        list.leave("model", rank);
    }
    assert_eq!(list.first("model"), None);
    assert_eq!(list.len(), 1);
}
