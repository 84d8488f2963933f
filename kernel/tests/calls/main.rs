//! Calls at their entry node: outcomes, retries and idempotency keys under faults.

mod attempts;
mod faults;
mod fleet;
mod fuzz;
mod keys;
mod owners;
mod sessions;
mod trace;
