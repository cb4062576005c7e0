//! Adapters that should be loaded, in the order of their importance.

use std::collections::HashSet;

use crate::scheduling::placement::AdapterDemand;
use crate::scheduling::placement::eviction::Copies;
use crate::scheduling::placement::eviction::PlacementContext;
use crate::scheduling::placement::waiting_score;
use crate::scheduling::routing::rank_homes;
use crate::types::AdapterRef;

/// Time after a load in which waiting work is expected to leave, in milliseconds. VMs learn of the
/// load with their next pull.
const TABLE_PROPAGATION_MS: u64 = 500;

/// Why an adapter should be loaded. Earlier reasons come first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum LoadReason {
    /// Urgent requests wait and no engine has the adapter.
    Stalled,
    /// Urgent requests wait because the engines with the adapter are full.
    Busy,
    /// Patient requests wait and no engine has the adapter.
    Patient,
    /// Many patient requests wait because the engines with the adapter are full.
    BusyPatient,
    /// The data centre uses the adapter so much that it wants more copies.
    Hot,
    /// The adapter is popular and no engine has it.
    Prefetch,
}

impl LoadReason {
    /// The name used in metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Stalled => "stalled",
            Self::Busy => "busy",
            Self::Patient => "patient",
            Self::BusyPatient => "busy_patient",
            Self::Hot => "hot",
            Self::Prefetch => "prefetch",
        }
    }
}

/// An adapter that should be loaded.
#[derive(Clone, Debug)]
pub(super) struct LoadCandidate {
    pub(super) adapter: AdapterRef,
    pub(super) reason: LoadReason,
    /// Comparable with the value of resident adapters.
    pub(super) score: f32,
    /// Time for which the first request has waited, in milliseconds.
    pub(super) waited_ms: u64,
}

impl PlacementContext<'_> {
    /// All needs, most important first.
    pub(super) fn load_candidates(&self) -> Vec<LoadCandidate> {
        let mut waiting: Vec<_> = self.waiting.values().collect();
        // Urgent work in the fair order of accounts, so that an account with many cold adapters
        // does not take the store from others, then patient work with the most tokens per load.
        waiting.sort_by_key(|load| match load.urgent {
            0 => (true, u64::MAX - load.tokens, load.start_by),
            _ => (false, load.rank as u64, load.start_by),
        });
        let mut load_candidates: Vec<_> = waiting
            .iter()
            .filter_map(|load| self.waiting_candidate(load))
            .collect();
        let mut named: HashSet<_> = load_candidates
            .iter()
            .map(|candidate| candidate.adapter.clone())
            .collect();
        for (adapter, score) in self.top {
            if !named.contains(adapter)
                && let Some(reason) = self.popular_reason(adapter, *score)
            {
                named.insert(adapter.clone());
                load_candidates.push(LoadCandidate {
                    adapter: adapter.clone(),
                    reason,
                    score: *score,
                    waited_ms: 0,
                });
            }
        }
        load_candidates.sort_by_key(|candidate| candidate.reason);
        load_candidates
    }

    fn waiting_candidate(&self, load: &AdapterDemand) -> Option<LoadCandidate> {
        let waited_ms = self.now.since(load.since);
        let copies = self.copies_of(&load.adapter);
        if copies.loading > 0 {
            return None;
        }
        let reason = if copies.resident > 0 {
            self.busy_reason(load, copies, waited_ms)?
        } else {
            // The work was addressed here before the other data centre's load was known.
            if self.is_resident_remotely(&load.adapter) && waited_ms < TABLE_PROPAGATION_MS {
                return None;
            }
            if load.urgent > 0 {
                LoadReason::Stalled
            } else {
                LoadReason::Patient
            }
        };
        Some(LoadCandidate {
            adapter: load.adapter.clone(),
            reason,
            score: waiting_score(load.tokens) + self.popularity.score(&load.adapter, self.now),
            waited_ms,
        })
    }

    /// Reason for another copy of a resident adapter whose engines are full.
    fn busy_reason(
        &self,
        load: &AdapterDemand,
        copies: Copies,
        waited_ms: u64,
    ) -> Option<LoadReason> {
        let vms_know_copy = self.now.since(copies.newest) >= TABLE_PROPAGATION_MS;
        if !vms_know_copy || waited_ms < self.config.busy_wait_ms {
            return None;
        }
        if load.urgent > 0 {
            return Some(LoadReason::Busy);
        }
        let fills_engine = load.patient >= self.config.patient_items_per_copy * copies.resident;
        fills_engine.then_some(LoadReason::BusyPatient)
    }

    fn popular_reason(&self, adapter: &AdapterRef, score: f32) -> Option<LoadReason> {
        let copies = self.copies_of(adapter);
        let here = copies.resident + copies.loading;
        let local = self.popularity.local_tokens_per_s(adapter, self.now);
        let wanted = local / self.config.copy_tokens_per_s;
        let own_copy = wanted * 100.0 >= self.config.local_copy_percent;
        if own_copy
            && here < wanted.ceil() as u32
            && (here > 0 || self.is_resident_remotely(adapter))
        {
            return Some(LoadReason::Hot);
        }
        let missing = here == 0 && !self.is_resident_remotely(adapter);
        let prefetch = missing && score >= self.config.prefetch_score && self.is_home(adapter);
        prefetch.then_some(LoadReason::Prefetch)
    }

    /// Whether this data centre is the one that loads the adapter for the fleet.
    fn is_home(&self, adapter: &AdapterRef) -> bool {
        let own = self.table.data_centre();
        let others = self.remote.data_centres().filter(|data_centre| {
            *data_centre != own && self.remote.is_current(data_centre, self.now)
        });
        let ranked = rank_homes(adapter, others.chain(std::iter::once(own)));
        ranked.first().is_some_and(|home| *home == own)
    }
}
