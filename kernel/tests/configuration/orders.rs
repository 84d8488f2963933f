//! The lease and the orders sent under it.

use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::leases::lease::{LEASE_LENGTH, ORDER_TIMEOUT};
use monsoonbank_kernel::leases::{EngineOrder, OrderRequest};
use monsoonbank_kernel::record::Record;

use crate::support::{Fleet, SentOrder, base_change};

const QUIET: Duration = LEASE_LENGTH.saturating_add(ORDER_TIMEOUT);

fn order(adapter: &str) -> OrderRequest {
    OrderRequest {
        upstream: UpstreamId::named("engine-1"),
        order: EngineOrder::LoadAdapter {
            adapter: adapter.into(),
        },
    }
}

/// A fleet, and the one order that its lease holder has sent.
fn holding(count: usize) -> (Fleet, SentOrder) {
    let mut fleet = Fleet::new(count);
    fleet.publish(0, 1, base_change());
    fleet.run(2);
    fleet.inject(0, Event::OrderRequested(order("first")));
    fleet.run(2);
    assert_eq!(
        fleet.orders.len(),
        1,
        "one order, although it was forwarded"
    );
    let sent = fleet.orders[0].clone();
    (fleet, sent)
}

fn answer(fleet: &mut Fleet, sent: &SentOrder, accepted: bool) {
    let answered = Event::OrderAnswered {
        upstream: sent.request.upstream,
        fencing: sent.fencing,
        accepted,
    };
    fleet.inject(sent.node, answered);
}

fn leases(fleet: &Fleet) -> usize {
    let records = fleet.log.records.iter();
    records
        .filter(|record| matches!(record, Record::Lease(_)))
        .count()
}

#[test]
fn one_node_claims_the_lease_and_its_offset_is_the_fencing_token() {
    let (fleet, sent) = holding(5);
    assert_eq!(leases(&fleet), 1);
    let record = &fleet.log.records[sent.fencing as usize];
    assert!(matches!(record, Record::Lease(lease) if lease.node == fleet.nodes[sent.node].id));
    assert!(sent.at < sent.not_after);
}

#[test]
fn no_node_claims_the_lease_without_orders() {
    let mut fleet = Fleet::new(4);
    fleet.publish(0, 1, base_change());
    fleet.run(30);
    assert_eq!(leases(&fleet), 0);
}

#[test]
fn accepted_order_is_not_sent_again() {
    let (mut fleet, sent) = holding(3);
    answer(&mut fleet, &sent, true);
    fleet.run(60);
    assert_eq!(fleet.orders.len(), 1);
}

#[test]
fn unanswered_order_is_sent_again_with_a_newer_fencing_token() {
    let (mut fleet, sent) = holding(3);
    fleet.run(20);
    let again = fleet.orders.last().expect("the order was sent");
    assert_eq!(again.request, sent.request);
    assert!(fleet.orders.len() > 1 && again.fencing > sent.fencing);
}

#[test]
fn paused_holder_sends_no_order_after_its_lease_expired() {
    let (mut fleet, sent) = holding(3);
    let later = fleet.now + LEASE_LENGTH;
    fleet.orders.clear();
    fleet.inject_at(sent.node, later, Event::OrderRequested(order("second")));
    fleet.inject_at(sent.node, later, Event::Tick);
    assert!(fleet.orders.is_empty(), "{:?}", fleet.orders);
}

#[test]
fn lease_expires_and_orders_stop_while_the_log_is_down() {
    let (mut fleet, sent) = holding(3);
    answer(&mut fleet, &sent, true);
    fleet.log.down = true;
    fleet.run(20);
    fleet.orders.clear();
    fleet.inject(0, Event::OrderRequested(order("second")));
    fleet.run(30);
    assert!(fleet.orders.is_empty());
    fleet.log.down = false;
    fleet.run(15);
    assert!(!fleet.orders.is_empty());
}

#[test]
fn next_holder_waits_until_no_earlier_order_can_arrive() {
    let (mut fleet, sent) = holding(3);
    let requester = usize::from(sent.node == 0);
    fleet.nodes[sent.node].alive = false;
    fleet.publish_members();
    fleet.inject(requester, Event::OrderRequested(order("second")));
    fleet.run(QUIET.as_secs() + 10);
    let next = fleet.orders.iter().find(|next| next.node != sent.node);
    let next = next.expect("another node holds the lease");
    assert!(next.fencing > sent.fencing);
    assert!(next.at >= sent.not_after + ORDER_TIMEOUT);
}

#[test]
fn new_run_of_a_node_waits_until_no_order_of_the_earlier_run_can_arrive() {
    let (mut fleet, sent) = holding(1);
    fleet.replace(0);
    fleet.inject(0, Event::OrderRequested(order("second")));
    fleet.run(QUIET.as_secs() + 10);
    let next = fleet
        .orders
        .iter()
        .find(|next| next.incarnation != sent.incarnation);
    let next = next.expect("the new run holds the lease");
    assert!(next.at >= sent.not_after + ORDER_TIMEOUT);
}

#[test]
fn leaving_holder_releases_the_lease() {
    let (mut fleet, sent) = holding(3);
    answer(&mut fleet, &sent, true);
    fleet.inject(sent.node, Event::NodeLeaving);
    fleet.nodes[sent.node].alive = false;
    fleet.serve_log(sent.node);
    let appended = leases(&fleet);
    fleet.nodes[sent.node].alive = true;
    fleet.serve_log(sent.node);
    fleet.run(1);
    assert!(leases(&fleet) >= appended);
    let last = fleet.log.records.last();
    assert!(matches!(last, Some(Record::Lease(lease)) if lease.length.is_zero()));
}
