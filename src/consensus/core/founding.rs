//! Founding of a cluster, and the probes of members that lost touch with theirs.

use std::collections::BTreeSet;

use super::Core;
use super::Output;
use crate::consensus::message::Message;
use crate::consensus::types::ANY_DISK;
use crate::consensus::types::Configuration;
use crate::consensus::types::Payload;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// A founder that answered a probe with an empty log.
#[derive(Debug)]
pub(super) struct BlankFounder {
    disk_id: u64,
    term: u64,
    seen_ms: u64,
}

impl Core {
    /// Probes the founders and known members, unless a leader was heard of recently.
    pub(super) fn probe_if_lost(&mut self) {
        let timeouts = self.config.timeouts;
        self.probe_due_ms = self.now_ms + timeouts.election_min_ms / 2;
        let is_leader = self.leader.as_ref() == Some(&self.config.id);
        let heard_ms = self.leader_contact_ms;
        if is_leader || heard_ms.is_some_and(|at| self.now_ms < at + timeouts.election_max_ms) {
            return;
        }
        let blank = self.is_blank();
        for vm in self.contacts() {
            self.send(&VoterId::new(vm, ANY_DISK), Message::Probe { blank });
        }
        self.found_if_all_blank();
    }

    fn contacts(&self) -> Vec<VmName> {
        let members = self.configuration().voters.iter().map(|id| id.vm.clone());
        let leader = self.leader.iter().map(|id| id.vm.clone());
        let founders = self.config.founders.iter().cloned();
        let mut contacts: Vec<VmName> = members.chain(leader).chain(founders).collect();
        contacts.sort();
        contacts.dedup();
        contacts.retain(|vm| *vm != self.config.id.vm);
        contacts
    }

    pub(super) fn probe(&mut self, from: &VoterId, cluster_id: u64) {
        let own_id = self.meta.cluster_id;
        let is_foreign = cluster_id != 0 && own_id != 0 && cluster_id != own_id;
        let retired = is_foreign || self.configuration().retired.contains(from);
        if !retired {
            self.admit(from);
        }
        let reply = Message::ProbeReply {
            blank: self.is_blank(),
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
        if !self.is_blank() {
            return;
        }
        if let Some(leader) = leader
            && leader.vm != self.config.id.vm
        {
            self.leader = Some(leader);
        }
        if blank {
            let seen = BlankFounder {
                disk_id: from.disk_id,
                term,
                seen_ms: self.now_ms,
            };
            self.blank_founders.insert(from.vm, seen);
            self.found_if_all_blank();
        } else {
            self.blank_founders.remove(&from.vm);
        }
    }

    /// Writes the first membership if this VM is the first founder by name and has just heard from
    /// all others that their logs are empty too.
    fn found_if_all_blank(&mut self) {
        let is_first = self.config.founders.iter().min() == Some(&self.config.id.vm);
        let may_found = is_first && self.config.may_found;
        if !may_found || !self.is_blank() || self.meta.cluster_id != 0 {
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
            let Some(founder) = self.blank_founders.get(vm) else {
                return;
            };
            if founder.seen_ms < oldest_ms {
                return;
            }
            term = term.max(founder.term);
            voters.insert(VoterId::new(vm.clone(), founder.disk_id));
        }
        self.found(term, voters);
    }

    fn found(&mut self, term: u64, voters: BTreeSet<VoterId>) {
        self.meta.cluster_id = self.config.id.disk_id;
        self.become_follower(term + 1, None);
        self.save_meta();
        self.blank_founders.clear();
        self.append_local(Payload::Configuration(Configuration {
            voters,
            ..Configuration::default()
        }));
        self.campaign(false);
    }
}
