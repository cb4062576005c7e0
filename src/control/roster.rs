//! Roster of VMs and data centres.
//!
//! The coordinator lease needs a majority of the roster of its data centre. The roster of a data
//! centre therefore changes by one VM at a time, and the next change waits until a majority of the
//! old roster has acknowledged the last one. A VM that is being removed counts until then.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::VmName;

/// Most VMs of all data centres together.
pub const MAX_VMS: usize = 4_096;

/// One VM of the roster.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterVm {
    /// Data centre that the VM belongs to.
    pub data_centre: DataCentre,
    /// Whether a removal waits for acknowledgements.
    pub leaving: bool,
}

/// A roster change of one data centre that a majority has not acknowledged yet.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingRoster {
    /// Revision that made the change.
    pub revision: u64,
    /// VM that joins or leaves.
    pub vm: VmName,
    /// Whether `vm` leaves.
    pub is_removal: bool,
    /// VMs whose acknowledgements count.
    pub old_vms: BTreeSet<VmName>,
    /// VMs that have acknowledged.
    pub acknowledged: BTreeSet<VmName>,
}

impl PendingRoster {
    fn has_majority(&self) -> bool {
        self.old_vms.is_empty() || self.acknowledged.len() * 2 > self.old_vms.len()
    }
}

/// The VMs that take part, and the changes that wait.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Roster {
    vms: BTreeMap<VmName, RosterVm>,
    pending: BTreeMap<DataCentre, PendingRoster>,
    /// Number of changes of each data centre's voters.
    versions: BTreeMap<DataCentre, u64>,
}

/// What an acknowledgement did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Acknowledged {
    /// The change still waits, or there is none.
    Nothing,
    /// The change is complete; the VM was removed if the value is `Some`.
    Complete(Option<(VmName, RosterVm)>),
}

impl Roster {
    /// The VM called `name`.
    pub fn get(&self, name: &str) -> Option<&RosterVm> {
        self.vms.get(name)
    }

    /// All VMs in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&VmName, &RosterVm)> {
        self.vms.iter()
    }

    /// VMs of `data_centre`, those that are leaving included.
    pub fn vms_of<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = &'a VmName> + 'a {
        self.vms
            .iter()
            .filter(move |(_, vm)| vm.data_centre.as_str() == data_centre)
            .map(|(name, _)| name)
    }

    /// Number of changes of the voters of `data_centre`; consecutive versions differ by one VM.
    pub fn version_of(&self, data_centre: &str) -> u64 {
        self.versions.get(data_centre).copied().unwrap_or(0)
    }

    /// All data centres that have a VM.
    pub fn data_centres(&self) -> BTreeSet<&DataCentre> {
        self.vms.values().map(|vm| &vm.data_centre).collect()
    }

    /// The change of `data_centre` that waits for acknowledgements.
    pub fn pending(&self, data_centre: &str) -> Option<&PendingRoster> {
        self.pending.get(data_centre)
    }

    /// Revision that `vm` has to acknowledge, if a change of its data centre waits for it.
    pub fn to_acknowledge(&self, vm: &str) -> Option<u64> {
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
        self.count_change(&data_centre);
        self.wait(data_centre, revision, name, false, old_vms);
    }

    pub(super) fn start_removal(&mut self, name: &VmName, revision: u64) {
        let Some(vm) = self.vms.get_mut(name) else {
            return;
        };
        vm.leaving = true;
        let data_centre = vm.data_centre.clone();
        let old_vms = self.old_vms(&data_centre);
        self.wait(data_centre, revision, name.clone(), true, old_vms);
    }

    /// Removes `name` without acknowledgements and drops the change that waits in its data centre.
    pub(super) fn force_removal(&mut self, name: &VmName) -> Option<RosterVm> {
        let vm = self.vms.remove(name)?;
        self.pending.remove(&vm.data_centre);
        self.count_change(&vm.data_centre);
        Some(vm)
    }

    fn count_change(&mut self, data_centre: &DataCentre) {
        *self.versions.entry(data_centre.clone()).or_default() += 1;
    }

    pub(super) fn acknowledge(&mut self, name: &VmName, revision: u64) -> Acknowledged {
        let Some(data_centre) = self.vms.get(name).map(|vm| vm.data_centre.clone()) else {
            return Acknowledged::Nothing;
        };
        let Some(pending) = self.pending.get_mut(&data_centre) else {
            return Acknowledged::Nothing;
        };
        if revision < pending.revision || !pending.old_vms.contains(name) {
            return Acknowledged::Nothing;
        }
        pending.acknowledged.insert(name.clone());
        if !pending.has_majority() {
            return Acknowledged::Nothing;
        }
        let Some(done) = self.pending.remove(&data_centre) else {
            return Acknowledged::Nothing;
        };
        if !done.is_removal {
            return Acknowledged::Complete(None);
        }
        self.count_change(&data_centre);
        Acknowledged::Complete(self.vms.remove_entry(&done.vm))
    }

    fn old_vms(&self, data_centre: &DataCentre) -> BTreeSet<VmName> {
        self.vms_of(data_centre.as_str()).cloned().collect()
    }

    fn wait(
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
