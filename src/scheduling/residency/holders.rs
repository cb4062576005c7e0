//! VMs that may have cached a table, and the versions that they have acknowledged.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::scheduling::residency::ResidencyConfig;
use crate::scheduling::residency::TablePull;
use crate::types::AdapterRef;
use crate::types::MonoMs;
use crate::types::ServerName;
use crate::types::VmName;

/// One incarnation of a VM that may dispatch or have requests in flight.
#[derive(Clone, Debug)]
struct Holder {
    /// Change number of the first table served to the VM in this term; 0 if the VM may have cached a
    /// table of an earlier term.
    first_served: u64,
    /// Change number of the last table served to the VM.
    last_served: u64,
    /// Highest change number acknowledged by a pull.
    acknowledged: u64,
    /// Requests in flight as of the pull with the highest acknowledgement.
    in_use: Uses,
    /// Time at which the VM stops dispatching if it stays silent.
    table_expires_at: MonoMs,
    /// Time at which the last request of the VM has ended if it stays silent.
    requests_end_at: MonoMs,
}

/// Adapters for which an engine has requests, as reported by the engine.
#[derive(Clone, Debug)]
struct EngineUsage {
    /// Time just before the engine was queried.
    sampled: MonoMs,
    adapters: HashSet<AdapterRef>,
}

/// VM incarnations that block evictions until they acknowledge the drain or time out.
#[derive(Clone, Debug)]
pub(super) struct Holders {
    config: ResidencyConfig,
    /// VMs of the roster that have not pulled in this term, each with its time-out.
    awaiting_pull: BTreeMap<VmName, MonoMs>,
    incarnations: BTreeMap<(VmName, u64), Holder>,
    /// Sum of `in_use` over all VMs, so that placement does not visit every VM for every slot.
    totals: Totals,
    /// Time at which all requests dispatched with tables of earlier terms have ended.
    earlier_terms_end_at: MonoMs,
    /// Time at which all tables of earlier terms have expired.
    earlier_tables_expire_at: MonoMs,
    /// Time at which the requests that earlier incarnations dispatched in earlier terms have ended.
    earlier_incarnations_end_at: MonoMs,
    /// Time at which all earlier incarnations still waited for have stopped dispatching.
    earlier_incarnations_stop_at: MonoMs,
    /// Usage reported by engines. Ends the wait for VMs that can no longer dispatch.
    engine_usage: HashMap<ServerName, EngineUsage>,
}

/// Draining adapter of an engine, with the change numbers that decide whether it can be evicted.
pub(super) struct DrainingAdapter<'a> {
    pub(super) server: &'a ServerName,
    pub(super) adapter: &'a AdapterRef,
    /// Change number of the drain mark.
    pub(super) drain_change: u64,
    /// Change number at which the adapter became resident.
    pub(super) resident_change: u64,
}

impl Holders {
    pub(super) fn new(config: ResidencyConfig, roster: &[VmName], now: MonoMs) -> Self {
        let requests_end_at = now.plus(config.silent_vm_timeout_ms());
        Self {
            config,
            awaiting_pull: roster
                .iter()
                .map(|vm| (vm.clone(), requests_end_at))
                .collect(),
            incarnations: BTreeMap::new(),
            totals: HashMap::new(),
            earlier_terms_end_at: requests_end_at,
            earlier_tables_expire_at: now.plus(config.valid_ms + config.clock_drift_ms),
            earlier_incarnations_end_at: MonoMs::default(),
            earlier_incarnations_stop_at: MonoMs::default(),
            engine_usage: HashMap::new(),
        }
    }

    /// Records the adapters in use as reported by an engine that was queried at `sampled`.
    pub(super) fn record_engine_usage(
        &mut self,
        server: &ServerName,
        adapters: HashSet<AdapterRef>,
        sampled: MonoMs,
    ) {
        let usage = EngineUsage { sampled, adapters };
        self.engine_usage.insert(server.clone(), usage);
    }

    /// Removes the usage report of a removed engine.
    pub(super) fn forget_engine(&mut self, server: &ServerName) {
        self.engine_usage.remove(server);
    }

    /// Whether the engine was queried at `after` or later and reported no request for the adapter.
    fn reported_idle(&self, draining: &DrainingAdapter<'_>, after: MonoMs) -> bool {
        let usage = self.engine_usage.get(draining.server);
        usage.is_some_and(|usage| {
            usage.sampled >= after && !usage.adapters.contains(draining.adapter)
        })
    }

    /// Records the acknowledgement and the uses in `pull`. `term` and `change` are the version of the
    /// table served in reply.
    pub(super) fn record(&mut self, pull: &TablePull, term: u64, change: u64, now: MonoMs) {
        self.awaiting_pull.remove(&pull.vm);
        let key = (pull.vm.clone(), pull.incarnation);
        if !self.incarnations.contains_key(&key) {
            self.shorten_waits_for_earlier_incarnations(pull, now);
        }
        if pull.leaving && pull.in_use.is_empty() {
            if let Some(left) = self.incarnations.remove(&key) {
                subtract(&mut self.totals, &left.in_use);
            }
            return;
        }
        let acknowledged = match pull.known {
            Some(known) if known.term == term => known.change,
            _ => 0,
        };
        let requests_end_at = now.plus(self.config.silent_vm_timeout_ms());
        let table_expires_at = now.plus(self.config.valid_ms + self.config.clock_drift_ms);
        let holder = self.incarnations.entry(key).or_insert_with(|| Holder {
            first_served: if pull.known.is_some() { 0 } else { change },
            last_served: change,
            acknowledged,
            in_use: HashMap::new(),
            table_expires_at,
            requests_end_at,
        });
        holder.table_expires_at = table_expires_at;
        holder.requests_end_at = requests_end_at;
        holder.last_served = change;
        // A delayed pull must not overwrite the report of a newer one.
        if acknowledged >= holder.acknowledged {
            holder.acknowledged = acknowledged;
            let before = std::mem::replace(&mut holder.in_use, reported(pull));
            add(&mut self.totals, &holder.in_use);
            subtract(&mut self.totals, &before);
        }
    }

