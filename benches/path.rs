//! Measures the latency that the request path adds over direct calls to the same engine stand-in, at
//! 200 requests/s on one VM, and the memory of an idle VM process. The VM runs as a separate process
//! on loopback; the engine and the callers run in this process.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process::Child;
use std::process::Command;
use std::time::Duration;

use hdrhistogram::Histogram;
use http::Method;
use medlarlift::configs::standin_engine::EngineSettings;
use medlarlift::control::Sha256Hash;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use medlarlift::standin::engine::RunningEngine;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::interval_at;
use tokio::time::sleep;

const OPERATOR_TOKEN: &str = "the operators' token of the benchmark";
const KEY: &str = "key-of-the-benchmark-0123456789abcdef";
const MODEL: &str = "base:lens-1@1";
const REQUESTS_PER_S: u64 = 200;
/// Time between two requests.
const INTERVAL: Duration = Duration::from_micros(1_000_000 / REQUESTS_PER_S);
const WARM_UP_REQUESTS: u64 = 400;
const REQUESTS: u64 = 3_000;
/// Idle time before the memory of the VM is read.
const IDLE: Duration = Duration::from_secs(3);
const READY_LIMIT: Duration = Duration::from_secs(30);
const TARGET_ADDED_US: u64 = 2_000;
const TARGET_IDLE_KIB: u64 = 32 * 1024;

