//! Registry of backend servers: delayed and reordered heartbeats, reused names and addresses.

use medlarlift::registry::Announcement;
use medlarlift::registry::Change;
use medlarlift::registry::ServerState;
use medlarlift::registry::Table;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::ServiceName;
use medlarlift::types::SoftwareVersion;

fn heartbeat(name: &str, started_unix_ms: u64, sequence: u64) -> Announcement {
    Announcement {
        server: ServerName::from(name),
        started_unix_ms,
        sequence,
        service: ServiceName::from("models"),
        address: format!("127.0.0.1:{}", 1_000 + name.len()).parse().unwrap(),
        data_centre: DataCentre::from("north"),
        slots: 4,
        state: ServerState::Ready,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
        models: Vec::new(),
    }
}

fn leaving(mut heartbeat: Announcement) -> Announcement {
    heartbeat.state = ServerState::Leaving;
    heartbeat
}

#[test]
fn late_heartbeats_change_nothing() {
    let mut table = Table::default();
    assert_eq!(
        table.observe(heartbeat("a", 10, 5), MonoMs(0)),
        Change::Changed
    );
    assert_eq!(
        table.observe(heartbeat("a", 10, 6), MonoMs(1)),
        Change::Unchanged
    );
    assert_eq!(
        table.observe(leaving(heartbeat("a", 10, 7)), MonoMs(2)),
        Change::Changed
    );
    assert_eq!(
        table.observe(heartbeat("a", 10, 6), MonoMs(3)),
        Change::Stale
    );
    assert_eq!(
        table.observe(heartbeat("a", 9, 99), MonoMs(4)),
        Change::Stale
    );
    let state = table.get("a").map(|record| record.announcement.state);
    assert_eq!(state, Some(ServerState::Leaving));
}

#[test]
fn a_server_that_left_comes_back_only_as_a_later_process() {
    let mut table = Table::default();
    table.observe(heartbeat("a", 10, 5), MonoMs(0));
    assert!(table.leave(&ServerName::from("a"), 10, MonoMs(1)));
    assert_eq!(
        table.observe(heartbeat("a", 10, 6), MonoMs(2)),
        Change::Stale
    );
    assert_eq!(
        table.observe(heartbeat("a", 11, 1), MonoMs(3)),
        Change::Changed
    );
    // The notice of the earlier process arrives late.
    assert!(!table.leave(&ServerName::from("a"), 10, MonoMs(4)));
    assert!(table.get("a").is_some());
}

/// Guards against a heartbeat that arrives late and undoes, once a leaving server has fallen silent, that
/// it leaves.
#[test]
fn a_leaving_server_that_fell_silent_stays_so_when_an_older_heartbeat_arrives() {
    let mut table = Table::default();
    table.observe(leaving(heartbeat("a", 10, 5)), MonoMs(0));
    assert_eq!(table.expire(MonoMs(1)), [ServerName::from("a")]);
    let late = table.observe(heartbeat("a", 10, 4), MonoMs(2));
    assert_eq!(late, Change::Stale);
    let repeated = table.observe(heartbeat("a", 10, 5), MonoMs(3));
    assert_eq!(repeated, Change::Stale);
    assert!(table.get("a").is_none());
    assert_eq!(table.tombstones().count(), 0, "its process has not ended");
    let next = table.observe(leaving(heartbeat("a", 10, 6)), MonoMs(4));
    assert_eq!(next, Change::Changed);
}

#[test]
fn a_later_process_at_the_same_address_displaces_the_earlier_one() {
    let mut table = Table::default();
    table.observe(heartbeat("a", 10, 5), MonoMs(0));
    assert_eq!(
        table.observe(heartbeat("b", 20, 1), MonoMs(1)),
        Change::Changed
    );
    assert!(table.get("a").is_none());
    assert_eq!(
        table.observe(heartbeat("a", 10, 6), MonoMs(2)),
        Change::Stale
    );
}

#[test]
fn silent_servers_expire() {
    let mut table = Table::default();
    table.observe(heartbeat("a", 10, 5), MonoMs(0));
    table.observe(heartbeat("long", 10, 5), MonoMs(0));
    table.refresh(&ServerName::from("long"), MonoMs(900));
    assert_eq!(table.expire(MonoMs(500)), [ServerName::from("a")]);
    assert!(table.get("long").is_some());
}
