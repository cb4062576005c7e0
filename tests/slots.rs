//! Adapter slots of engines: what is loaded where, what makes way, and what a late or lost answer to
//! an order leaves behind.

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
use medlarlift::types::VmName;

const DEMAND: LoadDemand = LoadDemand {
    waiting: 1,
    priority: 0,
    copy: false,
};

/// A planner with one engine that has reported.
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

    /// Adds engines up to `count` that have reported.
    fn add_engines(&mut self, count: usize, adapter_slots: usize) {
        for number in 2..=count {
            self.server = ServerName::from(format!("e{number}"));
            self.add_engine(adapter_slots, 1);
            self.report(EngineReport::default());
        }
    }

    /// Answers orders as accepted.
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

    /// Wants an adapter and answers the order for it.
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
fn a_wanted_adapter_is_loaded_with_the_expected_sequence() {
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
fn nothing_is_ordered_before_the_engine_has_reported() {
    let mut fixture = Fixture::new(2);
    fixture.add_engine(2, 2);
    fixture.request_load("a1");
    assert_eq!(fixture.orders(), []);
}

#[test]
fn an_adapter_that_may_still_be_on_its_way_does_not_make_way() {
    let mut fixture = Fixture::new(1);
    fixture.load("a1", OrderOutcome::Accepted);
    fixture.pass(5_000);
    fixture.request_load("a2");
    // The load should have ended long ago, but nothing shows that it has.
    assert_eq!(fixture.orders(), []);
    fixture.report(Fixture::held(&[("a1", 1)], 1));
    fixture.request_load("a2");
    assert_matches!(&fixture.orders()[..], [order] if !order.load && order.model == model("a1"));
}

#[test]
fn an_adapter_in_use_does_not_make_way() {
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
fn the_least_used_adapter_makes_way() {
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
fn an_order_without_an_answer_is_repeated_and_keeps_its_slot() {
    let mut fixture = Fixture::new(1);
    let order = fixture.load("a1", OrderOutcome::Unknown);
    fixture.pass(100);
    fixture.request_load("a2");
    let again = fixture.orders();
    assert_eq!(again, std::slice::from_ref(&order));
    fixture
        .planner
        .on_order(&again[0], OrderOutcome::Unknown, fixture.now);
    // A report of before the order does not free the slot.
    fixture.pass(1_000);
    fixture.report(Fixture::held(&[], 0));
    fixture.request_load("a2");
    assert_eq!(fixture.orders(), [order]);
}

#[test]
fn an_order_that_was_carried_out_late_is_learned_from_the_report() {
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
fn a_restarted_engine_is_empty_and_takes_orders_after_its_report() {
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
fn a_new_planner_adopts_what_the_engine_holds() {
    let mut fixture = Fixture::new(1);
    fixture.add_engine(1, 2);
    fixture.report(Fixture::held(&[("a7", 3)], 9));
    fixture.pass(1_000);
    fixture.request_load("a8");
    let orders = fixture.orders();
    assert_matches!(&orders[..], [order] if !order.load && order.expected_sequence == 9);
}

#[test]
fn a_new_version_replaces_an_adapter_once_it_is_at_rest() {
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
fn a_doubted_adapter_is_not_announced_until_a_report_shows_it() {
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
fn an_order_that_was_repeated_does_not_make_loads_seem_slow() {
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
fn an_engine_without_a_base_model_gets_one_and_then_adapters() {
    let mut fixture = Fixture::new(2);
    let info = EngineInfo {
        started_unix_ms: 2,
        adapter_slots: 2,
        run_slots: 16,
        target_latency_ms: 1_000,
        bases: Vec::new(),
        loadable: vec![ModelName::from("base")],
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
            adapter_slots: 2,
            run_slots: 16,
            target_latency_ms: 1_000,
            bases: Vec::new(),
            loadable: vec![ModelName::from("base")],
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
fn a_replacement_that_is_refused_leaves_the_old_version_in_its_slot() {
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
    // The only slot is still taken: the replacement is tried again, nothing else is loaded.
    assert_matches!(&fixture.orders()[..], [again] if again.model == named);
}

/// Guards against an expected time that falls below that of the store because requests on their way
/// count as answers, so that requests are sent before the adapter is there.
#[test]
fn requests_on_their_way_do_not_shorten_the_expected_load() {
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
fn few_requests_come_before_their_adapter() {
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

/// Processor time of this thread so far, which other processes of the machine do not add to.
fn processor_time() -> Duration {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanoseconds = text.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanoseconds)
}

/// After an outage thousands of adapters are wished for at once. A controller has 0.3 of a core, and a
/// plan that takes longer than the pause between two plans leaves it no time for its links.
#[test]
fn a_plan_with_a_large_backlog_takes_little_time() {
    const LOAD_REQUESTS: usize = 2_000;
    const PLANS: u32 = 50;
    // The build for tests is many times slower than that for use.
    const MAX_MEAN_MS: u128 = 15;
    let mut fixture = Fixture::new(13);
    fixture.add_engines(15, 13);
    for number in 0..LOAD_REQUESTS {
        fixture.request_load(&format!("a{number}"));
    }
    let orders = fixture.orders();
    fixture.accept(&orders);
    let began = processor_time();
    for _ in 0..PLANS {
        fixture.orders();
    }
    let mean_ms = ((processor_time() - began) / PLANS).as_millis();
    println!("{mean_ms} ms");
    assert!(mean_ms <= MAX_MEAN_MS, "{mean_ms} ms");
}

/// An engine that was not heard of for a while is known anew before its answer to an order comes.
#[test]
fn an_answer_that_comes_after_the_engine_was_forgotten_tells_nothing_of_its_slots() {
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
fn a_load_that_an_older_report_lacks_has_its_slot() {
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

/// Callers in several regions ask for the same adapter before the first load is known everywhere.
#[test]
fn an_adapter_that_another_data_centre_loads_is_not_loaded_here_too() {
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
    // A VM that still asks cannot use it there.
    fixture.pass(1_600);
    fixture.request_load("a1");
    assert_eq!(fixture.orders().len(), 1);
}

#[test]
fn a_copy_is_loaded_although_another_data_centre_has_the_adapter() {
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

/// Engines that leave orders without an answer carry them out seconds later.
#[test]
fn an_order_without_an_answer_does_not_make_loads_seem_slow() {
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
fn an_engine_that_leaves_an_order_without_an_answer_holds_up_no_other_load() {
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

/// Loads that crowd each other take longer than expected, so that requests come before their adapter
/// and use up the retries of all.
#[test]
fn a_rush_of_first_loads_does_not_crowd_the_store() {
    const ENGINES: usize = 15;
    // The part of one of six data centres of what the store serves at full speed.
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
    let under_way = fixture.planner.summary(fixture.now).store_loads;
    assert!(under_way <= FULL_SPEED_LOADS, "{under_way}");
    assert!(under_way * 2 > FULL_SPEED_LOADS, "{under_way}");
}
