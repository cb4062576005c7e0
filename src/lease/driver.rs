//! Runs an [`Elector`] with the real clock and network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use tokio::time::MissedTickBehavior;

use super::candidate::Timing;
use super::elector::Elector;
use super::elector::ElectorConfig;
use super::elector::HeldLease;
use super::elector::Outgoing;
use super::message::Identity;
use super::message::LeaseReply;
use super::message::LeaseRequest;
use super::message::LeaseTransport;
use super::roster::Roster;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::VmName;

/// Interval at which timers are checked.
const TICK_MS: u64 = 20;

/// Settings of the driver.
#[derive(Clone, Debug)]
pub struct Config {
    /// Identity of this process. The incarnation must increase with each start.
    pub identity: Identity,
    /// Data centre of this process.
    pub data_centre: DataCentre,
    /// Durations of the lease.
    pub timing: Timing,
    /// Clock of the process, shared with the users of [`HeldLease`].
    pub clock: Clock,
}

/// Handle to the running election. Clones refer to the same one; the task ends when the last clone
/// is dropped.
#[derive(Clone)]
pub struct Handle {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    data_centre: DataCentre,
    elector: Mutex<Elector>,
    known_coordinators: Mutex<BTreeMap<DataCentre, VmName>>,
    transport: Arc<dyn LeaseTransport>,
}

/// Starts the coordinator election of a data centre. Must be called within a tokio runtime.
pub fn spawn(config: Config, transport: Arc<dyn LeaseTransport>) -> Handle {
    let clock = config.clock;
    let data_centre = config.data_centre.clone();
    let elector = Elector::new(
        ElectorConfig {
            identity: config.identity,
            data_centre: config.data_centre,
            timing: config.timing,
        },
        clock.mono(),
    );
    let shared = Arc::new(Shared {
        clock,
        data_centre,
        elector: Mutex::new(elector),
        known_coordinators: Mutex::default(),
        transport,
    });
    tokio::spawn(run(Arc::downgrade(&shared)));
    Handle { shared }
}

async fn run(shared: Weak<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_held = false;
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = shared.clock.mono();
        let (outgoing, held) = {
            let mut elector = shared.elector();
            (elector.tick(now), elector.current(now))
        };
        log_change(&shared.data_centre, was_held, held);
        was_held = held.is_some();
        shared.send(outgoing);
    }
}

fn log_change(data_centre: &DataCentre, was_held: bool, held: Option<HeldLease>) {
    match held {
        Some(held) if !was_held => {
            log::info!(
                "lease: this VM coordinates {data_centre}, term {}",
                held.term
            );
        }
        None if was_held => log::warn!("lease: this VM no longer coordinates {data_centre}"),
        _ => {}
    }
}

impl Shared {
    fn elector(&self) -> MutexGuard<'_, Elector> {
        self.elector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn known_coordinators(&self) -> MutexGuard<'_, BTreeMap<DataCentre, VmName>> {
        self.known_coordinators
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn send(self: &Arc<Self>, outgoing: Vec<Outgoing>) {
        for Outgoing { to, request } in outgoing {
            let reply = self.transport.send(to, request);
            let shared = Arc::clone(self);
            tokio::spawn(async move {
                match reply.await {
                    Ok(reply) => {
                        let now = shared.clock.mono();
                        shared.elector().reply(now, &reply);
                    }
                    Err(error) => log::debug!("lease: {error}"),
                }
            });
        }
    }
}

impl Handle {
    /// Processes a lease request of another VM.
    pub fn receive(&self, request: LeaseRequest) -> LeaseReply {
        let mut elector = self.shared.elector();
        elector.receive(self.shared.clock.mono(), &request)
    }

    /// The lease, if this process currently holds it.
    pub fn current(&self) -> Option<HeldLease> {
        let elector = self.shared.elector();
        elector.current(self.shared.clock.mono())
    }

    /// The coordinator of this VM's data centre, if known.
    pub fn coordinator(&self) -> Option<VmName> {
        self.coordinator_of(&self.shared.data_centre)
    }

    /// The coordinator of `data_centre`, if known.
    pub fn coordinator_of(&self, data_centre: &DataCentre) -> Option<VmName> {
        if *data_centre == self.shared.data_centre {
            let now = self.shared.clock.mono();
            let elected = self.shared.elector().coordinator(now);
            if elected.is_some() {
                return elected;
            }
        }
        self.shared.known_coordinators().get(data_centre).cloned()
    }

    /// Sets the coordinator of `data_centre` as reported by gossip.
    pub fn set_known_coordinator(&self, data_centre: DataCentre, vm: Option<VmName>) {
        let mut known = self.shared.known_coordinators();
        match vm {
            Some(vm) => known.insert(data_centre, vm),
            None => known.remove(&data_centre),
        };
    }

    /// Time since the last known contact to a majority of this VM's data centre.
    pub fn majority_contact_age_ms(&self) -> u64 {
        let elector = self.shared.elector();
        elector.majority_contact_age_ms(self.shared.clock.mono())
    }

    /// Replaces the roster of the data centre, unless `roster` has a lower revision.
    pub fn set_roster(&self, roster: Roster) {
        self.shared.elector().set_roster(roster);
    }

    /// Sets the index up to which the VM has applied the replicated log; see
    /// [`Grantor::set_applied`](super::Grantor::set_applied).
    pub fn set_applied(&self, applied_index: Option<u64>) {
        self.shared.elector().set_applied(applied_index);
    }

    /// Makes the holder renew with a term above `term`, which a backend server has reported.
    pub fn require_term_above(&self, term: u64) {
        self.shared.elector().require_term_above(term);
    }

    /// Sets whether the VM may request the lease. An ineligible VM still votes.
    pub fn set_eligible(&self, eligible: bool) {
        self.shared.elector().set_eligible(eligible);
    }

    /// Releases the lease, preferably to `successor`, and makes the VM ineligible to request it
    /// again.
    pub fn step_down(&self, successor: Option<VmName>) {
        let outgoing = {
            let now = self.shared.clock.mono();
            let mut elector = self.shared.elector();
            elector.set_eligible(false);
            elector.release(now, successor)
        };
        self.shared.send(outgoing);
    }
}
