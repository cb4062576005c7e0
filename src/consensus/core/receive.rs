//! Entry point of received messages: drops messages of other clusters and compares terms.

use super::Core;
use super::Role;
use crate::consensus::message::ClockStamps;
use crate::consensus::message::Envelope;
use crate::consensus::message::FORMAT_VERSION;
use crate::consensus::message::Message;
use crate::consensus::types::ANY_DISK;
use crate::consensus::types::VoterId;

impl Core {
    pub(super) fn receive(&mut self, envelope: Envelope) {
        if !self.is_addressed_to_self(&envelope) {
            return;
        }
        match envelope.message {
            Message::Probe { .. } => return self.probe(&envelope.from, envelope.cluster_id),
            Message::ProbeReply {
                blank,
                leader,
                retired,
            } => {
                let (from, term) = (envelope.from, envelope.term);
                return self.probe_reply(from, term, blank, leader, retired);
            }
            _ => {}
        }
        if self.has_matching_cluster(&envelope) {
            self.dispatch(envelope);
        }
    }

    fn is_addressed_to_self(&self, envelope: &Envelope) -> bool {
        let to = &envelope.to;
        envelope.version == FORMAT_VERSION
            && to.vm == self.config.id.vm
            && (to.disk_id == ANY_DISK || to.disk_id == self.config.id.disk_id)
            && envelope.from != self.config.id
    }

    /// A member without a cluster accepts messages of any cluster, and its vote replies are
    /// accepted by the cluster that requested them.
    fn has_matching_cluster(&self, envelope: &Envelope) -> bool {
        let is_vote_reply = matches!(
            envelope.message,
            Message::PreVoteReply { .. } | Message::VoteReply { .. }
        );
        envelope.cluster_id == self.meta.cluster_id
            || (self.meta.cluster_id == 0 && envelope.cluster_id != 0)
            || (envelope.cluster_id == 0 && is_vote_reply)
    }

    fn dispatch(&mut self, envelope: Envelope) {
        let Envelope {
            cluster_id,
            from,
            term,
            message,
            stamps,
            ..
        } = envelope;
        match message {
            Message::PreVote {
                last_index,
                last_term,
            } => return self.pre_vote(&from, term, last_index, last_term),
            Message::Vote {
                last_index,
                last_term,
                transfer,
            } => return self.vote(&from, term, (last_index, last_term), transfer),
            // Granting a pre-vote does not increase the term, so the reply may carry an earlier
            // one.
            Message::PreVoteReply {
                next_term,
                granted: true,
            } => return self.pre_vote_granted(from, next_term),
            _ => {}
        }
        let is_from_leader = matches!(message, Message::Append { .. } | Message::Snapshot { .. });
        if term < self.meta.term {
            if is_from_leader {
                self.reject_stale_leader(&from, &message);
            }
            return;
        }
        if is_from_leader {
            self.follow_leader(&from, term, cluster_id);
        } else if term > self.meta.term {
            self.become_follower(term, None);
        }
        self.dispatch_current(from, message, stamps);
    }

    fn dispatch_current(&mut self, from: VoterId, message: Message, stamps: ClockStamps) {
        self.keep_stamp(&from, stamps);
        match message {
            Message::VoteReply { granted } => self.vote_reply(from, granted),
            Message::Append { .. } => self.append(&from, message, stamps),
            Message::AppendReply {
                accepted,
                index,
                last_index,
                sent_ms,
            } => self.append_reply(&from, accepted, (index, last_index), sent_ms),
            Message::Snapshot { .. } => self.snapshot_chunk(&from, message),
            Message::SnapshotReply {
                index,
                next_offset,
                sent_ms,
            } => self.snapshot_reply(&from, index, next_offset, sent_ms),
            Message::TimeoutNow if self.is_voter() => self.campaign(true),
            _ => {}
        }
    }

    /// Accepts the sender as the leader of `term`.
    fn follow_leader(&mut self, from: &VoterId, term: u64, cluster_id: u64) {
        assert!(
            term > self.meta.term || !matches!(self.role, Role::Leader(_)),
            "two leaders in term {term}"
        );
        self.become_follower(term, Some(from.clone()));
        if self.meta.cluster_id != cluster_id {
            self.meta.cluster_id = cluster_id;
            self.save_meta();
        }
        self.leader_contact_ms = Some(self.now_ms);
        self.reset_election_deadline();
    }

    /// Replies to a leader of an earlier term with the current term. Without the reply, a member
    /// that reached a higher term and a leader that does not know of it would ignore each other
    /// forever.
    fn reject_stale_leader(&mut self, to: &VoterId, message: &Message) {
        let sent_ms = match message {
            Message::Append { sent_ms, .. } | Message::Snapshot { sent_ms, .. } => *sent_ms,
            _ => return,
        };
        let reply = Message::AppendReply {
            accepted: false,
            index: 0,
            last_index: self.log.last_index(),
            sent_ms,
        };
        self.send(to, reply);
    }
}
