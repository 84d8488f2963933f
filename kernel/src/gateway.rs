//! Decisions of a node that passes calls on unchanged: which rule a call falls under, which upstream
//! takes it, whether it may be tried again and what its end means.
//!
//! Every part is a plain value that is told the time; the daemon's gateway owns the sockets.

pub mod budget;
pub mod cache;
pub mod choice;
pub mod content;
pub mod crashes;
pub mod duty;
pub mod entries;
pub mod fleet;
pub mod gate;
pub mod health;
pub mod heartbeat;
pub mod lag;
pub mod load;
pub mod outcome;
pub mod pace;
pub mod partition;
pub mod pause;
pub mod prompt;
pub mod registry;
pub mod reports;
pub mod room;
pub mod rules;
pub mod scaling;
pub mod spread;
pub mod throttle;
pub mod transfers;
pub mod usage;
pub mod waiting;
