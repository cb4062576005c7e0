//! Tests of routing.

use std::collections::HashMap;

use assert_matches::assert_matches;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use medlarlift::scheduling::residency::EngineRow;
use medlarlift::scheduling::residency::FORMAT;
use medlarlift::scheduling::residency::Residency;
use medlarlift::scheduling::residency::ResidencyView;
use medlarlift::scheduling::residency::Table;
use medlarlift::scheduling::residency::TableVersion;
use medlarlift::scheduling::routing::CacheEvent;
use medlarlift::scheduling::routing::Fleet;
use medlarlift::scheduling::routing::HashRing;
use medlarlift::scheduling::routing::LoadReport;
use medlarlift::scheduling::routing::Policy;
use medlarlift::scheduling::routing::PrefixIndex;
use medlarlift::scheduling::routing::RouteConfig;
use medlarlift::scheduling::routing::RouteDecision;
use medlarlift::scheduling::routing::RouteRequest;
use medlarlift::scheduling::routing::RouteTarget;
use medlarlift::scheduling::routing::RouteView;
use medlarlift::scheduling::routing::ServerInfo;
use medlarlift::scheduling::routing::ServerKind;
use medlarlift::scheduling::routing::choose;
use medlarlift::scheduling::routing::load_home;
use medlarlift::types::AdapterRef;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::Patience;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

use crate::adapter;

const BATCH_POSITIONS: u32 = 8;

/// Routing state of one VM. The clock starts when all engines have warmed up.
struct Node {
    fleet: Fleet,
    residency: ResidencyView,
    prefixes: PrefixIndex,
    config: RouteConfig,
    now: MonoMs,
    nonce: u64,
}

impl Node {
    fn new(seed: u64) -> Self {
        let centre = DataCentre::from("near");
        let mut fleet = Fleet::new(seed);
        fleet.set_link(centre.clone(), 1, false);
        fleet.set_link(DataCentre::from("far"), 30, true);
        Self {
            fleet,
            residency: ResidencyView::new(VmName::from("vm"), centre, 1, MonoMs(0)),
            prefixes: PrefixIndex::new(),
            config: RouteConfig::default(),
            now: MonoMs(0),
            nonce: 0,
        }
    }

    /// Applies a whole table that is valid for one hour, with engines that have warmed up.
    fn table(&mut self, centre: &str, backlog_loads: u32, rows: &[(&str, &[&str])]) {
        self.now = MonoMs(0);
        let engine_rows = rows.iter().map(|(server, adapters)| EngineRow {
            server: ServerName::from(*server),
            incarnation: 1,
            slots: 8,
            adapters: adapters
                .iter()
                .map(|name| (adapter(name), Residency::Resident))
                .collect(),
        });
        let table = Table {
            format: FORMAT,
            data_centre: DataCentre::from(centre),
            version: TableVersion { term: 1, change: 1 },
            since: None,
            valid_ms: 3_600_000,
            backlog_loads,
            rows: engine_rows.collect(),
            removed: Vec::new(),
        };
        assert!(self.residency.apply(table, MonoMs(0)));
        for (server, _) in rows {
            self.report(server, centre, 0);
        }
        self.now = MonoMs(60_000);
    }

    fn report(&mut self, server: &str, centre: &str, running: u32) {
        let report = LoadReport {
            sampled: self.now,
            running,
            service_ms: 1_000,
            ..LoadReport::default()
        };
        self.fleet
            .observe(info(server, centre, false), report, self.now);
    }

    fn choose(
        &mut self,
        target: &AdapterRef,
        suspect: bool,
        prefix: &[u64],
        policy: Policy,
    ) -> RouteDecision {
        self.nonce += 1;
        let request = RouteRequest {
            target: RouteTarget::Adapter(target),
            class: Patience::Urgent,
            prompt_tokens: 500,
            prefix,
            suspect,
            assigned: None,
            nonce: self.nonce,
        };
        choose(&request, &self.view(), policy)
    }

