//! HTTP clients towards backend servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// Time allowed for a TCP connection to a backend server.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Idle connections kept per backend server.
const MAX_IDLE_PER_HOST: usize = 64;

/// An HTTP/1.1 client that sends whole bodies.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// A client that keeps connections open between calls.
pub fn pooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
        .build(connector())
}

/// A client that opens a connection for each call and never resends. A reused connection that the
/// server closes while the call is written cannot prove that the call did not run.
pub fn single_use_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(0)
        .retry_canceled_requests(false)
        .build(connector())
}

fn connector() -> HttpConnector {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
    connector
}
