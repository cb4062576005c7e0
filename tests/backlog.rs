//! Tests with long prompts: comparison of engines by prompt backlog, copies for engines with a
//! backlog, and refusal of requests whose adapter gets no slot in time.

#[path = "engines/announcement.rs"]
mod announcement;
#[path = "engines/info.rs"]
mod info;

use std::collections::HashMap;

use announcement::announcement;
use info::info;
use medlarlift::gateway::forecast;
use medlarlift::gateway::forecast::LoadEstimate;
use medlarlift::gateway::server_table::Choice;
use medlarlift::gateway::server_table::Distance;
use medlarlift::gateway::server_table::Requirements;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::mechanisms::Mechanism;
use medlarlift::mechanisms::Mechanisms;
use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::EngineWork;
use medlarlift::scheduling::slots::LoadDemand;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotOrder;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::scheduling::slots::Use;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::ServiceName;
use medlarlift::types::VmName;

const NOW: MonoMs = MonoMs(100_000);
const PROMPT_TOKENS: u64 = 2_400;
/// Prefill time per token at 20 tokens per millisecond, in microseconds.
const TOKEN_US: u32 = 50;

fn adapter() -> ModelName {
    ModelName::from("base/a1")
}

fn server_table(mechanisms: Mechanisms) -> ServerTable {
    let near = DataCentre::from("near");
    let mut table = ServerTable::new(HashMap::from([(near, Distance::Near)])).with(mechanisms);
    for engine in ["e1", "e2"] {
        table.set_server(announcement(engine, "near", 64));
        let ready = Some(MonoMs(0));
        table.set_residency(&ServerName::from(engine), &adapter(), 1, ready);
    }
    table
}

fn chosen(table: &ServerTable, tie_breaker: u64) -> ServerName {
    let requirements = Requirements {
        service: &ServiceName::from("models"),
        model: Some(&adapter()),
        version: None,
        software: None,
        tried: &[],
        tie_breaker,
        tries_unreached: false,
    };
    match table.choose(&requirements, NOW) {
        Choice::Send { server, .. } => server,
        other => panic!("{other:?}"),
    }
}

/// Number of 100 requests that are sent to an engine with five long prompts waiting.
fn sent_behind_prompts(mechanisms: Mechanisms) -> usize {
    let mut table = server_table(mechanisms);
    let e1 = ServerName::from("e1");
    let work = EngineWork {
        server: e1.clone(),
        occupied: 5,
        prompt_tokens: 5 * PROMPT_TOKENS,
    };
    table.set_loads(&DataCentre::from("near"), &[work], NOW);
    (0..100)
        .filter(|tie_breaker| chosen(&table, *tie_breaker) == e1)
        .count()
}

/// Guards against engines compared by occupancy only: five prompts of 2,400 tokens delay a request
/// by half a second although 59 of 64 run slots are free.
#[test]
fn requests_avoid_engines_with_a_prompt_backlog() {
    assert_eq!(sent_behind_prompts(Mechanisms::default()), 0);
    let without = Mechanisms::default().without(Mechanism::PromptBacklog);
    assert!(sent_behind_prompts(without) > 10);
}

#[test]
fn own_prompts_count_until_they_are_processed() {
    let mut table = server_table(Mechanisms::default());
    let e1 = ServerName::from("e1");
    table.record_dispatch(&e1, PROMPT_TOKENS);
    assert!((0..50).all(|tie_breaker| chosen(&table, tie_breaker).as_str() == "e2"));
    table.record_prompt_done(&e1, 1, PROMPT_TOKENS);
    assert!((0..50).any(|tie_breaker| chosen(&table, tie_breaker) == e1));
    assert_eq!(table.waiting_tokens(&e1, NOW) as u64, 0);
}

/// A planner whose engine `e1` holds the adapter and has `waiting` prompts to process; `e2` is
/// idle.
fn planner(waiting: u64) -> Planner {
    let mut planner = Planner::new(SlotsConfig::default());
    for engine in ["e1", "e2"] {
        let server = ServerName::from(engine);
        planner.set_engine(&server, info(1, 5, 64));
        let held = match engine {
            "e1" => vec![(adapter(), 1)],
            _ => Vec::new(),
        };
        let report = EngineReport {
            bases: vec![ModelName::from("base")],
            adapters: held,
            ..EngineReport::default()
        };
        planner.on_report(&server, &report, MonoMs(0), MonoMs(0));
    }
    let used = Use {
        in_flight: 6,
        prompt_tokens: waiting * PROMPT_TOKENS,
        token_us: TOKEN_US,
        sent: 6,
        is_answered: true,
        ..Use::default()
    };
    let vm = VmName::from("entry-1");
    planner.note_use(&ServerName::from("e1"), &adapter(), &vm, used, NOW);
    planner
}

