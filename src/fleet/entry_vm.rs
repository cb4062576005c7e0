//! One entry VM: its gateway, its links to the controllers, and its end.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::borrow::Borrowers;
use super::entry_feed::EntryFeed;
use super::log_line::Lifecycle;
use crate::gateway::Acceptor;
use crate::gateway::AdapterRequester;
use crate::gateway::Gateway;
use crate::gateway::GatewayConfig;
use crate::gateway::Quota;
use crate::gateway::Readiness;
use crate::link::Dialer;
use crate::link::Handler;
use crate::link::Hello;
use crate::mechanisms::Mechanism;

/// Interval of the regular work.
const TICK_MS: u64 = 150;
/// Time for which uses of adapters gather before they are told.
const USES_PAUSE_MS: u64 = 10;
/// Ticks between two repetitions of the wishes for adapters.
const WANT_TICKS: u64 = 2;
/// Ticks between two looks at idle connections.
const PRUNE_TICKS: u64 = 7;
/// Time for which new connections are still taken after the VM said that it takes none.
const LINGER_MS: u64 = 2_300;
/// Time before the end by which requests that no server has get their final answer.
const LAST_ANSWER_MS: u64 = 600;
/// Time before the end that is kept for logs.
const LAST_MS: u64 = 200;

/// Settings of an entry VM.
pub struct EntryConfig {
    /// How it greets other VMs.
    pub hello: Hello,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the platform asks whether the VM takes new connections.
    pub readiness_address: SocketAddr,
    /// Links of the controllers that are known at the start.
    pub contacts: BTreeSet<SocketAddr>,
    /// The request path.
    pub gateway: GatewayConfig,
}

/// A running entry VM.
pub struct EntryVm {
    acceptor: Acceptor,
    readiness: Arc<Readiness>,
    gateway: Arc<Gateway>,
    _dialer: Dialer,
    regular: JoinHandle<()>,
    uses: JoinHandle<()>,
    wishes: JoinHandle<()>,
}

impl EntryVm {
    /// Starts to serve. Must be called in a tokio runtime.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub fn spawn(config: EntryConfig) -> io::Result<Self> {
        let borrowers = Borrowers::default();
        let events = config.gateway.events.clone();
        let clock = config.gateway.clock;
        let dialect = Arc::clone(&config.gateway.dialect);
        if !config.gateway.mechanisms.has(Mechanism::Carry) {
            borrowers.reach.disable_local_allowance();
        }
        let quota = Quota::spawn(
            config.hello.vm.clone(),
            config.hello.incarnation,
            clock,
            Arc::new(borrowers.clone()),
            borrowers.reach.clone(),
        );
        let feed = Arc::new(EntryFeed::new(
            config.hello.clone(),
            clock,
            events.clone(),
            dialect,
            borrowers,
            config.contacts,
        ));
        let requester: Arc<dyn AdapterRequester> = Arc::clone(&feed) as Arc<dyn AdapterRequester>;
        let gateway = Arc::new(Gateway::new(config.gateway, quota, requester));
        feed.set_gateway(Arc::clone(&gateway));
        let readiness = Arc::new(Readiness::bind(config.readiness_address)?);
        let acceptor = Acceptor::bind(config.caller_address, Arc::clone(&gateway))?;
        let targets = feed.targets();
        let handler: Arc<dyn Handler> = Arc::clone(&feed) as Arc<dyn Handler>;
        let dialer = Dialer::spawn(config.hello, targets, handler);
        let uses = tell_uses(Arc::clone(&feed), Arc::clone(&gateway));
        let wishes = withdraw_wishes(Arc::clone(&feed), Arc::clone(&gateway));
        let regular = work_regularly(feed, Arc::clone(&gateway), Arc::clone(&readiness));
        events.emit(&Lifecycle {
            phase: "started",
            detail: "entry".into(),
        });
        Ok(Self {
            acceptor,
            readiness,
            gateway,
            _dialer: dialer,
            regular: tokio::spawn(regular),
            uses: tokio::spawn(uses),
            wishes: tokio::spawn(wishes),
        })
    }

    /// The request path.
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Takes no new connections and ends the work in progress, at most until `deadline`.
    pub async fn drain(self, deadline: Instant) {
        let events = self.gateway.events().clone();
        events.emit(&Lifecycle {
            phase: "draining",
            detail: "entry".into(),
        });
        self.regular.abort();
        self.readiness.set(false);
        let last = deadline - Duration::from_millis(LAST_MS);
        let lingered = Instant::now() + Duration::from_millis(LINGER_MS);
        sleep_until(lingered.min(last)).await;
        let answered = last - Duration::from_millis(LAST_ANSWER_MS);
        self.gateway.set_wait_deadline(answered);
        let is_done = timeout_at(last, self.acceptor.drain()).await.is_ok();
        self.uses.abort();
        self.wishes.abort();
        let detail = if is_done {
            "all work ended"
        } else {
            "work cut off"
        };
        events.emit(&Lifecycle {
            phase: "stopped",
            detail: detail.into(),
        });
        events.flush(Duration::from_millis(LAST_MS));
    }
}

/// Tells the holders at once of adapters that came into use or out of it, with a pause in which further
/// ones gather.
async fn tell_uses(feed: Arc<EntryFeed>, gateway: Arc<Gateway>) {
    let changed = gateway.adapter_usage().changed();
    loop {
        changed.notified().await;
        sleep(Duration::from_millis(USES_PAUSE_MS)).await;
        feed.send_uses();
    }
}

/// Withdraws wishes that no request waits for any more, with a pause in which further ones gather.
async fn withdraw_wishes(feed: Arc<EntryFeed>, gateway: Arc<Gateway>) {
    let abandoned = gateway.adapter_waits.abandoned();
    while gateway.has(Mechanism::WishWithdrawal) {
        abandoned.notified().await;
        sleep(Duration::from_millis(USES_PAUSE_MS)).await;
        feed.withdraw_wishes();
    }
}

async fn work_regularly(feed: Arc<EntryFeed>, gateway: Arc<Gateway>, readiness: Arc<Readiness>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut count = 0_u64;
    loop {
        ticks.tick().await;
        count += 1;
        feed.tick(count.is_multiple_of(WANT_TICKS));
        if count.is_multiple_of(PRUNE_TICKS) {
            gateway.prune_pool();
        }
        if !readiness.get() && gateway.deployment().is_some() && feed.knows_servers() {
            readiness.set(true);
        }
        if !feed.is_linked() {
            // Links are dialed by tasks of their own; there is nothing to do until one is open.
            sleep(Duration::from_millis(TICK_MS)).await;
        }
    }
}
