//! Which backend servers this VM can open connections to.
//!
//! A failed connection makes a server unreached until one can be opened again, which periodic probes
//! try. While all servers of a service are unreached, its requests go through another VM
//! (`peer_path`). Answers on kept connections prove nothing: they may live on while new
//! connections are refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use serde::Serialize;

use super::context::Gateway;
use super::forward::connect_timeout;
use super::server_table::Distance;
use super::server_table::ServerTable;
use super::server_view::ServerView;
use crate::events::Event;
use crate::events::Severity;
use crate::registry::Announcement;
use crate::registry::ServerState;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;

/// Time for which an answer of one server shows that a failure at another one does not concern all.
const HEARD_VALID_MS: u64 = 400;
/// Time between two searches for the extent of a failure.
const SEARCH_INTERVAL_MS: u64 = 300;
/// Servers that are probed to find out whether a failure concerns one server or all.
const SAMPLE: usize = 3;
/// Most servers that are probed at once.
const MAX_PROBES: usize = 16;

/// Log line: this VM has lost or regained all servers of services.
#[derive(Clone, Debug, Serialize)]
struct CutOffChange {
    /// Services none of whose servers can be reached.
    services: Vec<ServiceName>,
}

impl Event for CutOffChange {
    const KIND: &'static str = "cut_off";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// A server to which a connection is tried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The server.
    pub server: ServerName,
    /// Start time of its process, in Unix milliseconds.
    pub started_unix_ms: u64,
    /// Address that it announced.
    pub address: SocketAddr,
    /// Distance to its data centre.
    pub distance: Distance,
}

impl Probe {
    fn of(view: &ServerView) -> Self {
        Self {
            server: view.announcement.server.clone(),
            started_unix_ms: view.announcement.started_unix_ms,
            address: view.announcement.address,
            distance: view.distance,
        }
    }
}

impl ServerTable {
    /// Records whether a connection to a server's process could be opened at `now`. Returns whether
    /// that has changed.
    pub fn record_connect(
        &mut self,
        server: &ServerName,
        started_unix_ms: u64,
        is_open: bool,
        now: MonoMs,
    ) -> bool {
        let view = self.servers.get_mut(server);
        let view = view.filter(|view| view.announcement.started_unix_ms == started_unix_ms);
        let Some(view) = view else {
            return false;
        };
        if is_open {
            view.heard = now;
        }
        let was_unreached = std::mem::replace(&mut view.is_unreached, !is_open);
        was_unreached == is_open
    }

    /// Records an answer of a server.
    pub fn record_heard(&mut self, server: &ServerName, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.heard = now;
        }
    }

    /// Whether a server other than `server` was heard from lately.
    fn has_heard_other(&self, server: &ServerName, now: MonoMs) -> bool {
        let mut others = self.servers.iter().filter(|(other, _)| *other != server);
        others.any(|(_, view)| view.heard.0 > 0 && now.since(view.heard) < HEARD_VALID_MS)
    }

    /// Unreached servers that accept work.
    pub fn unreached(&self) -> Vec<Probe> {
        let ready = self.servers.values().filter(|view| view.is_ready());
        let unreached = ready.filter(|view| view.is_unreached);
        unreached.map(Probe::of).collect()
    }

    /// Servers that accept work and count as reached, but for `server`.
    fn reached_others(&self, server: &ServerName) -> Vec<Probe> {
        let ready = self.servers.values().filter(|view| view.is_ready());
        let reached = ready.filter(|view| !view.is_unreached);
        let others = reached.filter(|view| view.announcement.server != *server);
        others.map(Probe::of).collect()
    }

    /// Whether all servers of a service that accept work are unreached.
    pub fn is_cut_from(&self, service: &ServiceName) -> bool {
        let servers = self.servers.values();
        let of_service = servers.filter(|view| view.announcement.service == *service);
        let mut ready = of_service.filter(|view| view.is_ready()).peekable();
        ready.peek().is_some() && ready.all(|view| view.is_unreached)
    }

    /// Services that this VM is cut off from.
    pub fn cut_services(&self) -> Vec<ServiceName> {
        let servers = self.servers.values().map(|view| &view.announcement);
        let mut services: Vec<ServiceName> = servers.map(|server| server.service.clone()).collect();
        services.sort_unstable();
        services.dedup();
        services.retain(|service| self.is_cut_from(service));
        services
    }
}

