//! Replays overload against the slot planner in virtual time: a cold start with requests for more
//! adapters than the weight store can deliver.

#[path = "engines/info.rs"]
mod info;
#[path = "overload/popularity.rs"]
mod popularity;
#[path = "overload/store.rs"]
mod store;

use std::collections::BTreeMap;

use info::info;
use medlarlift::mechanisms::Mechanism;
use medlarlift::mechanisms::Mechanisms;
use medlarlift::scheduling::slots::LoadDemand;
use medlarlift::scheduling::slots::OrderOutcome;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::scheduling::slots::Use;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;
use popularity::Popularity;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use store::Fleet;

/// Number of engines, adapter slots per engine and number of adapters, as in the users' data
/// sheets.
const ENGINES: usize = 3;
const ADAPTER_SLOTS: usize = 30;
const ADAPTERS: usize = 3_000;
/// Longest time that a request waits for its adapter.
const MAX_WAIT_MS: u64 = 1_800;
/// Duration of a request.
const RUN_MS: u64 = 1_500;
/// A small number of adapter slots per engine, and a request rate for which it is too small.
const FEW_SLOTS: usize = 5;
const FEW_SLOTS_REQUESTS_PER_S: f64 = 22.0;
/// Time between two steps of the replay.
const STEP_MS: u64 = 10;

/// Outcome of the requests.
#[derive(Debug, Default)]
struct Outcome {
    requested: u32,
    in_time: u32,
    late: u32,
    abandoned: u32,
    /// Number of loads from the weight store.
    from_store: u32,
    by_adapter: BTreeMap<ModelName, u32>,
}

impl Outcome {
    /// Upper bound of the number of requests served: those for the most requested adapters, as many
    /// adapters as the store delivers in `seconds`, each loaded before its first request and never
    /// evicted.
    fn allowed(&self, seconds: f64) -> f64 {
        let mut counts: Vec<u32> = self.by_adapter.values().copied().collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let loads = (store::LOADS_PER_S * seconds) as usize;
        counts
            .iter()
            .take(loads)
            .map(|count| f64::from(*count))
            .sum()
    }
}

struct Replay {
    max_wait_ms: u64,
    planner: Planner,
    fleet: Fleet,
    rng: StdRng,
    popularity: Popularity,
    waiting: Vec<(ModelName, MonoMs)>,
    running: Vec<(ServerName, ModelName, MonoMs)>,
    outcome: Outcome,
}

impl Replay {
    fn new(seed: u64) -> Self {
        Self::with(seed, ADAPTER_SLOTS, Mechanisms::default())
    }