/// VM process that is killed on drop.
struct VmProcess {
    child: Child,
    caller: SocketAddr,
    admin: SocketAddr,
    _folder: TempDir,
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl VmProcess {
    fn start() -> Self {
        let folder = TempDir::new().expect("a folder can be made");
        let [caller, admin, peer] = free_addresses();
        let settings = json!({
            "vm": "vm1", "data_centre": "dc1", "caller_address": caller, "admin_address": admin,
            "peer_address": peer, "data_folder": folder.path().join("data"),
            "founders": ["vm1"], "log_level": "error",
            "operator_token_sha256": hex::encode(Sha256Hash::of(OPERATOR_TOKEN.as_bytes()).0),
        });
        let file = folder.path().join("vm.yaml");
        std::fs::write(&file, settings.to_string()).expect("the folder is writable");
        let mut command = Command::new(env!("CARGO_BIN_EXE_medlarlift"));
        let command = command.arg("serve").arg("--settings").arg(file);
        Self {
            child: command.spawn().expect("the binary was built"),
            caller,
            admin,
            _folder: folder,
        }
    }

    /// Resident memory in KiB.
    fn resident_kib(&self) -> Option<u64> {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

fn free_addresses() -> [SocketAddr; 3] {
    let held = [(); 3].map(|()| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        listener.expect("ports are free")
    });
    held.map(|listener| listener.local_addr().expect("it is bound"))
}

async fn send_until_success(client: &HttpClient, call: impl Fn() -> Call) {
    let started = Instant::now();
    loop {
        let reply = client.send_within(call(), 5_000).await;
        match reply {
            Ok(reply) if reply.status.is_success() => return,
            other if started.elapsed() > READY_LIMIT => panic!("not ready: {other:?}"),
            _ => sleep(Duration::from_millis(50)).await,
        }
    }
}

async fn create_account(client: &HttpClient, vm: &VmProcess) {
    let parameters = json!({
        "max_keys": 1, "rate_tokens_per_s": 1_000_000, "burst_tokens": 3_000_000, "weight": 1,
        "adapter_sets": ["base:*"], "patience": ["urgent"], "when_cut_off": "serve",
    });
    let changes = [
        (
            Method::PUT,
            "/v1/templates/bench",
            json!({"parameters": parameters}),
        ),
        (
            Method::POST,
            "/v1/accounts",
            json!({"name": "bench", "template": "bench"}),
        ),
        (Method::POST, "/v1/accounts/bench/keys", json!({"key": KEY})),
    ];
    for (index, (method, path, mut body)) in changes.into_iter().enumerate() {
        body["change"] = json!({"change_id": format!("bench-{index}")});
        let change = || {
            Call::new(vm.admin, method.clone(), path)
                .json(&body)
                .header("authorization", &format!("Bearer {OPERATOR_TOKEN}"))
        };
        send_until_success(client, change).await;
    }
}

fn body(number: u64) -> Value {
    json!({
        "model": MODEL, "prompt": format!("benchmark {number}"), "max_tokens": 1, "stream": true,
    })
}

fn through_vm(vm: SocketAddr, number: u64) -> Call {
    let call = Call::new(vm, Method::POST, "/v1/completions").json(&body(number));
    call.header("authorization", &format!("Bearer {KEY}"))
}

fn direct(engine: SocketAddr, number: u64) -> Call {
    let mut body = body(number);
    body["request_id"] = json!(format!("direct-{number}"));
    Call::new(engine, Method::POST, "/v1/completions").json(&body)
}

/// Sends requests from `start` on at a fixed rate, regardless of response times, and returns their latencies in us.
async fn measure(make: impl Fn(u64) -> Call, count: u64, start: Instant) -> Histogram<u64> {
    let client = HttpClient::new();
    let mut timer = interval_at(start, INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut running: Vec<JoinHandle<Duration>> = Vec::new();
    for number in 0..count {
        timer.tick().await;
        let (client, call) = (client.clone(), make(number));
        running.push(tokio::spawn(async move {
            let started = Instant::now();
            let reply = client.send_within(call, 10_000).await;
            let reply = reply.expect("each request is answered");
            assert!(reply.status.is_success(), "{reply:?}");
            assert!(reply.body.ends_with(b"data: [DONE]\n\n"), "{reply:?}");
            started.elapsed()
        }));
    }
    let mut times = Histogram::new(3).expect("three digits are allowed");
    for request in running {
        let elapsed = request.await.expect("requests do not panic");
        let us = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        times.record(us).expect("the histogram grows");
    }
    times
}

fn print(name: &str, times: &Histogram<u64>) {
    let quantile = |q| times.value_at_quantile(q);
    println!(
        "{name}: p50 {} us, p99 {} us, {} requests",
        quantile(0.5),
        quantile(0.99),
        times.len()
    );
}

#[tokio::main]
async fn main() {
    let client = HttpClient::new();
    let vm = VmProcess::start();
    let ready = || Call::new(vm.caller, Method::GET, "/readyz");
    send_until_success(&client, ready).await;
    create_account(&client, &vm).await;
    sleep(IDLE).await;
    let idle_kib = vm.resident_kib();
    let settings = EngineSettings {
        vms: vec![vm.caller],
        token_us: 1_000,
        prefill_us_per_token: 0,
        batch_positions: 64,
        resident: vec![MODEL.to_owned()],
        ..EngineSettings::default()
    };
    let engine = RunningEngine::bind(settings).await.expect("a port is free");
    send_until_success(&client, || through_vm(vm.caller, 0)).await;
    let (to_vm, to_engine) = (vm.caller, engine.address());
    let warm_up = |number| through_vm(to_vm, number);
    measure(warm_up, WARM_UP_REQUESTS, Instant::now()).await;
    // Both measurements run concurrently, so that they see the same engine and machine load, half an interval
    // apart, so that no request waits for the step of the engine's batch that the other one has begun.
    let start = Instant::now();
    let (through_vm_times, direct_times) = tokio::join!(
        measure(
            |number| through_vm(to_vm, number),
            REQUESTS,
            start + INTERVAL / 2
        ),
        measure(|number| direct(to_engine, number), REQUESTS, start),
    );
    print("through the VM", &through_vm_times);
    print("direct", &direct_times);
    let added = |q| {
        through_vm_times
            .value_at_quantile(q)
            .saturating_sub(direct_times.value_at_quantile(q))
    };
    println!(
        "added: p50 {} us, p99 {} us (target at most {TARGET_ADDED_US} us at p99)",
        added(0.5),
        added(0.99)
    );
    println!("idle VM: {idle_kib:?} KiB resident (target under {TARGET_IDLE_KIB} KiB)");
}
