//! Token requests of an entry VM, carried by its link to the VM that keeps the buckets.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::log_line::QuotaServerChange;
use crate::gateway::Reach;
use crate::limits::BorrowPeers;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::NoCoordinator;
use crate::link::Frame;
use crate::link::Session;
use crate::types::DataCentre;
use crate::types::MonoMs;

/// Longest wait for tokens.
const BORROW_TIMEOUT_MS: u64 = 400;

/// Token requests in flight.
#[derive(Clone, Default)]
pub(super) struct BorrowClient {
    state: Arc<Mutex<State>>,
    pub(super) reach: Reach,
}

/// Whom an entry VM asks for tokens.
#[derive(Clone, Debug, Default)]
pub(super) enum QuotaServer {
    /// The leader of the log, which keeps the fleet's buckets.
    Leader(Session),
    /// A controller that hands out its own part, because there is no leader.
    Failover(Session),
    /// Nobody. The leader may be out of this VM's reach only.
    #[default]
    Unknown,
    /// Nobody: no controller is linked.
    None,
}

impl QuotaServer {
    /// What the log tells of it.
    pub(super) fn as_event(&self) -> QuotaServerChange {
        let kind = match self {
            Self::Leader(_) => "leader",
            Self::Failover(_) => "stand_in",
            Self::Unknown => "unknown",
            Self::None => "none",
        };
        QuotaServerChange {
            kind,
            keeper: self.session().map(|session| session.peer().vm.clone()),
        }
    }

    fn session(&self) -> Option<&Session> {
        match self {
            Self::Leader(session) | Self::Failover(session) => Some(session),
            Self::Unknown | Self::None => None,
        }
    }
}

#[derive(Default)]
struct State {
    server: QuotaServer,
    next: u64,
    pending: HashMap<u64, oneshot::Sender<BorrowReply>>,
}

impl BorrowClient {
    /// Sets whom to ask; returns what the log tells of it, if it has changed.
    pub(super) fn set_quota_server(
        &self,
        server: QuotaServer,
        now: MonoMs,
    ) -> Option<QuotaServerChange> {
        if !matches!(server, QuotaServer::Leader(_)) {
            self.reach.set(false);
        }
        self.reach
            .set_stood_in(matches!(server, QuotaServer::Failover(_)));
        self.reach
            .set_alone(matches!(server, QuotaServer::None), now);
        let mut state = self.lock();
        if let QuotaServer::Leader(leader) = &server {
            // A controller that stood in before keeps the fleet's buckets only from now on.
            let led = matches!(&state.server, QuotaServer::Leader(old) if old.id() == leader.id());
            if !led {
                self.reach.moved(now);
            }
        }
        let before = state.server.as_event();
        state.server = server;
        Some(state.server.as_event()).filter(|change| *change != before)
    }

    /// Passes a reply to its request.
    pub(super) fn on_reply(&self, number: u64, reply: BorrowReply) {
        if let Some(waiting) = self.lock().pending.remove(&number) {
            // The request has timed out if nobody takes the reply.
            let _ = waiting.send(reply);
        }
    }

    fn start(&self, request: BorrowRequest) -> Option<(u64, oneshot::Receiver<BorrowReply>)> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        let server = state.server.session()?;
        if !server.send(&Frame::Borrow(number, request)) {
            return None;
        }
        state.pending.insert(number, sender);
        Some((number, receiver))
    }

    fn is_led(&self) -> bool {
        matches!(self.lock().server, QuotaServer::Leader(_))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn ask(
        self,
        to: DataCentre,
        request: BorrowRequest,
    ) -> Result<BorrowReply, NoCoordinator> {
        let failed = |reason: &str| NoCoordinator {
            data_centre: to.clone(),
            reason: reason.to_owned(),
        };
        let Some((number, receiver)) = self.start(request) else {
            self.reach.set(false);
            return Err(failed("no VM that keeps the buckets is linked"));
        };
        let reply = timeout(Duration::from_millis(BORROW_TIMEOUT_MS), receiver).await;
        self.lock().pending.remove(&number);
        match reply {
            Ok(Ok(reply)) => {
                self.reach.set(reply.coordinating && self.is_led());
                Ok(reply)
            }
            _ => {
                self.reach.set(false);
                Err(failed("timed out"))
            }
        }
    }
}

impl BorrowPeers for BorrowClient {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        Box::pin(self.clone().ask(data_centre, request))
    }
}