    fn view(&self) -> RouteView<'_> {
        RouteView {
            fleet: &self.fleet,
            residency: &self.residency,
            prefixes: &self.prefixes,
            config: &self.config,
            now: self.now,
        }
    }

    /// Routes a request for adapter `x`, records the dispatch and returns the server.
    fn send(&mut self, suspect: bool) -> Option<String> {
        match self.choose(&adapter("x"), suspect, &[], Policy::Estimate) {
            RouteDecision::Dispatch { server, .. } => {
                self.fleet.record_dispatch(&server, suspect, 500, self.now);
                Some(server.as_str().to_owned())
            }
            _ => None,
        }
    }
}

fn info(server: &str, centre: &str, leaving: bool) -> ServerInfo {
    ServerInfo {
        name: ServerName::from(server),
        data_centre: DataCentre::from(centre),
        kind: ServerKind::Engine {
            base: "base".into(),
        },
        incarnation: 1,
        batch_slots: BATCH_POSITIONS,
        leaving,
    }
}

/// Guards against a dispatch to an engine on which the adapter version is not resident, by any policy,
/// and against the use of an expired table.
#[test]
fn requests_are_dispatched_only_to_engines_that_may_serve_the_adapter() {
    let names = ["a", "b", "c", "d"];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut node = Node::new(seed);
        let mut rows = Vec::new();
        for server in ["e0", "e1", "e2"] {
            let resident: Vec<&str> = names.into_iter().filter(|_| rng.random()).collect();
            rows.push((server, resident));
        }
        let rows: Vec<_> = rows
            .iter()
            .map(|(server, resident)| (*server, resident.as_slice()))
            .collect();
        node.table("near", 0, &rows);
        for _ in 0..40 {
            if rng.random_range(0..20) == 0 {
                node.now = MonoMs(3_600_000);
            }
            let target = AdapterRef::new(
                "base",
                names[rng.random_range(0..4)],
                rng.random_range(1..3),
            );
            for policy in [Policy::Estimate, Policy::LeastLoaded, Policy::HashAffinity] {
                if let RouteDecision::Dispatch { server, .. } =
                    node.choose(&target, false, &[], policy)
                {
                    let allowed = node.residency.may_dispatch(&server, &target, node.now);
                    assert!(
                        allowed,
                        "seed {seed}: {policy:?} sends {target} to {server}"
                    );
                }
            }
        }
    }
}

/// Guards against a load (250 ms) while an engine in another region (30 ms) has the adapter, a remote
/// engine while a local one is free, and uncounted traffic over paid links.
#[test]
fn routing_considers_distance_and_counts_paid_traffic() {
    let mut node = Node::new(1);
    node.table("far", 0, &[("f", &["x", "y"])]);
    node.table("near", 0, &[("n", &["x"])]);
    assert_eq!(node.send(false).as_deref(), Some("n"));
    assert_eq!(node.fleet.paid_tokens(), 0);
    let choice = node.choose(&adapter("y"), false, &[], Policy::Estimate);
    assert_eq!(
        choice,
        RouteDecision::Dispatch {
            server: "f".into(),
            paid: true
        }
    );
    node.report("n", "near", 40);
    assert_eq!(node.send(false).as_deref(), Some("f"));
    assert_eq!(node.fleet.paid_tokens(), 500);
    node.fleet
        .observe(info("f", "far", true), LoadReport::default(), node.now);
    assert_matches!(
        node.choose(&adapter("y"), false, &[], Policy::Estimate),
        RouteDecision::WaitForLoad { .. }
    );
}

