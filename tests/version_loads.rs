//! Loads of adapters on engines of one software version.

#[path = "engines/info.rs"]
mod engine_info;

use engine_info::info;
use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::OrderOutcome;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotOrder;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::SoftwareVersion;

const NOW: MonoMs = MonoMs(10_000);

/// Engines of the versions `old` and `new`, two of each, with one slot.
fn planner() -> Planner {
    let mut planner = Planner::new(SlotsConfig::default());
    for name in ["new-1", "new-2", "old-1", "old-2"] {
        let server = ServerName::from(name);
        let mut properties = info(1, 1, 16);
        properties.software = software(&name[..3]);
        planner.set_engine(&server, properties);
        planner.on_report(&server, &EngineReport::default(), NOW, NOW);
    }
    planner
}

fn software(name: &str) -> SoftwareVersion {
    SoftwareVersion::from(name)
}

fn adapter(name: &str) -> ModelName {
    ModelName::from(format!("base/{name}"))
}

/// Plans and accepts the orders that are due.
fn orders(planner: &mut Planner, now: MonoMs) -> Vec<SlotOrder> {
    let actions = planner.plan(now);
    let orders = actions.into_iter().filter_map(|action| match action {
        SlotAction::Order(order) => Some(order),
        SlotAction::Report(_) => None,
    });
    let orders: Vec<SlotOrder> = orders.collect();
    for order in &orders {
        planner.on_order(order, OrderOutcome::Accepted, now);
    }
    orders
}

/// Guards against a stream that waits for an adapter which is loaded where it cannot go on.
#[test]
fn the_adapter_of_a_resumed_stream_is_loaded_on_an_engine_of_its_version() {
    for number in 0..8 {
        let mut planner = planner();
        planner.request_version_load(&adapter(&format!("a{number}")), &software("old"), NOW);
        let orders = orders(&mut planner, NOW);
        assert_eq!(orders.len(), 1);
        assert!(orders[0].load);
        assert!(orders[0].server.as_str().starts_with("old"), "{orders:?}");
    }
}

#[test]
fn an_adapter_that_only_another_version_holds_is_loaded_once_more() {
    let mut planner = planner();
    planner.request_version_load(&adapter("a1"), &software("new"), NOW);
    assert_eq!(orders(&mut planner, NOW).len(), 1);
    let later = NOW.plus(2_000);
    planner.request_version_load(&adapter("a1"), &software("new"), later);
    assert!(orders(&mut planner, later).is_empty(), "held already");
    planner.request_version_load(&adapter("a1"), &software("old"), later);
    let more = orders(&mut planner, later);
    assert_eq!(more.len(), 1);
    assert!(more[0].server.as_str().starts_with("old"), "{more:?}");
}

#[test]
fn requests_for_a_version_that_no_engine_has_end() {
    let mut planner = planner();
    for number in 0..1_000 {
        planner.request_version_load(&adapter(&format!("a{number}")), &software("gone"), NOW);
    }
    assert!(orders(&mut planner, NOW).is_empty());
    planner.set_engine(&ServerName::from("gone-1"), {
        let mut properties = info(1, 1, 16);
        properties.software = software("gone");
        properties
    });
    let later = NOW.plus(5_000);
    planner.on_report(
        &ServerName::from("gone-1"),
        &EngineReport::default(),
        later,
        later,
    );
    assert!(
        orders(&mut planner, later).is_empty(),
        "nobody waits any more"
    );
}
