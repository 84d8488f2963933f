//! Decisions of a node that forwards calls unchanged: which rule a call matches, which upstream
//! gets it, whether it may be retried and what the end of an attempt means for the call.
//!
//! Every part is a plain value whose methods take the current time as an argument; the daemon's
//! gateway owns the sockets.

pub mod backlog;
pub mod brittle;
pub mod budget;
pub mod cache;
pub mod capacity;
pub mod choice;
pub mod content;
pub mod crashes;
pub mod duty;
pub mod eligibility;
pub mod entries;
pub mod fairness;
pub mod fleet;
pub mod forecast;
pub mod gossip;
pub mod health;
pub mod heartbeat;
pub mod history;
pub mod lag;
pub mod load;
pub mod message;
pub mod outcome;
pub mod pace;
pub mod partition;
pub mod pause;
pub mod pool_changes;
pub mod prompt;
pub mod reach;
pub mod registry;
pub mod reports;
pub mod returns;
pub mod rules;
pub mod scaling;
pub mod speed;
pub mod starts;
pub mod throttle;
pub mod transfers;
pub mod usage;
pub mod waiting;
