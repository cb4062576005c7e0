//! Oracle: invariants that must hold in every run.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use bytes::Bytes;
use medlarlift::consensus::Configuration;
use medlarlift::consensus::Entry;
use medlarlift::consensus::Payload;
use medlarlift::consensus::Snapshot;
use medlarlift::consensus::VoterId;
use medlarlift::consensus::core::CoreStatus;
use medlarlift::types::VmName;

/// State machine of one process: a hash over all applied commands.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    pub index: u64,
    pub hash: u64,
    pub commands: u64,
    pub configuration: Configuration,
}

impl Replica {
    pub fn encode(&self, padding_bytes: usize) -> Bytes {
        let mut data = bincode::serialize(&(self.index, self.hash, self.commands)).unwrap();
        data.resize(data.len() + padding_bytes, 7);
        Bytes::from(data)
    }
}

/// All entries ever applied by any process, and the leader of each term.
#[derive(Debug, Default)]
pub struct Oracle {
    applied: BTreeMap<u64, (Entry, u64)>,
    leaders: BTreeMap<u64, VoterId>,
    pub elections: usize,
}

impl Oracle {
    pub fn last_index(&self) -> u64 {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Every applied command with its index.
    pub fn commands(&self) -> Vec<(u64, Vec<u8>)> {
        let applied = self.applied.values();
        let commands = applied.filter_map(|(entry, _)| match &entry.payload {
            Payload::Command(command) => Some((entry.index, command.to_vec())),
            _ => None,
        });
        commands.collect()
    }

    pub fn check_leader(&mut self, id: &VoterId, status: &CoreStatus) {
        if !status.is_leader {
            return;
        }
        let known = self.leaders.entry(status.term).or_insert_with(|| {
            self.elections += 1;
            id.clone()
        });
        assert_eq!(known, id, "two leaders in term {}", status.term);
    }

    pub fn apply(&mut self, vm: &VmName, replica: &mut Replica, entry: Entry) {
        assert_eq!(
            entry.index,
            replica.index + 1,
            "{vm} skips or repeats an entry"
        );
        replica.index = entry.index;
        match &entry.payload {
            Payload::Command(command) => {
                let mut hasher = DefaultHasher::new();
                (replica.hash, command).hash(&mut hasher);
                replica.hash = hasher.finish();
                replica.commands += 1;
            }
            Payload::Configuration(next) => {
                check_change(&replica.configuration, next);
                replica.configuration = next.clone();
            }
            Payload::Noop => {}
        }
        let index = entry.index;
        let known = self.applied.entry(index);
        let (known, hash) = known.or_insert((entry.clone(), replica.hash));
        assert_eq!(*known, entry, "{vm} applies a different entry at {index}");
        assert_eq!(*hash, replica.hash, "{vm} has a different state at {index}");
    }

    pub fn restore(&self, snapshot: &Snapshot) -> Replica {
        let (index, hash, commands): (u64, u64, u64) =
            bincode::deserialize(&snapshot.data).expect("snapshot decodes");
        assert_eq!(index, snapshot.index, "snapshot has a different index");
        let (_, expected) = &self.applied[&index];
        assert_eq!(hash, *expected, "snapshot has a different state at {index}");
        Replica {
            index,
            hash,
            commands,
            configuration: snapshot.configuration.clone(),
        }
    }
}

fn check_change(former: &Configuration, next: &Configuration) {
    let changed = former.voters.symmetric_difference(&next.voters).count();
    let is_founding = former.voters.is_empty();
    assert!(is_founding || changed <= 1, "two voters change at once");
    assert!(
        former.retired.is_subset(&next.retired),
        "a retired identity is removed from the list"
    );
    assert!(
        next.retired.is_disjoint(&next.voters),
        "a retired identity votes"
    );
    assert!(
        next.retired.is_disjoint(&next.learners),
        "a retired identity joins"
    );
    let mut vms: Vec<_> = next.voters.iter().map(|id| &id.vm).collect();
    vms.dedup();
    assert_eq!(vms.len(), next.voters.len(), "two voters on one VM");
}
