//! Tests of the slot planner: placement, eviction, and the state after late or lost responses to
//! orders.

#[path = "engines/info.rs"]
mod info;

use std::fs;
use std::time::Duration;

use assert_matches::assert_matches;
use info::info;
use medlarlift::scheduling::slots::EngineInfo;
use medlarlift::scheduling::slots::EngineReport;
use medlarlift::scheduling::slots::LoadDemand;
use medlarlift::scheduling::slots::OrderOutcome;
use medlarlift::scheduling::slots::Planner;
use medlarlift::scheduling::slots::SlotAction;
use medlarlift::scheduling::slots::SlotOrder;
use medlarlift::scheduling::slots::SlotsConfig;
use medlarlift::scheduling::slots::Use;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::SoftwareVersion;
use medlarlift::types::VmName;

const DEMAND: LoadDemand = LoadDemand {
    waiting: 1,
    priority: 0,
    copy: false,
};

/// A planner with at least one engine that has reported.
struct Fixture {
    planner: Planner,
    server: ServerName,
    now: MonoMs,
}

impl Fixture {
    fn new(adapter_slots: usize) -> Self {
        let mut fixture = Self {
            planner: Planner::new(SlotsConfig::default()),
            server: ServerName::from("e1"),
            now: MonoMs(10_000),
        };
        fixture.add_engine(adapter_slots, 1);
        fixture.report(EngineReport::default());
        fixture
    }

    fn add_engine(&mut self, adapter_slots: usize, started_unix_ms: u64) {
        let info = info(started_unix_ms, adapter_slots, 16);
        self.planner.set_engine(&self.server, info);
    }

    /// Adds further engines that have reported, up to `count` in total.
    fn add_engines(&mut self, count: usize, adapter_slots: usize) {
        for number in 2..=count {
            self.server = ServerName::from(format!("e{number}"));
            self.add_engine(adapter_slots, 1);
            self.report(EngineReport::default());
        }
    }

    /// Passes acceptances of `orders` to the planner.
    fn accept(&mut self, orders: &[SlotOrder]) {
        for order in orders {
            self.planner
                .on_order(order, OrderOutcome::Accepted, self.now);
        }
    }

    fn report(&mut self, report: EngineReport) {
        self.planner
            .on_report(&self.server, &report, self.now, self.now);
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.plus(ms);
    }

    fn orders(&mut self) -> Vec<SlotOrder> {
        let actions = self.planner.plan(self.now);
        let orders = actions.into_iter().filter_map(|action| match action {
            SlotAction::Order(order) => Some(order),
            SlotAction::Report(_) => None,
        });
        orders.collect()
    }

    fn request_load(&mut self, name: &str) {
        let vm = VmName::from("entry");
        self.planner
            .request_load(&model(name), &vm, DEMAND, self.now);
    }

    /// Requests a load and passes the outcome of its order to the planner.
    fn load(&mut self, name: &str, outcome: OrderOutcome) -> SlotOrder {
        self.request_load(name);
        let order = self.orders().remove(0);
        self.planner.on_order(&order, outcome, self.now);
        order
    }

    fn used(&mut self, name: &str, in_flight: u32, sent: u32) {
        let used = Use {
            in_flight,
            sent,
            early_age_ms: None,
            is_answered: sent > 0,
            ..Use::default()
        };
        self.note(name, used);
    }

    fn note(&mut self, name: &str, used: Use) {
        let vm = VmName::from("entry");
        self.planner
            .note_use(&self.server, &model(name), &vm, used, self.now);
    }

    fn held(names: &[(&str, u64)], sequence: u64) -> EngineReport {
        EngineReport {
            sequence,
            adapters: names.iter().map(|(name, v)| (model(name), *v)).collect(),
            ..EngineReport::default()
        }
    }
}

fn model(name: &str) -> ModelName {
    ModelName::from(format!("base/{name}"))
}

#[test]
fn requested_adapter_is_loaded_with_the_expected_sequence() {
    let mut fixture = Fixture::new(2);
    let order = fixture.load("a1", OrderOutcome::Accepted);
    assert!(order.load);
    assert_eq!(order.expected_sequence, 0);
    assert_eq!(
        fixture.load("a2", OrderOutcome::Accepted).expected_sequence,
        1
    );
}

