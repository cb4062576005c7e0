//! Processes that own orders and jobs, including those that are known to have ended.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::types::UnixMs;
use crate::types::VmName;

/// One process of a VM.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Owner {
    /// The VM.
    pub vm: VmName,
    /// Increases with each start of the process.
    pub incarnation: u64,
}

/// A response that is recorded for resent requests and for later retrieval.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedResult {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the response had one.
    pub content_type: Option<String>,
    /// Body; `None` if it exceeded the size limit of the record.
    pub body: Option<Bytes>,
}

impl RecordedResult {
    pub(super) fn body_len(&self) -> usize {
        self.body.as_ref().map_or(0, Bytes::len)
    }

    /// A copy of the result, without the body if that is longer than `max` bytes.
    pub(super) fn bounded(&self, max: usize) -> Self {
        if self.body_len() <= max {
            return self.clone();
        }
        Self {
            body: None,
            ..self.clone()
        }
    }
}

/// Time for which an ended incarnation is kept. A command of it that arrives later can only be a
/// replay and is refused because it has expired.
pub const LOST_OWNER_KEPT_MS: u64 = 7 * 24 * 3_600_000;

/// Incarnations that have ended. A late command from one of them is granted nothing.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostOwners {
    highest: BTreeMap<VmName, (u64, UnixMs)>,
}

impl LostOwners {
    /// Whether the process of `owner` is known to have ended.
    pub fn contains(&self, owner: &Owner) -> bool {
        self.highest
            .get(&owner.vm)
            .is_some_and(|(incarnation, _)| owner.incarnation <= *incarnation)
    }

    /// Whether no ended process is recorded.
    pub fn is_empty(&self) -> bool {
        self.highest.is_empty()
    }

    pub(super) fn add(&mut self, vm: VmName, incarnation: u64, now: UnixMs) {
        let entry = self.highest.entry(vm).or_insert((incarnation, now));
        entry.0 = entry.0.max(incarnation);
        entry.1 = now;
    }

    pub(super) fn expire(&mut self, now: UnixMs) {
        self.highest
            .retain(|_, (_, lost_at)| now.since(*lost_at) < LOST_OWNER_KEPT_MS);
    }
}
