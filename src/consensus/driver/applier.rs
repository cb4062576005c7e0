//! Thread that applies committed entries to the state machine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Receiver;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::config::Applied;
use super::config::ProposeError;
use super::shared::Shared;
use super::shared::lock;
use super::traits::RestoreError;
use super::traits::SharedMachine;
use super::traits::StateMachine;
use crate::consensus::snapshot_schedule::SnapshotSchedule;
use crate::consensus::types::Configuration;
use crate::consensus::types::Entry;
use crate::consensus::types::Payload;
use crate::consensus::types::Snapshot;

/// Channel for the outcome of a proposal.
pub(super) type Reply = oneshot::Sender<std::result::Result<Applied, ProposeError>>;

/// Callback for snapshots of the state machine, with their index.
pub(super) type OnSnapshot = Box<dyn FnMut(u64, Bytes) + Send>;

/// Callback for the outcome of a restore.
pub(super) type OnRestored = Box<dyn FnOnce(Result<(), RestoreError>) + Send>;

/// Job for the applier thread. Jobs run in order.
pub(super) enum Job {
    /// Apply committed entries.
    Apply(Vec<Entry>),
    /// Replace the state machine's state.
    Restore(Arc<Snapshot>, OnRestored),
    /// Reply to these proposals when their entries are applied.
    TrackProposals {
        first_index: u64,
        term: u64,
        replies: Vec<Reply>,
    },
    /// Take a snapshot of the current state and publish it to followers.
    PublishSnapshot(oneshot::Sender<()>),
}

/// The state machine, with the state needed to reply to proposals and to serve followers.
pub(super) struct Applier<M> {
    pub(super) machine: SharedMachine<M>,
    pub(super) shared: Arc<Shared>,
    pub(super) schedule: SnapshotSchedule,
    pub(super) on_snapshot: Option<OnSnapshot>,
    proposals: BTreeMap<u64, (u64, Reply)>,
    applied: (u64, u64),
    configuration: Configuration,
}

impl<M: StateMachine> Applier<M> {
    pub(super) fn new(machine: SharedMachine<M>, shared: Arc<Shared>) -> Self {
        Self {
            machine,
            shared,
            schedule: SnapshotSchedule::new(u64::MAX, 0),
            on_snapshot: None,
            proposals: BTreeMap::new(),
            applied: (0, 0),
            configuration: Configuration::default(),
        }
    }

    /// Runs jobs until all senders are dropped.
    pub(super) fn run(mut self, jobs: Receiver<Job>) {
        for job in jobs {
            match job {
                Job::Apply(entries) => self.apply_all(entries),
                Job::Restore(snapshot, done) => {
                    done(self.restore(&snapshot));
                }
                Job::TrackProposals {
                    first_index,
                    term,
                    replies,
                } => {
                    let indices = first_index..;
                    let proposals = replies.into_iter().map(|reply| (term, reply));
                    self.proposals.extend(indices.zip(proposals));
                }
                Job::PublishSnapshot(done) => {
                    let snapshot = self.take_snapshot();
                    self.shared.log().publish_snapshot(snapshot);
                    let _ = done.send(());
                }
            }
        }
    }

    fn apply_all(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.apply(entry);
        }
        self.shared.applied.send_replace(self.applied.0);
        if self.on_snapshot.is_some() && self.schedule.is_due() {
            let snapshot = self.take_snapshot();
            self.schedule.record_snapshot(snapshot.data.len());
            if let Some(on_snapshot) = &mut self.on_snapshot {
                on_snapshot(snapshot.index, snapshot.data.clone());
            }
        }
    }

    fn apply(&mut self, entry: Entry) {
        let answer = match &entry.payload {
            Payload::Command(command) => lock(&self.machine).apply(entry.index, command),
            Payload::Configuration(configuration) => {
                self.configuration = configuration.clone();
                Vec::new()
            }
            Payload::Noop => Vec::new(),
        };
        self.applied = (entry.index, entry.term);
        self.schedule.record_entry(entry.size_bytes());
        if let Some((term, reply)) = self.proposals.remove(&entry.index) {
            // A different term means that a new leader has overwritten the proposal's entry.
            let outcome = if term == entry.term {
                let index = entry.index;
                Ok(Applied { index, answer })
            } else {
                let leader = self.shared.view().leader.clone();
                Err(ProposeError::NotLeader { leader })
            };
            let _ = reply.send(outcome);
        }
        self.shared.log().push(entry);
    }

    fn restore(&mut self, snapshot: &Arc<Snapshot>) -> Result<(), RestoreError> {
        lock(&self.machine).restore(&snapshot.data)?;
        self.applied = (snapshot.index, snapshot.term);
        self.schedule.record_snapshot(snapshot.data.len());
        self.configuration = snapshot.configuration.clone();
        self.shared.log().reset_to(Arc::clone(snapshot));
        self.shared.applied.send_replace(snapshot.index);
        let later = self.proposals.split_off(&(snapshot.index + 1));
        for (_, (_, reply)) in std::mem::replace(&mut self.proposals, later) {
            let _ = reply.send(Err(ProposeError::Unknown));
        }
        Ok(())
    }

    fn take_snapshot(&self) -> Arc<Snapshot> {
        let data = lock(&self.machine).snapshot();
        Arc::new(Snapshot {
            index: self.applied.0,
            term: self.applied.1,
            configuration: self.configuration.clone(),
            data: Bytes::from(data),
        })
    }
}
