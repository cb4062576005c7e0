//! Data-driven tests of the consensus core in virtual time, and tests of its storage.
//!
//! The scripts in `tests/data/consensus` state which failures they guard against.

mod consensus_sim;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use assert_matches::assert_matches;
use bytes::Bytes;
use datadriven::TestCase;
use datadriven::walk;
use medlarlift::consensus::ClockStamps;
use medlarlift::consensus::Configuration;
use medlarlift::consensus::Entry;
use medlarlift::consensus::Envelope;
use medlarlift::consensus::FORMAT_VERSION;
use medlarlift::consensus::Message;
use medlarlift::consensus::Payload;
use medlarlift::consensus::Snapshot;
use medlarlift::consensus::VoterId;
use medlarlift::consensus::core::Input;
use medlarlift::consensus::core::Meta;
use medlarlift::consensus::core::RecoveredState;
use medlarlift::consensus::core::Write;
use medlarlift::consensus::storage::Disk;
use medlarlift::consensus::storage::MemoryDisk;
use medlarlift::consensus::storage::Storage;
use medlarlift::consensus::storage::StorageError;
use medlarlift::consensus::storage::Store;
use medlarlift::types::VmName;

use consensus_sim::Options;
use consensus_sim::Sim;

/// One-way delay of every message in the scripts, as between two regions.
const DELAY_MS: u64 = 15;

/// Duration of every sync in the scripts.
const SYNC_MS: u64 = 2;

fn fault_free(snapshot_every: u64, padding_bytes: usize) -> Options {
    Options {
        loss: 0.0,
        duplication: 0.0,
        late_copies: 0.0,
        delay_ms: (DELAY_MS, DELAY_MS),
        sync_ms: (SYNC_MS, SYNC_MS),
        snapshot_every,
        padding_bytes,
        link_bytes_per_ms: u64::MAX,
    }
}

/// State of one script: a cluster and aliases for its VMs.
struct Script {
    sim: Sim,
    names: BTreeMap<String, VmName>,
    former: BTreeMap<VmName, VoterId>,
    count: u64,
}

impl Script {
    fn new() -> Self {
        Self {
            sim: Sim::new(1, &["a", "b", "c"], fault_free(100_000, 0)),
            names: BTreeMap::new(),
            former: BTreeMap::new(),
            count: 0,
        }
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.as_str() {
            "bootstrap" => self.bootstrap(case),
            "run" => self.run_for(case),
            "bind" => self.bind(),
            "propose" => self.propose(case),
            "commit" => self.commit(case),
            "leader" => self
                .sim
                .leader()
                .map_or("none".to_owned(), |vm| self.alias(&vm)),
            "same-term" => self.same_term(),
            "members" => self.members(case),
            "applied" => self.applied(case),
            "last-entry" => self.last_entry(case),
            _ => self.inject_fault(case),
        }
    }

    fn inject_fault(&mut self, case: &mut TestCase) -> String {
        let directive = case.directive.clone();
        if directive == "heal" {
            self.sim.heal();
            return "ok".to_owned();
        }
        let vm = self.vm(case);
        match directive.as_str() {
            "start" => self.sim.start(&vm),
            "crash" => self.sim.crash(&vm),
            "lose-disk" => {
                let process = self.sim.nodes[&vm].process.as_ref();
                let id = process.expect("is running").core.id().clone();
                self.former.insert(vm.clone(), id);
                self.sim.lose_disk(&vm);
            }
            "isolate" => self.sim.isolate(&vm),
            "transfer-leadership" => {
                self.sim.step(&vm, Input::Transfer);
            }
            "freeze" => {
                let until_ms = self.sim.now_ms + case.take_arg::<u64>("ms").expect("ms");
                self.sim.nodes.get_mut(&vm).expect("known").frozen_until_ms = until_ms;
            }
            "jump-clock" => {
                let jump_ms = case.take_arg::<i64>("ms").expect("ms");
                self.sim.nodes.get_mut(&vm).expect("known").clock_skew_ms += jump_ms;
            }
            "remove" => {
                let leader = self.sim.leader().expect("has a leader");
                let is_accepted = self.sim.step(&leader, Input::RemoveVoter(vm));
                return if is_accepted { "ok" } else { "refused" }.to_owned();
            }
            other => panic!("unknown directive {other}"),
        }
        "ok".to_owned()
    }

