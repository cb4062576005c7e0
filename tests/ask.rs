//! Tests of the `ask` command against a server with fixed answers.

use std::net::SocketAddr;
use std::process::Output;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use medlarlift::commands::ask::EXIT_NO_RESPONSE;
use medlarlift::commands::ask::EXIT_NOT_RUN;
use medlarlift::commands::ask::EXIT_RAN;
use medlarlift::commands::ask::EXIT_UNKNOWN;
use medlarlift::standin::server;
use medlarlift::standin::server::Body;
use medlarlift::standin::server::Connections;
use medlarlift::standin::server::Handler;
use medlarlift::standin::server::Server;
use serde_json::json;
use tokio::process::Command;

/// A server whose answer depends on the path, and for completions on the model.
struct FixedVm;

fn error(run: &str) -> Response<Body> {
    let body = json!({ "error": { "code": "overloaded", "message": "busy", "run": run } });
    server::json(StatusCode::SERVICE_UNAVAILABLE, &body)
}

fn chunk(index: u64) -> Bytes {
    let chunk = json!({ "choices": [{ "index": 0, "text": format!("t{index} ") }] });
    Bytes::from(format!("id: {index}\ndata: {chunk}\n\n"))
}

fn stream(frames: Vec<Bytes>) -> Response<Body> {
    server::events(futures::stream::iter(frames))
}

impl Handler for FixedVm {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        let authorized = request.headers().get("authorization")? == "Bearer secret-key";
        let after = request.headers().get("last-event-id").cloned();
        let body: serde_json::Value = server::read_json(request).await.unwrap_or_default();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        Some(match (parts.as_slice(), body["model"].as_str()) {
            _ if !authorized => error("not_run"),
            (["v1", "completions"], Some("base:broken@1")) => stream(vec![chunk(0)]),
            (["v1", "completions"], Some("base:fails@1")) => error(body["prompt"].as_str()?),
            (["v1", "completions"], _) => {
                let body = json!({ "choices": [{ "index": 0, "text": "the answer" }] });
                server::json(StatusCode::OK, &body)
            }
            (["v1", "streams", _], _) if after? == "0" => {
                stream(vec![chunk(1), Bytes::from("data: [DONE]\n\n")])
            }
            (["v1", "jobs"], _) => server::json(StatusCode::ACCEPTED, &json!({ "id": "j7" })),
            (["v1", "jobs", "j7", ..], _) => server::json(StatusCode::OK, &json!({ "seen": path })),
            (["services", ..], _) => server::json(StatusCode::OK, &body),
            _ => error("not_run"),
        })
    }
}

async fn ask(vm: SocketAddr, arguments: &[&str]) -> Output {
    let folder = tempfile::tempdir().expect("temporary folder");
    let key_file = folder.path().join("key");
    std::fs::write(&key_file, "secret-key\n").expect("key file");
    Command::new(env!("CARGO_BIN_EXE_medlarlift"))
        .args(["ask", "--server", &vm.to_string(), "--key-file"])
        .arg(&key_file)
        .args(arguments)
        .output()
        .await
        .expect("command runs")
}

async fn fixed_vm() -> Server {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any, Arc::new(FixedVm), Connections::new()).await;
    server.expect("VM starts")
}

/// Guards against an answer that is not printed, an interrupted stream that is not resumed after
/// its last token, and a patient or order request that is sent to the wrong path.
#[tokio::test]
async fn answers_are_printed() {
    let vm = fixed_vm().await;
    let completion = ["--model", "base:a@1", "--prompt", "p"];
    let broken = ["--model", "base:broken@1", "--prompt", "p"];
    let order = [
        "--path",
        "/services/records/orders",
        "--idempotency-key",
        "k",
    ];
    let cases: [(Vec<&str>, &str); 7] = [
        ([&["live"], &completion[..]].concat(), "the answer"),
        ([&["streamed"], &broken[..]].concat(), "t0 t1 "),
        ([&["patient", "submit"], &completion[..]].concat(), "\"j7\""),
        (vec!["patient", "status", "j7"], "/v1/jobs/j7\""),
        (vec!["patient", "result", "j7"], "/v1/jobs/j7/result"),
        (vec!["patient", "cancel", "j7"], "/v1/jobs/j7\""),
        (
            [&["order", "--body", "{\"n\": 5}"], &order[..]].concat(),
            "\"n\": 5",
        ),
    ];
    for (arguments, expected) in cases {
        let output = ask(vm.address(), &arguments).await;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success(), "{arguments:?}: {output:?}");
        assert!(text.contains(expected), "{arguments:?}: {text}");
    }
}

/// Guards against an exit code that means that a request did not run although it may have, and
/// against a key in the output.
#[tokio::test]
async fn exit_codes_tell_whether_the_request_ran() {
    let vm = fixed_vm().await;
    for (run, code) in [
        ("not_run", EXIT_NOT_RUN),
        ("ran", EXIT_RAN),
        ("unknown", EXIT_UNKNOWN),
        ("", EXIT_UNKNOWN),
    ] {
        let arguments = ["live", "--model", "base:fails@1", "--prompt", run];
        let output = ask(vm.address(), &arguments).await;
        assert_eq!(output.status.code(), Some(code.into()), "{run}: {output:?}");
        let printed = [output.stdout, output.stderr].concat();
        assert!(!String::from_utf8_lossy(&printed).contains("secret-key"));
    }
    let closed_address = vm.address();
    drop(vm);
    tokio::task::yield_now().await;
    let output = ask(closed_address, &["live", "--model", "m", "--prompt", "p"]).await;
    assert_eq!(output.status.code(), Some(EXIT_NO_RESPONSE.into()));
}
