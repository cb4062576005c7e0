//! Roster: the VMs of a data centre that vote on its lease.

use std::collections::BTreeSet;

use crate::types::VmName;

/// The voters of one data centre at one revision. Consecutive revisions differ by at most one VM,
/// so their majorities intersect.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Roster {
    revision: u64,
    vms: BTreeSet<VmName>,
}

impl Roster {
    /// The roster set by control entry `revision`.
    pub fn new(revision: u64, vms: impl IntoIterator<Item = VmName>) -> Self {
        Self {
            revision,
            vms: vms.into_iter().collect(),
        }
    }

    /// Index of the control entry that set the roster.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The voters, ordered by name.
    pub fn vms(&self) -> impl Iterator<Item = &VmName> {
        self.vms.iter()
    }

    /// Whether `vm` is a voter.
    pub fn contains(&self, vm: &VmName) -> bool {
        self.vms.contains(vm)
    }

    /// Number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.vms.len() / 2 + 1
    }

    /// Position of `vm` in the order of the voters.
    pub fn rank(&self, vm: &VmName) -> Option<usize> {
        self.vms.iter().position(|voter| voter == vm)
    }

    /// The highest value that a majority of the voters has reached, given one value per voter.
    /// `None` if fewer than a majority of the voters have a value.
    pub fn reached_by_majority<T: Copy + Ord>(
        &self,
        value: impl Fn(&VmName) -> Option<T>,
    ) -> Option<T> {
        let mut values: Vec<T> = self.vms.iter().filter_map(value).collect();
        values.sort_unstable();
        let index = values.len().checked_sub(self.majority())?;
        values.get(index).copied()
    }
}
