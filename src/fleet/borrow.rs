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

use super::log_line::KeeperChange;
use crate::gateway::BucketReachability;
use crate::limits::BorrowPeers;
use crate::limits::BorrowReply;
use crate::limits::BorrowRequest;
use crate::limits::NoCoordinator;
use crate::link::Frame;
use crate::link::Session;
use crate::types::DataCentre;
use crate::types::MonoMs;

/// Longest wait for tokens.
const BORROW_MS: u64 = 400;

/// Token requests in flight.
#[derive(Clone, Default)]
pub(super) struct Borrowers {
    state: Arc<Mutex<State>>,
    pub(super) reach: BucketReachability,
}

/// Whom an entry VM asks for tokens.
#[derive(Clone, Debug, Default)]
pub(super) enum Keeper {
    /// The leader of the log, which keeps the fleet's buckets.
    Leader(Session),
    /// A controller that hands out its own part, because there is no leader.
    StandIn(Session),
    /// Nobody. The leader may be out of this VM's reach only.
    #[default]
    Unknown,
    /// Nobody: no controller is linked.
    None,
}

impl Keeper {
    /// What the log tells of it.
    pub(super) fn as_event(&self) -> KeeperChange {
        let kind = match self {
            Self::Leader(_) => "leader",
            Self::StandIn(_) => "stand_in",
            Self::Unknown => "unknown",
            Self::None => "none",
        };
        KeeperChange {
            kind,
            keeper: self.session().map(|session| session.peer().vm.clone()),
        }
    }

    fn session(&self) -> Option<&Session> {
        match self {
            Self::Leader(session) | Self::StandIn(session) => Some(session),
            Self::Unknown | Self::None => None,
        }
    }
}

#[derive(Default)]
struct State {
    keeper: Keeper,
    next: u64,
    open: HashMap<u64, oneshot::Sender<BorrowReply>>,
}

impl Borrowers {
    /// Sets whom to ask; returns what the log tells of it, if it has changed.
    pub(super) fn set_keeper(&self, keeper: Keeper, now: MonoMs) -> Option<KeeperChange> {
        if !matches!(keeper, Keeper::Leader(_)) {
            self.reach.set(false);
        }
        self.reach
            .set_stand_in_active(matches!(keeper, Keeper::StandIn(_)));
        self.reach
            .set_bucket_unavailable(matches!(keeper, Keeper::None), now);
        let mut state = self.lock();
        if let Keeper::Leader(leader) = &keeper {
            // A controller that stood in before keeps the fleet's buckets only from now on.
            let led = matches!(&state.keeper, Keeper::Leader(old) if old.id() == leader.id());
            if !led {
                self.reach.on_bucket_moved(now);
            }
        }
        let before = state.keeper.as_event();
        state.keeper = keeper;
        Some(state.keeper.as_event()).filter(|change| *change != before)
    }

    /// Passes a reply to its request.
    pub(super) fn replied(&self, number: u64, reply: BorrowReply) {
        if let Some(waiting) = self.lock().open.remove(&number) {
            // The request has timed out if nobody takes the reply.
            let _ = waiting.send(reply);
        }
    }

    fn start(&self, request: BorrowRequest) -> Option<(u64, oneshot::Receiver<BorrowReply>)> {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        let keeper = state.keeper.session()?;
        if !keeper.send(&Frame::Borrow(number, request)) {
            return None;
        }
        state.open.insert(number, sender);
        Some((number, receiver))
    }

    fn is_led(&self) -> bool {
        matches!(self.lock().keeper, Keeper::Leader(_))
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
        let reply = timeout(Duration::from_millis(BORROW_MS), receiver).await;
        self.lock().open.remove(&number);
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

impl BorrowPeers for Borrowers {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        Box::pin(self.clone().ask(data_centre, request))
    }
}
