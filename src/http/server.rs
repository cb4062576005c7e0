//! HTTP server of the caller API on `hyper`. `dropshot` is not used here because it leaves Nagle's
//! algorithm on, which delays each small write of a stream by about 40 ms.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use tokio::net::TcpStream;

use crate::configs::connections::ProcessLimits;
use crate::configs::connections::RECEIVE_BYTES;
use crate::connections::reports::Reports;
use crate::connections::server::Server;
use crate::connections::server::listen;

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the caller closes the connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// A running HTTP server.
pub struct HttpServer {
    server: Server,
}

impl HttpServer {
    /// Starts to listen on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        handler: Arc<dyn Handler>,
        limits: ProcessLimits,
    ) -> io::Result<Self> {
        let connect = move |_: &TcpStream| {
            let handler = Arc::clone(&handler);
            Some(move |request| Arc::clone(&handler).handle(request))
        };
        let listener = listen(address, Some(RECEIVE_BYTES))?;
        let limits = move || limits.product_callers();
        let server = Server::spawn(Reports::logged("caller"), listener, limits, connect)?;
        Ok(Self { server })
    }

    /// Address that the server listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Stops accepting connections and waits for the requests in progress.
    pub async fn close(&self) {
        self.server.stop_accepting();
        self.server.drain().await;
    }
}
