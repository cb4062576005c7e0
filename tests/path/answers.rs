//! Answers are complete and belong to the request.

use http::StatusCode;
use medlarlift::standin::answer;
use medlarlift::standin::caller_api;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SOUTH;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;
use crate::deployment::streamed;
use crate::fake_engine::FAKE_MODEL;
use crate::fake_engine::FOREIGN;
use crate::fake_engine::FakeEngine;
use crate::stream::End;
use crate::stream::Stream;

/// Number of concurrent requests, spread over all VMs, adapters and both accounts.
const CONCURRENT: usize = 60;

async fn check_one(deployment: &Deployment, number: usize) {
    let vm = number % deployment.callers.len();
    let account = if number.is_multiple_of(2) {
        NORTH
    } else {
        SOUTH
    };
    let model = model(1 + number % 4);
    let prompt = format!("question {number}");
    let tokens = 1 + u64::try_from(number).expect("few requests") % 20;
    let text = if number.is_multiple_of(3) {
        let body = completion(&model, &prompt, tokens);
        let reply = deployment.complete(vm, account, &body).await;
        assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
        let value = reply.value();
        caller_api::completion_text(&value)
            .unwrap_or_default()
            .to_owned()
    } else {
        let call = call(
            deployment.callers[vm],
            account,
            &streamed(&model, &prompt, tokens),
        );
        let stream = Stream::open(&deployment.client, call).await;
        let (text, end) = stream.read_all().await;
        assert_eq!(end, End::Done);
        text
    };
    assert_eq!(answer::check(&text, &model, &prompt, tokens), Ok(()));
}

/// Reads a part of a stream, disconnects, and reads the rest through another VM.
async fn check_resume(deployment: &Deployment, leave_after: u64, other_vm: usize) {
    let prompt = format!("left after {leave_after}");
    let call = call(
        deployment.callers[0],
        NORTH,
        &streamed(&model(1), &prompt, 100),
    )
    .header("x-request-id", &format!("resumed-{leave_after}"));
    let mut stream = Stream::open(&deployment.client, call).await;
    stream.read(leave_after).await;
    let (id, last, mut text) = (stream.id.clone(), stream.last_event_id, stream.text.clone());
    drop(stream);
    let vm = deployment.callers[other_vm];
    let resume = caller_api::resume(vm, &key(NORTH), &id, last);
    let (rest, end) = Stream::open(&deployment.client, resume)
        .await
        .read_all()
        .await;
    text.push_str(&rest);
    assert_eq!(end, End::Done);
    assert_eq!(answer::check(&text, &model(1), &prompt, 100), Ok(()));
}

/// Guards against answers that are mixed up, truncated or duplicated, whether complete, streamed or
/// resumed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answers_are_complete_and_belong_to_their_callers() {
    let deployment = Builder::new(3).engines(3, |_| {}).start().await;
    let checks = (0..CONCURRENT).map(|number| check_one(&deployment, number));
    futures::future::join_all(checks).await;
    tokio::join!(
        check_resume(&deployment, 1, 1),
        check_resume(&deployment, 50, 2),
        check_resume(&deployment, 100, 1),
    );
    let engines = deployment.engines.iter();
    let doubled: u64 = engines.map(|e| e.counts().doubled_request_ids).sum();
    assert_eq!(doubled, 0);
}

/// Checks that a fault at token `at` of a complete and of a streamed answer is reported as an
/// error.
async fn check_fault(deployment: &Deployment, fault: &str, at: u64) {
    let prompt = format!("{fault} {at}");
    let reply = deployment
        .complete(0, NORTH, &completion(FAKE_MODEL, &prompt, 4))
        .await;
    assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{prompt}: {reply:?}");
    let value = reply.value();
    assert_eq!(value["error"]["run"], "unknown", "{prompt}: {value}");
    assert!(!value.to_string().contains(FOREIGN.trim()), "{value}");
    let call = call(
        deployment.callers[0],
        NORTH,
        &streamed(FAKE_MODEL, &prompt, 4),
    );
    if at == 0 {
        let reply = deployment.client.send_within(call, 10_000).await;
        let reply = reply.expect("the VM answers");
        assert_eq!(reply.status, StatusCode::BAD_GATEWAY, "{prompt}: {reply:?}");
        assert_eq!(reply.value()["error"]["run"], "unknown", "{reply:?}");
        return;
    }
    let stream = Stream::open(&deployment.client, call).await;
    let (text, end) = stream.read_all().await;
    let tokens = usize::try_from(at).expect("few tokens");
    assert_eq!(text, "own ".repeat(tokens), "{prompt}");
    let End::Error(error) = end else {
        panic!("{prompt}: the stream ended with {end:?}");
    };
    assert_eq!(error["run"], "unknown", "{prompt}: {error}");
}

/// Guards against relaying tokens of another request, model or position, and against truncated
/// answers that look complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn foreign_and_broken_answers_end_with_an_error() {
    let deployment = Builder::new(1).engines(1, |_| {}).start().await;
    let _fake = FakeEngine::start(&deployment).await;
    let good = completion(FAKE_MODEL, "good", 4);
    let reply = deployment
        .eventually(|| call(deployment.callers[0], NORTH, &good))
        .await;
    let value = reply.value();
    let text = caller_api::completion_text(&value);
    assert_eq!(text, Some("own own own own "));
    for fault in ["request_id", "model", "index"] {
        for at in [0, 1, 3] {
            check_fault(&deployment, fault, at).await;
        }
    }
    tokio::join!(
        check_fault(&deployment, "cut", 0),
        check_fault(&deployment, "cut", 1),
        check_fault(&deployment, "cut", 3),
    );
}

/// Guards against an answer that its engine broke off inside an event and that looks complete,
/// because the end of its connection is the end of its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_inside_an_event_ends_with_an_error() {
    let deployment = Builder::new(1).engines(1, |_| {}).start().await;
    let _fake = FakeEngine::start(&deployment).await;
    let unframed = completion(FAKE_MODEL, "unframed", 4);
    let reply = deployment
        .eventually(|| call(deployment.callers[0], NORTH, &unframed))
        .await;
    let value = reply.value();
    let text = caller_api::completion_text(&value);
    assert_eq!(text, Some("own own own own "));
    tokio::join!(
        check_fault(&deployment, "cut_in_event", 0),
        check_fault(&deployment, "cut_in_event", 1),
        check_fault(&deployment, "cut_in_event", 3),
    );
}
