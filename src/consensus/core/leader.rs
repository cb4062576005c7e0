//! Leader side of log replication: heartbeats, commit index and leadership transfer.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::Core;
use super::Output;
use super::Role;
use super::report::CandidacyOutcome;
use super::snapshot::OutgoingSnapshot;
use crate::consensus::message::Message;
use crate::consensus::types::Entry;
use crate::consensus::types::Payload;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// Maximum size of the entries in one `Append`.
const MAX_APPEND_BYTES: usize = 256 * 1_024;

/// Maximum size of the entries sent to a member that has not replied recently.
const MAX_PROBE_BYTES: usize = 4 * 1_024;

/// Maximum number of entries in flight to a member, that is sent but not acknowledged.
const MAX_UNACKNOWLEDGED_ENTRIES: u64 = 4_096;

/// Size of the entries in flight to a member from which on it gets no more until it acknowledges some. Large
/// enough to use the links between regions while a member catches up.
const MAX_UNACKNOWLEDGED_BYTES: usize = 2 * 1_024 * 1_024;

/// Number of uncommitted entries above which the leader rejects proposals.
const MAX_UNCOMMITTED_ENTRIES: u64 = 16_384;

/// Replication state of one other member, as the leader tracks it.
#[derive(Debug)]
pub(super) struct Progress {
    pub(super) next_index: u64,
    pub(super) match_index: u64,
    /// Set until `next_index` is known to match the member's log. Afterwards entries are sent
    /// without waiting for replies.
    pub(super) probing: bool,
    /// Set while the reply to a probe or snapshot chunk is outstanding.
    pub(super) paused: bool,
    /// Time on the leader's clock at which it sent the latest message that got a reply.
    pub(super) contact_ms: Option<u64>,
    /// Time at which the member was last known to have synced all entries sent to it, or a further one.
    pub(super) synced_ms: Option<u64>,
    /// Stamp of the member's latest reply.
    pub(super) stamp_ms: Option<u64>,
    /// Commit index at `catch_up_started_ms`. A learner that reaches it within one election timeout
    /// has caught up.
    pub(super) catch_up_index: u64,
    pub(super) catch_up_started_ms: u64,
    /// Time at which this leader began to track the member.
    pub(super) since_ms: u64,
    pub(super) snapshot: Option<OutgoingSnapshot>,
    /// `match_index` at the last heartbeat.
    pub(super) heartbeat_match_index: u64,
    /// Whether entries are unacknowledged and `match_index` did not advance for a heartbeat period,
    /// so that some may be lost.
    pub(super) is_stalled: bool,
}

/// State of a leader in its term.
#[derive(Debug)]
pub(super) struct Leadership {
    pub(super) progress: BTreeMap<VoterId, Progress>,
    pub(super) since_ms: u64,
    pub(super) heartbeat_due_ms: u64,
    /// Index of the no-op entry that starts this term. Membership changes wait until it is
    /// committed.
    pub(super) noop_index: u64,
    /// Deadline of a leadership transfer in progress.
    pub(super) transfer_until_ms: Option<u64>,
    /// Whether `TimeoutNow` was sent to a voter since the last heartbeat.
    pub(super) transfer_requested: bool,
    /// VMs whose processes shut down, with the time until which they are not promoted.
    pub(super) leaving: BTreeMap<VmName, u64>,
}

impl Core {
    pub(super) fn become_leader(&mut self) {
        self.end_candidacy(CandidacyOutcome::Elected);
        self.leader = Some(self.config.id.clone());
        self.role = Role::Leader(Box::new(Leadership {
            progress: BTreeMap::new(),
            since_ms: self.now_ms,
            heartbeat_due_ms: self.now_ms + self.config.timeouts.heartbeat_ms,
            noop_index: self.log.last_index() + 1,
            transfer_until_ms: None,
            transfer_requested: false,
            leaving: BTreeMap::new(),
        }));
        self.track_members();
        self.append_local(Payload::Noop);
        self.replicate_all();
    }

