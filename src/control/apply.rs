//! Application of commands to the state.

use std::sync::Arc;

use crate::control::Change;
use crate::control::ChangeId;
use crate::control::Command;
use crate::control::EARLIEST_TICK;
use crate::control::FieldError;
use crate::control::HistoryEntry;
use crate::control::KeyHash;
use crate::control::MAX_TICK_BACK_MS;
use crate::control::MAX_TICK_STEP_MS;
use crate::control::MAX_VMS;
use crate::control::Object;
use crate::control::Outcome;
use crate::control::State;
use crate::control::actions::object_of;
use crate::control::actions::too_many;
use crate::control::key_id;
use crate::control::names;
use crate::control::roster::AckOutcome;
use crate::types::DataCentre;
use crate::types::UnixMs;
use crate::types::VmName;

/// Prefix of the ids of changes that VMs make automatically.
const AUTOMATIC_CHANGE_PREFIX: &str = "auto:";

/// An object before and after a change.
pub(super) struct ObjectChange {
    pub(super) object: String,
    pub(super) before: Option<Object>,
    pub(super) after: Option<Object>,
}

/// Origin of a change.
struct Author {
    change_id: ChangeId,
    operator: Arc<str>,
    at: UnixMs,
}

pub(super) type ActionResult = Result<Option<ObjectChange>, FieldError>;

