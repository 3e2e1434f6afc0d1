//! Provides the mix of requested task sizes, in which recent arrivals weigh more.

use crate::size::Size;

/// Maximum number of shapes in the mix.
const MAX_SHAPES: usize = 12;
/// Ratio of the weight of an arrival to the weight of the previous one.
const WEIGHT_GROWTH: f64 = 1.001;
/// Weight of an arrival above which all weights are scaled down.
const RESCALE_WEIGHT: f64 = 1e9;

/// `Shape` is a task size with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// The size.
    pub size: Size,
    /// The weight; only ratios of weights matter.
    pub weight: f64,
}

/// `Mix` holds the shapes with the largest weights.
#[derive(Clone, Debug)]
pub struct Mix {
    shapes: Vec<Shape>,
    task_weight: f64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            shapes: Vec::with_capacity(MAX_SHAPES),
            task_weight: 1.0,
        }
    }
}

impl Mix {
    /// Records the arrival of `count` tasks of a size.
    pub fn record_arrivals(&mut self, size: &Size, count: u32) {
        self.task_weight *= WEIGHT_GROWTH;
        if self.task_weight > RESCALE_WEIGHT {
            self.shapes
                .iter_mut()
                .for_each(|s| s.weight /= self.task_weight);
            self.task_weight = 1.0;
        }
        let weight = self.task_weight * f64::from(count);
        if let Some(shape) = self.shapes.iter_mut().find(|s| s.size == *size) {
            shape.weight += weight;
            return;
        }
        let shape = Shape {
            size: *size,
            weight,
        };
        if self.shapes.len() < MAX_SHAPES {
            self.shapes.push(shape);
            return;
        }
        let lightest = self
            .shapes
            .iter_mut()
            .min_by(|a, b| a.weight.total_cmp(&b.weight));
        if let Some(lightest) = lightest.filter(|l| l.weight < shape.weight) {
            *lightest = shape;
        }
    }

    /// Returns the sum of the weights.
    #[must_use]
    pub fn total_weight(&self) -> f64 {
        self.shapes.iter().map(|shape| shape.weight).sum()
    }

    /// Returns the shapes.
    #[must_use]
    pub fn shapes(&self) -> &[Shape] {
        &self.shapes
    }
}
