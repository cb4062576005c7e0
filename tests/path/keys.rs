//! Keys: what an account may access, how fast a withdrawal takes effect, and that no key reaches a
//! backend server.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use medlarlift::standin::answer;
use medlarlift::standin::caller_api;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::deployment::Builder;
use crate::deployment::Deployment;
use crate::deployment::NORTH;
use crate::deployment::SERVICE;
use crate::deployment::SOUTH;
use crate::deployment::assert_refused;
use crate::deployment::call;
use crate::deployment::completion;
use crate::deployment::key;
use crate::deployment::model;
use crate::deployment::streamed;
use crate::stream::End;
use crate::stream::Stream;

/// Longest time for which a withdrawn key may still work.
const MAX_WITHDRAWAL_TIME: Duration = Duration::from_secs(5);

/// Makes a call of every kind, so that backend servers receive a request of every kind.
async fn run_calls_of_every_kind(deployment: &Deployment) {
    let [vm1, vm2, vm3] = deployment.callers[..] else {
        panic!("three VMs run");
    };
    let north = key(NORTH);
    let send = async |call: Call| {
        let reply = deployment.client.send_within(call, 10_000).await;
        let reply = reply.expect("the VM answers");
        assert!(reply.status.is_success(), "{reply:?}");
    };
    let order = format!("/services/{SERVICE}/orders");
    send(caller_api::order(
        vm1,
        &north,
        &order,
        "order-1",
        &json!({"lens": 1}),
    ))
    .await;
    let lookup = format!("/services/{SERVICE}/lookup");
    send(caller_api::lookup(vm2, &north, &lookup)).await;
    send(call(vm3, NORTH, &completion(&model(9), "a load", 4))).await;
    let body = streamed(&model(1), "resumed", 40);
    let mut stream = Stream::open(&deployment.client, call(vm1, NORTH, &body)).await;
    stream.read(3).await;
    let resumed = caller_api::resume(vm2, &north, &stream.id, stream.last_event_id);
    send(resumed).await;
    let cancel = Call::new(vm3, Method::DELETE, format!("/v1/requests/{}", stream.id));
    send(caller_api::authorized(cancel, &north)).await;
}

/// Checks that another account can neither read nor cancel a stream whose id it knows.
async fn check_foreign_ids(deployment: &Deployment) {
    let body = streamed(&model(2), "private", 300);
    let call = call(deployment.callers[0], NORTH, &body);
    let mut stream = Stream::open(&deployment.client, call).await;
    stream.read(2).await;
    for vm in &deployment.callers {
        let resume = caller_api::resume(*vm, &key(SOUTH), &stream.id, None);
        let reply = deployment.client.send_within(resume, 5_000).await;
        let reply = reply.expect("the VM answers");
        assert_refused(&reply, StatusCode::NOT_FOUND, "not_found", "not_run");
        let cancel = Call::new(*vm, Method::DELETE, format!("/v1/requests/{}", stream.id));
        let cancel = caller_api::authorized(cancel, &key(SOUTH));
        let reply = deployment.client.send_within(cancel, 5_000).await;
        reply.expect("the VM answers");
    }
    let (text, end) = stream.read_all().await;
    assert_eq!(end, End::Done);
    assert_eq!(answer::check(&text, &model(2), "private", 300), Ok(()));
}

/// Withdraws the key of `SOUTH` through the first VM while it is in use on all VMs.
async fn check_withdrawal(deployment: &Deployment) {
    let mut streams = Vec::new();
    for vm in &deployment.callers {
        let call = call(*vm, SOUTH, &streamed(&model(3), "long", 4_000));
        let mut stream = Stream::open(&deployment.client, call).await;
        stream.read(2).await;
        streams.push(stream);
    }
    // One client with one connection per VM, opened while the key is valid.
    let client = HttpClient::new();
    let body = completion(&model(1), "short", 1);
    for vm in &deployment.callers {
        let reply = client.send_within(call(*vm, SOUTH, &body), 5_000).await;
        assert_eq!(reply.expect("the VM answers").status, StatusCode::OK);
    }
    let withdrawn = Instant::now();
    let withdrawal = json!({ "key": key(SOUTH) });
    let admin = deployment.admin(Method::POST, "/v1/withdrawals", withdrawal);
    let watch = async {
        for vm in &deployment.callers {
            let reply = loop {
                let reply = client.send_within(call(*vm, SOUTH, &body), 5_000).await;
                let reply = reply.expect("the VM answers");
                if reply.status != StatusCode::OK || withdrawn.elapsed() > MAX_WITHDRAWAL_TIME {
                    break reply;
                }
                sleep(Duration::from_millis(20)).await;
            };
            assert_refused(&reply, StatusCode::UNAUTHORIZED, "unauthorized", "not_run");
            println!("{vm} refused the key after {:?}", withdrawn.elapsed());
        }
    };
    tokio::join!(admin, watch);
    for stream in streams {
        let remaining = MAX_WITHDRAWAL_TIME.saturating_sub(withdrawn.elapsed());
        let read = timeout(remaining, stream.read_all()).await;
        let (text, end) = read.expect("the stream of a withdrawn key ends in time");
        let End::Error(error) = end else {
            panic!("the stream ended with {end:?} after {} bytes", text.len());
        };
        assert_eq!(error["code"], "unauthorized", "{error}");
        assert_ne!(error["run"], "not_run", "{error}");
    }
}

/// Guards against keys that reach backend servers, streams that another account can read or cancel,
/// and a withdrawn key that still works on an open connection or keeps its running streams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_stay_private_and_withdrawals_take_effect_promptly() {
    let builder = Builder::new(3).engines(2, |_| {}).service(5);
    let deployment = builder.start().await;
    run_calls_of_every_kind(&deployment).await;
    check_foreign_ids(&deployment).await;
    check_withdrawal(&deployment).await;
    let engines = deployment.engines.iter();
    let seen: u64 = engines.map(|e| e.counts().requests_with_key).sum();
    let services = deployment.services.iter();
    let seen_by_services: u64 = services.map(|s| s.counts().requests_with_key).sum();
    assert_eq!((seen, seen_by_services), (0, 0));
}