    /// Starts and stops replication to members according to the latest membership.
    pub(super) fn track_members(&mut self) {
        let configuration = self.configuration().clone();
        let next_index = self.log.last_index() + 1;
        let now_ms = self.now_ms;
        let id = self.config.id.clone();
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership
            .progress
            .retain(|member, _| configuration.contains(member));
        let members = configuration.voters.iter().chain(&configuration.learners);
        for member in members.filter(|member| **member != id) {
            let progress = leadership.progress.entry(member.clone());
            progress.or_insert_with(|| Progress {
                next_index,
                match_index: 0,
                probing: true,
                paused: false,
                contact_ms: None,
                synced_ms: None,
                stamp_ms: None,
                catch_up_index: u64::MAX,
                catch_up_started_ms: 0,
                since_ms: now_ms,
                snapshot: None,
                heartbeat_match_index: 0,
                is_stalled: false,
            });
        }
    }

    pub(super) fn leader_timers(&mut self) {
        let max_ms = self.config.timeouts.election_max_ms;
        let heartbeat_ms = self.config.timeouts.heartbeat_ms;
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let contact_ms = self.quorum_contact_ms(leadership);
        if contact_ms.is_some_and(|at| self.now_ms > at + max_ms) {
            return self.become_follower(self.meta.term, None);
        }
        if self.now_ms < leadership.heartbeat_due_ms {
            return;
        }
        self.reconcile_members();
        self.heartbeat(self.now_ms + heartbeat_ms);
        for member in self.members() {
            self.send_append(&member, true);
        }
        self.continue_transfer();
    }

    fn heartbeat(&mut self, next_due_ms: u64) {
        let now_ms = self.now_ms;
        let commit_index = self.commit_index;
        let catch_up_period_ms = self.config.timeouts.election_max_ms;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        leadership.heartbeat_due_ms = next_due_ms;
        leadership.transfer_requested = false;
        leadership.transfer_until_ms = leadership.transfer_until_ms.filter(|at| now_ms < *at);
        for progress in leadership.progress.values_mut() {
            // Allows a probe or snapshot chunk without a reply to be sent again.
            progress.paused = false;
            progress.is_stalled = progress.next_index > progress.match_index + 1
                && progress.match_index == progress.heartbeat_match_index;
            progress.heartbeat_match_index = progress.match_index;
            let is_reached = progress.match_index >= progress.catch_up_index;
            if is_reached || now_ms > progress.catch_up_started_ms + catch_up_period_ms {
                progress.catch_up_index = commit_index;
                progress.catch_up_started_ms = now_ms;
            }
        }
    }

    pub(super) fn propose(&mut self, commands: Vec<Bytes>) {
        let backlog = self.log.last_index() - self.commit_index;
        let refused = match &self.role {
            Role::Leader(leadership) => {
                leadership.transfer_until_ms.is_some() || backlog > MAX_UNCOMMITTED_ENTRIES
            }
            _ => {
                let leader = self.leader.as_ref().map(|id| id.vm.clone());
                return self.outputs.push(Output::Rejected {
                    leader,
                    unavailable: false,
                });
            }
        };
        if refused {
            return self.outputs.push(Output::Rejected {
                leader: Some(self.config.id.vm.clone()),
                unavailable: true,
            });
        }
        self.outputs.push(Output::Accepted {
            first_index: self.log.last_index() + 1,
            term: self.meta.term,
        });
        for command in commands {
            self.append_local(Payload::Command(command));
        }
        self.replicate_all();
    }

    /// Sends new entries to every member that is ready for them, without waiting for the local
    /// sync.
    pub(super) fn replicate_all(&mut self) {
        for member in self.members() {
            self.send_append(&member, false);
        }
    }

