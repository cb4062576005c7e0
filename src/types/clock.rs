//! Time stamps and the clock that produces them.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds on the monotonic clock of a process. Not comparable between processes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct MonoMs(pub u64);

impl MonoMs {
    /// The time stamp `delta_ms` later.
    pub fn plus(self, delta_ms: u64) -> Self {
        Self(self.0.saturating_add(delta_ms))
    }

    /// Milliseconds from `earlier` to `self`, 0 if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Milliseconds since the Unix epoch on the wall clock. Used for deadlines of callers and for
/// records that outlive a process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// The time stamp `delta_ms` later.
    pub fn plus(self, delta_ms: u64) -> Self {
        Self(self.0.saturating_add(delta_ms))
    }

    /// Milliseconds from `earlier` to `self`, 0 if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Reads the monotonic and the wall clock. Only I/O code uses it; decision code receives time
/// stamps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose monotonic time starts now.
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Milliseconds since the clock was started.
    pub fn mono(&self) -> MonoMs {
        MonoMs(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Milliseconds since the Unix epoch, 0 if the wall clock is set before it.
    pub fn unix(&self) -> UnixMs {
        let elapsed = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMs(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}
