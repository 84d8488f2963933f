//! Stand-ins for the systems around monsoonbank, with fault injection.
//!
//! Each stand-in is an HTTP server on a loopback port of its own, run as tasks of the calling
//! process, so that several dozen fit into one test. Each counts the requests that it ran, so that
//! tests can compare the counts with the outcomes that the router reported.

pub mod answer;
mod api;
mod batch;
pub mod brittle;
mod cache;
mod chat;
pub mod early;
pub mod engine;
pub mod faults;
pub mod fragile;
pub mod hosts;
pub mod keyed;
pub mod link;
pub mod log;
pub mod raw;
mod reply;
mod report;
pub mod runs;
pub mod scripted;
mod server;
pub mod service;
pub mod weights;
