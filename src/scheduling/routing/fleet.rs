//! Backend servers known to one VM: announcements, load reports and the VM's own dispatches.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use indexmap::IndexMap;

use crate::limits::ServerRest;
use crate::scheduling::routing::HashRing;
use crate::scheduling::routing::RouteConfig;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::Tokens;

/// Retention of own dispatches and completions, in milliseconds. Longer than the age of any load
/// report.
const HISTORY_MS: u64 = 5_000;

/// What a server provides.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServerKind {
    /// Runs adapters of a base model.
    Engine {
        /// The base model.
        base: Arc<str>,
    },
    /// Provides a plain service.
    Service {
        /// The service.
        service: ServiceName,
    },
}

/// Identity and size of a server, from its announcement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerInfo {
    /// Name.
    pub name: ServerName,
    /// Data centre.
    pub data_centre: DataCentre,
    /// What it provides.
    pub kind: ServerKind,
    /// Incarnation; changes with each start.
    pub incarnation: u64,
    /// Batch positions: requests that the server runs concurrently.
    pub batch_slots: u32,
    /// The server accepts no new requests.
    pub leaving: bool,
}

/// Load of a server at one point in time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Time of the sample on this VM's clock.
    pub sampled: MonoMs,
    /// Running requests.
    pub running: u32,
    /// Urgent requests waiting for a batch position.
    pub waiting_urgent: u32,
    /// Patient requests waiting for a batch position.
    pub waiting_patient: u32,
    /// Mean time for which a request occupies a batch position, in milliseconds.
    pub service_ms: u32,
    /// Suspects of the crash quarantine among these requests.
    pub suspects: u32,
}

/// Server with the requests that this VM has sent to it.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) info: ServerInfo,
    pub(super) started: MonoMs,
    pub(super) paid: bool,
    pub(super) round_trip_ms: u64,
    report: LoadReport,
    own_in_flight: u32,
    own_suspects: u32,
    /// Time from which the server takes requests of this VM again.
    deferred_until: MonoMs,
    /// Rest that the server asked this VM for.
    rest: ServerRest,
    /// Own dispatches (+1) and completions (-1), oldest first.
    history: VecDeque<(MonoMs, i8)>,
}

/// Link from this VM to a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Link {
    round_trip_ms: u64,
    paid: bool,
}

/// All backend servers known to a VM.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    seed: u64,
    peers: u32,
    links: HashMap<DataCentre, Link>,
    servers: IndexMap<ServerName, Server>,
    services: HashMap<ServiceName, Vec<ServerName>>,
    rings: HashMap<Arc<str>, HashRing>,
    /// Number of engines that accept requests, by base model and data centre.
    engines: HashMap<Arc<str>, HashMap<DataCentre, usize>>,
    paid_tokens: Tokens,
}

impl Fleet {
    /// Creates a fleet without servers. `seed` must differ between VMs.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Sets the link from this VM to a data centre. Data centres without a link are treated as having
    /// no latency and no cost.
    pub fn set_link(&mut self, data_centre: DataCentre, round_trip_ms: u64, paid: bool) {
        let link = Link {
            round_trip_ms,
            paid,
        };
        for server in self.servers.values_mut() {
            if server.info.data_centre == data_centre {
                server.round_trip_ms = round_trip_ms;
                server.paid = paid;
            }
        }
        self.links.insert(data_centre, link);
    }

