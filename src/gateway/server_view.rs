//! State of one backend server as known to an entry VM.

use std::collections::HashMap;

use super::service_latency::AVERAGE_WEIGHT;
use super::service_latency::ServiceLatency;
use crate::limits::ServerLimitState;
use crate::limits::ServerRest;
use crate::registry::Announcement;
use crate::types::ModelName;
use crate::types::MonoMs;
use crate::types::RequestRate;

/// Network delay within the data centre, in milliseconds.
const NEAR_MS: f64 = 1.0;
/// Network delay to another data centre of the region, in milliseconds.
const SAME_REGION_MS: f64 = 8.0;
/// Delay assigned to another region, in milliseconds. It is above the round trip time because
/// traffic between regions is charged.
const FAR_MS: f64 = 120.0;
/// Delay assigned to a server all of whose requests fail, in milliseconds.
const FAILURE_DELAY_MS: f64 = 4_000.0;
/// Half-life of a server's failure average, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;
/// Half-life of the load reported by a server, in milliseconds.
const LOAD_HALF_LIFE_MS: f64 = 1_000.0;
/// Half-life of reported prompt tokens, in milliseconds. Prompts are processed in a fraction of a
/// second.
const PROMPTS_HALF_LIFE_MS: f64 = 300.0;
/// Slowdown in a batch with one free slot compared with an empty one, in milliseconds.
const FULL_BATCH_MS: f64 = 60.0;

/// Distance to a data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Distance {
    /// The VM's own data centre.
    Near,
    /// Another data centre of the same region.
    SameRegion,
    /// A data centre of another region.
    Far,
}

impl Distance {
    /// Network delay, in milliseconds.
    pub(super) fn delay_ms(self) -> f64 {
        match self {
            Self::Near => NEAR_MS,
            Self::SameRegion => SAME_REGION_MS,
            Self::Far => FAR_MS,
        }
    }
}

/// Presence of an adapter on an engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AdapterPresence {
    pub(super) version: u64,
    /// Expected end of the load.
    pub(super) load_end: MonoMs,
    /// Time from which requests are sent.
    pub(super) ready: MonoMs,
}

/// Backend server.
#[derive(Clone, Debug)]
pub struct ServerView {
    /// Most recent announcement.
    pub announcement: Announcement,
    /// Distance to its data centre.
    pub distance: Distance,
    /// Requests of this VM that are in progress.
    pub in_flight: u32,
    /// Prompt tokens of this VM's requests that have no answer yet.
    pub(super) prompt_tokens: u64,
    pub(super) residency: HashMap<ModelName, AdapterPresence>,
    /// Requests of other VMs at the time of the last load report.
    pub(super) other_requests: f64,
    pub(super) other_requests_at: MonoMs,
    /// Prompt tokens of other VMs' unanswered requests at the time of the last report.
    other_prompts: f64,
    other_prompts_at: MonoMs,
    failure_average: f64,
    failure_average_at: MonoMs,
    pub(super) avoid_until: MonoMs,
    /// Limit that the server named on the requests of all VMs together.
    pub(super) limit: ServerLimitState,
    /// Time from which the next permit for a request to a limited server can be requested.
    pub(super) permit_from: MonoMs,
    /// Time until which the answer to a request for a permit is awaited.
    pub(super) permit_timeout: MonoMs,
    /// Requests that wait for a permit.
    pub(super) permit_waiters: u32,
    /// Rest that the server asked this VM for.
    pub(super) rest: ServerRest,
    /// Whether the last attempt to open a connection failed.
    pub(super) is_unreached: bool,
    /// When a connection was opened or an answer arrived last.
    pub(super) heard: MonoMs,
}

impl ServerView {
    pub(super) fn new(announcement: Announcement, distance: Distance) -> Self {
        Self {
            announcement,
            distance,
            in_flight: 0,
            prompt_tokens: 0,
            residency: HashMap::new(),
            other_requests: 0.0,
            other_requests_at: MonoMs(0),
            other_prompts: 0.0,
            other_prompts_at: MonoMs(0),
            failure_average: 0.0,
            failure_average_at: MonoMs(0),
            avoid_until: MonoMs(0),
            limit: ServerLimitState::default(),
            permit_from: MonoMs(0),
            permit_timeout: MonoMs(0),
            permit_waiters: 0,
            rest: ServerRest::default(),
            is_unreached: false,
            heard: MonoMs(0),
        }
    }

