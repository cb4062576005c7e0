//! Handle to a running voter or follower of the replicated log.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc;
use std::sync::mpsc::Sender;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::applied_log::Lookup;
use super::applier::Applier;
use super::applier::Job;
use super::config::Applied;
use super::config::FollowerConfig;
use super::config::OpenError;
use super::config::ProposeError;
use super::config::Result;
use super::config::Status;
use super::config::VoterConfig;
use super::follower::Follower;
use super::shared::Shared;
use super::shared::lock;
use super::traits::FollowSource;
use super::traits::SharedMachine;
use super::traits::StateMachine;
use super::traits::Transport;
use super::voter::Event;
use super::voter::Voter;
use super::writer;
use crate::consensus::core::Core;
use crate::consensus::core::CoreConfig;
use crate::consensus::core::RecoveredState;
use crate::consensus::message::Envelope;
use crate::consensus::message::FORMAT_VERSION;
use crate::consensus::message::FollowContent;
use crate::consensus::message::FollowReply;
use crate::consensus::message::FollowRequest;
use crate::consensus::snapshot_schedule::SnapshotSchedule;
use crate::consensus::storage::Disk;
use crate::consensus::storage::Folder;
use crate::consensus::storage::StorageError;
use crate::consensus::storage::Store;
use crate::consensus::types::VoterId;
use crate::types::VmName;

/// Maximum time a follow request waits for new entries.
const MAX_FOLLOW_WAIT_MS: u64 = 1_000;

/// Handle to a running voter or follower. Clones refer to the same one.
#[derive(Clone)]
pub struct Handle {
    inner: Arc<Inner>,
}

struct Inner {
    shared: Arc<Shared>,
    jobs: Mutex<Option<Sender<Job>>>,
    role: Role,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

enum Role {
    Voter {
        events: Sender<Event>,
        propose_timeout: Duration,
    },
    Follower {
        stop: watch::Sender<bool>,
    },
}

impl Handle {
    /// Opens the data folder and runs a voter on dedicated threads. The state machine must be in
    /// its initial state. If the data folder is corrupt, it is cleared, and the voter joins as a
    /// new identity.
    pub fn open_voter<M: StateMachine>(
        config: VoterConfig,
        machine: SharedMachine<M>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self> {
        let folder = config.data_folder.clone();
        Self::open_voter_on(config, || Folder::open(&folder), machine, transport)
    }

    /// Like `open_voter`, but stores the files on the disk opened by `open_disk` instead of in the
    /// data folder.
    pub fn open_voter_on<D: Disk + 'static, M: StateMachine>(
        config: VoterConfig,
        open_disk: impl Fn() -> io::Result<D>,
        machine: SharedMachine<M>,
        transport: Arc<dyn Transport>,
    ) -> Result<Self> {
        let (store, recovered) = open_store(&config, open_disk)?;
        let shared = Arc::new(Shared::new());
        let (event_sender, events) = mpsc::channel();
        let (write_sender, writes) = mpsc::channel();
        let (job_sender, jobs) = mpsc::channel();
        let mut applier = Applier::new(machine, Arc::clone(&shared));
        applier.schedule =
            SnapshotSchedule::new(config.snapshot_every_entries, recovered.meta.disk_id);
        let snapshots = event_sender.clone();
        applier.on_snapshot = Some(Box::new(move |index, data| {
            let _ = snapshots.send(Event::SnapshotTaken(index, data));
        }));
        let core_config = CoreConfig {
            id: VoterId::new(config.vm, recovered.meta.disk_id),
            founders: config.founders,
            may_bootstrap: config.may_bootstrap,
            disk_losses: config.disk_losses,
            timeouts: config.timeouts,
            seed: rand::random(),
        };
        let voter = Voter {
            core: Core::new(core_config, recovered, shared.now_ms()),
            shared: Arc::clone(&shared),
            transport,
            writes: write_sender,
            jobs: job_sender.clone(),
            events: event_sender.clone(),
            is_retired: false,
        };
        let written = event_sender.clone();
        let threads = vec![
            spawn("consensus-write", move || {
                writer::run(store, writes, written)
            })?,
            spawn("consensus-apply", move || applier.run(jobs))?,
            spawn("consensus-core", move || voter.run(events))?,
        ];
        let role = Role::Voter {
            events: event_sender,
            propose_timeout: Duration::from_millis(config.propose_timeout_ms),
        };
        Ok(Self::new(shared, job_sender, role, threads))
    }

