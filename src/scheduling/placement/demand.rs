//! Adapters that VMs wait for, aggregated over their pulls.

use std::collections::BTreeMap;

use crate::scheduling::residency::WaitingAdapter;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::Tokens;
use crate::types::VmName;

/// Requests of all VMs that wait for one adapter, as of the last pulls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdapterDemand {
    /// The adapter.
    pub adapter: AdapterRef,
    /// Urgent requests.
    pub urgent: u32,
    /// Patient requests.
    pub patient: u32,
    /// Reserved tokens.
    pub tokens: Tokens,
    /// Time by which the most pressing request must start to meet its deadline.
    pub start_by: MonoMs,
    /// Time since which the oldest request has waited.
    pub since: MonoMs,
    /// Best position in the fair queue of any VM.
    pub rank: usize,
    /// Engines preferred by the routing policies of the VMs.
    pub preferred: Vec<ServerName>,
}

/// Adapters that each VM waits for.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    by_vm: BTreeMap<VmName, (MonoMs, Vec<WaitingAdapter>)>,
}

impl Demand {
    /// Replaces the adapters that `vm` waits for.
    pub fn update(&mut self, vm: &VmName, waiting: &[WaitingAdapter], now: MonoMs) {
        self.by_vm.insert(vm.clone(), (now, waiting.to_vec()));
    }

    /// Removes VMs that have not pulled for `silent_ms`.
    pub fn expire(&mut self, silent_ms: u64, now: MonoMs) {
        self.by_vm.retain(|_, (at, _)| now.since(*at) < silent_ms);
    }

    /// Aggregates the demand by adapter.
    pub fn merged(&self) -> BTreeMap<AdapterRef, AdapterDemand> {
        let mut merged: BTreeMap<AdapterRef, AdapterDemand> = BTreeMap::new();
        for (at, waiting) in self.by_vm.values() {
            for (rank, entry) in waiting.iter().enumerate() {
                let demand = merged
                    .entry(entry.adapter.clone())
                    .or_insert_with(|| AdapterDemand::empty(&entry.adapter));
                demand.add(entry, rank, *at);
            }
        }
        merged
    }
}

impl AdapterDemand {
    fn empty(adapter: &AdapterRef) -> Self {
        Self {
            adapter: adapter.clone(),
            urgent: 0,
            patient: 0,
            tokens: 0,
            start_by: MonoMs(u64::MAX),
            since: MonoMs(u64::MAX),
            rank: usize::MAX,
            preferred: Vec::new(),
        }
    }

    fn add(&mut self, entry: &WaitingAdapter, rank: usize, at: MonoMs) {
        self.rank = self.rank.min(rank);
        self.urgent += entry.urgent;
        self.patient += entry.patient;
        self.tokens += entry.tokens;
        self.start_by = self.start_by.min(at.plus(entry.slack_ms));
        self.since = self.since.min(MonoMs(at.since(MonoMs(entry.waited_ms))));
        if let Some(server) = &entry.preferred
            && !self.preferred.contains(server)
        {
            self.preferred.push(server.clone());
        }
    }
}
