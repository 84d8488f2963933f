//! Rate and concurrency limits of workspaces over the whole fleet.

use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::event::Event;
use crate::ids::WorkspaceId;
use crate::plugin::{Context, NodeProfile, Plugin, Registration};

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

/// Admits calls within their workspace's limits.
#[derive(Debug, Default)]
pub struct LimitTable {}

impl Plugin for LimitTable {
    fn handle(&mut self, event: &Event, context: &mut Context<'_>) {
        if let Event::CallArrived { spec, key } = event {
            context.raise(Event::CallAdmitted {
                spec: *spec,
                key: key.clone(),
            });
        }
    }

    fn dump(&self) -> Value {
        json!({})
    }
}

fn build(_profile: &NodeProfile) -> Box<dyn Plugin> {
    Box::<LimitTable>::default()
}

inventory::submit! {
    Registration { name: "limits", order: 40, build }
}