    /// Sets the number of other VMs that route to the same servers.
    pub fn set_peers(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Merges an announcement. Older incarnations and samples are ignored.
    pub fn observe(&mut self, info: ServerInfo, report: LoadReport, now: MonoMs) {
        let known = self.servers.get(&info.name).map(|s| s.info.clone());
        let known_incarnation = known.as_ref().map(|known| known.incarnation);
        if known_incarnation.is_some_and(|known| info.incarnation < known) {
            return;
        }
        if known.as_ref() != Some(&info) {
            if let Some(known) = &known {
                self.unindex(known);
            }
            self.index(&info);
        }
        if known_incarnation != Some(info.incarnation) {
            let server = self.new_server(info, report, now);
            self.servers.insert(server.info.name.clone(), server);
            return;
        }
        if let Some(server) = self.servers.get_mut(&info.name) {
            server.info = info;
            if report.sampled >= server.report.sampled {
                server.report = report;
            }
        }
    }

    fn new_server(&self, info: ServerInfo, report: LoadReport, now: MonoMs) -> Server {
        let link = self.links.get(&info.data_centre);
        Server {
            info,
            started: now,
            paid: link.is_some_and(|link| link.paid),
            round_trip_ms: link.map_or(0, |link| link.round_trip_ms),
            report,
            own_in_flight: 0,
            own_suspects: 0,
            deferred_until: MonoMs(0),
            rest: ServerRest::default(),
            history: VecDeque::new(),
        }
    }

    /// Removes a dead server.
    pub fn remove(&mut self, server: &ServerName) {
        if let Some(server) = self.servers.swap_remove(server) {
            self.unindex(&server.info);
        }
    }

    /// Records a dispatch of this VM.
    pub fn record_dispatch(
        &mut self,
        server: &ServerName,
        suspect: bool,
        tokens: Tokens,
        now: MonoMs,
    ) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        server.own_in_flight += 1;
        server.own_suspects += u32::from(suspect);
        server.record_history(now, 1);
        if server.paid {
            self.paid_tokens += tokens;
        }
    }

    /// Records the end of a request that this VM dispatched to `incarnation` of the server.
    pub fn record_completion(
        &mut self,
        server: &ServerName,
        incarnation: u64,
        suspect: bool,
        now: MonoMs,
    ) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        if server.info.incarnation != incarnation {
            return;
        }
        server.own_in_flight = server.own_in_flight.saturating_sub(1);
        server.own_suspects = server.own_suspects.saturating_sub(u32::from(suspect));
        server.record_history(now, -1);
    }

    /// Sends a server no requests until `until`, because it limits them.
    pub fn defer(&mut self, server: &ServerName, until: MonoMs) {
        if let Some(server) = self.servers.get_mut(server) {
            server.deferred_until = until;
        }
    }

    /// Sends a server no requests for `ms`, because it asked this VM for rest.
    pub fn rest(&mut self, server: &ServerName, ms: u64, now: MonoMs) {
        if let Some(server) = self.servers.get_mut(server) {
            server.rest.ask(ms, now);
        }
    }

    /// Time until the first provider of `service` ends its rest; `None` if one does not rest.
    pub fn shortest_rest_ms(&self, service: &ServiceName, now: MonoMs) -> Option<u64> {
        let providers = self.providers(service).iter();
        let rests = providers.filter_map(|name| self.servers.get(name));
        let shortest = rests.map(|server| server.rest.left_ms(now)).min()?;
        (shortest > 0).then_some(shortest)
    }

    /// Tokens sent over paid links by this VM.
    pub fn paid_tokens(&self) -> Tokens {
        self.paid_tokens
    }

    /// Identity and size of a server.
    pub fn info(&self, server: &ServerName) -> Option<&ServerInfo> {
        self.servers.get(server).map(|server| &server.info)
    }

    /// Estimated requests on a server, running and waiting.
    pub fn outstanding(&self, server: &ServerName, config: &RouteConfig) -> f32 {
        let server = self.servers.get(server);
        server.map_or(0.0, |server| server.outstanding(self.peers, config).total())
    }

    pub(super) fn seed(&self) -> u64 {
        self.seed
    }

    pub(super) fn peers(&self) -> u32 {
        self.peers
    }

    pub(super) fn server(&self, name: &ServerName) -> Option<&Server> {
        self.servers.get(name)
    }

    pub(super) fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    pub(super) fn providers(&self, service: &ServiceName) -> &[ServerName] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    pub(super) fn ring(&self, base: &str) -> Option<&HashRing> {
        self.rings.get(base)
    }

    pub(super) fn has_engines(&self, data_centre: &DataCentre, base: &str) -> bool {
        let engines = self.engines.get(base);
        engines.is_some_and(|engines| engines.contains_key(data_centre))
    }

    fn index(&mut self, info: &ServerInfo) {
        if info.leaving {
            return;
        }
        match &info.kind {
            ServerKind::Engine { base } => {
                let ring = self.rings.entry(base.clone()).or_default();
                ring.insert(&info.name);
                let by_data_centre = self.engines.entry(base.clone()).or_default();
                *by_data_centre.entry(info.data_centre.clone()).or_default() += 1;
            }
            ServerKind::Service { service } => {
                let providers = self.services.entry(service.clone()).or_default();
                providers.push(info.name.clone());
            }
        }
    }

    fn unindex(&mut self, info: &ServerInfo) {
        if info.leaving {
            return;
        }
        match &info.kind {
            ServerKind::Engine { base } => {
                if let Some(ring) = self.rings.get_mut(base) {
                    ring.remove(&info.name);
                }
                if let Some(by_data_centre) = self.engines.get_mut(base)
                    && let Some(engines) = by_data_centre.get_mut(&info.data_centre)
                {
                    *engines -= 1;
                    if *engines == 0 {
                        by_data_centre.remove(&info.data_centre);
                    }
                }
            }
            ServerKind::Service { service } => {
                if let Some(providers) = self.services.get_mut(service) {
                    providers.retain(|name| *name != info.name);
                }
            }
        }
    }
}

