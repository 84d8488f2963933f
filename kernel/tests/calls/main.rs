//! Calls at their entry node: honest outcomes, retries, and keys, under faults.

mod attempts;
mod faults;
mod fleet;
mod fuzz;
mod keys;
mod owners;
mod sessions;
mod trace;
