//! Selects a backend server for a request from the state of all servers as known to one entry VM.

use std::collections::HashMap;

use indexmap::IndexMap;

use super::dialect::ServerLoad;
use super::leaving_servers::LeavingServers;
pub use super::load_targets::LoadTarget;
use super::load_targets::RecentEngines;
use super::server_view::AdapterPresence;
pub use super::server_view::Distance;
pub use super::server_view::ServerView;
use super::service_latency::ServiceLatency;
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
use crate::types::SoftwareVersion;

/// Delay of an adapter load beyond its expected end that still counts as normal.
const MAX_LOAD_DELAY_MS: u64 = 1_500;
/// Delay before an adapter that is not loaded yet is tried again.
const RETRY_MS: u64 = 50;
/// Time that the VM in charge of the engine needs to verify whether an adapter is present.
const VERIFY_MS: u64 = 400;
/// Validity of a reported wait for an adapter slot.
const SLOT_WAIT_VALID_MS: u64 = 600;
/// Upper bound of the random delay that keeps VMs with the same view from choosing the same server.
const JITTER_MS: f64 = 12.0;

/// Requirements of a request on its server.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    /// Service that answers the request.
    pub service: &'a ServiceName,
    /// Model or adapter, if the service runs on engines.
    pub model: Option<&'a ModelName>,
    /// Oldest version of the adapter that may answer.
    pub version: Option<u64>,
    /// Version of the software that may answer; any if the request has no events yet.
    pub software: Option<&'a SoftwareVersion>,
    /// Servers that the request was sent to before.
    pub tried: &'a [ServerName],
    /// Random number that decides between servers of equal cost.
    pub tie_breaker: u64,
    /// Whether servers that this VM cannot connect to are tried if there are no others.
    pub tries_unreached: bool,
}

impl Requirements<'_> {
    fn accepts(&self, software: &SoftwareVersion) -> bool {
        self.software.is_none_or(|required| required == software)
    }

    fn jitter_ms(&self, view: &ServerView) -> f64 {
        let drawn = weight(&self.tie_breaker, &view.announcement.server);
        JITTER_MS * (drawn as f64 / u64::MAX as f64)
    }
}

/// Result of a server selection.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Send to this server now.
    Send {
        /// Selected server.
        server: ServerName,
        /// Expected wait for a batch slot on this server.
        delay_ms: u64,
        /// Whether its batch is full, so that another copy of the adapter would help.
        is_full: bool,
        /// Whether it is in another region.
        is_far: bool,
    },
    /// A server has the adapter from this time on.
    WaitUntil(MonoMs),
    /// All servers that could take the request have named a limit and have no permit now.
    RateLimited {
        /// The server whose permit is expected first.
        server: ServerName,
        /// Shortest time until a permit.
        wait_ms: u64,
    },
    /// All servers that could take the request rest.
    Resting {
        /// Shortest time until one takes requests.
        wait_ms: u64,
        /// Whether other servers of the service take requests, which the adapter could be loaded on.
        has_others: bool,
    },
    /// This VM cannot connect to any server that could take the request.
    Unreached,
    /// No server has the adapter or is about to have it.
    NotPresent,
    /// The service has no server that accepts requests.
    NoServer,
}

/// Backend servers as known to one entry VM.
#[derive(Debug, Default)]
pub struct ServerTable {
    pub(super) servers: IndexMap<ServerName, ServerView>,
    pub(super) leaving: LeavingServers,
    distances: HashMap<DataCentre, Distance>,
    latencies: HashMap<ServiceName, ServiceLatency>,
    pub(super) recent_engines: RecentEngines,
    /// Wait for an adapter slot and the time of the report, by data centre.
    slot_waits: HashMap<DataCentre, (u64, MonoMs)>,
    pub(super) mechanisms: Mechanisms,
}

impl ServerTable {
    /// Creates a table without servers. Data centres that are not in `distances` count as far.
    pub fn new(distances: HashMap<DataCentre, Distance>) -> Self {
        Self {
            distances,
            ..Self::default()
        }
    }