    fn with(seed: u64, adapter_slots: usize, mechanisms: Mechanisms) -> Self {
        let mut planner = Planner::new(SlotsConfig {
            mechanisms,
            ..SlotsConfig::default()
        });
        let servers: Vec<ServerName> = (0..ENGINES)
            .map(|n| ServerName::from(format!("e{n}")))
            .collect();
        for server in &servers {
            let info = info(1, adapter_slots, 16);
            planner.set_engine(server, info);
        }
        Self {
            max_wait_ms: MAX_WAIT_MS,
            planner,
            fleet: Fleet::new(&servers, adapter_slots),
            rng: StdRng::seed_from_u64(seed),
            popularity: Popularity::new(ADAPTERS),
            waiting: Vec::new(),
            running: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, requests_per_s: f64, seconds: u64) -> Outcome {
        let mut now = MonoMs(100_000);
        let end = now.plus(seconds * 1_000);
        while now < end {
            let expected = requests_per_s * STEP_MS as f64 / 1_000.0;
            if self.rng.random_bool(expected.min(1.0)) {
                let model = self.popularity.draw(&mut self.rng);
                self.outcome.requested += 1;
                let count = self.outcome.by_adapter.entry(model.clone());
                *count.or_default() += 1;
                self.waiting.push((model, now));
            }
            self.fleet.advance(STEP_MS);
            self.request_loads(now);
            self.execute_plan(now);
            self.serve(now);
            now = now.plus(STEP_MS);
        }
        self.outcome.from_store = self.fleet.store_loads();
        self.outcome
    }

    fn request_loads(&mut self, now: MonoMs) {
        let mut counts: BTreeMap<ModelName, u32> = BTreeMap::new();
        for (model, _) in &self.waiting {
            *counts.entry(model.clone()).or_default() += 1;
        }
        for (model, waiting) in counts {
            let demand = LoadDemand {
                waiting,
                priority: 0,
                copy: false,
            };
            let vm = VmName::from("entry");
            self.planner.request_load(&model, &vm, demand, now);
        }
    }

    fn execute_plan(&mut self, now: MonoMs) {
        for action in self.planner.plan(now) {
            match action {
                SlotAction::Order(order) => {
                    let outcome = self.fleet.order(&order);
                    assert_ne!(
                        outcome,
                        OrderOutcome::Refused,
                        "{order:?} exceeds the adapter slots"
                    );
                    self.planner.on_order(&order, outcome, now);
                }
                SlotAction::Report(server) => {
                    let report = self.fleet.report(&server);
                    self.planner.on_report(&server, &report, now, now);
                }
            }
        }
        self.planner.take_updates();
    }

    fn serve(&mut self, now: MonoMs) {
        let vm = VmName::from("entry");
        let (done, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(_, _, end)| *end <= now);
        self.running = running;
        let done: Vec<(ServerName, ModelName, MonoMs)> = done;
        for (server, model, _) in done {
            self.fleet.end(&server, &model);
            let used = self.use_of(&server, &model, 0);
            self.planner.note_use(&server, &model, &vm, used, now);
        }
        for (model, since) in std::mem::take(&mut self.waiting) {
            let waited_ms = now.since(since);
            if let Some(server) = self.fleet.begin(&model) {
                match waited_ms {
                    0..=500 => self.outcome.in_time += 1,
                    _ => self.outcome.late += 1,
                }
                self.running
                    .push((server.clone(), model.clone(), now.plus(RUN_MS)));
                let used = self.use_of(&server, &model, 1);
                self.planner.note_use(&server, &model, &vm, used, now);
            } else if waited_ms > self.max_wait_ms {
                self.outcome.abandoned += 1;
            } else {
                self.waiting.push((model, since));
            }
        }
    }

    fn use_of(&self, server: &ServerName, model: &ModelName, sent: u32) -> Use {
        Use {
            in_flight: self.fleet.in_use(server, model),
            sent,
            early_age_ms: None,
            is_answered: sent > 0,
            ..Use::default()
        }
    }
}

/// Replays five adapter slots per engine and concurrent requests for more adapters than there are
/// slots.
fn few_slots(seed: u64, mechanisms: Mechanisms) -> Outcome {
    Replay::with(seed, FEW_SLOTS, mechanisms).run(FEW_SLOTS_REQUESTS_PER_S, 40)
}

/// Guards against adapters that occupy a slot after their only request: freeing it early serves
/// more requests than keeping it for another one.
#[test]
fn few_slots_serve_more_when_adapters_used_once_are_evicted_early() {
    let without = Mechanisms::default().without(Mechanism::EarlyRelease);
    let served = |mechanisms: Mechanisms| -> (u32, u32) {
        let outcomes = (0..4).map(|seed| few_slots(seed, mechanisms));
        outcomes.fold((0, 0), |(in_time, served), outcome| {
            (
                in_time + outcome.in_time,
                served + outcome.in_time + outcome.late,
            )
        })
    };
    let (with_release, without_release) = (served(Mechanisms::default()), served(without));
    println!("in time and in all: {with_release:?}, without {without_release:?}");
    assert!(
        with_release.0 > without_release.0 && with_release.1 > without_release.1,
        "{with_release:?} {without_release:?}"
    );
}

/// Guards against loads from the store where a reload would do. With few slots an adapter is often
/// requested again; on an engine that held it the load takes a tenth of the time and does not use
/// the store.
#[test]
fn few_slots_load_less_from_the_store_when_adapters_return() {
    let without = Mechanisms::default().without(Mechanism::LoadHistory);
    let mut returning = (0, 0);
    let mut anywhere = (0, 0);
    for seed in 0..4 {
        let outcome = few_slots(seed, Mechanisms::default());
        returning = (
            returning.0 + outcome.from_store,
            returning.1 + outcome.in_time,
        );
        let outcome = few_slots(seed, without);
        anywhere = (
            anywhere.0 + outcome.from_store,
            anywhere.1 + outcome.in_time,
        );
    }
    println!("loads from the store and requests in time: {returning:?}, without {anywhere:?}");
    assert!(returning.0 < anywhere.0, "{returning:?} {anywhere:?}");
}

/// The store delivers 32 adapters per second; a third of the fleet receives a third of the
/// requests.
#[test]
fn a_cold_start_within_the_stores_rate_serves_nearly_all() {
    for seed in 0..4 {
        let outcome = Replay::new(seed).run(25.0, 30);
        let served = f64::from(outcome.in_time + outcome.late) / f64::from(outcome.requested);
        assert!(served > 0.9, "seed {seed}: {outcome:?}");
    }
}

/// At about twice that load, three quarters of the requests that the store allows are served, and
/// most of those in time: load requests that can be served in time precede those that cannot, those
/// of many requests precede those of one, and concurrent loads do not slow each other down.
#[test]
fn load_beyond_the_stores_rate_serves_most_of_what_it_allows() {
    let mut served = 0.0;
    let mut allowed = 0.0;
    for seed in 0..4 {
        let outcome = Replay::new(seed).run(60.0, 30);
        served += f64::from(outcome.in_time + outcome.late);
        allowed += outcome.allowed(30.0);
        assert!(
            outcome.in_time > 2 * outcome.late,
            "seed {seed}: {outcome:?}"
        );
    }
    println!("{served} served of {allowed} that the store allows");
    assert!(served > 0.75 * allowed, "{served} of {allowed}");
}
