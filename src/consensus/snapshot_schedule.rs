//! When a voter takes a snapshot: after a number of entries, or once they are much larger than the state.

/// Size of the entries after a snapshot up to which their size alone calls for no other one.
const MIN_ENTRY_BYTES: usize = 4 * 1_024 * 1_024;
/// Size of the entries after a snapshot, relative to the snapshot's own, from which on another one is due.
/// Bounds what is written for snapshots to a part of what is written for entries.
const ENTRY_BYTES_PER_SNAPSHOT_BYTE: usize = 4;
/// Largest random increase of both limits.
const MAX_JITTER_PERCENT: u64 = 25;

/// Decides after which applied entries a voter takes a snapshot.
#[derive(Clone, Debug)]
pub struct SnapshotSchedule {
    every_entries: u64,
    jitter_percent: u64,
    entries: u64,
    entry_bytes: usize,
    snapshot_bytes: usize,
}

impl SnapshotSchedule {
    /// A snapshot at least after each `every_entries`. Voters apply the same entries at the same time;
    /// different values of `jitter` prevent them from writing snapshots simultaneously, which would delay
    /// commits.
    pub fn new(every_entries: u64, jitter: u64) -> Self {
        Self {
            every_entries,
            jitter_percent: jitter % MAX_JITTER_PERCENT,
            entries: 0,
            entry_bytes: 0,
            snapshot_bytes: 0,
        }
    }

    /// Counts an applied entry.
    pub fn record_entry(&mut self, bytes: usize) {
        self.entries += 1;
        self.entry_bytes += bytes;
    }

    /// Begins again after a snapshot that was taken or restored.
    pub fn record_snapshot(&mut self, bytes: usize) {
        self.entries = 0;
        self.entry_bytes = 0;
        self.snapshot_bytes = bytes;
    }

    /// Whether a snapshot is to be taken now.
    pub fn is_due(&self) -> bool {
        let max_bytes = ENTRY_BYTES_PER_SNAPSHOT_BYTE.saturating_mul(self.snapshot_bytes);
        let max_bytes = max_bytes.max(MIN_ENTRY_BYTES) as u64;
        self.entries >= self.with_jitter(self.every_entries)
            || self.entry_bytes as u64 >= self.with_jitter(max_bytes)
    }

    fn with_jitter(&self, limit: u64) -> u64 {
        let increase = limit.saturating_mul(self.jitter_percent) / 100;
        limit.saturating_add(increase)
    }
}
