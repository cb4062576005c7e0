//! Adapters that should be loaded, by priority.

use std::collections::HashSet;

use crate::scheduling::placement::AdapterDemand;
use crate::scheduling::placement::eviction::Copies;
use crate::scheduling::placement::eviction::PlacementContext;
use crate::scheduling::placement::waiting_score;
use crate::scheduling::routing::rank_homes;
use crate::types::AdapterRef;

/// Time after a load within which all VMs learn of it and dispatch queued requests, in milliseconds.
/// VMs learn of loads with their next pull.
const TABLE_PROPAGATION_MS: u64 = 500;

/// Reason for a load. Earlier variants have priority.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum LoadReason {
    /// Urgent requests wait and the adapter is not resident.
    Stalled,
    /// Urgent requests wait because the engines with the adapter are full.
    Busy,
    /// Patient requests wait and the adapter is not resident.
    Patient,
    /// Many patient requests wait because the engines with the adapter are full.
    BusyPatient,
    /// The local token rate exceeds the capacity of the copies in the data centre.
    Hot,
    /// The adapter is popular and not resident in any data centre.
    Prefetch,
}

impl LoadReason {
    /// Name in metrics.
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
    /// Expected tokens per second, comparable with the value of resident adapters.
    pub(super) score: f32,
    /// Time for which the oldest request has waited, in milliseconds.
    pub(super) waited_ms: u64,
}

impl PlacementContext<'_> {
    /// All candidates, in order of priority.
    pub(super) fn load_candidates(&self) -> Vec<LoadCandidate> {
        let mut waiting: Vec<_> = self.waiting.values().collect();
        // Urgent requests come first, in the fair order of accounts, so that an account with many
        // cold adapters does not use up the store's capacity. Patient requests follow, by tokens
        // per load.
        waiting.sort_by_key(|demand| match demand.urgent {
            0 => (true, u64::MAX - demand.tokens, demand.start_by),
            _ => (false, demand.rank as u64, demand.start_by),
        });
        let mut candidates: Vec<_> = waiting
            .iter()
            .filter_map(|demand| self.waiting_candidate(demand))
            .collect();
        let mut included: HashSet<_> = candidates
            .iter()
            .map(|candidate| candidate.adapter.clone())
            .collect();
        for (adapter, score) in self.top {
            if !included.contains(adapter)
                && let Some(reason) = self.popular_reason(adapter, *score)
            {
                included.insert(adapter.clone());
                candidates.push(LoadCandidate {
                    adapter: adapter.clone(),
                    reason,
                    score: *score,
                    waited_ms: 0,
                });
            }
        }
        candidates.sort_by_key(|candidate| candidate.reason);
        candidates
    }

    fn waiting_candidate(&self, demand: &AdapterDemand) -> Option<LoadCandidate> {
        let waited_ms = self.now.since(demand.since);
        let copies = self.copies_of(&demand.adapter);
        if copies.loading > 0 {
            return None;
        }
        let reason = if copies.resident > 0 {
            self.busy_reason(demand, copies, waited_ms)?
        } else {
            // The requests were sent here before the load in the other data centre was known.
            if self.is_resident_remotely(&demand.adapter) && waited_ms < TABLE_PROPAGATION_MS {
                return None;
            }
            if demand.urgent > 0 {
                LoadReason::Stalled
            } else {
                LoadReason::Patient
            }
        };
        Some(LoadCandidate {
            adapter: demand.adapter.clone(),
            reason,
            score: waiting_score(demand.tokens) + self.popularity.score(&demand.adapter, self.now),
            waited_ms,
        })
    }

    /// Reason for another copy of a resident adapter whose engines are full.
    fn busy_reason(
        &self,
        demand: &AdapterDemand,
        copies: Copies,
        waited_ms: u64,
    ) -> Option<LoadReason> {
        let vms_know_copy = self.now.since(copies.newest) >= TABLE_PROPAGATION_MS;
        if !vms_know_copy || waited_ms < self.config.busy_wait_ms {
            return None;
        }
        if demand.urgent > 0 {
            return Some(LoadReason::Busy);
        }
        let fills_engine = demand.patient >= self.config.patient_items_per_copy * copies.resident;
        fills_engine.then_some(LoadReason::BusyPatient)
    }

    fn popular_reason(&self, adapter: &AdapterRef, score: f32) -> Option<LoadReason> {
        let copies = self.copies_of(adapter);
        let local_copies = copies.resident + copies.loading;
        let local_tokens_per_s = self.popularity.local_tokens_per_s(adapter, self.now);
        let wanted_copies = local_tokens_per_s / self.config.copy_tokens_per_s;
        let own_copy = wanted_copies * 100.0 >= self.config.local_copy_percent;
        if own_copy
            && local_copies < wanted_copies.ceil() as u32
            && (local_copies > 0 || self.is_resident_remotely(adapter))
        {
            return Some(LoadReason::Hot);
        }
        let missing = local_copies == 0 && !self.is_resident_remotely(adapter);
        let prefetch = missing && score >= self.config.prefetch_score && self.is_home(adapter);
        prefetch.then_some(LoadReason::Prefetch)
    }

    /// Whether this data centre is the adapter's home, which loads it for the whole fleet.
    fn is_home(&self, adapter: &AdapterRef) -> bool {
        let own = self.table.data_centre();
        let others = self.remote.data_centres().filter(|data_centre| {
            *data_centre != own && self.remote.is_current(data_centre, self.now)
        });
        let ranked = rank_homes(adapter, others.chain(std::iter::once(own)));
        ranked.first().is_some_and(|home| *home == own)
    }
}
