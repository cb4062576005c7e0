//! Replays of load at its worst against the placement decisions, in virtual time: a cold start with
//! more adapters asked for than the weight store can bring.

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

/// Engines, adapter_slots on each and adapters, as on the users' sheets.
const ENGINES: usize = 3;
const ADAPTER_SLOTS: usize = 30;
const ADAPTERS: usize = 3_000;
/// Patience of a request that waits for its adapter.
const MAX_WAIT_MS: u64 = 1_800;
/// Time of a run.
const RUN_MS: u64 = 1_500;
/// Places of an engine that has few, and requests in a second for which they are too few.
const FEW_SLOTS: usize = 5;
const FEW_SLOTS_REQUESTS_PER_S: f64 = 22.0;
/// Time between two steps of the replay.
const STEP_MS: u64 = 10;

/// What became of the requests.
#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    in_time: u32,
    late: u32,
    given_up: u32,
    /// Loads from the weight store.
    from_store: u32,
    by_adapter: BTreeMap<ModelName, u32>,
}

impl Outcome {
    /// Requests that could be served at best: those for the adapters asked for most, as many as the
    /// store brings in `seconds`, each loaded recent its first request and never dropped.
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
                self.outcome.asked += 1;
                let count = self.outcome.by_adapter.entry(model.clone());
                *count.or_default() += 1;
                self.waiting.push((model, now));
            }
            self.fleet.pass(STEP_MS);
            self.ask(now);
            self.carry_out(now);
            self.serve(now);
            now = now.plus(STEP_MS);
        }
        self.outcome.from_store = self.fleet.store_loads();
        self.outcome
    }

    fn ask(&mut self, now: MonoMs) {
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

    fn carry_out(&mut self, now: MonoMs) {
        for action in self.planner.plan(now) {
            match action {
                SlotAction::Order(order) => {
                    let outcome = self.fleet.order(&order);
                    assert_ne!(
                        outcome,
                        OrderOutcome::Refused,
                        "{order:?} is beyond the places"
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
                self.outcome.given_up += 1;
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

/// Five adapter_slots an engine and requests for more adapters at once than there are adapter_slots.
fn few_slots(seed: u64, mechanisms: Mechanisms) -> Outcome {
    Replay::with(seed, FEW_SLOTS, mechanisms).run(FEW_SLOTS_REQUESTS_PER_S, 40)
}

/// Places that come free when their only request has ended serve more requests than adapter_slots that wait
/// for another one.
#[test]
fn few_places_serve_more_when_adapters_used_once_make_way() {
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
    let (early, late) = (served(Mechanisms::default()), served(without));
    println!("in time and in all: {early:?}, without {late:?}");
    assert!(early.0 > late.0 && early.1 > late.1, "{early:?} {late:?}");
}

/// With few adapter_slots an adapter comes back often. On the engine that had it the load takes a tenth of the
/// time and nothing from the store.
#[test]
fn few_places_load_less_from_the_store_when_adapters_return() {
    let without = Mechanisms::default().without(Mechanism::LoadMemory);
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

/// The store brings 32 adapters a second; a third of the fleet has a third of the requests.
#[test]
fn a_cold_start_within_the_stores_rate_serves_nearly_all() {
    for seed in 0..4 {
        let outcome = Replay::new(seed).run(25.0, 30);
        let served = f64::from(outcome.in_time + outcome.late) / f64::from(outcome.asked);
        assert!(served > 0.9, "seed {seed}: {outcome:?}");
    }
}

/// Under twice that load three quarters of what the store allows are served, and most of those in
/// time: wishes that can be met in time come recent those that cannot, those of many requests recent
/// those of one, and loads do not crowd each other out.
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
