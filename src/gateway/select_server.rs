//! Waits until a backend server can take a request.

use std::time::Duration;

use http::StatusCode;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use super::adapter_waits::WaitGuard;
use super::admission;
use super::answer::Refusal;
use super::exchange::BUSY_RETRY_MS;
use super::exchange::Exchange;
use super::exchange::LEAVING_RETRY_MS;
use super::exchange::elapsed_ms;
use super::forecast;
use super::forward::RESTING;
use super::record::RequestRecord;
use super::server_limits::PermitWait;
use super::server_table::Choice;
use super::server_table::Requirements;
use super::server_table::is_adapter;
use crate::mechanisms::Mechanism;
use crate::types::ModelName;
use crate::types::ServerName;

/// Retry delay returned when a service has no server.
const NO_SERVER_RETRY_MS: u64 = 500;
/// Longest interval between two selection attempts.
const POLL_MS: u64 = 100;
/// Interval between two selection attempts of a stream that waits for its adapter on an engine of one
/// software version.
const VERSION_POLL_MS: u64 = 30;
/// Selection attempts of such a stream for each request for the adapter.
const VERSION_POLLS_PER_REQUEST: u32 = 8;
/// Longest interval between two attempts to get a permit of a server that named a limit.
const PERMIT_POLL_MS: u64 = 30;
/// Share of the remaining time that may be spent on waiting for an adapter, in percent.
const WAIT_PERCENT: u64 = 60;
/// Longest wait for an adapter, as a multiple of the route's latency objective. Callers give up a
/// little later.
const MAX_WAIT_OBJECTIVES: u32 = 3;

/// Where a request is sent.
pub(super) enum Selected {
    /// To this server.
    Server(ServerName),
    /// To another entry VM, since this VM reaches no server.
    OtherVm,
}

/// Why no server is available for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unavailable {
    /// No engine has the adapter yet.
    Adapter,
    /// The service has no server.
    Server,
    /// The service has no server of the software version that began the stream.
    Software,
    /// No server of the service has the base model.
    Model,
    /// This VM cannot connect to any server of the service.
    Unreached,
    /// The servers take no more requests now.
    RateLimited {
        /// Shortest time until one does.
        retry_after_ms: u64,
    },
    /// The servers that could take the request rest.
    Resting {
        /// Shortest time until one does not.
        retry_after_ms: u64,
    },
}

/// What a request waits for while no server can take it.
#[derive(Default)]
struct Waits {
    adapter: Option<WaitGuard>,
    permit: Option<PermitWait>,
    version_requests: u32,
    has_asked_for_copy: bool,
}

impl Unavailable {
    /// Whether it is worth waiting. A VM that `is_starting_up` may not know all servers yet.
    fn may_end_soon(self, is_starting_up: bool) -> bool {
        match self {
            Self::Adapter | Self::RateLimited { .. } | Self::Resting { .. } => true,
            Self::Server | Self::Software | Self::Model | Self::Unreached => is_starting_up,
        }
    }

    /// Response to a request that does not wait any longer.
    fn refusal(self) -> Refusal {
        let (reason, retry_after_ms) = match self {
            Self::Adapter => ("adapter_absent", BUSY_RETRY_MS),
            Self::Server => ("no_server", NO_SERVER_RETRY_MS),
            Self::Software => ("software_absent", NO_SERVER_RETRY_MS),
            Self::Model => ("model_absent", NO_SERVER_RETRY_MS),
            Self::Unreached => ("servers_unreached", NO_SERVER_RETRY_MS),
            Self::RateLimited { retry_after_ms } => ("server_limited", retry_after_ms.max(1)),
            Self::Resting { retry_after_ms } => (RESTING, retry_after_ms.max(1)),
        };
        Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, retry_after_ms)
    }
}

impl Exchange {
    /// Waits for a server that can take the request, and records the time spent.
    pub(super) async fn select_server(
        &self,
        record: &mut RequestRecord,
    ) -> Result<Selected, Refusal> {
        let wait_started = Instant::now();
        let selected = self.wait_for_server(wait_started, record).await;
        record.waited_ms += elapsed_ms(wait_started);
        selected
    }

