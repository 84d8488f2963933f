//! The node daemon.

fn main() {}
