//! Replays a load in which a few adapters receive a large part of the requests, against placement
//! and routing together, in virtual time. Many VMs each send a small part of the requests, with the
//! view that the planning VM gives them.

#[path = "engines/announcement.rs"]
mod announcement;
#[path = "engines/info.rs"]
mod info;
#[path = "overload/popularity.rs"]
mod popularity;

use std::collections::HashMap;
use std::collections::VecDeque;

use announcement::announcement;
use info::info;
use medlarlift::gateway::server_table::Choice;
use medlarlift::gateway::server_table::Distance;
use medlarlift::gateway::server_table::Requirements;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::LoadDemand;
use medlarlift::scheduling::slots::OrderOutcome;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::scheduling::slots::Use;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::ServiceName;
use medlarlift::types::VmName;
use popularity::Popularity;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENGINES: usize = 15;
const RUN_SLOTS: u32 = 16;
const ADAPTER_SLOTS: usize = 13;
const ENTRY_VMS: usize = 12;
const ADAPTERS: usize = 150;
const RUN_MS: u64 = 1_600;
const REQUESTS_PER_S: f64 = 60.0;
const STEP_MS: u64 = 10;
/// Steps between two usage reports, and between two lists of engine loads.
const REPORT_STEPS: u64 = 15;
const BUSY_STEPS: u64 = 30;
/// Initial time that is not counted, in which the adapters are loaded for the first time.
const WARM_UP_MS: u64 = 6_000;

#[derive(Default)]
struct Engine {
    running: Vec<(MonoMs, usize, ModelName)>,
    queue: VecDeque<(MonoMs, usize, ModelName)>,
    sequence: u64,
}

struct Replay {
    planner: Planner,
    tables: Vec<ServerTable>,
    engines: HashMap<ServerName, Engine>,
    uses: Vec<HashMap<(ServerName, ModelName), (u32, u32)>>,
    waiting: Vec<(MonoMs, usize, ModelName)>,
    rng: StdRng,
    popularity: Popularity,
    /// Time from a request's arrival to the start of its run.
    delays_ms: Vec<u64>,
}

impl Replay {
    fn new(seed: u64) -> Self {
        let near = DataCentre::from("near");
        let mut planner = Planner::new(SlotsConfig::default());
        let distances = HashMap::from([(near.clone(), Distance::Near)]);
        let mut tables: Vec<ServerTable> = (0..ENTRY_VMS)
            .map(|_| ServerTable::new(distances.clone()))
            .collect();
        let mut engines = HashMap::new();
        for number in 0..ENGINES {
            let server = ServerName::from(format!("e{number}"));
            planner.set_engine(&server, info(1, ADAPTER_SLOTS, RUN_SLOTS));
            planner.on_report(&server, &report(0), MonoMs(0), MonoMs(0));
            for table in &mut tables {
                table.set_server(announcement(server.as_str(), near.as_str(), RUN_SLOTS));
            }
            engines.insert(server, Engine::default());
        }
        Self {
            planner,
            tables,
            engines,
            uses: vec![HashMap::new(); ENTRY_VMS],
            waiting: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            popularity: Popularity::new(ADAPTERS),
            delays_ms: Vec::new(),
        }
    }

    fn run(mut self, seconds: u64) -> Vec<u64> {
        let begin = MonoMs(100_000);
        for step in 0..seconds * 1_000 / STEP_MS {
            let now = begin.plus(step * STEP_MS);
            let expected = REQUESTS_PER_S * STEP_MS as f64 / 1_000.0;
            if self.rng.random_bool(expected.min(1.0)) {
                let model = self.popularity.draw(&mut self.rng);
                let vm = self.rng.random_range(0..ENTRY_VMS);
                self.waiting.push((now, vm, model));
            }
            for (asked, vm, model) in std::mem::take(&mut self.waiting) {
                self.send(asked, vm, model, now);
            }
            self.serve(now, now.since(begin) > WARM_UP_MS);
            if step.is_multiple_of(REPORT_STEPS) {
                self.report_uses(now);
            }
            self.plan(now);
            if step.is_multiple_of(BUSY_STEPS) {
                let near = DataCentre::from("near");
                let busy = self.planner.work();
                for table in &mut self.tables {
                    table.set_loads(&near, &busy, now);
                }
            }
        }
        self.delays_ms
    }

