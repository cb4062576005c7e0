//! Backend servers that state in their answers that they are about to leave. Such a server gets no new
//! requests, whatever its heartbeats say: those may be lost, or be on their way for seconds.

use http::response;
use indexmap::IndexMap;
use serde::Serialize;

use super::context::Gateway;
use super::dialect::AnswerHead;
use super::forward::InFlight;
use super::server_table::ServerTable;
use crate::events::Event;
use crate::events::Severity;
use crate::registry::Announcement;
use crate::registry::ServerState;
use crate::types::MonoMs;
use crate::types::ServerName;

/// Servers that are remembered. Beyond that, the one that was recorded first is forgotten.
const MAX_REMEMBERED: usize = 4_096;

/// Log line: a backend server stated for the first time that it is about to leave.
#[derive(Clone, Debug, Serialize)]
struct ServerLeavingLine {
    server: ServerName,
    started_unix_ms: u64,
    /// Time since the answered request was sent. The statement is not older.
    age_ms: u64,
    /// Whether the server answered this VM or another entry VM.
    source: &'static str,
}

impl Event for ServerLeavingLine {
    const KIND: &'static str = "server_leaving";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Servers whose process has stated that it is about to leave, with the start of that process. They
/// are remembered beyond their removal from the server table, as a late heartbeat may add them again.
#[derive(Debug, Default)]
pub(super) struct LeavingServers {
    started_unix_ms: IndexMap<ServerName, u64>,
}

impl LeavingServers {
    /// Records the statement of a process. Returns whether it is news.
    fn record(&mut self, server: &ServerName, started_unix_ms: u64) -> bool {
        let known = self.started_unix_ms.get(server);
        if known.is_some_and(|known| *known >= started_unix_ms) {
            return false;
        }
        self.started_unix_ms.insert(server.clone(), started_unix_ms);
        if self.started_unix_ms.len() > MAX_REMEMBERED {
            self.started_unix_ms.shift_remove_index(0);
        }
        true
    }

    /// Marks an announced server as leaving if its process stated that it is. A later process of the
    /// server is not affected.
    pub(super) fn apply_to(&self, announcement: &mut Announcement) {
        let stated = self.started_unix_ms.get(&announcement.server);
        if stated.is_some_and(|stated| announcement.started_unix_ms <= *stated) {
            announcement.state = ServerState::Leaving;
        }
    }
}

impl ServerTable {
    /// Records that the process of a server that started at `started_unix_ms` is about to leave. Only a
    /// later process of this server gets requests again. Returns whether this is news.
    pub fn record_leaving(&mut self, server: &ServerName, started_unix_ms: u64) -> bool {
        let is_news = self.leaving.record(server, started_unix_ms);
        if let Some(view) = self.servers.get_mut(server) {
            self.leaving.apply_to(&mut view.announcement);
        }
        is_news
    }

    /// Whether a server is about to leave, by its heartbeats or its answers.
    pub fn is_leaving(&self, server: &ServerName) -> bool {
        let view = self.servers.get(server);
        view.is_some_and(|view| view.announcement.state == ServerState::Leaving)
    }
}

/// Applies what an answer states about its server, which is not another one at the same address.
pub(super) fn on_answer(gateway: &Gateway, guard: &InFlight, head: &AnswerHead) {
    let server = &guard.target.server;
    let is_of_server = head
        .reached
        .as_ref()
        .is_none_or(|reached| reached == server);
    if head.is_leaving && is_of_server {
        let started_unix_ms = guard.target.started_unix_ms;
        gateway.record_leaving(server, started_unix_ms, guard.sent_mono, "answer");
    }
}

/// Applies what an answer that another entry VM passed on, to a request sent at `sent`, states about the
/// server that it names.
pub(super) fn on_relayed_answer(gateway: &Gateway, answer: &response::Parts, sent: MonoMs) {
    let head = gateway.config.dialect.read_answer(answer);
    let Some(server) = head.reached.filter(|_| head.is_leaving) else {
        return;
    };
    let table = gateway.server_table();
    let started_unix_ms = table
        .get(&server)
        .map(|view| view.announcement.started_unix_ms);
    drop(table);
    if let Some(started_unix_ms) = started_unix_ms {
        gateway.record_leaving(&server, started_unix_ms, sent, "entry_vm");
    }
}

impl Gateway {
    fn record_leaving(
        &self,
        server: &ServerName,
        started_unix_ms: u64,
        sent: MonoMs,
        source: &'static str,
    ) {
        let is_news = self.server_table().record_leaving(server, started_unix_ms);
        if is_news {
            self.events().emit(&ServerLeavingLine {
                server: server.clone(),
                started_unix_ms,
                age_ms: self.now().since(sent),
                source,
            });
        }
    }
}
