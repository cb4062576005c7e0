//! Simulation of one policy on a trace.

mod dispatch;
mod report;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

use medlarlift::scheduling::fair_queue::FairQueue;
use medlarlift::scheduling::fair_queue::FairQueueConfig;
use medlarlift::scheduling::fair_queue::QueueItem;
use medlarlift::scheduling::placement::EngineOrder;
use medlarlift::scheduling::placement::OrderResult;
use medlarlift::scheduling::placement::Planner;
use medlarlift::scheduling::placement::PlannerConfig;
use medlarlift::scheduling::placement::StoreShare;
use medlarlift::scheduling::popularity::Popularity;
use medlarlift::scheduling::popularity::PopularityConfig;
use medlarlift::scheduling::residency::DispatchPermit;
use medlarlift::scheduling::residency::EngineSnapshot;
use medlarlift::scheduling::residency::ResidencyView;
use medlarlift::scheduling::residency::WaitingAdapter;
use medlarlift::scheduling::routing::Fleet;
use medlarlift::scheduling::routing::LoadReport;
use medlarlift::scheduling::routing::Policy;
use medlarlift::scheduling::routing::PrefixIndex;
use medlarlift::scheduling::routing::RouteConfig;
use medlarlift::scheduling::routing::ServerInfo;
use medlarlift::scheduling::routing::ServerKind;
use medlarlift::types::AccountName;
use medlarlift::types::AdapterRef;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::Patience;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

use crate::engines::Engine;
use crate::engines::POSITIONS;
use crate::trace::ACCOUNTS;
use crate::trace::Arrival;
use crate::trace::TraceConfig;
pub use report::Report;

pub const ENGINES: usize = 9;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 500;
const REPORT_LAG_MS: u64 = 250;
const PULL_MS: u64 = 250;
const URGENT_PULL_MS: u64 = 50;
const LOAD_MS: u64 = 250;
const EVICT_MS: u64 = 5;
const STORE_IN_FLIGHT: u32 = 8;
/// One of this many loads fails.
const FAILED_LOADS: u64 = 100;
const RESTART_MS: u64 = 5_000;
const SUMMARY_MS: u64 = 2_000;

#[derive(Clone, Copy, Default)]
struct Progress {
    stalled: bool,
    dispatched: bool,
    done_ms: Option<u64>,
    wait_ms: u64,
}

/// State of a simulation.
pub struct Run<'a> {
    config: &'a TraceConfig,
    arrivals: &'a [Arrival],
    policy: Policy,
    route_config: RouteConfig,
    adapters: Vec<AdapterRef>,
    engines: Vec<Engine>,
    fleet: Fleet,
    view: ResidencyView,
    prefixes: PrefixIndex,
    queue: FairQueue<usize>,
    planner: Planner,
    popularity: Popularity,
    data_centre: DataCentre,
    uses: HashMap<usize, (DispatchPermit, usize)>,
    results: BTreeMap<(u64, usize), OrderResult>,
    reports: Vec<(u64, usize, LoadReport)>,
    progress: Vec<Progress>,
    assigned: HashMap<AdapterRef, ServerName>,
    /// Urgent requests in the queue.
    queued_urgent: BTreeSet<usize>,
    pulled_ms: u64,
    summary_ms: u64,
    loads: usize,
    in_flight: u64,
    orders: usize,
    absent: usize,
    fill: (usize, usize),
    fill_resident: (usize, usize),
}

impl<'a> Run<'a> {
    pub fn new(config: &'a TraceConfig, arrivals: &'a [Arrival], policy: Policy) -> Self {
        let data_centre = DataCentre::from("a");
        let vm = VmName::from("vm");
        let share = StoreShare {
            loads_per_s: config.loads_per_s,
            burst_loads: config.loads_per_s,
            in_flight: STORE_IN_FLIGHT,
        };
        let now = MonoMs(0);
        let planner = PlannerConfig::default();
        let roster = [vm.clone()];
        let planner = Planner::new(planner, policy, data_centre.clone(), 1, &roster, share, now);
        let adapters = (0..config.adapters).map(|a| AdapterRef::new("base", format!("a{a}"), 1));
        Self {
            config,
            arrivals,
            policy,
            route_config: RouteConfig::default(),
            adapters: adapters.collect(),
            engines: (0..ENGINES).map(Engine::new).collect(),
            fleet: Fleet::new(config.seed),
            view: ResidencyView::new(vm, data_centre.clone(), 1, now),
            prefixes: PrefixIndex::new(),
            queue: FairQueue::new(FairQueueConfig {
                max_items: 100_000,
                ..FairQueueConfig::default()
            }),
            planner,
            popularity: Popularity::new(PopularityConfig::default()),
            data_centre,
            uses: HashMap::new(),
            results: BTreeMap::new(),
            reports: Vec::new(),
            progress: vec![Progress::default(); arrivals.len()],
            assigned: HashMap::new(),
            queued_urgent: BTreeSet::new(),
            pulled_ms: 0,
            summary_ms: 0,
            loads: 0,
            in_flight: 0,
            orders: 0,
            absent: 0,
            fill: (0, 0),
            fill_resident: (0, 0),
        }
    }

