//! Tests of the analysis of lost and late requests from structured logs.

use medlarlift::losses::AdapterHistories;
use medlarlift::losses::AdapterState;
use medlarlift::losses::LogLines;
use medlarlift::losses::Outcome;
use medlarlift::losses::read;
use medlarlift::losses::tables;
use medlarlift::types::ModelName;

const ENTRY_LOG: &str = r#"
{"at_unix_ms":10400,"at_ms":1,"vm":"entry","event":"request","request_id":"r1","route":"notes","target_ms":1000,
"#;

fn request(
    id: &str,
    at: u64,
    model: &str,
    status: u16,
    reason: Option<&str>,
    waited: u64,
) -> String {
    let reason = reason.map_or("null".to_owned(), |reason| format!("{reason:?}"));
    format!(
        r#"{{"at_unix_ms":{at},"at_ms":1,"vm":"entry","event":"request","request_id":"{id}","route":"notes","target_ms":1000,"account":"acme","model":"{model}","servers":[],"sends":[],"status":{status},"reason":{reason},"waited_ms":{waited},"first_ms":{waited},"total_ms":{waited},"events":0}}"#
    ) + "\n"
}

fn order(at: u64, model: &str, load: bool, outcome: &str) -> String {
    format!(
        r#"{{"at_unix_ms":{at},"at_ms":1,"vm":"control","event":"order","server":"e1","model":"{model}","load":{load},"outcome":"{outcome}"}}"#
    ) + "\n"
}

fn lines(logs: &[String]) -> LogLines {
    let mut lines = LogLines::default();
    for log in logs {
        read(log.as_bytes(), &mut lines).unwrap();
    }
    lines
}

/// Guards against a parser that stops at a malformed line or ignores it without counting it.
#[test]
fn malformed_and_truncated_lines_are_counted() {
    let good = request("r1", 10_400, "base/a1", 200, None, 10);
    let lost = "{\"event\":\"lines_lost\",\"lines\":7}\n".to_owned();
    let lines = lines(&[ENTRY_LOG.to_owned(), good, "\u{0}garbage".to_owned(), lost]);
    assert_eq!(lines.requests.len(), 1);
    assert_eq!(lines.malformed, 2);
    assert_eq!(lines.left_out, 7);
}

#[test]
fn requests_are_grouped_by_common_properties() {
    let entry = [
        request("in-time", 10_500, "base/a1", 200, None, 500),
        request("late", 12_000, "base/a1", 200, None, 1_800),
        request(
            "refused",
            13_000,
            "base/a2",
            503,
            Some("adapter_absent"),
            2_900,
        ),
        request("lost", 13_000, "base/a1", 502, Some("answer_lost"), 30),
    ];
    let lines = lines(&entry);
    let outcomes: Vec<Outcome> = lines.requests.iter().map(Outcome::of).collect();
    let expected = [
        Outcome::OnTime,
        Outcome::Late,
        Outcome::Refused,
        Outcome::Failed,
    ];
    assert_eq!(outcomes, expected);
    let all = tables(&lines);
    assert_eq!(all[0].lost("adapter_absent"), 1);
    assert_eq!(all[0].lost("answered"), 1);
    assert_eq!(all[2].lost("notes"), 3);
    assert_eq!(all[3].names().collect::<Vec<_>>(), ["acme"]);
    assert!(all[0].to_string().contains("wait p90 ms"));
}

#[test]
fn the_state_of_an_adapter_follows_from_the_orders() {
    let log = [
        order(10_000, "base/a1", true, "accepted"),
        order(20_000, "base/a1", false, "holds"),
        order(20_500, "base/a1", true, "conflict"),
        order(30_000, "base/a1", true, "accepted"),
    ];
    let lines = lines(&log);
    let histories = AdapterHistories::new(&lines.orders);
    let model = ModelName::from("base/a1");
    let state = |from, to| histories.state(Some(&model), from, to);
    assert_eq!(state(5_000, 6_000), AdapterState::NeverLoaded);
    assert_eq!(state(9_900, 10_400), AdapterState::LoadStarted);
    assert_eq!(state(15_000, 15_100), AdapterState::Held);
    assert_eq!(state(20_400, 21_000), AdapterState::NeverLoaded);
    let base = ModelName::from("base");
    assert_eq!(histories.state(Some(&base), 1, 2), AdapterState::None);
}
