//! What an entry VM learns from the controllers, and what it tells them.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;

use indexmap::IndexMap;
use tokio::sync::watch;

use super::borrow::Borrowers;
use super::borrow::Keeper;
use super::keeper;
use super::log_line::DocumentChange;
use super::log_line::LinkChange;
use super::log_line::ServerChange;
use crate::events::EventLog;
use crate::gateway::AdapterRequester;
use crate::gateway::Dialect;
use crate::gateway::Gateway;
use crate::link::AdapterUse;
use crate::link::ControlStatus;
use crate::link::DocumentNews;
use crate::link::Frame;
use crate::link::Handler;
use crate::link::Hello;
use crate::link::LoadNews;
use crate::link::ResidencyNews;
use crate::link::ServerNews;
use crate::link::Session;
use crate::link::Want;
use crate::registry::Change;
use crate::registry::Table;
use crate::scheduling::slots::EngineWork;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// Time without news after which a backend server counts as gone.
const SERVER_SILENT_MS: u64 = 7_000;
/// Time after which a document that was asked for is asked for again.
const PULL_AGAIN_MS: u64 = 700;

/// Times that a data centre is asked for an adapter before the next one is.
const ASKS_PER_HOME: u32 = 3;

/// The controllers' news.
pub(super) struct EntryFeed {
    own: Hello,
    clock: Clock,
    events: EventLog,
    dialect: Arc<dyn Dialect>,
    gateway: OnceLock<Arc<Gateway>>,
    borrowers: Borrowers,
    contacts: BTreeSet<SocketAddr>,
    targets: watch::Sender<BTreeSet<SocketAddr>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    links: IndexMap<u64, Link>,
    servers: Table,
    /// Fence of the newest residency by data centre, and the link that it came on.
    fences: HashMap<DataCentre, (u64, u64)>,
    pulled: Option<(u64, MonoMs)>,
}

struct Link {
    session: Session,
    opened: MonoMs,
    status: Option<ControlStatus>,
}

impl EntryFeed {
    pub(super) fn new(
        own: Hello,
        clock: Clock,
        events: EventLog,
        dialect: Arc<dyn Dialect>,
        borrowers: Borrowers,
        contacts: BTreeSet<SocketAddr>,
    ) -> Self {
        Self {
            own,
            clock,
            events,
            dialect,
            gateway: OnceLock::new(),
            borrowers,
            targets: watch::Sender::new(contacts.clone()),
            contacts,
            state: Mutex::default(),
        }
    }

    /// Sets the gateway that the news are for.
    pub(super) fn set_gateway(&self, gateway: Arc<Gateway>) {
        let _ = self.gateway.set(gateway);
    }

    /// Addresses to keep links to.
    pub(super) fn targets(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.targets.subscribe()
    }

    /// Whether any controller is linked.
    pub(super) fn is_linked(&self) -> bool {
        !self.lock().links.is_empty()
    }

    /// Whether any backend server is known.
    pub(super) fn knows_servers(&self) -> bool {
        self.lock().servers.servers().next().is_some()
    }

