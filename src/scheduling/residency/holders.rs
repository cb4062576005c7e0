//! VMs that may hold a table, and what they have acknowledged.

use std::collections::BTreeMap;
use std::collections::HashMap;

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
    /// Time by which the VM has no request in flight, if it stays silent.
    silent_until: MonoMs,
}

/// All incarnations that block evictions until they acknowledge or have been waited out.
#[derive(Clone, Debug)]
pub(super) struct Holders {
    config: ResidencyConfig,
    /// VMs of the roster that have not pulled in this term, with the end of the wait for them.
    unseen: BTreeMap<VmName, MonoMs>,
    seen: BTreeMap<(VmName, u64), Holder>,
    /// Time by which requests of earlier incarnations have ended.
    ghosts_until: MonoMs,
}

impl Holders {
    pub(super) fn new(config: ResidencyConfig, roster: &[VmName], now: MonoMs) -> Self {
        let silent_until = silent_until(&config, now);
        Self {
            config,
            unseen: roster.iter().map(|vm| (vm.clone(), silent_until)).collect(),
            seen: BTreeMap::new(),
            ghosts_until: MonoMs::default(),
        }
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
        if !self.seen.contains_key(&key) {
            self.wait_for_earlier_incarnation(pull, now);
        }
        let holder = self.seen.entry(key).or_insert_with(|| Holder {
            first_served: if pull.known.is_some() { 0 } else { change },
            acknowledged,
            in_use: HashMap::new(),
            silent_until,
        });
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
            self.ghosts_until = self.ghosts_until.max(now.plus(left_ms));
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
        if now < self.ghosts_until || self.unseen.values().any(|until| now < *until) {
            return false;
        }
        let key = (server.clone(), adapter.clone());
        self.seen.values().all(|holder| {
            let acknowledged = holder.acknowledged >= mark && !holder.in_use.contains_key(&key);
            let never_listed = holder.first_served >= mark;
            acknowledged || never_listed || now >= holder.silent_until
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

fn silent_until(config: &ResidencyConfig, served: MonoMs) -> MonoMs {
    served.plus(config.valid_ms + config.longest_request_ms + config.drift_ms)
}
