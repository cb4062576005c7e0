//! Tests of the load tool against a fake VM with configurable faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use medlarlift::configs::standin_callers::CallerAccount;
use medlarlift::configs::standin_callers::CallerMix;
use medlarlift::configs::standin_callers::CallerSettings;
use medlarlift::standin::answer;
use medlarlift::standin::callers;
use medlarlift::standin::callers_plan::RequestClass;
use medlarlift::standin::callers_plan::plan;
use medlarlift::standin::server;
use medlarlift::standin::server::Body;
use medlarlift::standin::server::Connections;
use medlarlift::standin::server::Handler;
use medlarlift::standin::server::Server;
use serde_json::Value;
use serde_json::json;

/// Fault of a fake VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Truncates,
    SwapsModel,
    RefusesRate,
    ClosesConnections,
    BreaksStreams,
    RunsOrdersAgain,
}

/// A VM that computes answers itself and keeps jobs in memory.
struct FakeVm {
    fault: Fault,
    jobs: Mutex<HashMap<String, Value>>,
    orders: Mutex<u64>,
}

impl FakeVm {
    async fn start(fault: Fault) -> Server {
        let vm = Arc::new(Self {
            fault,
            jobs: Mutex::default(),
            orders: Mutex::default(),
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any, vm, Connections::new()).await;
        server.expect("VM starts")
    }

    fn chunk(&self, body: &Value, text: &str) -> Value {
        let model = match self.fault {
            Fault::SwapsModel => json!("base:other@1"),
            _ => body["model"].clone(),
        };
        json!({ "model": model, "choices": [{ "index": 0, "text": text }] })
    }

    fn completion(&self, body: &Value) -> Response<Body> {
        let text = |name: &str| body[name].as_str().expect("text").to_owned();
        let digest = answer::digest(&text("model"), &text("prompt"));
        let mut tokens = body["max_tokens"].as_u64().expect("number");
        if self.fault == Fault::Truncates {
            tokens -= 1;
        }
        if body["stream"] == true {
            return self.stream(body, &digest, tokens);
        }
        let chunk = self.chunk(body, &answer::text(&digest, tokens));
        server::json(StatusCode::OK, &chunk)
    }

    fn stream(&self, body: &Value, digest: &str, tokens: u64) -> Response<Body> {
        let broken = self.fault == Fault::BreaksStreams;
        let sent = if broken { 1 } else { tokens };
        let frame = |index| {
            let chunk = self.chunk(body, &answer::token(digest, index));
            Bytes::from(format!("id: {index}\ndata: {chunk}\n\n"))
        };
        let mut frames: Vec<Bytes> = (0..sent).map(frame).collect();
        if !broken {
            frames.push(Bytes::from("data: [DONE]\n\n"));
        }
        server::events(futures::stream::iter(frames))
    }

    fn submit(&self, body: &Value) -> Response<Body> {
        let mut jobs = self.jobs.lock().expect("lock");
        let id = format!("j{}", jobs.len());
        jobs.insert(id.clone(), body.clone());
        server::json(
            StatusCode::ACCEPTED,
            &json!({ "id": id, "status": "accepted" }),
        )
    }

    fn service(&self, body: &Bytes) -> Response<Body> {
        let mut orders = self.orders.lock().expect("lock");
        *orders += u64::from(self.fault == Fault::RunsOrdersAgain);
        let digest = answer::digest_bytes(body);
        server::json(
            StatusCode::OK,
            &json!({ "run": *orders, "body_digest": digest }),
        )
    }
}

impl Handler for FakeVm {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Option<Response<Body>> {
        if self.fault == Fault::ClosesConnections {
            return None;
        }
        if self.fault == Fault::RefusesRate {
            let error = json!({ "error": { "code": "rate_limited", "run": "not_run" } });
            return Some(server::json(StatusCode::TOO_MANY_REQUESTS, &error));
        }
        let path = request.uri().path().to_owned();
        let bytes = server::read_body(request).await?;
        let body: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        Some(match parts.as_slice() {
            ["v1", "completions"] => self.completion(&body),
            ["v1", "jobs"] => self.submit(&body),
            ["v1", "jobs", _] => server::json(StatusCode::OK, &json!({ "status": "finished" })),
            ["v1", "jobs", id, "result"] => {
                let job = self.jobs.lock().ok()?.get(*id)?.clone();
                self.completion(&job)
            }
            ["services", ..] => self.service(&bytes),
            _ => server::json(StatusCode::NOT_FOUND, &Value::Null),
        })
    }
}

fn account(name: &str, rate_tokens_per_s: u64) -> CallerAccount {
    CallerAccount {
        name: name.to_owned(),
        key: "key".to_owned(),
        share: 1.0,
        rate_tokens_per_s,
        burst_tokens: rate_tokens_per_s,
        times_rate: None,
    }
}

fn settings(vms: &[&Server]) -> CallerSettings {
    CallerSettings {
        vms: vms.iter().map(|vm| vm.address()).collect(),
        duration_ms: 500,
        requests_per_s: 100.0,
        accounts: vec![account("large", 1_000_000), account("small", 10)],
        give_up_ms: 2_000,
        ..CallerSettings::default()
    }
}

fn only(class: RequestClass) -> CallerMix {
    let weight = |wanted| f64::from(u8::from(class == wanted));
    CallerMix {
        live: weight(RequestClass::Live),
        streamed: weight(RequestClass::Streamed),
        patient: weight(RequestClass::Patient),
        order: weight(RequestClass::Order),
        lookup: weight(RequestClass::Lookup),
    }
}

/// Guards against a load tool that loses or miscounts requests to a VM without faults.
#[tokio::test]
async fn every_request_to_a_faultless_vm_is_answered() {
    let vm = FakeVm::start(Fault::None).await;
    let totals = callers::run(settings(&[&vm])).await.totals;
    assert!(totals.sent > 20, "{totals:?}");
    assert_eq!(totals.answered, totals.sent, "{totals:?}");
}

/// Guards against a load tool that accepts wrong answers.
#[tokio::test]
async fn wrong_answers_are_mismatched() {
    for (fault, class) in [
        (Fault::Truncates, RequestClass::Live),
        (Fault::Truncates, RequestClass::Streamed),
        (Fault::SwapsModel, RequestClass::Live),
        (Fault::RunsOrdersAgain, RequestClass::Order),
    ] {
        let vm = FakeVm::start(fault).await;
        let mut settings = settings(&[&vm]);
        settings.mix = only(class);
        let totals = callers::run(settings).await.totals;
        assert!(totals.mismatched > 0, "{fault:?} {class:?}: {totals:?}");
        if class != RequestClass::Order {
            assert_eq!(totals.answered, 0, "{fault:?} {class:?}: {totals:?}");
        }
    }
}

/// Guards against refusals above the rate of an account that count as wrongful, and against
/// refusals within the rate that do not.
#[tokio::test]
async fn only_refusals_within_the_rate_are_wrongful() {
    let vm = FakeVm::start(Fault::RefusesRate).await;
    let mut settings = settings(&[&vm]);
    settings.mix = only(RequestClass::Live);
    let report = callers::run(settings).await;
    let of = |name: &str| report.accounts[name].classes[&RequestClass::Live].clone();
    assert_eq!(of("large").wrongfully_refused, of("large").sent);
    assert_eq!(of("small").refused, of("small").sent);
    assert_eq!(of("small").wrongfully_refused, 0);
    assert_eq!(report.totals.codes["rate_limited"], report.totals.sent);
}

/// Guards against requests that count as lost although another VM can answer them, and against lost
/// requests that count as another outcome.
#[tokio::test]
async fn requests_are_resent_to_working_vms() {
    let good = FakeVm::start(Fault::None).await;
    for fault in [Fault::ClosesConnections, Fault::BreaksStreams] {
        let bad = FakeVm::start(fault).await;
        let totals = callers::run(settings(&[&bad, &good])).await.totals;
        assert_eq!(totals.answered, totals.sent, "{fault:?}: {totals:?}");
        assert!(totals.resends > 0, "{fault:?}: {totals:?}");
    }
    let bad = FakeVm::start(Fault::ClosesConnections).await;
    let mut settings = settings(&[&bad]);
    settings.give_up_ms = 300;
    settings.mix = only(RequestClass::Live);
    let totals = callers::run(settings).await.totals;
    assert_eq!(totals.lost, totals.sent, "{totals:?}");
}

/// Guards against plans that differ between runs with the same seed, ignore the popularity of
/// adapters or ignore the popularity shift.
#[test]
fn plan_follows_its_seed_popularity_and_shift() {
    let settings = CallerSettings {
        vms: vec![SocketAddr::from(([127, 0, 0, 1], 1))],
        duration_ms: 60_000,
        shift_at_ms: Some(30_000),
        accounts: vec![
            account("a", 100),
            CallerAccount {
                times_rate: Some(3.0),
                ..account("b", 1_000)
            },
        ],
        ..CallerSettings::default()
    };
    let planned = plan(&settings);
    assert_eq!(planned, plan(&settings));
    let other = CallerSettings {
        seed: 2,
        ..settings
    };
    assert_ne!(planned, plan(&other));
    let share = |model: &str, shifted: bool| {
        let half = planned
            .iter()
            .filter(|request| (request.at_ms >= 30_000) == shifted);
        let models: Vec<&str> = half.map(|request| request.model.as_str()).collect();
        let hits = models.iter().filter(|name| **name == model).count();
        hits as f64 / models.len() as f64
    };
    assert!(share("base:a00000@1", false) > 0.1);
    assert!(share("base:a00000@1", true) < 0.05);
    assert!(share("base:a00030@1", true) > 0.1);
    let sent: u64 = planned
        .iter()
        .filter(|request| request.account == 1)
        .map(|request| request.cost_tokens())
        .sum();
    let times_rate = sent as f64 / 60_000.0;
    assert!((2.5..3.5).contains(&times_rate), "{times_rate}");
}
