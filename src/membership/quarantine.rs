//! Quarantine of requests that crash the backend servers that run them.

use serde::Deserialize;
use serde::Serialize;

use crate::types::ServerName;
use crate::types::UnixMs;

/// Number of crashes after which a fingerprint is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// Length of the first quarantine.
pub const FIRST_QUARANTINE_MS: u64 = 10 * 60_000;

/// Longest quarantine.
pub const MAX_QUARANTINE_MS: u64 = 24 * 3_600_000;

/// Time for which a crash report is kept after its crash.
pub const REPORT_LIFETIME_MS: u64 = 2 * MAX_QUARANTINE_MS;

/// SHA-256 over account, adapter and body of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(pub [u8; 32]);

/// A request was running on a backend server when the server crashed.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashReport {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The server.
    pub server: ServerName,
    /// Incarnation that crashed. Reports by several VMs of one crash count once.
    pub incarnation: u64,
    /// Time of the crash on the reporter's wall clock.
    pub at: UnixMs,
}

/// An operator declared a fingerprint harmless.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Lift {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Reports of crashes up to this time no longer count.
    pub at: UnixMs,
}

/// How a request must be treated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// No crash is on record.
    Clear,
    /// One crash is on record: run it alone on an engine, at most one such request per engine.
    Suspect,
    /// Refuse it.
    Quarantined {
        /// End of the quarantine.
        until: UnixMs,
    },
}