/// Guards against two suspects of the crash quarantine on one engine.
#[test]
fn suspects_spread_at_most_one_per_engine() {
    let mut node = Node::new(1);
    node.table("near", 0, &[("e0", &["x"]), ("e1", &["x"])]);
    let mut used = vec![node.send(true), node.send(true)];
    used.sort();
    assert_eq!(used, vec![Some("e0".to_owned()), Some("e1".to_owned())]);
    assert_eq!(node.send(true), None);
    assert!(
        node.send(false).is_some(),
        "requests that are not suspects are dispatched"
    );
    node.fleet
        .record_completion(&"e1".into(), 1, true, node.now);
    assert_eq!(node.send(true).as_deref(), Some("e1"));
}

/// Guards against full confidence in a prefix cache after missed events, and against reduced
/// confidence after the engine has sent its complete list.
#[test]
fn prefix_hits_are_weighted_by_confidence() {
    let mut node = Node::new(1);
    node.table("near", 0, &[("e0", &["x"]), ("e1", &["x"])]);
    let prefix: Vec<u64> = (1..=30).collect();
    let event = |sequence, stored: &[u64]| CacheEvent {
        sequence,
        stored: stored.to_vec(),
        dropped: Vec::new(),
    };
    let (e0, e1) = (ServerName::from("e0"), ServerName::from("e1"));
    node.prefixes.event(&e0, 1, &event(1, &prefix));
    node.prefixes.event(&e1, 1, &event(1, &prefix[..15]));
    let choose = |node: &mut Node, prefix: &[u64]| match node.choose(
        &adapter("x"),
        false,
        prefix,
        Policy::Estimate,
    ) {
        RouteDecision::Dispatch { server, .. } => server,
        other => panic!("{other:?}"),
    };
    assert_eq!(choose(&mut node, &prefix), e0);
    node.prefixes.event(&e0, 1, &event(20, &[]));
    assert!(node.prefixes.confidence(&e0) < 0.5);
    assert_eq!(
        choose(&mut node, &prefix),
        e1,
        "18 events of e0 were missed"
    );
    node.prefixes.resync(&e0, 1, 21, &prefix);
    assert_eq!(choose(&mut node, &prefix), e0);
    node.prefixes.event(&e0, 2, &event(1, &[]));
    assert_eq!(
        choose(&mut node, &prefix),
        e1,
        "a restarted engine has an empty cache"
    );
}

/// Guards against a burst of requests to a restarted engine that reports no load yet.
#[test]
fn a_restarted_engine_gets_fewer_requests_while_it_warms_up() {
    let mut node = Node::new(1);
    node.table("near", 0, &[("e0", &["x"]), ("e1", &["x"])]);
    let mut restarted = info("e1", "near", false);
    restarted.incarnation = 2;
    node.fleet
        .observe(restarted, LoadReport::default(), node.now);
    node.report("e0", "near", 4);
    assert_eq!(node.send(false).as_deref(), Some("e0"));
    node.now = node.now.plus(20_000);
    let servers: Vec<_> = (0..40).filter_map(|_| node.send(false)).collect();
    assert!(servers.iter().any(|server| server == "e1"), "{servers:?}");
}

/// Guards against VMs that ask different data centres for the same load, which uses the store budget
/// twice, and against a home data centre whose table has expired or whose backlog is long.
#[test]
fn all_vms_ask_one_data_centre_for_a_load() {
    let mut homes: HashMap<String, usize> = HashMap::new();
    for index in 0..300 {
        let target = adapter(&format!("a{index}"));
        let mut asked = Vec::new();
        for seed in 0..3 {
            let mut node = Node::new(seed);
            node.table("near", 0, &[("n", &[])]);
            node.table("far", 0, &[("f", &[])]);
            asked.push(load_home(&target, &node.view()).expect("a home"));
        }
        assert!(asked.iter().all(|home| *home == asked[0]), "{asked:?}");
        *homes.entry(asked[0].as_str().to_owned()).or_default() += 1;
        let mut node = Node::new(0);
        node.table("near", 0, &[("n", &[])]);
        node.table("far", 9, &[("f", &[])]);
        assert_eq!(
            load_home(&target, &node.view()),
            Some("near".into()),
            "the other data centre has a backlog"
        );
        node.now = MonoMs(3_600_000);
        assert_eq!(
            load_home(&target, &node.view()),
            None,
            "all tables have expired"
        );
    }
    assert!(homes.values().all(|count| *count > 100), "{homes:?}");
}

