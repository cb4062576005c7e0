//! Runs a [`Table`] against the clock and the network.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::entry::Announcement;
use super::entry::VmPayload;
use super::entry::VmStatus;
use super::message::Delta;
use super::message::Digest;
use super::message::Fact;
use super::message::GossipPeers;
use super::message::Withdrawal;
use super::pace::ROUND_MS;
use super::quarantine::CrashReport;
use super::quarantine::Fingerprint;
use super::quarantine::Lift;
use super::table::Contact;
use super::table::Snapshot;
use super::table::Table;
use super::table::TableConfig;
use crate::types::Clock;
use crate::types::MonoMs;

/// Time between looks at what is due, and shortest time between rounds that carry urgent news.
const TICK_MS: u64 = 50;

/// Ticks between snapshots for readers.
const TICKS_PER_SNAPSHOT: u64 = 2;

/// Time for which a local withdrawal spreads. It must be in the replicated log by then.
const WITHDRAWAL_MS: u64 = 7 * 24 * 3_600_000;

/// Settings of the driver.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings of the table.
    pub table: TableConfig,
    /// VMs to contact first.
    pub contacts: Vec<Contact>,
    /// Clock of the process, which readers use to judge liveness.
    pub clock: Clock,
}

/// The running membership. Clones share it; the task ends when the last clone is dropped.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    table: Mutex<Table>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    peers: Arc<dyn GossipPeers>,
}

/// Starts gossip. Must be called in a tokio runtime.
pub fn spawn(config: Config, peers: Arc<dyn GossipPeers>) -> Handle {
    let mut table = Table::new(config.table, config.clock.mono());
    table.set_contacts(config.contacts);
    let shared = Arc::new(Shared {
        clock: config.clock,
        snapshot: watch::Sender::new(Arc::new(table.snapshot())),
        table: Mutex::new(table),
        peers,
    });
    tokio::spawn(run(Arc::downgrade(&shared)));
    Handle { shared }
}

async fn run(shared: Weak<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_round = MonoMs(0);
    let mut tick_count: u64 = 0;
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.clock.mono();
        let unix = shared.clock.unix();
        let urgent = {
            let mut table = shared.table();
            table.tick(now, unix);
            table.has_urgent_news()
        };
        if urgent || now >= next_round {
            next_round = now.plus(ROUND_MS);
            shared.start_round(now);
        }
        tick_count += 1;
        if tick_count.is_multiple_of(TICKS_PER_SNAPSHOT) {
            shared.publish();
        }
    }
}

impl Shared {
    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self) {
        let snapshot = Arc::new(self.table().snapshot());
        self.snapshot.send_replace(snapshot);
    }

    fn start_round(self: &Arc<Self>, now: MonoMs) {
        let mut table = self.table();
        for contact in table.choose_peers(now) {
            let digest = table.digest(now, &contact.data_centre);
            let reply = self.peers.gossip(contact.vm, contact.address, digest);
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                match reply.await {
                    Ok(delta) => {
                        let now = shared.clock.mono();
                        let unix = shared.clock.unix();
                        shared.table().merge_delta(now, unix, &delta);
                    }
                    Err(error) => log::debug!("membership: {error}"),
                }
            });
        }
    }

    fn add_fact(&self, fact: Fact) {
        let now = self.clock.mono();
        let alerts = {
            let mut table = self.table();
            table.add_fact(self.clock.unix(), fact.clone());
            table.alerts(now, &fact)
        };
        self.publish();
        for (contact, digest) in alerts {
            // A VM that the alert does not reach learns the fact by gossip.
            let sending = self.peers.gossip(contact.vm, contact.address, digest);
            tokio::spawn(async move { drop(sending.await) });
        }
    }
}

impl Handle {
    /// Answers another VM's gossip. `None` if its format is unknown.
    pub fn receive(&self, digest: &Digest) -> Option<Delta> {
        let now = self.shared.clock.mono();
        let unix = self.shared.clock.unix();
        let answer = self.shared.table().answer(now, unix, digest);
        if !digest.news.facts.is_empty() {
            self.shared.publish();
        }
        answer
    }

    /// Records a backend server's announcement, which readers see at once.
    pub fn announce(&self, announcement: Announcement) {
        let now = self.shared.clock.mono();
        let change = self.shared.table().announce(now, announcement);
        if change == super::directory::Change::Payload {
            self.shared.publish();
        }
    }

    /// What is known now. Load reports and heartbeats are at most 100 ms old.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshot.borrow().clone()
    }

    /// Follows the snapshots.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshot.subscribe()
    }

    /// Changes this VM's own entry.
    pub fn set_self(&self, payload: VmPayload, status: VmStatus) {
        let now = self.shared.clock.mono();
        self.shared.table().set_self(now, payload, status);
    }

    /// Sets the VMs to contact apart from those in the table, usually the roster.
    pub fn set_contacts(&self, contacts: Vec<Contact>) {
        self.shared.table().set_contacts(contacts);
    }

    /// Incarnation of another process of this VM's name that shadows this one, if there is one.
    pub fn superseded_by(&self) -> Option<u64> {
        self.shared.table().superseded_by()
    }

    /// Reports that a request may have crashed a backend server.
    pub fn report_crash(&self, report: CrashReport) {
        self.add_fact(Fact::Crash(report));
    }

    /// Ends the quarantine of a request by order of an operator.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) {
        let at = self.shared.clock.unix();
        self.add_fact(Fact::Lift(Lift { fingerprint, at }));
    }

    /// Withdraws a key on all reachable VMs without the replicated log.
    pub fn withdraw_key(&self, key_hash: [u8; 32]) {
        let expires = self.shared.clock.unix().plus(WITHDRAWAL_MS);
        self.add_fact(Fact::Withdrawal(Withdrawal { key_hash, expires }));
    }

    fn add_fact(&self, fact: Fact) {
        self.shared.add_fact(fact);
    }
}
