//! Limits of backend servers on a controller: told by the entry VMs that heard of them, passed on to
//! the other entry VMs, and kept by the token buckets.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use indexmap::IndexMap;

use super::control_core::Core;
use crate::gateway::fleet_share;
use crate::limits::History;
use crate::limits::ServerLimitState;
use crate::limits::server_bucket;
use crate::limits::server_limit_version;
use crate::link::Frame;
use crate::link::Role;
use crate::link::ServerLimit;
use crate::link::Session;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;

/// Time without a report of any entry VM after which a limit is forgotten. Entry VMs repeat the
/// limits that are in force.
const FORGET_MS: u64 = 15_000;

/// Limits that entry VMs reported.
#[derive(Default)]
pub(super) struct ServerLimits {
    known: Mutex<IndexMap<ServerName, Known>>,
}

#[derive(Default)]
struct Known {
    started_unix_ms: u64,
    state: ServerLimitState,
    reported: MonoMs,
}

impl ServerLimits {
    /// Applies reports and returns those that changed a limit.
    fn apply(&self, reports: Vec<ServerLimit>, now: MonoMs) -> Vec<ServerLimit> {
        let mut known = self.lock();
        let mut is_change = |report: &ServerLimit| {
            let entry = known.entry(report.server.clone()).or_default();
            if report.started_unix_ms < entry.started_unix_ms {
                return false;
            }
            if report.started_unix_ms > entry.started_unix_ms {
                *entry = Known {
                    started_unix_ms: report.started_unix_ms,
                    ..Known::default()
                };
            }
            entry.reported = now;
            let observed = MonoMs(now.0.saturating_sub(u64::from(report.age_ms)));
            entry.state.observe(report.rate, observed)
        };
        reports
            .into_iter()
            .filter(|report| is_change(report))
            .collect()
    }

    /// Limits that are in force.
    pub(super) fn in_force(&self, now: MonoMs) -> Vec<ServerLimit> {
        let known = self.lock();
        let limited = known
            .iter()
            .filter(|(_, known)| known.state.rate().is_some());
        let reports = limited.map(|(server, known)| ServerLimit {
            server: server.clone(),
            started_unix_ms: known.started_unix_ms,
            rate: known.state.rate(),
            age_ms: u32::try_from(now.since(known.state.observed())).unwrap_or(u32::MAX),
        });
        reports.collect()
    }

    /// Names of the servers with a limit.
    pub(super) fn limited(&self) -> BTreeSet<ServerName> {
        let known = self.lock();
        let limited = known
            .iter()
            .filter(|(_, known)| known.state.rate().is_some());
        limited.map(|(server, _)| server.clone()).collect()
    }

    /// Forgets servers of which no entry VM reports any more and returns them.
    fn expire(&self, now: MonoMs) -> Vec<ServerName> {
        let is_silent = |known: &Known| now.since(known.reported) > FORGET_MS;
        let mut known = self.lock();
        let silent = known.extract_if(.., |_, known| is_silent(known));
        silent.map(|(server, _)| server).collect()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<ServerName, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Core {
    /// Applies the limits that an entry VM reported and passes changes on to the others.
    pub(super) fn on_server_limits(&self, session: &Session, reports: Vec<ServerLimit>) {
        let changed = self.server_limits.apply(reports, self.now());
        if changed.is_empty() {
            return;
        }
        for limit in &changed {
            self.set_server_bucket(&limit.server, limit.rate);
        }
        let sender = session.id();
        let frame = Frame::ServerLimits(changed).encode();
        self.links.broadcast(&frame, |session| {
            session.id() != sender && session.peer().role == Role::Entry
        });
        self.plan_due.notify_one();
    }

    /// Forgets limits of which no entry VM reports any more.
    pub(super) fn expire_server_limits(&self) {
        for server in self.server_limits.expire(self.now()) {
            self.set_server_bucket(&server, None);
        }
    }

    fn set_server_bucket(&self, server: &ServerName, rate: Option<RequestRate>) {
        let bucket = server_bucket(server);
        self.failover.set_server_limit(server, rate);
        match rate {
            Some(rate) => {
                let limits = server_limit_version(rate, fleet_share(), 1);
                self.quota.set_history(bucket, History::new(limits));
            }
            None => self.quota.remove(&bucket),
        }
    }
}
