//! Open-loop traffic: requests arrive at random times that do not depend on the answers.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::request::{CompletionBody, RequestBody, ServiceBody};

/// Text that pads prompts to their size.
const FILLER: &str = "the courier left a notice about a parcel that needs a signature, and ";

/// Share and shape of the requests of one class.
#[derive(Clone, Debug)]
pub struct ClassTraffic {
    /// The class that the routing rules assign to these requests.
    pub class: Box<str>,
    /// Weight of the class among all requests outside bursts, relative to the other classes.
    pub share: f64,
    /// Shape of the requests.
    pub shape: RequestShape,
}

/// Kind and size of the requests of a class.
#[derive(Clone, Debug)]
pub enum RequestShape {
    /// A chat completion.
    Completion {
        /// Value of the header `x-purpose`; `None` omits the header.
        purpose: Option<Box<str>>,
        /// Whether the answer is streamed.
        streamed: bool,
        /// Range of prompt sizes, in bytes.
        prompt_bytes: RangeInclusive<usize>,
        /// Range of the number of tokens requested.
        tokens: RangeInclusive<u32>,
    },
    /// A call to a plain service.
    Service {
        /// Path at the service, without the number that is appended for each call.
        path: Box<str>,
        /// Whether the calls are not repeatable and carry an idempotency key.
        keyed: bool,
    },
}

/// A workspace as a source of requests.
#[derive(Clone, Debug)]
pub struct WorkspaceSource {
    /// Name of the workspace.
    pub name: Box<str>,
    /// Weight among all requests, relative to the other workspaces.
    pub share: f64,
}

/// Complete description of the traffic of a run.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    /// Traffic by class; other types refer to a class by its index here.
    pub classes: Vec<ClassTraffic>,
    /// Workspaces that send the requests.
    pub workspaces: Vec<WorkspaceSource>,
    /// Model that completions request.
    pub model: Box<str>,
    /// Plain service that service calls address.
    pub service: Box<str>,
    /// Mean number of requests per second outside bursts.
    pub rate: f64,
    /// Duration during which requests arrive.
    pub length: Duration,
    /// Bursts of single classes; overlapping bursts multiply.
    pub bursts: Vec<TrafficBurst>,
}

/// A period with a higher rate of requests of one class.
#[derive(Clone, Debug)]
pub struct TrafficBurst {
    /// Index of the class.
    pub class: usize,
    /// Start, since the start of the traffic.
    pub from: Duration,
    /// End, since the start of the traffic; exclusive.
    pub to: Duration,
    /// Multiple of the class's usual rate.
    pub factor: f64,
}

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct TrafficArrival {
    /// Arrival time since the start of the traffic.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Name of the workspace that sends the request.
    pub workspace: Box<str>,
    /// The request.
    pub body: RequestBody,
}

/// Generates the arrivals of a plan; the same seed generates the same arrivals.
pub struct ArrivalSource {
    plan: TrafficPlan,
    random: Pcg64Mcg,
    at: Duration,
    number: u64,
}

impl ArrivalSource {
    /// A generator for a plan and a seed.
    pub fn new(plan: TrafficPlan, seed: u64) -> Self {
        Self {
            plan,
            random: Pcg64Mcg::seed_from_u64(seed),
            at: Duration::ZERO,
            number: 0,
        }
    }

    /// A unique request of the shape of `class` that replaces a call with an unknown outcome.
    pub fn replacement(class: &ClassTraffic, plan: &TrafficPlan, seed: u64) -> RequestBody {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let name = format!("again-{seed:016x}");
        request_body(class, plan, &name, "", &mut random)
    }

    /// Advances to the next arrival and returns the index of its class.
    fn advance(&mut self) -> usize {
        let weights: Vec<f64> = (0..self.plan.classes.len())
            .map(|index| self.weight(index))
            .collect();
        let usual: f64 = self.plan.classes.iter().map(|class| class.share).sum();
        let rate = self.plan.rate * weights.iter().sum::<f64>() / usual;
        // Exponentially distributed gaps make a Poisson process.
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.at += Duration::from_secs_f64(gap);
        pick(&weights, &mut self.random)
    }

    fn weight(&self, index: usize) -> f64 {
        let bursts = self.plan.bursts.iter();
        let active = bursts
            .filter(|burst| burst.class == index && (burst.from..burst.to).contains(&self.at));
        let factor: f64 = active.map(|burst| burst.factor).product();
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
        let body = request_body(shape, &self.plan, &name, &workspace, &mut self.random);
        Some(TrafficArrival {
            at: self.at,
            class,
            workspace,
            body,
        })
    }
}

/// Picks an index at random in proportion to its weight.
fn pick(weights: &[f64], random: &mut Pcg64Mcg) -> usize {
    let mut remaining = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

fn request_body(
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

/// A prompt with a prefix shared by its class and workspace, and a unique suffix.
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
