//! Token requests of an entry VM, carried by its link to the log's leader.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio::sync::oneshot;
use tokio::time::timeout;

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
const BORROW_MS: u64 = 400;

/// Token requests in flight.
#[derive(Clone, Default)]
pub(super) struct Borrowers {
    state: Arc<Mutex<State>>,
    pub(super) reach: Reach,
}

#[derive(Default)]
struct State {
    leader: Option<Session>,
    next: u64,
    open: HashMap<u64, oneshot::Sender<BorrowReply>>,
}

impl Borrowers {
    /// Sets the link to the leader. Without one, `is_alone` tells whether there is none anywhere.
    pub(super) fn set_leader(&self, leader: Option<Session>, is_alone: bool, now: MonoMs) {
        if leader.is_none() {
            self.reach.set(false);
        }
        self.reach.set_alone(leader.is_none() && is_alone, now);
        let mut state = self.lock();
        let old = state.leader.as_ref().map(Session::id);
        let new = leader.as_ref().map(Session::id);
        if new.is_some() && new != old {
            self.reach.moved(now);
        }
        state.leader = leader;
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
        let leader = state.leader.clone()?;
        if !leader.send(&Frame::Borrow(number, request)) {
            return None;
        }
        state.open.insert(number, sender);
        Some((number, receiver))
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
            return Err(failed("the log's leader is not linked"));
        };
        let reply = timeout(Duration::from_millis(BORROW_MS), receiver).await;
        self.lock().open.remove(&number);
        match reply {
            Ok(Ok(reply)) => {
                self.reach.set(reply.coordinating);
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
