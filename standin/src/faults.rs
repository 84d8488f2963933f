//! Faults that can be switched on, by the handle of a stand-in or by `POST /faults`.
//!
//! A set of faults replaces the set before it: what is not named is off.

use serde::{Deserialize, Serialize};

/// A crash: every connection drops and the port refuses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashFault {
    /// Crash when the next request has got this many tokens; at once when absent.
    pub after_tokens: Option<u32>,
    /// Come back after this many milliseconds; stay away when absent.
    pub restart_after_ms: Option<u64>,
}

/// Faults of a model engine.
// Each fault is a switch of its own.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Every step takes this many times as long; 1 is healthy.
    pub straggle: f64,
    /// Nothing moves, and nothing is answered, until this is off again.
    pub frozen: bool,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Lag of the load report, in milliseconds, instead of the one in the settings.
    pub report_lag_ms: Option<u64>,
    /// The load report stays as it is.
    pub report_frozen: bool,
    /// The engine says that it is leaving.
    pub leaving: bool,
    /// A crash.
    pub crash: Option<CrashFault>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            straggle: 1.0,
            frozen: false,
            refuse: false,
            report_lag_ms: None,
            report_frozen: false,
            leaving: false,
            crash: None,
        }
    }
}

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceFaults {
    /// Every request takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Refusals ask for a pause of this many milliseconds.
    pub pause_ms: Option<u64>,
    /// Every answer says that the service is leaving.
    pub leaving: bool,
    /// This many of the next requests run, and then their connection drops without an answer.
    pub lose_responses: u32,
    /// A crash; `after_tokens` is ignored.
    pub crash: Option<CrashFault>,
}

/// Faults of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every connection drops without an answer, and nothing is appended.
    pub down: bool,
    /// Every answer comes this much later, in milliseconds.
    pub slow_ms: u64,
    /// This many of the next appends take effect, and then their connection drops without an
    /// answer.
    pub lose_responses: u32,
}

/// Faults of the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostFaults {
    /// The list stays as it shows now.
    pub stale: bool,
    /// Every connection drops without an answer.
    pub down: bool,
}
