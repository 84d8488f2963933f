//! The owner's side of scheduling.

mod failures;
mod golden;
mod machine;
mod order;
mod world;
