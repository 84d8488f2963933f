//! The callers' interface: completions, plain services, models, addresses.

use std::sync::Arc;

use monsoonbank_kernel::config::PoolKind;
use monsoonbank_kernel::membership::NodeState;
use salvo::prelude::{Json, Request, Response, Router, handler};
use serde_json::{Value, json};

use crate::completions::{CompletionApi, CompletionKind};
use crate::intake;
use crate::services::ServiceApi;
use crate::shared::NodeShared;

/// How long a caller may keep the answer to "which addresses".
const ADDRESSES_KEEP_SECONDS: u64 = 2;
/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 4;

/// The routes.
pub fn router(shared: &Arc<NodeShared>) -> Router {
    let completions = |kind| CompletionApi {
        shared: Arc::clone(shared),
        kind,
    };
    Router::new()
        .push(Router::with_path("v1/chat/completions").post(completions(CompletionKind::Chat)))
        .push(Router::with_path("v1/completions").post(completions(CompletionKind::Text)))
        .push(Router::with_path("v1/models").get(ModelsApi {
            shared: Arc::clone(shared),
        }))
        .push(Router::with_path("v1/addresses").get(AddressesApi {
            shared: Arc::clone(shared),
        }))
        .push(Router::with_path("services/{**rest}").goal(ServiceApi {
            shared: Arc::clone(shared),
        }))
}

struct ModelsApi {
    shared: Arc<NodeShared>,
}

#[handler]
impl ModelsApi {
    fn handle(&self, request: &mut Request, response: &mut Response) {
        let caller = match intake::identify(&self.shared, request) {
            Ok(caller) => caller,
            Err(error) => return error.render(response),
        };
        let models: Vec<Value> = caller
            .config
            .pools
            .values()
            .filter(|pool| pool.kind == PoolKind::Model)
            .map(|pool| json!({ "id": pool.name, "object": "model", "owned_by": "monsoonbank" }))
            .collect();
        response.render(Json(json!({ "object": "list", "data": models })));
    }
}

struct AddressesApi {
    shared: Arc<NodeShared>,
}

#[handler]
impl AddressesApi {
    fn handle(&self, request: &mut Request, response: &mut Response) {
        let zone = request.query::<String>("zone").unwrap_or_default();
        let members = self.shared.members();
        let mut live: Vec<_> = members
            .members
            .values()
            .filter(|member| member.state == NodeState::Live)
            .map(|member| {
                (
                    *member.zone_name != *zone,
                    &member.caller_address,
                    &member.zone_name,
                )
            })
            .collect();
        live.sort();
        let addresses: Vec<Value> = live
            .into_iter()
            .take(MAX_ADDRESSES)
            .map(|(_, address, zone)| json!({ "address": address, "zone": zone }))
            .collect();
        response.render(Json(json!({
            "addresses": addresses, "keep_seconds": ADDRESSES_KEEP_SECONDS,
        })));
    }
}
