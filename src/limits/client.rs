//! Drives a VM's [`TokenCache`] with the clock and the network.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use super::allowance::Reservation;
use super::message::BorrowPeers;
use super::message::BorrowReply;
use super::token_cache::BorrowCall;
use super::token_cache::Shortage;
use super::token_cache::Step;
use super::token_cache::TokenCache;
use super::version::LimitVersion;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::Tokens;
use crate::types::VmName;

/// Interval between returns of unused tokens and between prefetches.
const MAINTENANCE_INTERVAL_MS: u64 = 50;

/// Client configuration.
#[derive(Clone, Debug)]
pub struct ClientConfig {
    /// This VM.
    pub vm: VmName,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Clock of the process.
    pub clock: Clock,
}

/// A VM's client for reserving tokens. Clones share their state; the background task ends when the
/// last clone is dropped.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

struct Shared {
    clock: Clock,
    token_cache: Mutex<TokenCache>,
    peers: Arc<dyn BorrowPeers>,
}

impl Client {
    /// Starts a client without accounts. Must be called in a tokio runtime.
    pub fn spawn(config: ClientConfig, peers: Arc<dyn BorrowPeers>) -> Self {
        let token_cache = TokenCache::new(config.vm, config.incarnation, config.data_centre);
        let shared = Arc::new(Shared {
            clock: config.clock,
            token_cache: Mutex::new(token_cache),
            peers,
        });
        tokio::spawn(run(Arc::downgrade(&shared)));
        Self { shared }
    }

    /// Sets an account's latest limits.
    pub fn set_limits(&self, account: AccountName, limits: LimitVersion) {
        self.shared.token_cache().set_limits(account, limits);
    }

    /// Removes an account and returns its tokens.
    pub fn remove(&self, account: &AccountName) {
        self.shared.token_cache().remove(account);
    }

    /// Reserves `tokens` for one request of `account`: from the tokens that the VM holds, from its
    /// own coordinator, and then from the coordinators of the other data centres. A reservation is
    /// refused as soon as all reachable coordinators have answered. If the caller stops waiting,
    /// its tokens are returned.
    ///
    /// # Errors
    ///
    /// Returns a [`Shortage`] if too few tokens are available or the account is unknown.
    pub async fn reserve(
        &self,
        account: &AccountName,
        tokens: Tokens,
    ) -> Result<Reservation, Shortage> {
        let step = {
            let now = self.shared.clock.mono();
            self.shared.token_cache().reserve(now, account, tokens)
        };
        match step {
            Step::Reserved(reservation) => Ok(reservation),
            Step::Refused(shortage) => Err(shortage),
            step @ Step::Send(..) => self.borrow(step).await,
        }
    }

    /// Settles a reservation of which `used_tokens` were used.
    pub fn settle(&self, reservation: Reservation, used_tokens: Tokens) {
        self.shared.settle(reservation, used_tokens);
    }

    async fn borrow(&self, step: Step) -> Result<Reservation, Shortage> {
        let (sender, receiver) = oneshot::channel();
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let outcome = shared.finish(step).await;
            if let Err(Ok(unwanted)) = sender.send(outcome) {
                shared.settle(unwanted, 0);
            }
        });
        let stopped = Shortage::Later {
            retry_after_ms: MAINTENANCE_INTERVAL_MS,
        };
        receiver.await.unwrap_or(Err(stopped))
    }
}

async fn run(shared: Weak<Shared>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(MAINTENANCE_INTERVAL_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let calls = {
            let now = shared.clock.mono();
            shared.token_cache().maintain(now)
        };
        for call in calls {
            let shared = Arc::clone(&shared);
            tokio::spawn(async move {
                let reply = shared.ask(&call).await;
                let now = shared.clock.mono();
                shared
                    .token_cache()
                    .on_maintenance_reply(now, &call, reply.as_ref());
            });
        }
    }
}

impl Shared {
    fn token_cache(&self) -> MutexGuard<'_, TokenCache> {
        self.token_cache
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn settle(&self, reservation: Reservation, used_tokens: Tokens) {
        let now = self.clock.mono();
        self.token_cache().settle(now, reservation, used_tokens);
    }

    async fn ask(&self, call: &BorrowCall) -> Option<BorrowReply> {
        let sending = self.peers.borrow(call.to.clone(), call.request.clone());
        match sending.await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::debug!("limits: {error}");
                None
            }
        }
    }

    async fn finish(&self, mut step: Step) -> Result<Reservation, Shortage> {
        loop {
            match step {
                Step::Reserved(reservation) => return Ok(reservation),
                Step::Refused(shortage) => return Err(shortage),
                Step::Send(mut borrowing, calls) => {
                    let replies = join_all(calls.iter().map(|call| self.ask(call))).await;
                    let now = self.clock.mono();
                    let mut token_cache = self.token_cache();
                    for (call, reply) in calls.iter().zip(&replies) {
                        token_cache.reply(now, &mut borrowing, call, reply.as_ref());
                    }
                    step = token_cache.step(now, borrowing);
                }
            }
        }
    }
}
