//! The choice of a backend server for a request, from what an entry VM believes of all of them.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::dialect::ServerLoad;
use super::homes;
use super::homes::EngineSite;
pub use super::homes::Home;
use super::homes::LastHeld;
pub use super::server_view::Distance;
use super::server_view::Present;
pub use super::server_view::ServerView;
use super::service_pace::ServicePace;
use crate::mechanisms::Mechanism;
use crate::mechanisms::Mechanisms;
use crate::registry::Announcement;
use crate::registry::ServerState;
use crate::scheduling::slots::EngineWork;
use crate::scheduling::slots::weight;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;

/// Time by which the load of an adapter may be late.
const LOAD_LATE_MS: u64 = 1_500;
/// Time after which an adapter that was not there yet is tried again.
const LOOK_AGAIN_MS: u64 = 50;
/// Time in which the presence of an adapter is verified.
const VERIFY_MS: u64 = 400;
/// Time for which a told wait for a place counts.
const PLACE_WAIT_KEPT_MS: u64 = 600;
/// Delay by chance, so that VMs with the same view do not all choose the same server.
const LOT_MS: f64 = 12.0;

/// What a request needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Model or adapter, for an engine.
    pub model: Option<&'a ModelName>,
    /// Oldest version of the adapter that may answer.
    pub version: Option<u64>,
    /// Servers that were tried before.
    pub tried: &'a [ServerName],
    /// A random number, by which equal servers are told apart.
    pub lot: u64,
}

impl Need<'_> {
    fn lot_ms(&self, view: &ServerView) -> f64 {
        let drawn = weight(&self.lot, &view.announcement.server);
        LOT_MS * (drawn as f64 / u64::MAX as f64)
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// To this server now.
    Send {
        /// The server.
        server: ServerName,
        /// Expected wait for a place there.
        delay_ms: u64,
        /// Whether its batch is full, so that another copy of the adapter would help.
        is_full: bool,
        /// Whether it is in another region.
        is_far: bool,
    },
    /// To a server that has the adapter from this time on.
    WaitUntil(MonoMs),
    /// No server has the adapter or will have it soon.
    NotPresent,
    /// The service has no server that takes work.
    NoServer,
}

/// The servers as seen by one entry VM.
#[derive(Debug, Default)]
pub struct Board {
    servers: IndexMap<ServerName, ServerView>,
    distances: HashMap<DataCentre, Distance>,
    paces: HashMap<ServiceName, ServicePace>,
    last_held: LastHeld,
    /// Time until an adapter gets a place, by data centre, and when it was told.
    place_waits: HashMap<DataCentre, (u64, MonoMs)>,
    mechanisms: Mechanisms,
}

impl Board {
    /// A board without servers; data centres that are not listed are far.
    pub fn new(distances: HashMap<DataCentre, Distance>) -> Self {
        Self {
            distances,
            ..Self::default()
        }
    }

    /// The same with other mechanisms at work.
    pub fn with(self, mechanisms: Mechanisms) -> Self {
        Self { mechanisms, ..self }
    }

    /// Adds or updates a server.
    pub fn set_server(&mut self, announcement: Announcement) {
        let name = announcement.server.clone();
        match self.servers.get_mut(&name) {
            Some(view) if view.announcement.started_unix_ms == announcement.started_unix_ms => {
                view.announcement = announcement;
            }
            _ => {
                let data_centre = &announcement.data_centre;
                let distance = self.distance(data_centre);
                self.servers
                    .insert(name, ServerView::new(announcement, distance));
            }
        }
    }

    /// Forgets a server.
    pub fn remove_server(&mut self, server: &ServerName) {
        self.servers.shift_remove(server);
    }

    /// How far `data_centre` is.
    pub fn distance(&self, data_centre: &DataCentre) -> Distance {
        let known = self.distances.get(data_centre).copied();
        known.unwrap_or(Distance::Far)
    }

    /// One server.
    pub fn get(&self, server: &ServerName) -> Option<&ServerView> {
        self.servers.get(server)
    }

    /// Data centres with an engine that takes work, in the order in which they are asked to load
    /// `model`: where it can be used soonest comes first. With `near` it does not matter which engine
    /// had it last.
    pub fn homes(&self, model: &ModelName, near: bool, now: MonoMs) -> Vec<Home> {
        let engines = self.servers.iter().filter(|(_, view)| {
            let server = &view.announcement;
            server.state == ServerState::Ready && !server.models.is_empty()
        });
        let sites: Vec<EngineSite<'_>> = engines
            .map(|(server, view)| EngineSite {
                server,
                data_centre: &view.announcement.data_centre,
                distance: view.distance,
                place_wait_ms: self.place_wait_ms(&view.announcement.data_centre, now),
            })
            .collect();
        let goes_back = !near && self.mechanisms.has(Mechanism::LastEngine);
        let had = match self.last_held.get(model) {
            [.., last] if goes_back && !self.mechanisms.has(Mechanism::LoadMemory) => {
                std::slice::from_ref(last)
            }
            had if goes_back => had,
            _ => &[],
        };
        homes::in_order(model, &sites, had)
    }

