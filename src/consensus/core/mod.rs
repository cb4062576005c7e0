//! Deterministic Raft core. Its inputs are time, messages, proposals and completed writes; its
//! outputs are messages, writes and entries to apply. It reads no clock and does no I/O.

mod append;
mod bootstrap;
mod election;
mod leader;
mod log;
mod membership;
mod receive;
mod report;
mod snapshot;
mod stamps;
mod status;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;

pub use self::report::CandidacyEnd;
pub use self::report::CandidacyOutcome;
pub use self::report::LeadershipEnd;
pub use self::report::Report;
pub use self::report::VoterContact;
pub use self::status::Confirmation;
pub use self::status::CoreStatus;

use self::bootstrap::EmptyFounder;
use self::leader::Leadership;
use self::log::Log;
use self::report::Candidacy;
use self::snapshot::IncomingSnapshot;
use self::stamps::StampClock;
use super::message::Envelope;
use super::message::FORMAT_VERSION;
use super::message::Message;
use super::types::Configuration;
use super::types::Entry;
use super::types::Payload;
use super::types::Snapshot;
use super::types::Timeouts;
use super::types::VoterId;
use crate::types::VmName;
use crate::types::pause;

/// Settings of a core.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Identity of this VM.
    pub id: VoterId,
    /// VMs that bootstrap the cluster.
    pub founders: Vec<VmName>,
    /// Whether the founders may bootstrap a new cluster.
    pub may_bootstrap: bool,
    /// Number of members whose disks may be lost at once.
    pub disk_losses: usize,
    /// Periods of the protocol.
    pub timeouts: Timeouts,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Durable state besides the log (Raft's hard state).
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Meta {
    /// Disk id of this data folder.
    pub disk_id: u64,
    /// Cluster that this VM belongs to, 0 while it has none.
    pub cluster_id: u64,
    /// Highest term seen.
    pub term: u64,
    /// Candidate that got this VM's vote in that term.
    pub vote: Option<VoterId>,
}

/// State read from disk when a voter starts.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Term, vote and identity.
    pub meta: Meta,
    /// Latest snapshot, or the empty one if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
    /// An index that is known to be committed.
    pub commit_index: u64,
}

/// An event for the core to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message was received.
    Receive(Box<Envelope>),
    /// Commands to append.
    Propose(Vec<Bytes>),
    /// All writes up to this sequence number are synced.
    Written(u64),
    /// The state machine's state after the entry at `index`.
    SnapshotTaken {
        /// Index of the last applied entry.
        index: u64,
        /// Encoded state.
        data: Bytes,
    },
    /// Transfer leadership to another voter.
    Transfer,
    /// Remove the voter on this VM permanently.
    RemoveVoter(VmName),
    /// Probe these VMs too while no leader is in contact.
    SetContacts(Vec<VmName>),
    /// The process on this VM shuts down.
    MemberLeaves(VmName),
}

/// An action for the driver to carry out.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message.
    Send(Envelope),
    /// Write and sync, then report `Input::Written`. Writes are done in order.
    Write(Write),
    /// Apply committed entries.
    Apply(Vec<Entry>),
    /// Replace the state machine's state.
    Restore(Arc<Snapshot>),
    /// The proposals of this step were appended to the log.
    Accepted {
        /// Index of the first proposal.
        first_index: u64,
        /// Term of the proposals.
        term: u64,
    },
    /// The proposals of this step were not appended.
    Rejected {
        /// Last known leader.
        leader: Option<VmName>,
        /// Whether this VM leads the log but accepts no proposals now.
        unavailable: bool,
    },
    /// A member reported that this identity is retired or belongs to another cluster and may not
    /// join.
    Retired,
    /// A candidacy or leadership of this member ended.
    Report(Report),
}

/// Changes to the durable state, to be written in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Sequence number, increasing.
    pub seq: u64,
    /// New term, vote or cluster.
    pub meta: Option<Meta>,
    /// New snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Whether all earlier entries are to be removed.
    pub reset_log: bool,
    /// Entries to append. An entry replaces any entry at its index and all entries after it.
    pub entries: Vec<Entry>,
    /// An index that is known to be committed.
    pub commit_index: u64,
}

/// Work deferred until a write is synced.
#[derive(Clone, Debug)]
enum Deferred {
    Send(Box<Envelope>),
    /// The vote in this term, for this member or another one.
    Vote {
        term: u64,
    },
}

