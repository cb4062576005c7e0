//! A dispatched request that a backend server may be running.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use super::admit::ReservedTokens;
use super::assignment::Assignment;
use crate::backend::Engine;
use crate::backend::StreamIdentity;
use crate::backend::TokenStream;
use crate::backend::Usage;
use crate::types::ServerName;

/// Interval between attempts to cancel a request.
const CANCEL_RETRY_MS: u64 = 500;

/// Holds the server assignment and the reserved tokens of one dispatch until the engine has ended
/// it. If dropped earlier, it cancels the request and keeps the assignment until the engine
/// confirms, so that the adapter is not evicted while the request may run.
pub struct InFlight {
    engine: Arc<dyn Engine>,
    address: SocketAddr,
    identity: StreamIdentity,
    run_deadline: Instant,
    held: Option<HeldResources>,
}

struct HeldResources {
    assignment: Assignment,
    tokens: ReservedTokens,
}

impl InFlight {
    /// Creates the guard of a dispatch to `address`. The request must end by `run_deadline`,
    /// because the coordinator evicts the adapters of VMs that have been silent for longer.
    pub fn new(
        engine: Arc<dyn Engine>,
        address: SocketAddr,
        identity: StreamIdentity,
        run_deadline: Instant,
        assignment: Assignment,
        mut tokens: ReservedTokens,
    ) -> Self {
        tokens.mark_dispatched();
        Self {
            engine,
            address,
            identity,
            run_deadline,
            held: Some(HeldResources { assignment, tokens }),
        }
    }

    /// Name of the backend server.
    pub fn server(&self) -> &ServerName {
        self.assignment().server()
    }

    /// The server assignment.
    pub fn assignment(&self) -> &Assignment {
        let held = self.held.as_ref();
        &held
            .expect("held resources are taken only at the end")
            .assignment
    }

    /// Address of the backend server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Identity that each part of the answer must repeat.
    pub fn identity(&self) -> &StreamIdentity {
        &self.identity
    }

    /// Time at which the request is cancelled if it still runs.
    pub fn run_deadline(&self) -> Instant {
        self.run_deadline
    }

    /// Settles a request that ran to its last token.
    pub fn complete(mut self, usage: Usage) {
        if let Some(mut held) = self.held.take() {
            let used = usage.total_tokens();
            held.assignment.set_used_tokens(used);
            held.tokens.settle(used);
        }
    }

    /// Ends a dispatch that provably did not run and returns its reserved tokens for the next one.
    pub fn not_run(mut self) -> ReservedTokens {
        let held = self
            .held
            .take()
            .expect("held resources are taken only at the end");
        let mut tokens = held.tokens;
        tokens.mark_not_run();
        tokens
    }

    /// Ends a dispatch whose server crashed and returns its reserved tokens for the next one. The engine
    /// stays reserved until `reserved_until`, so that no other suspect is sent to it by a VM that has not
    /// heard of the crash.
    pub fn crashed(mut self, reserved_until: Instant) -> ReservedTokens {
        let held = self.held.as_mut();
        let reservation = held.and_then(|held| held.assignment.take_suspect_reservation());
        if let Some(reservation) = reservation {
            tokio::spawn(async move {
                sleep_until(reserved_until).await;
                drop(reservation);
            });
        }
        self.not_run()
    }

    /// Cancels a dispatch whose answer is lost and returns its reserved tokens for the next one.
    /// The assignment is kept until the engine confirms the cancellation, as it may still run the
    /// request.
    pub fn lost(mut self) -> ReservedTokens {
        let held = self
            .held
            .take()
            .expect("held resources are taken only at the end");
        let mut tokens = held.tokens;
        tokens.mark_not_run();
        self.cancel_and_hold(held.assignment);
        tokens
    }

    fn cancel_and_hold<T: Send + 'static>(&self, held: T) {
        let engine = self.engine.clone();
        let address = self.address;
        let request_id = self.identity.request_id.clone();
        let run_deadline = self.run_deadline;
        tokio::spawn(async move {
            while !engine.cancel(address, request_id.clone()).await && Instant::now() < run_deadline
            {
                sleep(Duration::from_millis(CANCEL_RETRY_MS)).await;
            }
            drop(held);
        });
    }

    /// Reads the rest of an answer whose caller has disconnected, so that the engine runs on and
    /// the caller can resume the stream through any VM. The assignment is kept until the engine has
    /// ended the request.
    pub fn drain_in_background(self, rest: TokenStream) {
        tokio::spawn(drain(self, rest));
    }
}

async fn drain(in_flight: InFlight, mut rest: TokenStream) {
    let run_deadline = in_flight.run_deadline;
    while let Ok(Some(frame)) = timeout_at(run_deadline, rest.next()).await {
        let Ok(frame) = frame else { return };
        if let Some(usage) = frame.usage {
            in_flight.complete(usage);
            return;
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let Some(held) = self.held.take() else {
            return;
        };
        self.cancel_and_hold(held);
    }
}

/// The time `ms` milliseconds from now.
pub(super) fn after_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
