//! Tests of placement.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use medlarlift::scheduling::placement::EngineOrder;
use medlarlift::scheduling::placement::OrderResult;
use medlarlift::scheduling::placement::Planner;
use medlarlift::scheduling::placement::PlannerConfig;
use medlarlift::scheduling::placement::StoreShare;
use medlarlift::scheduling::popularity::Popularity;
use medlarlift::scheduling::popularity::PopularityConfig;
use medlarlift::scheduling::popularity::PopularitySummary;
use medlarlift::scheduling::residency::EngineSnapshot;
use medlarlift::scheduling::residency::Residency;
use medlarlift::scheduling::residency::ResidencyView;
use medlarlift::scheduling::residency::WaitingAdapter;
use medlarlift::scheduling::routing::Policy;
use medlarlift::types::AdapterRef;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

use crate::adapter;

const SHARE: StoreShare = StoreShare {
    loads_per_s: 3.0,
    burst_loads: 3.0,
    in_flight: 2,
};
const SLOTS: u32 = 2;

/// Planner with one VM and engines that carry out orders immediately.
struct PlannerHarness {
    planner: Planner,
    view: ResidencyView,
    centre: DataCentre,
    now: MonoMs,
}

impl PlannerHarness {
    /// Creates engines `e0`, `e1`, … with the given resident adapters, and a full store budget.
    fn new(policy: Policy, engines: &[&[&str]]) -> Self {
        let (centre, vm) = (DataCentre::from("dc"), VmName::from("vm"));
        let start = MonoMs(0);
        let planner = PlannerConfig::default();
        let planner = Planner::new(planner, policy, centre.clone(), 1, &[], SHARE, start);
        let mut harness = Self {
            planner,
            view: ResidencyView::new(vm, centre.clone(), 1, start),
            centre,
            now: MonoMs(0),
        };
        for (index, resident) in engines.iter().enumerate() {
            harness
                .planner
                .on_announcement(&snapshot(index, resident), start);
        }
        harness.now = MonoMs(100_000);
        harness
    }

    fn pull(&mut self, waiting: Vec<WaitingAdapter>, popularity: Option<PopularitySummary>) {
        let pull = self.view.pull(&self.centre, waiting, popularity, self.now);
        let table = self.planner.on_pull(&pull, self.now).expect("a table");
        assert!(self.view.apply(table, self.now));
    }

    /// Pulls, plans and carries out orders for `steps` steps of 50 ms.
    fn run(&mut self, steps: usize, waiting: &[WaitingAdapter]) -> Vec<EngineOrder> {
        let mut all = Vec::new();
        for _ in 0..steps {
            self.now = self.now.plus(50);
            self.pull(waiting.to_vec(), None);
            let orders = self.planner.plan(self.now, &self.view);
            for order in &orders {
                self.finish(order, true);
            }
            all.extend(orders);
        }
        all
    }

    fn finish(&mut self, order: &EngineOrder, done: bool) {
        let result = OrderResult {
            order: order.clone(),
            incarnation: Some(1),
            done,
        };
        self.planner.on_result(&result, self.now);
    }
}

fn snapshot(index: usize, resident: &[&str]) -> EngineSnapshot {
    EngineSnapshot {
        server: ServerName::from(format!("e{index}")),
        incarnation: 1,
        slots: SLOTS,
        positions: 8,
        resident: resident.iter().map(|name| adapter(name)).collect(),
    }
}

fn waiting_for(name: &str, urgent: u32, patient: u32) -> WaitingAdapter {
    WaitingAdapter {
        adapter: adapter(name),
        urgent,
        patient,
        tokens: 500 * u64::from(urgent + patient),
        slack_ms: 5_000,
        waited_ms: 0,
        preferred: None,
    }
}

fn loaded(orders: &[EngineOrder]) -> Vec<&AdapterRef> {
    let loads = orders.iter().filter_map(|order| match order {
        EngineOrder::Load { adapter, .. } => Some(adapter),
        EngineOrder::Evict { .. } => None,
    });
    loads.collect()
}

/// Popularity summary in which each named adapter has the given number of uses of 500 tokens.
fn popular(names: &[(&str, u64)], now: MonoMs) -> PopularitySummary {
    let mut popularity = Popularity::new(PopularityConfig::default());
    for (name, uses) in names {
        popularity.record(&adapter(name), uses * 500, now);
    }
    popularity.summary(now)
}

/// Guards against loads for patient requests or prefetch while urgent requests wait for the store.
#[test]
fn urgent_requests_are_loaded_first() {
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&[], &[], &[]]);
    let summary = popular(&[("hot1", 900), ("hot2", 900)], harness.now);
    harness.pull(Vec::new(), Some(summary));
    let waiting: Vec<_> = [("p", 0, 99), ("u1", 1, 0), ("u2", 1, 0), ("u3", 1, 0)]
        .map(|(name, urgent, patient)| waiting_for(name, urgent, patient))
        .into();
    harness.pull(waiting, None);
    let orders = harness.planner.plan(harness.now, &harness.view);
    let expected = [adapter("u1"), adapter("u2")];
    assert_eq!(
        loaded(&orders),
        expected.iter().collect::<Vec<_>>(),
        "two may be in flight"
    );
    for order in &orders {
        harness.finish(order, true);
    }
    let orders = harness.planner.plan(harness.now, &harness.view);
    assert_eq!(loaded(&orders), vec![&adapter("u3")]);
}

