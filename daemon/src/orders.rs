//! Orders to engines: sent only while the lease under which they are given still holds.

use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::leases::OrderRequest;
use monsoonbank_kernel::leases::lease::ORDER_TIMEOUT;
use serde_json::json;

use crate::shared::NodeShared;

/// Sends an order in a task of its own.
pub fn give(shared: &Arc<NodeShared>, request: OrderRequest, fencing: u64, not_after: Duration) {
    let own = Arc::clone(shared);
    shared.spawn(async move {
        let upstream = request.upstream;
        let accepted = send(&own, &request, fencing, not_after).await;
        let order = &request.order;
        log::info!("event=order upstream={upstream} fencing={fencing} order=\"{order}\" accepted={accepted}");
        own.event(Event::OrderAnswered {
            upstream,
            fencing,
            accepted,
        });
    });
}

async fn send(
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
    // One connection an order: a kept one could carry it later than it is given up here.
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
