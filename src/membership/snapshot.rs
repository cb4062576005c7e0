//! A copy of the membership table for readers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use super::broadcast::BroadcastRecords;
use super::crash_records::CrashRecords;
use super::entry::ServerPayload;
use super::entry::View;
use super::entry::VmPayload;
use super::quarantine::Quarantine;
use crate::types::ServerName;
use crate::types::VmName;

/// A copy of the table for readers, who evaluate liveness at use with [`View::liveness`].
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// VMs, including this one.
    pub vms: BTreeMap<VmName, View<VmPayload>>,
    /// Backend servers.
    pub servers: BTreeMap<ServerName, View<ServerPayload>>,
    /// Quarantine of requests that crash backend servers.
    pub quarantine: Arc<Quarantine>,
    /// Records of what crashes backend servers.
    pub crashes: Arc<CrashRecords>,
    /// SHA-256 hashes of keys withdrawn outside the replicated log.
    pub withdrawn: Arc<BTreeSet<[u8; 32]>>,
}

impl Snapshot {
    pub(super) fn new(
        vms: BTreeMap<VmName, View<VmPayload>>,
        servers: BTreeMap<ServerName, View<ServerPayload>>,
        records: &RecordViews,
    ) -> Self {
        Self {
            vms,
            servers,
            quarantine: Arc::clone(&records.quarantine),
            crashes: Arc::clone(&records.crashes),
            withdrawn: Arc::clone(&records.withdrawn),
        }
    }
}

/// What the broadcast records say.
#[derive(Clone, Debug, Default)]
pub(super) struct RecordViews {
    quarantine: Arc<Quarantine>,
    crashes: Arc<CrashRecords>,
    withdrawn: Arc<BTreeSet<[u8; 32]>>,
}

impl RecordViews {
    pub(super) fn of(records: &BroadcastRecords) -> Self {
        Self {
            quarantine: Arc::new(records.quarantine()),
            crashes: Arc::new(records.crash_records()),
            withdrawn: Arc::new(records.withdrawn()),
        }
    }
}
