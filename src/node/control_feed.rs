//! Puts each applied change of the control state in force on this VM.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use super::health::VmHealth;
use super::machine::SharedState;
use super::machine::lock;
use super::proposer::Proposer;
use crate::consensus;
use crate::control::Command;
use crate::control::State;
use crate::lease;
use crate::limits;
use crate::limits::LimitVersion;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::VmName;

/// Interval at which the state is looked at without a change.
const IDLE_MS: u64 = 500;
/// Contact with the quorum that counts as up to date after a start.
const FRESH_CONTACT_MS: u64 = 2_000;
/// Longest wait for a proposal of this VM about itself.
const PROPOSE_MS: u64 = 2_000;
/// Revisions whose log index is remembered.
const REMEMBERED_REVISIONS: usize = 1_024;

/// Knows at which log index this VM first saw each revision.
#[derive(Debug, Default)]
pub struct RevisionIndex {
    seen: Mutex<VecDeque<(u64, u64)>>,
}

impl RevisionIndex {
    fn note(&self, index: u64, revision: u64) {
        let mut seen = self.seen.lock().expect("no holder panics");
        if seen.back().is_some_and(|(_, last)| *last == revision) {
            return;
        }
        seen.push_back((index, revision));
        if seen.len() > REMEMBERED_REVISIONS {
            seen.pop_front();
        }
    }

    /// The last revision that a VM has applied which has applied the log up to `index`; `None` if it
    /// is older than those remembered.
    pub fn revision_at(&self, index: u64) -> Option<u64> {
        let seen = self.seen.lock().expect("no holder panics");
        let found = seen.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, revision)| *revision)
    }
}

/// What the feed needs.
pub struct ControlFeed {
    /// This VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Time.
    pub clock: Clock,
    /// The control state.
    pub state: SharedState,
    /// The replicated log.
    pub log: consensus::Handle,
    /// Proposes changes about this VM.
    pub proposer: Proposer,
    /// Gets the roster.
    pub lease: lease::Handle,
    /// Gets the limits for reservations.
    pub limits: limits::Client,
    /// Gets the limits for token buckets.
    pub token_server: limits::Server,
    /// Told when the VM has caught up.
    pub health: Arc<VmHealth>,
    /// Gets the revisions seen.
    pub revisions: Arc<RevisionIndex>,
    /// Gets the index up to which everything is in force.
    pub in_force: watch::Sender<u64>,
}

/// What was put in force last.
#[derive(Default)]
struct InForce {
    index: u64,
    limits: HashMap<AccountName, LimitVersion>,
    accounts: BTreeSet<AccountName>,
    roster_version: Option<u64>,
    caught_up: bool,
}

impl ControlFeed {
    /// Follows the control state until the log ends.
    pub async fn run(self) {
        let mut applied = self.log.subscribe_applied();
        let mut in_force = InForce::default();
        loop {
            self.put_in_force(&mut in_force);
            self.propose_about_self().await;
            let changed = applied.changed();
            if let Ok(Err(_)) = timeout(Duration::from_millis(IDLE_MS), changed).await {
                return;
            }
        }
    }

    /// Sets limits and roster before the index is reported, since the report lets other data centres
    /// raise their shares.
    fn put_in_force(&self, in_force: &mut InForce) {
        {
            let machine = lock(&self.state);
            let state = machine.state();
            let index = state.applied_index();
            if index != in_force.index {
                self.set_limits(state, in_force);
                self.set_roster(state, in_force);
                self.revisions.note(index, state.revision());
                in_force.index = index;
                self.token_server.set_applied(index);
            }
        }
        let status = self.log.status();
        let up_to_date = in_force.index >= status.commit_index
            && status.quorum_contact_age_ms < FRESH_CONTACT_MS;
        if up_to_date && !in_force.caught_up {
            in_force.caught_up = true;
            self.health.set_caught_up();
        }
        let reported = in_force.caught_up.then_some(in_force.index);
        self.lease.set_applied(reported);
        self.in_force.send_replace(in_force.index);
    }

    fn set_limits(&self, state: &State, in_force: &mut InForce) {
        let mut accounts = BTreeSet::new();
        for account in state.accounts() {
            accounts.insert(account.name.clone());
            let Some(history) = state.limit_history(account.name.as_str()) else {
                continue;
            };
            self.token_server
                .set_history(account.name.clone(), history.clone());
            let latest = history.latest();
            if let Some(latest) = latest
                && in_force.limits.get(&account.name) != Some(latest)
            {
                self.limits.set_limits(account.name.clone(), latest.clone());
                in_force.limits.insert(account.name.clone(), latest.clone());
            }
        }
        for gone in in_force.accounts.difference(&accounts) {
            self.limits.remove(gone);
            self.token_server.remove(gone);
            in_force.limits.remove(gone);
        }
        in_force.accounts = accounts;
    }

    fn set_roster(&self, state: &State, in_force: &mut InForce) {
        let data_centre = self.data_centre.as_str();
        let version = state.roster().version_of(data_centre);
        if in_force.roster_version == Some(version) {
            return;
        }
        let vms = state.roster().vms_of(data_centre).cloned();
        self.lease.set_roster(lease::Roster::new(version, vms));
        in_force.roster_version = Some(version);
    }

    /// Joins the roster, and acknowledges changes of it that wait for this VM.
    async fn propose_about_self(&self) {
        let command = {
            let machine = lock(&self.state);
            let roster = machine.state().roster();
            let at = self.clock.unix();
            match roster.get(self.vm.as_str()) {
                None => Some(Command::JoinVm {
                    vm: self.vm.clone(),
                    data_centre: self.data_centre.clone(),
                    at,
                }),
                Some(_) => roster
                    .unacknowledged_revision(self.vm.as_str())
                    .map(|revision| Command::AcknowledgeRoster {
                        vm: self.vm.clone(),
                        revision,
                        at,
                    }),
            }
        };
        if let Some(command) = command {
            let deadline = Instant::now() + Duration::from_millis(PROPOSE_MS);
            if let Err(error) = self.proposer.propose(&command, deadline).await {
                log::debug!("control: a roster proposal of this VM failed: {error}");
            }
        }
    }
}
