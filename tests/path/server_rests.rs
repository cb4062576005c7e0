//! Requests to backend servers that turn requests away and ask the VM for rest.

use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use medlarlift::standin::client::Call;
use medlarlift::types::Clock;

use crate::callers::VMS;
use crate::callers::load;
use crate::deployment::Builder;
use crate::deployment::NORTH;
use crate::deployment::SERVICE;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;

const REST: Duration = Duration::from_millis(2_500);
/// Calls that may arrive from one VM within a rest.
const MAX_IN_REST: usize = 2;
const LOAD: Duration = Duration::from_secs(6);
const TIME_TO_DEADLINE_MS: u64 = 1_500;

/// Guards against VMs that send calls to an engine within the rest that it asked them for.
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_gets_no_calls_within_the_rest_that_it_asked_for() {
    let deployment = Builder::new(VMS).engines(2, |_| {}).start().await;
    let ask = |vm: usize, number: usize| {
        let body = completion(&model(1), &format!("request {number} of VM {vm}"), 4);
        call(deployment.callers[vm], NORTH, &body)
    };
    let tired = &deployment.engines[0];
    tired.set_asked_rest(REST);
    let replies = load(&deployment, LOAD, ask).await;
    let most = tired.most_in_rest();
    assert!(
        most <= MAX_IN_REST,
        "{most} calls of one VM within a rest, {MAX_IN_REST} allowed"
    );
    let failed = replies.iter().find(|reply| reply.status != StatusCode::OK);
    assert!(
        failed.is_none(),
        "the other engine takes the rest: {failed:?}"
    );
    tired.set_asked_rest(Duration::ZERO);
    let before = tired.arrivals().len();
    load(&deployment, 2 * REST, ask).await;
    assert!(tired.arrivals().len() > before + VMS, "the rest has ended");
}

/// Guards against VMs that send calls to a plain service within the rest that it asked them for because
/// it has no other server, and against callers that wait in vain.
#[tokio::test(flavor = "multi_thread")]
async fn a_service_gets_no_calls_within_the_rest_that_it_asked_for() {
    let deployment = Builder::new(VMS)
        .engines(1, |_| {})
        .service(1)
        .start()
        .await;
    let look_up = |vm: usize, number: usize| {
        let path = format!("/services/{SERVICE}/lookup/{number}");
        let deadline = Clock::start().unix().plus(TIME_TO_DEADLINE_MS);
        Call::new(deployment.callers[vm], Method::GET, &path)
            .header("authorization", &format!("Bearer {}", key(NORTH)))
            .header("x-deadline-unix-ms", &deadline.0.to_string())
    };
    deployment.eventually(|| look_up(0, 0)).await;
    let service = &deployment.services[0];
    service.set_asked_rest(REST);
    load(&deployment, LOAD, look_up).await;
    let most = service.most_in_rest();
    assert!(
        most <= MAX_IN_REST,
        "{most} calls of one VM within a rest, {MAX_IN_REST} allowed"
    );
    // A call that is turned away begins a new rest.
    let before = service.arrivals().len();
    let mut number = 0;
    while service.arrivals().len() == before {
        number += 1;
        let sent = deployment.client.send_within(look_up(0, number), 5_000);
        sent.await.expect("a VM answers every request");
    }
    let sent = Instant::now();
    let refused = deployment.client.send_within(look_up(0, 0), 5_000).await;
    let refused = refused.expect("a VM answers every request");
    assert_ne!(refused.status, StatusCode::OK);
    assert!(refused.headers.contains_key("retry-after"), "{refused:?}");
    let took = sent.elapsed();
    assert!(
        took < Duration::from_millis(TIME_TO_DEADLINE_MS / 2),
        "refused after {took:?}"
    );
    service.set_asked_rest(Duration::ZERO);
    load(&deployment, REST, look_up).await;
    let replies = load(&deployment, Duration::from_secs(1), look_up).await;
    let failed = replies.iter().find(|reply| reply.status != StatusCode::OK);
    assert!(failed.is_none(), "the rest has ended: {failed:?}");
}