    async fn wait_for_server(
        &self,
        wait_started: Instant,
        record: &mut RequestRecord,
    ) -> Result<Selected, Refusal> {
        let mut waits = Waits::default();
        loop {
            self.gateway
                .check_quarantine(&self.template.features, record)?;
            let (wait_ms, cause) = match self.choose_reached() {
                Choice::Unreached if self.relay_permit.is_some() => {
                    return Err(Unavailable::Unreached.refusal());
                }
                Choice::Unreached => return Ok(Selected::OtherVm),
                Choice::Send {
                    server,
                    delay_ms,
                    is_full,
                    is_far,
                } => {
                    self.check_admission(delay_ms)?;
                    if !self.gateway.take_permit(&server).await {
                        continue;
                    }
                    if is_full || is_far && self.is_popular {
                        self.request_copy();
                    }
                    return Ok(Selected::Server(server));
                }
                unavailable => self.next_poll(unavailable, &mut waits, wait_started)?,
            };
            self.check_wait(cause, wait_started)?;
            let wait = Duration::from_millis(wait_ms);
            let joins_wait = cause == Unavailable::Adapter && waits.version_requests == 0;
            match self.adapter().filter(|_| joins_wait) {
                Some(adapter) => {
                    let guard = waits.adapter.get_or_insert_with(|| self.join_wait(adapter));
                    // The selection is repeated after the interval even without a notification.
                    let _ = timeout(wait, guard.changed()).await;
                }
                None => sleep(wait).await,
            }
        }
    }

    /// Time until the selection is repeated, and what the request waits for. Requests what would end the
    /// wait.
    fn next_poll(
        &self,
        choice: Choice,
        waits: &mut Waits,
        wait_started: Instant,
    ) -> Result<(u64, Unavailable), Refusal> {
        Ok(match choice {
            Choice::NoServer if self.origin.is_some() => (POLL_MS, Unavailable::Software),
            Choice::Send { .. } | Choice::NoServer | Choice::Unreached => {
                (POLL_MS, Unavailable::Server)
            }
            Choice::WaitUntil(ready) => {
                let remaining_ms = ready.since(self.gateway.now());
                (remaining_ms.clamp(1, POLL_MS), Unavailable::Adapter)
            }
            Choice::RateLimited { server, wait_ms } => {
                if waits.permit.is_none() {
                    waits.permit = Some(self.join_permit_wait(server, wait_ms, wait_started)?);
                }
                let retry_after_ms = wait_ms;
                let cause = Unavailable::RateLimited { retry_after_ms };
                (wait_ms.clamp(1, PERMIT_POLL_MS), cause)
            }
            Choice::Resting {
                wait_ms,
                has_others,
            } => {
                let retry_after_ms = wait_ms;
                let cause = Unavailable::Resting { retry_after_ms };
                let may_load = has_others && self.adapter().is_some();
                if !may_load && !self.may_wait_for(wait_ms, wait_started) {
                    return Err(cause.refusal());
                }
                if may_load && !std::mem::replace(&mut waits.has_asked_for_copy, true) {
                    self.request_copy();
                }
                (wait_ms.clamp(1, POLL_MS), cause)
            }
            Choice::NotPresent if self.origin.is_some() && self.adapter().is_some() => {
                self.request_version_load(&mut waits.version_requests);
                (VERSION_POLL_MS, Unavailable::Adapter)
            }
            Choice::NotPresent if self.adapter().is_some() => {
                if waits.adapter.is_none() {
                    self.check_forecast(wait_started)?;
                }
                (POLL_MS, Unavailable::Adapter)
            }
            Choice::NotPresent => (POLL_MS, Unavailable::Model),
        })
    }