    fn send(&mut self, asked: MonoMs, vm: usize, model: ModelName, now: MonoMs) {
        let requirements = Requirements {
            service: &ServiceName::from("models"),
            model: Some(&model),
            version: None,
            software: None,
            tried: &[],
            tie_breaker: self.rng.random(),
            tries_unreached: false,
        };
        if let Choice::Send {
            server, is_full, ..
        } = self.tables[vm].choose(&requirements, now)
        {
            if is_full {
                self.request_load(vm, &model, true, now);
            }
            self.tables[vm].record_dispatch(&server, 0);
            let used = self.uses[vm].entry((server.clone(), model.clone()));
            let (in_flight, sent) = used.or_default();
            *in_flight += 1;
            *sent += 1;
            let engine = self.engines.get_mut(&server).unwrap();
            engine.queue.push_back((asked, vm, model));
            return;
        }
        self.request_load(vm, &model, false, now);
        self.waiting.push((asked, vm, model));
    }

    fn request_load(&mut self, vm: usize, model: &ModelName, copy: bool, now: MonoMs) {
        let demand = LoadDemand {
            waiting: 1,
            priority: 0,
            copy,
        };
        self.planner.request_load(model, &vm_name(vm), demand, now);
    }

    fn serve(&mut self, now: MonoMs, is_counted: bool) {
        for (server, engine) in &mut self.engines {
            let (ended, running) = std::mem::take(&mut engine.running)
                .into_iter()
                .partition(|(end, ..)| *end <= now);
            engine.running = running;
            let ended: Vec<(MonoMs, usize, ModelName)> = ended;
            for (_, vm, model) in ended {
                self.tables[vm].record_completion(server, 1);
                let used = self.uses[vm].get_mut(&(server.clone(), model));
                used.unwrap().0 -= 1;
            }
            while engine.running.len() < RUN_SLOTS as usize {
                let Some((asked, vm, model)) = engine.queue.pop_front() else {
                    break;
                };
                if is_counted {
                    self.delays_ms.push(now.since(asked));
                }
                engine.running.push((now.plus(RUN_MS), vm, model));
            }
        }
    }

    fn report_uses(&mut self, now: MonoMs) {
        for (vm, uses) in self.uses.iter_mut().enumerate() {
            for ((server, model), (in_flight, sent)) in uses {
                let used = Use {
                    in_flight: *in_flight,
                    sent: std::mem::take(sent),
                    early_age_ms: None,
                    is_answered: *in_flight > 0,
                    ..Use::default()
                };
                self.planner
                    .note_use(server, model, &vm_name(vm), used, now);
            }
        }
    }

    fn plan(&mut self, now: MonoMs) {
        for action in self.planner.plan(now) {
            match action {
                SlotAction::Order(order) => {
                    let engine = self.engines.get_mut(&order.server).unwrap();
                    engine.sequence += 1;
                    let outcome = match order.load {
                        true => OrderOutcome::Accepted,
                        false => OrderOutcome::Holds,
                    };
                    self.planner.on_order(&order, outcome, now);
                }
                SlotAction::Report(_) => {}
            }
        }
        for (server, model, version, ready) in self.planner.take_updates() {
            for table in &mut self.tables {
                table.set_residency(&server, &model, version, ready);
            }
        }
    }
}

fn report(sequence: u64) -> EngineReport {
    EngineReport {
        sequence,
        bases: vec![ModelName::from("base")],
        ..EngineReport::default()
    }
}

fn vm_name(number: usize) -> VmName {
    VmName::from(format!("entry-{number}"))
}

/// Guards against requests that queue at a full engine while others are idle. Two fifths of the run
/// slots are in use, so requests should wait only for the first load of a rare adapter.
#[test]
fn requests_for_popular_adapters_find_free_run_slots() {
    for seed in 0..3 {
        let delays_ms = Replay::new(seed).run(30);
        let prompt = delays_ms.iter().filter(|ms| **ms <= 300).count();
        let share = prompt as f64 / delays_ms.len() as f64;
        println!("seed {seed}: {share:.3} of {} prompt", delays_ms.len());
        assert!(share > 0.95, "seed {seed}: {share}");
    }
}
