//! HTTP interface for callers: completions, plain services, models and addresses.

use std::sync::Arc;

use monsoonbank_kernel::addresses::caller_addresses;
use monsoonbank_kernel::config::PoolKind;
use monsoonbank_kernel::ids::ZoneId;
use salvo::prelude::{Json, Request, Response, Router, handler};
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::completions::{CompletionApi, CompletionKind};
use crate::requests;
use crate::services::ServiceApi;
use crate::shared::NodeShared;

/// Maximum number of idempotency keys in one response.
const MAX_KEYS: usize = 64;
/// Maximum number of node addresses in one response.
const MAX_ADDRESSES: usize = 4;

/// Creates the routes of the callers' listen address.
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
        let caller = match requests::authenticate(&self.shared, request) {
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
        let zone = request.query::<String>("zone");
        let zone = zone.map(|name| ZoneId::named(&name));
        let seed = request.remote_addr().to_string();
        let members = self.shared.members();
        let seed = xxh3_64(seed.as_bytes());
        let found = caller_addresses(&members, zone, MAX_ADDRESSES, seed);
        let keys = self.keys(request);
        response.render(Json(json!({
            "addresses": found.addresses,
            "keep_seconds": found.ttl.as_secs(),
            "idempotency_keys": keys,
        })));
    }
}

impl AddressesApi {
    /// Mints the idempotency keys that an authenticated request asks for; empty for any other.
    fn keys(&self, request: &mut Request) -> Vec<Box<str>> {
        let wanted = request.query::<usize>("keys").unwrap_or(0);
        let Ok(caller) = requests::authenticate(&self.shared, request) else {
            return Vec::new();
        };
        let wanted = 0..wanted.min(MAX_KEYS);
        wanted
            .map_while(|_| self.shared.fresh_key(caller.workspace))
            .collect()
    }
}
