//! Requests to backend servers that name a limit on the requests per second of all VMs together.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use http::Method;
use http::StatusCode;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::Reply;
use medlarlift::types::Clock;
use tokio::time::sleep;

use crate::callers::VMS;
use crate::callers::load;
use crate::deployment::Builder;
use crate::deployment::NORTH;
use crate::deployment::SERVICE;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;

const LIMIT_PER_S: f64 = 1.5;
const LOAD: Duration = Duration::from_secs(11);
/// Time after which the limit has to be kept.
const SETTLE: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_secs(4);
const TIME_TO_DEADLINE_MS: u64 = 1_500;

/// Calls of which some are always close to their deadlines.
const CROWD: usize = 200;
const CROWD_INTERVAL: Duration = Duration::from_millis(20);
const CROWD_LIMIT_PER_S: f64 = 15.0;
const CROWD_TIME_TO_DEADLINE_MS: u64 = 2_000;
/// Time that a call takes at its service.
const CROWD_CALL_MS: u64 = 80;

/// Largest number of requests in any window that begins at `from` or later.
fn most_in_window(arrivals: &[Instant], from: Instant) -> usize {
    let counted: Vec<Instant> = arrivals.iter().copied().filter(|at| *at >= from).collect();
    let in_window = |first: &Instant| {
        let window = *first..*first + WINDOW;
        counted.iter().filter(|at| window.contains(*at)).count()
    };
    counted.iter().map(in_window).max().unwrap_or(0)
}

/// One and a half times what the limit allows, and five requests.
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * WINDOW.as_secs_f64()) as usize + 5
}

fn assert_limited(arrivals: &[Instant], named: Instant) {
    let most = most_in_window(arrivals, named + SETTLE);
    assert!(most <= allowed(), "{most} requests, {} allowed", allowed());
    assert!(most >= 1, "a limited server still takes its rate");
}

/// Guards against VMs that ignore the limit of an engine, or keep it each by itself.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_more_requests_than_its_named_limit_from_all_vms_together() {
    let deployment = Builder::new(VMS).engines(2, |_| {}).start().await;
    let ask = |vm: usize, number: usize| {
        let body = completion(&model(1), &format!("request {number} of VM {vm}"), 4);
        call(deployment.callers[vm], NORTH, &body)
    };
    let limited = &deployment.engines[0];
    limited.set_request_limit(LIMIT_PER_S);
    let named = Instant::now();
    let replies = load(&deployment, LOAD, ask).await;
    assert_limited(&limited.arrivals(), named);
    let failed = replies.iter().find(|reply| reply.status != StatusCode::OK);
    assert!(
        failed.is_none(),
        "the other engine takes the rest: {failed:?}"
    );
    limited.set_request_limit(0.0);
    let before = limited.arrivals().len();
    load(&deployment, LOAD, ask).await;
    let after = limited.arrivals().len() - before;
    assert!(
        after > 4 * allowed(),
        "the limit has ended, {after} requests"
    );
}

/// Guards against VMs that ignore the limit of a plain service, and against calls that wait longer
/// than their deadline for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_gets_no_more_calls_than_its_named_limit_from_all_vms_together() {
    let deployment = Builder::new(VMS)
        .engines(1, |_| {})
        .service(1)
        .start()
        .await;
    let look_up =
        |vm: usize, number: usize| look_up(deployment.callers[vm], number, TIME_TO_DEADLINE_MS);
    deployment.eventually(|| look_up(0, 0)).await;
    let service = &deployment.services[0];
    service.set_request_limit(LIMIT_PER_S);
    let named = Instant::now();
    let replies = load(&deployment, LOAD, look_up).await;
    assert_limited(&service.arrivals(), named);
    let served = replies
        .iter()
        .filter(|reply| reply.status == StatusCode::OK);
    let served = served.count() as f64;
    let expected = 0.6 * LIMIT_PER_S * LOAD.as_secs_f64();
    assert!(served >= expected, "{served} served");
    assert_not_run(&replies);
}

/// A call of the plain service.
fn look_up(vm: SocketAddr, number: usize, time_to_deadline_ms: u64) -> Call {
    let path = format!("/services/{SERVICE}/lookup/{number}");
    let deadline = Clock::start().unix().plus(time_to_deadline_ms);
    Call::new(vm, Method::GET, &path)
        .header("authorization", &format!("Bearer {}", key(NORTH)))
        .header("x-deadline-unix-ms", &deadline.0.to_string())
}

/// Asserts that all calls that were not served have not run.
fn assert_not_run(replies: &[Reply]) {
    for refused in replies
        .iter()
        .filter(|reply| reply.status != StatusCode::OK)
    {
        let error = &refused.value()["error"];
        assert_eq!(error["run"], "not_run", "{error}");
        assert!(refused.headers.contains_key("retry-after"), "{error}");
    }
}

/// Guards against calls that get their permit so late that no answer can arrive in time, and run all the
/// same.
#[tokio::test(flavor = "multi_thread")]
async fn calls_whose_permit_comes_too_late_are_not_sent() {
    let deployment = Builder::new(1)
        .engines(1, |_| {})
        .service(CROWD_CALL_MS)
        .start()
        .await;
    let vm = deployment.callers[0];
    let service = &deployment.services[0];
    service.set_request_limit(CROWD_LIMIT_PER_S);
    deployment
        .eventually(|| look_up(vm, 0, CROWD_TIME_TO_DEADLINE_MS))
        .await;
    let before = service.counts().calls;
    let calls = (0..CROWD).map(async |number| {
        sleep(CROWD_INTERVAL * number as u32).await;
        let call = look_up(vm, number, CROWD_TIME_TO_DEADLINE_MS);
        let reply = deployment.client.send_within(call, 5_000).await;
        reply.expect("a VM answers every request")
    });
    let replies = join_all(calls).await;
    assert_not_run(&replies);
    let is_served = |reply: &&Reply| reply.status == StatusCode::OK;
    let served = replies.iter().filter(is_served).count() as u64;
    assert!(served < CROWD as u64, "the limit binds");
    assert_eq!(service.counts().calls - before, served);
}
