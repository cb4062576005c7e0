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
use super::proposer::Proposer;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
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
const IDLE_INTERVAL_MS: u64 = 500;
/// Contact with the quorum that counts as up to date after a start.
const MAX_CONTACT_AGE_MS: u64 = 2_000;
/// Longest wait for a proposal of this VM about itself.
const PROPOSE_TIMEOUT_MS: u64 = 2_000;
/// Revisions whose log index is remembered.
const REMEMBERED_REVISIONS: usize = 1_024;

/// Knows at which log index this VM first saw each revision.
#[derive(Debug, Default)]
pub struct RevisionIndex {
    entries: Mutex<VecDeque<(u64, u64)>>,
}

impl RevisionIndex {
    fn note(&self, index: u64, revision: u64) {
        let mut entries = self.entries.lock().expect("no holder panics");
        if entries.back().is_some_and(|(_, last)| *last == revision) {
            return;
        }
        entries.push_back((index, revision));
        if entries.len() > REMEMBERED_REVISIONS {
            entries.pop_front();
        }
    }

    /// The last revision that a VM has applied which has applied the log up to `index`; `None` if it
    /// is older than those remembered.
    pub fn revision_at(&self, index: u64) -> Option<u64> {
        let entries = self.entries.lock().expect("no holder panics");
        let found = entries.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, revision)| *revision)
    }
}

/// What the feed needs.
pub struct ControlSync {
    /// This VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Time.
    pub clock: Clock,
    /// The control state.
    pub state: SharedControlState,
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
    pub effective_index: watch::Sender<u64>,
}

/// What was put in force last.
#[derive(Default)]
struct AppliedConfig {
    index: u64,
    limits: HashMap<AccountName, LimitVersion>,
    accounts: BTreeSet<AccountName>,
    roster_version: Option<u64>,
    caught_up: bool,
}

impl ControlSync {
    /// Follows the control state until the log ends.
    pub async fn run(self) {
        let mut applied = self.log.subscribe_applied();
        let mut applied_config = AppliedConfig::default();
        loop {
            self.apply_state(&mut applied_config);
            self.propose_about_self().await;
            let changed = applied.changed();
            if let Ok(Err(_)) = timeout(Duration::from_millis(IDLE_INTERVAL_MS), changed).await {
                return;
            }
        }
    }

    /// Sets limits and roster before the index is reported, since the report lets other data centres
    /// raise their shares.
    fn apply_state(&self, applied_config: &mut AppliedConfig) {
        {
            let control = lock(&self.state);
            let state = control.state();
            let index = state.applied_index();
            if index != applied_config.index {
                self.set_limits(state, applied_config);
                self.set_roster(state, applied_config);
                self.revisions.note(index, state.revision());
                applied_config.index = index;
                self.token_server.set_applied(index);
            }
        }
        let status = self.log.status();
        let up_to_date = applied_config.index >= status.commit_index
            && status.quorum_contact_age_ms < MAX_CONTACT_AGE_MS;
        if up_to_date && !applied_config.caught_up {
            applied_config.caught_up = true;
            self.health.set_caught_up();
        }
        let reported = applied_config.caught_up.then_some(applied_config.index);
        self.lease.set_applied(reported);
        self.effective_index.send_replace(applied_config.index);
    }

    fn set_limits(&self, state: &State, applied_config: &mut AppliedConfig) {
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
                && applied_config.limits.get(&account.name) != Some(latest)
            {
                self.limits.set_limits(account.name.clone(), latest.clone());
                applied_config
                    .limits
                    .insert(account.name.clone(), latest.clone());
            }
        }
        for gone in applied_config.accounts.difference(&accounts) {
            self.limits.remove(gone);
            self.token_server.remove(gone);
            applied_config.limits.remove(gone);
        }
        applied_config.accounts = accounts;
    }

    fn set_roster(&self, state: &State, applied_config: &mut AppliedConfig) {
        let data_centre = self.data_centre.as_str();
        let version = state.roster().version_of(data_centre);
        if applied_config.roster_version == Some(version) {
            return;
        }
        let vms = state.roster().vms_of(data_centre).cloned();
        self.lease.set_roster(lease::Roster::new(version, vms));
        applied_config.roster_version = Some(version);
    }

    /// Joins the roster, and acknowledges changes of it that wait for this VM.
    async fn propose_about_self(&self) {
        let command = {
            let control = lock(&self.state);
            let roster = control.state().roster();
            let at = self.clock.unix();
            match roster.get(self.vm.as_str()) {
                None => Some(Command::JoinVm {
                    vm: self.vm.clone(),
                    data_centre: self.data_centre.clone(),
                    at,
                }),
                Some(_) => roster.to_acknowledge(self.vm.as_str()).map(|revision| {
                    Command::AcknowledgeRoster {
                        vm: self.vm.clone(),
                        revision,
                        at,
                    }
                }),
            }
        };
        if let Some(command) = command {
            let deadline = Instant::now() + Duration::from_millis(PROPOSE_TIMEOUT_MS);
            if let Err(error) = self.proposer.propose(&command, deadline).await {
                log::debug!("control: a roster proposal of this VM failed: {error}");
            }
        }
    }
}