/// Guards against the eviction of a popular adapter or one in use while an idle one can be evicted.
#[test]
fn the_least_valuable_idle_adapter_is_evicted() {
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&["hot", "used"], &["warm", "idle"]]);
    let summary = popular(&[("hot", 90), ("warm", 9), ("idle", 1)], harness.now);
    harness.pull(Vec::new(), Some(summary));
    let permit = harness
        .view
        .begin(&"e0".into(), &adapter("used"), harness.now)
        .expect("resident");
    let orders = harness.run(10, &[waiting_for("new", 1, 0)]);
    let evicted = EngineOrder::Evict {
        server: "e1".into(),
        adapter: adapter("idle"),
    };
    let load = EngineOrder::Load {
        server: "e1".into(),
        adapter: adapter("new"),
    };
    assert_eq!(orders, vec![evicted, load]);
    harness.view.finish(permit);
}

/// Guards against thrashing: patient requests and prefetch must not make adapters of about equal
/// popularity replace each other.
#[test]
fn equal_adapters_do_not_replace_each_other() {
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&["a", "b"]]);
    let names = [("a", 50), ("b", 50), ("c", 55), ("d", 55)];
    let mut orders = Vec::new();
    for _ in 0..20 {
        let summary = popular(&names, harness.now);
        harness.pull(Vec::new(), Some(summary));
        orders.extend(harness.run(20, &[]));
    }
    assert_eq!(orders, Vec::new());
}

/// Guards against a failed load that is retried immediately on the same engine, or never.
#[test]
fn a_failed_load_is_retried_elsewhere_and_later() {
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&[], &[]]);
    let mut attempts = Vec::new();
    for _ in 0..200 {
        harness.now = harness.now.plus(50);
        harness.pull(vec![waiting_for("x", 1, 0)], None);
        for order in harness.planner.plan(harness.now, &harness.view) {
            if let EngineOrder::Load { server, .. } = &order {
                attempts.push((harness.now, server.clone()));
            }
            harness.finish(&order, false);
        }
    }
    assert_ne!(
        attempts[0].1, attempts[1].1,
        "the second attempt is on another engine"
    );
    assert!(
        attempts[1].0.since(attempts[0].0) < 1_000,
        "the other engine is tried soon"
    );
    assert!(
        attempts[2].0.since(attempts[1].0) >= 1_000,
        "after two engines the adapter backs off"
    );
    assert!(
        (4..10).contains(&attempts.len()),
        "{} tries in 10 s",
        attempts.len()
    );
}

/// Guards against a local copy of an adapter that another data centre serves while local use is low,
/// and against a missing local copy while local use is high.
#[test]
fn copies_follow_local_use() {
    let (own, other) = (DataCentre::from("dc"), DataCentre::from("other"));
    let mut remote = PlannerHarness::new(Policy::Estimate, &[&["x"]]);
    remote.planner = Planner::new(
        PlannerConfig::default(),
        Policy::Estimate,
        other.clone(),
        1,
        &[],
        SHARE,
        MonoMs(0),
    );
    remote
        .planner
        .on_announcement(&snapshot(7, &["x"]), MonoMs(0));
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&[], &[]]);
    for (uses, copies) in [(20_u64, 0), (2_000, 2)] {
        harness.now = harness.now.plus(10_000);
        let pull = harness.view.pull(&other, Vec::new(), None, harness.now);
        let table = remote.planner.on_pull(&pull, harness.now).expect("a table");
        harness.view.apply(table, harness.now);
        let summary = popular(&[("x", uses)], harness.now);
        let pull = harness
            .view
            .pull(&own, Vec::new(), Some(summary), harness.now);
        let table = harness
            .planner
            .on_pull(&pull, harness.now)
            .expect("a table");
        harness.view.apply(table, harness.now);
        let orders = harness.run(38, &[]);
        assert_eq!(
            loaded(&orders).len(),
            copies,
            "after {uses} uses: {orders:?}"
        );
    }
}

