//! Scenario files: the traffic, engines and faults of one simulation.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::Tier;
use monsoonbank_kernel::config::{
    ClassSpec, Config, ConfigFile, PoolKind, PoolSpec, TierSpec, UpstreamSpec, WorkspaceSpec,
};
use serde::Deserialize;

use crate::bench::BenchError;

/// Name of the one pool in every scenario.
pub const POOL: &str = "model";

/// The settings of one simulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFile {
    /// One-line description, printed above the text report.
    pub about: Box<str>,
    /// Virtual time in which calls arrive, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// One-way network delay between the node and an engine.
    #[serde(default = "default_hop", with = "humantime_serde")]
    pub hop: Duration,
    /// Tiers with their floors: the share of slots that each is guaranteed.
    pub tiers: Vec<TierSpec>,
    /// Classes of calls.
    pub classes: Vec<ClassShape>,
    /// Groups of identical engines; at least one engine in all.
    pub engines: Vec<EngineShape>,
    /// Streams of calls.
    pub traffic: Vec<TrafficShape>,
    /// Faults of single engines; none if absent.
    #[serde(default)]
    pub faults: Vec<FaultShape>,
}

fn default_hop() -> Duration {
    Duration::from_millis(1)
}

/// A class and the distribution of its calls' lengths.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassShape {
    /// Name of the class, which traffic refers to.
    pub name: Box<str>,
    /// Tier of the class; 0 is urgent.
    pub tier: Tier,
    /// Target for the time from arrival to the first token.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Target for the mean time between tokens; none if absent.
    #[serde(default, with = "humantime_serde")]
    pub token_target: Option<Duration>,
    /// Whether its calls may run more than once; true if absent.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Distribution of prompt lengths, in tokens.
    pub prompt: LengthShape,
    /// Distribution of output lengths, in tokens.
    pub output: LengthShape,
}

fn default_repeatable() -> bool {
    true
}

/// A log-normal distribution of lengths in tokens, cut off at a maximum.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthShape {
    /// Median, in tokens.
    pub median: f64,
    /// Standard deviation of the natural logarithm; 0, a constant length, if absent.
    #[serde(default)]
    pub spread: f64,
    /// Maximum, in tokens; longer draws are cut to it.
    pub most: u32,
}

/// A group of identical engines.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// Number of engines in the group.
    pub count: u32,
    /// Requests that one engine runs at a time; further ones wait in its queue.
    pub slots: u32,
    /// Time for one token while the engine runs a single request.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// Relative increase of the step with all slots in use: 0.5 makes it 1.5 times as long. 0 if
    /// absent.
    #[serde(default)]
    pub batch_slowdown: f64,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Time between two load reports; 500 ms if absent.
    #[serde(default = "default_report", with = "humantime_serde")]
    pub report_every: Duration,
    /// Age of a load report or cache event when it arrives at the node; 500 ms if absent.
    #[serde(default = "default_report", with = "humantime_serde")]
    pub report_lag: Duration,
    /// Number of prompt prefixes that the cache of one engine holds; 0, no cache, if absent.
    #[serde(default)]
    pub cached_prefixes: usize,
}

fn default_report() -> Duration {
    Duration::from_millis(500)
}

/// A stream of calls of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficShape {
    /// Name of the class.
    pub class: Box<str>,
    /// Offered load, as a share of the capacity of all engines.
    pub load: f64,
    /// Number of workspaces that send the calls, in equal parts.
    pub workspaces: u32,
    /// Prefix of the workspaces' names, `w` if absent; streams with the same prefix share
    /// workspaces.
    #[serde(default = "default_names")]
    pub names: Box<str>,
    /// Whether the calls are left out of the fairness index; false if absent.
    #[serde(default)]
    pub flood: bool,
    /// Time of the first possible arrival, from the start of the run; 0 if absent.
    #[serde(default, with = "humantime_serde")]
    pub from: Duration,
    /// Time after which no call arrives; the end of the scenario if absent.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
    /// Periodic bursts; none if absent.
    #[serde(default)]
    pub burst: Option<BurstShape>,
    /// Number of prompt prefixes that the calls of a workspace share; 0, no shared prefix, if
    /// absent.
    #[serde(default)]
    pub prefixes: u32,
}

fn default_names() -> Box<str> {
    "w".into()
}

/// Periodic bursts of a stream of calls.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstShape {
    /// Time from the start of one burst to the start of the next.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// Duration of one burst.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Rate of calls during a burst, relative to the usual rate.
    pub factor: f64,
}

/// A fault of one engine during a part of the run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultShape {
    /// Start of the fault, from the start of the run.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// End of the fault; must be after `at`.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// Index of the engine, counted from 0 over all groups.
    pub engine: usize,
    /// Kind of fault.
    pub kind: FaultKind,
    /// Slowdown of a slow engine, 10 if absent; unused for other kinds.
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_factor() -> f64 {
    10.0
}

/// Kind of an engine's fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The engine stops, loses its requests and its cache, and restarts empty at the end of the
    /// fault.
    Crash,
    /// Prefill and decode are slower by a factor.
    Slow,
    /// The engine accepts requests but makes no progress.
    Hang,
}