    /// Runs a diskless follower. The state machine must be in its initial state. Must be called
    /// within a tokio runtime.
    pub fn spawn_follower<M: StateMachine>(
        config: FollowerConfig,
        machine: SharedMachine<M>,
        source: Arc<dyn FollowSource>,
    ) -> Self {
        let shared = Arc::new(Shared::new());
        let (job_sender, jobs) = mpsc::channel();
        let applier = Applier::new(machine, Arc::clone(&shared));
        let thread = thread::spawn(move || applier.run(jobs));
        let (stop, stopped) = watch::channel(false);
        let follower = Follower::new(config, Arc::clone(&shared), source, job_sender.clone());
        tokio::spawn(follower.run(stopped));
        Self::new(shared, job_sender, Role::Follower { stop }, vec![thread])
    }

    fn new(
        shared: Arc<Shared>,
        jobs: Sender<Job>,
        role: Role,
        threads: Vec<JoinHandle<()>>,
    ) -> Self {
        Self {
            inner: Arc::new(Inner {
                shared,
                jobs: Mutex::new(Some(jobs)),
                role,
                threads: Mutex::new(threads),
            }),
        }
    }

    /// Processes a message from another VM. A follower ignores it.
    pub fn receive(&self, envelope: Envelope) {
        if let Role::Voter { events, .. } = &self.inner.role {
            let _ = events.send(Event::Receive(Box::new(envelope)));
        }
    }

    /// Sets VMs that are asked for a leader while none is in contact, besides the founders and the members.
    pub fn set_contacts(&self, contacts: Vec<VmName>) {
        if let Role::Voter { events, .. } = &self.inner.role {
            let _ = events.send(Event::SetContacts(contacts));
        }
    }

    /// Proposes a command and waits until it is applied here.
    pub async fn propose(&self, command: Vec<u8>) -> std::result::Result<Applied, ProposeError> {
        self.submit(|reply| Event::Propose(Bytes::from(command), reply))
            .await
    }

    /// Permanently removes the voter on `vm`. Only the leader can do this. Meant for a VM that will
    /// not return.
    pub async fn remove_voter(&self, vm: VmName) -> std::result::Result<(), ProposeError> {
        let applied = self.submit(|reply| Event::RemoveVoter(vm, reply)).await;
        applied.map(|_| ())
    }

    /// Reports that the process on `vm` shuts down, so that it need not vote. Has an effect on the leader; to be
    /// repeated while it shuts down.
    pub fn report_leaving(&self, vm: VmName) {
        if let Role::Voter { events, .. } = &self.inner.role {
            let _ = events.send(Event::MemberLeaves(vm));
        }
    }

    async fn submit(
        &self,
        event: impl FnOnce(super::applier::Reply) -> Event,
    ) -> std::result::Result<Applied, ProposeError> {
        let (events, timeout) = match &self.inner.role {
            Role::Voter {
                events,
                propose_timeout,
            } => (events, *propose_timeout),
            Role::Follower { .. } => {
                let leader = self.inner.shared.view().leader.clone();
                return Err(ProposeError::NotLeader { leader });
            }
        };
        let (reply, outcome) = oneshot::channel();
        if events.send(event(reply)).is_err() {
            return Err(ProposeError::Unavailable);
        }
        match tokio::time::timeout(timeout, outcome).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(ProposeError::Unknown),
        }
    }

    /// Serves a follower. Waits at most 1,000 ms for entries from `next_index`.
    pub async fn follow(&self, request: FollowRequest) -> FollowReply {
        let shared = &self.inner.shared;
        let received_ms = shared.now_ms();
        let wait = Duration::from_millis(request.wait_ms.min(MAX_FOLLOW_WAIT_MS));
        let mut applied = shared.applied.subscribe();
        let reached = applied.wait_for(|index| *index >= request.next_index);
        let _ = tokio::time::timeout(wait, reached).await;
        let content = self.follow_content(&request).await;
        let view = shared.view().clone();
        FollowReply {
            version: FORMAT_VERSION,
            cluster_id: view.cluster_id,
            term: view.term,
            leader: view.leader,
            voters: view.configuration.voters.into_iter().collect(),
            commit_index: view.commit_index,
            confirmed_age_ms: shared.age_ms(view.confirmed_ms),
            waited_ms: shared.now_ms() - received_ms,
            content,
        }
    }

