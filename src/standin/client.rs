//! HTTP client of the simulated peers and of the command line.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason why a call got no complete response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The request cannot be built.
    #[snafu(display("request cannot be built: {source}"))]
    Build {
        /// Cause.
        source: http::Error,
    },
    /// No response head arrived.
    #[snafu(display("no response: {source}"))]
    Send {
        /// Cause.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection broke within the response body.
    #[snafu(display("response broke off: {source}"))]
    Body {
        /// Cause.
        source: hyper::Error,
    },
    /// The call timed out.
    #[snafu(display("no response within {after_ms} ms"))]
    Timeout {
        /// Timeout in milliseconds.
        after_ms: u64,
    },
}

impl ClientError {
    /// Whether no connection could be opened, so that the request did not run.
    pub fn is_connect(&self) -> bool {
        matches!(self, Self::Send { source } if source.is_connect())
    }
}

/// Result of the client.
pub type Result<T, E = ClientError> = std::result::Result<T, E>;

/// An HTTP request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Server to call.
    pub address: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Extra headers.
    pub headers: HeaderMap,
    /// Body; empty for a request without one.
    pub body: Bytes,
}

impl Call {
    /// A call without a body.
    pub fn new(address: SocketAddr, method: Method, path: impl Into<String>) -> Self {
        Self {
            address,
            method,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }

    /// Adds a JSON body.
    pub fn json(mut self, value: &Value) -> Self {
        self.body = Bytes::from(value.to_string());
        let json = http::HeaderValue::from_static("application/json");
        self.headers.insert(CONTENT_TYPE, json);
        self
    }

    /// Adds a header. A value that is not a valid header value is ignored.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = value.parse() {
            self.headers.insert(name, value);
        }
        self
    }

    fn build(self) -> Result<Request<Full<Bytes>>> {
        let uri = format!("http://{}{}", self.address, self.path);
        let mut request = Request::builder()
            .method(self.method)
            .uri(uri)
            .body(Full::new(self.body))
            .context(BuildSnafu)?;
        request.headers_mut().extend(self.headers);
        Ok(request)
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// The body as JSON, `null` if it is not JSON.
    pub fn value(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// A client with an empty connection pool.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        Self {
            inner: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a call and returns the response with its body still to be read.
    pub async fn open(&self, call: Call) -> Result<Response<Incoming>> {
        self.inner.request(call.build()?).await.context(SendSnafu)
    }

    /// Sends a call and reads the complete response.
    pub async fn send(&self, call: Call) -> Result<Reply> {
        read_reply(self.open(call).await?).await
    }

    /// Sends a call and reads the complete response within `limit_ms` milliseconds.
    pub async fn send_within(&self, call: Call, limit_ms: u64) -> Result<Reply> {
        let limit = Duration::from_millis(limit_ms);
        match tokio::time::timeout(limit, self.send(call)).await {
            Ok(reply) => reply,
            Err(_) => TimeoutSnafu { after_ms: limit_ms }.fail(),
        }
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Reads the body of a response.
pub async fn read_reply(response: Response<Incoming>) -> Result<Reply> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.context(BodySnafu)?.to_bytes();
    Ok(Reply {
        status: head.status,
        headers: head.headers,
        body,
    })
}
