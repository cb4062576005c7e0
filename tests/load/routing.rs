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

/// What one VM knows, with a clock that starts when all engines are warm.
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

    /// Puts a whole table in force, valid for an hour. Engines count as warm.
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
        on: &AdapterRef,
        suspect: bool,
        prefix: &[u64],
        policy: Policy,
    ) -> RouteDecision {
        self.nonce += 1;
        let request = RouteRequest {
            target: RouteTarget::Adapter(on),
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

    /// The server chosen for adapter `x`, counted as sent.
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

/// Guards against a dispatch to an engine that may not serve the named adapter and version, by any
/// policy, and against a lapsed table that is still used.
#[test]
fn a_dispatch_names_an_engine_that_may_serve_the_adapter() {
    let names = ["a", "b", "c", "d"];
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut node = Node::new(seed);
        let mut rows = Vec::new();
        for server in ["e0", "e1", "e2"] {
            let held: Vec<&str> = names.into_iter().filter(|_| rng.random()).collect();
            rows.push((server, held));
        }
        let rows: Vec<_> = rows
            .iter()
            .map(|(server, held)| (*server, held.as_slice()))
            .collect();
        node.table("near", 0, &rows);
        for _ in 0..40 {
            if rng.random_range(0..20) == 0 {
                node.now = MonoMs(3_600_000);
            }
            let on = AdapterRef::new(
                "base",
                names[rng.random_range(0..4)],
                rng.random_range(1..3),
            );
            for policy in [Policy::Estimate, Policy::LeastLoaded, Policy::HashAffinity] {
                if let RouteDecision::Dispatch { server, .. } = node.choose(&on, false, &[], policy)
                {
                    let allowed = node.residency.may_dispatch(&server, &on, node.now);
                    assert!(allowed, "seed {seed}: {policy:?} sends {on} to {server}");
                }
            }
        }
    }
}

/// Guards against a load (250 ms) where an engine in another region (30 ms) has the adapter, a far
/// engine while a near one is free, and traffic over paid links that is not counted.
#[test]
fn distance_counts_and_paid_traffic_is_counted() {
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
    assert!(node.send(false).is_some(), "others are not held up");
    node.fleet
        .record_completion(&"e1".into(), 1, true, node.now);
    assert_eq!(node.send(true).as_deref(), Some("e1"));
}

/// Guards against full trust in a prefix cache whose events were missed, and lasting distrust after
/// the engine has sent its complete list.
#[test]
fn prefix_hits_count_by_trust() {
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

/// Guards against a restarted engine that gets a burst because it reports no load.
#[test]
fn an_engine_that_has_just_started_warms_up() {
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

/// Guards against VMs that ask different data centres for the same load, which spends the store's
/// budget twice, and against a home that is partitioned or has a long backlog.
#[test]
fn all_vms_ask_one_data_centre_for_a_load() {
    let mut homes: HashMap<String, usize> = HashMap::new();
    for index in 0..300 {
        let on = adapter(&format!("a{index}"));
        let mut asked = Vec::new();
        for seed in 0..3 {
            let mut node = Node::new(seed);
            node.table("near", 0, &[("n", &[])]);
            node.table("far", 0, &[("f", &[])]);
            asked.push(load_home(&on, &node.view()).expect("a home"));
        }
        assert!(asked.iter().all(|home| *home == asked[0]), "{asked:?}");
        *homes.entry(asked[0].as_str().to_owned()).or_default() += 1;
        let mut node = Node::new(0);
        node.table("near", 0, &[("n", &[])]);
        node.table("far", 9, &[("f", &[])]);
        assert_eq!(
            load_home(&on, &node.view()),
            Some("near".into()),
            "the other has a backlog"
        );
        node.now = MonoMs(3_600_000);
        assert_eq!(load_home(&on, &node.view()), None, "no table is in force");
    }
    assert!(homes.values().all(|count| *count > 100), "{homes:?}");
}

/// Requests sent by nine VMs to nine engines at half of the fleet's capacity, and how many of them
/// found all batch positions taken. Reports are up to 500 ms old.
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
        let held = |name: &str| running.iter().filter(|(_, _, on)| on == name).count();
        if step % 50 == 0 {
            for name in names {
                let load = held(name) as u32;
                nodes.iter_mut().for_each(|node| {
                    node.now = now;
                    node.report(name, "near", load);
                });
            }
        }
        // 40 requests a second of 900 ms on 72 positions: half of the fleet's capacity.
        if rng.random_range(0..10) < 4 {
            let vm = rng.random_range(0..nodes.len());
            nodes[vm].now = now;
            if let Some(server) = nodes[vm].send(false) {
                sent += 1;
                waited += usize::from(held(&server) >= BATCH_POSITIONS as usize);
                running.push((now.plus(900), vm, server));
            }
        }
    }
    (sent, waited)
}

/// Guards against herding: several VMs that see the same late reports must not send to the same
/// engine. At half of the fleet's capacity at most one request in 100 may wait for a batch position.
#[test]
fn vms_with_the_same_late_reports_do_not_herd() {
    let (mut sent, mut waited) = (0, 0);
    for seed in 1..6 {
        let run = waits_at_half_load(seed);
        sent += run.0;
        waited += run.1;
    }
    assert!(waited * 100 <= sent, "{waited} of {sent} requests wait");
}

/// Guards against a ring that moves adapters between engines that stay, or spreads them unevenly.
#[test]
fn the_hash_ring_moves_only_the_adapters_of_a_removed_engine() {
    let servers: Vec<ServerName> = (0..9).map(|i| ServerName::from(format!("e{i}"))).collect();
    let mut ring = HashRing::default();
    servers.iter().for_each(|server| ring.insert(server));
    let adapters: Vec<_> = (0..3_000).map(|i| adapter(&format!("a{i}"))).collect();
    let before: Vec<_> = adapters.iter().map(|on| ring.owner(on).cloned()).collect();
    ring.remove(&servers[4]);
    let mut counts: HashMap<ServerName, usize> = HashMap::new();
    for (on, owner) in adapters.iter().zip(before) {
        let owner = owner.expect("an owner");
        *counts.entry(owner.clone()).or_default() += 1;
        if owner != servers[4] {
            assert_eq!(ring.owner(on), Some(&owner));
        }
    }
    assert!(
        counts
            .values()
            .all(|count| (333 / 2..333 * 2).contains(count)),
        "{counts:?}"
    );
}
