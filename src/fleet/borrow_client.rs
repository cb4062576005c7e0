//! Client of an entry VM for the token bucket server. Requests are sent over the link to that server.

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
use crate::gateway::BucketReachability;
use crate::limits::BorrowPeers;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::NoCoordinator;
use crate::link::Frame;
use crate::link::Session;
use crate::types::DataCentre;
use crate::types::MonoMs;

/// Timeout of a token request.
const BORROW_TIMEOUT_MS: u64 = 400;

/// Sends token requests and matches the replies to them.
#[derive(Clone, Default)]
pub(super) struct BorrowClient {
    state: Arc<Mutex<State>>,
    pub(super) reach: BucketReachability,
}

/// The token bucket server that an entry VM uses.
#[derive(Clone, Debug, Default)]
pub(super) enum QuotaServer {
    /// The leader of the replicated log, which serves the token buckets of the whole fleet.
    Leader(Session),
    /// A controller that grants its own share of each rate because there is no leader.
    Failover(Session),
    /// No server. A leader may exist but be unreachable from this VM.
    #[default]
    Unknown,
    /// No server: no link to a controller is open.
    None,
}

impl QuotaServer {
    /// The log event that describes this server.
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
    /// Sets the token bucket server; returns the log event if the server changed.
    pub(super) fn set_quota_server(
        &self,
        server: QuotaServer,
        now: MonoMs,
    ) -> Option<QuotaServerChange> {
        if !matches!(server, QuotaServer::Leader(_)) {
            self.reach.set(false);
        }
        self.reach
            .set_stand_in_active(matches!(server, QuotaServer::Failover(_)));
        self.reach
            .set_bucket_unavailable(matches!(server, QuotaServer::None), now);
        let mut state = self.lock();
        if let QuotaServer::Leader(leader) = &server {
            // A failover server that becomes the leader serves the fleet's buckets from now on.
            let is_same =
                matches!(&state.server, QuotaServer::Leader(old) if old.id() == leader.id());
            if !is_same {
                self.reach.on_bucket_moved(now);
            }
        }
        let before = state.server.as_event();
        state.server = server;
        Some(state.server.as_event()).filter(|change| *change != before)
    }

    /// Completes the request that a reply belongs to.
    pub(super) fn on_reply(&self, number: u64, reply: BorrowReply) {
        if let Some(waiting) = self.lock().pending.remove(&number) {
            // Sending fails if the request has timed out.
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

    async fn send_request(
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
            return Err(failed("no link to a token bucket server"));
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
        Box::pin(self.clone().send_request(data_centre, request))
    }
}
