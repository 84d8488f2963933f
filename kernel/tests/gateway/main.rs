//! Tests of the gateway's decisions, each for the failure that it guards against.

mod budget;
mod cache;
mod choice;
mod content;
mod crash_fuzz;
mod crashes;
mod duty;
mod eligibility;
mod engines;
mod fleet;
mod gossip;
mod health;
mod lag;
mod large_pool;
mod limit_fuzz;
mod outcome;
mod pace;
mod partition;
mod registry;
mod rules;
mod scaling;
mod surge;
mod throttle;
mod transfers;
mod usage;
mod waiting;
