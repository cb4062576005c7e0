//! Servers that state in their answers that they are about to leave: selection of servers.

use std::collections::HashMap;

use assert_matches::assert_matches;
use medlarlift::gateway::server_table::Choice;
use medlarlift::gateway::server_table::Requirements;
use medlarlift::gateway::server_table::ServerTable;
use medlarlift::registry::Announcement;
use medlarlift::registry::ServerState;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::SoftwareVersion;

const STARTED_UNIX_MS: u64 = 1_000;
/// More servers than are remembered.
const MANY: usize = 5_000;

fn announcement(name: &str, started_unix_ms: u64, state: ServerState) -> Announcement {
    Announcement {
        server: name.into(),
        started_unix_ms,
        sequence: 1,
        service: "desk".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        data_centre: DataCentre::from("one"),
        slots: 4,
        state,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
        models: Vec::new(),
    }
}

fn ready(name: &str, started_unix_ms: u64) -> Announcement {
    announcement(name, started_unix_ms, ServerState::Ready)
}

fn choose(table: &ServerTable) -> Choice {
    let requirements = Requirements {
        service: &"desk".into(),
        model: None,
        version: None,
        software: None,
        tried: &[],
        tie_breaker: 1,
        tries_unreached: true,
    };
    table.choose(&requirements, MonoMs(0))
}

/// Guards against a server that is chosen because its heartbeats say that it stays, or because it was
/// removed in between.
#[test]
fn a_server_that_leaves_is_chosen_again_as_a_later_process_only() {
    let name = ServerName::from("leaving");
    let mut table = ServerTable::new(HashMap::new());
    table.set_server(ready("leaving", STARTED_UNIX_MS));
    assert_matches!(choose(&table), Choice::Send { .. });
    assert!(table.record_leaving(&name, STARTED_UNIX_MS));
    assert!(!table.record_leaving(&name, STARTED_UNIX_MS), "known");
    assert_eq!(choose(&table), Choice::NoServer);
    table.set_server(ready("leaving", STARTED_UNIX_MS));
    assert_eq!(choose(&table), Choice::NoServer, "a later heartbeat");
    table.remove_server(&name);
    table.set_server(ready("leaving", STARTED_UNIX_MS));
    assert_eq!(choose(&table), Choice::NoServer, "a late heartbeat");
    table.set_server(ready("leaving", STARTED_UNIX_MS + 1));
    assert_matches!(choose(&table), Choice::Send { .. });
    table.record_leaving(&name, STARTED_UNIX_MS);
    assert_matches!(
        choose(&table),
        Choice::Send { .. },
        "an answer of the process before"
    );
}

/// Guards against memory that grows with each server that ever left.
#[test]
fn the_server_that_left_first_is_forgotten_first() {
    let mut table = ServerTable::new(HashMap::new());
    for number in 0..MANY {
        let name = ServerName::from(format!("server-{number}").as_str());
        table.record_leaving(&name, STARTED_UNIX_MS);
    }
    let last = format!("server-{}", MANY - 1);
    table.set_server(ready(&last, STARTED_UNIX_MS));
    assert_eq!(choose(&table), Choice::NoServer, "the last one");
    table.set_server(ready("server-0", STARTED_UNIX_MS));
    assert_matches!(choose(&table), Choice::Send { .. }, "the first one");
}
