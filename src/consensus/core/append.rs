//! Follower side of log replication.

use super::Confirmation;
use super::Core;
use crate::consensus::message::ClockStamps;
use crate::consensus::message::Message;
use crate::consensus::types::Entry;
use crate::consensus::types::VoterId;

impl Core {
    pub(super) fn append(&mut self, from: &VoterId, message: Message, stamps: ClockStamps) {
        let Message::Append {
            prev_index,
            prev_term,
            entries,
            commit_index,
            sent_ms,
        } = message
        else {
            return;
        };
        let last_sent = prev_index + entries.len() as u64;
        let is_heartbeat = entries.is_empty();
        if !self.matches(prev_index, prev_term) {
            let hint = self
                .log
                .last_index_before_term_at(prev_index)
                .max(self.commit_index);
            let reply = Message::AppendReply {
                accepted: false,
                index: prev_index,
                last_index: hint,
                sent_ms,
            };
            return self.send(from, reply);
        }
        for entry in entries {
            self.append_from_leader(entry);
        }
        let known = commit_index.min(last_sent);
        self.commit_index = self.commit_index.max(known);
        self.confirm(commit_index, last_sent, stamps);
        match is_heartbeat {
            true => self.reply_with_synced(from, last_sent, sent_ms),
            false => self.acknowledge_once_synced(from, last_sent, sent_ms),
        }
    }

    /// Tells the leader at once that this member follows it, and how much of the log up to `matched`, which is the
    /// leader's, is synced. A sign of life does not wait for the disk.
    pub(super) fn reply_with_synced(&mut self, to: &VoterId, matched: u64, sent_ms: u64) {
        let index = matched.min(self.durable_index);
        let reply = self.accepted(index, sent_ms);
        self.send(to, reply);
    }

    /// Acknowledges the log up to `index` once it is synced.
    pub(super) fn acknowledge_once_synced(&mut self, to: &VoterId, index: u64, sent_ms: u64) {
        let reply = self.accepted(index, sent_ms);
        self.send_durable(to, reply);
    }

    fn accepted(&self, index: u64, sent_ms: u64) -> Message {
        Message::AppendReply {
            accepted: true,
            index,
            last_index: self.log.last_index(),
            sent_ms,
        }
    }

    /// Takes over what the leader knows to be committed, once all of it is in the log up to `last_sent`.
    /// Until an entry of its own term is committed, a leader may know less than its predecessor.
    fn confirm(&mut self, commit_index: u64, last_sent: u64, stamps: ClockStamps) {
        let Some(at_ms) = self.known_since_ms(stamps) else {
            return;
        };
        let is_newest = self.confirmed.is_none_or(|last| last.at_ms <= at_ms);
        let is_complete = commit_index <= last_sent;
        if is_complete && is_newest && self.log.term_at(commit_index) == Some(self.meta.term) {
            self.confirmed = Some(Confirmation {
                index: commit_index,
                at_ms,
            });
        }
    }

    /// Whether the log matches the leader's up to `prev_index`. Committed entries always match.
    fn matches(&self, prev_index: u64, prev_term: u64) -> bool {
        prev_index <= self.commit_index || self.log.term_at(prev_index) == Some(prev_term)
    }

    fn append_from_leader(&mut self, entry: Entry) {
        if entry.index <= self.commit_index {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.append_entry(entry);
    }

    fn truncate(&mut self, from: u64) {
        assert!(
            from > self.commit_index,
            "truncation from {from} would remove committed entries"
        );
        self.log.truncate(from);
        self.limit_durable_index(from - 1);
    }

    /// No entry after `last_kept` is synced, nor will be by a write that has begun.
    pub(super) fn limit_durable_index(&mut self, last_kept: u64) {
        self.durable_index = self.durable_index.min(last_kept);
        for write in &mut self.in_flight {
            write.last_index = write.last_index.min(last_kept);
        }
    }
}
