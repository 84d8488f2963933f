//! Golden sessions: every action of the nodes, one per line.

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::UpstreamId;
use monsoonbank_kernel::leases::{EngineOrder, OrderRequest};

use crate::support::{Fleet, base_change, set_workspace};

macro_rules! golden {
    ($name:ident, $nodes:expr, |$fleet:ident| $body:block) => {
        #[test]
        fn $name() {
            let mut $fleet = Fleet::new($nodes);
            $body
            insta::assert_snapshot!($fleet.trace.join("\n"));
        }
    };
}

golden!(race_with_lost_response, 2, |fleet| {
    fleet.publish(0, 1, base_change());
    fleet.run(1);
    fleet.log.lose_responses = 1;
    fleet.publish(0, 2, set_workspace("left", "w", 1, 0));
    fleet.publish(1, 3, set_workspace("right", "w", 2, 0));
    fleet.run(1);
});

golden!(outage_after_acceptance_and_fresh_node, 3, |fleet| {
    fleet.publish(0, 1, base_change());
    fleet.run(1);
    fleet.trace.clear();
    for index in 1..3 {
        fleet.nodes[index].cut_from_log = true;
    }
    fleet.publish(0, 2, set_workspace("late", "w", 1, 0));
    fleet.step();
    fleet.log.down = true;
    fleet.run(1);
    fleet.replace(2);
    fleet.run(2);
});

golden!(lease_and_order, 3, |fleet| {
    fleet.publish(0, 1, base_change());
    fleet.run(1);
    fleet.trace.clear();
    let upstream = UpstreamId::named("engine-1");
    let adapter = "courier".into();
    let order = EngineOrder::LoadAdapter { adapter };
    fleet.inject(0, Event::OrderRequested(OrderRequest { upstream, order }));
    fleet.run(1);
    let sent = fleet.orders[0].clone();
    let (fencing, accepted) = (sent.fencing, true);
    let answered = Event::OrderAnswered {
        upstream,
        fencing,
        accepted,
    };
    fleet.inject(sent.node, answered);
    fleet.run(1);
});
