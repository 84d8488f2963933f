//! Dispatch at the owner node.

mod failures;
mod golden;
mod machine;
mod order;
mod world;