impl State {
    /// Applies the log entry at `index`. Entries at or below [`State::applied_index`] change
    /// nothing; indexes may have gaps.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        if index <= self.applied_index {
            return Outcome::AlreadyApplied;
        }
        self.applied_index = index;
        let revision = self.revision();
        let outcome = self.apply_command(command);
        if self.revision() != revision {
            self.record_limits(index);
        }
        outcome
    }

    fn apply_command(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Change(change) => self.apply_change(change),
            Command::JoinVm {
                vm,
                data_centre,
                at,
            } => self.join_vm(vm, data_centre, *at),
            Command::AcknowledgeRoster { vm, revision, at } => {
                self.acknowledge_roster(vm, *revision, *at)
            }
            Command::WithdrawGossiped { key_hash, at } => self.withdraw_gossiped(key_hash, *at),
            Command::Order(order) => Outcome::Order(self.orders.apply(order, &self.lost, self.now)),
            Command::Job(job) => Outcome::Job(self.jobs.apply(job, &self.lost, self.now)),
            Command::OwnerLost { vm, incarnation } => self.owner_lost(vm, *incarnation),
            Command::SettleLimits { index } => {
                self.settle_limits(*index);
                Outcome::Noted
            }
            Command::Tick { now } => self.tick(*now),
            Command::Fleet(command) => {
                Outcome::Fleet(self.fleet.apply(self.applied_index, command))
            }
        }
    }

    fn apply_change(&mut self, change: &Change) -> Outcome {
        if let Err(error) = check_change_id(&change.change_id) {
            return Outcome::Invalid(error);
        }
        if let Some(first) = self.revisions.outcome(&change.change_id) {
            return first.clone();
        }
        let outcome = self.evaluate_change(change);
        self.revisions.record_outcome(&change.change_id, &outcome);
        outcome
    }

    fn evaluate_change(&mut self, change: &Change) -> Outcome {
        let current_revision = self.revision();
        if change.base_revision != current_revision && !change.action.ignores_base_revision() {
            let winner = self.revisions.entry(change.base_revision.saturating_add(1));
            return Outcome::Conflict {
                current_revision,
                winner_change_id: winner.map(|entry| entry.change_id.clone()),
            };
        }
        let object = object_of(&change.action);
        let author = Author {
            change_id: change.change_id.clone(),
            operator: change.operator.clone(),
            at: change.at,
        };
        match self.apply_action(&change.action) {
            Ok(change) => self.record(object, change, author),
            Err(error) => Outcome::Invalid(error),
        }
    }

    fn record(&mut self, object: String, change: Option<ObjectChange>, author: Author) -> Outcome {
        let revision = match change {
            None => self.revision(),
            Some(change) => self.revisions.record(HistoryEntry {
                revision: 0,
                change_id: author.change_id,
                at: author.at,
                operator: author.operator,
                object: change.object,
                before: change.before,
                after: change.after,
            }),
        };
        Outcome::Applied { revision, object }
    }

    fn withdraw_gossiped(&mut self, hash: &KeyHash, at: UnixMs) -> Outcome {
        let object = format!("key/{}", key_id(hash));
        let author = Author {
            change_id: format!("{AUTOMATIC_CHANGE_PREFIX}withdraw-{}", key_id(hash)).into(),
            operator: "gossip".into(),
            at,
        };
        let change = self.withdraw_key(hash);
        self.record(object, change, author)
    }

    fn join_vm(&mut self, vm: &VmName, data_centre: &DataCentre, at: UnixMs) -> Outcome {
        let object = format!("vm/{vm}");
        let author = automatic_author(&format!("join-{vm}"), vm, at);
        match self.roster.get(vm.as_str()) {
            Some(known) if known.data_centre == *data_centre && !known.leaving => {
                return self.record(object, None, author);
            }
            Some(known) => {
                let allowed = format!(
                    "a VM that is not in the roster; this one is in {} and has to be removed first",
                    known.data_centre
                );
                return Outcome::Invalid(FieldError::new("vm", vm.as_str(), allowed));
            }
            None => {}
        }
        if let Err(error) = self.check_join(vm, data_centre) {
            return Outcome::Invalid(error);
        }
        let next = self.revision() + 1;
        self.roster.join(vm.clone(), data_centre.clone(), next);
        let change = ObjectChange {
            object: object.clone(),
            before: None,
            after: self.vm_object(vm),
        };
        self.record(object, Some(change), author)
    }

    fn check_join(&self, vm: &VmName, data_centre: &DataCentre) -> Result<(), FieldError> {
        names::check("vm", vm.as_str())?;
        names::check("data_centre", data_centre.as_str())?;
        if self.roster.len() >= MAX_VMS {
            return Err(too_many("vm", vm.as_str(), MAX_VMS, "VMs"));
        }
        self.check_no_pending(vm, data_centre)
    }

    pub(super) fn check_no_pending(
        &self,
        vm: &VmName,
        data_centre: &DataCentre,
    ) -> Result<(), FieldError> {
        let Some(pending) = self.roster.pending(data_centre.as_str()) else {
            return Ok(());
        };
        let allowed = format!(
            "one roster change at a time in {data_centre}; that of {} waits for its majority",
            pending.vm
        );
        Err(FieldError::new("vm", vm.as_str(), allowed))
    }

    fn acknowledge_roster(&mut self, vm: &VmName, revision: u64, at: UnixMs) -> Outcome {
        let AckOutcome::Complete(removed) = self.roster.acknowledge(vm, revision) else {
            return Outcome::Noted;
        };
        let Some((name, before)) = removed else {
            return Outcome::Noted;
        };
        let object = format!("vm/{name}");
        let change = ObjectChange {
            object: object.clone(),
            before: Some(Object::Vm(before)),
            after: None,
        };
        let author = automatic_author(&format!("removed-{name}"), vm, at);
        self.record(object, Some(change), author)
    }

    pub(super) fn vm_object(&self, vm: &VmName) -> Option<Object> {
        self.roster.get(vm.as_str()).cloned().map(Object::Vm)
    }

    fn owner_lost(&mut self, vm: &VmName, incarnation: u64) -> Outcome {
        self.lost.add(vm.clone(), incarnation, self.now);
        let orders_unknown = self.orders.owner_lost(&self.lost);
        let (jobs_requeued, jobs_unknown) = self.jobs.owner_lost(&self.lost, self.now);
        Outcome::OwnerLost {
            orders_unknown,
            jobs_requeued,
            jobs_unknown,
        }
    }

    fn has_nothing_to_expire(&self) -> bool {
        self.orders.is_empty()
            && self.orders.tombstones() == 0
            && self.jobs.is_empty()
            && self.lost.is_empty()
    }

    fn tick(&mut self, now: UnixMs) -> Outcome {
        let can_set_freely = self.now == UnixMs(0) || self.has_nothing_to_expire();
        if now < EARLIEST_TICK || !can_set_freely && self.now.since(now) > MAX_TICK_BACK_MS {
            return Outcome::Noted;
        }
        self.now = match can_set_freely {
            true => now,
            false => now.min(self.now.plus(MAX_TICK_STEP_MS)),
        };
        self.orders.expire(self.now);
        self.jobs.expire(self.now);
        self.lost.expire(self.now);
        Outcome::Noted
    }
}

/// Checks the change id that a client chose: 1 to 63 printable characters, without the prefix that
/// is reserved for changes that VMs make automatically.
///
/// # Errors
///
/// Fails if the id is not allowed.
pub fn check_change_id(id: &str) -> Result<(), FieldError> {
    names::check_id("change_id", id)?;
    if id.starts_with(AUTOMATIC_CHANGE_PREFIX) {
        let allowed = format!("an id that does not start with {AUTOMATIC_CHANGE_PREFIX}");
        return Err(FieldError::new("change_id", id, allowed));
    }
    Ok(())
}

fn automatic_author(id: &str, vm: &VmName, at: UnixMs) -> Author {
    Author {
        change_id: format!("{AUTOMATIC_CHANGE_PREFIX}{id}").into(),
        operator: vm.as_str().into(),
        at,
    }
}