    fn members(&self) -> Vec<VoterId> {
        match &self.role {
            Role::Leader(leadership) => leadership.progress.keys().cloned().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends missing entries or a snapshot chunk to `to`, if it is ready for them. An empty message
    /// is sent only if `heartbeat` is set.
    pub(super) fn send_append(&mut self, to: &VoterId, heartbeat: bool) {
        let base_index = self.log.base_index();
        let is_active = self.is_active(to);
        if self.needs_snapshot(to) {
            if is_active {
                return self.send_chunk(to);
            }
            // An inactive member gets no snapshot chunks, which would waste bandwidth.
            if heartbeat {
                self.send_entries(to, base_index + 1, Vec::new());
            }
            return;
        }
        let is_probing = self.progress(to).is_some_and(|progress| progress.probing);
        let max_bytes = match is_probing && !is_active {
            true => MAX_PROBE_BYTES,
            false => MAX_APPEND_BYTES,
        };
        let mut has_sent = false;
        while let Some(next_index) = self.next_to_send(to, heartbeat) {
            let entries = self.log.entries_from(next_index, max_bytes);
            self.send_entries(to, next_index, entries);
            has_sent = true;
        }
        if heartbeat && !has_sent {
            self.send_heartbeat(to);
        }
    }

    /// Whether `to` gets the snapshot: it needs entries that are not in memory, or the entries up to the
    /// snapshot neither fit into one message nor are smaller than the snapshot.
    fn needs_snapshot(&self, to: &VoterId) -> bool {
        let Some(progress) = self.progress_of(to) else {
            return false;
        };
        let snapshot = self.log.snapshot();
        let max_bytes = snapshot.data.len().max(MAX_APPEND_BYTES);
        progress.snapshot.is_some()
            || progress.next_index <= self.log.base_index()
            || self
                .log
                .exceeds(progress.next_index, snapshot.index, max_bytes)
    }

    /// Replication state of a member, while this VM leads.
    pub(super) fn progress_of(&self, member: &VoterId) -> Option<&Progress> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        leadership.progress.get(member)
    }

    /// Index of the next entry for `to`, if it may be sent now.
    fn next_to_send(&self, to: &VoterId, heartbeat: bool) -> Option<u64> {
        let progress = self.progress_of(to)?;
        let (next_index, match_index) = (progress.next_index, progress.match_index);
        if progress.paused || next_index > self.log.last_index() {
            return None;
        }
        if progress.probing {
            return (!heartbeat).then_some(next_index);
        }
        let has_room = next_index - 1 - match_index < MAX_UNACKNOWLEDGED_ENTRIES
            && !self
                .log
                .exceeds(match_index + 1, next_index - 1, MAX_UNACKNOWLEDGED_BYTES);
        has_room.then_some(next_index)
    }

    fn send_heartbeat(&mut self, to: &VoterId) {
        let base_index = self.log.base_index();
        let Some(progress) = self.progress(to) else {
            return;
        };
        let next_index = progress.next_index;
        let match_index = progress.match_index;
        let is_uncertain = progress.probing || progress.is_stalled;
        // A heartbeat whose `prev_index` is acknowledged is accepted even if it overtakes entries.
        // A heartbeat that refers to the last entry sent detects lost entries.
        let is_settled = !is_uncertain && match_index >= base_index;
        let after = if is_settled {
            match_index + 1
        } else {
            next_index
        };
        self.send_entries(to, after, Vec::new());
    }

    fn send_entries(&mut self, to: &VoterId, next_index: u64, entries: Vec<Entry>) {
        let prev_index = next_index - 1;
        let prev_term = self
            .log
            .term_at(prev_index)
            .expect("next_index is after the base of the log");
        let sent = entries.len() as u64;
        let message = Message::Append {
            prev_index,
            prev_term,
            entries,
            commit_index: self.commit_index,
            sent_ms: self.now_ms,
        };
        self.send(to, message);
        if let Some(progress) = self.progress(to) {
            if progress.probing {
                progress.paused = sent > 0;
            } else {
                progress.next_index += sent;
            }
        }
    }

    pub(super) fn progress(&mut self, member: &VoterId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(member),
            _ => None,
        }
    }