fn loads(planner: &mut Planner, now: MonoMs) -> Vec<SlotOrder> {
    let actions = planner.plan(now).into_iter();
    let orders = actions.filter_map(|action| match action {
        SlotAction::Order(order) if order.load => Some(order),
        _ => None,
    });
    orders.collect()
}

fn request_load(planner: &mut Planner, model: &str) {
    let demand = LoadDemand {
        waiting: 1,
        priority: 1,
        copy: false,
    };
    planner.request_load(
        &ModelName::from(model),
        &VmName::from("entry-1"),
        demand,
        NOW,
    );
}

/// Three prompts take 360 ms to process, which is a third of the latency objective.
#[test]
fn engine_with_a_prompt_backlog_causes_a_copy_elsewhere() {
    let copies = loads(&mut planner(3), NOW);
    assert_eq!(copies.len(), 1);
    assert_eq!(copies[0].server.as_str(), "e2");
    assert_eq!(copies[0].model, adapter());
    assert!(loads(&mut planner(1), NOW).is_empty());
}

/// Guards against a copy that takes the slot of an adapter that no engine holds.
#[test]
fn no_copy_is_ordered_while_adapters_wait_for_slots() {
    let mut planner = planner(3);
    for number in 10..30 {
        request_load(&mut planner, &format!("base/a{number}"));
    }
    let ordered = loads(&mut planner, NOW);
    assert!(!ordered.is_empty());
    assert!(ordered.iter().all(|order| order.model != adapter()));
}

/// Guards against a load for requests that another data centre answered or whose callers have
/// disconnected: it would occupy a slot that no request uses.
#[test]
fn withdrawn_load_request_is_not_ordered() {
    let mut planner = planner(0);
    let model = ModelName::from("base/a10");
    let others = VmName::from("entry-2");
    request_load(&mut planner, model.as_str());
    let mut demand = LoadDemand {
        waiting: 1,
        priority: 1,
        copy: false,
    };
    planner.request_load(&model, &others, demand, NOW);
    demand.waiting = 0;
    planner.request_load(&model, &others, demand, NOW);
    let mut with_remaining_demand = planner.clone();
    assert_eq!(loads(&mut with_remaining_demand, NOW).len(), 1);
    planner.request_load(&model, &VmName::from("entry-1"), demand, NOW);
    assert!(loads(&mut planner, NOW).is_empty());
}

#[test]
fn slot_wait_grows_with_the_queue() {
    let mut planner = planner(0);
    assert_eq!(planner.slot_wait_ms(NOW), 0);
    loads(&mut planner, NOW);
    for number in 10..30 {
        request_load(&mut planner, &format!("base/a{number}"));
    }
    loads(&mut planner, NOW);
    let later = NOW.plus(200);
    let long = planner.slot_wait_ms(later);
    assert!(long > 1_000, "{long}");
    assert!(planner.slot_wait_ms(NOW.plus(400)) > long);
}

#[test]
fn request_is_refused_at_once_if_its_adapter_loads_too_late() {
    let estimate = LoadEstimate {
        slot_wait_ms: 4_000,
        delay_ms: 120,
        is_recent: true,
    };
    assert_eq!(estimate.wait_ms(), 4_145);
    assert_eq!(
        forecast::retry_after_ms(estimate.wait_ms(), 2_000),
        Some(3_000)
    );
    assert_eq!(forecast::retry_after_ms(2_500, 2_000), None);
    assert_eq!(forecast::retry_after_ms(0, 0), None);
}

#[test]
fn mechanisms_are_disabled_by_name() {
    let off: Mechanisms = "early_release, place_forecast".parse().unwrap();
    assert!(!off.is_enabled(Mechanism::EarlyRelease));
    assert!(!off.is_enabled(Mechanism::SlotWaitForecast));
    assert!(off.is_enabled(Mechanism::PromptBacklog));
    let names = Mechanism::ALL.map(Mechanism::name).join(",");
    let none: Mechanisms = names.parse().unwrap();
    assert!(
        Mechanism::ALL
            .into_iter()
            .all(|mechanism| !none.is_enabled(mechanism))
    );
    let error = "early_release,fast".parse::<Mechanisms>().unwrap_err();
    assert!(error.to_string().contains("\"fast\""), "{error}");
}
