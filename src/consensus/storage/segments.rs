//! On-disk log: numbered segment files that consist of records.

use serde::Deserialize;
use serde::Serialize;
use snafu::ResultExt;

use super::CorruptSnafu;
use super::IoSnafu;
use super::Result;
use super::UnsupportedSnafu;
use super::disk::Disk;
use super::record;
use super::record::Parsed;
use crate::consensus::types::Entry;

/// Prefix of the names of segment files.
const PREFIX: &str = "log-";

/// Size in bytes at which a new segment is started.
const SEGMENT_BYTES: usize = 4 * 1_024 * 1_024;

/// Content of one synced write. The next record is written only after this one is synced, so only
/// the last record of the log can be torn.
#[derive(Debug, Deserialize, Serialize)]
struct Record {
    commit_index: u64,
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Segment {
    number: u64,
    bytes: usize,
    max_index: u64,
}

/// The segments of one log.
#[derive(Debug, Default)]
pub(super) struct Segments {
    segments: Vec<Segment>,
    next_number: u64,
    rotate: bool,
}

/// Entries read from all segments.
#[derive(Debug, Default)]
pub(super) struct Replayed {
    pub(super) entries: Vec<Entry>,
    pub(super) commit_index: u64,
}

impl Segments {
    /// Reads all segments and truncates a torn record at the end.
    pub(super) fn open(disk: &mut dyn Disk, names: &[String]) -> Result<(Self, Replayed)> {
        let mut numbers: Vec<u64> = names
            .iter()
            .filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok())
            .collect();
        numbers.sort_unstable();
        let mut log = Self {
            next_number: numbers.last().map_or(1, |last| last + 1),
            ..Self::default()
        };
        let mut replayed = Replayed::default();
        for (position, number) in numbers.iter().enumerate() {
            if *number != numbers[0] + position as u64 {
                return corrupt(*number, 0, "the segment before it is missing");
            }
            let is_last = position + 1 == numbers.len();
            let segment = replay(disk, *number, is_last, &mut replayed)?;
            log.segments.push(segment);
        }
        Ok((log, replayed))
    }

    /// Appends one record and syncs it.
    pub(super) fn append(
        &mut self,
        disk: &mut dyn Disk,
        commit_index: u64,
        entries: Vec<Entry>,
    ) -> Result<()> {
        let max_index = entries.iter().map(|entry| entry.index).max().unwrap_or(0);
        let bytes = record::encode(&Record {
            commit_index,
            entries,
        });
        let segment = self.active();
        let file = name(segment.number);
        disk.append(&file, &bytes).context(IoSnafu {
            operation: "append",
            file: &file,
        })?;
        disk.sync(&file).context(IoSnafu {
            operation: "sync",
            file: &file,
        })?;
        segment.bytes += bytes.len();
        segment.max_index = segment.max_index.max(max_index);
        Ok(())
    }

    fn active(&mut self) -> &mut Segment {
        let is_full = self
            .segments
            .last()
            .is_none_or(|last| last.bytes >= SEGMENT_BYTES);
        if is_full || self.rotate {
            self.rotate = false;
            self.segments.push(Segment {
                number: self.next_number,
                bytes: 0,
                max_index: 0,
            });
            self.next_number += 1;
        }
        self.segments.last_mut().expect("pushed above")
    }

    /// Removes the oldest segments whose entries are covered by a snapshot at `index`.
    pub(super) fn compact(&mut self, disk: &mut dyn Disk, index: u64) -> Result<()> {
        self.rotate |= self.segments.last().is_some_and(|last| last.bytes > 0);
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            remove(disk, self.segments[0].number)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Removes all segments, newest first, so that a crash leaves a prefix of the log.
    pub(super) fn clear(&mut self, disk: &mut dyn Disk) -> Result<()> {
        while let Some(last) = self.segments.last() {
            remove(disk, last.number)?;
            self.segments.pop();
        }
        Ok(())
    }
}

fn name(number: u64) -> String {
    format!("{PREFIX}{number:016}")
}

fn remove(disk: &mut dyn Disk, number: u64) -> Result<()> {
    let file = name(number);
    disk.remove(&file).context(IoSnafu {
        operation: "removal",
        file,
    })
}

fn corrupt<T>(number: u64, offset: usize, reason: impl Into<String>) -> Result<T> {
    CorruptSnafu {
        file: name(number),
        offset,
        reason,
    }
    .fail()
}

fn replay(
    disk: &mut dyn Disk,
    number: u64,
    is_last: bool,
    replayed: &mut Replayed,
) -> Result<Segment> {
    let file = name(number);
    let bytes = disk.read(&file).context(IoSnafu {
        operation: "read",
        file: &file,
    })?;
    let mut offset = 0;
    let mut max_index = 0;
    loop {
        match record::parse::<Record>(&bytes, offset) {
            Parsed::End => break,
            Parsed::Record(record, end) => {
                for entry in &record.entries {
                    max_index = max_index.max(entry.index);
                }
                if let Err(reason) = replayed.add(record) {
                    return corrupt(number, offset, reason);
                }
                offset = end;
            }
            Parsed::Torn if is_last => {
                disk.truncate(&file, offset).context(IoSnafu {
                    operation: "truncation",
                    file: &file,
                })?;
                break;
            }
            Parsed::Torn => return corrupt(number, offset, "the segment ends within a record"),
            Parsed::Corrupt(reason) => return corrupt(number, offset, reason),
            Parsed::Unsupported(version) => return UnsupportedSnafu { file, version }.fail(),
        }
    }
    if is_last {
        // A killed process may have written a record without syncing it. From here on the record
        // counts as durable, so it is synced.
        disk.sync(&file).context(IoSnafu {
            operation: "sync",
            file: &file,
        })?;
    }
    Ok(Segment {
        number,
        bytes: offset,
        max_index,
    })
}

impl Replayed {
    fn add(&mut self, record: Record) -> std::result::Result<(), String> {
        self.commit_index = self.commit_index.max(record.commit_index);
        for entry in record.entries {
            if let Some(first) = self.entries.first() {
                let next_index = first.index + self.entries.len() as u64;
                if entry.index > next_index {
                    return Err(format!("entry {} follows {}", entry.index, next_index - 1));
                }
                // An entry before the first one left by compaction replaces all entries.
                let kept = entry.index.saturating_sub(first.index);
                self.entries.truncate(kept as usize);
            }
            self.entries.push(entry);
        }
        Ok(())
    }
}
