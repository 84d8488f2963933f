//! Rate and concurrency limits of workspaces over the whole fleet.

use serde::{Deserialize, Serialize};

use crate::ids::WorkspaceId;

/// Messages about fleet-wide limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitMessage {
    /// The sender's recent demand for a limited workspace, in calls a second.
    Demand {
        /// The workspace.
        workspace: WorkspaceId,
        /// Calls a second.
        rate: f64,
    },
}
