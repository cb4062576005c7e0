//! Structured log lines of controllers and entry VMs.

use std::sync::Arc;

use serde::Serialize;

use crate::events::Event;
use crate::events::Severity;
use crate::scheduling::slots::Summary;
use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;
use crate::types::VmName;

/// A process started, stopped, or changed its phase.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Lifecycle {
    pub(super) phase: &'static str,
    pub(super) detail: Arc<str>,
}

impl Event for Lifecycle {
    const KIND: &'static str = "lifecycle";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// A heartbeat was ignored because a value in it is wrong.
#[derive(Clone, Debug, Serialize)]
pub(super) struct InvalidHeartbeat {
    server: String,
    error: String,
}

impl InvalidHeartbeat {
    /// Longest text of a field. Others write what is logged here.
    const MAX_CHARS: usize = 160;

    pub(super) fn new(server: &str, error: &str) -> Self {
        Self {
            server: server.chars().take(Self::MAX_CHARS).collect(),
            error: error.chars().take(Self::MAX_CHARS).collect(),
        }
    }
}

impl Event for InvalidHeartbeat {
    const KIND: &'static str = "invalid_heartbeat";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// A link opened or closed.
#[derive(Clone, Debug, Serialize)]
pub(super) struct LinkChange {
    pub(super) peer: VmName,
    /// Format of the messages, which is older than the own one if the peer's build is.
    pub(super) format: u16,
    pub(super) is_open: bool,
    pub(super) reason: String,
}

impl Event for LinkChange {
    const KIND: &'static str = "link";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// The token bucket server that this VM uses changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub(super) struct QuotaServerChange {
    /// Whether the server is the log leader or a failover server, or why there is none.
    pub(super) kind: &'static str,
    pub(super) keeper: Option<VmName>,
}

impl Event for QuotaServerChange {
    const KIND: &'static str = "token_keeper";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// A configuration was applied on this VM, or could not be decoded.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DocumentChange {
    pub(super) version: u64,
    pub(super) from: VmName,
    /// Whether no newer one was in force a moment ago. Of an unconfirmed one, this is not known.
    pub(super) confirmed: bool,
    /// Time since the controller's state was confirmed; `None` on entry VMs, and if it was not since the
    /// start.
    pub(super) confirmed_age_ms: Option<u64>,
    pub(super) error: Option<String>,
}

impl Event for DocumentChange {
    const KIND: &'static str = "configuration";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// An entry VM begins to serve by a configuration that no controller has confirmed since its start.
#[derive(Clone, Debug, Serialize)]
pub(super) struct UnconfirmedService {
    pub(super) version: u64,
}

impl Event for UnconfirmedService {
    const KIND: &'static str = "unconfirmed_service";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// A backend server was announced, left, or fell silent.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ServerChange {
    pub(super) server: ServerName,
    pub(super) started_unix_ms: u64,
    pub(super) what: &'static str,
}

impl Event for ServerChange {
    const KIND: &'static str = "server";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// An order to an engine ended; the outcome is unknown if there was no response.
#[derive(Clone, Debug, Serialize)]
pub(super) struct OrderCompleted {
    pub(super) server: ServerName,
    pub(super) model: ModelName,
    pub(super) load: bool,
    pub(super) version: u64,
    pub(super) expected_sequence: u64,
    pub(super) fence: u64,
    pub(super) outcome: &'static str,
    pub(super) took_ms: u64,
}

impl Event for OrderCompleted {
    const KIND: &'static str = "order";

    fn severity(&self) -> Severity {
        match self.outcome {
            "accepted" | "holds" => Severity::Routine,
            _ => Severity::Failure,
        }
    }
}

/// An order or a report request to an engine failed.
#[derive(Clone, Debug, Serialize)]
pub(super) struct EngineCallFailed {
    pub(super) server: ServerName,
    /// Kind of the request.
    pub(super) asked: &'static str,
    pub(super) reason: &'static str,
}

impl Event for EngineCallFailed {
    const KIND: &'static str = "answer_lost";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// This VM became the holder of the orders of a data centre, or stopped being it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct AssignmentChange {
    pub(super) data_centre: DataCentre,
    pub(super) fence: u64,
    pub(super) holds: bool,
}

impl Event for AssignmentChange {
    const KIND: &'static str = "hold";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// State of the adapter slots of a data centre.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SlotState {
    pub(super) data_centre: DataCentre,
    #[serde(flatten)]
    pub(super) summary: Summary,
}

impl Event for SlotState {
    const KIND: &'static str = "slots";

    fn severity(&self) -> Severity {
        Severity::Routine
    }
}
