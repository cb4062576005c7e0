//! Residency lease: which adapters VMs may dispatch to which engines, and when an eviction is safe.
//!
//! A coordinator owns a [`ResidencyTable`]. VMs pull it, hold it in a [`ResidencyView`] until a
//! deadline and report what they have in use.

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

/// Figures of the residency lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResidencyConfig {
    /// Validity of a table, in milliseconds from before the pull was sent.
    pub valid_ms: u64,
    /// Longest time from dispatch to the end of a request, in milliseconds. Dispatchers cancel
    /// requests that take longer.
    pub longest_request_ms: u64,
    /// Added to waits for silent VMs, in milliseconds, because clocks of two VMs drift apart.
    pub clock_drift_ms: u64,
    /// Time for which announcements may still show the state before an order, in milliseconds.
    pub announcement_lag_ms: u64,
    /// Removed engines that the table remembers for VMs that hold an old version.
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
    /// Time after a table was served by which its VM has no request in flight, if it stays silent.
    pub fn silent_vm_timeout_ms(&self) -> u64 {
        self.valid_ms + self.longest_request_ms + self.clock_drift_ms
    }
}
