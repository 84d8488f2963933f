//! The owner's side of scheduling.

mod failures;
mod machine;
mod order;
mod world;