    fn gateway(&self) -> &Arc<Gateway> {
        self.gateway.get().expect("set before links are opened")
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Regular work: servers that fell silent, wishes and use of adapters.
    pub(super) fn tick(&self, wants: bool) {
        self.expire_servers();
        self.send_uses();
        if wants {
            for (want, asked_before) in self.gateway().adapter_waits.pending() {
                self.request_adapter(want, asked_before);
            }
        }
    }

    fn expire_servers(&self) {
        let now = self.clock.mono();
        let mut state = self.lock();
        let controllers = state.links.values().filter_map(|link| link.status.as_ref());
        let known = controllers.map(|status| status.controllers.len()).max();
        let old_links = state
            .links
            .values()
            .filter(|link| now.since(link.opened) > SERVER_SILENT_MS)
            .count();
        if old_links * 2 <= known.unwrap_or(usize::MAX / 2) {
            return;
        }
        let oldest = MonoMs(now.0.saturating_sub(SERVER_SILENT_MS));
        for server in state.servers.expire(oldest) {
            self.gateway().server_table().remove_server(&server);
            self.log_server(&server, 0, "silent");
        }
    }

    /// Tells the holders which adapters are used and which are not any more.
    pub(super) fn send_uses(&self) {
        let uses = self.gateway().adapter_usage().take(self.clock.mono());
        if uses.is_empty() {
            return;
        }
        let mut by_centre: IndexMap<DataCentre, Vec<AdapterUse>> = IndexMap::new();
        let table = self.gateway().server_table();
        for mut used in uses {
            if let Some(view) = table.get(&used.server) {
                let data_centre = view.announcement.data_centre.clone();
                used.token_us = table.token_us(&view.announcement.service);
                by_centre.entry(data_centre).or_default().push(used);
            }
        }
        drop(table);
        let state = self.lock();
        for (data_centre, uses) in by_centre {
            if let Some(holder) = state.holder(&data_centre) {
                holder.send(&Frame::Uses(uses));
            }
        }
    }

    /// Withdraws the wishes that no request waits for any more, wherever they were made.
    pub(super) fn withdraw_wishes(&self) {
        let left = self.gateway().adapter_waits.take_abandoned();
        if left.is_empty() {
            return;
        }
        let wants: Vec<Want> = left.into_iter().map(Want::withdrawn).collect();
        let state = self.lock();
        let statuses = state
            .links
            .values()
            .filter_map(|link| link.status.as_ref().map(|status| (&link.session, status)));
        for (session, status) in statuses {
            for (data_centre, _) in &status.holds {
                session.send(&Frame::Wants(data_centre.clone(), wants.clone()));
            }
        }
    }

    fn on_status(&self, session: &Session, status: ControlStatus) {
        let now = self.clock.mono();
        let mut state = self.lock();
        let mut targets = self.contacts.clone();
        if let Some(link) = state.links.get_mut(&session.id()) {
            link.status = Some(status.clone());
        }
        for link in state.links.values() {
            targets.extend(link.status.iter().flat_map(|status| &status.controllers));
        }
        self.targets.send_if_modified(|current| {
            let is_changed = *current != targets;
            *current = targets;
            is_changed
        });
        self.update_keeper(&state);
        let version = self.gateway().deployment().map_or(0, |d| d.version);
        let was_pulled = state.pulled.is_some_and(|(pulled, at)| {
            pulled >= status.document_version && now.since(at) < PULL_AGAIN_MS
        });
        if status.document_version > version && !was_pulled {
            state.pulled = Some((status.document_version, now));
            session.send(&Frame::PullDocument);
        }
        drop(state);
        self.gateway().quota.set_entry_vms(status.entry_vms);
    }

    fn update_keeper(&self, state: &State) {
        let keeper = state.keeper(&self.own);
        if let Some(change) = self.borrowers.set_keeper(keeper, self.clock.mono()) {
            self.events.emit(&change);
        }
    }

    fn on_document(&self, session: &Session, news: &DocumentNews) {
        let error = match self.dialect.decode(&news.body) {
            Ok(deployment) => {
                self.gateway().set_deployment(deployment);
                None
            }
            Err(error) => Some(error.to_string()),
        };
        self.events.emit(&DocumentChange {
            version: news.version,
            from: session.peer().vm.clone(),
            error,
        });
    }

    fn on_servers(&self, news: ServerNews) {
        let now = self.clock.mono();
        let mut state = self.lock();
        let mut table = self.gateway().server_table();
        for announcement in news.changed {
            let server = announcement.server.clone();
            let started = announcement.started_unix_ms;
            if state.servers.observe(announcement.clone(), now) == Change::Changed {
                table.set_server(announcement);
                self.log_server(&server, started, "announced");
            }
        }
        for (server, started) in news.gone {
            if state.servers.leave(&server, started, now) {
                table.remove_server(&server);
                self.log_server(&server, started, "left");
            }
        }
        for server in news.alive {
            state.servers.alive(&server, now);
        }
    }

    fn on_residency(&self, session: &Session, news: &ResidencyNews) {
        let mut state = self.lock();
        let known = state.fences.get(&news.data_centre).copied();
        let source = (news.fence, session.id());
        let is_old = known.is_some_and(|(fence, _)| news.fence < fence);
        if is_old || !news.full && known != Some(source) {
            return;
        }
        state.fences.insert(news.data_centre.clone(), source);
        drop(state);
        let now = self.clock.mono();
        let gateway = self.gateway();
        let mut table = gateway.server_table();
        if news.full {
            table.clear_residency(&news.data_centre);
        }
        for item in &news.items {
            let ready = item.ready_in_ms.map(|ms| match ms {
                0 => MonoMs(0),
                ms => now.plus(u64::from(ms)),
            });
            table.set_residency(&item.server, &item.model, item.version, ready);
        }
        drop(table);
        for item in &news.items {
            gateway.adapter_waits.wake(&item.model);
        }
    }

    fn on_loads(&self, news: &LoadNews) {
        let loads = news.engines.iter().map(|load| EngineWork {
            server: load.server.clone(),
            occupied: load.occupied,
            prompt_tokens: load.prompt_tokens.into(),
        });
        let loads: Vec<EngineWork> = loads.collect();
        let now = self.clock.mono();
        let mut table = self.gateway().server_table();
        table.set_loads(&news.data_centre, &loads, now);
        table.set_slot_wait(&news.data_centre, news.place_wait_ms.into(), now);
    }

    fn log_server(&self, server: &ServerName, started_unix_ms: u64, what: &'static str) {
        self.events.emit(&ServerChange {
            server: server.clone(),
            started_unix_ms,
            what,
        });
    }
}

impl State {
    /// Whom `own` asks for tokens.
    fn keeper(&self, own: &Hello) -> Keeper {
        if let Some(leader) = self.leader() {
            return Keeper::Leader(leader);
        }
        if !self.would_see_leader() {
            return Keeper::Unknown;
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
        match keeper::choose(&own.vm, &own.data_centre, &candidates) {
            Some(chosen) => Keeper::StandIn(sessions[chosen].clone()),
            None => Keeper::None,
        }
    }

    /// Whether a leader would be seen if there were one: most controllers are linked, or none is. A
    /// VM with few links may be cut off from the leader.
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

    /// The link to the VM that orders the engines of `data_centre`.
    fn holder(&self, data_centre: &DataCentre) -> Option<Session> {
        let holding = self.links.values().filter_map(|link| {
            let holds = &link.status.as_ref()?.holds;
            let (_, fence) = holds.iter().find(|(held, _)| held == data_centre)?;
            Some((*fence, &link.session))
        });
        let newest = holding.max_by_key(|(fence, _)| *fence);
        newest.map(|(_, session)| session.clone())
    }
}

impl Handler for EntryFeed {
    fn opened(&self, session: &Session) {
        let link = Link {
            session: session.clone(),
            opened: self.clock.mono(),
            status: None,
        };
        self.lock().links.insert(session.id(), link);
        self.events.emit(&LinkChange {
            peer: session.peer().vm.clone(),
            is_open: true,
            reason: String::new(),
        });
    }

