//! Least-squares fits of three growth models to figures by fleet size.

use serde::{Deserialize, Serialize};

/// A growth model; `n` is the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrowthShape {
    /// `a + b n`
    #[display("linear")]
    Linear,
    /// `a + b ln n`
    #[display("logarithmic")]
    Logarithmic,
    /// `a + b n²`
    #[display("quadratic")]
    Quadratic,
}

impl GrowthShape {
    const ALL: [Self; 3] = [Self::Linear, Self::Logarithmic, Self::Quadratic];

    fn basis(self, size: f64) -> f64 {
        match self {
            Self::Linear => size,
            Self::Logarithmic => size.ln(),
            Self::Quadratic => size * size,
        }
    }
}

/// The least-squares fit of one growth model to one quantity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrowthFit {
    /// Name of the quantity.
    pub quantity: Box<str>,
    /// Growth model.
    pub shape: GrowthShape,
    /// The constant term `a`, in the unit of the quantity.
    pub intercept: f64,
    /// The coefficient `b`.
    pub slope: f64,
    /// Root mean square of the residuals, in the unit of the quantity.
    pub residual: f64,
    /// Smallest and largest measured size; 0 and 0 without points.
    pub range: [usize; 2],
}

/// Fits each model to points of size and value; the fit with the smallest residual comes first.
pub fn fits(quantity: &str, points: &[(usize, f64)]) -> Vec<GrowthFit> {
    let mut found: Vec<GrowthFit> = GrowthShape::ALL
        .into_iter()
        .map(|shape| fit(quantity, shape, points))
        .collect();
    found.sort_by(|a, b| a.residual.total_cmp(&b.residual));
    found
}

fn fit(quantity: &str, shape: GrowthShape, points: &[(usize, f64)]) -> GrowthFit {
    let count = points.len().max(1) as f64;
    let basis = |size: usize| shape.basis(size as f64);
    let mean_x = points.iter().map(|(n, _)| basis(*n)).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = points
        .iter()
        .map(|(n, _)| (basis(*n) - mean_x).powi(2))
        .sum();
    let covariance: f64 = points
        .iter()
        .map(|(n, y)| (basis(*n) - mean_x) * (y - mean_y))
        .sum();
    let slope = if variance > 0.0 {
        covariance / variance
    } else {
        0.0
    };
    let intercept = mean_y - slope * mean_x;
    let squares: f64 = points
        .iter()
        .map(|(n, y)| (y - intercept - slope * basis(*n)).powi(2))
        .sum();
    let sizes = points.iter().map(|(n, _)| *n);
    GrowthFit {
        quantity: quantity.into(),
        shape,
        intercept,
        slope,
        residual: (squares / count).sqrt(),
        range: [sizes.clone().min().unwrap_or(0), sizes.max().unwrap_or(0)],
    }
}
