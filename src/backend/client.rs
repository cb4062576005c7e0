//! HTTP clients for backend servers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// Timeout of a TCP connection to a backend server.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of idle connections kept per backend server.
const MAX_IDLE_PER_HOST: usize = 64;

/// An HTTP/1.1 client that sends complete bodies.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client that reuses connections between calls.
pub fn pooled_client() -> HttpClient {
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
        .build(connector())
}

/// Creates a client that opens a connection for each call and never resends. If the server closes a
/// reused connection while the call is written, nothing proves that the call did not run.
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
