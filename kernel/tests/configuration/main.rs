//! Configuration on the log, between nodes that exchange messages by the tests' own hand.

mod check;
mod fold;
mod fuzz;
mod golden;
mod orders;
mod outages;
mod placement;
mod publish;
mod rules;
mod support;