/// The latest vote of this process.
#[derive(Clone, Copy, Debug)]
struct OwnVote {
    term: u64,
    /// Time at which it was synced.
    synced_ms: Option<u64>,
}

/// Raft role in the current term.
#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<VoterId>,
        /// Whether all voters have to grant the pre-vote, rather than a quorum.
        needs_all: bool,
    },
    Candidate,
    Leader(Box<Leadership>),
}

/// A write that is not synced yet, with the last index that it makes durable.
#[derive(Debug)]
struct InFlight {
    seq: u64,
    last_index: u64,
}

/// Protocol state of one member.
#[derive(Debug)]
pub struct Core {
    config: CoreConfig,
    meta: Meta,
    log: Log,
    commit_index: u64,
    applied_index: u64,
    restored: bool,
    role: Role,
    /// Candidacy in progress. Its votes count until the term ends, whatever the role is meanwhile.
    candidacy: Option<Candidacy>,
    own_vote: Option<OwnVote>,
    leader: Option<VoterId>,
    leader_contact_ms: Option<u64>,
    /// Latest confirmation by a leader.
    confirmed: Option<Confirmation>,
    /// Time from which messages of a leader without stamps are fresh: a process that stood still reads those that queued up.
    fresh_from_ms: u64,
    stamp_clock: StampClock,
    /// Time of the first election timeout since the start. Until then, a member that has heard no leader
    /// asks for pre-votes at short intervals.
    startup_ends_ms: u64,
    now_ms: u64,
    election_deadline_ms: u64,
    probe_due_ms: u64,
    empty_founders: BTreeMap<VmName, EmptyFounder>,
    /// VMs that may know a leader, besides the founders and the members.
    contacts: Vec<VmName>,
    incoming: Option<IncomingSnapshot>,
    rng: StdRng,
    durable_index: u64,
    in_flight: VecDeque<InFlight>,
    next_seq: u64,
    deferred: VecDeque<(u64, Deferred)>,
    step_deferred: Vec<Deferred>,
    write: Option<Write>,
    outputs: Vec<Output>,
}

impl Core {
    /// A member that starts from the state recovered from its disk.
    pub fn new(config: CoreConfig, recovered: RecoveredState, now_ms: u64) -> Self {
        let log = Log::new(recovered.snapshot, recovered.entries);
        let snapshot_index = log.snapshot().index;
        let commit_index = recovered
            .commit_index
            .clamp(snapshot_index, log.last_index());
        let mut core = Self {
            rng: StdRng::seed_from_u64(config.seed),
            meta: recovered.meta,
            commit_index,
            applied_index: snapshot_index,
            restored: snapshot_index == 0,
            role: Role::Follower,
            candidacy: None,
            own_vote: None,
            leader: None,
            leader_contact_ms: None,
            confirmed: None,
            fresh_from_ms: now_ms,
            stamp_clock: StampClock::new(config.seed, now_ms),
            startup_ends_ms: 0,
            now_ms,
            election_deadline_ms: 0,
            probe_due_ms: now_ms,
            empty_founders: BTreeMap::new(),
            contacts: Vec::new(),
            incoming: None,
            durable_index: log.last_index(),
            in_flight: VecDeque::new(),
            next_seq: 1,
            deferred: VecDeque::new(),
            step_deferred: Vec::new(),
            write: None,
            outputs: Vec::new(),
            config,
            log,
        };
        core.reset_election_deadline();
        core.startup_ends_ms = core.election_deadline_ms;
        if !core.has_empty_log() {
            core.reset_pre_vote_deadline();
        }
        if core.is_sole_voter() {
            core.election_deadline_ms = now_ms;
        }
        core
    }

    /// Processes one input and returns the resulting actions in order. `now_ms` is the VM's
    /// monotonic time; if it is earlier than in the previous call, no time is assumed to have
    /// passed.
    pub fn step(&mut self, now_ms: u64, input: Input) -> Vec<Output> {
        // The driver passes in a tick each 20 ms.
        if let Some(fresh_from_ms) = pause::fresh_from_ms(self.now_ms, now_ms) {
            self.fresh_from_ms = fresh_from_ms;
        }
        self.now_ms = self.now_ms.max(now_ms);
        // Timers run before the input, so that a process resumed after a pause steps down from a
        // stale role before it processes messages queued in the meantime.
        self.run_timers();
        match input {
            Input::Tick => {}
            Input::Receive(envelope) => self.receive(*envelope),
            Input::Propose(commands) => self.propose(commands),
            Input::Written(seq) => self.written(seq),
            Input::SnapshotTaken { index, data } => self.snapshot_taken(index, data),
            Input::Transfer => self.start_transfer(),
            Input::RemoveVoter(vm) => self.remove_voter(&vm),
            Input::SetContacts(contacts) => self.contacts = contacts,
            Input::MemberLeaves(vm) => self.member_leaves(vm),
        }
        self.flush();
        self.emit_committed();
        std::mem::take(&mut self.outputs)
    }