    /// Replaces the cluster by one with the given founders, some of which are down.
    fn bootstrap(&mut self, case: &mut TestCase) -> String {
        let founders: Vec<String> = case.take_args("vms").expect("vms");
        let down: Vec<String> = case
            .try_take_args("down")
            .expect("valid")
            .unwrap_or_default();
        let every = case.try_take_arg("snapshot-every").expect("valid");
        let padding = case.try_take_arg("padding").expect("valid").unwrap_or(0);
        let founders: Vec<&str> = founders.iter().map(String::as_str).collect();
        let options = fault_free(every.unwrap_or(100_000), padding);
        *self = Self {
            sim: Sim::new(1, &founders, options),
            ..Self::new()
        };
        for vm in down {
            self.sim.crash(&VmName::from(vm));
        }
        "ok".to_owned()
    }

    fn run_for(&mut self, case: &mut TestCase) -> String {
        self.sim.run(case.take_arg("ms").expect("ms"));
        "ok".to_owned()
    }

    /// Names the leader L and the others F1, F2 and so on.
    fn bind(&mut self) -> String {
        let leader = self.sim.leader().expect("has a leader");
        let others = self.sim.names().into_iter().filter(|vm| *vm != leader);
        self.names = others
            .enumerate()
            .map(|(position, vm)| (format!("F{}", position + 1), vm))
            .collect();
        self.names.insert("L".to_owned(), leader);
        "ok".to_owned()
    }

    fn vm(&self, case: &mut TestCase) -> VmName {
        let name: String = case.take_arg("vm").expect("vm");
        let bound = self.names.get(&name).cloned();
        bound.unwrap_or_else(|| VmName::from(name))
    }

    fn alias(&self, vm: &VmName) -> String {
        let bound = self.names.iter().find(|(_, bound)| *bound == vm);
        bound.map_or_else(|| vm.to_string(), |(name, _)| name.clone())
    }

    fn propose(&mut self, case: &mut TestCase) -> String {
        let vm = self.vm(case);
        let count = case.try_take_arg("count").expect("valid").unwrap_or(1);
        let mut accepted = 0;
        for _ in 0..count {
            self.count += 1;
            let command = format!("command {}", self.count);
            accepted += u64::from(self.sim.propose(&vm, command.into_bytes()));
        }
        format!("accepted {accepted}")
    }

    /// Proposes to the leader and measures the time until it applies the command.
    fn commit(&mut self, case: &mut TestCase) -> String {
        let leader = self.sim.leader().expect("has a leader");
        let before = self.sim.oracle.commands().len();
        let start_ms = self.sim.now_ms;
        self.sim.propose(&leader, b"timed".to_vec());
        let limit_ms: u64 = case.take_arg("within-ms").expect("within-ms");
        while self.sim.oracle.commands().len() == before {
            if self.sim.now_ms >= start_ms + limit_ms {
                return format!("not within {limit_ms} ms");
            }
            self.sim.run(1);
        }
        "committed".to_owned()
    }

    fn same_term(&self) -> String {
        let statuses = self.sim.nodes.keys().filter_map(|vm| self.sim.status(vm));
        let terms: BTreeSet<u64> = statuses.map(|status| status.term).collect();
        format!(
            "{} leaders so far, {} terms now",
            self.sim.oracle.elections,
            terms.len()
        )
    }

    fn members(&self, case: &mut TestCase) -> String {
        let vm = self.vm(case);
        let configuration = self.sim.status(&vm).expect("is running").configuration;
        let describe = |ids: &BTreeSet<VoterId>| {
            let names = ids.iter().map(|id| {
                let is_former = self.former.get(&id.vm) == Some(id);
                let suffix = if is_former { "(lost)" } else { "" };
                format!("{}{suffix}", self.alias(&id.vm))
            });
            let mut names: Vec<String> = names.collect();
            names.sort();
            match names.is_empty() {
                true => "-".to_owned(),
                false => names.join(" "),
            }
        };
        format!(
            "voters: {}\nlearners: {}\nretired: {}",
            describe(&configuration.voters),
            describe(&configuration.learners),
            describe(&configuration.retired)
        )
    }

    fn applied(&self, case: &mut TestCase) -> String {
        let vm = self.vm(case);
        let process = self.sim.nodes[&vm].process.as_ref().expect("is running");
        format!("{} commands", process.replica.commands)
    }

    fn last_entry(&self, case: &mut TestCase) -> String {
        let vm = self.vm(case);
        let status = self.sim.status(&vm).expect("is running");
        format!("uncommitted {}", status.last_index - status.commit_index)
    }
}

/// Guards against the failures named in the scripts.
#[test]
fn scripts() {
    walk("tests/data/consensus", |file| {
        let mut script = Script::new();
        file.run(|case| script.run(case) + "\n");
    });
}

fn entry(index: u64, term: u64, bytes: usize) -> Entry {
    Entry {
        index,
        term,
        payload: Payload::Command(Bytes::from(vec![b'x'; bytes])),
    }
}

