//! Grace periods: how long requests wait for state that their VM lacks temporarily.

use std::time::Duration;

use medlarlift::gateway::grace_period;
use tokio::time::Instant;

fn wait_ms(caller_ms: Option<u64>) -> u128 {
    let started = Instant::now();
    (grace_period::deadline(started, caller_ms) - started).as_millis()
}

#[test]
fn a_wait_uses_a_small_share_of_the_callers_timeout() {
    assert_eq!(wait_ms(Some(3_000)), 600);
    assert_eq!(wait_ms(Some(500)), 100);
    assert_eq!(wait_ms(Some(0)), 0);
    assert_eq!(wait_ms(None), 400);
}

/// Callers abandon a stream whose first event does not arrive within two seconds.
#[test]
fn a_wait_ends_before_stream_callers_disconnect() {
    assert_eq!(wait_ms(Some(15_000)), 1_200);
    assert_eq!(wait_ms(Some(600_000)), 1_200);
}

#[test]
fn tokens_are_retried_only_before_the_deadline() {
    let started = Instant::now();
    let deadline = started + Duration::from_millis(300);
    let after = |ms| started + Duration::from_millis(ms);
    assert_eq!(
        grace_period::next_attempt(started, deadline, 120),
        Some(after(120))
    );
    assert_eq!(
        grace_period::next_attempt(started, deadline, 1),
        Some(after(50))
    );
    assert_eq!(
        grace_period::next_attempt(started, deadline, 60_000),
        Some(after(200))
    );
    assert_eq!(grace_period::next_attempt(after(200), deadline, 120), None);
}