/// Simulates nine VMs and nine engines at half of the fleet's capacity, with load reports up to 500 ms
/// old. Returns the number of requests sent and how many of them found all batch positions occupied.
fn waits_at_half_load(seed: u64) -> (usize, usize) {
    let names = ["e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"];
    let mut nodes: Vec<Node> = (0..9).map(|vm| Node::new(vm * 7_919)).collect();
    for node in &mut nodes {
        let rows: Vec<(&str, &[&str])> = names.iter().map(|name| (*name, &["x"][..])).collect();
        node.table("near", 0, &rows);
        node.fleet.set_peers(8);
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut running: Vec<(MonoMs, usize, String)> = Vec::new();
    let (mut sent, mut waited) = (0, 0);
    for step in 0..4_000_u64 {
        let now = MonoMs(60_000 + step * 10);
        for (_, vm, server) in running.extract_if(.., |(end, _, _)| *end <= now) {
            let node = &mut nodes[vm];
            node.fleet
                .record_completion(&ServerName::from(server.as_str()), 1, false, now);
        }
        let running_on = |name: &str| {
            running
                .iter()
                .filter(|(_, _, server)| server == name)
                .count()
        };
        if step % 50 == 0 {
            for name in names {
                let load = running_on(name) as u32;
                nodes.iter_mut().for_each(|node| {
                    node.now = now;
                    node.report(name, "near", load);
                });
            }
        }
        // 40 requests/s of 900 ms each on 72 batch positions: half of the fleet's capacity.
        if rng.random_range(0..10) < 4 {
            let vm = rng.random_range(0..nodes.len());
            nodes[vm].now = now;
            if let Some(server) = nodes[vm].send(false) {
                sent += 1;
                waited += usize::from(running_on(&server) >= BATCH_POSITIONS as usize);
                running.push((now.plus(900), vm, server));
            }
        }
    }
    (sent, waited)
}

/// Guards against herding: VMs with the same delayed load reports must not send to the same engine. At
/// half of the fleet's capacity at most one request in 100 may wait for a batch position.
#[test]
fn vms_with_the_same_delayed_reports_do_not_herd() {
    let (mut sent, mut waited) = (0, 0);
    for seed in 1..6 {
        let run = waits_at_half_load(seed);
        sent += run.0;
        waited += run.1;
    }
    assert!(waited * 100 <= sent, "{waited} of {sent} requests wait");
}

/// Guards against a hash ring that moves adapters between remaining engines, or distributes them
/// unevenly.
#[test]
fn the_hash_ring_moves_only_the_adapters_of_a_removed_engine() {
    let servers: Vec<ServerName> = (0..9).map(|i| ServerName::from(format!("e{i}"))).collect();
    let mut ring = HashRing::default();
    servers.iter().for_each(|server| ring.insert(server));
    let adapters: Vec<_> = (0..3_000).map(|i| adapter(&format!("a{i}"))).collect();
    let before: Vec<_> = adapters
        .iter()
        .map(|target| ring.owner(target).cloned())
        .collect();
    ring.remove(&servers[4]);
    let mut counts: HashMap<ServerName, usize> = HashMap::new();
    for (target, owner) in adapters.iter().zip(before) {
        let owner = owner.expect("an owner");
        *counts.entry(owner.clone()).or_default() += 1;
        if owner != servers[4] {
            assert_eq!(ring.owner(target), Some(&owner));
        }
    }
    assert!(
        counts
            .values()
            .all(|count| (333 / 2..333 * 2).contains(count)),
        "{counts:?}"
    );
}
