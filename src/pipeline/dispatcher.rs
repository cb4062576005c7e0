//! Queue, routing and residency of one VM: gives waiting work a backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use log::debug;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use super::assignment::Assignment;
use super::assignment::Grant;
use super::dispatch_state::Inner;
use super::dispatch_state::Ticket;
use super::dispatch_state::expired;
use super::dispatch_state::no_backend;
use crate::scheduling::fair_queue::FairQueue;
use crate::scheduling::fair_queue::FairQueueConfig;
use crate::scheduling::fair_queue::ItemId;
use crate::scheduling::fair_queue::QueueItem;
use crate::scheduling::popularity::Popularity;
use crate::scheduling::popularity::PopularityConfig;
use crate::scheduling::residency::ResidencyView;
use crate::scheduling::residency::Table;
use crate::scheduling::residency::TablePull;
use crate::scheduling::routing::Fleet;
use crate::scheduling::routing::LoadReport;
use crate::scheduling::routing::Policy;
use crate::scheduling::routing::PrefixIndex;
use crate::scheduling::routing::RouteConfig;
use crate::scheduling::routing::RouteDecision;
use crate::scheduling::routing::RouteRequest;
use crate::scheduling::routing::RouteTarget;
use crate::scheduling::routing::ServerInfo;
use crate::scheduling::routing::choose;
use crate::types::AccountName;
use crate::types::AdapterRef;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Patience;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::Tokens;
use crate::types::VmName;

/// Result of waiting for a backend server.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Time after a start in which gossip brings the servers and pulls bring the tables. A request that
/// finds no server waits that long instead of being refused.
const LEARNING_MS: u64 = 5_000;
/// Interval at which waiting work is looked at without another cause.
const SWEEP_MS: u64 = 20;
/// Interval at which a call of a plain service looks for a provider with room.
const SERVICE_RETRY_MS: u64 = 10;
/// Time after which a caller may try again when no server is known or the queue is full.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// Work that needs an engine.
#[derive(Clone, Debug)]
pub struct Work {
    /// Client account that is charged.
    pub account: AccountName,
    /// Weight of the account.
    pub weight: u32,
    /// Patience class.
    pub patience: Patience,
    /// Reserved tokens.
    pub tokens: Tokens,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// Time by which the work must have ended.
    pub deadline: MonoMs,
    /// Adapter and version.
    pub adapter: AdapterRef,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// Whether the request was running when an engine crashed.
    pub suspect: bool,
}

/// Gives waiting work a backend server. Shared by all requests of a VM.
pub struct Dispatcher {
    clock: Clock,
    inner: Mutex<Inner>,
    /// Changes when work starts to wait for an adapter that no table lists.
    load_wanted: watch::Sender<u64>,
}

/// Settings of a dispatcher.
pub struct DispatcherConfig {
    /// This VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Routing policy.
    pub policy: Policy,
    /// Bounds of the queue.
    pub queue: FairQueueConfig,
}

/// Work that left the queue and the answer for its owner. Sent outside the lock, because an owner
/// that is gone returns the assignment.
type Answer = (oneshot::Sender<Result<Assignment>>, Result<Assignment>);

impl Dispatcher {
    /// Starts a dispatcher and its sweep for expired work.
    pub fn spawn(config: DispatcherConfig, clock: Clock) -> Arc<Self> {
        let seed = config.incarnation ^ u64::from(crc32fast::hash(config.vm.as_str().as_bytes()));
        let residency = ResidencyView::new(
            config.vm,
            config.data_centre,
            config.incarnation,
            clock.mono(),
        );
        let inner = Inner {
            queue: FairQueue::new(config.queue),
            fleet: Fleet::new(seed),
            residency,
            prefixes: PrefixIndex::new(),
            popularity: Popularity::new(PopularityConfig::default()),
            route: RouteConfig::default(),
            policy: config.policy,
            next_nonce: seed,
            learning_until: clock.mono().plus(LEARNING_MS),
            assigned: HashMap::new(),
            failed: HashMap::new(),
        };
        let dispatcher = Arc::new(Self {
            clock,
            inner: Mutex::new(inner),
            load_wanted: watch::Sender::new(0),
        });
        tokio::spawn(sweep(Arc::downgrade(&dispatcher)));
        dispatcher
    }