    pub fn finish(mut self) -> Report {
        let mut next = 0;
        let mut now_ms = 0;
        let last_ms = self.config.end_ms + self.config.batch_due_ms;
        let is_busy = |run: &Self| !run.queue.is_empty() || !run.uses.is_empty();
        while now_ms < self.config.end_ms || (now_ms < last_ms && is_busy(&self)) {
            while next < self.arrivals.len() && self.arrivals[next].at_ms <= now_ms {
                self.arrive(next, now_ms);
                next += 1;
            }
            self.step(now_ms);
            now_ms += STEP_MS;
        }
        self.report()
    }

    fn arrive(&mut self, request: usize, now_ms: u64) {
        let arrival = self.arrivals[request];
        if arrival.class == Patience::Urgent {
            let adapter = &self.adapters[arrival.adapter as usize];
            self.popularity
                .record(adapter, arrival.tokens, MonoMs(now_ms));
        }
        self.push(request, now_ms);
    }

    fn push(&mut self, request: usize, now_ms: u64) {
        let arrival = self.arrivals[request];
        let item = QueueItem {
            account: AccountName::from(format!("account-{}", arrival.account)),
            weight: ACCOUNTS[arrival.account],
            class: arrival.class,
            tokens: arrival.tokens,
            deadline: MonoMs(arrival.deadline_ms),
            adapter: self.adapters[arrival.adapter as usize].clone(),
            payload: request,
        };
        let accepted = self.queue.push(item, MonoMs(now_ms)).is_ok();
        if accepted && arrival.class == Patience::Urgent {
            self.queued_urgent.insert(request);
        }
    }

    fn step(&mut self, now_ms: u64) {
        self.run_engines(now_ms);
        self.run_store(now_ms);
        if now_ms == self.config.restart_ms {
            self.restart_engine(3, now_ms);
        }
        self.deliver_reports(now_ms);
        for expired in self.queue.expired(MonoMs(now_ms)) {
            self.queued_urgent.remove(&expired.payload);
        }
        self.dispatch(now_ms);
        let urgent_waits = self
            .queued_urgent
            .iter()
            .any(|request| self.progress[*request].stalled);
        let interval_ms = if urgent_waits {
            URGENT_PULL_MS
        } else {
            PULL_MS
        };
        if now_ms >= self.pulled_ms + interval_ms || now_ms == 0 {
            self.pull(now_ms);
        }
        if now_ms.is_multiple_of(URGENT_PULL_MS) {
            for order in self.planner.plan(MonoMs(now_ms), &self.view) {
                self.carry_out(order, now_ms);
            }
        }
        if now_ms.is_multiple_of(1_000) {
            self.sample_fill(now_ms);
        }
    }

