//! Runs a [`Table`] against the clock and the network.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::MissedTickBehavior;

use super::crash_records::ClearedCause;
use super::crash_records::CrashCauses;
use super::entry::Announcement;
use super::entry::VmPayload;
use super::entry::VmStatus;
use super::heartbeat_schedule::ROUND_MS;
use super::message::BroadcastRecord;
use super::message::Delta;
use super::message::Digest;
use super::message::GossipTransport;
use super::message::Withdrawal;
use super::quarantine::CrashReport;
use super::quarantine::Fingerprint;
use super::quarantine::Lift;
use super::snapshot::Snapshot;
use super::table::Contact;
use super::table::Table;
use super::table::TableConfig;
use crate::types::Clock;
use crate::types::MonoMs;

/// Interval between checks for due work, and minimum time between rounds with urgent updates.
const TICK_MS: u64 = 50;

/// Number of ticks between snapshots for readers.
const TICKS_PER_SNAPSHOT: u64 = 2;

/// Time for which a local withdrawal is propagated. It must be in the replicated log by then.
const WITHDRAWAL_MS: u64 = 7 * 24 * 3_600_000;

/// Settings of the driver.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings of the table.
    pub table: TableConfig,
    /// VMs to contact initially.
    pub contacts: Vec<Contact>,
    /// Clock of the process, with which readers evaluate liveness.
    pub clock: Clock,
}

/// A handle to the running gossip task, which ends when the last clone of the handle is dropped.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    table: Mutex<Table>,
    snapshot: watch::Sender<Arc<Snapshot>>,
    transport: Arc<dyn GossipTransport>,
}

/// Starts gossip. Must be called in a tokio runtime.
pub fn spawn(config: Config, transport: Arc<dyn GossipTransport>) -> Handle {
    let mut table = Table::new(config.table, config.clock.mono());
    table.set_contacts(config.contacts);
    let shared = Arc::new(Shared {
        clock: config.clock,
        snapshot: watch::Sender::new(Arc::new(table.snapshot())),
        table: Mutex::new(table),
        transport,
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
            table.has_urgent_updates()
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
            let reply = self.transport.gossip(contact.vm, contact.address, digest);
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

    fn add_record(&self, record: BroadcastRecord) {
        let now = self.clock.mono();
        let alerts = {
            let mut table = self.table();
            table.add_record(self.clock.unix(), record.clone());
            table.alerts(now, &record)
        };
        self.publish();
        for (contact, digest) in alerts {
            // A VM that the alert does not reach receives the record by gossip.
            let sending = self.transport.gossip(contact.vm, contact.address, digest);
            tokio::spawn(async move { drop(sending.await) });
        }
    }
}

impl Handle {
    /// Handles another VM's gossip request and returns the reply. `None` if its format is unknown.
    pub fn receive(&self, digest: &Digest) -> Option<Delta> {
        let now = self.shared.clock.mono();
        let unix = self.shared.clock.unix();
        let answer = self.shared.table().answer(now, unix, digest);
        if !digest.updates.records.is_empty() {
            self.shared.publish();
        }
        answer
    }

    /// Records a backend server's announcement. A changed payload is published to readers at once.
    pub fn announce(&self, announcement: Announcement) {
        let now = self.shared.clock.mono();
        let change = self.shared.table().announce(now, announcement);
        if change == super::directory::Change::Payload {
            self.shared.publish();
        }
    }

    /// The last published snapshot. Load reports and heartbeats in it are at most 100 ms old.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshot.borrow().clone()
    }

    /// Subscribes to snapshots.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshot.subscribe()
    }

    /// Changes this VM's own entry.
    pub fn set_self(&self, payload: VmPayload, status: VmStatus) {
        let now = self.shared.clock.mono();
        self.shared.table().set_self(now, payload, status);
    }

    /// Sets the VMs to contact in addition to those in the table, usually the roster.
    pub fn set_contacts(&self, contacts: Vec<Contact>) {
        self.shared.table().set_contacts(contacts);
    }

    /// Incarnation of a later process with this VM's name, if one was seen.
    pub fn superseded_by(&self) -> Option<u64> {
        self.shared.table().superseded_by()
    }

    /// Reports that a request may have crashed a backend server.
    pub fn report_crash(&self, report: CrashReport) {
        self.add_record(BroadcastRecord::Crash(report));
    }

    /// Reports what may have caused the crash of a backend server.
    pub fn report_causes(&self, causes: CrashCauses) {
        self.add_record(BroadcastRecord::Causes(causes));
    }

    /// Reports what did not cause crashes.
    pub fn report_cleared(&self, cleared: ClearedCause) {
        self.add_record(BroadcastRecord::Cleared(cleared));
    }

    /// Lifts the quarantine of a request on behalf of an operator.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) {
        let at = self.shared.clock.unix();
        self.add_record(BroadcastRecord::Lift(Lift { fingerprint, at }));
    }

    /// Withdraws a key on all reachable VMs without using the replicated log.
    pub fn withdraw_key(&self, key_hash: [u8; 32]) {
        let expires = self.shared.clock.unix().plus(WITHDRAWAL_MS);
        self.add_record(BroadcastRecord::Withdrawal(Withdrawal {
            key_hash,
            expires,
        }));
    }

    fn add_record(&self, record: BroadcastRecord) {
        self.shared.add_record(record);
    }
}
