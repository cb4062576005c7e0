//! Limits that backend servers name on the requests of all VMs together: buckets, order of
//! observations, and selection of servers.

use std::collections::HashMap;

use assert_matches::assert_matches;
use medlarlift::gateway::server_table::Choice;
use medlarlift::gateway::server_table::Requirements;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::lease::HeldLease;
use medlarlift::limits::Ask;
use medlarlift::limits::BORROW_FORMAT;
use medlarlift::limits::BorrowRequest;
use medlarlift::limits::LeasedIssuer;
use medlarlift::limits::ServerBucket;
use medlarlift::limits::ServerLimitState;
use medlarlift::limits::TokenBucket;
use medlarlift::limits::server_limit_version;
use medlarlift::registry::Announcement;
use medlarlift::registry::ServerState;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::RequestRate;
use medlarlift::types::ServerName;
use medlarlift::types::SoftwareVersion;

const WINDOW_MS: u64 = 4_000;
/// Longest time from a permit to the arrival of its request.
const MAX_SEND_MS: u64 = 700;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 60_000;

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).unwrap()
}

/// Times of the permits that callers with endless demand take from `buckets` equal buckets.
fn permits(per_s: f64, buckets: usize) -> Vec<u64> {
    let share = DataCentre::from("one");
    let limits = server_limit_version(rate(per_s), share.clone(), buckets);
    let new_bucket = |_| TokenBucket::full(limits.share(&share), MonoMs(0));
    let mut buckets: Vec<TokenBucket> = (0..buckets).map(new_bucket).collect();
    let mut taken = Vec::new();
    for at in (0..RUN_MS).step_by(STEP_MS as usize) {
        for bucket in &mut buckets {
            while bucket.take(MonoMs(at), 1, 0) == 1 {
                taken.push(at);
            }
        }
    }
    taken
}

/// Guards against buckets that let more requests reach a server in 4 s than one and a half times its
/// limit and five.
#[test]
fn permits_of_all_buckets_stay_within_the_limit_of_the_server() {
    for per_s in [0.1, 0.5, 1.0, 1.5, 2.5, 7.0, 40.0, 900.0] {
        for buckets in [1, 3] {
            let taken = permits(per_s, buckets);
            let allowed = 1.5 * per_s * (WINDOW_MS as f64 / 1_000.0) + 5.0;
            let in_window = |from: &u64| {
                let start = taken.partition_point(|at| at < from);
                let end = taken.partition_point(|at| *at < *from + WINDOW_MS + MAX_SEND_MS);
                (end - start) as f64
            };
            let most = taken.iter().map(in_window).fold(0.0, f64::max);
            assert!(
                most <= allowed,
                "{most} of {allowed} at {per_s}, {buckets} buckets"
            );
            let expected = 0.95 * per_s * RUN_MS as f64 / 1_000.0;
            assert!(taken.len() as f64 >= expected, "{} at {per_s}", taken.len());
        }
    }
}

#[test]
fn a_rate_is_a_decimal_number_of_requests_per_second() {
    assert_eq!(RequestRate::parse(" 2.5 ").unwrap().milli_per_s(), 2_500);
    for text in ["", "many", "-1", "NaN", "2,5"] {
        assert_eq!(RequestRate::parse(text), None, "{text}");
    }
    // A rate of 0 would never be asked for again, and the end of the limit would go unnoticed.
    assert!(RequestRate::parse("0").unwrap().milli_per_s() > 0);
    assert!(RequestRate::parse("inf").unwrap().per_s() >= 1_000.0);
}

/// Guards against an old answer, or an old report of another VM, that ends or restores a limit.
#[test]
fn the_newest_observation_of_a_limit_counts() {
    let mut state = ServerLimitState::default();
    assert!(state.observe(Some(rate(1.5)), MonoMs(100)));
    assert!(
        !state.observe(None, MonoMs(90)),
        "sent before the limit was named"
    );
    assert_eq!(state.rate(), Some(rate(1.5)));
    assert!(state.observe(None, MonoMs(110)));
    assert!(
        !state.observe(Some(rate(1.5)), MonoMs(105)),
        "named before the end"
    );
    assert_eq!(state.rate(), None);
}