#[test]
fn no_order_is_sent_before_the_first_report() {
    let mut fixture = Fixture::new(2);
    fixture.add_engine(2, 2);
    fixture.request_load("a1");
    assert_eq!(fixture.orders(), []);
}

#[test]
fn adapter_with_unconfirmed_load_is_not_evicted() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(5_000);
    fixture.request_load("a2");
    // The load is overdue, but no report has confirmed its end.
    assert_eq!(fixture.orders(), []);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    fixture.request_load("a2");
    assert_matches!(&fixture.orders()[..], [order] if !order.load && order.model == model("a1"));
}

#[test]
fn adapter_in_use_is_not_evicted() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    fixture.used("a1", 1, 1);
    fixture.pass(1_000);
    fixture.request_load("a2");
    assert_eq!(fixture.orders(), []);
    fixture.used("a1", 0, 0);
    fixture.pass(1_000);
    fixture.request_load("a2");
    assert_matches!(&fixture.orders()[..], [order] if !order.load);
}

#[test]
fn least_used_adapter_is_evicted() {
    let mut fixture = Fixture::new(2);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.load("a2", OrderOutcome::Accepted);
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[("a1", 1), ("a2", 1)], 2));
    fixture.used("a1", 0, 5);
    fixture.used("a2", 0, 1);
    fixture.pass(1_000);
    fixture.request_load("a3");
    assert_matches!(&fixture.orders()[..], [order] if order.model == model("a2"));
}

#[test]
fn unanswered_order_is_resent_and_keeps_its_slot() {
    let mut fixture = Fixture::new(1);
    let order = fixture.load("a1", OrderOutcome::Unknown);
    fixture.pass(100);
    fixture.request_load("a2");
    let again = fixture.orders();
    assert_eq!(again, std::slice::from_ref(&order));
    fixture
        .planner
        .on_order(&again[0], OrderOutcome::Unknown, fixture.now);
    // A report from before the order does not free the slot.
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[], 0));
    fixture.request_load("a2");
    assert_eq!(fixture.orders(), [order]);
}

#[test]
fn late_execution_of_an_order_is_seen_in_the_report() {
    let mut fixture = Fixture::new(2);
    let order = fixture.load("a1", OrderOutcome::Unknown);
    fixture.pass(100);
    let again = fixture.orders().remove(0);
    fixture
        .planner
        .on_order(&again, OrderOutcome::Conflict, fixture.now);
    fixture.pass(2_000);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    let next = fixture.load("a2", OrderOutcome::Accepted);
    assert_eq!(next.expected_sequence, order.expected_sequence + 1);
}

#[test]
fn restarted_engine_is_empty_and_takes_orders_after_its_report() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.planner.take_updates();
    fixture.add_engine(1, 2);
    let updates = fixture.planner.take_updates();
    assert_matches!(&updates[..], [(_, gone, _, None)] if *gone == model("a1"));
    fixture.report(EngineReport::default());
    assert_eq!(
        fixture.load("a2", OrderOutcome::Accepted).expected_sequence,
        0
    );
}

#[test]
fn new_planner_takes_over_the_reported_adapters() {
    let mut fixture = Fixture::new(1);
    fixture.add_engine(1, 2);
    fixture.report(Fixture::held(&[("a7", 3)], 9));
    fixture.pass(1_000);
    fixture.request_load("a8");
    let orders = fixture.orders();
    assert_matches!(&orders[..], [order] if !order.load && order.expected_sequence == 9);
}

#[test]
fn new_version_replaces_an_adapter_once_it_is_idle() {
    let mut fixture = Fixture::new(2);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    fixture.used("a1", 1, 1);
    let named = model("a1");
    fixture
        .planner
        .set_versions([(&named, 2)].into_iter(), fixture.now);
    fixture.planner.take_updates();
    assert_eq!(fixture.orders(), []);
    let updates = fixture.planner.take_updates();
    assert_matches!(&updates[..], [(_, retired, _, None)] if *retired == named);
    fixture.used("a1", 0, 0);
    fixture.pass(1_000);
    assert_matches!(&fixture.orders()[..], [order] if order.load && order.version == 2);
}

