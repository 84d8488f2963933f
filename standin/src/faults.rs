//! Faults that can be injected through the handle of a stand-in or by `POST /faults`.
//!
//! A set of faults replaces the previous set; faults that are not named are off.

use serde::{Deserialize, Serialize};

/// A crash: all connections are closed and the port refuses new ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CrashFault {
    /// Crash once the next request has received this many tokens; immediately if `None`.
    pub after_tokens: Option<u32>,
    /// Restart after this many milliseconds; never if `None`.
    pub restart_after_ms: Option<u64>,
}

/// Faults of a model engine.
// Each fault is an independent switch.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Factor on the duration of every step; 1 is normal speed.
    pub straggle: f64,
    /// The engine generates nothing and answers no request until this is off again.
    pub frozen: bool,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Age of the data in the load report, in milliseconds; `None` uses the engine's settings.
    pub report_lag_ms: Option<u64>,
    /// The load report stops changing.
    pub report_frozen: bool,
    /// The load report announces that the engine is leaving.
    pub leaving: bool,
    /// A crash; `None` for no crash.
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
    /// Additional duration of every request, in milliseconds.
    pub slow_ms: u64,
    /// Every request is refused without being run.
    pub refuse: bool,
    /// Pause that refusals ask for, in milliseconds (rounded up to seconds); `None` asks for none.
    pub pause_ms: Option<u64>,
    /// Every answer announces that the service is leaving.
    pub leaving: bool,
    /// Number of the next requests that run but whose connections are then closed without an answer.
    pub lose_responses: u32,
    /// A crash; `None` for no crash. `after_tokens` is ignored.
    pub crash: Option<CrashFault>,
}

/// Faults of the log service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogFaults {
    /// Every connection is closed without an answer, and nothing is appended.
    pub down: bool,
    /// Additional delay of every answer, in milliseconds.
    pub slow_ms: u64,
    /// Number of the next appends that take effect but whose connections are then closed without an
    /// answer.
    pub lose_responses: u32,
}

/// Faults of the host list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostFaults {
    /// The visible list stops changing.
    pub stale: bool,
    /// Every connection is closed without an answer.
    pub down: bool,
}
