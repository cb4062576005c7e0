//! Measures the time of one routing decision. Targets: under 10 us with 12 backend servers, under
//! 50 us with 840 backend servers and 16,000 adapters.

use std::hint::black_box;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;

use medlarlift::scheduling::residency::EngineRow;
use medlarlift::scheduling::residency::FORMAT;
use medlarlift::scheduling::residency::Residency;
use medlarlift::scheduling::residency::ResidencyView;
use medlarlift::scheduling::residency::Table;
use medlarlift::scheduling::residency::TableVersion;
use medlarlift::scheduling::routing::Fleet;
use medlarlift::scheduling::routing::LoadReport;
use medlarlift::scheduling::routing::Policy;
use medlarlift::scheduling::routing::PrefixIndex;
use medlarlift::scheduling::routing::RouteConfig;
use medlarlift::scheduling::routing::RouteRequest;
use medlarlift::scheduling::routing::RouteTarget;
use medlarlift::scheduling::routing::RouteView;
use medlarlift::scheduling::routing::ServerInfo;
use medlarlift::scheduling::routing::ServerKind;
use medlarlift::scheduling::routing::choose;
use medlarlift::types::AdapterRef;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::Patience;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

const NOW: MonoMs = MonoMs(60_000);

fn adapter(index: usize) -> AdapterRef {
    AdapterRef::new("base", format!("adapter-{index}"), 1)
}

/// Creates the routing state of a VM with `servers` engines in five data centres. Adapter 0 is
/// resident on all engines, each of the others on one.
fn routing_state(servers: usize, adapters: usize) -> (Fleet, ResidencyView, PrefixIndex) {
    let vm_centre = DataCentre::from("dc-0");
    let mut fleet = Fleet::new(7);
    let mut residency = ResidencyView::new(VmName::from("vm"), vm_centre, 1, MonoMs(0));
    let mut prefixes = PrefixIndex::new();
    let mut rows: Vec<Vec<EngineRow>> = vec![Vec::new(); 5];
    for index in 0..servers {
        let name = ServerName::from(format!("engine-{index}"));
        let centre = index % rows.len();
        let data_centre = DataCentre::from(format!("dc-{centre}"));
        let info = ServerInfo {
            name: name.clone(),
            data_centre,
            kind: ServerKind::Engine {
                base: "base".into(),
            },
            incarnation: 1,
            batch_slots: 8,
            leaving: false,
        };
        let report = LoadReport {
            running: (index % 7) as u32,
            service_ms: 1_000,
            ..LoadReport::default()
        };
        fleet.observe(info, report, MonoMs(0));
        for at in 0..4 {
            fleet.record_dispatch(&name, false, 100, MonoMs(59_000 + at));
        }
        prefixes.record_dispatch(&name, 1, &(0..64).collect::<Vec<u64>>());
        let mut resident = vec![(adapter(0), Residency::Resident)];
        let own = (1..adapters).filter(|other| other % servers == index);
        resident.extend(own.map(|other| (adapter(other), Residency::Resident)));
        rows[centre].push(EngineRow {
            server: name,
            incarnation: 1,
            slots: resident.len() as u32,
            adapters: resident,
        });
    }
    for (centre, rows) in rows.into_iter().enumerate() {
        let table = Table {
            format: FORMAT,
            data_centre: DataCentre::from(format!("dc-{centre}")),
            version: TableVersion::default(),
            since: None,
            valid_ms: 100_000,
            backlog_loads: 0,
            rows,
            removed: Vec::new(),
        };
        assert!(residency.apply(table, MonoMs(0)));
    }
    (fleet, residency, prefixes)
}

fn routing(criterion: &mut Criterion) {
    let config = RouteConfig::default();
    let prefix: Vec<u64> = (0..64).collect();
    for (servers, adapters) in [(12, 3_000), (840, 16_000)] {
        let (fleet, residency, prefixes) = routing_state(servers, adapters);
        let view = RouteView {
            fleet: &fleet,
            residency: &residency,
            prefixes: &prefixes,
            config: &config,
            now: NOW,
        };
        let targets = [
            ("one copy", adapter(adapters / 2)),
            ("a copy everywhere", adapter(0)),
            ("no copy", adapter(adapters)),
        ];
        for (case, target) in targets {
            for policy in [Policy::Estimate, Policy::LeastLoaded, Policy::HashAffinity] {
                let name = format!("{policy:?}, {servers} servers, {case}");
                let mut nonce = 0;
                criterion.bench_function(&name, |bencher| {
                    bencher.iter(|| {
                        nonce += 1;
                        let request = RouteRequest {
                            target: RouteTarget::Adapter(&target),
                            class: Patience::Urgent,
                            prompt_tokens: 1_200,
                            prefix: &prefix,
                            suspect: false,
                            assigned: None,
                            nonce,
                        };
                        choose(black_box(&request), &view, policy)
                    });
                });
            }
        }
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(std::time::Duration::from_millis(200))
        .measurement_time(std::time::Duration::from_millis(500));
    targets = routing
}
criterion_main!(benches);
