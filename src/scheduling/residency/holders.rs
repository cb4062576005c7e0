//! VMs that may hold a table, and what they have acknowledged.

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
    /// Change number of the first table that the VM got in this term; 0 if it may hold a table of
    /// an earlier term.
    first_served: u64,
    /// Highest change number that a pull acknowledged.
    acknowledged: u64,
    /// Requests in flight as of the pull with the highest acknowledgement.
    in_use: HashMap<(ServerName, AdapterRef), u32>,
    /// Time from which the VM dispatches nothing more, if it stays silent.
    lapsed_from: MonoMs,
    /// Time by which the VM has no request in flight, if it stays silent.
    silent_until: MonoMs,
}

/// An engine's own list of the adapters that it has requests for.
#[derive(Clone, Debug)]
struct EngineUse {
    /// Time before the engine was asked.
    sampled: MonoMs,
    adapters: HashSet<AdapterRef>,
}

/// All incarnations that block evictions until they acknowledge or have been waited out.
#[derive(Clone, Debug)]
pub(super) struct Holders {
    config: ResidencyConfig,
    /// VMs of the roster that have not pulled in this term, with the end of the wait for them.
    unseen: BTreeMap<VmName, MonoMs>,
    /// Time from which the tables of earlier terms have lapsed.
    earlier_terms_lapsed: MonoMs,
    seen: BTreeMap<(VmName, u64), Holder>,
    /// Time of the first pull of the youngest incarnation.
    restart_seen: MonoMs,
    /// Time by which requests of earlier incarnations have ended.
    restart_until: MonoMs,
    /// What engines told about their use. Ends waits for VMs that can no longer dispatch.
    engine_use: HashMap<ServerName, EngineUse>,
}

impl Holders {
    pub(super) fn new(config: ResidencyConfig, roster: &[VmName], now: MonoMs) -> Self {
        let silent_until = silent_until(&config, now);
        Self {
            config,
            unseen: roster.iter().map(|vm| (vm.clone(), silent_until)).collect(),
            earlier_terms_lapsed: lapsed_from(&config, now),
            seen: BTreeMap::new(),
            restart_seen: MonoMs::default(),
            restart_until: MonoMs::default(),
            engine_use: HashMap::new(),
        }
    }

    /// Records an engine's list of adapters in use, asked for at `sampled`.
    pub(super) fn record_engine_use(
        &mut self,
        server: &ServerName,
        adapters: HashSet<AdapterRef>,
        sampled: MonoMs,
    ) {
        let told = EngineUse { sampled, adapters };
        self.engine_use.insert(server.clone(), told);
    }

    /// Forgets what an engine told, because it is gone.
    pub(super) fn forget_engine(&mut self, server: &ServerName) {
        self.engine_use.remove(server);
    }

    /// Whether the engine told, at `after` or later, that it has no request for `adapter`.
    fn told_idle(&self, server: &ServerName, adapter: &AdapterRef, after: MonoMs) -> bool {
        let told = self.engine_use.get(server);
        told.is_some_and(|told| told.sampled >= after && !told.adapters.contains(adapter))
    }

    /// Records what `pull` proves. `term` and `change` name the table that is served in reply.
    pub(super) fn record(&mut self, pull: &TablePull, term: u64, change: u64, now: MonoMs) {
        self.unseen.remove(&pull.vm);
        let key = (pull.vm.clone(), pull.incarnation);
        if pull.leaving && pull.in_use.is_empty() {
            self.seen.remove(&key);
            return;
        }
        let acknowledged = match pull.known {
            Some(known) if known.term == term => known.change,
            _ => 0,
        };
        let silent_until = silent_until(&self.config, now);
        let lapsed_from = lapsed_from(&self.config, now);
        if !self.seen.contains_key(&key) {
            self.wait_for_earlier_incarnation(pull, now);
        }
        let holder = self.seen.entry(key).or_insert_with(|| Holder {
            first_served: if pull.known.is_some() { 0 } else { change },
            acknowledged,
            in_use: HashMap::new(),
            lapsed_from,
            silent_until,
        });
        holder.lapsed_from = lapsed_from;
        holder.silent_until = silent_until;
        // A pull that arrives late must not replace what a newer one has reported.
        if acknowledged >= holder.acknowledged {
            holder.acknowledged = acknowledged;
            holder.in_use = reported(pull);
        }
    }

    /// A request of an earlier incarnation was dispatched before this one started, so it has ended
    /// one longest request after that.
    fn wait_for_earlier_incarnation(&mut self, pull: &TablePull, now: MonoMs) {
        let wait_ms = self.config.longest_request_ms + self.config.drift_ms;
        let left_ms = wait_ms.saturating_sub(pull.up_ms);
        if left_ms > 0 {
            self.restart_seen = now.plus(self.config.drift_ms);
            self.restart_until = self.restart_until.max(now.plus(left_ms));
        }
    }

    /// Forgets VMs that have been waited out.
    pub(super) fn expire(&mut self, now: MonoMs) {
        self.unseen.retain(|_, until| now < *until);
        self.seen.retain(|_, holder| now < holder.silent_until);
    }

    /// Whether no VM can have `adapter` of `server` in use after the drain mark of change `mark`.
    pub(super) fn all_clear(
        &self,
        server: &ServerName,
        adapter: &AdapterRef,
        mark: u64,
        now: MonoMs,
    ) -> bool {
        let idle_since = |after: MonoMs| self.told_idle(server, adapter, after);
        if now < self.restart_until && !idle_since(self.restart_seen) {
            return false;
        }
        let unseen = self.unseen.values().any(|until| now < *until);
        if unseen && !idle_since(self.earlier_terms_lapsed) {
            return false;
        }
        let key = (server.clone(), adapter.clone());
        self.seen.values().all(|holder| {
            let acknowledged = holder.acknowledged >= mark && !holder.in_use.contains_key(&key);
            let never_listed = holder.first_served >= mark;
            let silent = now >= holder.silent_until || idle_since(holder.lapsed_from);
            acknowledged || never_listed || silent
        })
    }

    /// Requests in flight on `adapter` of `server` as of the last pulls.
    pub(super) fn in_use(&self, server: &ServerName, adapter: &AdapterRef) -> u32 {
        let key = (server.clone(), adapter.clone());
        let uses = self.seen.values().filter_map(|h| h.in_use.get(&key));
        uses.sum()
    }
}

fn reported(pull: &TablePull) -> HashMap<(ServerName, AdapterRef), u32> {
    let uses = pull.in_use.iter().filter(|entry| entry.requests > 0);
    uses.map(|entry| {
        let key = (entry.server.clone(), entry.adapter.clone());
        (key, entry.requests)
    })
    .collect()
}

fn lapsed_from(config: &ResidencyConfig, served: MonoMs) -> MonoMs {
    served.plus(config.valid_ms + config.drift_ms)
}

fn silent_until(config: &ResidencyConfig, served: MonoMs) -> MonoMs {
    served.plus(config.valid_ms + config.longest_request_ms + config.drift_ms)
}