    /// Replaces the set of enabled mechanisms.
    pub fn with(self, mechanisms: Mechanisms) -> Self {
        Self { mechanisms, ..self }
    }

    /// Adds or updates a server. A restart of the server resets its state.
    pub fn set_server(&mut self, mut announcement: Announcement) {
        self.leaving.apply_to(&mut announcement);
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

    /// Removes a server.
    pub fn remove_server(&mut self, server: &ServerName) {
        self.servers.shift_remove(server);
    }

    /// Distance to `data_centre`.
    pub fn distance(&self, data_centre: &DataCentre) -> Distance {
        let known = self.distances.get(data_centre).copied();
        known.unwrap_or(Distance::Far)
    }

    /// State of one server.
    pub fn get(&self, server: &ServerName) -> Option<&ServerView> {
        self.servers.get(server)
    }

    /// Clears the residency of all engines of a data centre, before a full update.
    pub fn clear_residency(&mut self, data_centre: &DataCentre) {
        for view in self.servers.values_mut() {
            if view.announcement.data_centre == *data_centre {
                view.residency.clear();
            }
        }
    }

    /// Sets the presence of an adapter on an engine, or removes it if `ready` is `None`.
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
                let deferred = view.residency.get(model).map(|known| known.ready);
                let deferred = deferred.filter(|_| ready == MonoMs(0));
                let present = AdapterPresence {
                    version,
                    load_end: ready,
                    ready: deferred.unwrap_or(ready),
                };
                view.residency.insert(model.clone(), present);
                self.recent_engines.record(model, server);
            }
            None => {
                view.residency.remove(model);
            }
        }
    }

    /// Handles a refusal by an engine that lacks the adapter. If its load was due only a short time
    /// ago, the adapter is tried again soon and the result is false. Otherwise it is tried again
    /// once the VM in charge of the engine has had time to verify its presence, and the result is
    /// true.
    pub fn on_adapter_missing(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        now: MonoMs,
    ) -> bool {
        let Some(view) = self.servers.get_mut(server) else {
            return false;
        };
        let Some(present) = view.residency.get_mut(model) else {
            return false;
        };
        let overdue_ms = now.since(present.load_end);
        if overdue_ms > MAX_LOAD_DELAY_MS {
            present.ready = now.plus(VERIFY_MS);
            return true;
        }
        present.ready = now.plus(RETRY_MS + overdue_ms / 2);
        false
    }

    /// Counts a request that is sent to `server`.
    pub fn record_dispatch(&mut self, server: &ServerName, prompt_tokens: u64) {
        if let Some(view) = self.servers.get_mut(server) {
            view.in_flight += 1;
            view.prompt_tokens += prompt_tokens;
        }
    }

    /// Removes the prompt of a request from the backlog: it was processed or never will be.
    pub fn record_prompt_done(
        &mut self,
        server: &ServerName,
        started_unix_ms: u64,
        prompt_tokens: u64,
    ) {
        if let Some(view) = self.servers.get_mut(server)
            && view.announcement.started_unix_ms == started_unix_ms
        {
            view.prompt_tokens = view.prompt_tokens.saturating_sub(prompt_tokens);
        }
    }

    /// Estimated number of prompt tokens waiting at a server.
    pub fn waiting_tokens(&self, server: &ServerName, now: MonoMs) -> f64 {
        let view = self.servers.get(server);
        view.map_or(0.0, |view| view.waiting_tokens(now))
    }

    /// Counts the end of a request.
    pub fn record_completion(&mut self, server: &ServerName, started_unix_ms: u64) {
        if let Some(view) = self.servers.get_mut(server)
            && view.announcement.started_unix_ms == started_unix_ms
        {
            view.in_flight = view.in_flight.saturating_sub(1);
        }
    }

    /// Stores the load that a server reported.
    pub fn set_reported_load(&mut self, server: &ServerName, load: ServerLoad, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            let total = f64::from(load.running) + f64::from(load.waiting);
            view.other_requests = (total - f64::from(view.in_flight)).max(0.0);
            view.other_requests_at = now;
        }
    }

    /// Stores the load of a data centre's engines as counted over all entry VMs. Engines that are
    /// not listed have free batch slots.
    pub fn set_loads(&mut self, centre: &DataCentre, loads: &[EngineWork], now: MonoMs) {
        for (server, view) in &mut self.servers {
            if view.announcement.data_centre != *centre {
                continue;
            }
            match loads.iter().find(|load| load.server == *server) {
                Some(load) => {
                    view.other_requests = f64::from(load.occupied.saturating_sub(view.in_flight));
                    view.other_requests_at = now;
                    view.set_prompt_tokens(load.prompt_tokens, now);
                }
                None => {
                    let max_others = f64::from(view.announcement.slots) / 2.0;
                    view.other_requests = view.other_requests.min(max_others);
                    view.set_prompt_tokens(0, now);
                }
            }
        }
    }

    /// Records whether a request failed at a server.
    pub fn record_outcome(&mut self, server: &ServerName, failed: bool, now: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.record_outcome(failed, now);
        }
    }

    /// Avoids a server until `until`, unless no other server is left.
    pub fn avoid(&mut self, server: &ServerName, until: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.avoid_until = view.avoid_until.max(until);
        }
    }

    /// Updates the average duration of a service's requests.
    pub fn record_duration(&mut self, service: &ServiceName, took_ms: u64) {
        let latency = self.latencies.entry(service.clone()).or_default();
        latency.record_duration(took_ms as f64);
    }

    /// Updates the average prompt processing time of a service from the time to the first event of
    /// an answer. `tokens` prompt tokens were waiting when the request was sent.
    pub fn record_first_event(&mut self, service: &ServiceName, took_ms: u64, tokens: f64) {
        let latency = self.latencies.entry(service.clone()).or_default();
        latency.record_first_event(took_ms as f64, tokens);
    }

    /// Stores the reported wait for an adapter slot in a data centre.
    pub fn set_slot_wait(&mut self, centre: &DataCentre, wait_ms: u64, now: MonoMs) {
        self.slot_waits.insert(centre.clone(), (wait_ms, now));
    }

    /// Expected wait for an adapter slot in a data centre; 0 without a recent report.
    pub(super) fn slot_wait_ms(&self, centre: &DataCentre, now: MonoMs) -> u64 {
        if !self.mechanisms.is_enabled(Mechanism::SlotWaitForecast) {
            return 0;
        }
        let reported = self.slot_waits.get(centre);
        let reported = reported.filter(|(_, at)| now.since(*at) < SLOT_WAIT_VALID_MS);
        reported.map_or(0, |(wait_ms, _)| *wait_ms)
    }

    /// Selects a server for a request.
    pub fn choose(&self, requirements: &Requirements<'_>, now: MonoMs) -> Choice {
        let all: Vec<&ServerView> = self
            .servers
            .values()
            .filter(|view| view.announcement.service == *requirements.service)
            .filter(|view| view.announcement.state == ServerState::Ready)
            .filter(|view| requirements.accepts(&view.announcement.software))
            .collect();
        if all.is_empty() {
            return Choice::NoServer;
        }
        let reached: Vec<&ServerView> = all
            .iter()
            .copied()
            .filter(|view| !view.is_unreached)
            .collect();
        let all = match reached.is_empty() {
            true if requirements.tries_unreached => all,
            true => return Choice::Unreached,
            false => reached,
        };
        let (deferred, open): (Vec<&ServerView>, Vec<&ServerView>) =
            all.into_iter().partition(|view| view.is_deferred(now));
        let chosen = match open.is_empty() {
            true => Choice::NotPresent,
            false => self.choose_among(requirements, &open, now),
        };
        match (chosen, deferred.is_empty()) {
            (Choice::NotPresent, false) => {
                self.choose_deferred(requirements, &deferred, !open.is_empty(), now)
            }
            (chosen, _) => chosen,
        }
    }

    pub(super) fn choose_among(
        &self,
        requirements: &Requirements<'_>,
        all: &[&ServerView],
        now: MonoMs,
    ) -> Choice {
        let is_untried =
            |view: &&ServerView| !requirements.tried.contains(&view.announcement.server);
        let untried: Vec<&ServerView> = all.iter().copied().filter(is_untried).collect();
        let pool = if untried.is_empty() { all } else { &untried };
        let is_reachable = |view: &&ServerView| view.avoid_until <= now;
        let reachable: Vec<&ServerView> = pool.iter().copied().filter(is_reachable).collect();
        let pool = if reachable.is_empty() {
            pool
        } else {
            &reachable
        };
        match requirements.model.filter(|model| is_adapter(model)) {
            Some(model) => self.choose_engine_with_adapter(requirements, model, pool, now),
            None => self.choose_any_server(requirements, pool, now),
        }
    }

    fn choose_any_server(
        &self,
        requirements: &Requirements<'_>,
        pool: &[&ServerView],
        now: MonoMs,
    ) -> Choice {
        let has_model = |view: &&&ServerView| {
            let models = &view.announcement.models;
            requirements
                .model
                .is_none_or(|model| models.contains(model))
        };
        let latency = self.latency(requirements.service);
        let scored = pool.iter().filter(has_model).map(|view| {
            let delay_ms = view.expected_delay_ms(&latency, now);
            (delay_ms + requirements.jitter_ms(view), *view)
        });
        match scored.min_by(|a, b| a.0.total_cmp(&b.0)) {
            Some((_, view)) => send(view, &latency, now),
            None => Choice::NotPresent,
        }
    }

    fn choose_engine_with_adapter(
        &self,
        requirements: &Requirements<'_>,
        model: &ModelName,
        pool: &[&ServerView],
        now: MonoMs,
    ) -> Choice {
        let latency = self.latency(requirements.service);
        let mut best: Option<(f64, MonoMs, &ServerView)> = None;
        for view in pool {
            let Some(present) = view.residency.get(model) else {
                continue;
            };
            let is_current = requirements
                .version
                .is_none_or(|least| present.version >= least);
            if !is_current {
                continue;
            }
            let wait_ms = present.ready.since(now) as f64;
            let delay_ms =
                view.expected_delay_ms(&latency, now) + wait_ms + requirements.jitter_ms(view);
            if best.is_none_or(|(least_ms, ..)| delay_ms < least_ms) {
                best = Some((delay_ms, present.ready, view));
            }
        }
        match best {
            Some((_, ready, _)) if ready > now => Choice::WaitUntil(ready),
            Some((_, _, view)) => send(view, &latency, now),
            None => Choice::NotPresent,
        }
    }

    /// Average time per prompt token at the servers of a service, in microseconds.
    pub fn token_us(&self, service: &ServiceName) -> u32 {
        (self.latency(service).token_ms * 1_000.0) as u32
    }

    fn latency(&self, service: &ServiceName) -> ServiceLatency {
        let mut latency = self.latencies.get(service).copied().unwrap_or_default();
        if !self.mechanisms.is_enabled(Mechanism::PromptBacklog) {
            latency.token_ms = 0.0;
        }
        latency
    }
}

fn send(view: &ServerView, latency: &ServiceLatency, now: MonoMs) -> Choice {
    Choice::Send {
        server: view.announcement.server.clone(),
        delay_ms: view.queueing_ms(latency.service_ms, now) as u64,
        is_full: view.is_full(now),
        is_far: view.distance == Distance::Far,
    }
}

/// Whether the name is that of an adapter rather than of a base model.
pub fn is_adapter(model: &ModelName) -> bool {
    model.as_str().contains('/')
}
