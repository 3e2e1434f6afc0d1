//! The mix of task sizes that the shard is asked for, newer ones counting more.

use crate::size::Size;

/// The most shapes that are remembered.
const SHAPES: usize = 12;
/// How much more each arrival counts than the one before.
const GROWTH: f64 = 1.001;
/// The weight at which all weights are scaled down.
const LIMIT: f64 = 1e9;

/// `Shape` is a size with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// The size.
    pub size: Size,
    /// Its weight; only ratios count.
    pub weight: f64,
}

/// `Mix` is the set of the weightiest shapes.
#[derive(Clone, Debug)]
pub struct Mix {
    shapes: Vec<Shape>,
    step: f64,
}

impl Default for Mix {
    fn default() -> Self {
        Self {
            shapes: Vec::with_capacity(SHAPES),
            step: 1.0,
        }
    }
}

impl Mix {
    /// Notes that `count` tasks of a size came.
    pub fn note(&mut self, size: &Size, count: u32) {
        self.step *= GROWTH;
        if self.step > LIMIT {
            self.shapes.iter_mut().for_each(|s| s.weight /= self.step);
            self.step = 1.0;
        }
        let weight = self.step * f64::from(count);
        if let Some(shape) = self.shapes.iter_mut().find(|s| s.size == *size) {
            shape.weight += weight;
            return;
        }
        let shape = Shape {
            size: *size,
            weight,
        };
        if self.shapes.len() < SHAPES {
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
    pub fn weight(&self) -> f64 {
        self.shapes.iter().map(|shape| shape.weight).sum()
    }

    /// Returns the shapes.
    #[must_use]
    pub fn shapes(&self) -> &[Shape] {
        &self.shapes
    }
}
