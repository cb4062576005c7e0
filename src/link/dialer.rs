//! Keeps a link open to each of a changing set of addresses.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;

use super::frame::Hello;
use super::session;
use super::session::Handler;

/// First time to open a connection: more than a round trip between regions. A VM that is still down
/// leaves the opening packet unanswered, and the kernel sends it again only after a second.
const MIN_CONNECT_MS: u64 = 150;
/// Longest time to open a connection.
const MAX_CONNECT_MS: u64 = 700;
/// First pause after a link was lost.
const MIN_PAUSE_MS: u64 = 50;
/// Longest pause between two tries.
const MAX_PAUSE_MS: u64 = 300;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Number of a new link, unique in this process.
pub(super) fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Running connections to other VMs. Stops when dropped.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Dialer {
    /// Dials all `targets`, now and as they change.
    pub fn spawn(
        own: Hello,
        targets: watch::Receiver<BTreeSet<SocketAddr>>,
        handler: Arc<dyn Handler>,
    ) -> Self {
        let task = tokio::spawn(keep_dialing(own, targets, handler));
        Self { task }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Ends its task when dropped.
struct Call(JoinHandle<()>);

impl Drop for Call {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn keep_dialing(
    own: Hello,
    mut targets: watch::Receiver<BTreeSet<SocketAddr>>,
    handler: Arc<dyn Handler>,
) {
    let mut calls: BTreeMap<SocketAddr, Call> = BTreeMap::new();
    loop {
        let wanted = targets.borrow_and_update().clone();
        calls.retain(|address, _| wanted.contains(address));
        for address in wanted {
            calls.entry(address).or_insert_with(|| {
                let call = keep_open(own.clone(), address, Arc::clone(&handler));
                Call(tokio::spawn(call))
            });
        }
        if targets.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn keep_open(own: Hello, address: SocketAddr, handler: Arc<dyn Handler>) {
    let mut patience = Patience::default();
    loop {
        let connecting = TcpStream::connect(address);
        let connected = timeout(Duration::from_millis(patience.connect_ms), connecting).await;
        if let Ok(Ok(stream)) = connected {
            session::run(stream, &own, next_id(), &handler).await;
            patience = Patience::default();
        } else {
            patience.grow();
        }
        sleep(Duration::from_millis(patience.pause_ms)).await;
    }
}

/// How long a try to open a connection lasts and what follows it. Both are doubled after each failure.
struct Patience {
    connect_ms: u64,
    pause_ms: u64,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            connect_ms: MIN_CONNECT_MS,
            pause_ms: MIN_PAUSE_MS,
        }
    }
}

impl Patience {
    fn grow(&mut self) {
        self.connect_ms = (self.connect_ms * 2).min(MAX_CONNECT_MS);
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
    }
}
