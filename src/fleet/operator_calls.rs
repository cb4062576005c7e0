//! Log lines about the operator's calls: what each controller answered, and what it knew then.

use std::time::Instant;

use serde::Serialize;

use super::control_core::Core;
use super::control_vm::ReadOutcome;
use super::document_changes::DocumentOutcome;
use crate::events::Event;
use crate::events::Severity;
use crate::types::VmName;

/// The operator stored or read the document at this controller.
#[derive(Clone, Debug, Serialize)]
struct OperatorCall {
    call: &'static str,
    outcome: &'static str,
    /// Version that the answer names or confirms; `None` if it does neither.
    version: Option<u64>,
    /// Leader of the log, as far as this controller knows.
    leader: Option<VmName>,
    term: u64,
    /// Time since the log's state was confirmed; `None` if it was not since the start.
    confirmed_age_ms: Option<u64>,
    waited_ms: u64,
}

impl Event for OperatorCall {
    const KIND: &'static str = "operator_call";

    fn severity(&self) -> Severity {
        match self.outcome {
            "done" => Severity::Routine,
            _ => Severity::Failure,
        }
    }
}

impl Core {
    /// Logs the answer to a change that began at `started`.
    pub(super) fn log_put(&self, outcome: &DocumentOutcome, started: Instant) {
        let (outcome, version) = match outcome {
            DocumentOutcome::Done => ("done", self.document().map(|stored| stored.version)),
            DocumentOutcome::NotLeader(_) => ("not_leader", None),
            DocumentOutcome::Unknown => ("unknown", None),
            DocumentOutcome::Invalid(_) => ("invalid", None),
        };
        self.log_call("put", outcome, version, started);
    }

    /// Logs the answer to a read that began at `started`.
    pub(super) fn log_read(&self, outcome: &ReadOutcome, started: Instant) {
        let (outcome, version) = match outcome {
            ReadOutcome::Newest(Some(document)) => ("done", Some(document.version)),
            ReadOutcome::Newest(None) => ("no_document", None),
            ReadOutcome::NotLeader(_) => ("not_leader", None),
            ReadOutcome::Unknown => ("unknown", None),
        };
        self.log_call("read", outcome, version, started);
    }

    fn log_call(
        &self,
        call: &'static str,
        outcome: &'static str,
        version: Option<u64>,
        started: Instant,
    ) {
        let log = self.log.status();
        let age_ms = log.confirmed_age_ms;
        self.events().emit(&OperatorCall {
            call,
            outcome,
            version,
            leader: log.leader,
            term: log.term,
            confirmed_age_ms: (age_ms < u64::MAX).then_some(age_ms),
            waited_ms: started.elapsed().as_millis() as u64,
        });
    }
}
