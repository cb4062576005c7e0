//! HTTP server of the caller API on `hyper`. `dropshot` is not used here because it leaves Nagle's
//! algorithm on, which delays each small write of a stream by about 40 ms.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener as StdTcpListener;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::accept::next_connection;

/// Timeout for receiving the header of a request.
const HEADER_TIMEOUT_MS: u64 = 10_000;

/// Response body.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Handler of requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the caller closes the connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> BoxFuture<'static, Response<Body>>;
}

/// A running HTTP server.
pub struct HttpServer {
    local_address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    accepting: JoinHandle<()>,
}

impl HttpServer {
    /// Starts to listen on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, handler: Arc<dyn Handler>) -> io::Result<Self> {
        let listener = StdTcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener)?;
        let local_address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let accepting = tokio::spawn(accept(listener, handler, stopped));
        Ok(Self {
            local_address,
            stop: Some(stop),
            accepting,
        })
    }

    /// Address that the server listens on.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Stops accepting connections and waits for the requests in progress.
    pub async fn close(mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        let _ = (&mut self.accepting).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    mut stopped: oneshot::Receiver<()>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        tokio::select! {
            socket = next_connection(&listener) => serve(socket, handler.clone(), &graceful),
            _ = &mut stopped => break,
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(socket: TcpStream, handler: Arc<dyn Handler>, graceful: &GracefulShutdown) {
    let _ = socket.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler.clone().handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEADER_TIMEOUT_MS))
        .serve_connection(TokioIo::new(socket), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = watched.await {
            debug!("caller: connection failed: {error}");
        }
    });
}
