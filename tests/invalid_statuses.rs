//! Statuses of backend servers that are no final ones, on the product's own path.

use std::net::SocketAddr;
use std::sync::Arc;

use assert_matches::assert_matches;
use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use medlarlift::backend::BackendError;
use medlarlift::backend::Engine;
use medlarlift::backend::EngineCall;
use medlarlift::backend::HttpEngine;
use medlarlift::backend::NamedLimits;
use medlarlift::backend::ServiceCall;
use medlarlift::backend::call_service;
use medlarlift::backend::single_use_client;
use medlarlift::types::AdapterRef;
use medlarlift::types::Clock;
use medlarlift::types::VmName;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

/// Statuses that are malformed, interim or outside the classes of HTTP.
const STATUSES: [&str; 12] = [
    "000", "001", "099", "100", "101", "103", "199", "600", "999", "1000", "20", "abc",
];

/// Starts a server that answers every request with `status`.
async fn start(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).await;
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Guards against a call whose answer is recorded and passed on with a status that is none.
#[tokio::test]
async fn a_call_of_a_service_with_an_invalid_status_is_lost() {
    let limits = NamedLimits::new(Clock::start());
    for status in STATUSES {
        let call = ServiceCall {
            method: Method::POST,
            path: "/orders".to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::from_static(b"{}"),
            order_id: Some(Arc::from("order-1")),
            vm: VmName::from("vm"),
        };
        let client = single_use_client();
        let answer = call_service(&client, &limits, start(status).await, call).await;
        assert_matches!(answer, Err(BackendError::Lost { .. }), "{status}");
    }
}

/// Guards against a run that counts as refused, or as begun, by a status that is none.
#[tokio::test]
async fn a_call_of_an_engine_with_an_invalid_status_is_lost() {
    let engine = HttpEngine::new(Arc::new(NamedLimits::new(Clock::start())));
    for status in STATUSES {
        let call = EngineCall {
            adapter: "base:frames@1".parse::<AdapterRef>().unwrap(),
            request_id: Arc::from("r1"),
            prompt: Arc::from("a pair of frames"),
            max_tokens: 4,
            priority: 0,
            vm: VmName::from("vm"),
        };
        let answer = engine.start(start(status).await, call).await;
        assert_matches!(answer.err(), Some(BackendError::Lost { .. }), "{status}");
    }
}
