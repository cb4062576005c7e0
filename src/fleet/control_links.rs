//! Links of a controller to other controllers and from entry VMs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::watch;

use super::control_core::Core;
use super::link_refusals::LinkRefusals;
use super::log_line::LinkChange;
use crate::consensus::Envelope;
use crate::consensus::Transport;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::PendingWrites;
use crate::link::Role;
use crate::link::Session;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Time for which an entry VM counts after its last link was closed. Longer than data centres are
/// cut off from each other.
const ENTRY_MEMORY_MS: u64 = 2 * 60 * 60 * 1_000;
/// Most entry VMs that are remembered.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// All open links of a controller.
#[derive(Default)]
pub(super) struct Links {
    sessions: Mutex<IndexMap<u64, (Session, MonoMs)>>,
    /// Data centre of each controller and the last time at which it was linked.
    last_linked: Mutex<BTreeMap<VmName, (DataCentre, MonoMs)>>,
    /// Controllers that announced their shutdown and have not opened a link since.
    leaving: Mutex<BTreeSet<VmName>>,
    targets: watch::Sender<BTreeSet<SocketAddr>>,
    /// Last time at which each entry VM opened or closed a link.
    recent_entries: Mutex<BTreeMap<VmName, MonoMs>>,
}

impl Links {
    /// Addresses to which links are kept open.
    pub(super) fn targets(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.targets.subscribe()
    }

    /// Sets the addresses to which links are kept open.
    pub(super) fn set_targets(&self, targets: BTreeSet<SocketAddr>) {
        self.targets.send_if_modified(|current| {
            let is_changed = *current != targets;
            *current = targets;
            is_changed
        });
    }

    /// Sends an encoded frame on all links for which `matches` returns true.
    pub(super) fn broadcast(&self, frame: &Bytes, matches: impl Fn(&Session) -> bool) {
        for (session, _) in self.lock().values() {
            if matches(session) {
                session.send_encoded(frame.clone());
            }
        }
    }

    /// Sends an encoded frame on all links and lets `writes` wait until it is written.
    pub(super) fn broadcast_tracked(&self, frame: &Bytes, writes: &PendingWrites) {
        for (session, _) in self.lock().values() {
            session.send_tracked(frame.clone(), writes);
        }
    }

