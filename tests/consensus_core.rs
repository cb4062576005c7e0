//! Unit tests of the rules of the consensus core, on one member whose peers the test simulates.

use assert_matches::assert_matches;
use bytes::Bytes;
use medlarlift::consensus::ClockStamps;
use medlarlift::consensus::Configuration;
use medlarlift::consensus::Entry;
use medlarlift::consensus::Envelope;
use medlarlift::consensus::FORMAT_VERSION;
use medlarlift::consensus::Message;
use medlarlift::consensus::Payload;
use medlarlift::consensus::Timeouts;
use medlarlift::consensus::VoterId;
use medlarlift::consensus::core::Core;
use medlarlift::consensus::core::CoreConfig;
use medlarlift::consensus::core::Input;
use medlarlift::consensus::core::Meta;
use medlarlift::consensus::core::Output;
use medlarlift::consensus::core::RecoveredState;
use medlarlift::consensus::core::Write;

const CLUSTER_ID: u64 = 1;

/// Member `a` of the voters `a`, `b` and `c`, with a log of two entries of which the last is not
/// committed.
struct Member {
    core: Core,
    now_ms: u64,
    writes: Vec<Write>,
    sent: Vec<Envelope>,
    accepted: u64,
}

fn id(vm: &str) -> VoterId {
    VoterId::new(vm, u64::from(vm.as_bytes()[0]))
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry {
        index,
        term,
        payload,
    }
}

fn recovered_state() -> RecoveredState {
    let founded = Payload::Configuration(Configuration {
        voters: ["a", "b", "c"].map(id).into(),
        ..Configuration::default()
    });
    RecoveredState {
        meta: Meta {
            disk_id: id("a").disk_id,
            cluster_id: CLUSTER_ID,
            term: 3,
            vote: None,
        },
        entries: vec![
            entry(1, 1, founded),
            entry(2, 2, Payload::Command(Bytes::from_static(b"early"))),
        ],
        commit_index: 1,
        ..RecoveredState::default()
    }
}

fn envelope(from: &str, term: u64, message: Message) -> Envelope {
    Envelope {
        version: FORMAT_VERSION,
        cluster_id: CLUSTER_ID,
        from: id(from),
        to: id("a"),
        term,
        message,
        stamps: ClockStamps::default(),
    }
}

/// Stamps of a leader that returns `echoed_ms`.
fn stamps(echoed_ms: Option<u64>) -> ClockStamps {
    ClockStamps {
        sent_ms: Some(1),
        echoed_ms,
    }
}

impl Member {
    fn start(recovered: RecoveredState) -> Self {
        Self::start_with_seed(recovered, 1)
    }

    fn start_with_seed(recovered: RecoveredState, seed: u64) -> Self {
        let config = CoreConfig {
            id: id("a"),
            founders: vec!["a".into(), "b".into(), "c".into()],
            may_bootstrap: true,
            disk_losses: 1,
            timeouts: Timeouts::default(),
            seed,
        };
        Self {
            core: Core::new(config, recovered, 0),
            now_ms: 0,
            writes: Vec::new(),
            sent: Vec::new(),
            accepted: 0,
        }
    }

    /// Steps the core and leaves its writes unsynced.
    fn step(&mut self, input: Input) {
        for output in self.core.step(self.now_ms, input) {
            match output {
                Output::Write(write) => self.writes.push(write),
                Output::Send(envelope) => self.sent.push(envelope),
                Output::Accepted { .. } => self.accepted += 1,
                _ => {}
            }
        }
    }

    fn step_with(&mut self, envelope: Envelope) {
        self.step(Input::Receive(Box::new(envelope)));
    }

    fn sync(&mut self) {
        let seq = self.writes.last().map_or(0, |write| write.seq);
        self.step(Input::Written(seq));
    }

    fn receive(&mut self, from: &str, term: u64, message: Message) {
        self.receive_from(CLUSTER_ID, from, term, message);
    }

    fn receive_from(&mut self, cluster_id: u64, from: &str, term: u64, message: Message) {
        self.step_with(Envelope {
            cluster_id,
            ..envelope(from, term, message)
        });
    }

    /// Receives a heartbeat of `b`, the leader of term 4 that has committed the entry of index 3.
    fn receive_heartbeat(&mut self, stamps: ClockStamps) {
        let heartbeat = Message::Append {
            prev_index: 2,
            prev_term: 2,
            entries: vec![entry(3, 4, Payload::Noop)],
            commit_index: 3,
            sent_ms: 7,
        };
        self.step_with(Envelope {
            stamps,
            ..envelope("b", 4, heartbeat)
        });
        self.sync();
    }

    /// Time of the newest confirmation.
    fn confirmed_ms(&self) -> Option<u64> {
        self.core
            .status()
            .confirmed
            .map(|confirmed| confirmed.at_ms)
    }

