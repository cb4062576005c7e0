//! Accepts connections and serves HTTP on them within the limits of their listener.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body::Body;
use http_body::Frame;
use http_body::SizeHint;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;

use super::activity::Activity;
use super::activity::ActivityObserver;
use super::activity::Closing;
use super::reports::Reports;
use super::stream::ObservedStream;
use super::table::ConnectionTable;
use super::table::ListenerLimits;
use super::table::OpenConnection;
use crate::accept::next_connection;

/// Length of the listen queue.
const BACKLOG: u32 = 1_024;
/// Interval at which the connections are checked.
const CHECK_INTERVAL_MS: u64 = 500;
/// Interval at which `drain` checks the number of open connections.
const DRAIN_POLL_MS: u64 = 20;
/// Connections of one listener that may hold a large head at once.
const LARGE_HEADS: usize = 32;

/// Binds a listener whose connections receive at most `receive_bytes` ahead; the system's default if `None`.
///
/// # Errors
/// The address cannot be bound.
pub fn listen(address: SocketAddr, receive_bytes: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive_bytes {
        // Accepted connections inherit the size.
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A listener and its connections. It stops accepting when dropped.
pub struct Server {
    local_address: SocketAddr,
    table: Arc<ConnectionTable>,
    drain: watch::Sender<bool>,
    tasks: [JoinHandle<()>; 2],
}

impl Server {
    /// Serves the connections of `listener` within `limits`, which are read again and again. `connect` returns
    /// the handler of a new connection's requests, or `None` for one that is closed. Closed connections are
    /// counted in `reports`.
    ///
    /// # Errors
    /// The address of the listener is not known.
    pub fn spawn<L, C, H, F, B>(
        reports: Reports,
        listener: TcpListener,
        limits: L,
        connect: C,
    ) -> io::Result<Self>
    where
        L: Fn() -> ListenerLimits + Clone + Send + Sync + 'static,
        C: Fn(&TcpStream) -> Option<H> + Send + 'static,
        H: Fn(Request<Incoming>) -> F + Send + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
        B: Body + Send + Unpin + 'static,
        B::Data: Send,
        B::Error: Into<Box<dyn Error + Send + Sync>>,
    {
        let local_address = listener.local_addr()?;
        let table = Arc::new(ConnectionTable::default());
        let (drain, draining) = watch::channel(false);
        let checking = check_connections(reports, Arc::clone(&table), limits.clone());
        let opened = Arc::clone(&table);
        let large_heads = Arc::new(Semaphore::new(LARGE_HEADS));
        let accepting = async move {
            loop {
                let stream = next_connection(&listener).await;
                let limits = limits();
                let Some(handler) = connect(&stream) else {
                    continue;
                };
                let Some(connection) = opened.open(&limits) else {
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let activity = Arc::clone(connection.activity());
                let observer = ActivityObserver::new(activity, Arc::clone(&large_heads));
                let stream = ObservedStream::new(stream, observer);
                let serving = serve(
                    stream,
                    connection,
                    limits.head_buffer_bytes,
                    handler,
                    draining.clone(),
                );
                tokio::spawn(serving);
            }
        };
        Ok(Self {
            local_address,
            table,
            drain,
            tasks: [tokio::spawn(accepting), tokio::spawn(checking)],
        })
    }

    /// Address that the listener is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Closes idle connections, and busy ones after their current request, and waits until all are closed.
    pub async fn drain(&self) {
        self.drain.send_replace(true);
        while self.table.count() > 0 {
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }

    /// Stops accepting connections.
    pub fn stop_accepting(&self) {
        self.tasks[0].abort();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn check_connections(
    mut reports: Reports,
    table: Arc<ConnectionTable>,
    limits: impl Fn() -> ListenerLimits,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(CHECK_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last = Instant::now();
    loop {
        ticks.tick().await;
        let elapsed_ms = last.elapsed().as_millis() as u64;
        last = Instant::now();
        table.advance(elapsed_ms, &limits());
        reports.update(table.count(), table.closed());
    }
}

async fn serve<H, F, B>(
    stream: ObservedStream<ActivityObserver>,
    connection: OpenConnection,
    head_buffer_bytes: usize,
    handler: H,
    mut draining: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + Unpin + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let activity = Arc::clone(connection.activity());
    let mut closing = activity.closing();
    let service = service_fn(move |mut request: Request<Incoming>| {
        activity.begin_request();
        request.extensions_mut().insert(Arc::clone(&activity));
        // On the heap, so that a connection without a request does not hold the space for one.
        let answering = Box::pin(handler(request));
        let activity = Arc::clone(&activity);
        async move {
            let response = answering.await;
            Ok::<_, Infallible>(response.map(|body| ObservedBody { body, activity }))
        }
    });
    let serving = http1::Builder::new()
        .max_buf_size(head_buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(serving);
    tokio::select! {
        // An error means that the client's connection broke. Its request has been dropped with it.
        _ = serving.as_mut() => return,
        _ = draining.wait_for(|draining| *draining) => {}
        _ = closing.wait_for(|closing| *closing != Closing::Open) => {}
    }
    serving.as_mut().graceful_shutdown();
    tokio::select! {
        _ = serving.as_mut() => {}
        _ = closing.wait_for(|closing| *closing == Closing::AtOnce) => {}
    }
}

/// Body of an answer, whose end is the end of its request.
struct ObservedBody<B> {
    body: B,
    activity: Arc<Activity>,
}

impl<B: Body + Unpin> Body for ObservedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for ObservedBody<B> {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}
