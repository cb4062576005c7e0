//! Residency lease: the engines to which VMs may dispatch an adapter, and when its eviction is safe.
//!
//! A coordinator owns a [`ResidencyTable`]. VMs pull it, cache it in a [`ResidencyView`] until it
//! expires and report the adapters that they have in use.

mod engine;
mod holders;
mod messages;
mod table;
mod view;

pub use engine::EngineSnapshot;
pub use engine::Slot;
pub use messages::EngineRow;
pub use messages::FORMAT;
pub use messages::InUse;
pub use messages::Residency;
pub use messages::Table;
pub use messages::TablePull;
pub use messages::TableVersion;
pub use messages::WaitingAdapter;
pub use table::PullError;
pub use table::ResidencyTable;
pub use view::DispatchPermit;
pub use view::ResidencyView;

/// Configuration of the residency lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResidencyConfig {
    /// Validity of a table, in milliseconds, counted from before its pull is sent.
    pub valid_ms: u64,
    /// Maximum duration of a request from its dispatch, in milliseconds. Dispatchers cancel requests
    /// that take longer.
    pub longest_request_ms: u64,
    /// Margin for clock drift between two VMs, added to the time-out of silent VMs, in milliseconds.
    pub clock_drift_ms: u64,
    /// Time for which announcements may still show the state from before an order, in milliseconds.
    pub announcement_lag_ms: u64,
    /// Maximum number of removed engines kept for deltas to VMs that have cached an older version.
    pub max_removed_engines: usize,
}

impl Default for ResidencyConfig {
    fn default() -> Self {
        Self {
            valid_ms: 2_000,
            longest_request_ms: 60_000,
            clock_drift_ms: 100,
            announcement_lag_ms: 2_000,
            max_removed_engines: 256,
        }
    }
}

impl ResidencyConfig {
    /// Time after which a VM that stays silent has no request in flight, counted from its last pull,
    /// in milliseconds.
    pub fn silent_vm_timeout_ms(&self) -> u64 {
        self.valid_ms + self.longest_request_ms + self.clock_drift_ms
    }
}
