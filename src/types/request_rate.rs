//! Rate of requests as a backend server states it.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Thousandths of a request in one request.
const MILLI: f64 = 1_000.0;
/// Lowest rate that is applied, in thousandths of a request per second. A server that states less
/// still gets a request now and then, because only an answer shows that its limit has ended.
const MIN_MILLI_PER_S: u64 = 100;
/// Highest rate that is applied, in thousandths of a request per second.
const MAX_MILLI_PER_S: u64 = 1_000_000_000;

/// A rate of requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct RequestRate {
    milli_per_s: u64,
}

impl RequestRate {
    /// The rate of `per_s` requests per second, within the range of rates that are applied; `None`
    /// if it is negative or not a number.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if per_s.is_nan() || per_s < 0.0 {
            return None;
        }
        let milli_per_s = (per_s * MILLI) as u64;
        Some(Self {
            milli_per_s: milli_per_s.clamp(MIN_MILLI_PER_S, MAX_MILLI_PER_S),
        })
    }

    /// Reads a decimal number of requests per second.
    pub fn parse(text: &str) -> Option<Self> {
        Self::from_per_s(text.trim().parse().ok()?)
    }

    /// Thousandths of a request per second.
    pub fn milli_per_s(self) -> u64 {
        self.milli_per_s
    }

    /// Time between two requests at this rate, in milliseconds.
    pub fn interval_ms(self) -> u64 {
        (MILLI * MILLI) as u64 / self.milli_per_s
    }

    /// Requests per second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}
