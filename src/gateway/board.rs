//! What an entry VM believes of the backend servers, and the choice of one for a request.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::dialect::ServerLoad;
use super::homes;
use super::homes::EngineSite;
use super::homes::LastHeld;
use crate::registry::Announcement;
use crate::registry::ServerState;
use crate::scheduling::slots::weight;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::ServiceName;

/// Delay of a send within the data centre, in milliseconds.
const NEAR_MS: f64 = 1.0;
/// Delay of a send to another data centre of the region.
const SAME_REGION_MS: f64 = 8.0;
/// Delay of a send to another region; more than the round trip, because its bytes are paid for.
const FAR_MS: f64 = 120.0;
/// Time constant of the averages of answers.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Expected delay by a server all of whose answers fail.
const FAILING_MS: f64 = 4_000.0;
/// Time after which half of a server's bad record is forgotten.
const FORGIVE_HALF_MS: f64 = 2_000.0;
/// Age at which the load told by a server counts half.
const LOAD_HALF_MS: f64 = 1_000.0;
/// Delay by a batch that is full but for one place, against an empty one.
const FULL_BATCH_MS: f64 = 60.0;
/// Time by which the load of an adapter may be late.
const LOAD_LATE_MS: u64 = 1_500;
/// Time after which an adapter that was not there yet is tried again.
const LOOK_AGAIN_MS: u64 = 50;
/// Time in which the presence of an adapter is verified.
const VERIFY_MS: u64 = 400;
/// Service time assumed before the first answer.
const FIRST_SERVICE_MS: f64 = 100.0;
/// Delay by chance, so that VMs with the same view do not all choose the same server.
const LOT_MS: f64 = 12.0;

/// How far a data centre is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// The own one.
    Near,
    /// Another one of the own region.
    SameRegion,
    /// One of another region.
    Far,
}

impl Distance {
    /// Expected delay of a send, in milliseconds.
    pub(super) fn delay_ms(self) -> f64 {
        match self {
            Self::Near => NEAR_MS,
            Self::SameRegion => SAME_REGION_MS,
            Self::Far => FAR_MS,
        }
    }
}

/// Presence of an adapter.
#[derive(Clone, Copy, Debug)]
struct Present {
    version: u64,
    /// When the load was expected to end.
    expected: MonoMs,
    /// When it is worth to try.
    ready: MonoMs,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// How far it is.
    pub distance: Distance,
    /// Requests of this VM that it has.
    pub in_flight: u32,
    residency: HashMap<ModelName, Present>,
    /// Requests of other VMs, when the server last told its load.
    others: f64,
    others_at: MonoMs,
    failing: f64,
    failing_at: MonoMs,
    avoid_until: MonoMs,
}

impl ServerView {
    fn new(announcement: Announcement, distance: Distance) -> Self {
        Self {
            announcement,
            distance,
            in_flight: 0,
            residency: HashMap::new(),
            others: 0.0,
            others_at: MonoMs(0),
            failing: 0.0,
            failing_at: MonoMs(0),
            avoid_until: MonoMs(0),
        }
    }

    /// Requests that the server has, as far as this VM can tell.
    pub fn occupied(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.others_at) as f64;
        let others = self.others * (-age_ms / LOAD_HALF_MS).exp2();
        others + f64::from(self.in_flight)
    }

    /// Part of recent requests that failed.
    pub fn failing(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.failing_at) as f64;
        self.failing * (-age_ms / FORGIVE_HALF_MS).exp2()
    }

    fn is_full(&self, now: MonoMs) -> bool {
        self.occupied(now) + 1.0 > f64::from(self.announcement.slots.max(1))
    }

    /// Expected wait for a place, with requests that take `service_ms` each.
    fn queueing_ms(&self, service_ms: f64, now: MonoMs) -> f64 {
        let slots = f64::from(self.announcement.slots.max(1));
        let beyond = (self.occupied(now) + 1.0 - slots).max(0.0);
        beyond * service_ms / slots
    }

    fn expected_delay_ms(&self, service_ms: f64, now: MonoMs) -> f64 {
        let slots = f64::from(self.announcement.slots.max(1));
        let occupied = self.occupied(now);
        let queueing_ms = self.queueing_ms(service_ms, now);
        let batch_ms = (occupied / slots).min(1.0) * FULL_BATCH_MS;
        let cold_ms = if self.announcement.cold_ms > 0 {
            batch_ms
        } else {
            0.0
        };
        self.distance.delay_ms() + queueing_ms + batch_ms + cold_ms + self.failing(now) * FAILING_MS
    }
}

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
    service_ms: HashMap<ServiceName, f64>,
    last_held: LastHeld,
}

