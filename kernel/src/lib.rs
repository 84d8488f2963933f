//! Every decision of the monsoonbank router.
//!
//! The kernel takes typed [`event::Event`]s and gives back typed [`event::Action`]s. It has no
//! sockets, no threads and no clock, so the code that the daemon runs on real time is the code
//! that benchmarks and fuzzers run on virtual time.

pub mod addresses;
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
