//! Applies each change of the control state to the components of this VM.

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

/// Interval at which the state is checked when no change is reported.
const IDLE_INTERVAL_MS: u64 = 500;
/// Maximum age of the contact with the quorum at which a started VM counts as caught up.
const MAX_CONTACT_AGE_MS: u64 = 2_000;
/// Timeout for proposals of this VM about itself.
const PROPOSE_TIMEOUT_MS: u64 = 2_000;
/// Number of revisions whose log index is kept.
const REMEMBERED_REVISIONS: usize = 1_024;

/// Log index at which this VM first applied each of the latest revisions.
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

    /// Revision of a VM that has applied the log up to `index`; `None` if the revision is older
    /// than those kept.
    pub fn revision_at(&self, index: u64) -> Option<u64> {
        let entries = self.entries.lock().expect("no holder panics");
        let found = entries.iter().rev().find(|(at, _)| *at <= index);
        found.map(|(_, revision)| *revision)
    }
}

/// Task that applies the control state, with the components that it updates.
pub struct ControlSync {
    /// Name of this VM.
    pub vm: VmName,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Clock of this VM.
    pub clock: Clock,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Replicated log.
    pub log: consensus::Handle,
    /// Proposer of changes about this VM.
    pub proposer: Proposer,
    /// Lease handle, which receives the roster.
    pub lease: lease::Handle,
    /// Limit client, which receives the limits for reservations.
    pub limits: limits::Client,
    /// Limit server, which receives the limits for token buckets.
    pub token_server: limits::Server,
    /// Health state, which is notified when the VM has caught up.
    pub health: Arc<VmHealth>,
    /// Index that records the applied revisions.
    pub revisions: Arc<RevisionIndex>,
    /// Channel for the log index up to which every change is in effect on this VM.
    pub effective_index: watch::Sender<u64>,
}

/// Configuration that was applied last.
#[derive(Default)]
struct AppliedConfig {
    index: u64,
    limits: HashMap<AccountName, LimitVersion>,
    accounts: BTreeSet<AccountName>,
    roster_version: Option<u64>,
    caught_up: bool,
}

impl ControlSync {
    /// Follows the control state until the log stops.
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

    /// Applies limits and roster before the index is reported, because the report lets other data
    /// centres raise their shares.
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
            && status.confirmed_age_ms < MAX_CONTACT_AGE_MS;
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

    /// Proposes to join the roster, or acknowledges a roster change that waits for this VM.
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
            let deadline = Instant::now() + Duration::from_millis(PROPOSE_TIMEOUT_MS);
            if let Err(error) = self.proposer.propose(&command, deadline).await {
                log::debug!("control: roster proposal of this VM failed: {error}");
            }
        }
    }
}