    /// Refuses a request that must not wait any longer.
    fn check_wait(&self, cause: Unavailable, wait_started: Instant) -> Result<(), Refusal> {
        let may_appear = cause.may_end_soon(self.gateway.is_starting_up());
        if !may_appear || self.wait_is_over(wait_started) {
            return Err(cause.refusal());
        }
        if self.gateway.is_past_wait_deadline() {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Refusal::not_run(status, "vm_leaves", LEAVING_RETRY_MS));
        }
        Ok(())
    }

    /// Refuses a request that would wait too long on its server. A stream that has begun is not new
    /// work.
    fn check_admission(&self, delay_ms: u64) -> Result<(), Refusal> {
        if self.origin.is_some() {
            return Ok(());
        }
        let target_ms = self.route.target_latency_ms;
        let refused = admission::retry_after_ms(delay_ms, target_ms, self.priority());
        let may_refuse = self.history.runs == 0 && self.gateway.is_enabled(Mechanism::Admission);
        match refused.filter(|_| may_refuse) {
            Some(retry_after_ms) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(Refusal::not_run(status, "servers_busy", retry_after_ms))
            }
            None => Ok(()),
        }
    }

    /// Refuses a request whose adapter would be loaded too late, unless the adapter has been
    /// requested already.
    fn check_forecast(&self, wait_started: Instant) -> Result<(), Refusal> {
        let Some(adapter) = self
            .adapter()
            .filter(|model| !self.gateway.adapter_waits.has(model))
        else {
            return Ok(());
        };
        let targets = self
            .gateway
            .server_table()
            .load_targets(adapter, false, self.gateway.now());
        let waits = targets.iter().map(|target| target.estimate.wait_ms());
        let soonest = waits.min().unwrap_or(0);
        let allowed_ms = self.allowed_wait(wait_started).as_millis() as u64;
        match forecast::retry_after_ms(soonest, allowed_ms) {
            Some(retry_after_ms) if self.gateway.is_enabled(Mechanism::SlotWaitForecast) => {
                let status = StatusCode::SERVICE_UNAVAILABLE;
                Err(Refusal::not_run(status, "no_place_in_time", retry_after_ms))
            }
            _ => Ok(()),
        }
    }

    fn adapter(&self) -> Option<&ModelName> {
        let model = self.caller.model.as_ref();
        model.filter(|model| self.is_engine && is_adapter(model))
    }

    /// Registers the request as waiting for `adapter`. The first waiting request asks for the load.
    fn join_wait(&self, adapter: &ModelName) -> WaitGuard {
        let priority = self.priority();
        let (guard, is_first) = self.gateway.adapter_waits.join(adapter, priority);
        if is_first {
            self.gateway.request_adapter_now(adapter, priority, false);
        }
        guard
    }

    /// Registers the request as waiting for a permit of `server` and requests a copy of its adapter
    /// elsewhere, or refuses it if the permit would come too late.
    fn join_permit_wait(
        &self,
        server: ServerName,
        wait_ms: u64,
        wait_started: Instant,
    ) -> Result<PermitWait, Refusal> {
        if !self.may_wait_for(wait_ms, wait_started) {
            let retry_after_ms = wait_ms;
            return Err(Unavailable::RateLimited { retry_after_ms }.refusal());
        }
        self.request_copy();
        Ok(PermitWait::start(&self.gateway, server))
    }

    /// Asks for the adapter on an engine of the version that began the stream, at intervals.
    fn request_version_load(&self, requests: &mut u32) {
        if let (Some(adapter), Some(origin)) = (self.adapter(), &self.origin)
            && requests.is_multiple_of(VERSION_POLLS_PER_REQUEST)
        {
            let earlier = *requests / VERSION_POLLS_PER_REQUEST;
            self.gateway
                .request_version_load(adapter, &origin.software, earlier);
        }
        *requests += 1;
    }

    /// Chooses among servers that this VM can connect to. If there are none and no other VM can help,
    /// the others are tried all the same.
    fn choose_reached(&self) -> Choice {
        let is_relayed = self.relay_permit.is_some();
        match self.choose(false) {
            Choice::Unreached if !is_relayed => match self.gateway.draw_peer(&self.service, &[]) {
                Some(_) => Choice::Unreached,
                None => self.choose(true),
            },
            choice => choice,
        }
    }

    fn choose(&self, tries_unreached: bool) -> Choice {
        let model = self.caller.model.as_ref().filter(|_| self.is_engine);
        let version = model.and_then(|model| self.gateway.required_version(model));
        let requirements = Requirements {
            service: &self.service,
            model,
            version,
            software: self.origin.as_ref().map(|origin| &origin.software),
            tried: &self.tried,
            tie_breaker: rand::rng().random(),
            tries_unreached,
        };
        let now = self.gateway.now();
        self.gateway.server_table().choose(&requirements, now)
    }

    fn request_copy(&self) {
        if let Some(model) = self.adapter() {
            self.gateway
                .request_adapter_now(model, self.priority(), true);
        }
    }

    fn wait_is_over(&self, wait_started: Instant) -> bool {
        wait_started.elapsed() >= self.allowed_wait(wait_started)
    }

    /// Whether a further wait of `wait_ms` is within the longest wait.
    fn may_wait_for(&self, wait_ms: u64, wait_started: Instant) -> bool {
        let total_wait = wait_started.elapsed() + Duration::from_millis(wait_ms);
        total_wait <= self.allowed_wait(wait_started)
    }

    /// Longest wait for an adapter or a server.
    fn allowed_wait(&self, wait_started: Instant) -> Duration {
        let remaining = self.deadline.saturating_duration_since(wait_started);
        let target = Duration::from_millis(self.route.target_latency_ms);
        remaining
            .mul_f64(WAIT_PERCENT as f64 / 100.0)
            .min(target * MAX_WAIT_OBJECTIVES)
    }
}
