//! The lease and the orders given under it.

use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::leases::lease::{LEASE_LENGTH, ORDER_TIMEOUT};
use monsoonbank_kernel::leases::{EngineOrder, OrderRequest};
use monsoonbank_kernel::record::Record;

use crate::support::{Fleet, GivenOrder, base_change};

const QUIET: Duration = LEASE_LENGTH.saturating_add(ORDER_TIMEOUT);

fn order(adapter: &str) -> OrderRequest {
    OrderRequest {
        upstream: UpstreamId::named("engine-1"),
        order: EngineOrder::LoadAdapter {
            adapter: adapter.into(),
        },
    }
}

/// A fleet, and a node that has given one order.
fn holding(count: usize) -> (Fleet, GivenOrder) {
    let mut fleet = Fleet::new(count);
    fleet.publish(0, 1, base_change());
    fleet.run(2);
    fleet.give(0, Event::OrderRequested(order("first")));
    fleet.run(2);
    assert_eq!(fleet.orders.len(), 1, "one order, though it was handed on");
    let given = fleet.orders[0].clone();
    (fleet, given)
}

fn answer(fleet: &mut Fleet, given: &GivenOrder, accepted: bool) {
    let answered = Event::OrderAnswered {
        upstream: given.request.upstream,
        fencing: given.fencing,
        accepted,
    };
    fleet.give(given.node, answered);
}

fn leases(fleet: &Fleet) -> usize {
    let records = fleet.log.records.iter();
    records
        .filter(|record| matches!(record, Record::Lease(_)))
        .count()
}

#[test]
fn one_node_claims_and_its_fencing_number_is_the_offset() {
    let (fleet, given) = holding(5);
    assert_eq!(leases(&fleet), 1);
    let record = &fleet.log.records[given.fencing as usize];
    assert!(matches!(record, Record::Lease(lease) if lease.node == fleet.nodes[given.node].id));
    assert!(given.at < given.not_after);
}

#[test]
fn nobody_claims_without_orders() {
    let mut fleet = Fleet::new(4);
    fleet.publish(0, 1, base_change());
    fleet.run(30);
    assert_eq!(leases(&fleet), 0);
}

#[test]
fn order_that_was_accepted_is_not_given_again() {
    let (mut fleet, given) = holding(3);
    answer(&mut fleet, &given, true);
    fleet.run(60);
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn unanswered_order_is_given_again_under_a_newer_number() {
    let (mut fleet, given) = holding(3);
    fleet.run(20);
    let again = fleet.orders.last().expect("it was given");
    assert_eq!(again.request, given.request);
    assert!(fleet.orders.len() > 1 && again.fencing > given.fencing);
}

#[test]
fn paused_holder_gives_nothing_after_its_lease_lapsed() {
    let (mut fleet, given) = holding(3);
    let later = fleet.now + LEASE_LENGTH;
    fleet.orders.clear();
    fleet.give_at(given.node, later, Event::OrderRequested(order("second")));
    fleet.give_at(given.node, later, Event::Tick);
    assert!(fleet.orders.is_empty(), "{:?}", fleet.orders);
}

#[test]
fn log_down_lets_the_lease_lapse_and_orders_stop_until_it_is_back() {
    let (mut fleet, given) = holding(3);
    answer(&mut fleet, &given, true);
    fleet.log.down = true;
    fleet.run(20);
    fleet.orders.clear();
    fleet.give(0, Event::OrderRequested(order("second")));
    fleet.run(30);
    assert!(fleet.orders.is_empty());
    fleet.log.down = false;
    fleet.run(15);
    assert!(!fleet.orders.is_empty());
}

#[test]
fn next_holder_waits_out_what_an_upstream_without_checks_may_still_get() {
    let (mut fleet, given) = holding(3);
    let wanting = usize::from(given.node == 0);
    fleet.nodes[given.node].alive = false;
    fleet.tell_members();
    fleet.give(wanting, Event::OrderRequested(order("second")));
    fleet.run(QUIET.as_secs() + 10);
    let next = fleet.orders.iter().find(|next| next.node != given.node);
    let next = next.expect("another node holds the lease");
    assert!(next.fencing > given.fencing);
    assert!(next.at >= given.not_after + ORDER_TIMEOUT);
}

#[test]
fn earlier_run_of_the_same_node_is_waited_out() {
    let (mut fleet, given) = holding(1);
    fleet.replace(0);
    fleet.give(0, Event::OrderRequested(order("second")));
    fleet.run(QUIET.as_secs() + 10);
    let next = fleet
        .orders
        .iter()
        .find(|next| next.incarnation != given.incarnation);
    let next = next.expect("the new run holds the lease");
    assert!(next.at >= given.not_after + ORDER_TIMEOUT);
}

#[test]
fn leaving_holder_gives_the_lease_up() {
    let (mut fleet, given) = holding(3);
    answer(&mut fleet, &given, true);
    fleet.give(given.node, Event::NodeLeaving);
    fleet.nodes[given.node].alive = false;
    fleet.serve_log(given.node);
    let appended = leases(&fleet);
    fleet.nodes[given.node].alive = true;
    fleet.serve_log(given.node);
    fleet.run(1);
    assert!(leases(&fleet) >= appended);
    let last = fleet.log.records.last();
    assert!(matches!(last, Some(Record::Lease(lease)) if lease.length.is_zero()));
}
