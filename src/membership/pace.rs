//! How often heartbeats travel, so that traffic per VM stays within a budget however many members
//! there are, and how long silence is tolerated.

use crate::types::DataCentre;

/// Time between gossip rounds, and shortest time between heartbeats of one member.
pub const ROUND_MS: u64 = 500;

/// Time without news after which an entry is suspect while heartbeats travel at full pace.
const SUSPECT_MS: u64 = 2_000;

/// Time without news after which an entry is dead while heartbeats travel at full pace.
const DEAD_MS: u64 = 5_000;

/// Missed heartbeats after which an entry is suspect.
const SUSPECT_BEATS: u64 = 4;

/// Missed heartbeats after which an entry is dead.
const DEAD_BEATS: u64 = 8;

/// Times a VM repeats a heartbeat to random peers of its data centre.
const BEAT_SENDS: u32 = 3;

/// Encoded length of a heartbeat, for the budget.
const BEAT_BYTES: u64 = 16;

/// What a VM may send per second for the heartbeats of one sort of members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// For members of its own data centre.
    pub home_bytes_per_s: u64,
    /// For members of other data centres.
    pub abroad_bytes_per_s: u64,
}

/// Heartbeat intervals of one sort of members, from the number of members.
#[derive(Clone, Debug)]
pub struct Pace {
    /// The data centre of this VM.
    pub(super) home: DataCentre,
    home_beat_ms: u64,
    abroad_beat_ms: u64,
}

impl Pace {
    /// The fastest pace within `budget` for the given numbers of members.
    pub fn new(home: DataCentre, at_home: usize, abroad: usize, budget: Budget) -> Self {
        Self {
            home,
            home_beat_ms: interval_ms(at_home, budget.home_bytes_per_s),
            abroad_beat_ms: interval_ms(abroad, budget.abroad_bytes_per_s),
        }
    }

    /// Time between relayed heartbeats of a member of `data_centre`.
    pub fn beat_ms(&self, data_centre: &DataCentre) -> u64 {
        if *data_centre == self.home {
            self.home_beat_ms
        } else {
            self.abroad_beat_ms
        }
    }

    /// Time between heartbeats of one member that this VM sends to other data centres.
    pub fn crossing_ms(&self) -> u64 {
        self.abroad_beat_ms
    }

    /// Times a heartbeat is repeated.
    pub fn beat_sends(&self) -> u32 {
        BEAT_SENDS
    }

    /// Time without news after which a member of `data_centre` is suspect.
    pub fn suspect_after_ms(&self, data_centre: &DataCentre) -> u64 {
        SUSPECT_MS.max(self.beat_ms(data_centre) * SUSPECT_BEATS)
    }

    /// Time without news after which a member of `data_centre` is dead.
    pub fn dead_after_ms(&self, data_centre: &DataCentre) -> u64 {
        DEAD_MS.max(self.beat_ms(data_centre) * DEAD_BEATS)
    }
}

fn interval_ms(members: usize, bytes_per_s: u64) -> u64 {
    let bytes = members as u64 * BEAT_BYTES * u64::from(BEAT_SENDS);
    (bytes * 1_000 / bytes_per_s.max(1)).max(ROUND_MS)
}