    fn run_engines(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            for request in engine.finish(now_ms) {
                self.progress[request].done_ms = Some(now_ms);
                if let Some((permit, _)) = self.uses.remove(&request) {
                    let (server, incarnation) = (permit.server.clone(), permit.incarnation);
                    self.fleet
                        .record_completion(&server, incarnation, false, MonoMs(now_ms));
                    self.view.finish(permit);
                }
            }
        }
    }

    fn run_store(&mut self, now_ms: u64) {
        while let Some(first) = self.results.first_entry() {
            if first.key().0 > now_ms {
                break;
            }
            let result = first.remove();
            if let EngineOrder::Load { server, adapter } = &result.order {
                self.in_flight -= 1;
                let engine = self
                    .engines
                    .iter_mut()
                    .find(|engine| engine.name == *server);
                let engine = engine.expect("known engine");
                if result.done && Some(engine.incarnation) == result.incarnation {
                    engine.resident.insert(adapter.clone());
                }
            }
            self.planner.on_result(&result, MonoMs(now_ms));
        }
    }

    fn carry_out(&mut self, order: EngineOrder, now_ms: u64) {
        self.orders += 1;
        let (EngineOrder::Load { server, adapter } | EngineOrder::Evict { server, adapter }) =
            &order;
        let engine = self
            .engines
            .iter_mut()
            .find(|engine| engine.name == *server);
        let engine = engine.expect("known engine");
        let up = now_ms >= engine.down_until_ms;
        let mut done = up;
        let mut after_ms = EVICT_MS;
        if matches!(order, EngineOrder::Load { .. }) {
            self.loads += 1;
            self.in_flight += 1;
            let queued = self.in_flight.saturating_sub(u64::from(STORE_IN_FLIGHT));
            after_ms = LOAD_MS + queued * LOAD_MS / u64::from(STORE_IN_FLIGHT);
            done = up && !(self.loads as u64).is_multiple_of(FAILED_LOADS);
        } else {
            engine.resident.remove(adapter);
        }
        let result = OrderResult {
            incarnation: up.then_some(engine.incarnation),
            done,
            order,
        };
        self.results
            .insert((now_ms + after_ms, self.orders), result);
    }

    fn restart_engine(&mut self, index: usize, now_ms: u64) {
        for request in self.engines[index].restart(now_ms + RESTART_MS) {
            if let Some((permit, _)) = self.uses.remove(&request) {
                self.view.finish(permit);
            }
            self.push(request, now_ms);
        }
    }

    fn deliver_reports(&mut self, now_ms: u64) {
        for index in 0..self.engines.len() {
            let engine = &self.engines[index];
            let turn = (now_ms + index as u64 * 55).is_multiple_of(REPORT_MS);
            if now_ms != 0 && (!turn || now_ms < engine.down_until_ms) {
                continue;
            }
            let report = LoadReport {
                sampled: MonoMs(now_ms),
                running: engine.running() as u32,
                waiting_urgent: engine.waiting(Patience::Urgent) as u32,
                waiting_patient: engine.waiting(Patience::Patient) as u32,
                service_ms: 1_200,
                suspects: 0,
            };
            self.reports.push((now_ms + REPORT_LAG_MS, index, report));
            let mut resident: Vec<_> = engine.resident.iter().cloned().collect();
            resident.sort();
            let seen = EngineSnapshot {
                server: engine.name.clone(),
                incarnation: engine.incarnation,
                slots: self.config.engine_slots,
                positions: POSITIONS as u32,
                resident,
            };
            self.planner.on_announcement(&seen, MonoMs(now_ms));
        }
        let due = self
            .reports
            .extract_if(.., |(at, _, _)| *at <= now_ms || now_ms == 0);
        for (_, index, report) in due {
            let engine = &self.engines[index];
            let info = ServerInfo {
                name: engine.name.clone(),
                data_centre: self.data_centre.clone(),
                kind: ServerKind::Engine {
                    base: "base".into(),
                },
                incarnation: engine.incarnation,
                batch_slots: POSITIONS as u32,
                leaving: false,
            };
            self.fleet.observe(info, report, MonoMs(now_ms));
        }
    }

    fn pull(&mut self, now_ms: u64) {
        let now = MonoMs(now_ms);
        self.pulled_ms = now_ms;
        let mut waiting = self.queue.waiting(now);
        for entry in &mut waiting {
            entry.preferred = self.assigned.get(&entry.adapter).cloned();
        }
        let waits =
            |entry: &WaitingAdapter| self.policy == Policy::Estimate || entry.preferred.is_some();
        waiting.retain(waits);
        waiting.truncate(256);
        let summary = (now_ms >= self.summary_ms).then(|| {
            self.summary_ms = now_ms + SUMMARY_MS;
            self.popularity.summary(now)
        });
        let pull = self.view.pull(&self.data_centre, waiting, summary, now);
        let table = self.planner.on_pull(&pull, now).expect("current format");
        assert!(
            self.view.apply(table, now),
            "a reply to the newest pull is usable"
        );
    }

    fn sample_fill(&mut self, now_ms: u64) {
        let waiting = self.queue.waiting(MonoMs(now_ms));
        let positions = ENGINES * POSITIONS;
        let count = |entry: &WaitingAdapter| (entry.urgent + entry.patient) as usize;
        let all: usize = waiting.iter().map(count).sum();
        let resident = waiting
            .iter()
            .filter(|entry| !self.view.residents(&entry.adapter).is_empty());
        let resident: usize = resident.map(count).sum();
        let running: usize = self.engines.iter().map(Engine::running).sum();
        if all >= positions {
            self.fill.0 += running;
            self.fill.1 += positions;
        }
        if resident >= positions {
            self.fill_resident.0 += running;
            self.fill_resident.1 += positions;
        }
        let queued: BTreeSet<_> = waiting.into_iter().map(|entry| entry.adapter).collect();
        self.assigned.retain(|adapter, _| queued.contains(adapter));
    }

    fn report(&self) -> Report {
        let mut entitled = [0_u64; ACCOUNTS.len()];
        let mut served = [0_u64; ACCOUNTS.len()];
        let mut late = [0; 2];
        let mut waits = Vec::new();
        let mut urgent = 0;
        for (arrival, progress) in self.arrivals.iter().zip(&self.progress) {
            let in_time = progress
                .done_ms
                .is_some_and(|done| done <= arrival.deadline_ms);
            entitled[arrival.account] += if arrival.entitled { arrival.tokens } else { 0 };
            served[arrival.account] += if in_time { arrival.tokens } else { 0 };
            let patient = arrival.class == Patience::Patient;
            late[usize::from(patient)] += usize::from(!in_time);
            urgent += usize::from(!patient);
            if progress.stalled {
                waits.push(if progress.dispatched {
                    progress.wait_ms
                } else {
                    10_000
                });
            }
        }
        waits.sort_unstable();
        let part = |(filled, positions): (usize, usize)| filled as f64 / positions as f64;
        let accounts = entitled.iter().zip(served);
        Report {
            urgent,
            stalled: waits.len(),
            stall_p99_ms: waits.get(waits.len() * 99 / 100).copied().unwrap_or(0),
            late_urgent: late[0],
            late_patient: late[1],
            loads: self.loads,
            fill: part(self.fill),
            fill_resident: part(self.fill_resident),
            accounts: accounts
                .map(|(e, s)| (s as f64 / *e as f64).min(1.0))
                .collect(),
            absent: self.absent,
            reasons: self.planner.loads_started().collect(),
        }
    }
}
