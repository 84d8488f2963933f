//! Replicated configuration: a log and nodes whose messages the tests deliver.

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
