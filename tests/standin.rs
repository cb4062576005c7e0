//! Tests of the simulated engine, plain service and weight store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use medlarlift::configs::standin_engine::EngineSettings;
use medlarlift::configs::standin_service::ServiceSettings;
use medlarlift::configs::standin_store::StoreSettings;
use medlarlift::standin::announcer::Announcement;
use medlarlift::standin::answer;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use medlarlift::standin::client::Reply;
use medlarlift::standin::engine::RunningEngine;
use medlarlift::standin::events::EventParser;
use medlarlift::standin::events::EventReader;
use medlarlift::standin::server;
use medlarlift::standin::server::Body;
use medlarlift::standin::server::Connections;
use medlarlift::standin::server::Handler;
use medlarlift::standin::server::Server;
use medlarlift::standin::service::RunningService;
use medlarlift::standin::store::RunningStore;
use serde_json::Value;
use serde_json::json;

const MODEL: &str = "base:frames@3";

fn fast_engine() -> EngineSettings {
    EngineSettings {
        token_us: 2_000,
        prefill_us_per_token: 10,
        restart_ms: 100,
        announce_ms: 20,
        resident: vec![MODEL.to_owned()],
        crash_marker: Some("!crash!".to_owned()),
        ..EngineSettings::default()
    }
}

async fn start(settings: EngineSettings) -> RunningEngine {
    RunningEngine::bind(settings).await.expect("engine starts")
}

fn completion(id: &str, prompt: &str, max_tokens: u64) -> Value {
    json!({ "model": MODEL, "request_id": id, "prompt": prompt, "max_tokens": max_tokens })
}

async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> Reply {
    let call = Call::new(address, method, path).json(body);
    let reply = HttpClient::new().send_within(call, 5_000).await;
    reply.expect("a complete response")
}

async fn complete(engine: &RunningEngine, body: &Value) -> Reply {
    call(engine.address(), Method::POST, "/v1/completions", body).await
}

async fn order(engine: &RunningEngine, kind: &str, adapter: &str, fence: u64) -> Reply {
    let body = json!({ "order": kind, "adapter": adapter, "fence": fence });
    call(engine.address(), Method::POST, "/v1/orders", &body).await
}

async fn read_stream(call: Call) -> (String, Option<Value>, bool) {
    let response = HttpClient::new().open(call).await.expect("stream opens");
    let mut events = EventReader::new(response.into_body());
    let (mut text, mut usage, mut done) = (String::new(), None, false);
    while let Some(event) = events.next().await {
        if event.data == "[DONE]" {
            done = true;
            break;
        }
        let chunk: Value = serde_json::from_str(&event.data).expect("chunk is JSON");
        text.push_str(chunk["choices"][0]["text"].as_str().expect("text"));
        usage = chunk.get("usage").cloned().or(usage);
    }
    (text, usage, done)
}

