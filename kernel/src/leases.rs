//! The lease on giving orders to engines, and the orders.

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::UpstreamId;

/// What an engine is told to do.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum EngineOrder {
    /// Load a model's weights.
    #[display("load model {model} version {version}")]
    LoadModel {
        /// The model.
        model: Box<str>,
        /// The version.
        version: Box<str>,
    },
    /// Load an adapter.
    #[display("load adapter {adapter}")]
    LoadAdapter {
        /// The adapter.
        adapter: Box<str>,
    },
    /// Serve another role.
    #[display("change role to {role}")]
    ChangeRole {
        /// The role.
        role: Box<str>,
    },
}

/// An order to an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The order.
    pub order: EngineOrder,
}