#[test]
fn suspect_adapter_is_not_announced_until_a_report_lists_it() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(1_000);
    fixture.orders();
    fixture.planner.note_missing(&fixture.server, &model("a1"));
    assert_eq!(fixture.planner.residency_of(&model("a1")), []);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    assert_eq!(fixture.planner.residency_of(&model("a1")).len(), 1);
}

#[test]
fn resent_order_does_not_raise_the_load_time_estimate() {
    let mut fixture = Fixture::new(4);
    let order = fixture.load("a1", OrderOutcome::Unknown);
    fixture.pass(5_000);
    let again = fixture.orders();
    assert_eq!(again, [order]);
    fixture
        .planner
        .on_order(&again[0], OrderOutcome::Accepted, fixture.now);
    fixture.pass(150);
    let mut report = Fixture::held(&[], 1);
    report.loading = vec![(model("a1"), 1)];
    fixture.report(report);
    assert!(fixture.planner.summary(fixture.now).load_ms <= 250);
}

#[test]
fn engine_without_a_base_model_gets_one_before_adapters() {
    let mut fixture = Fixture::new(2);
    let info = EngineInfo {
        started_unix_ms: 2,
        software: SoftwareVersion::from("v1"),
        adapter_slots: 2,
        run_slots: 16,
        target_latency_ms: 1_000,
        bases: Vec::new(),
        loadable: vec![ModelName::from("base")],
        is_limited: false,
    };
    fixture.planner.set_engine(&fixture.server, info);
    fixture.report(EngineReport::default());
    fixture.request_load("a1");
    let orders = fixture.orders();
    assert_matches!(&orders[..], [order] if order.load && order.model.as_str() == "base");
    fixture
        .planner
        .on_order(&orders[0], OrderOutcome::Accepted, fixture.now);
    fixture.pass(1_000);
    fixture.request_load("a1");
    let report = EngineReport {
        sequence: 1,
        bases: vec![ModelName::from("base")],
        ..EngineReport::default()
    };
    fixture.report(report);
    assert_matches!(&fixture.orders()[..], [order] if order.model == model("a1"));
}

#[test]
fn base_models_are_loaded_at_the_rate_of_the_store() {
    let mut fixture = Fixture::new(2);
    fixture.planner.set_base_interval(700);
    for name in ["e2", "e3"] {
        let info = EngineInfo {
            started_unix_ms: 1,
            software: SoftwareVersion::from("v1"),
            adapter_slots: 2,
            run_slots: 16,
            target_latency_ms: 1_000,
            bases: Vec::new(),
            loadable: vec![ModelName::from("base")],
            is_limited: false,
        };
        let server = ServerName::from(name);
        fixture.planner.set_engine(&server, info);
        fixture
            .planner
            .on_report(&server, &EngineReport::default(), fixture.now, fixture.now);
    }
    assert_eq!(fixture.orders().len(), 1);
    fixture.pass(600);
    assert_eq!(fixture.orders().len(), 0);
    fixture.pass(100);
    assert_eq!(fixture.orders().len(), 1);
}

#[test]
fn refused_replacement_keeps_the_old_version_in_its_slot() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    let named = model("a1");
    fixture
        .planner
        .set_versions([(&named, 2)].into_iter(), fixture.now);
    fixture.orders();
    fixture.pass(1_000);
    let order = fixture.orders().remove(0);
    assert_eq!((order.load, order.version), (true, 2));
    fixture
        .planner
        .on_order(&order, OrderOutcome::Conflict, fixture.now);
    fixture.pass(100);
    fixture.request_load("a2");
    // The only slot is still occupied: the replacement is retried and nothing else is loaded.
    assert_matches!(&fixture.orders()[..], [again] if again.model == named);
}

/// Guards against an expected load time that falls below that of the store because unanswered
/// requests count as answered, so that requests are sent before the adapter is loaded.
#[test]
fn unanswered_requests_do_not_shorten_the_load_time_estimate() {
    let mut fixture = Fixture::new(400);
    for number in 0..300 {
        let name = format!("a{number}");
        fixture.load(&name, OrderOutcome::Accepted);
        fixture.pass(300);
        fixture.orders();
        let unanswered = Use {
            in_flight: 1,
            sent: 1,
            early_age_ms: None,
            is_answered: false,
            ..Use::default()
        };
        fixture.note(&name, unanswered);
    }
    assert_eq!(fixture.planner.summary(fixture.now).load_ms, 250);
}

