//! What an entry VM knows from its links to controllers.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use indexmap::IndexMap;

use super::borrow_client::QuotaServer;
use super::document_pull::DocumentPull;
use super::quota_failover;
use crate::link::ControlStatus;
use crate::link::Hello;
use crate::link::Session;
use crate::registry::Table;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Open links, and what is known from all of them together.
#[derive(Default)]
pub(super) struct State {
    /// Link addresses of the controllers that the settings name.
    pub(super) contacts: BTreeSet<SocketAddr>,
    /// Link addresses that open links named last. They stay while no open link names any.
    named: BTreeSet<SocketAddr>,
    /// Link addresses that other entry VMs named, and until when they are dialed without a link.
    heard: (BTreeSet<SocketAddr>, MonoMs),
    pub(super) links: IndexMap<u64, Link>,
    pub(super) servers: Table,
    /// Fence of the newest residency update by data centre, and the link on which it was received.
    pub(super) fences: HashMap<DataCentre, (u64, u64)>,
    pub(super) pull: DocumentPull,
}

/// An open link, and the last status of the controller at its other end.
pub(super) struct Link {
    pub(super) session: Session,
    pub(super) opened: MonoMs,
    pub(super) status: Option<ControlStatus>,
}

impl State {
    /// Takes over the controllers that open links name.
    pub(super) fn learn_controllers(&mut self) {
        let statuses = self.links.values().filter_map(|link| link.status.as_ref());
        let named = statuses.flat_map(|status| status.controllers.iter().copied());
        let named: BTreeSet<SocketAddr> = named.collect();
        if !named.is_empty() {
            self.named = named;
        }
    }

    /// Takes over the controllers that other entry VMs named.
    pub(super) fn hear(&mut self, addresses: BTreeSet<SocketAddr>, until: MonoMs) {
        self.heard = (addresses, until);
    }

    /// Forgets what other entry VMs named, once it is old, except for controllers to which a link is open.
    pub(super) fn forget_heard(&mut self, now: MonoMs) {
        let (heard, until) = &mut self.heard;
        if now >= *until {
            let peers = self.links.values().map(|link| &link.session.peer().vm);
            let linked: BTreeSet<&str> = peers.map(VmName::as_str).collect();
            heard.retain(|address| linked.contains(address.ip().to_string().as_str()));
        }
    }

    /// Addresses to which links are kept open.
    pub(super) fn targets(&self) -> BTreeSet<SocketAddr> {
        let (heard, _) = &self.heard;
        let all = self.contacts.iter().chain(&self.named).chain(heard);
        all.copied().collect()
    }

    /// The token bucket server that `own` uses.
    pub(super) fn quota_server(&self, own: &Hello) -> QuotaServer {
        if let Some(leader) = self.leader() {
            return QuotaServer::Leader(leader);
        }
        if !self.would_see_leader() {
            return QuotaServer::Unknown;
        }
        let active = self.links.values().filter(|link| {
            let status = link.status.as_ref();
            status.is_some_and(|status| status.stands_in)
        });
        let sessions: Vec<&Session> = active.map(|link| &link.session).collect();
        let peers = sessions.iter().map(|session| session.peer());
        let candidates: Vec<(VmName, DataCentre)> = peers
            .map(|peer| (peer.vm.clone(), peer.data_centre.clone()))
            .collect();
        match quota_failover::choose_server(&own.vm, &own.data_centre, &candidates) {
            Some(chosen) => QuotaServer::Failover(sessions[chosen].clone()),
            None => QuotaServer::None,
        }
    }

    /// Whether an existing leader would be visible: a majority of the controllers is linked, or none
    /// is. A VM with few links may be cut off from the leader.
    fn would_see_leader(&self) -> bool {
        let statuses = self.links.values().filter_map(|link| link.status.as_ref());
        let known = statuses.map(|status| status.controllers.len()).max();
        self.links.is_empty() || self.links.len() * 2 > known.unwrap_or(0)
    }

    /// The link to the leader of the newest term.
    fn leader(&self) -> Option<Session> {
        let leading = self.links.values().filter_map(|link| {
            let status = link.status.as_ref().filter(|status| status.leads)?;
            Some((status.term, &link.session))
        });
        let newest = leading.max_by_key(|(term, _)| *term);
        newest.map(|(_, session)| session.clone())
    }

    /// The link to the VM that holds the orders of `data_centre`.
    pub(super) fn holder(&self, data_centre: &DataCentre) -> Option<Session> {
        let holding = self.links.values().filter_map(|link| {
            let holds = &link.status.as_ref()?.holds;
            let (_, fence) = holds.iter().find(|(held, _)| held == data_centre)?;
            Some((*fence, &link.session))
        });
        let newest = holding.max_by_key(|(fence, _)| *fence);
        newest.map(|(_, session)| session.clone())
    }
}
