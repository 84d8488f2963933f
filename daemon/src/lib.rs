//! A monsoonbank node: the network interfaces that connect the kernel to callers, upstreams, the
//! platform, other nodes and operators.

pub mod account;
pub mod answers;
pub mod assembler;
pub mod body;
pub mod boot_clock;
pub mod callers;
pub mod calls;
pub mod changes;
pub mod completions;
pub mod counters;
pub mod driver;
pub mod error;
pub mod exit_codes;
pub mod fields;
pub mod frame;
pub mod gateway;
pub mod links;
pub mod node;
pub mod operators;
pub mod orders;
pub mod platform;
pub mod proof;
pub mod refusal;
pub mod reports;
pub mod requests;
pub mod services;
pub mod settings;
pub mod shared;
pub mod sink;
pub mod sse;
pub mod upstreams;
