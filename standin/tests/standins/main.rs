//! Tests of the stand-ins over real sockets.

#[macro_use]
mod support;
mod engine;
mod platform;
