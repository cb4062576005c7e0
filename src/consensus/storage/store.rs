//! Recovers the state in a data folder and persists the writes of the core.

use snafu::ResultExt;

use super::CorruptSnafu;
use super::IoSnafu;
use super::Result;
use super::UnsupportedSnafu;
use super::disk::Disk;
use super::record;
use super::record::Parsed;
use super::segments::Replayed;
use super::segments::Segments;
use crate::consensus::core::Meta;
use crate::consensus::core::RecoveredState;
use crate::consensus::core::Write;
use crate::consensus::types::Snapshot;

/// File of the metadata.
const META_FILE: &str = "meta";

/// Prefix of the names of snapshot files.
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Durable storage of a voter.
pub trait Storage: Send {
    /// Writes and syncs the changes in order. After an error the voter must stop, because it is
    /// unknown which changes are durable.
    fn write(&mut self, writes: Vec<Write>) -> Result<()>;
}

/// Durable state in files.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    log: Segments,
}

impl<D: Disk> Store<D> {
    /// Recovers the state on `disk`. A disk without metadata is cleared and gets the new identity
    /// `new_disk_id`.
    pub fn open(mut disk: D, new_disk_id: u64) -> Result<(Self, RecoveredState)> {
        let names = list(&mut disk)?;
        if !names.iter().any(|name| name == META_FILE) {
            return Self::reset(disk, new_disk_id);
        }
        let meta = read_single(&mut disk, META_FILE)?;
        let snapshot = read_snapshot(&mut disk, &names)?;
        let (log, replayed) = Segments::open(&mut disk, &names)?;
        let mut store = Self { disk, log };
        let replayed = store.reconcile(&snapshot, replayed)?;
        let recovered = RecoveredState {
            meta,
            snapshot,
            commit_index: replayed.commit_index,
            entries: replayed.entries,
        };
        Ok((store, recovered))
    }

    /// Removes all state and starts with the new identity `new_disk_id`.
    pub fn reset(mut disk: D, new_disk_id: u64) -> Result<(Self, RecoveredState)> {
        // The metadata is removed first. An identity with metadata but without its log would vote
        // without the entries that it has acknowledged.
        remove(&mut disk, META_FILE)?;
        for name in list(&mut disk)? {
            remove(&mut disk, &name)?;
        }
        let meta = Meta {
            disk_id: new_disk_id,
            ..Meta::default()
        };
        let recovered = RecoveredState {
            meta: meta.clone(),
            ..RecoveredState::default()
        };
        let mut store = Self {
            disk,
            log: Segments::default(),
        };
        store.write_meta(&meta)?;
        Ok((store, recovered))
    }

    /// Drops the entries covered by the snapshot, or all entries if the log ends before the
    /// snapshot or conflicts with it.
    fn reconcile(&mut self, snapshot: &Snapshot, mut replayed: Replayed) -> Result<Replayed> {
        let first = replayed.entries.first().map_or(0, |entry| entry.index);
        let last = replayed.entries.last().map_or(0, |entry| entry.index);
        if first > snapshot.index + 1 {
            return CorruptSnafu {
                file: "log",
                offset: 0usize,
                reason: format!(
                    "entries after {} are missing: the first one is {first}",
                    snapshot.index
                ),
            }
            .fail();
        }
        let at_snapshot = replayed
            .entries
            .iter()
            .find(|entry| entry.index == snapshot.index);
        let is_conflicting = at_snapshot.is_some_and(|entry| entry.term != snapshot.term);
        if last < snapshot.index || is_conflicting {
            self.log.clear(&mut self.disk)?;
            replayed.entries.clear();
            replayed.commit_index = snapshot.index;
        }
        replayed
            .entries
            .retain(|entry| entry.index > snapshot.index);
        Ok(replayed)
    }

    fn write_meta(&mut self, meta: &Meta) -> Result<()> {
        replace(&mut self.disk, META_FILE, &record::encode(meta))
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let file = snapshot_name(snapshot.index);
        replace(&mut self.disk, &file, &record::encode(snapshot))?;
        for name in list(&mut self.disk)? {
            if name.starts_with(SNAPSHOT_PREFIX) && name < file {
                remove(&mut self.disk, &name)?;
            }
        }
        Ok(())
    }

    fn write_one(&mut self, write: Write) -> Result<()> {
        if let Some(meta) = &write.meta {
            self.write_meta(meta)?;
        }
        if let Some(snapshot) = &write.snapshot {
            self.write_snapshot(snapshot)?;
            if write.reset_log {
                self.log.clear(&mut self.disk)?;
            } else {
                self.log.compact(&mut self.disk, snapshot.index)?;
            }
        }
        if !write.entries.is_empty() {
            self.log
                .append(&mut self.disk, write.commit_index, write.entries)?;
        }
        Ok(())
    }
}

impl<D: Disk> Storage for Store<D> {
    fn write(&mut self, writes: Vec<Write>) -> Result<()> {
        for write in merge(writes) {
            self.write_one(write)?;
        }
        Ok(())
    }
}

/// Merges consecutive writes, so that they share a sync. A write with a snapshot is not merged.
fn merge(writes: Vec<Write>) -> Vec<Write> {
    let mut merged: Vec<Write> = Vec::new();
    for write in writes {
        match merged.last_mut() {
            Some(last) if last.snapshot.is_none() && write.snapshot.is_none() => {
                last.seq = write.seq;
                last.meta = write.meta.or(last.meta.take());
                last.entries.extend(write.entries);
                last.commit_index = write.commit_index;
            }
            _ => merged.push(write),
        }
    }
    merged
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

fn read_snapshot(disk: &mut dyn Disk, names: &[String]) -> Result<Snapshot> {
    let latest = names
        .iter()
        .filter(|name| name.starts_with(SNAPSHOT_PREFIX))
        .max();
    match latest {
        Some(name) => read_single(disk, name),
        None => Ok(Snapshot::default()),
    }
}

/// Reads a file that consists of one record and was written atomically.
fn read_single<T: serde::de::DeserializeOwned>(disk: &mut dyn Disk, file: &str) -> Result<T> {
    let bytes = disk.read(file).context(IoSnafu {
        operation: "read",
        file,
    })?;
    let reason = match record::parse(&bytes, 0) {
        Parsed::Record(content, end) if end == bytes.len() => return Ok(content),
        Parsed::Corrupt(reason) => reason,
        Parsed::Unsupported(version) => return UnsupportedSnafu { file, version }.fail(),
        _ => "the file is incomplete".to_owned(),
    };
    CorruptSnafu {
        file,
        offset: 0usize,
        reason,
    }
    .fail()
}

fn list(disk: &mut dyn Disk) -> Result<Vec<String>> {
    disk.names().context(IoSnafu {
        operation: "listing",
        file: "data folder",
    })
}

fn replace(disk: &mut dyn Disk, file: &str, bytes: &[u8]) -> Result<()> {
    disk.replace(file, bytes).context(IoSnafu {
        operation: "replacement",
        file,
    })
}

fn remove(disk: &mut dyn Disk, file: &str) -> Result<()> {
    disk.remove(file).context(IoSnafu {
        operation: "removal",
        file,
    })
}
