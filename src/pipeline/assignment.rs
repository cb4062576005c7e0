//! Assignment of a backend server to one request.

use std::sync::Arc;

use super::context::SuspectReservation;
use super::dispatcher::Dispatcher;
use crate::scheduling::residency::DispatchPermit;
use crate::types::AccountName;
use crate::types::Patience;
use crate::types::ServerName;
use crate::types::Tokens;

/// What the dispatcher accounts for one request until it finishes.
#[derive(Debug)]
pub(super) struct AssignmentRecord {
    pub(super) permit: DispatchPermit,
    pub(super) suspect: bool,
    pub(super) account: AccountName,
    pub(super) patience: Patience,
    pub(super) tokens: Tokens,
}

/// A server assigned to one request. The adapter is not evicted until this is dropped.
pub struct Assignment {
    dispatcher: Arc<Dispatcher>,
    record: Option<AssignmentRecord>,
    wait_ms: u64,
    load_stalled: bool,
    used_tokens: Option<Tokens>,
    suspect_reservation: Option<SuspectReservation>,
}

impl Assignment {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        record: AssignmentRecord,
        wait_ms: u64,
        load_stalled: bool,
    ) -> Self {
        Self {
            dispatcher,
            record: Some(record),
            wait_ms,
            load_stalled,
            used_tokens: None,
            suspect_reservation: None,
        }
    }

    /// Name of the backend server.
    pub fn server(&self) -> &ServerName {
        &self.record().permit.server
    }

    /// Incarnation of the server at dispatch.
    pub fn incarnation(&self) -> u64 {
        self.record().permit.incarnation
    }

    /// Time in milliseconds that the request waited in the queue.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// Whether the request had to wait for an adapter load.
    pub fn load_stalled(&self) -> bool {
        self.load_stalled
    }

    /// Holds the exclusive reservation for a suspect until the assignment is dropped.
    pub fn set_suspect_reservation(&mut self, reservation: SuspectReservation) {
        self.suspect_reservation = Some(reservation);
    }

    /// Removes the reservation of the engine, which outlives the assignment if it is kept.
    pub(super) fn take_suspect_reservation(&mut self) -> Option<SuspectReservation> {
        self.suspect_reservation.take()
    }

    /// Records the tokens that the request consumed, for fair queueing among accounts.
    pub fn set_used_tokens(&mut self, used_tokens: Tokens) {
        self.used_tokens = Some(used_tokens);
    }

    fn record(&self) -> &AssignmentRecord {
        self.record
            .as_ref()
            .expect("the record is taken only on drop")
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if let Some(record) = self.record.take() {
            self.dispatcher.finish(record, self.used_tokens);
        }
    }
}
