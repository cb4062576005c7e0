//! Dialer that keeps a link open to the controller at each address of a changing set.

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

use super::format::LinkFormat;
use super::frame::Hello;
use super::session;
use super::session::Ended;
use super::session::Handler;
use super::session::Side;

/// Timeout of the first attempt to connect: more than a round trip between regions. A VM that is still
/// down does not answer the SYN packet, and the kernel retransmits it only after a second.
const MIN_CONNECT_TIMEOUT_MS: u64 = 150;
/// Greatest timeout of an attempt to connect.
const MAX_CONNECT_TIMEOUT_MS: u64 = 700;
/// Delay before the first attempt after a link was lost.
const MIN_RETRY_DELAY_MS: u64 = 50;
/// Greatest delay between two attempts.
const MAX_RETRY_DELAY_MS: u64 = 300;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Identifier for a new link, unique in this process.
pub(super) fn next_id() -> u64 {
    NEXT_ID.fetch_add(1, Ordering::Relaxed)
}

/// Maintains outgoing links to other VMs. Stops when dropped.
#[derive(Debug)]
pub struct Dialer {
    task: JoinHandle<()>,
}

impl Dialer {
    /// Starts dialing all `targets` and follows changes of the set.
    pub fn spawn(
        own: Hello,
        targets: watch::Receiver<BTreeSet<SocketAddr>>,
        handler: Arc<dyn Handler>,
    ) -> Self {
        let task = tokio::spawn(dial_targets(own, targets, handler));
        Self { task }
    }
}

impl Drop for Dialer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Task of one link, aborted when dropped.
struct LinkTask(JoinHandle<()>);

impl Drop for LinkTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn dial_targets(
    own: Hello,
    mut targets: watch::Receiver<BTreeSet<SocketAddr>>,
    handler: Arc<dyn Handler>,
) {
    let mut links: BTreeMap<SocketAddr, LinkTask> = BTreeMap::new();
    loop {
        let wanted = targets.borrow_and_update().clone();
        links.retain(|address, _| wanted.contains(address));
        for address in wanted {
            links.entry(address).or_insert_with(|| {
                let link = keep_open(own.clone(), address, Arc::clone(&handler));
                LinkTask(tokio::spawn(link))
            });
        }
        if targets.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

async fn keep_open(own: Hello, address: SocketAddr, handler: Arc<dyn Handler>) {
    let mut backoff = Backoff::default();
    let mut offered = LinkFormat::default();
    loop {
        let connecting = TcpStream::connect(address);
        let connected = timeout(
            Duration::from_millis(backoff.connect_timeout_ms),
            connecting,
        )
        .await;
        if let Ok(Ok(stream)) = connected {
            let side = Side::Dialed(offered);
            let ended = session::run(stream, &own, next_id(), side, &handler).await;
            offered = next_offer(&ended);
            match ended {
                Ended::Unopened => backoff.increase(),
                Ended::Closed | Ended::Refused(_) => backoff = Backoff::default(),
            }
        } else {
            // The VM may come back with another build.
            offered = LinkFormat::default();
            backoff.increase();
        }
        sleep(Duration::from_millis(backoff.retry_delay_ms)).await;
    }
}

/// Format for the next connection: the own one, unless the peer has just stated an older one.
fn next_offer(ended: &Ended) -> LinkFormat {
    match ended {
        Ended::Refused(number) => LinkFormat::from_number(*number).unwrap_or_default(),
        Ended::Closed | Ended::Unopened => LinkFormat::default(),
    }
}

/// Exponential backoff: the timeout of an attempt to connect and the delay after it double with each
/// failure.
struct Backoff {
    connect_timeout_ms: u64,
    retry_delay_ms: u64,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            connect_timeout_ms: MIN_CONNECT_TIMEOUT_MS,
            retry_delay_ms: MIN_RETRY_DELAY_MS,
        }
    }
}

impl Backoff {
    fn increase(&mut self) {
        self.connect_timeout_ms = (self.connect_timeout_ms * 2).min(MAX_CONNECT_TIMEOUT_MS);
        self.retry_delay_ms = (self.retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
    }
}
