//! The owner's side of scheduling.

mod failures;
mod order;
mod world;