    /// Records that a controller shuts down.
    pub(super) fn mark_leaving(&self, vm: &VmName) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.insert(vm.clone());
    }

    /// Whether a controller announced its shutdown.
    pub(super) fn is_leaving(&self, vm: &VmName) -> bool {
        let leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.contains(vm)
    }

    fn clear_leaving(&self, vm: &VmName) {
        let mut leaving = self.leaving.lock().unwrap_or_else(PoisonError::into_inner);
        leaving.remove(vm);
    }

    /// Number of linked entry VMs.
    pub(super) fn entry_vms(&self) -> u32 {
        count(&self.linked_entries())
    }

    /// Number of entry VMs that are linked or were linked lately.
    pub(super) fn recent_entry_vms(&self, now: MonoMs) -> u32 {
        let mut names = self.linked_entries();
        let mut recent = self.recent_entries();
        recent.retain(|_, at| now.since(*at) < ENTRY_MEMORY_MS);
        names.extend(recent.keys().cloned());
        count(&names)
    }

    fn linked_entries(&self) -> BTreeSet<VmName> {
        let sessions = self.lock();
        let peers = sessions.values().map(|(session, _)| session.peer());
        let entries = peers.filter(|peer| peer.role == Role::Entry);
        entries.map(|peer| peer.vm.clone()).collect()
    }

    fn remember_entry(&self, session: &Session, now: MonoMs) {
        let peer = session.peer();
        let mut recent = self.recent_entries();
        if peer.role == Role::Entry && recent.len() < MAX_RECENT_ENTRIES {
            recent.insert(peer.vm.clone(), now);
        }
    }

    fn recent_entries(&self) -> MutexGuard<'_, BTreeMap<VmName, MonoMs>> {
        self.recent_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Controllers that are linked now or were linked at or after `since`, with their data centres
    /// and, if linked now, the time at which the oldest link opened.
    pub(super) fn controllers(
        &self,
        now: MonoMs,
        since: MonoMs,
    ) -> BTreeMap<VmName, (DataCentre, Option<MonoMs>)> {
        let mut last_linked = self
            .last_linked
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut linked: BTreeMap<VmName, MonoMs> = BTreeMap::new();
        for (session, opened) in self.lock().values() {
            let peer = session.peer();
            if peer.role == Role::Control {
                let first = linked.entry(peer.vm.clone()).or_insert(*opened);
                *first = (*first).min(*opened);
                last_linked.insert(peer.vm.clone(), (peer.data_centre.clone(), now));
            }
        }
        last_linked.retain(|_, (_, at)| *at >= since);
        let found = last_linked.iter().map(|(vm, (data_centre, _))| {
            let opened = linked.get(vm).copied();
            (vm.clone(), (data_centre.clone(), opened))
        });
        found.collect()
    }

    fn controller_session(&self, vm: &VmName) -> Option<Session> {
        let sessions = self.lock();
        let is_target = |session: &&Session| {
            let peer = session.peer();
            peer.role == Role::Control && peer.vm == *vm
        };
        let newest = sessions.values().rev().map(|(session, _)| session);
        newest.into_iter().find(is_target).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<u64, (Session, MonoMs)>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn count(vms: &BTreeSet<VmName>) -> u32 {
    u32::try_from(vms.len()).unwrap_or(u32::MAX)
}

/// Transport of the replicated log over the links between controllers.
pub(super) struct LogTransport(pub(super) Arc<Links>);

impl Transport for LogTransport {
    fn send(&self, to: &VmName, envelope: Envelope) {
        if let Some(session) = self.0.controller_session(to) {
            session.send(&Frame::Raft(envelope));
        }
    }
}

/// Address at which the controller `vm` accepts links. Controllers are named by their IP addresses.
pub(super) fn link_address(vm: &VmName, port: u16) -> Option<SocketAddr> {
    let ip: IpAddr = vm.as_str().parse().ok()?;
    Some(SocketAddr::new(ip, port))
}

/// Passes link events and received frames to the controller.
pub(super) struct ControlHandler {
    pub(super) links: Arc<Links>,
    pub(super) core: OnceLock<Arc<Core>>,
    pub(super) refusals: LinkRefusals,
}

impl ControlHandler {
    fn core(&self) -> Option<&Arc<Core>> {
        self.core.get()
    }
}

impl Handler for ControlHandler {
    fn opened(&self, session: &Session) {
        let Some(core) = self.core() else {
            return;
        };
        let opened = core.now();
        self.links
            .lock()
            .insert(session.id(), (session.clone(), opened));
        self.links.clear_leaving(&session.peer().vm);
        self.links.remember_entry(session, opened);
        core.send_initial_state(session);
        core.events().emit(&LinkChange {
            peer: session.peer().vm.clone(),
            format: session.format().number(),
            is_open: true,
            reason: String::new(),
        });
    }

    fn received(&self, session: &Session, frame: Frame) {
        if let Some(core) = self.core() {
            core.received(session, frame);
        }
    }

    fn closed(&self, session: &Session, reason: &str) {
        self.links.lock().shift_remove(&session.id());
        let Some(core) = self.core() else {
            return;
        };
        self.links.remember_entry(session, core.now());
        core.on_link_lost(session);
        core.events().emit(&LinkChange {
            peer: session.peer().vm.clone(),
            format: session.format().number(),
            is_open: false,
            reason: reason.to_owned(),
        });
    }

    fn refused(&self, peer: &Hello) {
        if let Some(core) = self.core() {
            self.refusals.record(peer, core.now(), core.events());
        }
    }
}