/// Replays requests that are sent as soon as a load is expected to end, against a store whose loads
/// take 250 ms, then 400 ms.
#[test]
fn few_requests_arrive_before_their_adapter() {
    let mut fixture = Fixture::new(1_000);
    for (loads, load_ms) in [(200, 250), (400, 400)] {
        let mut early = 0;
        for number in 0..loads {
            let name = format!("a{load_ms}-{number}");
            fixture.load(&name, OrderOutcome::Accepted);
            let expected_ms = fixture.planner.summary(fixture.now).load_ms;
            assert!(expected_ms < load_ms * 6 / 5, "{expected_ms} for {load_ms}");
            let is_early = expected_ms < load_ms;
            early += u32::from(is_early);
            fixture.pass(expected_ms + 100);
            fixture.orders();
            let used = Use {
                in_flight: 1,
                sent: 1,
                early_age_ms: is_early.then_some(100),
                is_answered: !is_early,
                ..Use::default()
            };
            fixture.note(&name, used);
        }
        assert!(early * 10 < loads, "{early} of {loads} at {load_ms} ms");
    }
}

/// CPU time of this thread, which does not depend on other processes.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanoseconds = text.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanoseconds)
}

/// Guards against plans that take longer than the pause between two plans when thousands of
/// adapters are requested at once after an outage. A controller has 0.3 of a core, so such plans
/// leave it no time for its links.
#[test]
fn a_plan_with_a_large_backlog_takes_little_time() {
    const LOAD_REQUESTS: usize = 2_000;
    const PLANS: u32 = 50;
    // The test build is many times slower than the release build.
    const MAX_MEAN_MS: u128 = 15;
    let mut fixture = Fixture::new(13);
    fixture.add_engines(15, 13);
    for number in 0..LOAD_REQUESTS {
        fixture.request_load(&format!("a{number}"));
    }
    let orders = fixture.orders();
    fixture.accept(&orders);
    let started = processor_time();
    for _ in 0..PLANS {
        fixture.orders();
    }
    let mean_ms = ((processor_time() - started) / PLANS).as_millis();
    println!("{mean_ms} ms");
    assert!(mean_ms <= MAX_MEAN_MS, "{mean_ms} ms");
}

/// Guards against a response to an order that changes the slots of an engine which was removed and
/// added again after the order was sent, because its announcements were missing for a while.
#[test]
fn response_after_engine_removal_does_not_change_its_slots() {
    let mut fixture = Fixture::new(1);
    fixture.request_load("a1");
    let order = fixture.orders().remove(0);
    let server = fixture.server.clone();
    fixture.planner.remove_engine(&server);
    fixture.add_engine(1, 1);
    fixture
        .planner
        .on_order(&order, OrderOutcome::Accepted, fixture.now);
    fixture.request_load("a2");
    assert!(fixture.orders().is_empty());
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    fixture.pass(400);
    fixture.request_load("a2");
    assert_matches!(&fixture.orders()[..], [order] if !order.load);
}

#[test]
fn load_missing_from_an_older_report_keeps_its_slot() {
    let mut fixture = Fixture::new(1);
    fixture.request_load("a1");
    let order = fixture.orders().remove(0);
    let server = fixture.server.clone();
    fixture.planner.remove_engine(&server);
    fixture.add_engine(1, 1);
    fixture.report(EngineReport::default());
    fixture
        .planner
        .on_order(&order, OrderOutcome::Accepted, fixture.now);
    fixture.request_load("a2");
    assert!(fixture.orders().is_empty());
}