    /// Replaces the residency of all engines of a data centre.
    pub fn clear_residency(&mut self, data_centre: &DataCentre) {
        for view in self.servers.values_mut() {
            if view.announcement.data_centre == *data_centre {
                view.residency.clear();
            }
        }
    }

    /// Sets or, with `ready` absent, removes the presence of an adapter.
    pub fn set_residency(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        version: u64,
        ready: Option<MonoMs>,
    ) {
        let Some(view) = self.servers.get_mut(server) else {
            return;
        };
        match ready {
            Some(ready) => {
                let postponed = view.residency.get(model).map(|known| known.ready);
                let postponed = postponed.filter(|_| ready == MonoMs(0));
                let present = Present {
                    version,
                    expected: ready,
                    ready: postponed.unwrap_or(ready),
                };
                view.residency.insert(model.clone(), present);
                self.last_held.note(model, server);
            }
            None => {
                view.residency.remove(model);
            }
        }
    }

    /// Takes a refusal for lack of an adapter: one that was expected a short time ago is on its
    /// way. Any other is used again after the VM that orders the engine has had time to verify it;
    /// returns true for it.
    pub fn lacks(&mut self, server: &ServerName, model: &ModelName, now: MonoMs) -> bool {
        let Some(view) = self.servers.get_mut(server) else {
            return false;
        };
        let Some(present) = view.residency.get_mut(model) else {
            return false;
        };
        let overdue_ms = now.since(present.expected);
        if overdue_ms > LOAD_LATE_MS {
            present.ready = now.plus(VERIFY_MS);
            return true;
        }
        present.ready = now.plus(LOOK_AGAIN_MS + overdue_ms / 2);
        false
    }

    /// Counts a request that is sent.
    pub fn sent(&mut self, server: &ServerName, prompt_tokens: u64) {
        if let Some(view) = self.servers.get_mut(server) {
            view.in_flight += 1;
            view.prompt_tokens += prompt_tokens;
        }
    }

