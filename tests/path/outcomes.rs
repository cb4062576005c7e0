//! Outcomes: which run state is reported to callers, what is retried, and how often.

use std::time::Duration;

use http::StatusCode;
use medlarlift::standin::answer;
use medlarlift::standin::caller_api;
use medlarlift::types::Clock;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SMALL;
use crate::deployment::assert_refused;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::model;
use crate::fake_engine::FAKE_MODEL;
use crate::fake_engine::FakeEngine;

/// Number of failing requests that exhaust the retry budget.
const FAILING: u64 = 200;
/// Largest number of retries in the budget of a VM.
const SAVED_RETRIES: u64 = 64;
/// Number of requests that add one retry to the budget.
const REQUESTS_PER_RETRY: u64 = 5;
/// Time to the deadline of a request that is lost and then misses its deadline.
const TIME_TO_DEADLINE_MS: u64 = 2_500;
/// Longest time for a refusal, with a margin for a busy machine.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Starts one VM with a fake engine and waits until requests reach the engine.
async fn start_with_fake() -> (Deployment, FakeEngine) {
    let deployment = Builder::new(1).engines(1, |_| {}).start().await;
    let fake = FakeEngine::start(&deployment).await;
    let good = completion(FAKE_MODEL, "good", 4);
    deployment
        .eventually(|| call(deployment.callers[0], NORTH, &good))
        .await;
    (deployment, fake)
}

/// Sends requests that the engine refuses or loses, and checks the run state and the number of
/// dispatches.
async fn check_failures(deployment: &Deployment, fake: &FakeEngine) {
    let refused = completion(FAKE_MODEL, "refuse", 4);
    let reply = deployment.complete(0, NORTH, &refused).await;
    assert_refused(&reply, StatusCode::BAD_GATEWAY, "backend_failed", "not_run");
    let lost = completion(FAKE_MODEL, "lose", 4);
    let reply = deployment.complete(0, NORTH, &lost).await;
    // A second loss quarantines the request. Its outcome is still unknown.
    assert_eq!(reply.value()["error"]["run"], "unknown", "{reply:?}");
    let before = fake.dispatches();
    let bodies: Vec<_> = (0..FAILING)
        .map(|number| completion(FAKE_MODEL, &format!("refuse 0 {number}"), 4))
        .collect();
    let calls = bodies
        .iter()
        .map(|body| deployment.complete(0, NORTH, body));
    for reply in futures::future::join_all(calls).await {
        assert_eq!(reply.value()["error"]["run"], "not_run", "{reply:?}");
    }
    let dispatches = fake.dispatches() - before;
    let most = FAILING + SAVED_RETRIES + FAILING / REQUESTS_PER_RETRY;
    println!("{dispatches} dispatches for {FAILING} failing requests, at most {most}");
    assert!((FAILING..=most).contains(&dispatches), "{dispatches}");
}

/// Uses up the token limit of the small account and retries at the time named in the refusal.
async fn check_rate(deployment: &Deployment) {
    let body = completion(&model(1), "small", 50);
    let refused = loop {
        let started = Instant::now();
        let reply = deployment.complete(0, SMALL, &body).await;
        if reply.status != StatusCode::OK {
            assert!(
                started.elapsed() < MAX_REFUSAL_TIME,
                "{:?}",
                started.elapsed()
            );
            break reply;
        }
    };
    let limited = StatusCode::TOO_MANY_REQUESTS;
    assert_refused(&refused, limited, "rate_limited", "not_run");
    let retry_ms = refused.value()["error"]["retry_after_ms"].as_u64();
    let retry_ms = retry_ms.expect("the refusal says when to come back");
    let seconds = refused.headers["retry-after"].to_str().unwrap_or_default();
    assert_eq!(seconds, retry_ms.div_ceil(1_000).max(1).to_string());
    sleep(Duration::from_millis(retry_ms)).await;
    let reply = deployment.complete(0, SMALL, &body).await;
    assert_eq!(
        reply.status,
        StatusCode::OK,
        "after {retry_ms} ms: {reply:?}"
    );
}

/// Guards against refusals with a wrong run state, unbounded retries, and rate-limit refusals that
/// arrive late or name a retry time at which the account is still refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failures_are_reported_correctly_and_retries_are_bounded() {
    let (deployment, fake) = start_with_fake().await;
    check_rate(&deployment).await;
    check_failures(&deployment, &fake).await;
}

/// Guards against a refusal of an expired retry that hides that an earlier attempt may have run.
/// The engine loses the request and stops announcing itself, so the retry is queued until the
/// deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_request_past_its_deadline_is_not_reported_as_not_run() {
    let (deployment, fake) = start_with_fake().await;
    fake.stop_announcing();
    let body = completion(FAKE_MODEL, "lose and stay silent", 4);
    let deadline = Clock::start()
        .unix()
        .plus(TIME_TO_DEADLINE_MS)
        .0
        .to_string();
    let call = call(deployment.callers[0], NORTH, &body).header("x-deadline-unix-ms", &deadline);
    let reply = deployment.client.send_within(call, 20_000).await;
    let reply = reply.expect("a VM answers every request");
    let late = StatusCode::GATEWAY_TIMEOUT;
    assert_refused(&reply, late, "deadline_unreachable", "unknown");
}

/// Guards against a request that fails because its first engine crashes before the first token.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_moves_to_another_engine_after_a_crash() {
    let builder = Builder::new(1).engines(2, |engine| {
        engine.prefill_us_per_token = 10_000;
        engine.restart_ms = 20_000;
    });
    let deployment = builder.start().await;
    let before: Vec<u64> = requests(&deployment);
    let prompt = "a long prompt ".repeat(30);
    let body = completion(&model(1), &prompt, 5);
    let crash = async {
        let index = loop {
            let now = requests(&deployment);
            if let Some(index) = (0..2).find(|index| now[*index] > before[*index]) {
                break index;
            }
            sleep(Duration::from_millis(10)).await;
        };
        deployment.engines[index].crash();
    };
    let (reply, ()) = tokio::join!(deployment.complete(0, NORTH, &body), crash);
    assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
    let value = reply.value();
    let text = caller_api::completion_text(&value).unwrap_or_default();
    assert_eq!(answer::check(text, &model(1), &prompt, 5), Ok(()));
    assert_eq!(deployment.crashes(), 1);
}

fn requests(deployment: &Deployment) -> Vec<u64> {
    let engines = deployment.engines.iter();
    engines.map(|engine| engine.counts().requests).collect()
}
