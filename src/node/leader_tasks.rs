//! Tasks of the VM that leads the replicated log: it proposes ticks of the clock, lost owners,
//! settled limits, and key withdrawals that were made while the log was unreachable.

use std::collections::BTreeMap;
use std::time::Duration;

use log::info;
use tokio::time::Instant;
use tokio::time::sleep;

use super::proposer::Proposer;
use super::state_machine::SharedControlState;
use super::state_machine::lock;
use crate::consensus;
use crate::control::Command;
use crate::control::Owner;
use crate::control::Sha256Hash;
use crate::control::TICK_INTERVAL_MS;
use crate::limits::Settlement;
use crate::membership;
use crate::membership::Liveness;
use crate::membership::Snapshot;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::VmName;

/// Interval at which due commands are collected.
const POLL_INTERVAL_MS: u64 = 200;
/// Minimum interval between two ticks. Without a queued job that is past its deadline, ticks are
/// `TICK_INTERVAL_MS` apart.
const EXPIRY_TICK_MS: u64 = 1_000;
/// Timeout of a proposal.
const PROPOSE_TIMEOUT_MS: u64 = 2_000;
/// Time without membership updates after which the process of a dead VM counts as ended. Longer
/// than the limit of the failure detector, because orders of a VM that is wrongly declared lost end
/// as unknown.
const OWNER_LOST_MS: u64 = 6_000;

/// Proposes the commands that are due while this VM leads the log.
pub struct LeaderTasks {
    /// Clock of this VM.
    pub clock: Clock,
    /// Control state that this VM has applied.
    pub state: SharedControlState,
    /// Replicated log; reports whether this VM leads it.
    pub log: consensus::Handle,
    /// Proposer of the commands.
    pub proposer: Proposer,
    /// Cluster membership.
    pub members: membership::Handle,
}

/// State kept while this VM leads the log.
struct LeaderState {
    settlement: Settlement,
    last_tick: Option<MonoMs>,
    /// Last incarnation seen of each VM.
    incarnations: BTreeMap<VmName, u64>,
}

impl LeaderTasks {
    /// Proposes due commands in each round in which this VM leads the log.
    pub async fn run(self) {
        let mut leading: Option<LeaderState> = None;
        loop {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            if !self.log.status().is_leader {
                if leading.take().is_some() {
                    info!("control: this VM no longer leads the log");
                }
                continue;
            }
            let leading = leading.get_or_insert_with(|| {
                info!("control: this VM leads the log");
                LeaderState {
                    settlement: Settlement::default(),
                    last_tick: None,
                    incarnations: BTreeMap::new(),
                }
            });
            for command in self.due_commands(leading) {
                let deadline = Instant::now() + Duration::from_millis(PROPOSE_TIMEOUT_MS);
                if let Err(error) = self.proposer.propose(&command, deadline).await {
                    log::debug!("control: proposal of the log leader failed: {error}");
                }
            }
        }
    }

    fn due_commands(&self, leading: &mut LeaderState) -> Vec<Command> {
        let now = self.clock.mono();
        let snapshot = self.members.snapshot();
        let mut commands = Vec::new();
        commands.extend(self.tick(leading, now));
        commands.extend(self.lost_owners(leading, &snapshot, now));
        commands.extend(self.settled(leading, &snapshot));
        commands.extend(self.withdrawals(&snapshot));
        commands
    }

    fn tick(&self, leading: &mut LeaderState, now: MonoMs) -> Option<Command> {
        let due = match leading.last_tick.map(|at| now.since(at)) {
            None | Some(TICK_INTERVAL_MS..) => true,
            Some(EXPIRY_TICK_MS..) => self.has_overdue_job(),
            Some(_) => false,
        };
        if !due {
            return None;
        }
        leading.last_tick = Some(now);
        Some(Command::Tick {
            now: self.clock.unix(),
        })
    }

    /// Whether a tick would move a queued job to its final state. Orders need no such tick, because
    /// the record of an order in progress does not depend on time.
    fn has_overdue_job(&self) -> bool {
        let now = self.clock.unix();
        let control = lock(&self.state);
        let first = control.state().jobs().queued().next();
        first.is_some_and(|job| job.accept.deadline_unix_ms <= now)
    }

    /// Commands for VMs that have been silent for `OWNER_LOST_MS`, and for earlier processes of VMs
    /// that have restarted.
    fn lost_owners(
        &self,
        leading: &mut LeaderState,
        snapshot: &Snapshot,
        now: MonoMs,
    ) -> Vec<Command> {
        let mut lost = Vec::new();
        for (vm, view) in &snapshot.vms {
            let previous = leading.incarnations.insert(vm.clone(), view.incarnation);
            let dead = view.liveness(now) == Liveness::Dead;
            let ended = if dead && now.since(view.last_update) >= OWNER_LOST_MS {
                Some(view.incarnation)
            } else if previous != Some(view.incarnation) {
                view.incarnation.checked_sub(1)
            } else {
                None
            };
            if let Some(incarnation) = ended {
                lost.push(Owner {
                    vm: vm.clone(),
                    incarnation,
                });
            }
        }
        let control = lock(&self.state);
        let known = control.state().lost_owners();
        lost.into_iter()
            .filter(|owner| !known.contains(owner))
            .map(|owner| Command::OwnerLost {
                vm: owner.vm,
                incarnation: owner.incarnation,
            })
            .collect()
    }

    fn settled(&self, leading: &mut LeaderState, snapshot: &Snapshot) -> Option<Command> {
        let control = lock(&self.state);
        let state = control.state();
        let data_centres = state.data_centres().into_iter().cloned();
        leading.settlement.set_data_centres(data_centres);
        for view in snapshot.vms.values() {
            let data_centre = &view.payload.data_centre;
            leading
                .settlement
                .note(data_centre, view.status.settled_index);
        }
        let index = leading.settlement.settled_index();
        let oldest = state.oldest_unsettled_limit()?;
        (index >= oldest).then_some(Command::SettleLimits { index })
    }

    fn withdrawals(&self, snapshot: &Snapshot) -> Vec<Command> {
        let control = lock(&self.state);
        let keys = control.state().keys();
        let hashes = snapshot.withdrawn.iter().map(|hash| Sha256Hash(*hash));
        hashes
            .filter(|hash| !keys.is_withdrawn(hash))
            .map(|key_hash| Command::WithdrawGossiped {
                key_hash,
                at: self.clock.unix(),
            })
            .collect()
    }
}
