//! Scenario files: traffic, engines and faults of one measurement.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use monsoonbank_kernel::call::Tier;
use monsoonbank_kernel::config::{
    ClassSpec, Config, ConfigFile, PoolKind, PoolSpec, TierSpec, UpstreamSpec, WorkspaceSpec,
};
use serde::Deserialize;

use crate::bench::BenchError;

/// The pool of every scenario.
pub const POOL: &str = "model";

/// One measurement.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScenarioFile {
    /// What it shows.
    pub about: Box<str>,
    /// Time in which calls arrive.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// One way between the node and an engine.
    #[serde(default = "default_hop", with = "humantime_serde")]
    pub hop: Duration,
    /// Tiers with their floors.
    pub tiers: Vec<TierSpec>,
    /// Classes.
    pub classes: Vec<ClassShape>,
    /// Engines.
    pub engines: Vec<EngineShape>,
    /// Traffic.
    pub traffic: Vec<TrafficShape>,
    /// Faults.
    #[serde(default)]
    pub faults: Vec<FaultShape>,
}

fn default_hop() -> Duration {
    Duration::from_millis(1)
}

/// A class and the sizes of its calls.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassShape {
    /// The name.
    pub name: Box<str>,
    /// The tier.
    pub tier: Tier,
    /// Target for the first token.
    #[serde(with = "humantime_serde")]
    pub target: Duration,
    /// Target for the mean time between tokens.
    #[serde(default, with = "humantime_serde")]
    pub token_target: Option<Duration>,
    /// Whether its calls may run more than once.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Prompt length, in tokens.
    pub prompt: LengthShape,
    /// Output length, in tokens.
    pub output: LengthShape,
}

fn default_repeatable() -> bool {
    true
}

/// A log-normal length.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthShape {
    /// Half are shorter.
    pub median: f64,
    /// Standard deviation of the logarithm.
    #[serde(default)]
    pub spread: f64,
    /// None is longer.
    pub most: u32,
}

/// Engines that are alike.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineShape {
    /// How many.
    pub count: u32,
    /// Requests that one serves at a time.
    pub slots: u32,
    /// Time for one token of each request while it serves one.
    #[serde(with = "humantime_serde")]
    pub step: Duration,
    /// How much longer a step takes with all slots in use, relative to one.
    #[serde(default)]
    pub batch_slowdown: f64,
    /// Prompt tokens read a second.
    pub prefill_rate: f64,
    /// Time between two load reports.
    #[serde(default = "default_report", with = "humantime_serde")]
    pub report_every: Duration,
    /// Age of a load report when it arrives.
    #[serde(default = "default_report", with = "humantime_serde")]
    pub report_lag: Duration,
    /// Prefixes that its cache holds.
    #[serde(default)]
    pub cached_prefixes: usize,
}

fn default_report() -> Duration {
    Duration::from_millis(500)
}

/// Calls of one class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficShape {
    /// The class.
    pub class: Box<str>,
    /// Share of the engines' capacity that it asks for.
    pub load: f64,
    /// Workspaces that send it, evenly.
    pub workspaces: u32,
    /// Prefix of the workspaces' names; traffic with the same one is of the same workspaces.
    #[serde(default = "default_names")]
    pub names: Box<str>,
    /// Whether these workspaces are left out of the fairness figure.
    #[serde(default)]
    pub flood: bool,
    /// When it begins.
    #[serde(default, with = "humantime_serde")]
    pub from: Duration,
    /// When it ends; the end of the scenario when absent.
    #[serde(default, with = "humantime_serde")]
    pub until: Option<Duration>,
    /// Bursts on top.
    #[serde(default)]
    pub burst: Option<BurstShape>,
    /// Prompt prefixes that a workspace's calls share; none when 0.
    #[serde(default)]
    pub prefixes: u32,
}

fn default_names() -> Box<str> {
    "w".into()
}

/// Bursts that come again and again.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstShape {
    /// Time from the beginning of one to the next.
    #[serde(with = "humantime_serde")]
    pub every: Duration,
    /// How long one takes.
    #[serde(with = "humantime_serde")]
    pub length: Duration,
    /// Times the usual rate.
    pub factor: f64,
}

/// A fault of one engine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultShape {
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// When it is over.
    #[serde(with = "humantime_serde")]
    pub until: Duration,
    /// The engine, counted from 0.
    pub engine: usize,
    /// What happens.
    pub kind: FaultKind,
    /// How many times longer everything takes, for a slow engine.
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_factor() -> f64 {
    10.0
}

/// What happens to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// It dies with all that it runs, and comes back empty.
    Crash,
    /// Everything takes longer.
    Slow,
    /// It takes requests and does nothing.
    Hang,
}

impl ScenarioFile {
    /// Reads and checks a scenario.
    pub fn read(path: &Path) -> Result<Self, BenchError> {
        let file: Box<str> = path.display().to_string().into();
        let text = std::fs::read_to_string(path).map_err(|source| BenchError::File {
            file: file.clone(),
            source,
        })?;
        Self::parse(&file, &text)
    }

    /// Parses and checks the text of the scenario file called `file`.
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

    /// A class by name.
    pub fn class(&self, name: &str) -> Option<&ClassShape> {
        self.classes.iter().find(|class| &*class.name == name)
    }

    /// Each engine's shape.
    pub fn each_engine(&self) -> Vec<EngineShape> {
        let alike = |shape: &EngineShape| vec![*shape; shape.count as usize];
        self.engines.iter().flat_map(alike).collect()
    }

    /// The configuration that the kernel gets.
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

/// The name of an engine.
pub fn engine_name(number: usize) -> String {
    format!("engine-{number:02}")
}

impl TrafficShape {
    /// Names of the workspaces that send it.
    pub fn each_workspace(&self) -> impl Iterator<Item = String> + '_ {
        (0..self.workspaces).map(|n| format!("{}{n:04}", self.names))
    }
}

impl EngineShape {
    /// Seconds for a token with all slots in use.
    pub fn full_step(&self) -> f64 {
        self.step.as_secs_f64() * (1.0 + self.batch_slowdown)
    }

    /// Seconds for a token with `running` slots in use.
    pub fn step_at(&self, running: usize) -> f64 {
        let others = running.saturating_sub(1) as f64 / f64::from(self.slots.max(2) - 1);
        self.step.as_secs_f64() * (1.0 + self.batch_slowdown * others)
    }

    /// Seconds for which a slot is held by a call while all slots are in use: the measure of work.
    pub fn work(&self, prompt: f64, output: f64) -> f64 {
        prompt / self.prefill_rate + output * self.full_step()
    }
}

impl LengthShape {
    /// The mean, the longest left aside.
    pub fn mean(&self) -> f64 {
        (self.median * (self.spread * self.spread / 2.0).exp()).min(f64::from(self.most))
    }
}
