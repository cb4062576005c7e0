//! Pool of idle connections to backend servers.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use super::meter::Meter;
use crate::connections::stream::ObservedStream;

/// Time for which a connection is kept if the server does not announce a limit.
const DEFAULT_IDLE_MS: u64 = 900;
/// Longest time for which a connection is kept.
const MAX_IDLE_MS: u64 = 10_000;
/// Idle time up to which a connection is used for a request that must not be repeated. The longer a
/// connection is idle, the more likely the server closes it just as the request is sent.
const UNREPEATABLE_IDLE_MS: u64 = 400;
/// Time after which unacknowledged bytes break a connection.
const UNACKNOWLEDGED_MS: u64 = 1_500;
/// Idle connections kept for one server.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Largest buffer of a connection, and so the largest head of an answer.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Open connection.
#[derive(Debug)]
pub struct Connection {
    /// Sends one request at a time.
    pub sender: SendRequest<Full<Bytes>>,
    /// Counts the bytes of the current answer.
    pub(crate) meter: Meter,
}

/// Failed connection to a backend server.
#[derive(Clone, Debug, Snafu)]
#[snafu(display("cannot connect to {address}: {reason}"))]
pub struct ConnectError {
    /// Address of the server.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub reason: String,
}

/// Result of connecting.
pub type Result<T> = std::result::Result<T, ConnectError>;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Idle connections by address.
#[derive(Debug)]
pub struct Pool {
    max_idle: usize,
    /// The connections to each address, the one that has been idle for longest first.
    idle: HashMap<SocketAddr, Vec<Idle>>,
}

impl Pool {
    /// Creates a pool of at most `max_idle` connections.
    pub fn new(max_idle: usize) -> Self {
        Self {
            max_idle,
            idle: HashMap::new(),
        }
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// Takes the most recently used idle connection to `address`.
    pub fn take(&mut self, address: SocketAddr, may_repeat: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(candidate) = idle.pop() {
            let idle_ms = now.duration_since(candidate.since).as_millis() as u64;
            let is_young_enough = may_repeat || idle_ms <= UNREPEATABLE_IDLE_MS;
            let is_open = candidate.connection.sender.is_ready();
            if now < candidate.until && is_young_enough && is_open {
                candidate.connection.meter.begin();
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Returns a connection whose answer was read to its end. At the limit, the one that has been idle for longest
    /// is closed.
    pub fn put(&mut self, address: SocketAddr, connection: Connection, keep: Option<Duration>) {
        let now = Instant::now();
        let keep = keep.map_or(Duration::from_millis(DEFAULT_IDLE_MS), |advertised| {
            advertised
                .mul_f64(0.8)
                .min(Duration::from_millis(MAX_IDLE_MS))
        });
        let idle = self.idle.entry(address).or_default();
        if connection.sender.is_closed() || idle.len() >= MAX_IDLE_CONNECTIONS {
            return;
        }
        idle.push(Idle {
            connection,
            since: now,
            until: now + keep,
        });
        if self.idle_count() > self.max_idle {
            self.close_longest_idle();
        }
    }

    fn close_longest_idle(&mut self) {
        let first = |idle: &Vec<Idle>| idle.first().map(|first| first.since);
        let oldest = self
            .idle
            .iter()
            .filter_map(|(to, idle)| Some((first(idle)?, *to)));
        if let Some((_, address)) = oldest.min()
            && let Some(idle) = self.idle.get_mut(&address)
        {
            idle.remove(0);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&mut self) {
        let now = Instant::now();
        self.idle.retain(|_, idle| {
            idle.retain(|one| now < one.until && !one.connection.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&mut self, address: SocketAddr) {
        self.idle.remove(&address);
    }
}

/// Opens a connection.
///
/// # Errors
/// The server cannot be reached within `wait`.
pub async fn connect(address: SocketAddr, wait: Duration) -> Result<Connection> {
    connect_from(None, address, wait).await
}

/// Opens a connection from the local address `source`.
///
/// # Errors
/// The server cannot be reached within `wait`.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    wait: Duration,
) -> Result<Connection> {
    let failed = |reason: String| ConnectError { address, reason };
    let stream = timeout(wait, open_stream(source, address))
        .await
        .map_err(|_| failed("timed out".to_owned()))?
        .map_err(|error| failed(error.to_string()))?;
    let _ = stream.set_nodelay(true);
    set_peer_timeouts(&stream);
    let meter = Meter::default();
    let stream = ObservedStream::new(stream, meter.clone());
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::spawn(async move {
        // Connection errors are reported by the request in progress.
        let _ = connection.await;
    });
    Ok(Connection { sender, meter })
}

async fn open_stream(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

/// Sets TCP timeouts that detect a peer which disappears without a reset.
fn set_peer_timeouts(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let unacknowledged = Duration::from_millis(UNACKNOWLEDGED_MS);
    let keepalive = TcpKeepalive::new()
        .with_time(Duration::from_secs(1))
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    // Both options only shorten the wait for a dead peer, so errors are ignored.
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
