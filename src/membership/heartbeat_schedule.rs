//! Intervals of heartbeats and thresholds of the failure detector. The intervals grow with the
//! number of members, so that the traffic per VM stays within a budget.

use crate::types::DataCentre;

/// Time between gossip rounds, and minimum interval between heartbeats of one member.
pub const ROUND_MS: u64 = 500;

/// Minimum time without updates after which an entry is suspect. It applies while heartbeats are
/// sent at the minimum interval.
const SUSPECT_MS: u64 = 2_000;

/// Minimum time without updates after which an entry is dead. It applies while heartbeats are sent
/// at the minimum interval.
const DEAD_MS: u64 = 5_000;

/// Number of missed heartbeats after which an entry is suspect.
const SUSPECT_MISSED_HEARTBEATS: u64 = 4;

/// Number of missed heartbeats after which an entry is dead.
const DEAD_MISSED_HEARTBEATS: u64 = 8;

/// Number of times a VM sends a heartbeat to random peers of its data centre.
const HEARTBEAT_SENDS: u32 = 3;

/// Assumed encoded length of a heartbeat.
const HEARTBEAT_BYTES: u64 = 16;

/// Bandwidth of a VM for the heartbeats of one kind of member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Budget {
    /// For members of its own data centre.
    pub local_bytes_per_s: u64,
    /// For members of other data centres.
    pub remote_bytes_per_s: u64,
}

/// Bandwidth for heartbeats of VMs. Failover depends on them, since they carry the coordinator
/// term, so they get more per member than load reports of backend servers.
pub const VM_BUDGET: Budget = Budget {
    local_bytes_per_s: 2_000,
    remote_bytes_per_s: 700,
};

/// Bandwidth for load reports of backend servers.
pub const SERVER_BUDGET: Budget = Budget {
    local_bytes_per_s: 2_500,
    remote_bytes_per_s: 800,
};

/// Heartbeat intervals of one kind of member, derived from the number of members.
#[derive(Clone, Debug)]
pub struct HeartbeatSchedule {
    /// Data centre of this VM.
    pub(super) data_centre: DataCentre,
    local_interval_ms: u64,
    remote_interval_ms: u64,
}

impl HeartbeatSchedule {
    /// The shortest intervals that stay within `budget` for the given numbers of members.
    pub fn new(
        data_centre: DataCentre,
        local_members: usize,
        remote_members: usize,
        budget: Budget,
    ) -> Self {
        Self {
            data_centre,
            local_interval_ms: interval_ms(local_members, budget.local_bytes_per_s),
            remote_interval_ms: interval_ms(remote_members, budget.remote_bytes_per_s),
        }
    }

    /// Interval between relayed heartbeats of a member of `data_centre`.
    pub fn heartbeat_interval_ms(&self, data_centre: &DataCentre) -> u64 {
        if *data_centre == self.data_centre {
            self.local_interval_ms
        } else {
            self.remote_interval_ms
        }
    }

    /// Interval between heartbeats of one member that this VM sends to other data centres.
    pub fn remote_interval_ms(&self) -> u64 {
        self.remote_interval_ms
    }

    /// Number of times a heartbeat is sent.
    pub fn heartbeat_sends(&self) -> u32 {
        HEARTBEAT_SENDS
    }

    /// Time without updates after which a member of `data_centre` is suspect.
    pub fn suspect_after_ms(&self, data_centre: &DataCentre) -> u64 {
        SUSPECT_MS.max(self.heartbeat_interval_ms(data_centre) * SUSPECT_MISSED_HEARTBEATS)
    }

    /// Time without updates after which a member of `data_centre` is dead.
    pub fn dead_after_ms(&self, data_centre: &DataCentre) -> u64 {
        DEAD_MS.max(self.heartbeat_interval_ms(data_centre) * DEAD_MISSED_HEARTBEATS)
    }
}

fn interval_ms(members: usize, bytes_per_s: u64) -> u64 {
    let bytes = members as u64 * HEARTBEAT_BYTES * u64::from(HEARTBEAT_SENDS);
    (bytes * 1_000 / bytes_per_s.max(1)).max(ROUND_MS)
}