    /// Waits until a server may run `work`.
    ///
    /// # Errors
    /// `Overloaded` if the queue is full, `DeadlineUnreachable` as soon as the work can no longer
    /// meet its deadline, `NoBackend` if no engine of the base model is known.
    pub async fn assign(self: &Arc<Self>, work: Work) -> Result<Assignment> {
        let (reply, answer) = oneshot::channel();
        let id = self.push(work, reply)?;
        // Cancels the queued item if the caller leaves while it waits.
        let queued = QueuedGuard {
            dispatcher: self.clone(),
            id,
        };
        self.pump();
        let assignment = answer.await.unwrap_or_else(|_| {
            Err(Refusal::not_run(
                RefusalCode::Internal,
                "the queue dropped the request",
            ))
        });
        drop(queued);
        assignment
    }

    fn push(&self, work: Work, reply: oneshot::Sender<Result<Assignment>>) -> Result<ItemId> {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let nonce = inner.take_nonce();
        // Patient work waits for its adapter anyway, so only urgent work earns an adapter its slot.
        if work.patience == Patience::Urgent {
            inner.popularity.record(&work.adapter, work.tokens, now);
        }
        let load_wait = inner
            .asked(&work.adapter, &inner.view(now))
            .is_some_and(|a| a.load);
        let item = QueueItem {
            account: work.account.clone(),
            weight: work.weight,
            class: work.patience,
            tokens: work.tokens,
            deadline: work.deadline,
            adapter: work.adapter.clone(),
            payload: Ticket {
                work,
                nonce,
                queued: now,
                load_wait,
                reply,
            },
        };
        let id = inner.queue.push(item, now).map_err(|rejected| {
            let message = rejected.reason.to_string();
            Refusal::not_run(RefusalCode::Overloaded, message).with_retry_after_ms(RETRY_AFTER_MS)
        })?;
        if load_wait {
            self.load_wanted.send_modify(|count| *count += 1);
        }
        Ok(id)
    }

    /// Waits until a provider of `service` has room and returns its name.
    ///
    /// # Errors
    /// `NoBackend` if no provider is known, `Overloaded` if none had room until `deadline`.
    pub async fn assign_service(
        &self,
        service: &ServiceName,
        patience: Patience,
        deadline: MonoMs,
    ) -> Result<ServerName> {
        loop {
            match self.choose_service(service, patience) {
                RouteDecision::Dispatch { server, .. } => return Ok(server),
                RouteDecision::NoServer => return Err(no_backend(service.as_str())),
                RouteDecision::Busy { .. } | RouteDecision::WaitForLoad { .. } => {}
            }
            if self.clock.mono().plus(SERVICE_RETRY_MS) >= deadline {
                let message = format!("all providers of service {service} are busy");
                return Err(Refusal::not_run(RefusalCode::Overloaded, message)
                    .with_retry_after_ms(RETRY_AFTER_MS));
            }
            sleep(Duration::from_millis(SERVICE_RETRY_MS)).await;
        }
    }

    fn choose_service(&self, service: &ServiceName, patience: Patience) -> RouteDecision {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let request = RouteRequest {
            target: RouteTarget::Service(service),
            class: patience,
            prompt_tokens: 0,
            prefix: &[],
            suspect: false,
            assigned: None,
            nonce: inner.take_nonce(),
        };
        let choice = choose(&request, &inner.view(now), inner.policy);
        if let RouteDecision::Dispatch { server, .. } = &choice {
            inner.fleet.record_dispatch(server, false, 0, now);
        }
        choice
    }

    /// Ends a call of a plain service.
    pub fn finish_service(&self, server: &ServerName) {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let incarnation = inner.fleet.info(server).map(|info| info.incarnation);
        if let Some(incarnation) = incarnation {
            inner
                .fleet
                .record_completion(server, incarnation, false, now);
        }
    }

    /// Merges an announcement of a backend server.
    pub fn observe(&self, info: ServerInfo, report: LoadReport) {
        let now = self.clock.mono();
        self.lock().observe(info, report, now);
    }

    /// Gives `incarnation` of a server whose connection failed no new work until it reports again,
    /// so that retries go to others.
    pub fn note_failed(&self, server: &ServerName, incarnation: u64) {
        let now = self.clock.mono();
        self.lock().note_failed(server, incarnation, now);
    }

    /// Forgets a backend server that is dead.
    pub fn remove(&self, server: &ServerName) {
        let mut inner = self.lock();
        inner.fleet.remove(server);
        inner.failed.remove(server);
        inner.prefixes.remove(server);
    }

    /// Sets the round trip time to a data centre and whether the link is billed by volume.
    pub fn set_link(&self, data_centre: DataCentre, round_trip_ms: u64, paid: bool) {
        self.lock().fleet.set_link(data_centre, round_trip_ms, paid);
    }

