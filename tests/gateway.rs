//! Decisions of the gateway: routes and accounts of a configuration, the selection of a server, and
//! the next step after an attempt without an answer.

#[path = "engines/announcement.rs"]
mod announcement;

use std::collections::HashMap;
use std::sync::Arc;

use announcement::announcement;
use assert_matches::assert_matches;
use medlarlift::gateway::ServerLoad;
use medlarlift::gateway::admission;
use medlarlift::gateway::attempt;
use medlarlift::gateway::attempt::AttemptHistory;
use medlarlift::gateway::attempt::AttemptOutcome;
use medlarlift::gateway::attempt::NextStep;
use medlarlift::gateway::deployment::Account;
use medlarlift::gateway::deployment::CallerLimits;
use medlarlift::gateway::deployment::Deployment;
use medlarlift::gateway::deployment::EngineSpec;
use medlarlift::gateway::deployment::Model;
use medlarlift::gateway::deployment::QuotaUnit;
use medlarlift::gateway::deployment::RepeatPolicy;
use medlarlift::gateway::deployment::Route;
use medlarlift::gateway::deployment::Service;
use medlarlift::gateway::server_table::Choice;
use medlarlift::gateway::server_table::Distance;
use medlarlift::gateway::server_table::Requirements;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::registry::ServerState;
use medlarlift::types::AccountName;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::ServiceName;

const NOW: MonoMs = MonoMs(100_000);

fn route(prefix: &str, service: &str, weight: u32) -> Route {
    Route {
        name: Arc::from(prefix),
        host: Arc::from("shop.example"),
        path_prefix: Arc::from(prefix),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms: 1_000,
        target_latency_ms: 100,
        priority: 0,
        targets: vec![(ServiceName::from(service), weight)],
        max_attempts: 2,
        is_public: false,
        gap_target_ms: 0,
    }
}

fn deployment() -> Deployment {
    let mut deployment = Deployment::new(1, CallerLimits::default());
    let service = Service {
        health_path: Arc::from("/health"),
        max_connections: 10,
        engine: None,
    };
    deployment.add_service(ServiceName::from("orders"), service);
    deployment
}

