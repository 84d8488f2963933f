//! Orders to engines. An order is sent only while the lease that authorizes it is valid.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::leases::OrderRequest;
use monsoonbank_kernel::leases::lease::ORDER_TIMEOUT;
use serde_json::json;

use crate::shared::NodeShared;

/// Sends an order with a fencing token to an engine, in its own task, unless the time `not_after` has
/// passed. The result is sent to the kernel as an event.
pub fn send(shared: &Arc<NodeShared>, request: OrderRequest, fencing: u64, not_after: Duration) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let upstream = request.upstream;
        let accepted = post(&own, &request, fencing, not_after).await;
        let order = &request.order;
        log::info!("event=order upstream={upstream} fencing={fencing} order=\"{order}\" accepted={accepted}");
        own.send_event(Event::OrderAnswered {
            upstream,
            fencing,
            accepted,
        });
    });
}

async fn post(
    shared: &NodeShared,
    request: &OrderRequest,
    fencing: u64,
    not_after: Duration,
) -> bool {
    let config = shared.config();
    let Some(upstream) = config.upstreams.get(&request.upstream) else {
        return false;
    };
    let url = format!("http://{}/orders", upstream.spec.address);
    let body = json!({ "fencing": fencing, "order": request.order });
    // Each order uses its own connection: on a reused one it could reach the engine after the timeout
    // here.
    let order = shared
        .single_use_client
        .post(url)
        .json(&body)
        .timeout(ORDER_TIMEOUT);
    if shared.now() >= not_after {
        return false;
    }
    order
        .send()
        .await
        .is_ok_and(|answer| answer.status().is_success())
}