    /// Stamp of the message sent last.
    fn last_stamp_ms(&self) -> u64 {
        let stamp_ms = self.sent.last().and_then(|sent| sent.stamps.sent_ms);
        stamp_ms.expect("a message with a stamp")
    }

    /// Makes the member the leader of term 4, with nothing acknowledged by its peers.
    fn lead(&mut self) {
        self.now_ms += 1_000;
        self.step(Input::Tick);
        let granted = Message::PreVoteReply {
            next_term: 4,
            granted: true,
        };
        self.receive("b", 3, granted);
        self.sync();
        self.receive("b", 4, Message::VoteReply { granted: true });
        assert!(self.core.status().is_leader);
        self.sync();
    }

    fn acknowledge(&mut self, from: &str, index: u64) {
        let sent_ms = self.now_ms;
        let reply = Message::AppendReply {
            accepted: true,
            index,
            last_index: index,
            sent_ms,
        };
        self.receive(from, 4, reply);
    }

    fn replies(&self) -> Vec<&Message> {
        self.sent.iter().map(|envelope| &envelope.message).collect()
    }

    fn voted(&self) -> bool {
        let is_vote = |message: &&Message| matches!(message, Message::VoteReply { granted: true });
        self.replies().iter().any(is_vote)
    }
}

fn vote_request() -> Message {
    Message::Vote {
        last_index: 9,
        last_term: 3,
        transfer: false,
    }
}

/// Guards against a leader that commits an entry of an earlier term by counting acknowledgements. A
/// member without that entry could still be elected and overwrite it.
#[test]
fn an_earlier_terms_entry_commits_only_with_one_of_this_term() {
    let mut member = Member::start(recovered_state());
    member.lead();
    member.acknowledge("b", 2);
    member.acknowledge("c", 2);
    assert_eq!(member.core.status().commit_index, 1);
    member.acknowledge("b", 3);
    assert_eq!(member.core.status().commit_index, 3);
}

/// Guards against a vote or an acknowledgement that is sent before it is synced and is then lost in
/// a crash.
#[test]
fn replies_wait_for_the_sync() {
    let mut member = Member::start(recovered_state());
    member.receive("b", 7, vote_request());
    assert!(!member.voted());
    let meta = member.writes.last().and_then(|write| write.meta.clone());
    assert_matches!(&meta, Some(meta) if meta.term == 7 && meta.vote == Some(id("b")));
    member.sync();
    assert!(member.voted());

    let mut restarted = Member::start(RecoveredState {
        meta: meta.expect("checked above"),
        ..recovered_state()
    });
    restarted.receive("c", 7, vote_request());
    restarted.sync();
    assert!(!restarted.voted(), "a second vote in term 7");

    let append = Message::Append {
        prev_index: 2,
        prev_term: 2,
        entries: vec![entry(3, 7, Payload::Noop)],
        commit_index: 2,
        sent_ms: 0,
    };
    restarted.sent.clear();
    restarted.receive("b", 7, append.clone());
    // A repeated message must not be acknowledged before the sync of the first one either.
    restarted.receive("b", 7, append);
    assert_matches!(restarted.replies()[..], []);
    restarted.sync();
    assert_matches!(
        restarted.replies()[..],
        [
            Message::AppendReply {
                accepted: true,
                index: 3,
                ..
            },
            ..
        ]
    );
}

/// Guards against a commit that counts the leader's own entry before it is synced.
#[test]
fn the_leader_counts_itself_after_its_sync() {
    let mut member = Member::start(recovered_state());
    member.lead();
    member.acknowledge("b", 3);
    member.step(Input::Propose(vec![Bytes::from_static(b"next")]));
    member.acknowledge("b", 4);
    assert_eq!(member.core.status().commit_index, 3);
    member.sync();
    assert_eq!(member.core.status().commit_index, 4);
}

/// Guards against two membership changes in progress at once, or one before the leader's first
/// commit, because their majorities may not overlap.
#[test]
fn membership_changes_run_one_at_a_time() {
    let mut member = Member::start(recovered_state());
    member.lead();
    let learners = |member: &Member| member.core.status().configuration.learners.len();
    member.receive("x", 0, Message::Probe { blank: true });
    assert_eq!(learners(&member), 0, "before the first commit of the term");
    member.acknowledge("b", 3);
    member.receive("x", 0, Message::Probe { blank: true });
    assert_eq!(learners(&member), 1);
    member.receive("y", 0, Message::Probe { blank: true });
    assert_eq!(
        learners(&member),
        1,
        "while the first change is not committed"
    );
    member.sync();
    member.acknowledge("b", 4);
    member.receive("y", 0, Message::Probe { blank: true });
    assert_eq!(learners(&member), 2);
}

