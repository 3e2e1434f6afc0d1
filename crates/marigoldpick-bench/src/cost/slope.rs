//! Straight lines fitted through measurements.

use std::fmt;

use serde::Serialize;

/// `Point` is one measurement: a size and the cost at that size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Point {
    /// The size.
    pub(crate) x: f64,
    /// The cost.
    pub(crate) y: f64,
}

/// `Slope` is a line through at least three measurements.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Slope {
    /// The name of the measured cost, for example `lead.processor`.
    pub(crate) name: &'static str,
    /// The unit of the cost, for example `us/s`.
    pub(crate) unit: &'static str,
    /// The thing that the size counts, for example `worker`.
    pub(crate) per: &'static str,
    /// The cost of one more of what the size counts.
    pub(crate) each: f64,
    /// The cost at size zero.
    pub(crate) base: f64,
    /// The root mean square distance from the line, as a fraction of the mean cost.
    pub(crate) residual: f64,
    /// The measurements.
    pub(crate) points: Vec<Point>,
}

impl Slope {
    /// Fits a line by least squares.
    pub(crate) fn fit(
        name: &'static str,
        unit: &'static str,
        per: &'static str,
        points: Vec<Point>,
    ) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / count;
        let covariance: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let variance: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let each = if variance > 0.0 {
            covariance / variance
        } else {
            0.0
        };
        let base = each.mul_add(-mean_x, mean_y);
        let squared_error: f64 = points
            .iter()
            .map(|p| (p.y - each.mul_add(p.x, base)).powi(2))
            .sum();
        let residual = if mean_y == 0.0 {
            0.0
        } else {
            (squared_error / count).sqrt() / mean_y.abs()
        };
        Self {
            name,
            unit,
            per,
            each,
            base,
            residual,
            points,
        }
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let what = format!("{} [{} per {}]", self.name, self.unit, self.per);
        write!(
            f,
            "{what:<44} {:>12.3} {:>12.3} {:>7.1}% ",
            self.each,
            self.base,
            self.residual * 100.0
        )?;
        self.points
            .iter()
            .try_for_each(|p| write!(f, " {}:{:.1}", p.x, p.y))
    }
}