    /// Estimated number of requests in progress, of all VMs.
    pub fn occupied(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.other_requests_at) as f64;
        let others = self.other_requests * (-age_ms / LOAD_HALF_LIFE_MS).exp2();
        others + f64::from(self.in_flight)
    }

    /// Decaying average of the share of requests that failed.
    pub fn failure_ratio(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.failure_average_at) as f64;
        self.failure_average * (-age_ms / FAILURE_HALF_LIFE_MS).exp2()
    }

    /// Estimated number of waiting prompt tokens, of all VMs.
    pub(super) fn waiting_tokens(&self, now: MonoMs) -> f64 {
        let age_ms = now.since(self.other_prompts_at) as f64;
        let others = self.other_prompts * (-age_ms / PROMPTS_HALF_LIFE_MS).exp2();
        others + self.prompt_tokens as f64
    }

    /// Stores the reported number of waiting prompt tokens, of all VMs.
    pub(super) fn set_prompt_tokens(&mut self, total: u64, now: MonoMs) {
        self.other_prompts = total.saturating_sub(self.prompt_tokens) as f64;
        self.other_prompts_at = now;
    }

    /// Records whether a request failed. A failure has three times the weight of a success.
    pub(super) fn record_outcome(&mut self, failed: bool, now: MonoMs) {
        let before = self.failure_ratio(now);
        let (outcome, weight) = match failed {
            true => (1.0, 3.0 * AVERAGE_WEIGHT),
            false => (0.0, AVERAGE_WEIGHT),
        };
        self.failure_average = before + weight * (outcome - before);
        self.failure_average_at = now;
    }

    /// Whether the server gets no request at `now`: it rests, or no permit can be requested.
    pub(super) fn is_deferred(&self, now: MonoMs) -> bool {
        let next = self.permit_from.max(self.permit_timeout);
        self.is_resting(now) || self.limit.rate().is_some() && now < next
    }

    /// Whether the server has asked this VM for a rest that is not over.
    pub(super) fn is_resting(&self, now: MonoMs) -> bool {
        self.rest.left_ms(now) > 0
    }

    /// Shortest time until the server takes one more request.
    pub(super) fn deferral_ms(&self, now: MonoMs) -> u64 {
        self.permit_wait_ms(now).max(self.rest.left_ms(now))
    }

    /// Shortest time until one more request gets a permit: that of the next permit, and of the
    /// requests that wait already at the whole rate.
    pub(super) fn permit_wait_ms(&self, now: MonoMs) -> u64 {
        let interval_ms = self.limit.rate().map_or(0, RequestRate::interval_ms);
        self.permit_from.since(now) + u64::from(self.permit_waiters) * interval_ms
    }

    pub(super) fn is_full(&self, now: MonoMs) -> bool {
        self.occupied(now) + 1.0 > f64::from(self.announcement.slots.max(1))
    }

    /// Expected wait for a batch slot if each request takes `service_ms`.
    pub(super) fn queueing_ms(&self, service_ms: f64, now: MonoMs) -> f64 {
        let slots = f64::from(self.announcement.slots.max(1));
        let beyond = (self.occupied(now) + 1.0 - slots).max(0.0);
        beyond * service_ms / slots
    }

    /// Expected time to the first event or answer, beyond that of an idle server in the same data
    /// centre.
    pub(super) fn expected_delay_ms(&self, latency: &ServiceLatency, now: MonoMs) -> f64 {
        let service_ms = latency.service_ms;
        let slots = f64::from(self.announcement.slots.max(1));
        let occupied = self.occupied(now);
        let queueing_ms = self.queueing_ms(service_ms, now);
        let batch_ms = (occupied / slots).min(1.0) * FULL_BATCH_MS;
        let cold_ms = if self.announcement.cold_ms > 0 {
            batch_ms
        } else {
            0.0
        };
        let prompts_ms = self.waiting_tokens(now) * latency.token_ms;
        let failing_ms = self.failure_ratio(now) * FAILURE_DELAY_MS;
        let load_ms = queueing_ms + batch_ms + cold_ms + prompts_ms;
        self.distance.delay_ms() + load_ms + failing_ms
    }
}
