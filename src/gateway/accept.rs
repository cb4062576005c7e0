//! Accepts connections from callers, and answers the platform's readiness probes.

use std::convert::Infallible;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::answer::Body;
use super::answer::full;
use super::context::Gateway;
use super::controller_question;
use super::exchange;
use super::idle_timer::IdleTimer;
use super::idle_timer::idle_time;
use crate::accept::next_connection;
use crate::events::Event;
use crate::events::Severity;

/// Length of the listen queue.
const BACKLOG: u32 = 1_024;
/// Bytes of a head that fit into the buffer of any connection. A connection whose buffer is smaller than the
/// limit in force is closed.
const LEAST_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that another entry VM may add to a head.
const RELAY_HEAD_BYTES: usize = 1_024;
/// Interval at which `drain` checks the number of open connections.
const DRAIN_POLL_MS: u64 = 20;

/// Log line: a connection or a request at the address for other entry VMs came from elsewhere and was turned
/// away.
#[derive(Clone, Debug, Serialize)]
struct UnknownPeer {
    address: IpAddr,
}

impl Event for UnknownPeer {
    const KIND: &'static str = "unknown_peer";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Who sends requests to a listener.
#[derive(Clone, Copy, Debug)]
enum Senders {
    Callers,
    EntryVms,
}

impl Senders {
    /// Who opened a connection. `None` for a sender that is neither a caller nor an entry VM.
    fn identify(self, stream: &TcpStream, gateway: &Gateway) -> Option<Sender> {
        if let Self::Callers = self {
            return Some(Sender::Caller);
        }
        let address = stream.peer_addr().ok()?.ip();
        let peers = gateway.peers();
        if peers.knows(address) {
            return Some(Sender::EntryVm(address));
        }
        if peers.remembers(address) {
            return Some(Sender::FormerEntryVm(address));
        }
        drop(peers);
        gateway.events().emit(&UnknownPeer { address });
        None
    }
}

/// Who opened a connection.
#[derive(Clone, Copy, Debug)]
enum Sender {
    Caller,
    /// An entry VM that a controller lists.
    EntryVm(IpAddr),
    /// An entry VM that was listed before, and may only ask for controllers.
    FormerEntryVm(IpAddr),
}

impl Sender {
    async fn answer(self, gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
        match self {
            Self::Caller => exchange::answer(gateway, request, None).await,
            _ if controller_question::is_question(&request) => gateway.name_controllers(),
            Self::EntryVm(address) => exchange::answer(gateway, request, Some(address)).await,
            Self::FormerEntryVm(address) => {
                gateway.events().emit(&UnknownPeer { address });
                status_only(StatusCode::SERVICE_UNAVAILABLE)
            }
        }
    }
}

/// Listener that serves callers' connections until the VM shuts down.
pub struct Acceptor {
    local_address: SocketAddr,
    accepting: JoinHandle<()>,
    close: watch::Sender<bool>,
    open: Arc<AtomicUsize>,
    gateway: Arc<Gateway>,
}

impl Acceptor {
    /// Listens on `address`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, gateway: Arc<Gateway>) -> io::Result<Self> {
        Self::bind_for(address, gateway, Senders::Callers)
    }

    /// Listens on `address` for requests of other entry VMs. Connections of others are closed.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind_for_peers(address: SocketAddr, gateway: Arc<Gateway>) -> io::Result<Self> {
        Self::bind_for(address, gateway, Senders::EntryVms)
    }

    fn bind_for(address: SocketAddr, gateway: Arc<Gateway>, senders: Senders) -> io::Result<Self> {
        let listener = listen(address)?;
        let local_address = listener.local_addr()?;
        let (close, closing) = watch::channel(false);
        let open = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&open);
        let shared = Arc::clone(&gateway);
        let accepting = tokio::spawn(async move {
            loop {
                let stream = next_connection(&listener).await;
                let Some(sender) = senders.identify(&stream, &gateway) else {
                    continue;
                };
                let serving = serve(
                    stream,
                    sender,
                    Arc::clone(&gateway),
                    closing.clone(),
                    ConnectionGuard::new(&counted),
                );
                tokio::spawn(serving);
            }
        });
        Ok(Self {
            local_address,
            accepting,
            close,
            open,
            gateway: shared,
        })
    }

    /// Address that the listener is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Closes idle connections, and busy ones after their current request, and waits until all are
    /// closed. New requests are refused.
    pub async fn drain(&self) {
        self.gateway.stop_admitting();
        self.close.send_replace(true);
        while self.open.load(Ordering::Relaxed) > 0 {
            sleep(Duration::from_millis(DRAIN_POLL_MS)).await;
        }
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(count))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn serve(
    stream: TcpStream,
    sender: Sender,
    gateway: Arc<Gateway>,
    mut closing: watch::Receiver<bool>,
    _guard: ConnectionGuard,
) {
    let _ = stream.set_nodelay(true);
    let mut limits = gateway.caller_limits();
    let (idle, buffer_bytes) = {
        let limits = limits.borrow();
        (
            idle_time(&limits),
            limits.header_bytes.max(LEAST_BUFFER_BYTES),
        )
    };
    let timer = IdleTimer::new(limits.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(sender.answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(timer)
        .header_read_timeout(idle)
        .max_buf_size(buffer_bytes.saturating_add(RELAY_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // An error means that the caller's connection broke. Its request has been dropped with it.
        _ = connection.as_mut() => return,
        _ = closing.wait_for(|close| *close) => {}
        _ = limits.wait_for(|limits| limits.header_bytes > buffer_bytes) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Listener that answers the platform's readiness probes.
pub struct Readiness {
    ready: Arc<AtomicBool>,
    answering: JoinHandle<()>,
}

impl Readiness {
    /// Listens on `address`. Not ready at first.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr) -> io::Result<Self> {
        let listener = listen(address)?;
        let ready = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&ready);
        let answering = tokio::spawn(async move {
            loop {
                let stream = next_connection(&listener).await;
                tokio::spawn(answer_readiness(stream, Arc::clone(&shared)));
            }
        });
        Ok(Self { ready, answering })
    }

    /// Sets whether the VM is ready.
    pub fn set(&self, is_ready: bool) {
        self.ready.store(is_ready, Ordering::Relaxed);
    }

    /// Whether the VM is ready.
    pub fn get(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }
}

impl Drop for Readiness {
    fn drop(&mut self) {
        self.answering.abort();
    }
}

async fn answer_readiness(stream: TcpStream, ready: Arc<AtomicBool>) {
    let service = service_fn(move |_: Request<Incoming>| {
        let status = match ready.load(Ordering::Relaxed) {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<_, Infallible>(status_only(status)) }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // The platform probes again if this connection breaks.
    let _ = serving.await;
}

fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}