impl ScenarioFile {
    /// Reads and validates a scenario file; fails if it cannot be read or a field has no usable
    /// value.
    pub fn read(path: &Path) -> Result<Self, BenchError> {
        let file: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| BenchError::File {
            file: file.clone(),
            source,
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and validates the text of a scenario; errors name `file` and the field.
    pub fn parse(file: &str, text: &str) -> Result<Self, BenchError> {
        let deserializer = serde_yaml_ng::Deserializer::from_str(text);
        let scenario: Self =
            serde_path_to_error::deserialize(deserializer).map_err(|source| BenchError::Field {
                file: file.into(),
                field: source.path().to_string().into(),
                reason: source.inner().to_string().into(),
            })?;
        scenario
            .check()
            .map_err(|(field, reason)| BenchError::Field {
                file: file.into(),
                field: field.into(),
                reason,
            })?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), (String, Box<str>)> {
        let engines: u32 = self.engines.iter().map(|shape| shape.count).sum();
        if engines == 0 {
            return Err(("engines".into(), "at least one engine is needed".into()));
        }
        for (index, traffic) in self.traffic.iter().enumerate() {
            if self.class(&traffic.class).is_none() {
                let reason = format!("no class is called {}", traffic.class);
                return Err((format!("traffic[{index}].class"), reason.into()));
            }
            if traffic.workspaces == 0 || traffic.load.is_nan() || traffic.load <= 0.0 {
                let reason = "load and workspaces must be above 0";
                return Err((format!("traffic[{index}]"), reason.into()));
            }
        }
        for (index, fault) in self.faults.iter().enumerate() {
            if fault.engine >= engines as usize || fault.until <= fault.at {
                let reason = format!("engine must be below {engines}, and until after at");
                return Err((format!("faults[{index}]"), reason.into()));
            }
        }
        Ok(())
    }

    /// Returns the class with this name, or `None` if the scenario has none.
    pub fn class(&self, name: &str) -> Option<&ClassShape> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    /// Returns the shape of every engine, in the order of their indexes.
    pub fn each_engine(&self) -> Vec<EngineShape> {
        let repeat = |shape: &EngineShape| vec![*shape; shape.count as usize];
        self.engines.iter().flat_map(repeat).collect()
    }

    /// Builds the configuration that the kernel under test applies.
    pub fn config(&self) -> Arc<Config> {
        let upstreams = self.each_engine();
        let upstreams = upstreams.iter().enumerate().map(|(n, shape)| UpstreamSpec {
            name: engine_name(n).into(),
            pool: POOL.into(),
            zone: "a".into(),
            address: format!("127.0.0.1:{}", 1_000 + n).into(),
            slots: shape.slots,
            checks_fencing: true,
            also: Vec::new(),
        });
        let classes = self.classes.iter().map(|class| ClassSpec {
            name: class.name.clone(),
            tier: class.tier,
            target: class.target,
            token_target: class.token_target,
            repeatable: class.repeatable,
        });
        let names = self.traffic.iter().flat_map(TrafficShape::each_workspace);
        let names: std::collections::BTreeSet<String> = names.collect();
        let workspaces = names.iter().map(|name| WorkspaceSpec {
            name: name.as_str().into(),
            token_sha256: name.as_str().into(),
            weight: 1,
            calls_per_second: None,
            concurrent_calls: None,
        });
        let file = ConfigFile {
            tiers: self.tiers.clone(),
            classes: classes.collect(),
            workspaces: workspaces.collect(),
            pools: vec![PoolSpec {
                name: POOL.into(),
                kind: PoolKind::Model,
            }],
            upstreams: upstreams.collect(),
            ..ConfigFile::default()
        };
        Arc::new(Config::from_file(1, &file))
    }
}

/// Returns the upstream name of the engine with this index.
pub fn engine_name(number: usize) -> String {
    format!("engine-{number:02}")
}

impl TrafficShape {
    /// Returns the names of the workspaces that send the calls.
    pub fn each_workspace(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.workspaces).map(|n| format!("{}{n:04}", self.names))
    }
}

impl EngineShape {
    /// Returns the seconds per token with all slots in use.
    pub fn full_step(&self) -> f64 {
        self.step.as_secs_f64() * (1.0 + self.batch_slowdown)
    }

    /// Returns the seconds per token with `running` slots in use.
    pub fn step_at(&self, running: usize) -> f64 {
        let others = running.saturating_sub(1) as f64 / f64::from(self.slots.max(2) - 1);
        self.step.as_secs_f64() * (1.0 + self.batch_slowdown * others)
    }

    /// Returns the seconds for which a call occupies a slot while all slots are in use. This is the
    /// measure of work everywhere in the bench; lengths are in tokens.
    pub fn work(&self, prompt: f64, output: f64) -> f64 {
        prompt / self.prefill_rate + output * self.full_step()
    }
}

impl LengthShape {
    /// Returns the mean of the uncut distribution, at most the maximum, in tokens.
    pub fn mean(&self) -> f64 {
        (self.median * (self.spread * self.spread / 2.0).exp()).min(f64::from(self.most))
    }
}