fn write(entries: Vec<Entry>) -> Write {
    Write {
        entries,
        ..Write::default()
    }
}

fn saved_snapshot(index: u64, term: u64) -> Write {
    Write {
        snapshot: Some(std::sync::Arc::new(Snapshot {
            index,
            term,
            data: Bytes::from(vec![b's'; 700]),
            ..Snapshot::default()
        })),
        ..Write::default()
    }
}

fn open(disk: &MemoryDisk) -> (Store<MemoryDisk>, RecoveredState) {
    Store::open(disk.clone(), 77).expect("opens")
}

fn last_index(recovered: &RecoveredState) -> u64 {
    let last = recovered.entries.last();
    last.map_or(recovered.snapshot.index, |entry| entry.index)
}

/// A store with entries 1 to 6 of various sizes, a snapshot at 3 and a vote.
fn populated_store(disk: &MemoryDisk) -> Store<MemoryDisk> {
    let (mut store, _) = open(disk);
    let meta = Meta {
        disk_id: 77,
        term: 1,
        vote: Some(VoterId::new("b", 9)),
        ..Meta::default()
    };
    let voted = Write {
        meta: Some(meta),
        ..Write::default()
    };
    store.write(vec![voted]).expect("written");
    for index in 1..=6 {
        let entries = vec![entry(index, 1, 300 * index as usize)];
        store.write(vec![write(entries)]).expect("written");
        if index == 4 {
            store.write(vec![saved_snapshot(3, 1)]).expect("written");
        }
    }
    store
}

/// Guards against a corrupt byte that is not detected, or that removes an acknowledged entry
/// instead of invalidating the identity.
#[test]
fn every_corrupt_byte_is_detected() {
    let disk = MemoryDisk::default();
    drop(populated_store(&disk));
    for (name, size) in disk.sizes() {
        for byte in 0..size {
            assert!(disk.flip_bit(&name, byte, byte as u8));
            let opened = Store::open(disk.clone(), 78);
            assert_matches!(
                opened.map(|(_, recovered)| recovered),
                Err(StorageError::Corrupt { .. } | StorageError::Unsupported { .. }),
                "{name} byte {byte}"
            );
            assert!(disk.flip_bit(&name, byte, byte as u8));
        }
    }
    assert_eq!(last_index(&open(&disk).1), 6);
}

/// Guards against a crash during a write that loses synced entries, the vote or the identity, or
/// that leaves a folder that cannot be opened. Tries every operation, torn lengths in steps and
/// both kinds of torn writes, for an append, an overwrite, a snapshot and a reset of the log.
#[test]
fn a_crash_at_any_operation_keeps_synced_state() {
    let reset = Write {
        reset_log: true,
        ..saved_snapshot(9, 1)
    };
    let changes = [
        (write(vec![entry(7, 1, 1_500)]), 6, 7),
        (write(vec![entry(5, 2, 1_500)]), 5, 6),
        (saved_snapshot(5, 1), 6, 6),
        (reset, 6, 9),
    ];
    for (change, least, most) in changes {
        for operations in 0..6 {
            for keep_bytes in (0..20).chain((20..1_700).step_by(73)) {
                for is_extended in [false, true] {
                    let disk = MemoryDisk::default();
                    let mut store = populated_store(&disk);
                    disk.fail_after(operations);
                    let done = store.write(vec![change.clone()]).is_ok();
                    disk.crash(keep_bytes, is_extended);
                    let (_, recovered) = open(&disk);
                    let last = last_index(&recovered);
                    assert!(
                        (least..=most).contains(&last),
                        "{operations} {keep_bytes} {last}"
                    );
                    assert_eq!(recovered.meta.vote, Some(VoterId::new("b", 9)));
                    assert_eq!(recovered.meta.disk_id, 77);
                    if done {
                        let expected = if most == 6 { least } else { most };
                        assert_eq!(last, expected.max(least));
                    }
                }
            }
        }
    }
}

/// Guards against a folder that lost its metadata, or is partially cleared, and keeps its identity.
#[test]
fn a_folder_without_metadata_gets_a_new_identity() {
    for operations in 0..5 {
        let disk = MemoryDisk::default();
        drop(populated_store(&disk));
        disk.fail_after(operations);
        assert!(Store::reset(disk.clone(), 78).is_err());
        disk.crash(0, false);
        let (_, recovered) = Store::open(disk.clone(), 79).expect("opens");
        let is_untouched = operations == 0;
        let expected = if is_untouched { (77, 6) } else { (79, 0) };
        assert_eq!((recovered.meta.disk_id, last_index(&recovered)), expected);
    }
}

