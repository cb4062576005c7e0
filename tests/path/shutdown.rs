//! Graceful shutdown of engines and VMs.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use medlarlift::standin::answer;
use medlarlift::standin::caller_api;
use medlarlift::standin::client::Call;
use medlarlift::types::Clock;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SERVICE;
use crate::deployment::assert_refused;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;
use crate::deployment::streamed;
use crate::stream::End;
use crate::stream::Stream;

/// Time for which requests are sent while an engine shuts down.
const LEAVE_TIME: Duration = Duration::from_millis(4_500);
/// Duration of an order at the service.
const ORDER_MS: u64 = 1_500;
/// Output tokens of the streams that run during the shutdown; they take about 3 s.
const STREAM_TOKENS: u64 = 1_500;

/// Guards against requests that are sent to an engine more than 2 s after it announced its
/// departure, and against requests that fail because of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_engine_gets_no_new_work() {
    let deployment = Builder::new(3).engines(2, |_| {}).start().await;
    let load = async {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < LEAVE_TIME {
            let body = completion(&model(1 + number % 4), "while it leaves", 4);
            let reply = deployment.complete(number % 3, NORTH, &body).await;
            assert_eq!(reply.status, StatusCode::OK, "{reply:?}");
            number += 1;
        }
        number
    };
    let (sent, ()) = tokio::join!(load, deployment.engines[0].drain());
    let counts = deployment.engines[0].counts();
    println!("{sent} requests, {} at the leaving engine", counts.requests);
    assert_eq!(counts.late_after_leaving, 0);
}

async fn check_new_work_is_refused(deployment: &Deployment, vm: usize) {
    let body = completion(&model(1), "too late", 4);
    let draining = StatusCode::SERVICE_UNAVAILABLE;
    let reply = deployment.complete(vm, NORTH, &body).await;
    assert_refused(&reply, draining, "draining", "not_run");
    let order = format!("/services/{SERVICE}/orders");
    let address = deployment.callers[vm];
    let late = caller_api::order(address, &key(NORTH), &order, "late", &json!({"lens": 2}));
    let reply = deployment.client.send_within(late, 5_000).await;
    assert_refused(
        &reply.expect("the VM answers"),
        draining,
        "draining",
        "not_run",
    );
    let readyz = Call::new(address, Method::GET, "/readyz");
    let reply = deployment.client.send_within(readyz, 5_000).await;
    assert_eq!(reply.expect("the VM answers").status, draining);
}

/// Submits a job to the VM and returns its id.
async fn submit_job(deployment: &Deployment, vm: usize, prompt: &str) -> String {
    let model = model(2);
    let job = caller_api::Completion {
        model: &model,
        prompt,
        max_tokens: 400,
        stream: false,
        deadline_unix_ms: Clock::start().unix().0 + 60_000,
    };
    let call = job.job(deployment.callers[vm], &key(NORTH), "job-1");
    let reply = deployment.client.send_within(call, 10_000).await;
    let reply = reply.expect("the VM answers");
    assert_eq!(reply.status, StatusCode::ACCEPTED, "{reply:?}");
    caller_api::job_id(&reply.value()).expect("a job has an id")
}

/// Guards against a graceful shutdown that interrupts a stream, an order or a job, and against new
/// requests that are accepted while the VM drains, or refused with a run state other than
/// `not_run`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_interrupts_nothing() {
    let builder = Builder::new(3).engines(2, |_| {}).service(ORDER_MS);
    let mut deployment = builder.start().await;
    let (client, vm) = (deployment.client.clone(), deployment.callers[2]);
    let mut streams = Vec::new();
    for number in 0..4 {
        let prompt = format!("during the shutdown {number}");
        let body = streamed(&model(1), &prompt, STREAM_TOKENS);
        let mut stream = Stream::open(&client, call(vm, NORTH, &body)).await;
        stream.read(2).await;
        streams.push((prompt, tokio::spawn(stream.read_all())));
    }
    let job = submit_job(&deployment, 2, "a job").await;
    let path = format!("/services/{SERVICE}/orders");
    let order = caller_api::order(vm, &key(NORTH), &path, "order-1", &json!({"lens": 1}));
    let order = tokio::spawn(async move { client.send_within(order, 20_000).await });
    sleep(Duration::from_millis(200)).await;
    let draining = deployment.vms[2].take().expect("it runs").drain().await;
    check_new_work_is_refused(&deployment, 2).await;
    assert!(
        draining.close().await,
        "work was cut at the end of drain_ms"
    );
    for (prompt, stream) in streams {
        let (text, end) = stream.await.expect("the reader ends");
        assert_eq!(end, End::Done);
        let checked = answer::check(&text, &model(1), &prompt, STREAM_TOKENS);
        assert_eq!(checked, Ok(()));
    }
    let order = order.await.expect("the caller ends");
    let order = order.expect("the order is answered");
    assert_eq!(order.status, StatusCode::OK, "{order:?}");
    assert_eq!(deployment.services[0].counts().doubled_orders, 0);
    check_job(&deployment, &job).await;
}

/// Checks that the result of the job can be read through another VM.
async fn check_job(deployment: &Deployment, job: &str) {
    let vm = deployment.callers[0];
    let result = deployment
        .eventually(|| caller_api::job_result(vm, &key(NORTH), job))
        .await;
    let value = result.value();
    let text = caller_api::completion_text(&value).unwrap_or_default();
    assert_eq!(answer::check(text, &model(2), "a job", 400), Ok(()));
}
