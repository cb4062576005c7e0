//! Dispatcher of one VM: queues requests and assigns backend servers to them.

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
use super::assignment::AssignmentRecord;
use super::dispatch_state::DispatchState;
use super::dispatch_state::QueuedRequest;
use super::dispatch_state::deadline_unreachable;
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

/// Result of an assignment.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Discovery period after a start, in which servers become known by gossip and placement tables by
/// pulls. A request that finds no server waits until its end instead of being refused.
const SERVER_DISCOVERY_MS: u64 = 5_000;
/// Interval at which the queue is checked for expired and dispatchable requests without another
/// trigger.
const SWEEP_MS: u64 = 20;
/// Interval at which a call of a plain service checks for a provider with free capacity.
const SERVICE_RETRY_MS: u64 = 10;
/// Retry time in refusals when no server is known or the queue is full.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

/// A request for an engine.
#[derive(Clone, Debug)]
pub struct DispatchRequest {
    /// Client account to charge.
    pub account: AccountName,
    /// Weight of the account in fair queueing.
    pub weight: u32,
    /// Patience class.
    pub patience: Patience,
    /// Reserved tokens.
    pub tokens: Tokens,
    /// Estimated prompt tokens.
    pub prompt_tokens: Tokens,
    /// Time by which the request must have ended.
    pub deadline: MonoMs,
    /// Adapter and version.
    pub adapter: AdapterRef,
    /// Hashes of the prompt's prefix blocks.
    pub prefix: Vec<u64>,
    /// Whether the request was running when an engine crashed.
    pub suspect: bool,
}

/// Assigns backend servers to queued requests. Shared by all requests of a VM.
pub struct Dispatcher {
    clock: Clock,
    inner: Mutex<DispatchState>,
    /// Counts the requests queued for an adapter that no placement table lists.
    load_requests: watch::Sender<u64>,
}

/// Configuration of a dispatcher.
pub struct DispatcherConfig {
    /// Name of this VM.
    pub vm: VmName,
    /// Data centre of this VM.
    pub data_centre: DataCentre,
    /// Incarnation of this VM's process.
    pub incarnation: u64,
    /// Routing policy.
    pub policy: Policy,
    /// Limits of the queue.
    pub queue: FairQueueConfig,
}

/// Answer to a request that left the queue. It is sent after the lock is released, because an
/// assignment whose receiver is gone is dropped, which takes the lock.
type Answer = (oneshot::Sender<Result<Assignment>>, Result<Assignment>);

impl Dispatcher {
    /// Starts a dispatcher and its periodic queue sweep.
    pub fn spawn(config: DispatcherConfig, clock: Clock) -> Arc<Self> {
        let seed = config.incarnation ^ u64::from(crc32fast::hash(config.vm.as_str().as_bytes()));
        let residency = ResidencyView::new(
            config.vm,
            config.data_centre,
            config.incarnation,
            clock.mono(),
        );
        let inner = DispatchState {
            queue: FairQueue::new(config.queue),
            fleet: Fleet::new(seed),
            residency,
            prefixes: PrefixIndex::new(),
            popularity: Popularity::new(PopularityConfig::default()),
            route: RouteConfig::default(),
            policy: config.policy,
            next_nonce: seed,
            discovery_until: clock.mono().plus(SERVER_DISCOVERY_MS),
            assigned: HashMap::new(),
            failed: HashMap::new(),
        };
        let dispatcher = Arc::new(Self {
            clock,
            inner: Mutex::new(inner),
            load_requests: watch::Sender::new(0),
        });
        tokio::spawn(sweep(Arc::downgrade(&dispatcher)));
        dispatcher
    }

    /// Waits until a server may run `request`.
    ///
    /// # Errors
    /// `Overloaded` if the queue is full, `DeadlineUnreachable` as soon as the request can no
    /// longer meet its deadline, `NoBackend` if no engine of the base model is known.
    pub async fn assign(self: &Arc<Self>, request: DispatchRequest) -> Result<Assignment> {
        let (reply, answer) = oneshot::channel();
        let id = self.push(request, reply)?;
        // Removes the request from the queue if this future is dropped while it waits.
        let queued = QueuedGuard {
            dispatcher: self.clone(),
            id,
        };
        self.dispatch_ready();
        let assignment = answer.await.unwrap_or_else(|_| {
            Err(Refusal::not_run(
                RefusalCode::Internal,
                "the queue dropped the request",
            ))
        });
        drop(queued);
        assignment
    }

