//! A request that a backend server may be running.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use super::admit::ReservedTokens;
use super::assignment::Assignment;
use crate::backend::Engine;
use crate::backend::StreamIdentity;
use crate::backend::TokenStream;
use crate::backend::Usage;
use crate::types::ServerName;

/// Wait between two tries to cancel a request.
const CANCEL_RETRY_MS: u64 = 500;

/// Holds the adapter lease and the reserved tokens of one dispatch until the engine has ended it.
/// Dropped before the end, it cancels the request and keeps the lease until the engine confirms.
pub struct InFlight {
    engine: Arc<dyn Engine>,
    address: SocketAddr,
    identity: StreamIdentity,
    run_deadline: Instant,
    held: Option<Held>,
}

struct Held {
    assignment: Assignment,
    tokens: ReservedTokens,
}

impl InFlight {
    /// Takes charge of a dispatch to `address`. The request ends by `run_deadline`, because the
    /// coordinator evicts adapters of VMs that are silent for longer than that.
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
            held: Some(Held { assignment, tokens }),
        }
    }

    /// The backend server.
    pub fn server(&self) -> &ServerName {
        self.assignment().server()
    }

    /// The reserved server.
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

    /// What each part of the answer must repeat.
    pub fn identity(&self) -> &StreamIdentity {
        &self.identity
    }

    /// Time by which the request is cancelled.
    pub fn run_deadline(&self) -> Instant {
        self.run_deadline
    }

    /// Ends a request that ran to its last token.
    pub fn complete(mut self, usage: Usage) {
        if let Some(mut held) = self.held.take() {
            let used = usage.total_tokens();
            held.assignment.set_used_tokens(used);
            held.tokens.settle(used);
        }
    }

    /// Ends a dispatch that provably did not run and returns its tokens for the next one.
    pub fn not_run(mut self) -> ReservedTokens {
        let held = self
            .held
            .take()
            .expect("held resources are taken only at the end");
        let mut tokens = held.tokens;
        tokens.mark_not_run();
        tokens
    }

    /// Gives up a dispatch whose answer is lost, and returns its tokens for the next one. The lease
    /// is kept until the engine confirms the cancellation, since it may still run the request.
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

    /// Reads the rest of an answer whose caller is gone, so that the caller can resume the stream
    /// through any VM. The lease is kept until the engine has ended the request.
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

/// The time `ms` from now.
pub(super) fn after_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}
