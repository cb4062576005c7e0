//! Servers that named a limit on the rate of their requests, or asked for rest: what the server table
//! knows of the limits and rests, and of the permits that this VM may request.

use super::server_table::Choice;
use super::server_table::Requirements;
use super::server_table::ServerTable;
use super::server_view::ServerView;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;

impl ServerTable {
    /// Applies what a server's process that started at `started_unix_ms` stated about its limit at
    /// `observed`. Returns whether the limit changed.
    pub fn observe_limit(
        &mut self,
        server: &ServerName,
        started_unix_ms: u64,
        rate: Option<RequestRate>,
        observed: MonoMs,
    ) -> bool {
        let view = self.servers.get_mut(server);
        let view = view.filter(|view| view.announcement.started_unix_ms == started_unix_ms);
        view.is_some_and(|view| view.limit.observe(rate, observed))
    }

    /// Servers that named a limit.
    pub fn limited(&self) -> impl Iterator<Item = &ServerView> {
        let servers = self.servers.values();
        servers.filter(|view| view.limit.rate().is_some())
    }

    /// Starts to request a permit for a server and returns the limit that it named; `None` if it
    /// named none. Until the answer arrives, at most until `timeout`, other requests do not request
    /// one.
    pub fn begin_permit(&mut self, server: &ServerName, timeout: MonoMs) -> Option<RequestRate> {
        let view = self.servers.get_mut(server)?;
        let rate = view.limit.rate()?;
        view.permit_timeout = timeout;
        Some(rate)
    }

    /// Records that the answer to a request for a permit has arrived; the next permit can be
    /// requested from `next` on.
    pub fn end_permit(&mut self, server: &ServerName, next: MonoMs) {
        if let Some(view) = self.servers.get_mut(server) {
            view.permit_timeout = MonoMs(0);
            view.permit_from = next;
        }
    }

    /// Changes the number of requests that wait for a permit of a server.
    pub(super) fn count_permit_waiter(&mut self, server: &ServerName, change: i32) {
        if let Some(view) = self.servers.get_mut(server) {
            view.permit_waiters = view.permit_waiters.saturating_add_signed(change);
        }
    }

    /// Applies a rest of `ms` that a server's process that started at `started_unix_ms` asked for.
    pub fn ask_rest(&mut self, server: &ServerName, started_unix_ms: u64, ms: u64, now: MonoMs) {
        let view = self.servers.get_mut(server);
        if let Some(view) = view.filter(|view| view.announcement.started_unix_ms == started_unix_ms)
        {
            view.rest.ask(ms, now);
        }
    }

    /// Whether a server has asked this VM for a rest that is not over.
    pub fn is_resting(&self, server: &ServerName, now: MonoMs) -> bool {
        let view = self.servers.get(server);
        view.is_some_and(|view| view.is_resting(now))
    }

    /// What a request has to wait for because all servers that could take it rest, or have named a
    /// limit and no permit is available.
    pub(super) fn choose_deferred(
        &self,
        requirements: &Requirements<'_>,
        deferred: &[&ServerView],
        has_others: bool,
        now: MonoMs,
    ) -> Choice {
        let could_take = |view: &&&ServerView| {
            let chosen = self.choose_among(requirements, &[**view], now);
            matches!(chosen, Choice::Send { .. })
        };
        let candidates = deferred.iter().filter(could_take);
        match candidates.min_by_key(|view| view.deferral_ms(now)) {
            Some(view) if view.is_resting(now) => Choice::Resting {
                wait_ms: view.deferral_ms(now),
                has_others,
            },
            Some(view) => Choice::RateLimited {
                server: view.announcement.server.clone(),
                wait_ms: view.permit_wait_ms(now),
            },
            None => Choice::NotPresent,
        }
    }
}