    pub(super) fn append_reply(
        &mut self,
        from: &VoterId,
        accepted: bool,
        (index, last_index): (u64, u64),
        sent_ms: u64,
    ) {
        let now_ms = self.now_ms;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.contact_ms = progress.contact_ms.max(Some(sent_ms));
        if accepted {
            if index > progress.match_index || index + 1 == progress.next_index {
                progress.synced_ms = Some(now_ms);
            }
            progress.match_index = progress.match_index.max(index);
            let match_index = progress.match_index;
            let outgoing = progress.snapshot.as_ref();
            // Entries sent before the snapshot are still acknowledged while it is on its way.
            if outgoing.is_none_or(|outgoing| match_index >= outgoing.index()) {
                progress.snapshot = None;
                progress.next_index = progress.next_index.max(match_index + 1);
                progress.probing = false;
                progress.paused = false;
            }
            self.advance_commit();
            self.continue_transfer();
        } else {
            let is_stale = progress.probing && index + 1 != progress.next_index;
            if is_stale || index <= progress.match_index {
                return;
            }
            progress.next_index = index.min(last_index + 1).max(progress.match_index + 1);
            progress.probing = true;
            progress.paused = false;
        }
        self.send_append(from, false);
    }

    /// Advances the commit index to the last entry that a majority of the voters has synced, if
    /// that entry is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let configuration = self.configuration();
        let mut synced: Vec<u64> = configuration
            .voters
            .iter()
            .map(|id| match leadership.progress.get(id) {
                Some(progress) => progress.match_index,
                None => self.durable_index,
            })
            .collect();
        synced.sort_unstable_by(|a, b| b.cmp(a));
        let index = synced[configuration.quorum() - 1];
        if index > self.commit_index && self.log.term_at(index) == Some(self.meta.term) {
            self.commit_index = index;
            for member in self.members() {
                self.send_append(&member, true);
            }
            self.reconcile_members();
        }
    }

    /// Time on the leader's clock at which a majority of the voters, itself included, last
    /// confirmed its leadership.
    pub(super) fn quorum_contact_ms(&self, leadership: &Leadership) -> Option<u64> {
        let configuration = self.configuration();
        let mut contacts: Vec<u64> = configuration
            .voters
            .iter()
            .map(|id| match leadership.progress.get(id) {
                Some(progress) => progress.contact_ms.unwrap_or(0),
                None => self.now_ms,
            })
            .collect();
        contacts.sort_unstable_by(|a, b| b.cmp(a));
        let contact_ms = contacts.get(configuration.quorum() - 1).copied();
        contact_ms.map(|at| at.max(leadership.since_ms))
    }

    pub(super) fn start_transfer(&mut self) {
        let until_ms = self.now_ms + self.config.timeouts.election_max_ms;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.transfer_until_ms = Some(until_ms);
        }
        self.continue_transfer();
    }

    /// Sends `TimeoutNow` to the most recently active voter whose log is complete, if there is one.
    fn continue_transfer(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        if leadership.transfer_until_ms.is_none() || leadership.transfer_requested {
            return;
        }
        let last_index = self.log.last_index();
        let voters = &self.configuration().voters;
        let candidates = leadership
            .progress
            .iter()
            .filter(|(id, progress)| voters.contains(*id) && progress.match_index == last_index);
        let target = candidates
            .max_by_key(|(_, progress)| progress.contact_ms)
            .map(|(id, _)| id.clone());
        if let Some(target) = target {
            if let Role::Leader(leadership) = &mut self.role {
                leadership.transfer_requested = true;
            }
            self.send(&target, Message::TimeoutNow);
        }
    }
}
