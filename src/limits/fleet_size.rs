//! Number of VMs that share a budget of the whole fleet.

use crate::types::MonoMs;

/// Time for which a VM that is not seen any more is counted, at least. Longer than data centres are
/// cut off from each other.
const MEMORY_MS: u64 = 2 * 60 * 60 * 1_000;
/// Number of VMs assumed before any is seen.
const UNKNOWN_VMS: u32 = 16;

/// Largest number of VMs that was seen lately. A VM sees fewer than there are while it is cut off,
/// and right after a restart; with too small a number the VMs would together spend more than the
/// budget.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetSize {
    /// Largest number since `since`.
    current: Option<u32>,
    /// Largest number in the time before.
    previous: Option<u32>,
    since: MonoMs,
}

impl FleetSize {
    /// Counts `vms` VMs that are seen at `now`.
    pub fn observe(&mut self, vms: u32, now: MonoMs) {
        let age_ms = now.since(self.since);
        if age_ms >= MEMORY_MS {
            let is_recent = age_ms < 2 * MEMORY_MS;
            self.previous = self.current.filter(|_| is_recent);
            self.current = None;
            self.since = now;
        }
        self.current = self.current.max(Some(vms.max(1)));
    }

    /// Number of VMs to divide a budget by.
    pub fn largest(&self) -> u32 {
        let largest = self.current.max(self.previous);
        largest.unwrap_or(UNKNOWN_VMS)
    }
}
