//! Minimal HTTP server of the simulated peers. It can close its connections abruptly to simulate a
//! crash.

use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Request handler of one simulated peer.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; `None` closes the connection without a response.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<Response<Body>>> + Send;

    /// Whether new connections are closed immediately, to simulate a stopped process.
    fn is_down(&self) -> bool {
        false
    }
}

/// Handle that closes all open connections of a server.
#[derive(Clone, Debug)]
pub struct Connections(Arc<watch::Sender<u64>>);

impl Connections {
    /// A handle for a new server.
    pub fn new() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }

    /// Closes all connections immediately, without responses to the requests in flight.
    pub fn close_all(&self) {
        self.0.send_modify(|generation| *generation += 1);
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self::new()
    }
}

/// A running server. Dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Connections,
    accept: JoinHandle<()>,
}

impl Server {
    /// Listens on `address` and passes requests to `handler`.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        handler: Arc<H>,
        connections: Connections,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let accept = tokio::spawn(accept_loop(listener, handler, connections.clone()));
        Ok(Self {
            address,
            connections,
            accept,
        })
    }

    /// The local address, with the port that the operating system assigned for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
        self.connections.close_all();
    }
}

async fn accept_loop<H: Handler>(listener: TcpListener, handler: Arc<H>, connections: Connections) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if handler.is_down() {
            continue;
        }
        let closed = connections.0.subscribe();
        tokio::spawn(serve_connection(stream, handler.clone(), closed));
    }
}

/// Error that makes hyper close a connection without a response.
#[derive(Debug)]
struct CloseConnection;

impl fmt::Display for CloseConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed without a response")
    }
}

impl std::error::Error for CloseConnection {}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut closed: watch::Receiver<u64>,
) {
    // Nagle's algorithm would delay small streamed frames until acknowledgements arrive.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { handler.handle(request).await.ok_or(CloseConnection) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        _ = closed.changed() => {}
    }
}

/// A JSON response.
pub fn json(status: StatusCode, value: &Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string())).boxed_unsync();
    typed_response(status, "application/json", body)
}

/// A response of server-sent events.
pub fn events(frames: impl Stream<Item = Bytes> + Send + 'static) -> Response<Body> {
    let frames = frames.map(|bytes| Ok(Frame::data(bytes)));
    let body = StreamBody::new(frames).boxed_unsync();
    typed_response(StatusCode::OK, "text/event-stream", body)
}

fn typed_response(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}

/// Reads a request body of at most 8 MiB; `None` if it is larger or the connection breaks.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let limited = Limited::new(request.into_body(), MAX_BODY_BYTES);
    let collected = limited.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Reads a JSON request body.
///
/// # Errors
///
/// Returns the error message for a body that cannot be read or parsed.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, String> {
    let body = read_body(request).await.ok_or("body cannot be read")?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Whether a request contains a caller's credentials in any header.
pub fn has_caller_key(request: &Request<Incoming>) -> bool {
    let bearer = |value: &http::HeaderValue| value.as_bytes().starts_with(b"Bearer ");
    request.headers().contains_key(AUTHORIZATION) || request.headers().values().any(bearer)
}

/// The number at parameter `name` of the query string.
pub fn query_u64(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