    fn push(
        &self,
        request: DispatchRequest,
        reply: oneshot::Sender<Result<Assignment>>,
    ) -> Result<ItemId> {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let nonce = inner.take_nonce();
        // Patient requests wait for their adapter anyway, so only urgent requests count towards the
        // popularity by which adapters get slots.
        if request.patience == Patience::Urgent {
            inner
                .popularity
                .record(&request.adapter, request.tokens, now);
        }
        let load_wait = inner
            .adapter_request(&request.adapter, &inner.view(now))
            .is_some_and(|adapter| adapter.needs_load);
        let item = QueueItem {
            account: request.account.clone(),
            weight: request.weight,
            class: request.patience,
            tokens: request.tokens,
            deadline: request.deadline,
            adapter: request.adapter.clone(),
            payload: QueuedRequest {
                request,
                nonce,
                queued_at: now,
                load_wait,
                reply,
            },
        };
        let id = inner.queue.push(item, now).map_err(|rejected| {
            let message = rejected.reason.to_string();
            Refusal::not_run(RefusalCode::Overloaded, message).with_retry_after_ms(RETRY_AFTER_MS)
        })?;
        if load_wait {
            self.load_requests.send_modify(|count| *count += 1);
        }
        Ok(id)
    }

    /// Waits until a provider of `service` has free capacity and returns its name.
    ///
    /// # Errors
    /// `NoBackend` if no provider is known, `Overloaded` if none had free capacity until
    /// `deadline`.
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
            self.check_rests(service, deadline)?;
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

    /// Records the end of a call of a plain service.
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

    /// Excludes `incarnation` of a server whose connection failed from new dispatches until it
    /// reports again, so that retries go to other servers.
    pub fn mark_failed(&self, server: &ServerName, incarnation: u64) {
        let now = self.clock.mono();
        self.lock().mark_failed(server, incarnation, now);
    }

    /// Sends a server no requests for `wait_ms`, because it limits them.
    pub fn defer(&self, server: &ServerName, wait_ms: u64) {
        let until = self.clock.mono().plus(wait_ms);
        self.lock().fleet.defer(server, until);
    }

    /// Sends a server no requests for `rest_ms`, because it asked this VM for rest.
    pub fn rest(&self, server: &ServerName, rest_ms: u64) {
        let now = self.clock.mono();
        self.lock().fleet.rest(server, rest_ms, now);
    }

    /// Refuses a call of a plain service whose providers all rest until after `deadline`.
    fn check_rests(&self, service: &ServiceName, deadline: MonoMs) -> Result<()> {
        let now = self.clock.mono();
        let rest_ms = self.lock().fleet.shortest_rest_ms(service, now);
        match rest_ms.filter(|rest_ms| now.plus(*rest_ms) >= deadline) {
            Some(rest_ms) => {
                let message = format!("all providers of service {service} rest");
                let refusal = Refusal::not_run(RefusalCode::Overloaded, message);
                Err(refusal.with_retry_after_ms(rest_ms))
            }
            None => Ok(()),
        }
    }

    /// Data centre of a server; `None` if it is not known.
    pub fn data_centre_of(&self, server: &ServerName) -> Option<DataCentre> {
        let inner = self.lock();
        let info = inner.fleet.info(server)?;
        Some(info.data_centre.clone())
    }

    /// Removes a dead backend server.
    pub fn remove(&self, server: &ServerName) {
        let mut inner = self.lock();
        inner.fleet.remove(server);
        inner.failed.remove(server);
        inner.prefixes.remove(server);
    }

    /// Sets the round-trip time to a data centre and whether the link is billed by volume.
    pub fn set_link(&self, data_centre: DataCentre, round_trip_ms: u64, paid: bool) {
        self.lock().fleet.set_link(data_centre, round_trip_ms, paid);
    }

