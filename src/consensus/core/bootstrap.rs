//! Cluster bootstrap, and probes by members without contact to a leader.

use std::collections::BTreeSet;

use super::Core;
use super::Output;
use crate::consensus::message::Message;
use crate::consensus::types::ANY_DISK;
use crate::consensus::types::Configuration;
use crate::consensus::types::Payload;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// A founder that replied to a probe that its log is empty.
#[derive(Debug)]
pub(super) struct EmptyFounder {
    disk_id: u64,
    term: u64,
    seen_ms: u64,
}

impl Core {
    /// Probes the founders, the contacts and known members, unless a leader was in contact within the maximum
    /// election timeout.
    pub(super) fn probe_if_disconnected(&mut self) {
        let timeouts = self.config.timeouts;
        self.probe_due_ms = self.now_ms + timeouts.election_min_ms / 2;
        let is_leader = self.leader.as_ref() == Some(&self.config.id);
        let contact_ms = self.leader_contact_ms;
        if is_leader || contact_ms.is_some_and(|at| self.now_ms < at + timeouts.election_max_ms) {
            return;
        }
        let blank = self.has_empty_log();
        for vm in self.probe_targets() {
            self.send(&VoterId::new(vm, ANY_DISK), Message::Probe { blank });
        }
        self.bootstrap_if_all_empty();
    }

    fn probe_targets(&self) -> Vec<VmName> {
        let members = self.configuration().voters.iter().map(|id| id.vm.clone());
        let leader = self.leader.iter().map(|id| id.vm.clone());
        let founders = self.config.founders.iter().cloned();
        let named = founders.chain(self.contacts.iter().cloned());
        let mut contacts: Vec<VmName> = members.chain(leader).chain(named).collect();
        contacts.sort();
        contacts.dedup();
        contacts.retain(|vm| *vm != self.config.id.vm);
        contacts
    }

    pub(super) fn probe(&mut self, from: &VoterId, cluster_id: u64) {
        let own_cluster_id = self.meta.cluster_id;
        let is_foreign = cluster_id != 0 && own_cluster_id != 0 && cluster_id != own_cluster_id;
        let retired = is_foreign || self.configuration().retired.contains(from);
        if !retired {
            self.add_learner(from);
        }
        let reply = Message::ProbeReply {
            blank: self.has_empty_log(),
            leader: self.leader.clone(),
            retired,
        };
        self.send_durable(from, reply);
    }

    pub(super) fn probe_reply(
        &mut self,
        from: VoterId,
        term: u64,
        blank: bool,
        leader: Option<VoterId>,
        retired: bool,
    ) {
        if retired {
            self.outputs.push(Output::Retired);
        }
        if !self.has_empty_log() {
            return;
        }
        if let Some(leader) = leader
            && leader.vm != self.config.id.vm
        {
            self.leader = Some(leader);
        }
        if blank {
            let seen = EmptyFounder {
                disk_id: from.disk_id,
                term,
                seen_ms: self.now_ms,
            };
            self.empty_founders.insert(from.vm, seen);
            self.bootstrap_if_all_empty();
        } else {
            self.empty_founders.remove(&from.vm);
        }
    }

    /// Bootstraps the cluster if this VM is the first founder by name and all other founders have
    /// reported an empty log within the minimum election timeout.
    fn bootstrap_if_all_empty(&mut self) {
        let is_first = self.config.founders.iter().min() == Some(&self.config.id.vm);
        let may_bootstrap = is_first && self.config.may_bootstrap;
        if !may_bootstrap || !self.has_empty_log() || self.meta.cluster_id != 0 {
            return;
        }
        let oldest_ms = self
            .now_ms
            .saturating_sub(self.config.timeouts.election_min_ms);
        let mut voters = BTreeSet::from([self.config.id.clone()]);
        let mut term = self.meta.term;
        for vm in &self.config.founders {
            if *vm == self.config.id.vm {
                continue;
            }
            let Some(founder) = self.empty_founders.get(vm) else {
                return;
            };
            if founder.seen_ms < oldest_ms {
                return;
            }
            term = term.max(founder.term);
            voters.insert(VoterId::new(vm.clone(), founder.disk_id));
        }
        self.bootstrap(term, voters);
    }

    fn bootstrap(&mut self, term: u64, voters: BTreeSet<VoterId>) {
        self.meta.cluster_id = self.config.id.disk_id;
        self.become_follower(term + 1, None);
        self.save_meta();
        self.empty_founders.clear();
        self.append_local(Payload::Configuration(Configuration {
            voters,
            ..Configuration::default()
        }));
        self.campaign(false);
    }

    pub(super) fn has_empty_log(&self) -> bool {
        self.log.last_index() == 0
    }
}