/// Estimated requests on a server.
struct Outstanding {
    /// Based on the load report and this VM's own dispatches.
    known: f32,
    /// Assumed dispatches of other VMs since the load report.
    expected: f32,
}

impl Outstanding {
    fn total(&self) -> f32 {
        self.known + self.expected
    }
}

impl Server {
    fn record_history(&mut self, now: MonoMs, change: i8) {
        while let Some((at, _)) = self.history.front() {
            if now.since(*at) <= HISTORY_MS {
                break;
            }
            self.history.pop_front();
        }
        self.history.push_back((now, change));
    }

    /// Estimated requests on the server: the reported requests of other VMs, plus this VM's requests
    /// in flight, plus the assumed dispatches of other VMs since the report.
    fn outstanding(&self, peers: u32, config: &RouteConfig) -> Outstanding {
        let mut net_since = 0_i64;
        let mut sent_since = 0_u32;
        let recent = self.history.iter().rev();
        for (_, change) in recent.take_while(|(at, _)| *at > self.report.sampled) {
            net_since += i64::from(*change);
            sent_since += u32::from(*change > 0);
        }
        let own_at_report = (i64::from(self.own_in_flight) - net_since).max(0) as f32;
        let reported =
            self.report.running + self.report.waiting_urgent + self.report.waiting_patient;
        let of_other_vms = (reported as f32 - own_at_report).max(0.0);
        Outstanding {
            known: of_other_vms + self.own_in_flight as f32,
            expected: self.peer_dispatches(sent_since, peers, config),
        }
    }

    /// Assumed dispatches of other VMs since the report. Capped at half of the batch positions for any
    /// number of VMs, because the assumption is uncertain.
    fn peer_dispatches(&self, sent_since: u32, peers: u32, config: &RouteConfig) -> f32 {
        let expected =
            sent_since as f32 * peers as f32 * config.peer_dispatch_percent as f32 / 100.0;
        expected.min(self.info.batch_slots as f32 / 2.0)
    }

    /// Estimated time until a new request gets a batch position, in milliseconds. Urgent requests
    /// overtake waiting patient ones.
    pub(super) fn wait_ms(&self, class: Patience, peers: u32, config: &RouteConfig) -> f32 {
        let mut outstanding = self.outstanding(peers, config).total();
        if class == Patience::Urgent {
            outstanding -= self.report.waiting_patient as f32;
        }
        let slots = self.info.batch_slots.max(1) as f32;
        let ahead = (outstanding + 1.0 - slots).max(0.0);
        ahead * self.report.service_ms as f32 / slots
    }

    /// Estimated requests per batch position.
    pub(super) fn occupancy(&self, peers: u32, config: &RouteConfig) -> f32 {
        self.outstanding(peers, config).total() / self.info.batch_slots.max(1) as f32
    }

    /// Whether the server limits its requests or rests, and takes none of this VM at `now`.
    pub(super) fn is_deferred(&self, now: MonoMs) -> bool {
        now < self.deferred_until || self.rest.left_ms(now) > 0
    }

    /// Whether one more request of `class` is within the fill limit.
    pub(super) fn has_room(&self, class: Patience, peers: u32, config: &RouteConfig) -> bool {
        let percent = match class {
            Patience::Urgent => config.urgent_fill_percent,
            Patience::Patient => config.patient_fill_percent,
        };
        let limit = self.info.batch_slots as f32 * percent as f32 / 100.0;
        self.outstanding(peers, config).known + 1.0 <= limit
    }

    /// Whether the server runs a suspect of the crash quarantine.
    pub(super) fn has_suspect(&self) -> bool {
        self.own_suspects > 0 || self.report.suspects > 0
    }
}
