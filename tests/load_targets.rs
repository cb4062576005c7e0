//! Data centres in which rarely used adapters are loaded, with three regions of two data centres
//! each, and callers whose latency objective a far load would use up.

#[path = "engines/announcement.rs"]
mod announcement;
#[path = "engines/info.rs"]
mod info;

use std::collections::HashMap;

use announcement::announcement;
use info::info;
use medlarlift::gateway::server_table::Distance;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::mechanisms::Mechanism;
use medlarlift::mechanisms::Mechanisms;
use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::LoadDemand;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::scheduling::slots::Use;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

const NOW: MonoMs = MonoMs(100_000);
const CENTRES: [(&str, Distance); 6] = [
    ("own", Distance::Near),
    ("neighbour", Distance::SameRegion),
    ("far-1", Distance::Far),
    ("far-2", Distance::Far),
    ("far-3", Distance::Far),
    ("far-4", Distance::Far),
];
const ENGINES_PER_CENTRE: usize = 15;

fn server_table() -> ServerTable {
    let distances = CENTRES
        .iter()
        .map(|(name, distance)| (DataCentre::from(*name), *distance));
    let mut table = ServerTable::new(HashMap::from_iter(distances));
    for (centre, _) in CENTRES {
        for number in 0..ENGINES_PER_CENTRE {
            table.set_server(announcement(&format!("{centre}-{number}"), centre, 16));
        }
    }
    table
}

fn adapter(number: usize) -> ModelName {
    ModelName::from(format!("base/a{number}"))
}

fn first_target(table: &ServerTable, model: &ModelName, local_first: bool) -> String {
    let targets = table.load_targets(model, local_first, NOW);
    targets[0].data_centre.as_str().to_owned()
}

#[test]
fn a_rare_adapter_is_loaded_near_its_callers() {
    let table = server_table();
    for number in 0..200 {
        let targets = table.load_targets(&adapter(number), false, NOW);
        assert_eq!(targets.len(), CENTRES.len());
        assert_eq!(targets[0].data_centre.as_str(), "own");
        assert_eq!(targets[1].data_centre.as_str(), "neighbour");
    }
}

#[test]
fn an_adapter_returns_to_the_engine_that_had_it() {
    let mut table = server_table();
    let model = adapter(1);
    let engine = ServerName::from("far-3-7");
    table.set_residency(&engine, &model, 1, Some(NOW));
    table.set_residency(&engine, &model, 1, None);
    assert_eq!(first_target(&table, &model, false), "far-3");
    assert_eq!(first_target(&table, &model, true), "own");
    table.remove_server(&engine);
    assert_eq!(first_target(&table, &model, false), "own");
}

/// An adapter that was loaded in two data centres returns to the nearer one. The nearer engine is
/// hardly farther away in time than an engine in the own data centre that has to load the adapter
/// from the weight store.
#[test]
fn all_engines_that_had_an_adapter_are_remembered() {
    let mut table = server_table();
    let model = adapter(1);
    for engine in ["neighbour-2", "far-3-7"] {
        let engine = ServerName::from(engine);
        table.set_residency(&engine, &model, 1, Some(NOW));
        table.set_residency(&engine, &model, 1, None);
    }
    assert_eq!(first_target(&table, &model, false), "neighbour");
    let mechanisms = Mechanisms::default().without(Mechanism::LoadHistory);
    let table = table.with(mechanisms);
    assert_eq!(first_target(&table, &model, false), "far-3");
}

/// Adapters that neither data centre of the region can load are divided among the far ones, in the
/// same way on all VMs.
#[test]
fn far_centres_share_what_the_region_cannot_load() {
    let table = server_table();
    let mut asked: HashMap<String, usize> = HashMap::new();
    for number in 0..400 {
        let third = table.load_targets(&adapter(number), false, NOW)[2].clone();
        *asked
            .entry(third.data_centre.as_str().to_owned())
            .or_default() += 1;
    }
    assert_eq!(asked.len(), 4);
    assert!(asked.values().all(|count| *count > 60), "{asked:?}");
}

/// A loaded adapter soon occupies batch slots, so it is loaded on an engine with few requests.
#[test]
fn a_load_goes_to_an_engine_with_few_requests() {
    let mut planner = Planner::new(SlotsConfig::default());
    let busy = ModelName::from("base/busy");
    let vm = VmName::from("entry-1");
    for number in 0..ENGINES_PER_CENTRE {
        let server = ServerName::from(format!("own-{number}"));
        planner.set_engine(&server, info(1, 13, 16));
        let adapters = vec![(busy.clone(), 0)];
        planner.on_report(&server, &report(adapters), MonoMs(0), MonoMs(0));
        let used = Use {
            in_flight: if number < 4 { 2 } else { 9 },
            sent: 1,
            early_age_ms: None,
            is_answered: true,
            ..Use::default()
        };
        planner.note_use(&server, &busy, &vm, used, NOW);
    }
    for number in 0..8 {
        let wanted = LoadDemand {
            waiting: 1,
            priority: 0,
            copy: false,
        };
        planner.request_load(&adapter(number), &vm, wanted, NOW);
    }
    let actions = planner.plan(NOW);
    let loads: Vec<&ServerName> = actions
        .iter()
        .filter_map(|action| match action {
            SlotAction::Order(order) if order.load => Some(&order.server),
            _ => None,
        })
        .collect();
    assert!(!loads.is_empty());
    for server in loads {
        let number: usize = server.as_str()["own-".len()..].parse().unwrap();
        assert!(number < 4, "{server} has 9 requests");
    }
}

fn report(adapters: Vec<(ModelName, u64)>) -> EngineReport {
    EngineReport {
        sequence: 0,
        bases: vec![ModelName::from("base")],
        adapters,
        ..EngineReport::default()
    }
}