    fn received(&self, session: &Session, frame: Frame) {
        match frame {
            Frame::Status(status) => self.on_status(session, status),
            Frame::Document(news) => self.on_document(session, &news),
            Frame::AdapterVersions(versions) => self.gateway().set_versions(&versions),
            Frame::Servers(news) => self.on_servers(news),
            Frame::Residency(news) => self.on_residency(session, &news),
            Frame::Loads(news) => self.on_loads(&news),
            Frame::Borrowed(number, reply) => self.borrowers.replied(number, reply),
            _ => {}
        }
    }

    fn closed(&self, session: &Session, reason: &str) {
        let mut state = self.lock();
        state.links.shift_remove(&session.id());
        self.update_keeper(&state);
        drop(state);
        self.events.emit(&LinkChange {
            peer: session.peer().vm.clone(),
            is_open: false,
            reason: reason.to_owned(),
        });
    }
}

impl AdapterRequester for EntryFeed {
    fn request_adapter(&self, want: Want, asked_before: u32) {
        // One that is rarely asked for goes back to the engine that had it, wherever that is.
        let near = self.gateway().is_popular(&want.model);
        let now = self.clock.mono();
        let mut targets = self
            .gateway()
            .server_table()
            .load_targets(&want.model, near, now);
        if targets.is_empty() {
            return;
        }
        // A data centre that does not load it in time is passed over.
        let passed = (asked_before / ASKS_PER_HOME) as usize % targets.len();
        targets.rotate_left(passed);
        let state = self.lock();
        for target in targets {
            if let Some(holder) = state.holder(&target.data_centre) {
                holder.send(&Frame::Wants(target.data_centre, vec![want]));
                return;
            }
        }
    }
}
