//! Limits that backend servers name in their answers on the requests per second of all VMs together.

use std::sync::Arc;

use rand::RngExt;
use serde::Serialize;

use super::context::Gateway;
use super::dialect::AnswerHead;
use super::dialect::NamedLimit;
use super::forward::InFlight;
use crate::events::Event;
use crate::events::Severity;
use crate::link::ServerLimit;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;

/// Time within which the bucket answers a request for a permit.
const PERMIT_TIMEOUT_MS: u64 = 400;
/// Shortest time after which a permit is requested again.
const MIN_PERMIT_RETRY_MS: u64 = 20;
/// Longest time after which a permit is requested again. The reported time until the next permit is
/// too long by up to one interval, as it counts whole permits.
const MAX_PERMIT_RETRY_MS: u64 = 1_000;
/// Longest random delay that spreads the requests of several VMs for the same permit.
const PERMIT_JITTER_MS: u64 = 40;

/// Log line: a backend server named a limit, changed it or no longer names it.
#[derive(Clone, Debug, Serialize)]
struct ServerLimitChange {
    server: ServerName,
    started_unix_ms: u64,
    /// The limit; `None` if there is none any more.
    limit_per_s: Option<f64>,
    /// Whether the server's answer or a controller told of it.
    source: &'static str,
    /// A value that is not a rate and was ignored.
    invalid: Option<Arc<str>>,
}

impl Event for ServerLimitChange {
    const KIND: &'static str = "server_limit";

    fn severity(&self) -> Severity {
        Severity::Failure
    }
}

/// Applies what an answer states about the limit of its server. Every answer of the server may name
/// a limit, but only a verified one (`is_verified`) shows that there is none any more.
pub(super) fn on_answer(gateway: &Gateway, guard: &InFlight, head: &AnswerHead, is_verified: bool) {
    let server = &guard.target.server;
    let is_other = head
        .reached
        .as_ref()
        .is_some_and(|reached| reached != server);
    if is_other {
        return;
    }
    let started_unix_ms = guard.target.started_unix_ms;
    // An answer without a limit tells nothing about the time after its request was sent.
    let (rate, observed) = match &head.named_limit {
        NamedLimit::Limited(rate) => (Some(*rate), gateway.now()),
        NamedLimit::Unlimited if is_verified => (None, guard.sent_mono),
        NamedLimit::Unlimited => return,
        NamedLimit::Invalid(value) => {
            gateway.events().emit(&ServerLimitChange {
                server: server.clone(),
                started_unix_ms,
                limit_per_s: None,
                source: "answer",
                invalid: Some(Arc::clone(value)),
            });
            return;
        }
    };
    if gateway.observe_server_limit(server, started_unix_ms, rate, observed, "answer") {
        let age_ms = gateway.now().since(observed);
        gateway.controllers.report_server_limit(ServerLimit {
            server: server.clone(),
            started_unix_ms,
            rate,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        });
    }
}

/// Counts a request that waits for a permit until it is dropped.
pub(super) struct PermitWait {
    gateway: Arc<Gateway>,
    server: ServerName,
}

impl PermitWait {
    pub(super) fn start(gateway: &Arc<Gateway>, server: ServerName) -> Self {
        gateway.server_table().count_permit_waiter(&server, 1);
        Self {
            gateway: Arc::clone(gateway),
            server,
        }
    }
}

impl Drop for PermitWait {
    fn drop(&mut self) {
        self.gateway
            .server_table()
            .count_permit_waiter(&self.server, -1);
    }
}

impl Gateway {
    /// Applies a limit that another VM heard of.
    pub fn set_server_limit(&self, limit: &ServerLimit) {
        let observed = MonoMs(self.now().0.saturating_sub(u64::from(limit.age_ms)));
        self.observe_server_limit(
            &limit.server,
            limit.started_unix_ms,
            limit.rate,
            observed,
            "controller",
        );
    }

    /// Limits that are in force, for the controllers.
    pub fn server_limits(&self) -> Vec<ServerLimit> {
        let now = self.now();
        let table = self.server_table();
        let limited = table.limited().map(|view| ServerLimit {
            server: view.announcement.server.clone(),
            started_unix_ms: view.announcement.started_unix_ms,
            rate: view.limit.rate(),
            age_ms: u32::try_from(now.since(view.limit.observed())).unwrap_or(u32::MAX),
        });
        limited.collect()
    }

    /// Applies what a server stated at `observed`. Returns whether its limit changed.
    fn observe_server_limit(
        &self,
        server: &ServerName,
        started_unix_ms: u64,
        rate: Option<RequestRate>,
        observed: MonoMs,
        source: &'static str,
    ) -> bool {
        let is_changed = self
            .server_table()
            .observe_limit(server, started_unix_ms, rate, observed);
        if is_changed {
            self.quota.set_server_limit(server, rate);
            self.events().emit(&ServerLimitChange {
                server: server.clone(),
                started_unix_ms,
                limit_per_s: rate.map(RequestRate::per_s),
                source,
                invalid: None,
            });
        }
        is_changed
    }

    /// Takes the permit for a request to a server if it named a limit. Returns false if there is
    /// none now; the server then takes no requests for a while.
    pub(super) async fn take_permit(&self, server: &ServerName) -> bool {
        let timeout = self.now().plus(PERMIT_TIMEOUT_MS);
        let Some(rate) = self.server_table().begin_permit(server, timeout) else {
            return true;
        };
        let taken = self.quota.take_permit(server).await;
        let now = self.now();
        let next = match taken {
            Ok(()) => now,
            Err(retry_ms) => {
                let longest_ms = rate.interval_ms() / 2;
                let longest_ms = longest_ms.clamp(MIN_PERMIT_RETRY_MS, MAX_PERMIT_RETRY_MS);
                let jitter_ms = rand::rng().random_range(0..=PERMIT_JITTER_MS);
                now.plus(retry_ms.clamp(MIN_PERMIT_RETRY_MS, longest_ms) + jitter_ms)
            }
        };
        self.server_table().end_permit(server, next);
        taken.is_ok()
    }
}