fn account(name: &str) -> Account {
    Account {
        name: AccountName::from(name),
        priority: None,
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
        rate_per_s: 10,
        burst: 10,
    }
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let mut deployment = deployment();
    for prefix in ["/a/", "/a/b/", "/"] {
        deployment.add_route(route(prefix, "orders", 1)).unwrap();
    }
    let found = |host: &str, path: &str| {
        let route = deployment.route(host, path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(found("shop.example", "/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(found("shop.example", "/a/x").as_deref(), Some("/a/"));
    assert_eq!(found("shop.example", "/x").as_deref(), Some("/"));
    assert_eq!(found("other.example", "/a/"), None);
}

#[test]
fn invalid_routes_are_refused_with_field_and_value() {
    let mut deployment = deployment();
    let text = |result: Result<(), _>| result.map_err(|e| format!("{e}")).unwrap_err();
    let unknown = text(deployment.add_route(route("/a/", "nowhere", 1)));
    assert!(unknown.contains("\"nowhere\""), "{unknown}");
    let zero_weight = text(deployment.add_route(route("/a/", "orders", 0)));
    assert!(zero_weight.contains("weights"), "{zero_weight}");
    let mut zero_timeout = route("/a/", "orders", 1);
    zero_timeout.timeout_ms = 0;
    let zero_timeout = text(deployment.add_route(zero_timeout));
    assert!(zero_timeout.contains("timeout_ms"), "{zero_timeout}");
    deployment.add_route(route("/a/", "orders", 1)).unwrap();
    let duplicate = text(deployment.add_route(route("/a/", "orders", 1)));
    assert!(duplicate.contains("\"/a/\""), "{duplicate}");
}

#[test]
fn two_accounts_must_not_share_a_key_and_the_error_hides_it() {
    let mut deployment = deployment();
    let keys = || ["secret"].into_iter();
    deployment.add_account(account("one"), keys()).unwrap();
    let error = deployment.add_account(account("two"), keys()).unwrap_err();
    assert!(!error.to_string().contains("secret"), "{error}");
    assert_matches!(deployment.authenticate("secret"), Some(_));
    assert_matches!(deployment.authenticate("other"), None);
}

#[test]
fn a_route_selects_services_by_weight() {
    let mut split = route("/a/", "x", 90);
    split.targets.push((ServiceName::from("y"), 10));
    assert_eq!(split.target(0.0).as_str(), "x");
    assert_eq!(split.target(0.89).as_str(), "x");
    assert_eq!(split.target(0.91).as_str(), "y");
    split.targets[1].1 = 0;
    assert_eq!(split.target(0.999).as_str(), "x");
}

#[test]
fn adapter_capacity_is_bounded_by_slots_and_memory() {
    let mut spec = EngineSpec {
        slots: 8,
        memory_tokens: 1_000,
        weights_mb: 1_000.0,
        adapter_slots: 30,
        loads_per_s: 1.0,
        models: vec![Model {
            name: ModelName::from("base"),
            weights_mb: 800.0,
            adapter_mb: 10.0,
        }],
    };
    let bases = [ModelName::from("base")];
    assert_eq!(spec.adapter_capacity(&bases), 20);
    spec.weights_mb = 2_000.0;
    assert_eq!(spec.adapter_capacity(&bases), 30);
}

fn history(repeat: RepeatPolicy, runs: u32, refusals: u32) -> AttemptHistory {
    AttemptHistory {
        repeat,
        runs,
        refusals,
        max_runs: 2,
    }
}

#[test]
fn requests_that_may_have_run_are_repeated_only_if_idempotent() {
    let failed = AttemptOutcome::Answered { failed: true };
    for repeat in [
        RepeatPolicy::Idempotent,
        RepeatPolicy::Stream { resumable: true },
    ] {
        assert_eq!(
            attempt::next(&history(repeat, 1, 0), AttemptOutcome::Lost),
            NextStep::Retry
        );
        assert_eq!(
            attempt::next(&history(repeat, 2, 0), AttemptOutcome::Lost),
            NextStep::Fail
        );
        assert_eq!(
            attempt::next(&history(repeat, 1, 0), failed),
            NextStep::Retry
        );
    }
    for repeat in [
        RepeatPolicy::Never,
        RepeatPolicy::Stream { resumable: false },
    ] {
        assert_eq!(
            attempt::next(&history(repeat, 1, 0), AttemptOutcome::Lost),
            NextStep::Fail
        );
        assert_eq!(
            attempt::next(&history(repeat, 1, 0), failed),
            NextStep::PassOn
        );
    }
}

#[test]
fn only_requests_that_did_not_run_are_refused() {
    let never = RepeatPolicy::Never;
    assert_eq!(
        attempt::next(&history(never, 0, 1), AttemptOutcome::NotRun),
        NextStep::Retry
    );
    assert_eq!(
        attempt::next(&history(never, 0, 6), AttemptOutcome::NotRun),
        NextStep::Refuse
    );
    assert_eq!(
        attempt::next(
            &history(RepeatPolicy::Idempotent, 1, 6),
            AttemptOutcome::NotRun
        ),
        NextStep::Fail
    );
}

fn server_table(servers: &[(&str, &str)]) -> ServerTable {
    let near = DataCentre::from("near");
    let mut table = ServerTable::new(HashMap::from([(near, Distance::Near)]));
    for (name, data_centre) in servers {
        table.set_server(announcement(name, data_centre, 4));
    }
    table
}

fn choose(table: &ServerTable, model: &str, tried: &[ServerName], now: MonoMs) -> Choice {
    let service = ServiceName::from("models");
    let model = ModelName::from(model);
    let requirements = Requirements {
        service: &service,
        model: Some(&model),
        version: None,
        software: None,
        tried,
        tie_breaker: 1,
        tries_unreached: false,
    };
    table.choose(&requirements, now)
}

fn chosen(choice: &Choice) -> &str {
    match choice {
        Choice::Send { server, .. } => server.as_str(),
        other => panic!("no server: {other:?}"),
    }
}

#[test]
fn an_adapter_is_served_where_it_is_present() {
    let mut table = server_table(&[("a", "near"), ("b", "far")]);
    let model = ModelName::from("base/x");
    assert_eq!(choose(&table, "base/x", &[], NOW), Choice::NotPresent);
    table.set_residency(&ServerName::from("b"), &model, 1, Some(MonoMs(0)));
    assert_eq!(chosen(&choose(&table, "base/x", &[], NOW)), "b");
    table.set_residency(&ServerName::from("a"), &model, 1, Some(MonoMs(0)));
    assert_eq!(chosen(&choose(&table, "base/x", &[], NOW)), "a");
}

#[test]
fn a_load_that_ends_soon_is_waited_for() {
    let mut table = server_table(&[("a", "near")]);
    let ready = NOW.plus(200);
    table.set_residency(
        &ServerName::from("a"),
        &ModelName::from("base/x"),
        1,
        Some(ready),
    );
    assert_eq!(choose(&table, "base/x", &[], NOW), Choice::WaitUntil(ready));
    assert_eq!(chosen(&choose(&table, "base/x", &[], ready)), "a");
}

#[test]
fn a_repeated_announcement_keeps_the_retry_delay_of_an_adapter() {
    let mut table = server_table(&[("a", "near")]);
    let server = ServerName::from("a");
    let model = ModelName::from("base/x");
    table.set_residency(&server, &model, 1, Some(NOW));
    assert!(!table.on_adapter_missing(&server, &model, NOW));
    table.set_residency(&server, &model, 1, Some(MonoMs(0)));
    assert_matches!(choose(&table, "base/x", &[], NOW), Choice::WaitUntil(_));
}

#[test]
fn an_adapter_that_stays_missing_is_reported() {
    let mut table = server_table(&[("a", "near")]);
    let server = ServerName::from("a");
    let model = ModelName::from("base/x");
    table.set_residency(&server, &model, 1, Some(MonoMs(0)));
    assert!(table.on_adapter_missing(&server, &model, NOW));
}

#[test]
fn full_and_failing_servers_are_avoided() {
    let mut table = server_table(&[("a", "near"), ("b", "near")]);
    let a = ServerName::from("a");
    let full = ServerLoad {
        running: 4,
        waiting: 40,
        slots: 4,
    };
    table.set_reported_load(&a, full, NOW);
    assert_eq!(chosen(&choose(&table, "base", &[], NOW)), "b");
    let b = ServerName::from("b");
    for _ in 0..20 {
        table.record_outcome(&b, true, NOW);
    }
    assert_eq!(chosen(&choose(&table, "base", &[], NOW)), "a");
    table.avoid(&a, NOW.plus(500));
    assert_eq!(chosen(&choose(&table, "base", &[], NOW)), "b");
}

#[test]
fn a_server_that_leaves_gets_no_new_work() {
    let mut table = server_table(&[("a", "near")]);
    let mut leaving = announcement("a", "near", 4);
    leaving.state = ServerState::Leaving;
    table.set_server(leaving);
    assert_eq!(choose(&table, "base", &[], NOW), Choice::NoServer);
}

#[test]
fn a_server_that_failed_the_request_is_tried_last() {
    let table = server_table(&[("a", "near"), ("b", "far")]);
    let a = ServerName::from("a");
    assert_eq!(chosen(&choose(&table, "base", &[], NOW)), "a");
    assert_eq!(
        chosen(&choose(&table, "base", std::slice::from_ref(&a), NOW)),
        "b"
    );
    let both = [a, ServerName::from("b")];
    assert_eq!(chosen(&choose(&table, "base", &both, NOW)), "a");
}

#[test]
fn requests_with_long_waits_are_refused_low_priority_first() {
    assert_eq!(admission::retry_after_ms(300, 600, 0), None);
    assert_eq!(admission::retry_after_ms(500, 600, 2), Some(200));
    assert_eq!(admission::retry_after_ms(1_600, 600, 0), Some(1_000));
    assert_eq!(admission::retry_after_ms(239, 600, 9), None);
}

/// With a third of the engines left and unchanged load, the queues of the servers stay bounded.
#[test]
fn excess_requests_do_not_queue_up_at_the_servers() {
    let mut table = server_table(&[("a", "near")]);
    let a = ServerName::from("a");
    let service = ServiceName::from("models");
    for _ in 0..200 {
        table.record_duration(&service, 2_000);
    }
    let mut refused = 0;
    for _ in 0..100 {
        let Choice::Send { delay_ms, .. } = choose(&table, "base", &[], NOW) else {
            panic!("no server");
        };
        match admission::retry_after_ms(delay_ms, 600, 0) {
            Some(_) => refused += 1,
            None => table.record_dispatch(&a, 0),
        }
    }
    let occupied = table.get(&a).map(|view| view.in_flight).unwrap();
    assert!(occupied <= 6, "{occupied} requests at 4 places");
    assert_eq!(refused + occupied, 100);
}

#[test]
fn failed_requests_do_not_count_as_queueing_delay() {
    let mut table = server_table(&[("a", "near")]);
    for _ in 0..20 {
        table.record_outcome(&ServerName::from("a"), true, NOW);
    }
    let choice = choose(&table, "base", &[], NOW);
    assert_matches!(choice, Choice::Send { delay_ms: 0, .. });
}