/// Guards against bytes that a killed process wrote but did not sync, and that are acknowledged
/// after the restart although a power loss could still remove them.
#[test]
fn opening_syncs_recovered_records() {
    let disk = MemoryDisk::default();
    let mut store = populated_store(&disk);
    disk.fail_after(1);
    assert!(store.write(vec![write(vec![entry(7, 1, 10)])]).is_err());
    disk.fail_after(u64::MAX);
    assert_eq!(last_index(&open(&disk).1), 7);
    disk.crash(0, false);
    assert_eq!(last_index(&open(&disk).1), 7);
}

/// Guards against a log that grows without bound, and against compaction that loses entries.
#[test]
fn a_snapshot_frees_old_segments() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    for index in 1..=200 {
        store
            .write(vec![write(vec![entry(index, 1, 1_000)])])
            .expect("written");
        if index % 20 == 0 {
            store
                .write(vec![saved_snapshot(index - 5, 1)])
                .expect("written");
        }
    }
    let total: usize = disk.sizes().iter().map(|(_, size)| size).sum();
    assert!(
        total < 60_000,
        "{total} bytes for 25 entries of 1,000 bytes"
    );
    let (_, recovered) = open(&disk);
    assert_eq!(
        (recovered.snapshot.index, last_index(&recovered)),
        (195, 200)
    );
    assert_eq!(recovered.entries.len(), 5);
    let names = disk.clone().names().expect("lists");
    assert_eq!(
        names
            .iter()
            .filter(|name| name.starts_with("snapshot-"))
            .count(),
        1
    );
}

/// Guards against the removal of a segment after which a later segment overwrites entries from
/// before the start of the remaining log, so that the folder cannot be opened.
#[test]
fn log_opens_after_compaction_of_overwritten_entries() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk);
    let entries = |indices: std::ops::RangeInclusive<u64>, term| {
        write(indices.map(|index| entry(index, term, 10)).collect())
    };
    for change in [
        entries(1..=4, 1),
        saved_snapshot(1, 1),
        entries(5..=6, 1),
        saved_snapshot(2, 1),
        entries(4..=5, 2),
        saved_snapshot(4, 2),
    ] {
        store.write(vec![change]).expect("written");
    }
    let (_, recovered) = open(&disk);
    assert_eq!(recovered.entries, vec![entry(5, 2, 10)]);
}

fn envelope(from: &VoterId, to: &VoterId, cluster_id: u64, message: Message) -> Envelope {
    Envelope {
        version: FORMAT_VERSION,
        cluster_id,
        from: from.clone(),
        to: to.clone(),
        term: 50,
        message,
        stamps: ClockStamps::default(),
    }
}

/// Guards against accepting a vote request that is addressed to a former identity, or that comes
/// from another cluster or format version.
#[test]
fn foreign_messages_are_dropped() {
    let mut sim = Sim::new(1, &["a", "b", "c"], fault_free(100, 0));
    sim.run(3_000);
    let follower = sim
        .names()
        .into_iter()
        .find(|vm| Some(vm) != sim.leader().as_ref());
    let follower = follower.expect("two followers");
    let status = sim.status(&follower).expect("is running");
    let member = |vm: &VmName| status.configuration.voter_on(vm).expect("voter").clone();
    let (me, peer) = (member(&follower), member(&sim.leader().expect("leads")));
    let former = VoterId::new(me.vm.clone(), me.disk_id + 1_000);
    let vote = Message::Vote {
        last_index: 1_000,
        last_term: 50,
        transfer: true,
    };
    let mut other_version = envelope(&peer, &me, status.cluster_id, vote.clone());
    other_version.version += 1;
    for dropped in [
        envelope(&peer, &former, status.cluster_id, vote.clone()),
        envelope(&peer, &me, status.cluster_id + 1, vote.clone()),
        other_version,
    ] {
        sim.step(&follower, Input::Receive(Box::new(dropped)));
        assert_eq!(sim.status(&follower).expect("is running").term, status.term);
    }
    let counted = envelope(&peer, &me, status.cluster_id, vote);
    sim.step(&follower, Input::Receive(Box::new(counted)));
    assert_eq!(sim.status(&follower).expect("is running").term, 50);
}

/// Guards against a membership that counts a retired identity in its majority after a repair.
#[test]
fn quorum_is_a_majority_of_the_voters() {
    let ids = |count| (0..count).map(|id| VoterId::new("vm", id)).collect();
    let sizes = [(1, 1), (2, 2), (3, 2), (4, 3), (5, 3)];
    for (voters, quorum) in sizes {
        let configuration = Configuration {
            voters: ids(voters),
            learners: ids(9),
            retired: ids(20),
        };
        assert_eq!(configuration.quorum(), quorum);
    }
}
