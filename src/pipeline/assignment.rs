//! A backend server reserved for one request.

use std::sync::Arc;

use super::context::SuspectHold;
use super::dispatcher::Dispatcher;
use crate::scheduling::residency::DispatchPermit;
use crate::types::AccountName;
use crate::types::Patience;
use crate::types::ServerName;
use crate::types::Tokens;

/// What the dispatcher counted for a request.
#[derive(Debug)]
pub(super) struct Grant {
    pub(super) lease: DispatchPermit,
    pub(super) suspect: bool,
    pub(super) account: AccountName,
    pub(super) patience: Patience,
    pub(super) tokens: Tokens,
}

/// A server that may run one request. Keeps the adapter from being evicted until it is dropped.
pub struct Assignment {
    dispatcher: Arc<Dispatcher>,
    grant: Option<Grant>,
    wait_ms: u64,
    load_stalled: bool,
    used_tokens: Option<Tokens>,
    suspect_hold: Option<SuspectHold>,
}

impl Assignment {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        grant: Grant,
        wait_ms: u64,
        load_stalled: bool,
    ) -> Self {
        Self {
            dispatcher,
            grant: Some(grant),
            wait_ms,
            load_stalled,
            used_tokens: None,
            suspect_hold: None,
        }
    }

    /// The backend server.
    pub fn server(&self) -> &ServerName {
        &self.grant().lease.server
    }

    /// Incarnation of the server at dispatch.
    pub fn incarnation(&self) -> u64 {
        self.grant().lease.incarnation
    }

    /// Time that the request waited in the queue.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Whether the request waited for an adapter load.
    pub fn load_stalled(&self) -> bool {
        self.load_stalled
    }

    /// Keeps the server from running another suspect until this is dropped.
    pub fn set_suspect_hold(&mut self, hold: SuspectHold) {
        self.suspect_hold = Some(hold);
    }

    /// Records the tokens that the request consumed, for fairness among accounts.
    pub fn set_used_tokens(&mut self, used_tokens: Tokens) {
        self.used_tokens = Some(used_tokens);
    }

    fn grant(&self) -> &Grant {
        self.grant
            .as_ref()
            .expect("the grant is taken only on drop")
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            self.dispatcher.finish(grant, self.used_tokens);
        }
    }
}