    /// Counts the prompt of a request as read, or as never to be read.
    pub fn prompt_done(&mut self, server: &ServerName, started_unix_ms: u64, prompt_tokens: u64) {
        if let Some(view) = self.servers.get_mut(server)
            && view.announcement.started_unix_ms == started_unix_ms
        {
            view.prompt_tokens = view.prompt_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Prompt tokens that wait at a server, as far as this VM can tell.
    pub fn waiting_tokens(&self, server: &ServerName, now: MonoMs) -> f64 {
        let view = self.servers.get(server);
        view.map_or(0.0, |view| view.waiting_tokens(now))
    }

    /// Counts a request that ended.
    pub fn ended(&mut self, server: &ServerName, started_unix_ms: u64) {
        if let Some(view) = self.servers.get_mut(server)
            && view.announcement.started_unix_ms == started_unix_ms
        {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load that a server told.
    pub fn told_load(&mut self, server: &ServerName, load: ServerLoad, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            let total = f64::from(load.running) + f64::from(load.waiting);
            view.others = (total - f64::from(view.in_flight)).max(0.0);
            view.others_at = now;
        }
    }

    /// Takes the work of a data centre's engines from the VM that counts the requests of all VMs.
    /// Engines that are not listed have room.
    pub fn set_loads(&mut self, centre: &DataCentre, loads: &[EngineWork], now: MonoMs) {
        for (server, view) in &mut self.servers {
            if view.announcement.data_centre != *centre {
                continue;
            }
            match loads.iter().find(|load| load.server == *server) {
                Some(load) => {
                    view.others = f64::from(load.occupied.saturating_sub(view.in_flight));
                    view.others_at = now;
                    view.set_prompts(load.prompt_tokens, now);
                }
                None => {
                    let room = f64::from(view.announcement.slots) / 2.0;
                    view.others = view.others.min(room);
                    view.set_prompts(0, now);
                }
            }
        }
    }

    /// Counts how a request went at a server.
    pub fn judged(&mut self, server: &ServerName, failed: bool, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.judged(failed, now);
        }
    }

    /// Keeps new work from a server that cannot be reached.
    pub fn avoid(&mut self, server: &ServerName, until: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.avoid_until = view.avoid_until.max(until);
        }
    }

    /// Takes the time that a service needed for a request.
    pub fn took(&mut self, service: &ServiceName, took_ms: u64) {
        let pace = self.paces.entry(service.clone()).or_default();
        pace.took(took_ms as f64);
    }

    /// Takes the time to the first event of an answer, sent when `tokens` waited at the server.
    pub fn began(&mut self, service: &ServiceName, took_ms: u64, tokens: f64) {
        let pace = self.paces.entry(service.clone()).or_default();
        pace.began(took_ms as f64, tokens);
    }

    /// Takes the time until an adapter that is asked for gets a place in a data centre.
    pub fn set_place_wait(&mut self, centre: &DataCentre, wait_ms: u64, now: MonoMs) {
        self.place_waits.insert(centre.clone(), (wait_ms, now));
    }

    /// Time until an adapter that is asked for gets a place in a data centre.
    fn place_wait_ms(&self, centre: &DataCentre, now: MonoMs) -> u64 {
        if !self.mechanisms.has(Mechanism::PlaceForecast) {
            return 0;
        }
        let told = self.place_waits.get(centre);
        let told = told.filter(|(_, at)| now.since(*at) < PLACE_WAIT_KEPT_MS);
        told.map_or(0, |(wait_ms, _)| *wait_ms)
    }

    /// Chooses a server for a request.
    pub fn choose(&self, need: &Need<'_>, now: MonoMs) -> Choice {
        let all: Vec<&ServerView> = self
            .servers
            .values()
            .filter(|view| view.announcement.service == *need.service)
            .filter(|view| view.announcement.state == ServerState::Ready)
            .collect();
        if all.is_empty() {
            return Choice::NoServer;
        }
        let untried = |view: &&ServerView| !need.tried.contains(&view.announcement.server);
        let fresh: Vec<&ServerView> = all.iter().copied().filter(untried).collect();
        let pool = if fresh.is_empty() { &all } else { &fresh };
        let reachable = |view: &&ServerView| view.avoid_until <= now;
        let usable: Vec<&ServerView> = pool.iter().copied().filter(reachable).collect();
        let pool = if usable.is_empty() { pool } else { &usable };
        match need.model.filter(|model| is_adapter(model)) {
            Some(model) => self.choose_holder(need, model, pool, now),
            None => self.choose_any(need, pool, now),
        }
    }

    fn choose_any(&self, need: &Need<'_>, pool: &[&ServerView], now: MonoMs) -> Choice {
        let has_model = |view: &&&ServerView| {
            let models = &view.announcement.models;
            need.model.is_none_or(|model| models.contains(model))
        };
        let pace = self.pace(need.service);
        let scored = pool.iter().filter(has_model).map(|view| {
            let delay_ms = view.expected_delay_ms(&pace, now);
            (delay_ms + need.lot_ms(view), *view)
        });
        match scored.min_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, view)) => send(view, &pace, now),
            None => Choice::NotPresent,
        }
    }

    fn choose_holder(
        &self,
        need: &Need<'_>,
        model: &ModelName,
        pool: &[&ServerView],
        now: MonoMs,
    ) -> Choice {
        let pace = self.pace(need.service);
        let mut best: Option<(f64, MonoMs, &ServerView)> = None;
        for view in pool {
            let Some(present) = view.residency.get(model) else {
                continue;
            };
            let is_current = need.version.is_none_or(|least| present.version >= least);
            if !is_current {
                continue;
            }
            let wait_ms = present.ready.since(now) as f64;
            let delay_ms = view.expected_delay_ms(&pace, now) + wait_ms + need.lot_ms(view);
            if best.is_none_or(|(least_ms, ..)| delay_ms < least_ms) {
                best = Some((delay_ms, present.ready, view));
            }
        }
        match best {
            Some((_, ready, _)) if ready > now => Choice::WaitUntil(ready),
            Some((_, _, view)) => send(view, &pace, now),
            None => Choice::NotPresent,
        }
    }

    /// Time that servers of a service need to read a token of a prompt.
    pub fn token_us(&self, service: &ServiceName) -> u32 {
        (self.pace(service).token_ms * 1_000.0) as u32
    }

    fn pace(&self, service: &ServiceName) -> ServicePace {
        let mut pace = self.paces.get(service).copied().unwrap_or_default();
        if !self.mechanisms.has(Mechanism::PromptBacklog) {
            pace.token_ms = 0.0;
        }
        pace
    }
}

fn send(view: &ServerView, pace: &ServicePace, now: MonoMs) -> Choice {
    Choice::Send {
        server: view.announcement.server.clone(),
        delay_ms: view.queueing_ms(pace.service_ms, now) as u64,
        is_full: view.is_full(now),
        is_far: view.distance == Distance::Far,
    }
}

/// Whether the name is that of an adapter rather than a base model.
pub fn is_adapter(model: &ModelName) -> bool {
    model.as_str().contains('/')
}
