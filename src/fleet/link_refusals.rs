//! Log lines about peers that speak no format of this build, or are no controllers.

use std::collections::BTreeMap;
use std::sync::Mutex;

use serde::Serialize;

use crate::events::Event;
use crate::events::EventLog;
use crate::events::Severity;
use crate::link::Hello;
use crate::link::LINK_FORMAT;
use crate::link::Role;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time between two log lines about one peer, which is dialed several times a second.
const LOG_INTERVAL_MS: u64 = 60_000;
/// Most peers for which the time of the last line is kept.
const MAX_PEERS: usize = 1_024;

/// Log line: a peer does not speak the format that it was offered, or was dialed and is no controller.
#[derive(Clone, Debug, Serialize)]
struct LinkRefused {
    peer: VmName,
    peer_role: Role,
    peer_format: u16,
    own_format: u16,
}

impl Event for LinkRefused {
    const KIND: &'static str = "link_refused";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// When each refused peer was last logged.
#[derive(Debug, Default)]
pub(super) struct LinkRefusals(Mutex<BTreeMap<VmName, MonoMs>>);

impl LinkRefusals {
    /// Logs that `peer` was refused, unless that was logged lately.
    pub(super) fn record(&self, peer: &Hello, now: MonoMs, events: &EventLog) {
        let mut logged = super::control_vm::lock(&self.0);
        logged.retain(|_, at| now.since(*at) < LOG_INTERVAL_MS);
        if logged.contains_key(&peer.vm) || logged.len() >= MAX_PEERS {
            return;
        }
        logged.insert(peer.vm.clone(), now);
        events.emit(&LinkRefused {
            peer: peer.vm.clone(),
            peer_role: peer.role,
            peer_format: peer.format,
            own_format: LINK_FORMAT,
        });
    }
}
