//! Finds the control index below which no data centre acts any more.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::lease::Roster;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::VmName;

/// Tracks which control entries the VMs have applied.
///
/// Index `i` is settled once, in every data centre, a majority of the voters has applied `i` and
/// one lease has passed since. Each later renewal or election reaches one of those voters, learns
/// that `i` is required, and a coordinator that renewed before has lost its lease by then.
#[derive(Debug)]
pub struct Settlement {
    lease_ms: u64,
    rosters: BTreeMap<DataCentre, Roster>,
    applied: BTreeMap<VmName, u64>,
    /// Indexes reached by all majorities that are not settled yet, with the times of first sight.
    reached: VecDeque<(MonoMs, u64)>,
    settled_index: u64,
}

impl Settlement {
    /// Nothing is settled at first.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            rosters: BTreeMap::new(),
            applied: BTreeMap::new(),
            reached: VecDeque::new(),
            settled_index: 0,
        }
    }

    /// Sets the voters of a data centre. A data centre without voters holds up nothing, since it
    /// cannot have a coordinator.
    pub fn set_roster(&mut self, data_centre: DataCentre, roster: Roster) {
        self.rosters.insert(data_centre, roster);
    }

    /// Records that `vm` has applied `index`.
    pub fn note_applied(&mut self, vm: &VmName, index: u64) {
        let applied = self.applied.entry(vm.clone()).or_default();
        *applied = index.max(*applied);
    }

    /// The settled index at `now`; it never falls.
    pub fn settled_index(&mut self, now: MonoMs) -> u64 {
        let reached = self.reached_everywhere();
        let newest = self.reached.back().map_or(self.settled_index, |(_, i)| *i);
        if reached > newest {
            self.reached.push_back((now, reached));
        }
        while let Some((at, index)) = self.reached.front().copied()
            && now.since(at) > self.lease_ms
        {
            self.settled_index = self.settled_index.max(index);
            self.reached.pop_front();
        }
        self.settled_index
    }

    fn reached_everywhere(&self) -> u64 {
        self.rosters
            .values()
            .filter(|roster| roster.vms().next().is_some())
            .map(|roster| {
                let reached = roster.reached_by_majority(|vm| self.applied.get(vm).copied());
                reached.unwrap_or(0)
            })
            .min()
            .unwrap_or(0)
    }
}