    async fn follow_content(&self, request: &FollowRequest) -> FollowContent {
        let cluster_id = self.inner.shared.view().cluster_id;
        let is_foreign = request.cluster_id != 0 && request.cluster_id != cluster_id;
        if is_foreign || request.version != FORMAT_VERSION {
            return FollowContent::Entries(Vec::new());
        }
        if let Some(found) = self.lookup(request) {
            return found;
        }
        let (done, published) = oneshot::channel();
        if let Some(jobs) = &*lock(&self.inner.jobs) {
            let _ = jobs.send(Job::PublishSnapshot(done));
        }
        let _ = published.await;
        let found = self.lookup(request);
        found.unwrap_or_else(|| FollowContent::Entries(Vec::new()))
    }

    fn lookup(&self, request: &FollowRequest) -> Option<FollowContent> {
        let log = self.inner.shared.log();
        match log.lookup(request.next_index, request.snapshot) {
            Lookup::Found(content) => Some(content),
            Lookup::NeedsSnapshot => None,
        }
    }

    /// Whether all threads are running. A voter stops permanently when its disk or state machine
    /// fails; the process should then exit, so that it is restarted.
    pub fn is_running(&self) -> bool {
        let threads = lock(&self.inner.threads);
        !threads.is_empty() && !threads.iter().any(JoinHandle::is_finished)
    }

    /// Current status of the log.
    pub fn status(&self) -> Status {
        self.inner.shared.status()
    }

    /// Subscribes to changes of the applied index.
    pub fn subscribe_applied(&self) -> watch::Receiver<u64> {
        self.inner.shared.applied.subscribe()
    }

    /// Transfers leadership, syncs and stops. Pending proposals fail with `Unknown`.
    pub async fn shutdown(&self) {
        self.stop(false).await;
    }

    /// Like `shutdown`, but the other members were told: the process stops once it no longer votes, if the
    /// others bear one more failure then.
    pub async fn shutdown_announced(&self) {
        self.stop(true).await;
    }

    async fn stop(&self, is_announced: bool) {
        match &self.inner.role {
            Role::Voter { events, .. } => {
                let (done, stopped) = oneshot::channel();
                let _ = events.send(Event::Shutdown { is_announced, done });
                let _ = stopped.await;
            }
            Role::Follower { stop } => {
                stop.send_replace(true);
            }
        }
        lock(&self.inner.jobs).take();
        let threads = std::mem::take(&mut *lock(&self.inner.threads));
        let joined = tokio::task::spawn_blocking(move || {
            for thread in threads {
                let _ = thread.join();
            }
        });
        let _ = joined.await;
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        match &self.role {
            Role::Voter { events, .. } => {
                let _ = events.send(Event::Stop);
            }
            Role::Follower { stop } => {
                stop.send_replace(true);
            }
        }
    }
}

fn open_store<D: Disk>(
    config: &VoterConfig,
    open_disk: impl Fn() -> io::Result<D>,
) -> Result<(Store<D>, RecoveredState)> {
    let new_disk_id = rand::random::<u64>().max(1);
    let disk = || {
        open_disk().map_err(|error| OpenError {
            reason: format!("{}: {error}", config.data_folder.display()),
        })
    };
    let opened = match Store::open(disk()?, new_disk_id) {
        Err(error) if error.is_corrupt() => {
            log::error!(
                "consensus: clearing the data folder and joining as a new identity: {error}"
            );
            Store::reset(disk()?, new_disk_id)
        }
        opened => opened,
    };
    opened.map_err(|error: StorageError| OpenError {
        reason: error.to_string(),
    })
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    let started = thread::Builder::new().name(name.to_owned()).spawn(run);
    started.map_err(|error: io::Error| OpenError {
        reason: format!("thread {name} cannot be started: {error}"),
    })
}
