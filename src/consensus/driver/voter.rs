//! Thread that runs the core of a voter.

use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;

use super::applier::Job;
use super::applier::Reply;
use super::config::ProposeError;
use super::shared::Shared;
use super::shared::View;
use super::traits::RestoreError;
use super::traits::Transport;
use crate::consensus::core::Core;
use crate::consensus::core::Input;
use crate::consensus::core::Output;
use crate::consensus::core::Write;
use crate::consensus::message::Envelope;
use crate::consensus::types::Snapshot;
use crate::types::VmName;

/// Interval of timer checks. All other work is triggered by events.
const TICK: Duration = Duration::from_millis(20);

/// Maximum number of further events processed before the state is published.
const MAX_BATCH: usize = 1_024;

/// Maximum time a shutdown waits for the leadership transfer.
const TRANSFER_TIMEOUT_MS: u64 = 1_500;

/// Maximum time an announced shutdown waits until this VM no longer votes, which may take an election.
const DEMOTION_TIMEOUT_MS: u64 = 3_000;

/// Event processed by the core thread.
pub(super) enum Event {
    Receive(Box<Envelope>),
    Propose(Bytes, Reply),
    RemoveVoter(VmName, Reply),
    SetContacts(Vec<VmName>),
    /// The process on this VM shuts down.
    MemberLeaves(VmName),
    Written(u64),
    SnapshotTaken(u64, Bytes),
    /// Storage or the state machine failed. No message may be sent afterwards.
    Failed,
    /// Transfer leadership, then stop.
    Shutdown {
        /// Whether the other members were told, so that the next leader may demote this one first.
        is_announced: bool,
        done: oneshot::Sender<()>,
    },
    /// Stop immediately.
    Stop,
}

/// The core and the channels to the other threads.
pub(super) struct Voter {
    pub(super) core: Core,
    pub(super) shared: Arc<Shared>,
    pub(super) transport: Arc<dyn Transport>,
    pub(super) writes: Sender<Write>,
    pub(super) jobs: Sender<Job>,
    pub(super) events: Sender<Event>,
    pub(super) is_retired: bool,
}

/// A shutdown in progress.
struct PendingShutdown {
    until_ms: u64,
    is_announced: bool,
    done: Vec<oneshot::Sender<()>>,
}

