//! Rests that backend servers ask for, without input and output.

use std::time::Duration;
use std::time::SystemTime;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header;
use medlarlift::limits::AskedRest;
use medlarlift::limits::MAX_REST_MS;
use medlarlift::limits::ServerRest;
use medlarlift::types::MonoMs;

/// A time whose date is in the tests below.
const NOW: Duration = Duration::from_secs(784_111_777);

fn read(status: StatusCode, values: &[&'static [u8]]) -> AskedRest {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).unwrap();
        headers.append(header::RETRY_AFTER, value);
    }
    AskedRest::read(status, &headers, SystemTime::UNIX_EPOCH + NOW)
}

fn read_unavailable(value: &'static str) -> AskedRest {
    read(StatusCode::SERVICE_UNAVAILABLE, &[value.as_bytes()])
}

#[test]
fn seconds_fractions_and_dates_are_read() {
    assert_eq!(read_unavailable("3"), AskedRest::ForMs(3_000));
    assert_eq!(read_unavailable(" 0.25 "), AskedRest::ForMs(250));
    assert_eq!(
        read_unavailable("Sun, 06 Nov 1994 08:49:40 GMT"),
        AskedRest::ForMs(3_000)
    );
    // A date that has passed asks for no time.
    assert_eq!(
        read_unavailable("Sun, 06 Nov 1994 08:49:30 GMT"),
        AskedRest::ForMs(0)
    );
}

/// Guards against a garbled value that takes a server out of use for good.
#[test]
fn absurd_rests_are_bounded() {
    for value in ["1e300", "999999999999999999999"] {
        assert_eq!(read_unavailable(value), AskedRest::ForMs(MAX_REST_MS));
    }
    assert_eq!(
        read_unavailable("Fri, 31 Dec 9999 23:59:59 GMT"),
        AskedRest::ForMs(MAX_REST_MS)
    );
}

#[test]
fn malformed_rests_are_told_apart_from_none() {
    for value in ["", "soon", "-1", "NaN", "inf", "3 s"] {
        let invalid = AskedRest::Invalid(value.into());
        assert_eq!(read_unavailable(value), invalid);
    }
    let unreadable = read(StatusCode::SERVICE_UNAVAILABLE, &[b"\xff"]);
    assert_eq!(unreadable, AskedRest::Invalid("\u{fffd}".into()));
    assert_eq!(read(StatusCode::SERVICE_UNAVAILABLE, &[]), AskedRest::None);
}

#[test]
fn the_longest_of_several_rests_counts() {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    for values in [[b"1" as &[u8], b"2", b"x"], [b"x", b"2", b"1"]] {
        assert_eq!(read(unavailable, &values), AskedRest::ForMs(2_000));
    }
}

#[test]
fn only_answers_that_turn_a_request_away_ask_for_rest() {
    let rest = AskedRest::ForMs(3_000);
    assert_eq!(read(StatusCode::TOO_MANY_REQUESTS, &[b"3"]), rest);
    for status in [StatusCode::OK, StatusCode::FOUND, StatusCode::BAD_GATEWAY] {
        assert_eq!(read(status, &[b"3"]), AskedRest::None);
    }
}

/// Guards against a later answer with a shorter rest that ends the one in force.
#[test]
fn a_shorter_rest_does_not_end_a_longer_one() {
    let mut rest = ServerRest::default();
    rest.ask(3_000, MonoMs(1_000));
    rest.ask(100, MonoMs(2_000));
    assert_eq!(rest.left_ms(MonoMs(2_500)), 1_500);
    assert_eq!(rest.left_ms(MonoMs(4_000)), 0);
}
