//! Broadcast records: crash reports, what may have caused crashes and what did not, quarantine lifts
//! and local key withdrawals. They are added and expire, but never change.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::crash_records::CrashRecords;
use super::hash::stable_hash;
use super::message::BroadcastRecord;
use super::quarantine::Quarantine;
use super::quarantine::REPORT_LIFETIME_MS;
use crate::types::UnixMs;

/// Largest tolerated difference between wall clocks. A record with a later time stamp is rejected,
/// because it would be kept longer than intended.
const MAX_SKEW_MS: u64 = 3_600_000;

/// Number of times a VM sends a new record to random peers.
const RECORD_SENDS: u32 = 8;

/// All known broadcast records.
#[derive(Clone, Debug, Default)]
pub struct BroadcastRecords {
    /// Records with the remaining number of sends of each.
    records: BTreeMap<BroadcastRecord, u32>,
}

impl BroadcastRecord {
    /// Time at which the record expires.
    pub fn expires(&self) -> UnixMs {
        match self {
            Self::Crash(report) => report.at.plus(REPORT_LIFETIME_MS),
            Self::Lift(lift) => lift.at.plus(REPORT_LIFETIME_MS),
            Self::Withdrawal(withdrawal) => withdrawal.expires,
            Self::Causes(causes) => causes.expires(),
            Self::Cleared(cleared) => cleared.expires(),
        }
    }

    fn is_plausible(&self, now: UnixMs) -> bool {
        let at = match self {
            Self::Crash(report) => report.at,
            Self::Lift(lift) => lift.at,
            Self::Withdrawal(_) => now,
            Self::Causes(causes) => causes.at,
            Self::Cleared(cleared) => cleared.at,
        };
        at.since(now) <= MAX_SKEW_MS && now < self.expires()
    }
}

impl BroadcastRecords {
    /// Adds a record and relays it to other VMs if `relay` is set. Returns true if it is new.
    pub fn add(&mut self, now: UnixMs, record: BroadcastRecord, relay: bool) -> bool {
        if !record.is_plausible(now) || self.records.contains_key(&record) {
            return false;
        }
        self.records
            .insert(record, if relay { RECORD_SENDS } else { 0 });
        true
    }

    /// Removes expired records. Returns true if there were any.
    pub fn expire(&mut self, now: UnixMs) -> bool {
        let before = self.records.len();
        self.records.retain(|record, _| now < record.expires());
        self.records.len() < before
    }

    /// True if a record still has to be sent.
    pub fn has_unsent(&self) -> bool {
        self.records.values().any(|sends_left| *sends_left > 0)
    }

    /// Takes up to `count` records that still have to be sent and counts a send of each.
    pub fn take_unsent(&mut self, count: usize) -> Vec<BroadcastRecord> {
        let unsent = self
            .records
            .iter_mut()
            .filter(|(_, sends_left)| **sends_left > 0);
        let taken = unsent.take(count).map(|(record, sends_left)| {
            *sends_left -= 1;
            record.clone()
        });
        taken.collect()
    }

    /// All records with their hashes.
    pub fn hashed(&self) -> impl Iterator<Item = (u32, &BroadcastRecord)> {
        self.records
            .keys()
            .map(|record| (stable_hash(record), record))
    }

    /// Hashes of the withdrawn keys.
    pub fn withdrawn(&self) -> BTreeSet<[u8; 32]> {
        let records = self.records.keys();
        records
            .filter_map(|record| match record {
                BroadcastRecord::Withdrawal(withdrawal) => Some(withdrawal.key_hash),
                _ => None,
            })
            .collect()
    }

    /// Records of what crashes servers.
    pub fn crash_records(&self) -> CrashRecords {
        let mut crashes = CrashRecords::default();
        for record in self.records.keys() {
            match record {
                BroadcastRecord::Causes(causes) => crashes.causes.push(causes.clone()),
                BroadcastRecord::Cleared(cleared) => crashes.cleared.push(*cleared),
                _ => {}
            }
        }
        crashes
    }

    /// The quarantine that follows from the crash reports and lifts.
    pub fn quarantine(&self) -> Quarantine {
        let mut quarantine = Quarantine::default();
        for record in self.records.keys() {
            match record {
                BroadcastRecord::Crash(report) => quarantine.report(report),
                BroadcastRecord::Lift(lift) => quarantine.lift(lift),
                _ => {}
            }
        }
        quarantine
    }
}