impl Board {
    /// A board without servers; data centres that are not listed are far.
    pub fn new(distances: HashMap<DataCentre, Distance>) -> Self {
        Self {
            distances,
            ..Self::default()
        }
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
    /// `model`: with `near` the nearest first, else that of the engine that had it last comes first.
    pub fn homes(&self, model: &ModelName, near: bool) -> Vec<DataCentre> {
        let engines = self.servers.iter().filter(|(_, view)| {
            let server = &view.announcement;
            server.state == ServerState::Ready && !server.models.is_empty()
        });
        let sites: Vec<EngineSite<'_>> = engines
            .map(|(server, view)| EngineSite {
                server,
                data_centre: &view.announcement.data_centre,
                distance: view.distance,
            })
            .collect();
        let last = self.last_held.get(model).filter(|_| !near);
        homes::in_order(model, &sites, last)
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
    pub fn sent(&mut self, server: &ServerName) {
        if let Some(view) = self.servers.get_mut(server) {
            view.in_flight += 1;
        }
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

    /// Takes the engines of a data centre that have many requests, and how many, from the VM that
    /// counts the requests of all VMs. Its other engines have room.
    pub fn set_busy(&mut self, centre: &DataCentre, busy: &[(ServerName, u32)], now: MonoMs) {
        for (server, view) in &mut self.servers {
            if view.announcement.data_centre != *centre {
                continue;
            }
            let listed = busy.iter().find(|(name, _)| name == server);
            match listed {
                Some((_, occupied)) => {
                    view.others = f64::from(occupied.saturating_sub(view.in_flight));
                    view.others_at = now;
                }
                None => {
                    let room = f64::from(view.announcement.slots) / 2.0;
                    view.others = view.others.min(room);
                }
            }
        }
    }

    /// Counts how a request went at a server.
    pub fn judged(&mut self, server: &ServerName, failed: bool, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            let before = view.failing(now);
            let outcome = if failed { 1.0 } else { 0.0 };
            let weight = if failed {
                3.0 * AVERAGE_WEIGHT
            } else {
                AVERAGE_WEIGHT
            };
            view.failing = before + weight * (outcome - before);
            view.failing_at = now;
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
        let known = self
            .service_ms
            .entry(service.clone())
            .or_insert(FIRST_SERVICE_MS);
        *known += AVERAGE_WEIGHT * (took_ms as f64 - *known);
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
        let service_ms = self.service_ms(need.service);
        let scored = pool.iter().filter(has_model).map(|view| {
            let delay_ms = view.expected_delay_ms(service_ms, now);
            (delay_ms + need.lot_ms(view), *view)
        });
        match scored.min_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, view)) => send(view, service_ms, now),
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
        let service_ms = self.service_ms(need.service);
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
            let delay_ms = view.expected_delay_ms(service_ms, now) + wait_ms + need.lot_ms(view);
            if best.is_none_or(|(least_ms, ..)| delay_ms < least_ms) {
                best = Some((delay_ms, present.ready, view));
            }
        }
        match best {
            Some((_, ready, _)) if ready > now => Choice::WaitUntil(ready),
            Some((_, _, view)) => send(view, service_ms, now),
            None => Choice::NotPresent,
        }
    }

    fn service_ms(&self, service: &ServiceName) -> f64 {
        let known = self.service_ms.get(service).copied();
        known.unwrap_or(FIRST_SERVICE_MS)
    }
}

fn send(view: &ServerView, service_ms: f64, now: MonoMs) -> Choice {
    Choice::Send {
        server: view.announcement.server.clone(),
        delay_ms: view.queueing_ms(service_ms, now) as u64,
        is_full: view.is_full(now),
        is_far: view.distance == Distance::Far,
    }
}

/// Whether the name is that of an adapter rather than a base model.
pub fn is_adapter(model: &ModelName) -> bool {
    model.as_str().contains('/')
}
