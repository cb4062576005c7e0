//! In-memory buffer of recently applied entries and a snapshot, to serve followers.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::consensus::message::FollowContent;
use crate::consensus::message::SnapshotPosition;
use crate::consensus::types::Entry;
use crate::consensus::types::Snapshot;

/// Maximum number of retained entries.
const MAX_ENTRIES: usize = 8_192;

/// Maximum size of the retained entries in bytes.
const MAX_BYTES: usize = 4 * 1_024 * 1_024;

/// Maximum size in bytes of the entries or the snapshot chunk in one reply.
const MAX_REPLY_BYTES: usize = 256 * 1_024;

/// The last part of the applied log, and a snapshot from which followers can start.
#[derive(Debug, Default)]
pub(super) struct AppliedLog {
    entries: VecDeque<Entry>,
    bytes: usize,
    last_index: u64,
    snapshot: Option<Arc<Snapshot>>,
}

/// Result of a lookup for a follow request.
#[derive(Debug)]
pub(super) enum Lookup {
    Found(FollowContent),
    /// The entries are no longer retained, and no snapshot reaches up to the retained ones.
    NeedsSnapshot,
}

impl AppliedLog {
    pub(super) fn push(&mut self, entry: Entry) {
        self.last_index = entry.index;
        self.bytes += entry.size_bytes();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some(dropped) = self.entries.pop_front() else {
                break;
            };
            self.bytes -= dropped.size_bytes();
        }
    }

    /// Drops all entries and continues after `snapshot`.
    pub(super) fn reset_to(&mut self, snapshot: Arc<Snapshot>) {
        *self = Self {
            last_index: snapshot.index,
            snapshot: Some(snapshot),
            ..Self::default()
        };
    }

    pub(super) fn publish_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.snapshot = Some(snapshot);
    }

    pub(super) fn lookup(&self, next_index: u64, position: Option<SnapshotPosition>) -> Lookup {
        let first_index = self.last_index + 1 - self.entries.len() as u64;
        if next_index >= first_index {
            return Lookup::Found(FollowContent::Entries(self.entries_from(next_index)));
        }
        match &self.snapshot {
            Some(snapshot) if snapshot.index + 1 >= first_index => {
                Lookup::Found(chunk(snapshot, position))
            }
            _ => Lookup::NeedsSnapshot,
        }
    }

    fn entries_from(&self, next_index: u64) -> Vec<Entry> {
        let first_index = self.last_index + 1 - self.entries.len() as u64;
        let skip = (next_index - first_index) as usize;
        let mut bytes = 0;
        let mut chosen = Vec::new();
        for entry in self.entries.iter().skip(skip) {
            bytes += entry.size_bytes();
            if !chosen.is_empty() && bytes > MAX_REPLY_BYTES {
                break;
            }
            chosen.push(entry.clone());
        }
        chosen
    }
}

fn chunk(snapshot: &Snapshot, position: Option<SnapshotPosition>) -> FollowContent {
    let offset = match position {
        Some(position) if position.index == snapshot.index => position.offset,
        _ => 0,
    };
    let start = (offset as usize).min(snapshot.data.len());
    let end = (start + MAX_REPLY_BYTES).min(snapshot.data.len());
    FollowContent::Snapshot {
        index: snapshot.index,
        term: snapshot.term,
        configuration: snapshot.configuration.clone(),
        offset: start as u64,
        total_bytes: snapshot.data.len() as u64,
        data: snapshot.data.slice(start..end),
    }
}
