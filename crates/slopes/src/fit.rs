//! Linear regression through measured points.

use serde::Serialize;

/// A straight line through measured points.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Fit {
    /// Value of the line at zero.
    pub intercept: f64,
    /// Increase per instance.
    pub slope: f64,
    /// The largest vertical distance of a point from the line.
    pub residual: f64,
}

/// Fits a line by least squares; `None` for fewer than two different points.
///
/// ```
/// let fit = slopes::fit(&[(1.0, 5.0), (2.0, 7.0), (3.0, 9.0)]).unwrap();
/// assert!((fit.slope - 2.0).abs() < 1e-9 && fit.residual < 1e-9);
/// ```
pub fn fit(points: &[(f64, f64)]) -> Option<Fit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || variance == 0.0 {
        return None;
    }
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let residual = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).abs())
        .fold(0.0, f64::max);
    Some(Fit {
        intercept,
        slope,
        residual,
    })
}
