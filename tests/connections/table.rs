//! Which connections are closed for want of time or room.

use std::sync::Arc;
use std::task::Poll;

use medlarlift::connections::activity::Activity;
use medlarlift::connections::activity::Closing;
use medlarlift::connections::table::ConnectionTable;
use medlarlift::connections::table::ListenerLimits;
use medlarlift::connections::table::OpenConnection;

const STEP_MS: u64 = 500;
const LIMITS: ListenerLimits = ListenerLimits {
    connections: 3,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
    head_buffer_bytes: 64 * 1024,
};

fn closing(activity: &Arc<Activity>) -> Closing {
    *activity.closing().borrow()
}

fn open(table: &Arc<ConnectionTable>) -> OpenConnection {
    table.open(&LIMITS).expect("there is room")
}

fn advance(table: &ConnectionTable, steps: u64) {
    for _ in 0..steps {
        table.advance(STEP_MS, &LIMITS);
    }
}

/// Guards against half a head that keeps its connection for as long as an idle one.
#[test]
fn half_a_head_ends_by_the_header_timeout() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    advance(&table, 20);
    connection.activity().on_read(1);
    advance(&table, 6);
    assert_eq!(closing(connection.activity()), Closing::Open);
    // More bytes do not give it more time.
    connection.activity().on_read(1);
    advance(&table, 1);
    assert_eq!(closing(connection.activity()), Closing::AtOnce);
    assert_eq!(table.closed().slow_head, 1);
}

#[test]
fn a_connection_that_sends_nothing_is_ended() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    advance(&table, 30);
    assert_eq!(closing(connection.activity()), Closing::Open);
    advance(&table, 1);
    assert_eq!(closing(connection.activity()), Closing::AfterRequest);
}

#[test]
fn a_request_that_runs_is_not_ended() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    connection.activity().on_read(10);
    connection.activity().begin_request();
    advance(&table, 1_000);
    assert_eq!(closing(connection.activity()), Closing::Open);
}

/// Guards against a client that reads nothing of its answer and keeps its connection and what it holds.
#[test]
fn a_client_that_reads_nothing_is_ended() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    let activity = connection.activity();
    activity.on_read(10);
    activity.begin_request();
    activity.on_write(&Poll::Pending);
    advance(&table, 20);
    activity.on_write(&Poll::Ready(Ok(1)));
    activity.on_write(&Poll::Pending);
    advance(&table, 30);
    assert_eq!(closing(activity), Closing::Open);
    advance(&table, 1);
    assert_eq!(closing(activity), Closing::AtOnce);
    assert_eq!(table.closed().unread, 1);
}

/// The same for a connection that was asked to close after its answer.
#[test]
fn a_client_that_reads_nothing_does_not_delay_the_end_of_its_connection() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    let activity = connection.activity();
    activity.begin_request();
    activity.end_request();
    advance(&table, 31);
    assert_eq!(closing(activity), Closing::AfterRequest);
    activity.on_write(&Poll::Pending);
    advance(&table, 31);
    assert_eq!(closing(activity), Closing::AtOnce);
}

/// Guards against heads that are closed because the process stood still and has not read them.
#[test]
fn time_for_which_the_process_stood_still_does_not_count() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    connection.activity().on_read(1);
    table.advance(60_000, &LIMITS);
    assert_eq!(closing(connection.activity()), Closing::Open);
}

/// Guards against new callers that are refused while idle connections stay.
#[test]
fn at_the_limit_the_connection_that_was_idle_for_longest_makes_room() {
    let table = Arc::new(ConnectionTable::default());
    let first = open(&table);
    advance(&table, 1);
    let second = open(&table);
    let third = open(&table);
    advance(&table, 1);
    first.activity().on_read(10);
    first.activity().begin_request();
    first.activity().end_request();
    third.activity().on_read(10);
    let fourth = open(&table);
    assert_eq!(closing(second.activity()), Closing::AtOnce);
    for stays in [&first, &third, &fourth] {
        assert_eq!(closing(stays.activity()), Closing::Open);
    }
    drop(second);
    assert_eq!(table.count(), 3);
}

#[test]
fn half_a_head_makes_room_after_idle_connections_and_a_request_never() {
    let table = Arc::new(ConnectionTable::default());
    let connections = [open(&table), open(&table), open(&table)];
    for connection in &connections {
        connection.activity().on_read(10);
    }
    connections[0].activity().begin_request();
    connections[1].activity().begin_request();
    let fourth = open(&table);
    assert_eq!(closing(connections[2].activity()), Closing::AtOnce);
    fourth.activity().on_read(10);
    fourth.activity().begin_request();
    assert!(table.open(&LIMITS).is_none());
    assert_eq!(table.closed().no_room, 1);
}

/// Guards against connections that cannot take a head which a raised limit allows.
#[test]
fn a_raised_head_limit_closes_connections_with_smaller_buffers() {
    let table = Arc::new(ConnectionTable::default());
    let connection = open(&table);
    let raised = ListenerLimits {
        head_buffer_bytes: 128 * 1024,
        ..LIMITS
    };
    table.advance(STEP_MS, &raised);
    assert_eq!(closing(connection.activity()), Closing::AfterRequest);
}