impl ServerView {
    fn is_ready(&self) -> bool {
        self.announcement.state == ServerState::Ready
    }
}

impl Gateway {
    /// Records whether a connection to a server could be opened. A failure is followed by probes of
    /// other servers.
    pub(super) fn on_connect(self: &Arc<Self>, target: &Announcement, is_open: bool) {
        let server = &target.server;
        let now = self.now();
        let started_unix_ms = target.started_unix_ms;
        let is_changed = self
            .server_table()
            .record_connect(server, started_unix_ms, is_open, now);
        if is_changed {
            self.update_cut_off();
        }
        if !is_open {
            self.probe_others(server);
        }
    }

    /// Finds out whether a failure at `server` concerns all servers, unless another one was heard
    /// from lately.
    pub(super) fn probe_others(self: &Arc<Self>, server: &ServerName) {
        let now = self.now();
        let table = self.server_table();
        if table.has_heard_other(server, now) {
            return;
        }
        let others = table.reached_others(server);
        drop(table);
        if others.is_empty() || !self.reach_probe.begin(now) {
            return;
        }
        let gateway = Arc::clone(self);
        tokio::spawn(async move {
            let sample: Vec<Probe> = others.sample(&mut rand::rng(), SAMPLE).cloned().collect();
            if gateway.probe(sample.clone()).await > 0 {
                return;
            }
            let rest = others.into_iter().filter(|one| !sample.contains(one));
            gateway.probe(rest.take(MAX_PROBES).collect()).await;
        });
    }

    /// Tries to connect to unreached servers.
    pub async fn probe_unreached(self: Arc<Self>) {
        let unreached = self.server_table().unreached();
        let probes: Vec<Probe> = unreached
            .sample(&mut rand::rng(), MAX_PROBES)
            .cloned()
            .collect();
        self.probe(probes).await;
    }

    /// Opens a connection to each server and keeps it for requests. Returns how many could be opened.
    async fn probe(self: &Arc<Self>, probes: Vec<Probe>) -> usize {
        let probing = probes.into_iter().map(async |probe| {
            let wait = connect_timeout(probe.distance);
            let connected = self.connect(probe.address, wait).await;
            let is_open = connected.is_ok();
            let (server, started_unix_ms) = (&probe.server, probe.started_unix_ms);
            let now = self.now();
            self.server_table()
                .record_connect(server, started_unix_ms, is_open, now);
            if let Ok(connection) = connected {
                self.pool().put(probe.address, connection, None);
            }
            is_open
        });
        let opened = join_all(probing).await;
        self.update_cut_off();
        opened.into_iter().filter(|is_open| *is_open).count()
    }

    /// Tells the controllers which services this VM is cut off from, if that has changed.
    pub fn update_cut_off(&self) {
        let services = self.server_table().cut_services();
        if self.reach_probe.set_cut_services(&services) {
            let line = CutOffChange {
                services: services.clone(),
            };
            self.events().emit(&line);
            self.controllers.report_cut_off(services);
        }
    }

    /// Services that this VM is cut off from, as last told to the controllers.
    pub fn cut_services(&self) -> Vec<ServiceName> {
        self.reach_probe.cut_services()
    }
}

/// State of the search for the extent of a failure.
#[derive(Debug, Default)]
pub(super) struct ReachProbe {
    state: Mutex<ReachState>,
}

#[derive(Debug, Default)]
struct ReachState {
    search_from: MonoMs,
    cut_services: Vec<ServiceName>,
}

impl ReachProbe {
    /// Whether a search may begin.
    fn begin(&self, now: MonoMs) -> bool {
        let mut state = self.lock();
        let may_begin = now >= state.search_from;
        if may_begin {
            state.search_from = now.plus(SEARCH_INTERVAL_MS);
        }
        may_begin
    }

    fn set_cut_services(&self, services: &[ServiceName]) -> bool {
        let mut state = self.lock();
        let is_changed = state.cut_services != services;
        if is_changed {
            state.cut_services = services.to_vec();
        }
        is_changed
    }

    fn cut_services(&self) -> Vec<ServiceName> {
        self.lock().cut_services.clone()
    }

    fn lock(&self) -> MutexGuard<'_, ReachState> {
        let state = self.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }
}
