//! Counters, histograms and gauges of one process, served over HTTP in the OpenMetrics text format.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use tokio::net::TcpStream;

use crate::configs::connections::RECEIVE_BYTES;
use crate::configs::connections::small_listener;
use crate::connections::budget::ByteBudget;
use crate::connections::reports::Reports;
use crate::connections::server::Server;
use crate::connections::server::listen;
use crate::connections::table::ClosedCounts;
use crate::consensus::Status;
use crate::events::EventLog;

/// Upper bounds of the histograms' buckets, in milliseconds.
const BUCKET_BOUNDS_MS: [f64; 12] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 600.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0,
];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RequestLabels {
    route: String,
    outcome: String,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ListenerLabels {
    listener: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClosedLabels {
    listener: &'static str,
    cause: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ClassLabels {
    class: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabels {
    route: String,
}

/// The metrics of a process. Clones share them.
#[derive(Clone)]
pub struct Meters {
    registry: Arc<Mutex<Registry>>,
    requests: Family<RequestLabels, Counter>,
    first_ms: Family<RouteLabels, Histogram>,
    waited_ms: Family<RouteLabels, Histogram>,
    deployment_version: Gauge<u64, AtomicU64>,
    log_term: Gauge<u64, AtomicU64>,
    log_applied_index: Gauge<u64, AtomicU64>,
    log_quorum_age_ms: Gauge<u64, AtomicU64>,
    log_leads: Gauge<u64, AtomicU64>,
    log_voters: Gauge<u64, AtomicU64>,
    log_learners: Gauge<u64, AtomicU64>,
    controller_links: Gauge<u64, AtomicU64>,
    confirmed_age_ms: Gauge<u64, AtomicU64>,
    ignored_confirmations: Counter,
    connections: Family<ListenerLabels, Gauge<u64, AtomicU64>>,
    connections_closed: Family<ClosedLabels, Gauge<u64, AtomicU64>>,
    reserved_bytes: Family<ClassLabels, Gauge<u64, AtomicU64>>,
    waiting_bodies: Family<ClassLabels, Gauge<u64, AtomicU64>>,
    evicted_bodies: Family<ClassLabels, Gauge<u64, AtomicU64>>,
}

fn histogram() -> Histogram {
    Histogram::new(BUCKET_BOUNDS_MS)
}

impl Default for Meters {
    fn default() -> Self {
        let meters = Self {
            registry: Arc::new(Mutex::new(Registry::with_prefix("medlarlift"))),
            requests: Family::default(),
            first_ms: Family::new_with_constructor(histogram),
            waited_ms: Family::new_with_constructor(histogram),
            deployment_version: Gauge::default(),
            log_term: Gauge::default(),
            log_applied_index: Gauge::default(),
            log_quorum_age_ms: Gauge::default(),
            log_leads: Gauge::default(),
            log_voters: Gauge::default(),
            log_learners: Gauge::default(),
            controller_links: Gauge::default(),
            confirmed_age_ms: Gauge::default(),
            ignored_confirmations: Counter::default(),
            connections: Family::default(),
            connections_closed: Family::default(),
            reserved_bytes: Family::default(),
            waiting_bodies: Family::default(),
            evicted_bodies: Family::default(),
        };
        meters.register();
        meters
    }
}

impl Meters {
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let help = "Requests by route and outcome";
        registry.register("requests", help, self.requests.clone());
        let help = "Time to the head of the answer in milliseconds";
        registry.register("first_ms", help, self.first_ms.clone());
        let help = "Wait for an adapter or a server in milliseconds";
        registry.register("waited_ms", help, self.waited_ms.clone());
        let help = "Version of the configuration in force";
        registry.register("deployment_version", help, self.deployment_version.clone());
        registry.register("log_term", "Term of the log", self.log_term.clone());
        let help = "Last log index applied";
        registry.register("log_applied_index", help, self.log_applied_index.clone());
        let help = "Age of the last confirmation by a quorum in milliseconds";
        registry.register("log_quorum_age_ms", help, self.log_quorum_age_ms.clone());
        let help = "1 if this VM leads the log";
        registry.register("log_leads", help, self.log_leads.clone());
        registry.register("log_voters", "Voters of the log", self.log_voters.clone());
        let help = "Learners of the log";
        registry.register("log_learners", help, self.log_learners.clone());
        let help = "Open links of an entry VM to controllers";
        registry.register("controller_links", help, self.controller_links.clone());
        let help = "Time since a controller confirmed the configuration in milliseconds";
        registry.register("confirmed_age_ms", help, self.confirmed_age_ms.clone());
        let help = "Answers of controllers to no question of the VM";
        let ignored = self.ignored_confirmations.clone();
        registry.register("ignored_confirmations", help, ignored);
        let help = "Open connections by listener";
        registry.register("connections", help, self.connections.clone());
        let help = "Connections that were closed, by listener and cause, since the start";
        let closed = self.connections_closed.clone();
        registry.register("connections_closed", help, closed);
        let help = "Bytes that bodies and answers have reserved";
        registry.register("reserved_bytes", help, self.reserved_bytes.clone());
        let help = "Bodies and answers that wait for memory";
        registry.register("waiting_bodies", help, self.waiting_bodies.clone());
        let help = "Bodies and answers that lost their memory to others, since the start";
        registry.register("evicted_bodies", help, self.evicted_bodies.clone());
    }

    /// Sets the connections of a listener.
    pub fn set_connections(&self, listener: &'static str, open: usize, closed: &ClosedCounts) {
        let labels = ListenerLabels { listener };
        self.connections.get_or_create(&labels).set(open as u64);
        for (cause, count) in [
            ("slow_head", closed.slow_head),
            ("idle", closed.idle),
            ("unread", closed.unread),
            ("small_buffer", closed.small_buffer),
            ("made_room", closed.made_room),
            ("no_room", closed.no_room),
        ] {
            let labels = ClosedLabels { listener, cause };
            self.connections_closed.get_or_create(&labels).set(count);
        }
    }

    /// Sets the use of a memory budget.
    pub fn set_budget(&self, class: &'static str, budget: &ByteBudget) {
        let labels = ClassLabels { class };
        let reserved = self.reserved_bytes.get_or_create(&labels);
        reserved.set(budget.used_bytes() as u64);
        let waiting = self.waiting_bodies.get_or_create(&labels);
        waiting.set(budget.waiting() as u64);
        self.evicted_bodies
            .get_or_create(&labels)
            .set(budget.evicted());
    }

    /// Counts a request and records its times.
    pub fn record_request(&self, route: &str, outcome: &str, first_ms: u64, waited_ms: u64) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.requests.get_or_create(&labels).inc();
        let labels = RouteLabels {
            route: route.to_owned(),
        };
        let first = self.first_ms.get_or_create(&labels);
        first.observe(first_ms as f64);
        let waited = self.waited_ms.get_or_create(&labels);
        waited.observe(waited_ms as f64);
    }

    /// Sets the version of the configuration in force.
    pub fn set_deployment_version(&self, version: u64) {
        self.deployment_version.set(version);
    }

    /// Sets how an entry VM stands with the controllers. Without a confirmation, the age is that of the process.
    pub fn set_controller_contact(&self, links: u32, confirmed_age_ms: u64) {
        self.controller_links.set(u64::from(links));
        self.confirmed_age_ms.set(confirmed_age_ms);
    }

    /// Counts an answer of a controller that was dropped, since it answers no question of this VM.
    pub fn count_ignored_confirmation(&self) {
        self.ignored_confirmations.inc();
    }

    /// Sets the state of the log.
    pub fn set_log_status(&self, status: &Status) {
        self.log_term.set(status.term);
        self.log_applied_index.set(status.applied_index);
        self.log_quorum_age_ms.set(status.quorum_contact_age_ms);
        self.log_leads.set(u64::from(status.is_leader));
        self.log_voters.set(status.voters.len() as u64);
        self.log_learners.set(status.learners.len() as u64);
    }

    /// The page in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}

/// HTTP server of the page. Stops when dropped.
pub struct MetricsPage {
    server: Server,
}

impl MetricsPage {
    /// Listens on `address` and serves the page on every path.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, meters: &Meters, events: &EventLog) -> io::Result<Self> {
        let shared = meters.clone();
        let connect = move |_: &TcpStream| {
            let meters = shared.clone();
            Some(move |_| {
                let page = Full::new(Bytes::from(meters.render()));
                async move { Response::new(page) }
            })
        };
        let reports = Reports::new("metrics", meters, events);
        let listener = listen(address, Some(RECEIVE_BYTES))?;
        Ok(Self {
            server: Server::spawn(reports, listener, small_listener, connect)?,
        })
    }

    /// Address of the listener, with the port that was bound.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }
}