    /// Sets the number of other VMs that route to the same servers.
    pub fn set_peers(&self, peers: u32) {
        self.lock().fleet.set_peers(peers);
    }

    /// Ends all dispatches, for a shutdown.
    pub fn leave(&self) {
        self.lock().residency.leave();
    }

    /// The pull for the coordinator of `data_centre`.
    pub fn pull(&self, data_centre: &DataCentre, with_popularity: bool) -> TablePull {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let waiting = inner.waiting_for(data_centre, now);
        let popularity = with_popularity.then(|| inner.popularity.summary(now));
        inner.residency.pull(data_centre, waiting, popularity, now)
    }

    /// Puts a table in force; `pull_sent` is the time before its pull was sent.
    pub fn apply(self: &Arc<Self>, table: Table, pull_sent: MonoMs) {
        let applied = self.lock().residency.apply(table, pull_sent);
        if applied {
            self.pump();
        } else {
            debug!("dispatcher: placement table was not usable");
        }
    }

    /// Changes each time work starts to wait for an adapter that no table lists.
    pub fn subscribe_load_wanted(&self) -> watch::Receiver<u64> {
        self.load_wanted.subscribe()
    }

    /// Runs `read` on this VM's residency view.
    pub fn with_residency<T>(&self, read: impl FnOnce(&ResidencyView) -> T) -> T {
        read(&self.lock().residency)
    }

    /// Number of requests that wait in the queue.
    pub fn queued(&self) -> usize {
        self.lock().queue.len()
    }

    pub(super) fn finish(self: &Arc<Self>, grant: Grant, used_tokens: Option<Tokens>) {
        let now = self.clock.mono();
        {
            let mut inner = self.lock();
            let server = &grant.lease.server;
            let incarnation = grant.lease.incarnation;
            inner
                .fleet
                .record_completion(server, incarnation, grant.suspect, now);
            if let Some(used) = used_tokens {
                inner
                    .queue
                    .settle(&grant.account, grant.patience, grant.tokens, used);
            }
            inner.residency.finish(grant.lease);
        }
        self.pump();
    }

    /// Dispatches all work that can be dispatched and answers work that has expired.
    fn pump(self: &Arc<Self>) {
        let answers = self.collect();
        for (reply, answer) in answers {
            let _ = reply.send(answer);
        }
    }

    fn collect(self: &Arc<Self>) -> Vec<Answer> {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let mut answers = Vec::new();
        for item in inner.queue.expired(now) {
            answers.push((item.payload.reply, Err(expired())));
        }
        while let Some((ticket, choice)) = inner.pop(now) {
            let answer = self.grant(&mut inner, &ticket, choice, now);
            answers.push((ticket.reply, answer));
        }
        answers
    }

    fn grant(
        self: &Arc<Self>,
        inner: &mut Inner,
        ticket: &Ticket,
        choice: RouteDecision,
        now: MonoMs,
    ) -> Result<Assignment> {
        let work = &ticket.work;
        let RouteDecision::Dispatch { server, .. } = choice else {
            return Err(no_backend(work.adapter.base()));
        };
        let Some(lease) = inner.residency.begin(&server, &work.adapter, now) else {
            return Err(no_backend(work.adapter.base()));
        };
        inner
            .fleet
            .record_dispatch(&server, work.suspect, work.tokens, now);
        inner
            .prefixes
            .record_dispatch(&server, lease.incarnation, &work.prefix);
        let grant = Grant {
            lease,
            suspect: work.suspect,
            account: work.account.clone(),
            patience: work.patience,
            tokens: work.tokens,
        };
        let wait_ms = now.since(ticket.queued);
        let load_stalled = ticket.load_wait;
        Ok(Assignment::new(self.clone(), grant, wait_ms, load_stalled))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no holder panics")
    }
}

struct QueuedGuard {
    dispatcher: Arc<Dispatcher>,
    id: ItemId,
}

impl Drop for QueuedGuard {
    fn drop(&mut self) {
        let cancelled = self.dispatcher.lock().queue.cancel(self.id);
        drop(cancelled);
    }
}

async fn sweep(dispatcher: std::sync::Weak<Dispatcher>) {
    loop {
        sleep(Duration::from_millis(SWEEP_MS)).await;
        let Some(dispatcher) = dispatcher.upgrade() else {
            return;
        };
        dispatcher.pump();
    }
}
