//! Open-loop traffic: requests arrive at random times that do not depend on the answers.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::request::{CompletionBody, RequestBody, ServiceBody};

/// Text that pads prompts.
const FILLER: &str = "the courier left a notice about a parcel that needs a signature, and ";

/// What the requests of a class are like.
#[derive(Clone, Debug)]
pub struct ClassTraffic {
    /// The class that the rules give them.
    pub class: Box<str>,
    /// Share of all requests outside of a burst, relative to the other classes.
    pub share: f64,
    /// The requests.
    pub shape: RequestShape,
}

/// What a request is like.
#[derive(Clone, Debug)]
pub enum RequestShape {
    /// A chat completion.
    Completion {
        /// The header `x-purpose`, if any.
        purpose: Option<Box<str>>,
        /// Whether the answer is streamed.
        streamed: bool,
        /// Size of the prompt, in bytes.
        prompt_bytes: RangeInclusive<usize>,
        /// Tokens wanted.
        tokens: RangeInclusive<u32>,
    },
    /// A call to a plain service.
    Service {
        /// The path at the service, without the number that each call adds.
        path: Box<str>,
        /// Whether the call may not be repeated.
        keyed: bool,
    },
}

/// A workspace as a source of requests.
#[derive(Clone, Debug)]
pub struct WorkspaceSource {
    /// The name.
    pub name: Box<str>,
    /// Share of requests, relative to the other workspaces.
    pub share: f64,
}

/// Everything that makes traffic.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    /// Classes.
    pub classes: Vec<ClassTraffic>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceSource>,
    /// The model that completions name.
    pub model: Box<str>,
    /// The plain service.
    pub service: Box<str>,
    /// Requests a second.
    pub rate: f64,
    /// How long requests arrive.
    pub length: Duration,
    /// More requests of one class for a while.
    pub bursts: Vec<TrafficBurst>,
}

/// More requests of one class for a while.
#[derive(Clone, Debug)]
pub struct TrafficBurst {
    /// Index of the class.
    pub class: usize,
    /// From when.
    pub from: Duration,
    /// Until when.
    pub to: Duration,
    /// How many times its usual rate.
    pub factor: f64,
}

/// A request and when it arrives.
#[derive(Clone, Debug)]
pub struct TrafficArrival {
    /// Time since the start.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// The workspace.
    pub workspace: Box<str>,
    /// The request.
    pub body: RequestBody,
}

/// Makes the arrivals of a plan; the same seed gives the same.
pub struct ArrivalSource {
    plan: TrafficPlan,
    random: Pcg64Mcg,
    at: Duration,
    number: u64,
}

impl ArrivalSource {
    /// The source for a plan and a seed.
    pub fn new(plan: TrafficPlan, seed: u64) -> Self {
        Self {
            plan,
            random: Pcg64Mcg::seed_from_u64(seed),
            at: Duration::ZERO,
            number: 0,
        }
    }

    /// A request like `class`'s that no other call has; for a call that is made again.
    pub fn replacement(class: &ClassTraffic, plan: &TrafficPlan, seed: u64) -> RequestBody {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let name = format!("again-{seed:016x}");
        make_body(class, plan, &name, "", &mut random)
    }

    /// Goes on to the next arrival and gives its class.
    fn advance(&mut self) -> usize {
        let weights: Vec<f64> = (0..self.plan.classes.len())
            .map(|index| self.weight(index))
            .collect();
        let usual: f64 = self.plan.classes.iter().map(|class| class.share).sum();
        let rate = self.plan.rate * weights.iter().sum::<f64>() / usual;
        // Exponential gaps make a Poisson process.
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at += Duration::from_secs_f64(gap);
        pick(&weights, &mut self.random)
    }

    fn weight(&self, index: usize) -> f64 {
        let bursts = self.plan.bursts.iter();
        let now = bursts
            .filter(|burst| burst.class == index && (burst.from..burst.to).contains(&self.at));
        let factor: f64 = now.map(|burst| burst.factor).product();
        self.plan.classes[index].share * factor
    }
}

impl Iterator for ArrivalSource {
    type Item = TrafficArrival;

    fn next(&mut self) -> Option<TrafficArrival> {
        self.number += 1;
        let class = self.advance();
        if self.at >= self.plan.length {
            return None;
        }
        let shares: Vec<f64> = self
            .plan
            .workspaces
            .iter()
            .map(|source| source.share)
            .collect();
        let workspace = pick(&shares, &mut self.random);
        let workspace = self.plan.workspaces[workspace].name.clone();
        let name = self.number.to_string();
        let shape = &self.plan.classes[class];
        let body = make_body(shape, &self.plan, &name, &workspace, &mut self.random);
        Some(TrafficArrival {
            at: self.at,
            class,
            workspace,
            body,
        })
    }
}

/// An index, chosen by weight.
fn pick(weights: &[f64], random: &mut Pcg64Mcg) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

fn make_body(
    class: &ClassTraffic,
    plan: &TrafficPlan,
    name: &str,
    workspace: &str,
    random: &mut Pcg64Mcg,
) -> RequestBody {
    match &class.shape {
        RequestShape::Completion {
            purpose,
            streamed,
            prompt_bytes,
            tokens,
        } => RequestBody::Completion(CompletionBody {
            model: plan.model.clone(),
            prompt: prompt(
                &class.class,
                workspace,
                name,
                random.random_range(prompt_bytes.clone()),
            ),
            tokens: random.random_range(tokens.clone()),
            streamed: *streamed,
            purpose: purpose.clone(),
        }),
        RequestShape::Service { path, keyed } => RequestBody::Service(ServiceBody {
            service: plan.service.clone(),
            path: format!("{path}/{name}").into(),
            text: format!("{} {name}", class.class).into(),
            keyed: *keyed,
        }),
    }
}

/// A prompt that begins as all others of its class and workspace, and ends as no other.
fn prompt(class: &str, workspace: &str, name: &str, bytes: usize) -> Box<str> {
    let mut text = format!("You work on {class} for {workspace}: ");
    while text.len() < bytes {
        text.push_str(FILLER);
    }
    text.truncate(bytes.max(1));
    text.push_str(" number ");
    text.push_str(name);
    text.into()
}
