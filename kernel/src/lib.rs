//! Decision logic of the monsoonbank router, free of input and output.
//!
//! The kernel consumes typed [`event::Event`]s and produces typed [`event::Action`]s. It has no
//! sockets, no threads and no clock, so the daemon on real time and the benchmarks and fuzzers on
//! virtual time run the same code.

pub mod addresses;
pub mod bodies;
pub mod call;
pub mod clock;
pub mod config;
pub mod configuration;
pub mod dispatch;
pub mod event;
pub mod gateway;
pub mod ids;
pub mod kernel;
pub mod keys;
pub mod leases;
pub mod leaving;
pub mod limits;
pub mod membership;
pub mod ownership;
pub mod placement;
pub mod plugin;
pub mod record;
pub mod routing;
pub mod transfer;
pub mod wire;