/// Guards against a leader that repeatedly adds and removes a VM whose disk belongs to another
/// cluster and that drops all messages of this one.
#[test]
fn a_member_of_another_cluster_is_not_admitted() {
    let mut member = Member::start(recovered_state());
    member.lead();
    member.acknowledge("b", 3);
    member.receive_from(CLUSTER_ID + 1, "x", 0, Message::Probe { blank: false });
    assert!(member.core.status().configuration.learners.is_empty());
    assert_matches!(
        member.replies().last(),
        Some(Message::ProbeReply { retired: true, .. })
    );
}

/// Guards against a snapshot assembled from chunks of two leaders, whose state machines may encode
/// the same state differently.
#[test]
fn snapshot_chunks_of_two_leaders_do_not_mix() {
    let mut member = Member::start(recovered_state());
    let chunk = |offset, data: &'static [u8]| Message::Snapshot {
        index: 50,
        term: 3,
        configuration: Configuration::default(),
        offset,
        total_bytes: 6,
        data: Bytes::from_static(data),
        sent_ms: 0,
    };
    member.receive("b", 4, chunk(0, b"bbb"));
    member.receive("c", 5, chunk(3, b"ccc"));
    assert_eq!(member.core.status().commit_index, 1);
    member.receive("c", 5, chunk(0, b"ccc"));
    member.receive("c", 5, chunk(3, b"ccc"));
    assert_eq!(member.core.status().commit_index, 50);
    let installed = member
        .writes
        .iter()
        .find_map(|write| write.snapshot.clone());
    assert_matches!(installed, Some(snapshot) if snapshot.data == b"cccccc"[..]);
}

/// Guards against a leader that resumes after a pause and accepts a proposal or counts an
/// acknowledgement from its queue before it checks its timers.
#[test]
fn a_resumed_leader_steps_down_before_it_processes_input() {
    let mut member = Member::start(recovered_state());
    member.lead();
    member.acknowledge("b", 3);
    member.now_ms += 60_000;
    member.step(Input::Propose(vec![Bytes::from_static(b"late")]));
    assert_eq!(member.accepted, 0);
    assert!(!member.core.status().is_leader);
}

/// Guards against a confirmation whose age counts from a time that this process has not told its leader: a stamp of a
/// former process on the same disk, of another member, or of the future.
#[test]
fn only_a_returned_own_stamp_confirms_and_from_when_it_was_set() {
    let mut former = Member::start_with_seed(recovered_state(), u64::MAX);
    former.now_ms = 4_000;
    former.receive_heartbeat(stamps(None));
    let mut member = Member::start_with_seed(recovered_state(), 1 << 40);
    member.now_ms = 5_000;
    member.receive_heartbeat(stamps(None));
    let own_ms = member.last_stamp_ms();
    member.now_ms = 5_300;
    for foreign_ms in [former.last_stamp_ms(), own_ms + 301, 0, u64::MAX] {
        member.receive_heartbeat(stamps(Some(foreign_ms)));
        assert_eq!(member.confirmed_ms(), None, "{foreign_ms}");
    }
    member.receive_heartbeat(stamps(Some(own_ms)));
    assert_eq!(member.confirmed_ms(), Some(5_000));
}

/// Guards against a member that is never confirmed under a leader whose build has no stamps, and against an older stamp
/// that replaces a newer one.
#[test]
fn a_leader_without_stamps_confirms_at_the_time_of_reading() {
    let mut member = Member::start(recovered_state());
    member.now_ms = 5_000;
    member.receive_heartbeat(stamps(None));
    let early_ms = member.last_stamp_ms();
    member.now_ms = 5_300;
    member.receive_heartbeat(ClockStamps::default());
    assert_eq!(member.confirmed_ms(), Some(5_300));
    member.receive_heartbeat(stamps(Some(early_ms)));
    assert_eq!(member.confirmed_ms(), Some(5_300));
}

/// Guards against a leader that returns no stamp, the one of another member, or one of before its term.
#[test]
fn a_leader_returns_to_each_member_the_stamp_that_it_read_last() {
    let mut member = Member::start(recovered_state());
    member.lead();
    let reply = Message::AppendReply {
        accepted: true,
        index: 3,
        last_index: 3,
        sent_ms: member.now_ms,
    };
    for stamp_ms in [900, 70] {
        member.step_with(Envelope {
            stamps: ClockStamps {
                sent_ms: Some(stamp_ms),
                echoed_ms: None,
            },
            ..envelope("b", 4, reply.clone())
        });
        member.sent.clear();
        member.now_ms += Timeouts::default().heartbeat_ms;
        member.step(Input::Tick);
        let returned = |vm| {
            let sent = member.sent.iter().find(|sent| sent.to == id(vm));
            sent.expect("a heartbeat").stamps.echoed_ms
        };
        assert_eq!((returned("b"), returned("c")), (Some(stamp_ms), None));
    }
}