impl Voter {
    /// Runs until a shutdown is complete or a component failed.
    pub(super) fn run(mut self, events: Receiver<Event>) {
        let mut shutdown: Option<PendingShutdown> = None;
        self.step(Input::Tick, Vec::new());
        self.publish();
        while !self.is_shutdown_complete(shutdown.as_ref()) {
            let mut batch = Vec::new();
            match events.recv_timeout(TICK) {
                Ok(event) => batch.push(event),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => break,
            }
            batch.extend(events.try_iter().take(MAX_BATCH));
            let mut is_stopped = false;
            let mut proposals = (Vec::new(), Vec::new());
            for event in batch {
                match event {
                    Event::Propose(command, reply) => {
                        proposals.0.push(command);
                        proposals.1.push(reply);
                    }
                    Event::Shutdown { is_announced, done } => {
                        self.start_shutdown(&mut shutdown, is_announced, done);
                    }
                    Event::Failed | Event::Stop => is_stopped = true,
                    event => self.handle(event),
                }
            }
            if is_stopped {
                break;
            }
            self.step(Input::Tick, Vec::new());
            if !proposals.0.is_empty() {
                self.step(Input::Propose(proposals.0), proposals.1);
            }
            self.publish();
        }
        self.shared.view().is_leader = false;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Receive(envelope) => self.step(Input::Receive(envelope), Vec::new()),
            Event::RemoveVoter(vm, reply) => self.step(Input::RemoveVoter(vm), vec![reply]),
            Event::SetContacts(vms) => self.step(Input::SetContacts(vms), Vec::new()),
            Event::Written(seq) => self.step(Input::Written(seq), Vec::new()),
            Event::SnapshotTaken(index, data) => {
                self.step(Input::SnapshotTaken { index, data }, Vec::new());
            }
            Event::MemberLeaves(vm) => self.step(Input::MemberLeaves(vm), Vec::new()),
            Event::Propose(..) | Event::Failed | Event::Shutdown { .. } | Event::Stop => {}
        }
    }

    fn start_shutdown(
        &mut self,
        shutdown: &mut Option<PendingShutdown>,
        is_announced: bool,
        done: oneshot::Sender<()>,
    ) {
        let timeout_ms = match is_announced {
            true => DEMOTION_TIMEOUT_MS,
            false => TRANSFER_TIMEOUT_MS,
        };
        let state = shutdown.get_or_insert(PendingShutdown {
            until_ms: self.shared.now_ms() + timeout_ms,
            is_announced,
            done: Vec::new(),
        });
        state.done.push(done);
        self.step(Input::Transfer, Vec::new());
    }

    fn is_shutdown_complete(&self, shutdown: Option<&PendingShutdown>) -> bool {
        let Some(shutdown) = shutdown else {
            return false;
        };
        let status = self.core.status();
        let voters = &status.configuration.voters;
        if voters.len() <= 1 || self.shared.now_ms() >= shutdown.until_ms {
            return true;
        }
        let awaits_demotion = shutdown.is_announced
            && voters.len().is_multiple_of(2)
            && voters.contains(self.core.id());
        !status.is_leader && !awaits_demotion
    }

    fn step(&mut self, input: Input, replies: Vec<Reply>) {
        let mut replies = Some(replies);
        for output in self.core.step(self.shared.now_ms(), input) {
            match output {
                Output::Send(envelope) => {
                    let to = envelope.to.vm.clone();
                    self.transport.send(&to, envelope);
                }
                Output::Write(write) => {
                    let _ = self.writes.send(write);
                }
                Output::Apply(entries) => self.submit_job(Job::Apply(entries)),
                Output::Restore(snapshot) => self.restore(snapshot),
                Output::Accepted { first_index, term } => {
                    let replies = replies.take().unwrap_or_default();
                    self.submit_job(Job::TrackProposals {
                        first_index,
                        term,
                        replies,
                    });
                }
                Output::Rejected {
                    leader,
                    unavailable,
                } => reject(replies.take().unwrap_or_default(), leader, unavailable),
                Output::Retired => self.report_retired(),
                Output::Report(_) => {}
            }
        }
    }

    /// Passes a snapshot to the applier. The voter stops if the state machine cannot restore it.
    fn restore(&mut self, snapshot: Arc<Snapshot>) {
        let events = self.events.clone();
        let on_restored = Box::new(move |outcome: Result<(), RestoreError>| {
            if let Err(error) = outcome {
                log::error!("consensus: voter stops: {error}");
                let _ = events.send(Event::Failed);
            }
        });
        self.submit_job(Job::Restore(snapshot, on_restored));
    }

    /// Submits a job to the applier thread, which ends only if the state machine panicked.
    fn submit_job(&mut self, job: Job) {
        if self.jobs.send(job).is_err() {
            log::error!("consensus: voter stops: the state machine panicked");
            let _ = self.events.send(Event::Failed);
        }
    }

    fn report_retired(&mut self) {
        if !self.is_retired {
            let id = self.core.id();
            log::error!(
                "consensus: {id} was removed or is of another cluster; clear its data folder to rejoin"
            );
            self.is_retired = true;
        }
    }

    fn publish(&self) {
        let status = self.core.status();
        let applied_index = *self.shared.applied.borrow();
        let confirmed = status.confirmed;
        let confirmed = confirmed.filter(|confirmed| confirmed.index <= applied_index);
        let confirmed_ms = confirmed.map(|confirmed| confirmed.at_ms.cast_signed());
        let mut view = self.shared.view();
        *view = View {
            leader: status.leader.map(|id| id.vm),
            term: status.term,
            cluster_id: status.cluster_id,
            commit_index: status.commit_index,
            configuration: status.configuration,
            is_leader: status.is_leader,
            quorum_contact_ms: status.quorum_contact_ms.map(u64::cast_signed),
            confirmed_ms: view.confirmed_ms.max(confirmed_ms),
        };
    }
}

fn reject(replies: Vec<Reply>, leader: Option<VmName>, unavailable: bool) {
    for reply in replies {
        let error = if unavailable {
            ProposeError::Unavailable
        } else {
            ProposeError::NotLeader {
                leader: leader.clone(),
            }
        };
        let _ = reply.send(Err(error));
    }
}
