//! In-memory log: a snapshot, the entries after it and a limited number of entries before it.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::consensus::types::Configuration;
use crate::consensus::types::Entry;
use crate::consensus::types::Payload;
use crate::consensus::types::Snapshot;

/// Number of entries before the snapshot that stay in memory, so that a member that lags slightly
/// gets entries instead of a snapshot.
const RETAINED_ENTRIES: usize = 1_024;

/// Size of these entries. A member that lags further gets the snapshot.
const RETAINED_BYTES: usize = 1_024 * 1_024;

/// Entries, their snapshot and the memberships set by them.
#[derive(Clone, Debug)]
pub struct Log {
    snapshot: Arc<Snapshot>,
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    configurations: Vec<(u64, Configuration)>,
}

impl Log {
    /// A log that starts at `snapshot` and continues with the `entries` after it.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index: snapshot.index,
            base_term: snapshot.term,
            entries: VecDeque::new(),
            configurations: vec![(snapshot.index, snapshot.configuration.clone())],
            snapshot: Arc::new(snapshot),
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// Index of the last entry, 0 if there is none.
    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Index of the entry before the first one in memory.
    pub fn base_index(&self) -> u64 {
        self.base_index
    }

    /// The latest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Term of the entry at `index`, if it is known.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from index `from`, at least one and otherwise limited to `max_bytes`.
    pub fn entries_from(&self, from: u64, max_bytes: usize) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let mut bytes = 0;
        let mut chosen = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.size_bytes();
            if !chosen.is_empty() && bytes > max_bytes {
                break;
            }
            chosen.push(entry.clone());
        }
        chosen
    }

    /// Whether the entries in memory with an index in `from..=to` are larger than `max_bytes`.
    pub fn exceeds(&self, from: u64, to: u64, max_bytes: usize) -> bool {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let count = (to + 1).saturating_sub(from) as usize;
        let mut bytes = 0;
        let mut entries = self.entries.iter().skip(skip).take(count);
        entries.any(|entry| {
            bytes += entry.size_bytes();
            bytes > max_bytes
        })
    }

    /// Entries with an index in `from..=to`.
    pub fn range(&self, from: u64, to: u64) -> Vec<Entry> {
        let skip = from.saturating_sub(self.base_index + 1) as usize;
        let count = (to + 1).saturating_sub(from) as usize;
        self.entries
            .iter()
            .skip(skip)
            .take(count)
            .cloned()
            .collect()
    }

    /// Appends the next entry.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "log entries must be consecutive"
        );
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configurations
                .push((entry.index, configuration.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at `from` and all after it.
    pub fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        self.configurations.retain(|(index, _)| *index < from);
    }

    /// Index of the last entry before `index` whose term differs from that of the entry at `index`.
    pub fn last_index_before_term_at(&self, index: u64) -> u64 {
        let Some(term) = self.term_at(index) else {
            return self.last_index().min(index.saturating_sub(1));
        };
        let mut before = index.saturating_sub(1);
        while before > self.base_index && self.term_at(before) == Some(term) {
            before -= 1;
        }
        before
    }

    /// The latest membership, committed or not, and the index of its entry.
    pub fn configuration(&self) -> &(u64, Configuration) {
        self.configurations
            .last()
            .expect("the log always has the membership of its snapshot")
    }

    /// The membership after the entry at `index`.
    pub fn configuration_at(&self, index: u64) -> &Configuration {
        self.configurations
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.configuration, |(_, found)| found)
    }

    /// Replaces the snapshot by one of the local state machine and drops old entries.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let new_base = snapshot.index - self.retained_before(snapshot.index);
        if new_base > self.base_index {
            self.base_term = self
                .term_at(new_base)
                .expect("an applied entry after the base is in memory");
            self.entries.drain(..(new_base - self.base_index) as usize);
            self.base_index = new_base;
        }
        let current = self
            .configurations
            .iter()
            .rposition(|(at, _)| *at <= snapshot.index)
            .unwrap_or(0);
        self.configurations.drain(..current);
        self.snapshot = Arc::new(snapshot);
    }

    /// Number of entries up to `index` that stay in memory beside a snapshot there.
    fn retained_before(&self, index: u64) -> u64 {
        let covered = index.saturating_sub(self.base_index) as usize;
        let mut bytes = 0;
        let entries = self.entries.iter().take(covered).rev();
        let retained = entries.take(RETAINED_ENTRIES).take_while(|entry| {
            bytes += entry.size_bytes();
            bytes <= RETAINED_BYTES
        });
        retained.count() as u64
    }

    /// Replaces the snapshot by one from the leader. Returns whether all entries were dropped,
    /// which happens unless the log contains the snapshot's last entry.
    pub fn install(&mut self, snapshot: Snapshot) -> bool {
        if self.term_at(snapshot.index) == Some(snapshot.term) {
            self.compact(snapshot);
            return false;
        }
        *self = Self::new(snapshot, Vec::new());
        true
    }
}
