//! Test fixture: VMs, engines and services of one data centre in one process, on loopback.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Mutex;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use medlarlift::configs::standin_engine::EngineSettings;
use medlarlift::configs::standin_service::ServiceSettings;
use medlarlift::configs::vm::PeerSettings;
use medlarlift::configs::vm::StoreSettings;
use medlarlift::configs::vm::VmSettings;
use medlarlift::control::Sha256Hash;
use medlarlift::node::Open;
use medlarlift::node::Vm;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use medlarlift::standin::client::Reply;
use medlarlift::standin::engine::RunningEngine;
use medlarlift::standin::service::RunningService;
use medlarlift::types::VmName;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use tokio::time::Instant;
use tokio::time::sleep;

const OPERATOR_TOKEN: &str = "the operators' token for tests";
/// Timeout for a deployment to become ready, with a margin for a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(30);
/// Range of the listening ports. It lies below the ephemeral ports, from which an outgoing
/// connection could otherwise take a port between its choice and its use.
const PORTS: std::ops::Range<u16> = 18_000..30_000;

/// Base model of the engines.
pub const BASE: &str = "base";
/// Account with every class, two base models and a high rate.
pub const NORTH: &str = "north";
/// Account with the urgent class and the adapters `lens-*` only.
pub const SOUTH: &str = "south";
/// Account with a rate of 100 tokens per second.
pub const SMALL: &str = "small";
/// Service behind the keyed routes.
pub const SERVICE: &str = "records";

/// The key of an account.
pub fn key(account: &str) -> String {
    format!("key-of-{account}-0123456789abcdef0123456789")
}

/// Model name of the adapter with `number`.
pub fn model(number: usize) -> String {
    format!("{BASE}:lens-{number}@1")
}

/// Builder of a deployment.
pub struct Builder {
    vms: usize,
    engines: Vec<EngineSettings>,
    services: Vec<ServiceSettings>,
}

impl Builder {
    /// Creates a builder for `vms` VMs.
    pub fn new(vms: usize) -> Self {
        Self {
            vms,
            engines: Vec::new(),
            services: Vec::new(),
        }
    }

    /// Adds `count` engines with adapters 1 to 4 resident. `change` adjusts their settings.
    pub fn engines(mut self, count: usize, change: impl Fn(&mut EngineSettings)) -> Self {
        for _ in 0..count {
            let number = self.engines.len() + 1;
            let mut settings = EngineSettings {
                name: format!("engine-{number}"),
                base: BASE.to_owned(),
                announce_ms: 100,
                report_lag_ms: 50,
                token_us: 2_000,
                prefill_us_per_token: 0,
                resident: (1..=4).map(model).collect(),
                restart_ms: 300,
                seed: u64::try_from(number).expect("few engines"),
                ..EngineSettings::default()
            };
            change(&mut settings);
            self.engines.push(settings);
        }
        self
    }

    /// Adds a service whose calls take `delay_ms`.
    pub fn service(mut self, delay_ms: u64) -> Self {
        self.services.push(ServiceSettings {
            name: "service-1".to_owned(),
            services: vec![SERVICE.to_owned()],
            announce_ms: 100,
            delay_ms,
            ..ServiceSettings::default()
        });
        self
    }

    /// Starts everything and waits until each VM answers a completion.
    pub async fn start(self) -> Deployment {
        let folders = TempDir::new().expect("a folder can be made");
        let settings = vm_settings(self.vms, &folders);
        let mut vms = Vec::new();
        for settings in &settings {
            vms.push(Some(
                Vm::open(settings.clone()).await.expect("ports are free"),
            ));
        }
        let callers: Vec<SocketAddr> = settings.iter().map(|s| s.caller_address).collect();
        let admins = settings.iter().map(|s| s.admin_address).collect();
        let mut engines = Vec::new();
        for mut engine in self.engines {
            engine.vms = callers.clone();
            engines.push(RunningEngine::bind(engine).await.expect("a port is free"));
        }
        let mut services = Vec::new();
        for mut service in self.services {
            service.vms = callers.clone();
            services.push(RunningService::bind(service).await.expect("a port is free"));
        }
        let deployment = Deployment {
            vms,
            callers,
            admins,
            engines,
            services,
            client: HttpClient::new(),
            _folders: folders,
        };
        deployment.wait_until_ready().await;
        deployment
    }
}