async fn wait_until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(
            start.elapsed() < Duration::from_secs(5),
            "condition not met in 5 s"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against answers in which a caller cannot detect a missing token, an answer to another
/// request or an answer of another adapter version.
#[tokio::test]
async fn whole_streamed_and_resumed_answers_match_the_request() {
    let engine = start(fast_engine()).await;
    let reply = complete(&engine, &completion("r1", "measure the bridge", 6)).await;
    let body = reply.value();
    let text = body["choices"][0]["text"].as_str().expect("text");
    assert_eq!(answer::check(text, MODEL, "measure the bridge", 6), Ok(()));
    assert!(answer::check(text, MODEL, "measure the bridge", 7).is_err());
    assert!(answer::check(text, "base:frames@4", "measure the bridge", 6).is_err());
    assert_eq!(body["request_id"], "r1");
    assert_eq!(body["model"], MODEL);
    assert_eq!(body["incarnation"], engine.incarnation());

    let mut streamed = completion("r2", "measure the bridge", 6);
    streamed["stream"] = json!(true);
    let call = Call::new(engine.address(), Method::POST, "/v1/completions").json(&streamed);
    let (stream_text, usage, done) = read_stream(call).await;
    assert_eq!(stream_text, text);
    assert_eq!(usage.expect("usage")["completion_tokens"], 6);
    assert!(done);

    let call = Call::new(engine.address(), Method::GET, "/v1/streams/r2?from=4");
    let (rest, _, done) = read_stream(call).await;
    assert!(text.ends_with(&rest) && rest.contains(".4 ") && !rest.contains(".3 "));
    assert!(done);
}

/// Guards against a refused request that runs nevertheless, and against an accepted duplicate
/// request id.
#[tokio::test]
async fn refused_requests_do_not_run() {
    let engine = start(fast_engine()).await;
    let mut foreign = completion("r1", "p", 2);
    foreign["model"] = json!("base:frames@4");
    let reply = complete(&engine, &foreign).await;
    assert_eq!(reply.status, StatusCode::CONFLICT);
    assert_eq!(reply.value()["error"]["code"], "not_resident");
    assert_eq!(reply.value()["error"]["run"], "not_run");
    assert_eq!(
        complete(&engine, &completion("r2", "p", 2)).await.status,
        StatusCode::OK
    );
    let again = complete(&engine, &completion("r2", "p", 2)).await;
    assert_eq!(again.value()["error"]["code"], "duplicate_request");
    let counts = engine.counts();
    assert_eq!(
        (
            counts.finished,
            counts.not_resident,
            counts.doubled_request_ids
        ),
        (1, 1, 1)
    );
}

/// Guards against the eviction of an adapter with a running request, and against a load that
/// bypasses the store or the slot limit.
#[tokio::test]
async fn commands_respect_adapter_use_and_slots() {
    let store = RunningStore::bind(StoreSettings {
        load_ms: 30,
        ..StoreSettings::default()
    })
    .await
    .expect("store starts");
    let engine = start(EngineSettings {
        store: Some(store.address()),
        adapter_slots: 2,
        ..fast_engine()
    })
    .await;
    assert_eq!(
        order(&engine, "load", "base:b@1", 1).await.status,
        StatusCode::OK
    );
    assert_eq!(store.counts().loads, 1);
    let full = order(&engine, "load", "base:c@1", 1).await;
    assert_eq!(full.status, StatusCode::SERVICE_UNAVAILABLE);

    let long = completion("r1", "p", 4_000);
    let address = engine.address();
    let running = tokio::spawn(async move {
        let call = Call::new(address, Method::POST, "/v1/completions").json(&long);
        HttpClient::new().send(call).await
    });
    wait_until(|| engine.counts().requests == 1).await;
    assert_eq!(
        order(&engine, "evict", MODEL, 1).await.status,
        StatusCode::LOCKED
    );
    let cancel = call(address, Method::DELETE, "/v1/requests/r1", &Value::Null).await;
    assert_eq!(cancel.value()["cancelled"], true);
    let reply = running.await.expect("task").expect("response").value();
    assert_eq!(reply["choices"][0]["finish_reason"], "cancelled");
    assert_eq!(
        order(&engine, "evict", MODEL, 1).await.status,
        StatusCode::OK
    );
    assert_eq!(engine.resident(), ["base:b@1"]);
    let counts = engine.counts();
    assert_eq!(
        (counts.evict_refusals, counts.evictions, counts.loads),
        (1, 1, 1)
    );
}

/// Guards against a superseded coordinator that still loads or evicts adapters, and against an
/// engine that ignores the fencing token without counting it.
#[tokio::test]
async fn stale_fences_are_refused_or_counted() {
    let checking = start(fast_engine()).await;
    assert_eq!(
        order(&checking, "load", "base:b@1", 7).await.status,
        StatusCode::OK
    );
    let stale = order(&checking, "evict", "base:b@1", 6).await;
    assert_eq!(stale.status, StatusCode::CONFLICT);
    assert_eq!(stale.value()["highest_fence"], 7);
    let ignoring = start(EngineSettings {
        check_fence: false,
        ..fast_engine()
    })
    .await;
    order(&ignoring, "load", "base:b@1", 7).await;
    assert_eq!(
        order(&ignoring, "evict", "base:b@1", 6).await.status,
        StatusCode::OK
    );
    assert_eq!(checking.counts().stale_fence_executed, 0);
    assert_eq!(ignoring.counts().stale_fence_executed, 1);
}

/// Guards against a crash that sends a response, keeps adapters or keeps the incarnation.
#[tokio::test]
async fn crash_drops_connections_and_restarts_empty() {
    let engine = start(fast_engine()).await;
    let before = engine.incarnation();
    let body = completion("r1", "please !crash! now", 2);
    let call = Call::new(engine.address(), Method::POST, "/v1/completions").json(&body);
    assert!(HttpClient::new().send(call).await.is_err());
    wait_until(|| engine.incarnation() > before).await;
    let reply = complete(&engine, &completion("r2", "p", 2)).await;
    assert_eq!(reply.value()["error"]["code"], "not_resident");
    let counts = engine.counts();
    assert_eq!((counts.crashes, counts.lost_in_crash), (1, 1));
}

/// Guards against failed loads that leave a slot occupied, and against a load that continues after
/// the crash of its engine.
#[tokio::test]
async fn failed_and_interrupted_loads_free_their_slots() {
    let store = RunningStore::bind(StoreSettings {
        load_ms: 200,
        ..StoreSettings::default()
    })
    .await
    .expect("store starts");
    let failing = start(EngineSettings {
        load_failure_ratio: 1.0,
        adapter_slots: 2,
        ..fast_engine()
    })
    .await;
    for _ in 0..2 {
        let reply = order(&failing, "load", "base:b@1", 1).await;
        assert_eq!(reply.value()["error"]["code"], "load_failed");
    }
    assert_eq!(failing.resident(), [MODEL]);
    assert_eq!(failing.counts().load_failures, 2);

    let crashing = start(EngineSettings {
        store: Some(store.address()),
        ..fast_engine()
    })
    .await;
    let before = crashing.incarnation();
    let body = json!({ "order": "load", "adapter": "base:b@1", "fence": 1 });
    let load = Call::new(crashing.address(), Method::POST, "/v1/orders").json(&body);
    let load = tokio::spawn(async move { HttpClient::new().send(load).await });
    wait_until(|| store.counts().in_flight == 1).await;
    crashing.crash();
    assert!(load.await.expect("task").is_err());
    wait_until(|| crashing.incarnation() > before && store.counts().in_flight == 0).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(crashing.resident().is_empty());
}

/// Guards against an engine process that exits before its requests end, or that does not exit at
/// all.
#[tokio::test]
async fn engine_process_finishes_its_work_on_sigterm() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let port_probe = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = port_probe.local_addr().expect("address");
    drop(port_probe);
    let settings = json!({
        "name": "e", "address": address.to_string(), "data_centre": "d", "base": "base",
        "resident": [MODEL], "token_us": 10_000,
    });
    let file = folder.path().join("engine.yaml");
    std::fs::write(&file, settings.to_string()).expect("settings file");
    let mut process = tokio::process::Command::new(env!("CARGO_BIN_EXE_medlarlift"))
        .args(["standin", "engine", "--settings"])
        .arg(&file)
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .expect("engine starts");
    let client = HttpClient::new();
    for _ in 0..100 {
        let call = Call::new(address, Method::GET, "/_counts");
        if client.send_within(call, 500).await.is_ok() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let body = completion("r1", "p", 250);
    let call = Call::new(address, Method::POST, "/v1/completions").json(&body);
    let answer = tokio::spawn(async move { client.send(call).await });
    tokio::time::sleep(Duration::from_millis(100)).await;
    let id = process.id().expect("running").to_string();
    let signalled = tokio::process::Command::new("kill")
        .args(["-TERM", &id])
        .status()
        .await;
    assert!(signalled.expect("kill runs").success());
    let reply = answer
        .await
        .expect("task")
        .expect("complete response")
        .value();
    assert_eq!(reply["usage"]["completion_tokens"], 250);
    let ended = tokio::time::timeout(Duration::from_secs(5), process.wait()).await;
    assert!(ended.expect("ends in time").expect("status").success());
}

/// Guards against a batch that leaves positions empty while requests are queued, or that starts
/// low-priority requests before urgent ones.
#[tokio::test]
async fn batch_is_filled_by_priority() {
    let engine = start(EngineSettings {
        batch_positions: 2,
        ..fast_engine()
    })
    .await;
    let address = engine.address();
    let mut tasks = Vec::new();
    for (id, priority) in [("a", 1), ("b", 1), ("c", 1), ("d", 0)] {
        let mut body = completion(id, "p", 20);
        body["priority"] = json!(priority);
        tasks.push(tokio::spawn(async move {
            call(address, Method::POST, "/v1/completions", &body).await;
            (id, Instant::now())
        }));
        let accepted = u64::try_from(tasks.len()).expect("small");
        wait_until(|| engine.counts().requests == accepted).await;
    }
    let mut ends = Vec::new();
    for task in tasks {
        ends.push(task.await.expect("task"));
    }
    let end_of = |name| ends.iter().find(|(id, _)| *id == name).map(|(_, at)| *at);
    assert!(end_of("d") <= end_of("c"));
    let counts = engine.counts();
    assert!(counts.waiting_position_us > 0);
    let filled = counts.waiting_filled_us as f64 / counts.waiting_position_us as f64;
    assert!(filled > 0.9, "filled {filled}");
}

/// Guards against an unbounded prefix cache, and against events that are published without the
/// configured lag or gaps.
#[tokio::test]
async fn prefix_cache_is_bounded_and_reports_late_with_gaps() {
    let engine = start(EngineSettings {
        prefix_cache_tokens: 64,
        cache_event_lag_ms: 200,
        cache_event_gap_ratio: 0.5,
        ..fast_engine()
    })
    .await;
    let prompt = "x".repeat(256);
    complete(&engine, &completion("r1", &prompt, 1)).await;
    complete(&engine, &completion("r2", &prompt, 1)).await;
    assert_eq!(engine.counts().cached_tokens, 64);
    let path = "/v1/cache_events?after=0";
    let early = call(engine.address(), Method::GET, path, &Value::Null).await;
    assert_eq!(early.value()["events"], json!([]));
    let key = answer::prefix_keys(MODEL, &prompt)
        .pop()
        .expect("complete blocks");
    let kv_path = format!("/v1/kv/{key}");
    let exported = call(engine.address(), Method::GET, &kv_path, &Value::Null).await;
    assert_eq!(exported.status, StatusCode::OK);
    for index in 0..10 {
        let other = format!("{index}").repeat(256);
        complete(&engine, &completion(&format!("o{index}"), &other, 1)).await;
    }
    let evicted = call(engine.address(), Method::GET, &kv_path, &Value::Null).await;
    assert_eq!(evicted.status, StatusCode::NOT_FOUND);
    call(engine.address(), Method::PUT, &kv_path, &Value::Null).await;
    complete(&engine, &completion("r3", &prompt, 1)).await;
    assert_eq!(engine.counts().cached_tokens, 128);
    tokio::time::sleep(Duration::from_millis(250)).await;
    let late = call(engine.address(), Method::GET, path, &Value::Null)
        .await
        .value();
    let events = late["events"].as_array().expect("a list").clone();
    let last = events.last().expect("events")["sequence"].as_u64();
    let published = u64::try_from(events.len()).expect("small");
    assert!(published < last.expect("a number"), "no gaps in {events:?}");
}

/// Guards against a store whose loads do not slow down under overload.
#[tokio::test]
async fn store_slows_down_beyond_its_concurrent_load_limit() {
    let store = RunningStore::bind(StoreSettings {
        load_ms: 100,
        full_speed_loads: 2,
        ..StoreSettings::default()
    })
    .await
    .expect("store starts");
    let address = store.address();
    let load = |name: String| async move {
        let body = json!({ "adapter": name });
        call(address, Method::POST, "/v1/loads", &body)
            .await
            .value()["load_ms"]
            .clone()
    };
    let times = futures::future::join_all((0..4).map(|index| load(format!("a{index}")))).await;
    let mut times: Vec<u64> = times.iter().filter_map(Value::as_u64).collect();
    times.sort_unstable();
    assert_eq!(times, [100, 100, 150, 200]);
    let counts = store.counts();
    assert_eq!((counts.max_in_flight, counts.max_loads_in_1_s), (4, 4));
    assert_eq!(counts.loads_over_rate, 1);
    assert_eq!(counts.in_flight, 0);
}

/// Guards against an uncounted second run of an order, also under another id, and against a
/// caller's key that reaches a service uncounted.
#[tokio::test]
async fn service_counts_runs_and_keys() {
    let service = RunningService::bind(ServiceSettings::default())
        .await
        .expect("service starts");
    let body = json!({ "order": 1 });
    for id in ["o1", "o1", "o2"] {
        let call = Call::new(service.address(), Method::PUT, "/any/path").json(&body);
        let call = call
            .header("x-order-id", id)
            .header("x-other", "Bearer key");
        let reply = HttpClient::new().send(call).await.expect("response");
        assert_eq!(reply.value()["path"], "/any/path");
    }
    let counts = service.counts();
    assert_eq!(counts.runs_by_order["o1"], 2);
    assert_eq!(counts.doubled_orders, 1);
    assert_eq!(
        counts.runs_by_body.values().copied().collect::<Vec<_>>(),
        [3]
    );
    assert_eq!(counts.requests_with_key, 3);
}

/// A VM that records announcements and refuses them if `refuses` is set.
#[derive(Default)]
struct RecordingVm {
    refuses: bool,
    seen: Mutex<Vec<Announcement>>,
}

impl Handler for RecordingVm {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let announcement = server::read_json(request).await.ok()?;
        self.seen.lock().ok()?.push(announcement);
        let status = if self.refuses {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        Some(server::json(status, &Value::Null))
    }
}

/// Guards against an engine that stops announcing itself when one VM fails, and against an engine
/// that does not announce that it is draining.
#[tokio::test]
async fn announcements_fail_over_to_the_next_vm_and_report_draining() {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let refusing = Arc::new(RecordingVm {
        refuses: true,
        ..RecordingVm::default()
    });
    let accepting = Arc::new(RecordingVm::default());
    let first = Server::bind(any, refusing.clone(), Connections::new()).await;
    let first = first.expect("VM starts");
    let second = Server::bind(any, accepting.clone(), Connections::new()).await;
    let second = second.expect("VM starts");
    let engine = start(EngineSettings {
        vms: vec![first.address(), second.address()],
        ..fast_engine()
    })
    .await;
    let seen = || accepting.seen.lock().expect("lock").clone();
    wait_until(|| seen().len() >= 3).await;
    let announcements = seen();
    assert_eq!(announcements[0].resident, [MODEL]);
    assert_eq!(announcements[0].address, engine.address().to_string());
    assert!(announcements[0].sequence < announcements[1].sequence);
    assert!(!announcements[0].leaving);
    let start = Instant::now();
    engine.drain().await;
    assert!(start.elapsed() >= Duration::from_secs(2));
    assert!(seen().last().expect("announcements").leaving);
}

/// Guards against events that are lost or merged, depending on how the network splits the stream.
#[test]
fn event_parser_ignores_how_bytes_are_split() {
    let stream =
        b"id: 7\ndata: {\"a\": 1}\n\n: comment\n\ndata: x\r\ndata: y\r\n\r\ndata: [DONE]\n\n";
    let read = |size: usize| {
        let mut parser = EventParser::default();
        let mut events = Vec::new();
        for piece in stream.chunks(size) {
            parser.push(piece);
            events.extend(std::iter::from_fn(|| parser.next_event()));
        }
        events
    };
    let whole = read(stream.len());
    let data: Vec<&str> = whole.iter().map(|event| event.data.as_str()).collect();
    assert_eq!(data, ["{\"a\": 1}", "x\ny", "[DONE]"]);
    assert_eq!(whole[0].id.as_deref(), Some("7"));
    for size in 1..stream.len() {
        assert_eq!(read(size), whole, "pieces of {size} bytes");
    }
}
