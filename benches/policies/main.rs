//! Compares the routing policies on seeded traces in virtual time, with one VM, one coordinator and
//! simulated engines. Run with `cargo bench --bench policies`.

mod engines;
mod optimum;
mod run;
mod trace;

use medlarlift::scheduling::routing::Policy;

use crate::run::Run;
use crate::trace::TraceConfig;

const INDEPENDENT: TraceConfig = TraceConfig {
    name: "independent",
    seed: 20_261_204,
    start_ms: 100_000,
    end_ms: 1_300_000,
    adapters: 3_000,
    exponent: 1.1,
    urgent_per_s: 6.0,
    session_requests: 1.0,
    think_ms: 15_000.0,
    batches_per_s: 0.25,
    batch_items: 100,
    batch_due_ms: 600_000,
    shift_ms: 500_000,
    overload_from_ms: 700_000,
    overload_until_ms: 900_000,
    restart_ms: 1_100_000,
    engine_slots: 8,
    loads_per_s: 3.0,
};

const TRACES: [TraceConfig; 5] = [
    INDEPENDENT,
    TraceConfig {
        name: "sessions",
        session_requests: 4.0,
        ..INDEPENDENT
    },
    TraceConfig {
        name: "backlog",
        session_requests: 4.0,
        batches_per_s: 0.42,
        ..INDEPENDENT
    },
    TraceConfig {
        name: "sixteen slots",
        engine_slots: 16,
        ..INDEPENDENT
    },
    TraceConfig {
        name: "four loads/s",
        loads_per_s: 4.0,
        ..INDEPENDENT
    },
];

fn main() {
    // `cargo bench --bench policies -- sessions Estimate` runs one trace and one policy.
    let filters: Vec<String> = std::env::args()
        .skip(1)
        .filter(|argument| argument != "--bench")
        .collect();
    let traces = TRACES
        .iter()
        .filter(|config| filters.first().is_none_or(|filter| filter == config.name));
    for config in traces {
        let arrivals = trace::arrivals(config);
        let slots = run::ENGINES * config.engine_slots as usize;
        let optimum = optimum::loads(&arrivals, slots);
        println!(
            "{}: {} requests, optimum {} loads, {} of them for urgent requests",
            config.name,
            arrivals.len(),
            optimum.loads,
            optimum.urgent,
        );
        for policy in [Policy::Estimate, Policy::LeastLoaded, Policy::HashAffinity] {
            let name = format!("{policy:?}");
            if filters.get(1).is_none_or(|filter| *filter == name) {
                let report = Run::new(config, &arrivals, policy).finish();
                println!("  {name}: {report}");
            }
        }
    }
}