fn vm_settings(count: usize, folders: &TempDir) -> Vec<VmSettings> {
    let name = |index: usize| VmName::from(format!("vm{}", index + 1));
    let addresses = free_addresses(3 * count);
    let peers: Vec<PeerSettings> = (0..count)
        .map(|index| PeerSettings {
            vm: name(index),
            data_centre: "dc1".into(),
            peer_address: addresses[index],
        })
        .collect();
    (0..count)
        .map(|index| VmSettings {
            vm: name(index),
            data_centre: "dc1".into(),
            peer_address: addresses[index],
            caller_address: addresses[count + index],
            admin_address: addresses[2 * count + index],
            data_folder: Some(folders.path().join(format!("vm{index}"))),
            founders: (0..count).map(name).collect(),
            peers: peers.clone(),
            links: Vec::new(),
            operator_token_sha256: Sha256Hash::of(OPERATOR_TOKEN.as_bytes()).0,
            policy: Default::default(),
            store: StoreSettings {
                loads_per_s: 1_000.0,
                loads_in_flight: 64,
            },
            metrics_address: None,
            log_level: log::LevelFilter::Off,
            drain_ms: 10_000,
            ready_lag_ms: 100,
            max_body_bytes: 64 * 1024,
            process_limits: Default::default(),
            queue_items: 8_192,
            longest_request_ms: 60_000,
        })
        .collect()
}

/// Returns free addresses on loopback. Each is given out at most once in this process.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    static ASSIGNED_PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let mut assigned_ports = ASSIGNED_PORTS.lock().expect("no holder panics");
    let mut held = Vec::new();
    while held.len() < count {
        let port = rand::rng().random_range(PORTS);
        if assigned_ports.insert(port) {
            held.extend(TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
        }
    }
    let address = |listener: &TcpListener| listener.local_addr().expect("it is bound");
    held.iter().map(address).collect()
}

/// A running deployment.
pub struct Deployment {
    /// The VMs; `None` for a VM that a test has shut down.
    pub vms: Vec<Option<Vm<Open>>>,
    /// Addresses of the caller APIs.
    pub callers: Vec<SocketAddr>,
    /// Addresses of the administration APIs.
    pub admins: Vec<SocketAddr>,
    /// The engines.
    pub engines: Vec<RunningEngine>,
    /// The services.
    pub services: Vec<RunningService>,
    /// HTTP client of the tests.
    pub client: HttpClient,
    _folders: TempDir,
}

impl Deployment {
    async fn wait_until_ready(&self) {
        for vm in &self.callers {
            self.eventually(|| Call::new(*vm, Method::GET, "/readyz"))
                .await;
        }
        self.create_accounts().await;
        for vm in &self.callers {
            for account in [NORTH, SOUTH] {
                let body = completion(&model(1), "warm up", 2);
                self.eventually(|| call(*vm, account, &body)).await;
            }
        }
    }

    /// Repeats a call until it succeeds.
    pub async fn eventually(&self, call: impl Fn() -> Call) -> Reply {
        self.until(call, |_| false).await
    }

    /// Repeats a call until it succeeds or `ends` is true for its reply.
    async fn until(&self, call: impl Fn() -> Call, ends: impl Fn(&Reply) -> bool) -> Reply {
        let started = Instant::now();
        loop {
            let reply = self.client.send_within(call(), 5_000).await;
            match reply {
                Ok(reply) if reply.status.is_success() || ends(&reply) => return reply,
                other if started.elapsed() > READY_LIMIT => panic!("not ready: {other:?}"),
                _ => sleep(Duration::from_millis(50)).await,
            }
        }
    }