    /// Requests of an earlier incarnation were dispatched before this one started, so they have ended
    /// `longest_request_ms` after that. Earlier incarnations that pulled in this term are known;
    /// others can only have used tables of earlier terms.
    fn shorten_waits_for_earlier_incarnations(&mut self, pull: &TablePull, now: MonoMs) {
        let wait_ms = self.config.longest_request_ms + self.config.clock_drift_ms;
        let ended = now.plus(wait_ms.saturating_sub(pull.up_ms));
        let stopped_at = now.plus(self.config.clock_drift_ms);
        for ((vm, incarnation), holder) in &mut self.incarnations {
            if *vm == pull.vm && *incarnation < pull.incarnation {
                holder.requests_end_at = holder.requests_end_at.min(ended);
                holder.table_expires_at = holder.table_expires_at.min(stopped_at);
            }
        }
        self.earlier_incarnations_end_at = self
            .earlier_incarnations_end_at
            .max(ended.min(self.earlier_terms_end_at));
        self.earlier_incarnations_stop_at = stopped_at;
    }

    /// Removes VMs whose time-out has passed.
    pub(super) fn expire(&mut self, now: MonoMs) {
        self.awaiting_pull.retain(|_, until| now < *until);
        let totals = &mut self.totals;
        self.incarnations.retain(|_, holder| {
            let waits = now < holder.requests_end_at;
            if !waits {
                subtract(totals, &holder.in_use);
            }
            waits
        });
    }

    /// Whether no VM can have the adapter in use or dispatch to it again.
    pub(super) fn is_safe_to_evict(&self, draining: &DrainingAdapter<'_>, now: MonoMs) -> bool {
        let idle_since = |after: MonoMs| self.reported_idle(draining, after);
        if now < self.earlier_incarnations_end_at && !idle_since(self.earlier_incarnations_stop_at)
        {
            return false;
        }
        let awaiting_pull = self.awaiting_pull.values().any(|until| now < *until);
        if awaiting_pull && !idle_since(self.earlier_tables_expire_at) {
            return false;
        }
        let key = (draining.server.clone(), draining.adapter.clone());
        self.incarnations.values().all(|holder| {
            let unused = !holder.in_use.contains_key(&key);
            let acknowledged = holder.acknowledged >= draining.drain_change && unused;
            let never_listed = holder.first_served >= draining.drain_change;
            // A VM that has replaced its table of an earlier term cannot use an adapter that was not
            // in any table served to it.
            let of_this_term = holder.first_served > 0 || holder.acknowledged > 0;
            let not_listed_yet =
                holder.last_served < draining.resident_change && of_this_term && unused;
            let silent = now >= holder.requests_end_at || idle_since(holder.table_expires_at);
            acknowledged || never_listed || not_listed_yet || silent
        })
    }

    /// Requests in flight on `adapter` of `server`, as of the last pulls.
    pub(super) fn in_use(&self, server: &ServerName, adapter: &AdapterRef) -> u32 {
        let on_server = self.totals.get(server);
        let requests = on_server.and_then(|adapters| adapters.get(adapter));
        requests.copied().unwrap_or(0)
    }

    /// Requests in flight on `server`, as of the last pulls.
    pub(super) fn running_on(&self, server: &ServerName) -> u32 {
        let on_server = self.totals.get(server);
        on_server.map_or(0, |adapters| adapters.values().sum())
    }
}

type Totals = HashMap<ServerName, HashMap<AdapterRef, u32>>;
type Uses = HashMap<(ServerName, AdapterRef), u32>;

fn add(totals: &mut Totals, uses: &Uses) {
    for ((server, adapter), requests) in uses {
        let adapters = totals.entry(server.clone()).or_default();
        *adapters.entry(adapter.clone()).or_default() += requests;
    }
}

fn subtract(totals: &mut Totals, uses: &Uses) {
    for ((server, adapter), requests) in uses {
        let Some(adapters) = totals.get_mut(server) else {
            continue;
        };
        if let Some(total) = adapters.get_mut(adapter) {
            *total -= requests;
            if *total == 0 {
                adapters.remove(adapter);
            }
        }
        if adapters.is_empty() {
            totals.remove(server);
        }
    }
}

fn reported(pull: &TablePull) -> Uses {
    let uses = pull.in_use.iter().filter(|entry| entry.requests > 0);
    uses.map(|entry| {
        let key = (entry.server.clone(), entry.adapter.clone());
        (key, entry.requests)
    })
    .collect()
}
