//! Lines about upstreams, their limits and the content that crashes them.

use monsoonbank_kernel::gateway::registry::EntryRecord;
use serde::Serialize;

/// Event of a line, with its fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum UpstreamDecision<'a> {
    /// All upstreams of the registry were loaded, or the preferred ones, or all others forgotten.
    RegistryLoaded {
        /// `whole` or `preferred`.
        scope: &'a str,
        /// Number of known upstreams that accept new calls.
        upstreams: usize,
    },
    /// The state of an upstream changed.
    UpstreamChanged {
        /// Id of the upstream.
        upstream: &'a str,
        /// Pool of the upstream.
        pool: &'a str,
        /// Version of its software.
        software: &'a str,
        /// Reason why it accepts no new calls; `None` if it accepts them.
        left: Option<&'a str>,
        /// Whether its entry disappeared while the store was unreachable.
        lapsed: bool,
        /// `store`, `answer`, or the name of the node that the news came from.
        source: &'a str,
        /// Newest record of its entry, as `[era, offset, is_current]`; `None` if it is not
        /// known.
        #[serde(skip_serializing_if = "Option::is_none")]
        written: Option<EntryRecord>,
        /// Where its entry was last missing, likewise; `None` if it never was.
        #[serde(skip_serializing_if = "Option::is_none")]
        missing: Option<EntryRecord>,
    },
    /// An engine that ran before this node started was queried for the prompt parts that it caches.
    CacheListed {
        /// Id of the engine.
        upstream: &'a str,
        /// Number of cached parts.
        parts: usize,
        /// Reason why the query failed; `None` if it succeeded.
        reason: Option<&'a str>,
    },
    /// A brittle upstream turned a call away.
    BrittleRefused {
        /// Id of the upstream.
        upstream: &'a str,
        /// Time for which it gets no calls, in ms.
        rest_ms: u64,
        /// `own` if it refused a call of this node, or the name of the node that reported it.
        source: &'a str,
    },
    /// An upstream is backed off after failures.
    UpstreamRests {
        /// Id of the upstream.
        upstream: &'a str,
        /// Moving average of the share of failed calls, from 0 to 1.
        failures: f64,
        /// Whether heartbeats report the upstream as failing.
        told: bool,
        /// Duration of the backoff, in ms.
        rest_ms: u64,
    },
    /// The rate limit that an upstream announces changed.
    LimitChanged {
        /// Id of the upstream.
        upstream: &'a str,
        /// Requests per second from all nodes together; `None` if the limit has ended.
        per_second: Option<f64>,
        /// `own`, or the name of the node that reported it.
        source: &'a str,
    },
    /// A workspace's waiting calls are over its share of a full pool, or no longer.
    ShareChanged {
        /// Name of the pool.
        pool: &'a str,
        /// Name of the workspace; empty for callers without one.
        workspace: &'a str,
        /// Whether it is over its share now.
        over: bool,
        /// Mean number of slots that its calls used at all nodes in the last seconds; `None` if it
        /// is within its share.
        slots: Option<f64>,
        /// Mean of the workspaces that wait, in slots; `None` if it is within its share.
        share: Option<f64>,
    },
    /// An upstream that refused a call asked this node to pause.
    PauseAsked {
        /// Id of the upstream.
        upstream: &'a str,
        /// Duration of the pause, in ms.
        pause_ms: u64,
    },
    /// An engine became clearly slower than its pool's median, or is no longer.
    SpeedChanged {
        /// Id of the engine.
        upstream: &'a str,
        /// Whether it is slower from now on.
        slow: bool,
        /// Its time per token, as a multiple of the median.
        ratio: f64,
        /// Its time per token, in us; `None` if its measurement expired.
        token_us: Option<u64>,
        /// Median of the pool, in us; `None` if too few engines are measured.
        median_us: Option<u64>,
    },
    /// The connection to an upstream broke during a call, which is recorded as a crash.
    UpstreamBroke {
        /// Id of the call.
        call: &'a str,
        /// Digest of the call's content.
        content: &'a str,
        /// Id of the upstream.
        upstream: &'a str,
        /// Number of upstream runs that have crashed under this content, as far as this node knows.
        crashes: usize,
        /// Time since the call was sent, in ms.
        sent_ms: u64,
        /// Whether the head of the answer had arrived.
        head: bool,
        /// Time since the first event arrived, in ms; `None` if there was none.
        #[serde(skip_serializing_if = "Option::is_none")]
        begun_ms: Option<u64>,
    },
    /// The quarantine of calls began or ended.
    QuarantineChanged {
        /// What the calls have in common, such as `part:1f3a`.
        cause: &'a str,
        /// Whether they are quarantined now.
        quarantined: bool,
        /// Number of upstream runs that have crashed under them.
        crashes: usize,
        /// `own`, `store`, or the name of the node that reported it.
        source: &'a str,
    },
}