    /// Sets the number of other VMs that dispatch to the same servers.
    pub fn set_peers(&self, peers: u32) {
        self.lock().fleet.set_peers(peers);
    }

    /// Ends all dispatches of this VM for a shutdown. The next pulls announce it to the coordinators.
    pub fn leave(&self) {
        self.lock().residency.leave();
    }

    /// Builds the pull of the placement table from the coordinator of `data_centre`.
    pub fn pull(&self, data_centre: &DataCentre, with_popularity: bool) -> TablePull {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let waiting = inner.waiting_for(data_centre, now);
        let popularity = with_popularity.then(|| inner.popularity.summary(now));
        inner.residency.pull(data_centre, waiting, popularity, now)
    }

    /// Applies a placement table; `pull_sent` is the time just before its pull was sent.
    pub fn apply(self: &Arc<Self>, table: Table, pull_sent: MonoMs) {
        let applied = self.lock().residency.apply(table, pull_sent);
        if applied {
            self.dispatch_ready();
        } else {
            debug!("dispatcher: ignored a placement table that cannot be applied");
        }
    }

    /// Notifies of each request queued for an adapter that no placement table lists.
    pub fn subscribe_load_requests(&self) -> watch::Receiver<u64> {
        self.load_requests.subscribe()
    }

    /// Calls `read` with this VM's residency view.
    pub fn with_residency<T>(&self, read: impl FnOnce(&ResidencyView) -> T) -> T {
        read(&self.lock().residency)
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.lock().queue.len()
    }

    pub(super) fn finish(self: &Arc<Self>, record: AssignmentRecord, used_tokens: Option<Tokens>) {
        let now = self.clock.mono();
        {
            let mut inner = self.lock();
            let server = &record.permit.server;
            let incarnation = record.permit.incarnation;
            inner
                .fleet
                .record_completion(server, incarnation, record.suspect, now);
            if let Some(used) = used_tokens {
                inner
                    .queue
                    .settle(&record.account, record.patience, record.tokens, used);
            }
            inner.residency.finish(record.permit);
        }
        self.dispatch_ready();
    }

    /// Assigns servers to all queued requests that can be dispatched and refuses expired ones.
    fn dispatch_ready(self: &Arc<Self>) {
        let answers = self.take_answers();
        for (reply, answer) in answers {
            let _ = reply.send(answer);
        }
    }

    fn take_answers(self: &Arc<Self>) -> Vec<Answer> {
        let now = self.clock.mono();
        let mut inner = self.lock();
        let mut answers = Vec::new();
        for item in inner.queue.expired(now) {
            answers.push((item.payload.reply, Err(deadline_unreachable())));
        }
        while let Some((queued, choice)) = inner.pop(now) {
            let answer = self.assign_server(&mut inner, &queued, choice, now);
            answers.push((queued.reply, answer));
        }
        answers
    }

    fn assign_server(
        self: &Arc<Self>,
        inner: &mut DispatchState,
        queued: &QueuedRequest,
        choice: RouteDecision,
        now: MonoMs,
    ) -> Result<Assignment> {
        let request = &queued.request;
        let RouteDecision::Dispatch { server, .. } = choice else {
            return Err(no_backend(request.adapter.base()));
        };
        let Some(permit) = inner.residency.begin(&server, &request.adapter, now) else {
            return Err(no_backend(request.adapter.base()));
        };
        inner
            .fleet
            .record_dispatch(&server, request.suspect, request.tokens, now);
        inner
            .prefixes
            .record_dispatch(&server, permit.incarnation, &request.prefix);
        let record = AssignmentRecord {
            permit,
            suspect: request.suspect,
            account: request.account.clone(),
            patience: request.patience,
            tokens: request.tokens,
        };
        let wait_ms = now.since(queued.queued_at);
        let load_stalled = queued.load_wait;
        Ok(Assignment::new(self.clone(), record, wait_ms, load_stalled))
    }

    fn lock(&self) -> MutexGuard<'_, DispatchState> {
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
        dispatcher.dispatch_ready();
    }
}
