//! Invalid requests: each is refused with the field and value at fault and leaves no state behind.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::Reply;
use medlarlift::types::Clock;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SOUTH;
use crate::deployment::assert_refused;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;

const WEEK_MS: u64 = 7 * 24 * 60 * 60 * 1_000;
/// Timeout of the VM for receiving a body, with a margin.
const SLOW_LIMIT: Duration = Duration::from_secs(15);

/// An invalid request and the expected refusal.
struct Case {
    body: Value,
    account: &'static str,
    headers: Vec<(&'static str, String)>,
    status: StatusCode,
    code: &'static str,
    field: &'static str,
    value: String,
}

/// A case with an invalid body.
fn wrong_body(body: Value, field: &'static str, value: &str) -> Case {
    Case {
        body,
        account: NORTH,
        headers: Vec::new(),
        status: StatusCode::BAD_REQUEST,
        code: "bad_request",
        field,
        value: value.to_owned(),
    }
}

/// A case with an invalid header.
fn wrong_header(name: &'static str, value: impl ToString) -> Case {
    Case {
        headers: vec![(name, value.to_string())],
        ..wrong_body(good(), name, &value.to_string())
    }
}

fn good() -> Value {
    completion(&model(1), "hello", 4)
}

fn wrong_fields() -> Vec<Case> {
    let with = |name: &str, value: Value| {
        let mut body = good();
        body[name] = value;
        body
    };
    let without = |name: &str| {
        let mut body = good();
        body.as_object_mut().expect("it is an object").remove(name);
        body
    };
    vec![
        wrong_body(without("model"), "model", "missing"),
        wrong_body(without("prompt"), "prompt", "missing"),
        wrong_body(with("model", json!("lens")), "model", "lens"),
        wrong_body(
            with("model", json!("base:lens-1@x")),
            "model",
            "base:lens-1@x",
        ),
        wrong_body(with("max_tokens", json!(0)), "max_tokens", "0"),
        wrong_body(with("max_tokens", json!(32_769)), "max_tokens", "32769"),
        wrong_body(with("max_tokens", json!(-1)), "body", "(body)"),
        wrong_body(with("stream", json!("yes")), "body", "(body)"),
        wrong_body(json!([1, 2]), "body", "(body)"),
    ]
}

fn wrong_headers(now: u64) -> Vec<Case> {
    let name = "x-deadline-unix-ms";
    let past = Case {
        status: StatusCode::GATEWAY_TIMEOUT,
        code: "deadline_unreachable",
        ..wrong_header(name, now - 1_000)
    };
    vec![
        wrong_header("x-patience", "soon"),
        wrong_header("x-request-id", "a b"),
        wrong_header("x-request-id", "a~t1~engine-1"),
        wrong_header("x-request-id", "x".repeat(97)),
        wrong_header(name, "tomorrow"),
        wrong_header(name, now + WEEK_MS + 60_000),
        past,
    ]
    .into_iter()
    .map(shorten_value)
    .collect()
}

/// Truncates the expected value: refusals show at most the first 96 characters of an id.
fn shorten_value(mut case: Case) -> Case {
    case.value.truncate(96);
    case
}

fn not_granted() -> Vec<Case> {
    let forbidden = |body, field, value: &str| Case {
        account: SOUTH,
        status: StatusCode::FORBIDDEN,
        code: "forbidden",
        ..wrong_body(body, field, value)
    };
    let other = completion("base:frames-1@1", "hello", 4);
    vec![
        forbidden(other.clone(), "model", "base:frames-1@1"),
        Case {
            headers: vec![("x-account", NORTH.to_owned())],
            ..forbidden(other, "model", "base:frames-1@1")
        },
        Case {
            headers: vec![("x-patience", "patient".to_owned())],
            ..forbidden(good(), "x-patience", "patient")
        },
    ]
}

async fn check(deployment: &Deployment, case: &Case) {
    let mut call = call(deployment.callers[0], case.account, &case.body);
    for (name, value) in &case.headers {
        call = call.header(name, value);
    }
    let reply = deployment.client.send_within(call, 5_000).await;
    let reply = reply.expect("a wrong request is answered");
    assert_refused(&reply, case.status, case.code, "not_run");
    let error = &reply.value()["error"];
    assert_eq!(error["field"], case.field, "{error}");
    assert_eq!(error["value"], *case.value, "{error}");
}

/// Sends requests with a missing or invalid key, and with a body that is not JSON or too large.
async fn check_raw(deployment: &Deployment) {
    let send = async |call: Call| -> Reply {
        let reply = deployment.client.send_within(call, 5_000).await;
        reply.expect("a wrong request is answered")
    };
    let vm = deployment.callers[0];
    let mut malformed = call(vm, NORTH, &good());
    malformed.body = "{\"model\": ".into();
    let reply = send(malformed).await;
    assert_refused(&reply, StatusCode::BAD_REQUEST, "bad_request", "not_run");
    let large = call(vm, NORTH, &completion(&model(1), &"x".repeat(70_000), 4));
    let reply = send(large).await;
    assert_refused(
        &reply,
        StatusCode::PAYLOAD_TOO_LARGE,
        "too_large",
        "not_run",
    );
    let huge = call(vm, NORTH, &completion(&model(1), &"x".repeat(400_000), 4));
    // The server may close the connection while the caller is still sending.
    if let Ok(reply) = deployment.client.send_within(huge, 5_000).await {
        assert_eq!(reply.status, StatusCode::PAYLOAD_TOO_LARGE);
    }
    for value in ["", "Bearer", "Basic abc", "Bearer unknown"] {
        let reply = send(call(vm, NORTH, &good()).header("authorization", value)).await;
        assert_refused(&reply, StatusCode::UNAUTHORIZED, "unauthorized", "not_run");
    }
}

/// Requests adapters that no engine can load: the base model is unknown, or every load fails.
async fn check_unknown_adapters(deployment: &Deployment) {
    let reply = deployment
        .complete(0, NORTH, &completion("absent:lens-1@1", "hello", 4))
        .await;
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    assert_refused(&reply, unavailable, "no_backend", "not_run");
    let deadline = (Clock::start().unix().0 + 1_000).to_string();
    for model in ["base:lens-99@1", "base:lens-1@2"] {
        let call = call(deployment.callers[0], NORTH, &completion(model, "hello", 4))
            .header("x-deadline-unix-ms", &deadline);
        let reply = deployment.client.send_within(call, 5_000).await;
        let reply = reply.expect("an expired request is answered");
        let late = StatusCode::GATEWAY_TIMEOUT;
        assert_refused(&reply, late, "deadline_unreachable", "not_run");
    }
}

/// Sends the head and half of a body, then either nothing more or the end of the stream. Returns
/// the answer.
async fn send_half(vm: SocketAddr, half_close: bool) -> String {
    let mut stream = TcpStream::connect(vm).await.expect("the VM listens");
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: vm\r\nauthorization: Bearer {}\r\n\
         content-length: 200\r\n\r\n{{\"model\": \"base:lens-1@1\", ",
        key(NORTH)
    );
    stream.write_all(head.as_bytes()).await.expect("it is open");
    if half_close {
        stream.shutdown().await.expect("it is open");
    }
    let mut answer = vec![0; 4_096];
    let read = timeout(SLOW_LIMIT, stream.read(&mut answer)).await;
    let length = read.expect("the VM ends the request in time").unwrap_or(0);
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

async fn check_slow_callers(vm: SocketAddr) {
    let (slow, cut) = tokio::join!(send_half(vm, false), send_half(vm, true));
    assert!(slow.starts_with("HTTP/1.1 400 "), "{slow}");
    // A caller that has closed its sending side may get the refusal or the end of the connection.
    assert!(cut.is_empty() || cut.starts_with("HTTP/1.1 400 "), "{cut}");
}

/// Guards against invalid requests that are dispatched, get a refusal without the field at fault,
/// use another account's permissions, or leave a queued item, an adapter in use or a connection
/// behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_requests_are_refused_and_leave_no_state_behind() {
    let builder = Builder::new(1).engines(1, |engine| engine.load_failure_ratio = 1.0);
    let mut deployment = builder.start().await;
    let before = deployment.dispatched();
    let slow = tokio::spawn(check_slow_callers(deployment.callers[0]));
    let now = Clock::start().unix().0;
    let groups = [wrong_fields(), wrong_headers(now), not_granted()];
    for case in groups.iter().flatten() {
        check(&deployment, case).await;
    }
    check_raw(&deployment).await;
    check_unknown_adapters(&deployment).await;
    slow.await.expect("slow callers are refused");
    assert_eq!(deployment.dispatched(), before);
    assert!(deployment.close_vm(0).await, "something was left behind");
}