/// Guards against one bucket for each rate that VMs know of, whose permits would add up.
#[test]
fn a_coordinator_keeps_one_bucket_for_each_server_of_its_data_centre() {
    let held = HeldLease {
        term: 1,
        since: MonoMs(0),
        deadline: MonoMs(u64::MAX),
        required_index: 0,
        settled_index: 0,
    };
    let mut issuer = LeasedIssuer::new(DataCentre::from("dc1"));
    let mut ask = |data_centre: &str, per_s: f64, at: u64| {
        let bucket = ServerBucket {
            server: ServerName::from("engine-1"),
            data_centre: DataCentre::from(data_centre),
            rate: rate(per_s),
        };
        assert_eq!(ServerBucket::parse(&bucket.account()), Some(bucket.clone()));
        let request = BorrowRequest {
            format: BORROW_FORMAT,
            vm: "vm1".into(),
            incarnation: 1,
            asks: vec![Ask {
                account: bucket.account(),
                need_tokens: 1,
                ahead_tokens: 0,
            }],
            return_sequence: 0,
            returns: Vec::new(),
        };
        issuer.receive(MonoMs(at), Some(held), &request).grants[0].tokens
    };
    let mut granted = 0;
    for at in (0..10_000).step_by(50) {
        granted += ask("dc1", 1.0, at);
        granted += ask("dc1", 1.2, at);
        assert_eq!(ask("dc2", 1.0, at), 0, "the server of another data centre");
    }
    assert!((9..=13).contains(&granted), "{granted} permits in 10 s");
}

fn announcement(server: &str) -> Announcement {
    Announcement {
        server: ServerName::from(server),
        started_unix_ms: 7,
        sequence: 1,
        service: "desk".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc1".into(),
        slots: 4,
        state: ServerState::Ready,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
        models: Vec::new(),
    }
}

fn choose(table: &ServerTable, now: u64) -> Choice {
    let requirements = Requirements {
        service: &"desk".into(),
        model: None,
        version: None,
        software: None,
        tried: &[],
        tie_breaker: 1,
        tries_unreached: false,
    };
    table.choose(&requirements, MonoMs(now))
}

/// Guards against a server without a permit that is chosen because no other one is left.
#[test]
fn a_limited_server_without_a_permit_is_never_chosen() {
    let limited = ServerName::from("limited");
    let mut table = ServerTable::new(HashMap::new());
    table.set_server(announcement("limited"));
    assert!(table.observe_limit(&limited, 7, Some(rate(2.0)), MonoMs(10)));
    assert!(
        !table.observe_limit(&limited, 6, None, MonoMs(20)),
        "another process"
    );
    assert_matches!(choose(&table, 20), Choice::Send { .. });
    assert_eq!(table.begin_permit(&limited, MonoMs(420)), Some(rate(2.0)));
    assert_matches!(choose(&table, 20), Choice::RateLimited { .. });
    table.end_permit(&limited, MonoMs(300));
    assert_matches!(choose(&table, 20), Choice::RateLimited { wait_ms: 280, .. });
    table.set_server(announcement("free"));
    assert_matches!(choose(&table, 20), Choice::Send { server, .. } if server.as_str() == "free");
    table.remove_server(&"free".into());
    assert_matches!(choose(&table, 300), Choice::Send { .. });
    table.end_permit(&limited, MonoMs(900));
    assert!(table.observe_limit(&limited, 7, None, MonoMs(310)));
    assert_matches!(
        choose(&table, 310),
        Choice::Send { .. },
        "the limit has ended"
    );
}

/// Guards against a resting server that is chosen because no other one is left, and against a rest that
/// outlives the process that asked for it.
#[test]
fn a_resting_server_is_never_chosen() {
    let tired = ServerName::from("tired");
    let mut table = ServerTable::new(HashMap::new());
    table.set_server(announcement("tired"));
    table.ask_rest(&tired, 6, 9_000, MonoMs(10));
    assert_matches!(choose(&table, 20), Choice::Send { .. });
    table.ask_rest(&tired, 7, 500, MonoMs(20));
    assert_matches!(
        choose(&table, 120),
        Choice::Resting {
            wait_ms: 400,
            has_others: false
        }
    );
    table.set_server(announcement("free"));
    assert_matches!(choose(&table, 120), Choice::Send { server, .. } if server.as_str() == "free");
    table.remove_server(&"free".into());
    let restarted = Announcement {
        started_unix_ms: 8,
        ..announcement("tired")
    };
    table.set_server(restarted);
    assert_matches!(choose(&table, 120), Choice::Send { .. });
}
