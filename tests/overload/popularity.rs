//! Distribution of requests over many adapters.

use medlarlift::types::ModelName;
use rand::RngExt;
use rand::rngs::StdRng;

/// Exponent of the distribution: the popularity of the n-th adapter is proportional to n to this
/// power.
const SKEW: f64 = -1.2;

/// Adapters of one base model, in order of decreasing popularity.
pub struct Popularity {
    /// Cumulative share of the requests by number of adapters.
    shares: Vec<f64>,
}

impl Popularity {
    /// Creates the distribution for `adapters` adapters.
    pub fn new(adapters: usize) -> Self {
        let weights: Vec<f64> = (1..=adapters).map(|n| (n as f64).powf(SKEW)).collect();
        let total: f64 = weights.iter().sum();
        let mut sum = 0.0;
        let shares = weights.iter().map(|weight| {
            sum += weight / total;
            sum
        });
        Self {
            shares: shares.collect(),
        }
    }

    /// Draws the adapter of a request.
    pub fn draw(&self, rng: &mut StdRng) -> ModelName {
        let at: f64 = rng.random();
        let rank = self.shares.partition_point(|share| *share < at);
        ModelName::from(format!("base/a{rank}"))
    }
}
