//! Accepts connections from callers, and answers the platform's readiness probes.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use tokio::net::TcpStream;

use super::answer::Body;
use super::answer::full;
use super::context::Gateway;
use super::controller_question;
use super::exchange;
use crate::configs::connections::PEER_RECEIVE_BYTES;
use crate::configs::connections::RECEIVE_BYTES;
use crate::configs::connections::small_listener;
use crate::connections::reports::Reports;
use crate::connections::server::Server;
use crate::connections::server::listen;
use crate::connections::table::ListenerLimits;
use crate::events::Event;
use crate::events::Severity;

/// Bytes of a head that fit into the buffer of any connection. A connection whose buffer is smaller than the
/// limit in force is closed.
const LEAST_BUFFER_BYTES: usize = 64 * 1024;
/// Bytes that another entry VM may add to a head.
const RELAY_HEAD_BYTES: usize = 1_024;
/// Extra idle time beyond the limit, so that callers close their connections first.
const IDLE_MARGIN_MS: u64 = 5_000;

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
    /// Name of the listener in metrics and logs.
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::EntryVms => "entry_vms",
        }
    }

    fn receive_bytes(self) -> u32 {
        match self {
            Self::Callers => RECEIVE_BYTES,
            Self::EntryVms => PEER_RECEIVE_BYTES,
        }
    }

    /// Limits on connections by the configuration in force.
    fn limits(self, gateway: &Gateway) -> ListenerLimits {
        let limits = gateway.caller_limits();
        let process = gateway.config.process_limits;
        let head_bytes = limits.header_bytes.max(LEAST_BUFFER_BYTES);
        ListenerLimits {
            connections: match self {
                Self::Callers => process.caller_connections(),
                Self::EntryVms => process.peer_connections(),
            },
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms.saturating_add(IDLE_MARGIN_MS),
            head_buffer_bytes: head_bytes.saturating_add(RELAY_HEAD_BYTES),
        }
    }

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
    server: Server,
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
        let limited = Arc::clone(&gateway);
        let limits = move || senders.limits(&limited);
        let shared = Arc::clone(&gateway);
        let connect = move |stream: &TcpStream| {
            let sender = senders.identify(stream, &shared)?;
            let gateway = Arc::clone(&shared);
            let handler = move |request| sender.answer(Arc::clone(&gateway), request);
            Some(handler)
        };
        let config = &gateway.config;
        let reports = Reports::new(senders.name(), &config.meters, &config.events);
        let listener = listen(address, Some(senders.receive_bytes()))?;
        Ok(Self {
            server: Server::spawn(reports, listener, limits, connect)?,
            gateway,
        })
    }

    /// Address that the listener is bound to.
    pub fn local_address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Closes idle connections, and busy ones after their current request, and waits until all are
    /// closed. New requests are refused.
    pub async fn drain(&self) {
        self.gateway.stop_admitting();
        self.server.drain().await;
    }
}

/// Listener that answers the platform's readiness probes.
pub struct Readiness {
    ready: Arc<AtomicBool>,
    _server: Server,
}

impl Readiness {
    /// Listens on `address`. Not ready at first.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn bind(address: SocketAddr, gateway: &Gateway) -> io::Result<Self> {
        let ready = Arc::new(AtomicBool::new(false));
        let shared = Arc::clone(&ready);
        let connect = move |_: &TcpStream| {
            let ready = Arc::clone(&shared);
            Some(move |_| {
                let status = match ready.load(Ordering::Relaxed) {
                    true => StatusCode::OK,
                    false => StatusCode::SERVICE_UNAVAILABLE,
                };
                async move { status_only(status) }
            })
        };
        let config = &gateway.config;
        let reports = Reports::new("readiness", &config.meters, &config.events);
        let listener = listen(address, Some(RECEIVE_BYTES))?;
        Ok(Self {
            ready,
            _server: Server::spawn(reports, listener, small_listener, connect)?,
        })
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

fn status_only(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}
