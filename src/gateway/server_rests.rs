//! Rest that backend servers ask of this VM when they turn its requests away.

use std::sync::Arc;

use serde::Serialize;

use super::context::Gateway;
use super::dialect::AnswerHead;
use super::forward::InFlight;
use crate::events::Event;
use crate::events::Severity;
use crate::limits::AskedRest;
use crate::types::ServerName;

/// Log line: a backend server asked this VM for rest.
#[derive(Clone, Debug, Serialize)]
struct AskedRestLine {
    server: ServerName,
    started_unix_ms: u64,
    rest_ms: u64,
    /// A value that is no time and was ignored.
    invalid: Option<Arc<str>>,
}

impl Event for AskedRestLine {
    const KIND: &'static str = "server_rest";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Applies the rest that an answer asks for, whichever request it answers.
pub(super) fn on_answer(gateway: &Gateway, guard: &InFlight, head: &AnswerHead) {
    let (rest_ms, invalid) = match &head.asked_rest {
        AskedRest::None => return,
        AskedRest::ForMs(rest_ms) => (*rest_ms, None),
        AskedRest::Invalid(value) => (0, Some(Arc::clone(value))),
    };
    let server = &guard.target.server;
    let started_unix_ms = guard.target.started_unix_ms;
    let now = gateway.now();
    gateway
        .server_table()
        .ask_rest(server, started_unix_ms, rest_ms, now);
    gateway.events().emit(&AskedRestLine {
        server: server.clone(),
        started_unix_ms,
        rest_ms,
        invalid,
    });
}
