//! The two deployments that the demonstration can run.

use derive_more::{Display, FromStr};
use monsoonbank_kernel::config::ConfigFile;

use crate::traffic::{ClassTraffic, RequestShape, WorkspaceSource};

/// Index of the urgent class, which has a burst.
pub const URGENT_CLASS: usize = 0;

/// Index of the bulk class, which has a backlog at the start.
pub const BULK_CLASS: usize = 4;

/// Deployment whose configuration and traffic the demonstration uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum Deployment {
    /// Virtual offices: nine engines, three availability zones.
    Tauhere,
    /// Concierge desks: eighteen engines, four availability zones.
    Bengal,
}

impl Deployment {
    /// Default number of nodes.
    pub fn nodes(self) -> u64 {
        match self {
            Self::Tauhere => 6,
            Self::Bengal => 9,
        }
    }

    /// The deployment's example configuration, in YAML.
    pub fn config_text(self) -> &'static str {
        match self {
            Self::Tauhere => include_str!("../../../examples/tauhere/config.yaml"),
            Self::Bengal => include_str!("../../../examples/bengal/config.yaml"),
        }
    }

    /// Traffic by class. The first class has a burst (mail alerts in the morning, pass checks on a
    /// festival evening); the last has a backlog from the night.
    pub fn traffic(self) -> Vec<ClassTraffic> {
        match self {
            Self::Tauhere => vec![
                service("mail-alert", 0.35, "/alerts", false),
                service("forwarding-confirmation", 0.1, "/forwarding", true),
                completion("courier-reply", 0.3, None, true, 200..=2_000, 10..=60),
                completion(
                    "envelope-tag",
                    0.2,
                    Some("envelope-tag"),
                    false,
                    100..=400,
                    2..=5,
                ),
                completion(
                    "lease-summary",
                    0.05,
                    Some("lease-summary"),
                    false,
                    8_000..=30_000,
                    60..=200,
                ),
            ],
            Self::Bengal => vec![
                service("pass-check", 0.4, "/passes", false),
                service("locker-release", 0.1, "/lockers", true),
                completion("resident-chat", 0.3, None, true, 200..=2_000, 10..=60),
                completion(
                    "complaint-tag",
                    0.15,
                    Some("complaint-tag"),
                    false,
                    100..=400,
                    2..=5,
                ),
                completion(
                    "monthly-digest",
                    0.05,
                    Some("monthly-digest"),
                    false,
                    8_000..=30_000,
                    60..=200,
                ),
            ],
        }
    }
}

/// The configured workspaces as traffic sources, with their weights as shares.
pub fn sources(file: &ConfigFile) -> Vec<WorkspaceSource> {
    file.workspaces
        .iter()
        .map(|workspace| WorkspaceSource {
            name: workspace.name.clone(),
            share: f64::from(workspace.weight),
        })
        .collect()
}

fn service(class: &'static str, share: f64, path: &'static str, keyed: bool) -> ClassTraffic {
    ClassTraffic {
        class: class.into(),
        share,
        shape: RequestShape::Service {
            path: path.into(),
            keyed,
        },
    }
}

fn completion(
    class: &'static str,
    share: f64,
    purpose: Option<&'static str>,
    streamed: bool,
    prompt_bytes: std::ops::RangeInclusive<usize>,
    tokens: std::ops::RangeInclusive<u32>,
) -> ClassTraffic {
    ClassTraffic {
        class: class.into(),
        share,
        shape: RequestShape::Completion {
            purpose: purpose.map(Into::into),
            streamed,
            prompt_bytes,
            tokens,
        },
    }
}
