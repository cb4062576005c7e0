//! Stamps that members put into their messages, and what a follower learns from those that its leader returns.
//!
//! A follower stamps its replies with its own clock, and the leader returns the latest stamp that it has read. What
//! a message of the leader says was true after that stamp was set, however late the message arrives.

use super::Core;
use super::Role;
use crate::consensus::message::ClockStamps;
use crate::consensus::types::VoterId;

/// The clock of a member in its stamps.
#[derive(Clone, Copy, Debug)]
pub(super) struct StampClock {
    /// Added to the time. It differs between processes, so that a stamp of a former process on the same disk is
    /// not taken for an own one.
    offset_ms: u64,
    started_ms: u64,
}

impl StampClock {
    /// The clock of a process that started at `started_ms` with a random `seed`.
    pub(super) fn new(seed: u64, started_ms: u64) -> Self {
        Self {
            // Leaves room for the time.
            offset_ms: seed >> 1,
            started_ms,
        }
    }

    fn stamp(self, now_ms: u64) -> u64 {
        self.offset_ms + now_ms
    }

    /// When this process set `stamp`; `None` if it cannot have done so by `now_ms`.
    fn read(self, stamp: u64, now_ms: u64) -> Option<u64> {
        let at_ms = stamp.checked_sub(self.offset_ms)?;
        (self.started_ms..=now_ms).contains(&at_ms).then_some(at_ms)
    }
}

impl Core {
    /// Stamps of a message to `to`.
    pub(super) fn stamps_for(&self, to: &VoterId) -> ClockStamps {
        let progress = match &self.role {
            Role::Leader(leadership) => leadership.progress.get(to),
            _ => None,
        };
        ClockStamps {
            sent_ms: Some(self.own_stamp()),
            echoed_ms: progress.and_then(|progress| progress.stamp_ms),
        }
    }

    /// Stamp of a message that is sent now.
    pub(super) fn own_stamp(&self) -> u64 {
        self.stamp_clock.stamp(self.now_ms)
    }

    /// Keeps the stamp of a reply of `from`, to return it. It may be smaller than the one before, as the member may have
    /// started again.
    pub(super) fn keep_stamp(&mut self, from: &VoterId, stamps: ClockStamps) {
        if let Some(progress) = self.progress(from) {
            progress.stamp_ms = stamps.sent_ms;
        }
    }

    /// Time on the own clock after which the leader knew what a message with `stamps` says; `None` if that is not known.
    pub(super) fn known_since_ms(&self, stamps: ClockStamps) -> Option<u64> {
        match stamps.sent_ms {
            Some(_) => self.stamp_clock.read(stamps.echoed_ms?, self.now_ms),
            // A leader without stamps. Its messages count as new, unless this process stood still.
            None => (self.now_ms >= self.fresh_from_ms).then_some(self.now_ms),
        }
    }
}