/// Guards against duplicate loads when callers in several regions request the same adapter before
/// its first load is known everywhere.
#[test]
fn adapter_loading_in_another_data_centre_is_not_loaded_here() {
    let mut fixture = Fixture::new(4);
    fixture.request_load("a1");
    fixture.request_load("a2");
    fixture.planner.note_remote_load(&model("a1"), fixture.now);
    let orders = fixture.orders();
    assert_eq!(orders.len(), 1);
    assert_eq!(orders[0].model, model("a2"));
    fixture
        .planner
        .on_order(&orders[0], OrderOutcome::Accepted, fixture.now);
    assert!(fixture.orders().is_empty());
    // A VM that still requests the adapter cannot use it there.
    fixture.pass(1_600);
    fixture.request_load("a1");
    assert_eq!(fixture.orders().len(), 1);
}

#[test]
fn copy_is_loaded_although_another_data_centre_has_the_adapter() {
    let mut fixture = Fixture::new(4);
    fixture.planner.note_remote_load(&model("a1"), fixture.now);
    let copy = LoadDemand {
        copy: true,
        ..DEMAND
    };
    let vm = VmName::from("entry");
    fixture
        .planner
        .request_load(&model("a1"), &vm, copy, fixture.now);
    assert_eq!(fixture.orders().len(), 1);
}

/// Guards against load time measurements from unanswered orders, which engines execute seconds
/// later.
#[test]
fn unanswered_order_does_not_raise_the_load_time_estimate() {
    let mut fixture = Fixture::new(4);
    fixture.load("a1", OrderOutcome::Unknown);
    fixture.pass(2_000);
    let early = Use {
        in_flight: 0,
        sent: 1,
        early_age_ms: Some(0),
        is_answered: false,
        ..Use::default()
    };
    fixture.note("a1", early);
    assert_eq!(fixture.planner.summary(fixture.now).load_ms, 250);
}

#[test]
fn unresponsive_engine_does_not_block_other_loads() {
    let mut fixture = Fixture::new(4);
    fixture.request_load("a1");
    let silent = fixture.orders().remove(0);
    fixture.add_engines(2, 4);
    for number in 2..8 {
        fixture.request_load(&format!("a{number}"));
    }
    fixture.pass(160);
    let orders = fixture.orders();
    assert!(!orders.is_empty());
    assert!(orders.iter().all(|order| order.server != silent.server));
}

/// Guards against too many concurrent loads: each takes longer than expected, so that requests
/// arrive before their adapter and exhaust the shared retry budget.
#[test]
fn burst_of_first_loads_does_not_congest_the_store() {
    const ENGINES: usize = 15;
    // Share of one of six data centres in the loads that the store serves at full speed.
    const FULL_SPEED_LOADS: usize = 8;
    let mut fixture = Fixture::new(13);
    fixture.add_engines(ENGINES, 13);
    for number in 0..60 {
        fixture.request_load(&format!("a{number}"));
    }
    let mut loads = fixture.orders();
    for _ in 0..4 {
        fixture.accept(&loads);
        loads = fixture.orders();
    }
    let in_progress = fixture.planner.summary(fixture.now).store_loads;
    assert!(in_progress <= FULL_SPEED_LOADS, "{in_progress}");
    assert!(in_progress * 2 > FULL_SPEED_LOADS, "{in_progress}");
}

/// Guards against adapters that are loaded on an engine which hardly takes requests, and against
/// adapters whose only engine does.
#[test]
fn a_limited_engine_gets_no_adapters_and_its_own_are_copied() {
    let mut fixture = Fixture::new(4);
    fixture.load("held", OrderOutcome::Accepted);
    fixture.pass(1_000);
    let limited = EngineInfo {
        is_limited: true,
        ..info(1, 4, 16)
    };
    let limited_server = fixture.server.clone();
    fixture.planner.set_engine(&limited_server, limited);
    fixture.add_engines(2, 4);
    for number in 0..3 {
        let order = fixture.load(&format!("new-{number}"), OrderOutcome::Accepted);
        assert_ne!(order.server, limited_server, "{order:?}");
        fixture.pass(1_000);
    }
    let copy = LoadDemand {
        copy: true,
        ..DEMAND
    };
    let vm = VmName::from("entry");
    let held = model("held");
    fixture.planner.request_load(&held, &vm, copy, fixture.now);
    let orders = fixture.orders();
    let is_copy = |order: &SlotOrder| order.model == held && order.server != limited_server;
    assert!(orders.iter().any(is_copy), "{orders:?}");
}