    /// Identity of this member.
    pub fn id(&self) -> &VoterId {
        &self.config.id
    }

    fn run_timers(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.leader_timers();
        } else if self.now_ms >= self.election_deadline_ms {
            self.election_timeout();
        }
        if self.now_ms >= self.probe_due_ms {
            self.probe_if_disconnected();
        }
    }

    /// Emits the write of this step and defers the work that depends on it or on earlier writes.
    fn flush(&mut self) {
        if let Some(mut write) = self.write.take() {
            write.seq = self.next_seq;
            write.commit_index = self.commit_index;
            self.next_seq += 1;
            self.in_flight.push_back(InFlight {
                seq: write.seq,
                last_index: self.log.last_index(),
            });
            self.outputs.push(Output::Write(write));
        }
        let deferred = std::mem::take(&mut self.step_deferred);
        match self.in_flight.back().map(|last| last.seq) {
            Some(seq) => self
                .deferred
                .extend(deferred.into_iter().map(|item| (seq, item))),
            None => deferred
                .into_iter()
                .for_each(|item| self.run_deferred(item)),
        }
    }

    fn written(&mut self, seq: u64) {
        while let Some(done) = self.in_flight.pop_front_if(|first| first.seq <= seq) {
            self.durable_index = done.last_index;
        }
        while let Some((_, item)) = self.deferred.pop_front_if(|(after, _)| *after <= seq) {
            self.run_deferred(item);
        }
        self.advance_commit();
    }

    fn run_deferred(&mut self, item: Deferred) {
        match item {
            Deferred::Send(mut envelope) => {
                envelope.stamps.sent_ms = Some(self.own_stamp());
                self.outputs.push(Output::Send(*envelope));
            }
            Deferred::Vote { term } => self.vote_synced(term),
        }
    }

    fn emit_committed(&mut self) {
        if !self.restored || self.applied_index < self.log.snapshot().index {
            self.restored = true;
            self.applied_index = self.log.snapshot().index;
            self.outputs
                .push(Output::Restore(Arc::clone(self.log.snapshot())));
        }
        if self.applied_index < self.commit_index {
            let entries = self.log.range(self.applied_index + 1, self.commit_index);
            self.applied_index = self.commit_index;
            self.outputs.push(Output::Apply(entries));
        }
    }

    /// The write of this step, created on first use.
    fn write(&mut self) -> &mut Write {
        self.write.get_or_insert_with(Write::default)
    }

    fn save_meta(&mut self) {
        let meta = self.meta.clone();
        self.write().meta = Some(meta);
    }

    fn append_local(&mut self, payload: Payload) -> u64 {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.meta.term,
            payload,
        };
        let index = entry.index;
        self.append_entry(entry);
        index
    }

    fn append_entry(&mut self, entry: Entry) {
        self.write().entries.push(entry.clone());
        self.log.push(entry);
    }

    fn envelope(&self, to: &VoterId, message: Message) -> Envelope {
        Envelope {
            version: FORMAT_VERSION,
            cluster_id: self.meta.cluster_id,
            from: self.config.id.clone(),
            to: to.clone(),
            term: self.meta.term,
            message,
            stamps: self.stamps_for(to),
        }
    }

    fn send(&mut self, to: &VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.outputs.push(Output::Send(envelope));
    }

    /// Sends once all writes issued so far, including that of this step, are synced.
    fn send_durable(&mut self, to: &VoterId, message: Message) {
        let envelope = self.envelope(to, message);
        self.step_deferred.push(Deferred::Send(Box::new(envelope)));
    }

    fn reset_election_deadline(&mut self) {
        let timeouts = self.config.timeouts;
        let range = timeouts.election_min_ms..=timeouts.election_max_ms;
        self.election_deadline_ms = self.now_ms + self.rng.random_range(range);
    }

    fn configuration(&self) -> &Configuration {
        &self.log.configuration().1
    }

    fn is_voter(&self) -> bool {
        self.configuration().voters.contains(&self.config.id)
    }

    fn is_sole_voter(&self) -> bool {
        self.is_voter() && self.configuration().voters.len() == 1
    }
}