    async fn create_accounts(&self) {
        let both = json!(["urgent", "patient"]);
        let sets = json!(["base:*", "fake:*", "absent:*"]);
        self.create_account(NORTH, 200_000, &sets, &both).await;
        let lens = json!(["base:lens-*"]);
        let urgent = json!(["urgent"]);
        self.create_account(SOUTH, 200_000, &lens, &urgent).await;
        self.create_account(SMALL, 100, &lens, &urgent).await;
        for (name, prefix, methods, repeatable) in [
            ("orders", "/orders", json!(["POST"]), false),
            ("lookup", "/lookup", json!(["GET"]), true),
        ] {
            let route = json!({
                "service": SERVICE, "path_prefix": prefix, "methods": methods,
                "access": "keyed", "repeatable": repeatable,
            });
            let path = format!("/v1/routes/{name}");
            self.admin(Method::PUT, &path, json!({ "route": route }))
                .await;
        }
    }

    /// Creates an account whose burst is three seconds of its rate, with its key.
    async fn create_account(&self, name: &str, rate: u64, sets: &Value, patience: &Value) {
        let parameters = json!({
            "max_keys": 4, "rate_tokens_per_s": rate, "burst_tokens": 3 * rate, "weight": 1,
            "adapter_sets": sets, "patience": patience, "when_cut_off": "serve",
        });
        let template = format!("/v1/templates/{name}");
        self.admin(Method::PUT, &template, json!({ "parameters": parameters }))
            .await;
        let account = json!({ "name": name, "template": name });
        self.admin(Method::POST, "/v1/accounts", account).await;
        let keys = format!("/v1/accounts/{name}/keys");
        self.admin(Method::POST, &keys, json!({ "key": key(name) }))
            .await;
    }

    /// Sends an operator's change to the first VM until it is accepted.
    pub async fn admin(&self, method: Method, path: &str, mut body: Value) -> Reply {
        loop {
            let change_id = format!("{:032x}", rand::rng().random::<u128>());
            body["change"] = json!({ "change_id": change_id });
            let call = || {
                Call::new(self.admins[0], method.clone(), path)
                    .json(&body)
                    .header("authorization", &format!("Bearer {OPERATOR_TOKEN}"))
            };
            let done = |reply: &Reply| reply.status == StatusCode::CONFLICT;
            let reply = self.until(call, done).await;
            // The change conflicts if a VM joins the roster at the same time.
            if reply.status != StatusCode::CONFLICT {
                return reply;
            }
        }
    }

    /// Sends a completion of `account` to the VM with `index` and returns the complete response.
    pub async fn complete(&self, index: usize, account: &str, body: &Value) -> Reply {
        let call = call(self.callers[index], account, body);
        let reply = self.client.send_within(call, 20_000).await;
        reply.expect("a VM answers every request")
    }

    /// Number of completion requests that reached the engines.
    pub fn dispatched(&self) -> u64 {
        self.engines.iter().map(|e| e.counts().requests).sum()
    }

    /// Number of crashes of all engines.
    pub fn crashes(&self) -> u64 {
        self.engines.iter().map(|e| e.counts().crashes).sum()
    }

    /// Shuts the VM with `index` down; true if nothing was queued or in flight any more.
    pub async fn close_vm(&mut self, index: usize) -> bool {
        let vm = self.vms[index].take().expect("the VM runs");
        vm.drain().await.close().await
    }
}

/// Body of a text completion.
pub fn completion(model: &str, prompt: &str, max_tokens: u64) -> Value {
    json!({ "model": model, "prompt": prompt, "max_tokens": max_tokens })
}

/// Body of a streamed text completion.
pub fn streamed(model: &str, prompt: &str, max_tokens: u64) -> Value {
    let mut body = completion(model, prompt, max_tokens);
    body["stream"] = json!(true);
    body
}

/// A completion call of `account`.
pub fn call(vm: SocketAddr, account: &str, body: &Value) -> Call {
    let call = Call::new(vm, Method::POST, "/v1/completions").json(body);
    call.header("authorization", &format!("Bearer {}", key(account)))
}

/// Fails unless `reply` is the refusal `code` with `status` and `run`.
pub fn assert_refused(reply: &Reply, status: StatusCode, code: &str, run: &str) {
    let error = &reply.value()["error"];
    let found = (reply.status, error["code"].as_str(), error["run"].as_str());
    assert_eq!(found, (status, Some(code), Some(run)), "{error}");
    assert!(reply.headers.contains_key("x-request-id"), "{error}");
}
