//! Roster of VMs and data centres.
//!
//! The coordinator lease requires a majority of the roster of its data centre. The roster of a data
//! centre therefore changes by one VM at a time, and the next change has to wait until a majority
//! of the old roster has acknowledged the last one. A VM that is being removed counts until then.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::VmName;

/// Maximum number of VMs in all data centres together.
pub const MAX_VMS: usize = 4_096;

/// One VM of the roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterVm {
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Whether the removal of the VM waits for acknowledgements.
    pub leaving: bool,
}

/// A roster change of one data centre that a majority has not acknowledged yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingRoster {
    /// Revision that made the change.
    pub revision: u64,
    /// VM that is added or removed.
    pub vm: VmName,
    /// Whether `vm` is removed.
    pub is_removal: bool,
    /// VMs of the old roster, whose acknowledgements count.
    pub old_vms: BTreeSet<VmName>,
    /// VMs that have acknowledged.
    pub acknowledged: BTreeSet<VmName>,
}

impl PendingRoster {
    fn has_majority(&self) -> bool {
        self.old_vms.is_empty() || self.acknowledged.len() * 2 > self.old_vms.len()
    }
}

/// All VMs and the pending roster changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    vms: BTreeMap<VmName, RosterVm>,
    pending: BTreeMap<DataCentre, PendingRoster>,
    /// Number of changes to the voters of each data centre.
    versions: BTreeMap<DataCentre, u64>,
}

/// Effect of an acknowledgement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum AckOutcome {
    /// The change is still pending, or there is none.
    Pending,
    /// The change is complete. The value is the removed VM, if the change was a removal.
    Complete(Option<(VmName, RosterVm)>),
}

impl Roster {
    /// The VM named `name`.
    pub fn get(&self, name: &str) -> Option<&RosterVm> {
        self.vms.get(name)
    }

    /// All VMs, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &RosterVm)> {
        self.vms.iter()
    }

    /// VMs of `data_centre`, including those that are being removed.
    pub fn vms_of<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a VmName> + 'a {
        self.vms
            .iter()
            .filter(move |(_, vm)| vm.data_centre.as_str() == data_centre)
            .map(|(name, _)| name)
    }

    /// Number of changes to the voters of `data_centre`. Consecutive versions differ by one VM.
    pub fn version_of(&self, data_centre: &str) -> u64 {
        self.versions.get(data_centre).copied().unwrap_or(0)
    }

    /// All data centres that have a VM.
    pub fn data_centres(&self) -> BTreeSet<&DataCentre> {
        self.vms.values().map(|vm| &vm.data_centre).collect()
    }

    /// The change in `data_centre` that waits for acknowledgements.
    pub fn pending(&self, data_centre: &str) -> Option<&PendingRoster> {
        self.pending.get(data_centre)
    }

    /// Revision that `vm` still has to acknowledge, if a change in its data centre waits for it.
    pub fn unacknowledged_revision(&self, vm: &str) -> Option<u64> {
        let data_centre = &self.vms.get(vm)?.data_centre;
        let pending = self.pending.get(data_centre)?;
        let is_missing = pending.old_vms.contains(vm) && !pending.acknowledged.contains(vm);
        is_missing.then_some(pending.revision)
    }

    /// Number of VMs.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Whether there is no VM.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    pub(super) fn join(&mut self, name: VmName, data_centre: DataCentre, revision: u64) {
        let old_vms = self.old_vms(&data_centre);
        let vm = RosterVm {
            data_centre: data_centre.clone(),
            leaving: false,
        };
        self.vms.insert(name.clone(), vm);
        self.increment_version(&data_centre);
        self.set_pending(data_centre, revision, name, false, old_vms);
    }

    pub(super) fn start_removal(&mut self, name: &VmName, revision: u64) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.leaving = true;
        let data_centre = vm.data_centre.clone();
        let old_vms = self.old_vms(&data_centre);
        self.set_pending(data_centre, revision, name.clone(), true, old_vms);
    }

    /// Removes `name` without acknowledgements and discards the pending change in its data centre.
    pub(super) fn force_removal(&mut self, name: &VmName) -> Option<RosterVm> {
        let vm = self.vms.remove(name)?;
        self.pending.remove(&vm.data_centre);
        self.increment_version(&vm.data_centre);
        Some(vm)
    }

    fn increment_version(&mut self, data_centre: &DataCentre) {
        *self.versions.entry(data_centre.clone()).or_default() += 1;
    }

    pub(super) fn acknowledge(&mut self, name: &VmName, revision: u64) -> AckOutcome {
        let Some(data_centre) = self.vms.get(name).map(|vm| vm.data_centre.clone()) else {
            return AckOutcome::Pending;
        };
        let Some(pending) = self.pending.get_mut(&data_centre) else {
            return AckOutcome::Pending;
        };
        if revision < pending.revision || !pending.old_vms.contains(name) {
            return AckOutcome::Pending;
        }
        pending.acknowledged.insert(name.clone());
        if !pending.has_majority() {
            return AckOutcome::Pending;
        }
        let Some(done) = self.pending.remove(&data_centre) else {
            return AckOutcome::Pending;
        };
        if !done.is_removal {
            return AckOutcome::Complete(None);
        }
        self.increment_version(&data_centre);
        AckOutcome::Complete(self.vms.remove_entry(&done.vm))
    }

    fn old_vms(&self, data_centre: &DataCentre) -> BTreeSet<VmName> {
        self.vms_of(data_centre.as_str()).cloned().collect()
    }

    fn set_pending(
        &mut self,
        data_centre: DataCentre,
        revision: u64,
        vm: VmName,
        is_removal: bool,
        old_vms: BTreeSet<VmName>,
    ) {
        let pending = PendingRoster {
            revision,
            vm,
            is_removal,
            old_vms,
            acknowledged: BTreeSet::new(),
        };
        if !pending.has_majority() {
            self.pending.insert(data_centre, pending);
        }
    }
}