/// Guards against more loads than the store allows in any time window, for each policy, under random
/// demand, load failures, lost results and engine restarts.
#[test]
fn the_store_limits_hold() {
    for (seed, policy) in (0..30).zip([Policy::Estimate, Policy::LeastLoaded].into_iter().cycle()) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut harness = PlannerHarness::new(policy, &[&[], &[], &[]]);
        let mut incarnations = [1; 3];
        let mut in_flight: Vec<(MonoMs, EngineOrder)> = Vec::new();
        let mut starts: VecDeque<MonoMs> = VecDeque::new();
        for _ in 0..2_000 {
            harness.now = harness.now.plus(rng.random_range(1..200));
            for (_, order) in in_flight.extract_if(.., |(end, _)| *end <= harness.now) {
                let done = rng.random_range(0..5) != 0;
                let incarnation = rng.random_range(0..9) != 0;
                let (EngineOrder::Load { server, .. } | EngineOrder::Evict { server, .. }) = &order;
                let index: usize = server.as_str()[1..].parse().expect("an index");
                let result = OrderResult {
                    incarnation: incarnation.then_some(incarnations[index]),
                    done: done && incarnation,
                    order,
                };
                harness.planner.on_result(&result, harness.now);
            }
            if rng.random_range(0..50) == 0 {
                let index = rng.random_range(0..3);
                incarnations[index] += 1;
                let mut restarted = snapshot(index, &[]);
                restarted.incarnation = incarnations[index];
                harness.planner.on_announcement(&restarted, harness.now);
            }
            let waiting = (0..rng.random_range(0..9)).map(|_| {
                let mut entry = waiting_for(&format!("a{}", rng.random_range(0..40)), 1, 0);
                entry.preferred = Some(format!("e{}", rng.random_range(0..3)).into());
                entry
            });
            let waiting = waiting.collect();
            harness.pull(waiting, None);
            for order in harness.planner.plan(harness.now, &harness.view) {
                if matches!(order, EngineOrder::Load { .. }) {
                    starts.push_back(harness.now);
                }
                in_flight.push((harness.now.plus(rng.random_range(5..600)), order));
            }
            let loads = in_flight
                .iter()
                .filter(|(_, order)| matches!(order, EngineOrder::Load { .. }));
            assert!(loads.count() <= SHARE.in_flight as usize, "seed {seed}");
            check_rate(&starts, seed);
        }
        assert!(
            starts.len() > 100,
            "seed {seed}: only {} loads",
            starts.len()
        );
    }
}

/// Checks that windows ending with the last load contain at most rate times length plus burst loads.
fn check_rate(starts: &VecDeque<MonoMs>, seed: u64) {
    let Some(last) = starts.back() else { return };
    for (count, start) in starts.iter().rev().enumerate().take(50) {
        let window_s = last.since(*start) as f64 / 1_000.0;
        let allowed = SHARE.loads_per_s * window_s + SHARE.burst_loads;
        assert!(
            count as f64 + 1.0 <= allowed + 1e-6,
            "seed {seed}: {} loads",
            count + 1
        );
    }
}

/// Guards against the eviction of a draining adapter for which requests wait again.
#[test]
fn a_drain_is_cancelled_when_requests_wait_for_the_adapter() {
    let mut harness = PlannerHarness::new(Policy::Estimate, &[&["a", "b"]]);
    harness.pull(Vec::new(), None);
    let permit = harness
        .view
        .begin(&"e0".into(), &adapter("b"), harness.now)
        .expect("resident");
    harness.pull(vec![waiting_for("new", 1, 0)], None);
    assert_eq!(harness.planner.plan(harness.now, &harness.view), Vec::new());
    let table = harness.planner.table();
    assert_eq!(
        table.state(&"e0".into(), &adapter("a")),
        Some(Residency::Draining)
    );
    harness.pull(vec![waiting_for("a", 1, 0)], None);
    harness.planner.plan(harness.now, &harness.view);
    let table = harness.planner.table();
    assert_eq!(
        table.state(&"e0".into(), &adapter("a")),
        Some(Residency::Resident)
    );
    harness.view.finish(permit);
}

/// Guards against summaries of unbounded size and against double counting of repeated summaries.
#[test]
fn popularity_summaries_are_bounded_and_idempotent() {
    use medlarlift::scheduling::popularity::FleetPopularity;
    let config = PopularityConfig::default();
    let (centre, now) = (DataCentre::from("dc"), MonoMs(1_000));
    let mut popularity = Popularity::new(config);
    for index in 0..20_000 {
        popularity.record(&adapter(&format!("a{index}")), 1 + index % 700, now);
    }
    let summary = popularity.summary(now);
    assert_eq!(summary.top.len(), config.summary_adapters);
    let bytes = bincode::serialize(&summary).expect("serialises").len();
    assert!(bytes < 6_000, "a summary takes {bytes} bytes");
    let mut fleet = FleetPopularity::new(config, centre.clone());
    let mut before = BTreeMap::new();
    for vm in ["vm-1", "vm-1", "vm-2"] {
        fleet.merge(&VmName::from(vm), &centre, &summary, now);
        let (first, _) = &summary.top[0];
        let score = fleet.score(first, now);
        assert!(
            before.get(vm).is_none_or(|known| *known == score),
            "{vm} is counted twice"
        );
        before.insert(vm, score);
    }
    assert_eq!(before["vm-2"], 2.0 * before["vm-1"]);
    let (first, counts) = &summary.top[0];
    let later = now.plus(config.long_half_life_ms);
    let halved = fleet.get(first, later).long_tokens;
    assert!(
        (halved - counts.long_tokens).abs() < 0.01,
        "two VMs, one half-life"
    );
}
