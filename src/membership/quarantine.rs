//! Quarantine of requests that crash backend servers.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::types::ServerName;
use crate::types::UnixMs;

/// Number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// Duration of the first quarantine.
pub const FIRST_QUARANTINE_MS: u64 = 10 * 60_000;

/// Longest duration of a quarantine.
pub const MAX_QUARANTINE_MS: u64 = 24 * 3_600_000;

/// Time for which a crash report is kept after its crash.
pub const REPORT_LIFETIME_MS: u64 = 2 * MAX_QUARANTINE_MS;

/// SHA-256 hash of the account, adapter and body of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// A report that a request was running on a backend server when the server crashed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Server that crashed.
    pub server: ServerName,
    /// Incarnation that crashed. Reports of one crash by several VMs count once.
    pub incarnation: u64,
    /// Time of the crash by the reporter's wall clock.
    pub at: UnixMs,
}

/// An operator's decision to end the quarantine of a request.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Lift {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Crashes up to this time no longer count.
    pub at: UnixMs,
}

/// Quarantine decision for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No crash counts against the request.
    Clear,
    /// A crash counts against the request: it may run only alone on an engine, with at most one
    /// such request per engine.
    Suspect,
    /// The request must be refused.
    Quarantined {
        /// End of the quarantine.
        until: UnixMs,
    },
}

/// All known crash reports and lifts.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    /// Earliest reported time of each crash, by fingerprint, server and incarnation.
    crashes: BTreeMap<Fingerprint, BTreeMap<(ServerName, u64), UnixMs>>,
    lifts: BTreeMap<Fingerprint, UnixMs>,
}

impl Quarantine {
    /// Adds a report.
    pub fn report(&mut self, report: &CrashReport) {
        let crashes = self.crashes.entry(report.fingerprint).or_default();
        let key = (report.server.clone(), report.incarnation);
        let at = crashes.entry(key).or_insert(report.at);
        *at = report.at.min(*at);
    }

    /// Adds a lift.
    pub fn lift(&mut self, lift: &Lift) {
        let at = self.lifts.entry(lift.fingerprint).or_insert(lift.at);
        *at = lift.at.max(*at);
    }

    /// Decision for a request at `now`. After a quarantine the request is a suspect again; each
    /// further crash doubles the duration of the next quarantine.
    pub fn verdict(&self, fingerprint: &Fingerprint, now: UnixMs) -> Verdict {
        let Some(crashes) = self.crashes.get(fingerprint) else {
            return Verdict::Clear;
        };
        let lifted = self.lifts.get(fingerprint).copied();
        let counts = |at: &&UnixMs| {
            let expired = now.since(**at) >= REPORT_LIFETIME_MS;
            !expired && lifted.is_none_or(|lifted| **at > lifted)
        };
        let times: Vec<UnixMs> = crashes.values().filter(counts).copied().collect();
        let Some(last) = times.iter().max().copied() else {
            return Verdict::Clear;
        };
        let until = match times.len().checked_sub(QUARANTINE_CRASHES) {
            Some(further) => last.min(now).plus(quarantine_ms(further)),
            None => return Verdict::Suspect,
        };
        if now < until {
            Verdict::Quarantined { until }
        } else {
            Verdict::Suspect
        }
    }

    /// Fingerprints that are quarantined at `now`, with the end of each quarantine.
    pub fn quarantined(&self, now: UnixMs) -> Vec<(Fingerprint, UnixMs)> {
        let fingerprints = self.crashes.keys();
        fingerprints
            .filter_map(|fingerprint| match self.verdict(fingerprint, now) {
                Verdict::Quarantined { until } => Some((*fingerprint, until)),
                Verdict::Clear | Verdict::Suspect => None,
            })
            .collect()
    }
}

/// Duration of the quarantine after `further` crashes beyond [`QUARANTINE_CRASHES`].
fn quarantine_ms(further: usize) -> u64 {
    let doublings = u32::try_from(further).unwrap_or(u32::MAX).min(16);
    (FIRST_QUARANTINE_MS << doublings).min(MAX_QUARANTINE_MS)
}
