//! Fake engine that injects the fault named in the prompt.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use bytes::Bytes;
use futures::stream;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use hyper::body::Incoming;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use medlarlift::standin::server;
use medlarlift::standin::server::Body;
use medlarlift::standin::server::Connections;
use medlarlift::standin::server::Handler;
use medlarlift::standin::server::Server;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::interval;

use crate::deployment::Deployment;

/// The only model of a fake engine.
pub const FAKE_MODEL: &str = "fake:lens-1@1";
/// Text that belongs to another request.
pub const FOREIGN: &str = "foreign ";
/// Interval between two announcements.
const ANNOUNCE: std::time::Duration = std::time::Duration::from_millis(100);

#[derive(Deserialize)]
struct Completion {
    request_id: String,
    model: String,
    prompt: String,
    max_tokens: u64,
}

#[derive(Default)]
struct FakeHandler {
    /// When completion requests arrived.
    arrivals: Mutex<Vec<Instant>>,
}

/// A running fake engine.
pub struct FakeEngine {
    handler: Arc<FakeHandler>,
    announcer: JoinHandle<()>,
    _server: Server,
}

impl FakeEngine {
    /// Starts an engine that announces itself to all VMs of `deployment`.
    pub async fn start(deployment: &Deployment) -> Self {
        let handler = Arc::new(FakeHandler::default());
        let address = ([127, 0, 0, 1], 0).into();
        let server = Server::bind(address, handler.clone(), Connections::new()).await;
        let server = server.expect("a port is free");
        let announcement = json!({
            "name": "fake-1", "kind": "engine", "address": server.address().to_string(),
            "data_centre": "dc1", "incarnation": 1, "base": "fake", "adapter_slots": 8,
            "batch_positions": 512, "resident": [FAKE_MODEL], "free_kv_tokens": 1_000_000,
            "checks_fence": true, "highest_fence": 0,
        });
        let announcer = tokio::spawn(announce(deployment.callers.clone(), announcement));
        Self {
            handler,
            announcer,
            _server: server,
        }
    }

    /// Stops the announcements.
    pub fn stop_announcing(&self) {
        self.announcer.abort();
    }

    /// Number of completion requests received.
    pub fn dispatches(&self) -> u64 {
        self.arrivals().len() as u64
    }

    /// When completion requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.handler.arrivals.lock().unwrap().clone()
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}

async fn announce(vms: Vec<std::net::SocketAddr>, mut announcement: Value) {
    let client = HttpClient::new();
    let mut timer = interval(ANNOUNCE);
    for sequence in 1.. {
        timer.tick().await;
        announcement["sequence"] = json!(sequence);
        for vm in &vms {
            let call = Call::new(*vm, Method::POST, "/v1/announcements").json(&announcement);
            let _ = client.send_within(call, 1_000).await;
        }
    }
}

impl Handler for FakeHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        let path = request.uri().path().to_owned();
        if path == "/v1/completions" {
            let completion = server::read_json(request).await.ok()?;
            self.arrivals.lock().unwrap().push(Instant::now());
            return self.complete(&completion);
        }
        Some(match path.as_str() {
            "/v1/in_use" => {
                server::json(StatusCode::OK, &json!({"incarnation": 1, "adapters": []}))
            }
            "/v1/orders" => server::json(StatusCode::OK, &json!({"incarnation": 1})),
            _ => server::json(
                StatusCode::NOT_FOUND,
                &json!({"error": {"code": "unknown"}}),
            ),
        })
    }
}

impl FakeHandler {
    /// Injects the fault named by the first word of the prompt, at the token given by the second.
    fn complete(&self, completion: &Completion) -> Option<Response<Body>> {
        let mut words = completion.prompt.split(' ');
        let fault = words.next().unwrap_or_default();
        let at: u64 = words.next().and_then(|w| w.parse().ok()).unwrap_or(0);
        match fault {
            "refuse" => {
                let body = json!({
                    "error": {"code": "overloaded", "run": "not_run"},
                    "request_id": completion.request_id,
                });
                return Some(server::json(StatusCode::SERVICE_UNAVAILABLE, &body));
            }
            "lose" => return None,
            _ => {}
        }
        let mut frames = Vec::new();
        for index in 0..completion.max_tokens {
            if index == at && fault == "cut" {
                return Some(server::events(stream::iter(frames)));
            }
            if index == at && fault == "cut_in_event" {
                let mut part = frame(completion, index, "good");
                part.truncate(part.len() - 1);
                frames.push(part);
                return Some(ends_with_connection(frames));
            }
            let fault = if index == at { fault } else { "good" };
            frames.push(frame(completion, index, fault));
        }
        frames.push(Bytes::from_static(b"data: [DONE]\n\n"));
        Some(match fault {
            "unframed" => ends_with_connection(frames),
            _ => server::events(stream::iter(frames)),
        })
    }
}

/// A response that has neither a length nor chunks and ends with its connection, as in HTTP/1.0.
fn ends_with_connection(frames: Vec<Bytes>) -> Response<Body> {
    let mut response = server::events(stream::iter(frames));
    *response.version_mut() = Version::HTTP_10;
    response
}

fn frame(completion: &Completion, index: u64, fault: &str) -> Bytes {
    let last = index + 1 == completion.max_tokens;
    let mut chunk = json!({
        "request_id": completion.request_id,
        "model": completion.model,
        "choices": [{"text": "own ", "finish_reason": last.then_some("length")}],
    });
    if last {
        let tokens = completion.max_tokens;
        chunk["usage"] = json!({"prompt_tokens": 1, "completion_tokens": tokens});
    }
    let mut id = index;
    match fault {
        "request_id" => chunk["request_id"] = json!("0123456789abcdef"),
        "model" => chunk["model"] = json!("fake:lens-2@1"),
        "index" => id += 1,
        _ => {}
    }
    if !matches!(fault, "good" | "unframed") {
        chunk["choices"][0]["text"] = json!(FOREIGN);
    }
    Bytes::from(format!("id: {id}\ndata: {chunk}\n\n"))
}
