//! Records of what crashes backend servers, by which requests with something in common are told from
//! others.

use serde::Deserialize;
use serde::Serialize;

use crate::scheduling::crash_evidence::CLEARING_MS;
use crate::scheduling::crash_evidence::Progress;
use crate::scheduling::crash_evidence::QUARANTINE_MS;
use crate::types::Feature;
use crate::types::ServerName;
use crate::types::UnixMs;

/// Features of a request that may have crashed a backend server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashCauses {
    /// Server that crashed.
    pub server: ServerName,
    /// Incarnation that crashed.
    pub incarnation: u64,
    /// Time of the crash by the reporter's wall clock.
    pub at: UnixMs,
    /// Progress of the request.
    pub progress: Progress,
    /// Features of the request.
    pub features: Vec<Feature>,
}

impl CrashCauses {
    /// Time from which the record does not matter any more.
    pub fn expires(&self) -> UnixMs {
        self.at.plus(QUARANTINE_MS)
    }
}

/// A feature of a request whose answer has begun.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClearedCause {
    /// The feature.
    pub feature: Feature,
    /// Time at which the answer began, by the reporter's wall clock.
    pub at: UnixMs,
}

impl ClearedCause {
    /// Time from which the record does not matter any more.
    pub fn expires(&self) -> UnixMs {
        self.at.plus(CLEARING_MS + QUARANTINE_MS)
    }
}

/// All known records.
#[derive(Clone, Debug, Default)]
pub struct CrashRecords {
    /// What may have caused crashes.
    pub causes: Vec<CrashCauses>,
    /// What did not.
    pub cleared: Vec<ClearedCause>,
}
