//! Requests that crash the engines that run them.

use std::time::Duration;

use http::StatusCode;
use medlarlift::standin::answer;
use medlarlift::standin::caller_api;
use medlarlift::standin::client::Reply;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SOUTH;
use crate::deployment::assert_refused;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::model;
use crate::fake_engine::FAKE_MODEL;
use crate::fake_engine::FakeEngine;

/// Prompt text that crashes an engine.
const CRASH_MARKER: &str = "poison";
/// Number of requests that run concurrently with one that crashes engines.
const NEIGHBOURS: usize = 24;
/// Output tokens of a concurrent request, which takes about 400 ms.
const NEIGHBOUR_TOKENS: u64 = 200;

/// Requests, one at each VM, whose engine crashes.
const SUSPECTS: usize = 2;
/// Time in which a crash becomes known to all VMs.
const REPORT_ROUND: Duration = Duration::from_millis(450);

/// Requests with a line that crashes engines.
const CRASHING_REQUESTS: usize = 30;
/// Crashes that one line may cause.
const MAX_CRASHES: u64 = 8;
const SOUND_REQUESTS: usize = 100;
const SOUND_PAUSE: Duration = Duration::from_millis(50);

fn builder() -> Builder {
    Builder::new(3).engines(4, |engine| {
        engine.crash_marker = Some(CRASH_MARKER.to_owned())
    })
}

async fn check_neighbour(deployment: &Deployment, number: usize) {
    let prompt = format!("neighbour {number}");
    let model = model(1 + number % 4);
    let body = completion(&model, &prompt, NEIGHBOUR_TOKENS);
    let reply = deployment.complete(number % 3, SOUTH, &body).await;
    assert_eq!(reply.status, StatusCode::OK, "{prompt}: {reply:?}");
    let value = reply.value();
    let text = caller_api::completion_text(&value).unwrap_or_default();
    let checked = answer::check(text, &model, &prompt, NEIGHBOUR_TOKENS);
    assert_eq!(checked, Ok(()));
}

async fn send_crashing_request(deployment: &Deployment, vm: usize) -> Reply {
    let body = completion(&model(1), CRASH_MARKER, 5);
    deployment.complete(vm, NORTH, &body).await
}

/// Guards against requests that fail or are quarantined because they ran on an engine at the same
/// time as one that crashes engines.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn neighbours_of_a_crashing_request_are_answered() {
    let deployment = builder().start().await;
    let neighbours = (0..NEIGHBOURS).map(|number| check_neighbour(&deployment, number));
    let neighbours = futures::future::join_all(neighbours);
    tokio::join!(send_crashing_request(&deployment, 0), neighbours);
}

/// Guards against a suspect that is sent to an engine which has just crashed under another suspect, because
/// its VM has not heard of the crash yet: the crash would count against both.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_suspect_follows_another_to_an_engine_that_has_just_crashed() {
    let deployment = Builder::new(SUSPECTS).engines(1, |_| {}).start().await;
    // An engine that closes the connection and does not know the request afterwards has crashed.
    let engine = FakeEngine::start(&deployment).await;
    let good = completion(FAKE_MODEL, "good", 4);
    for vm in &deployment.callers {
        deployment.eventually(|| call(*vm, NORTH, &good)).await;
    }
    let before = engine.arrivals().len();
    let suspects = (0..SUSPECTS).map(async |vm| {
        let body = completion(FAKE_MODEL, &format!("lose {vm}"), 5);
        deployment.complete(vm, NORTH, &body).await
    });
    futures::future::join_all(suspects).await;
    let arrivals = engine.arrivals();
    // Each request is a suspect from its second run on.
    let suspects = &arrivals[before + SUSPECTS..];
    let pauses = suspects.windows(2).map(|pair| pair[1] - pair[0]);
    let shortest = pauses.min().expect("each suspect runs");
    assert!(shortest >= REPORT_ROUND, "{shortest:?} after a crash");
}

/// Guards against a request that crashes one engine after another, through retries or because its
/// caller resends it through other VMs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_crashes_at_most_two_engines() {
    let deployment = builder().start().await;
    let reply = send_crashing_request(&deployment, 0).await;
    let error = reply.value()["error"].clone();
    assert_eq!(error["code"], "quarantined", "{error}");
    assert_eq!(error["run"], "unknown", "{error}");
    assert!(
        deployment.crashes() <= 2,
        "{} crashes",
        deployment.crashes()
    );
    for vm in [1, 2, 0] {
        let reply = send_crashing_request(&deployment, vm).await;
        let quarantined = StatusCode::UNPROCESSABLE_ENTITY;
        assert_refused(&reply, quarantined, "quarantined", "not_run");
        assert!(reply.headers.contains_key("retry-after"));
    }
    assert!(
        deployment.crashes() <= 2,
        "{} crashes",
        deployment.crashes()
    );
    check_neighbour(&deployment, NEIGHBOURS).await;
}

/// Guards against a request that crashes one engine per VM when it arrives at all VMs at once.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_crashing_request_at_all_vms_crashes_at_most_three_engines() {
    let deployment = builder().start().await;
    let calls = (0..3).map(|vm| send_crashing_request(&deployment, vm));
    for reply in futures::future::join_all(calls).await {
        assert_ne!(reply.status, StatusCode::OK, "{reply:?}");
    }
    assert!(
        deployment.crashes() <= 3,
        "{} crashes",
        deployment.crashes()
    );
    check_neighbour(&deployment, 0).await;
}

/// Sends a request that shares all lines of its prompt but the last one with others.
async fn send_with_lines(deployment: &Deployment, number: usize, lines: &str) -> Reply {
    let prompt = format!("system\nsession\n{lines}question {number}");
    let body = completion(&model(1 + number % 4), &prompt, 5);
    deployment.complete(number % 3, NORTH, &body).await
}

/// Guards against requests that have one line of their prompts in common, which crashes each engine
/// that runs them, and are otherwise all different.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_line_of_prompts_that_crashes_engines_is_not_sent_on() {
    let deployment = builder().start().await;
    let crashing = async {
        for number in 0..CRASHING_REQUESTS {
            let reply = send_with_lines(&deployment, number, "poison\n").await;
            assert_ne!(reply.status, StatusCode::OK, "{reply:?}");
        }
    };
    let sound = async {
        let mut served = 0;
        for number in 0..SOUND_REQUESTS {
            let reply = send_with_lines(&deployment, number, "").await;
            served += usize::from(reply.status == StatusCode::OK);
            tokio::time::sleep(SOUND_PAUSE).await;
        }
        served
    };
    let ((), served) = tokio::join!(crashing, sound);
    let crashes = deployment.crashes();
    println!("{crashes} crashes, {served} of {SOUND_REQUESTS} sound requests served");
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    assert!(10 * served >= 9 * SOUND_REQUESTS, "{served} served");
    let reply = send_with_lines(&deployment, CRASHING_REQUESTS, "poison\n").await;
    let quarantined = StatusCode::UNPROCESSABLE_ENTITY;
    assert_refused(&reply, quarantined, "quarantined", "not_run");
    assert_eq!(deployment.crashes(), crashes);
}
