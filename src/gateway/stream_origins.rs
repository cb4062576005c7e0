//! Streams that callers resume: which software version of which service may go on with them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::future::BoxFuture;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

use super::answer::Refusal;
use super::context::Gateway;
use super::deployment::Route;
use super::dialect::CallerHead;
use super::exchange::Answer;
use super::exchange::BUSY_RETRY_MS;
use super::exchange::Exchange;
use super::record::RequestRecord;
use crate::link::StateConfirmation;
use crate::scheduling::stream_origins::SoftwareVersions;
use crate::scheduling::stream_origins::StreamBegin;
use crate::scheduling::stream_origins::StreamOrigin;
use crate::scheduling::stream_origins::StreamOrigins;
use crate::scheduling::stream_origins::only_origin;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;
use crate::types::StreamKey;
use crate::types::UnixMs;

/// Most streams whose origin a VM remembers.
const MAX_STREAMS: usize = 16_384;
/// Longest time until the report of a stream that has begun reaches the controllers.
const MAX_REPORT_DELAY_MS: u64 = 200;
/// Time for which a list of versions counts as the newest one. Controllers send it twice a second.
const LIST_VALID_MS: u64 = 1_200;
/// Interval at which the controllers are asked for the origin of a stream again.
const LOOKUP_INTERVAL_MS: u64 = 50;

/// Answer of the controllers to the question who began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamLookup {
    /// A controller knows the origin.
    Found(StreamOrigin),
    /// A majority of the controllers does not know it.
    NotKnown,
    /// Too few controllers answered.
    NotReached,
}

/// Looks up who began a stream.
pub type LookupFuture = BoxFuture<'static, StreamLookup>;

/// Origins of streams as known to one VM.
#[derive(Debug)]
pub(super) struct KnownStreams {
    state: Mutex<State>,
    reported: Arc<Notify>,
}

#[derive(Debug)]
struct State {
    origins: StreamOrigins,
    unreported: Vec<StreamBegin>,
    listed: SoftwareVersions,
    /// When the list was last known to be the newest one: when the question was asked whose answer tells so, or when a
    /// status was read that does.
    confirmed: Option<(MonoMs, UnixMs)>,
}

impl State {
    /// Whether the list is the newest one. Both clocks are asked, since the monotonic one may not
    /// count the time for which a VM is suspended.
    fn is_current(&self, clock: &Clock) -> bool {
        self.confirmed.is_some_and(|(mono, unix)| {
            clock.mono().since(mono) < LIST_VALID_MS && clock.unix().since(unix) < LIST_VALID_MS
        })
    }
}

impl Default for KnownStreams {
    fn default() -> Self {
        Self {
            state: Mutex::new(State {
                origins: StreamOrigins::new(MAX_STREAMS),
                unreported: Vec::new(),
                listed: SoftwareVersions::default(),
                confirmed: None,
            }),
            reported: Arc::default(),
        }
    }
}

impl KnownStreams {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Records that `origin` began the stream of the caller's attempt `request_id`.
    pub(super) fn record_stream_begun(&self, request_id: &str, origin: StreamOrigin) {
        let begin = StreamBegin {
            stream: StreamKey::of_request(request_id),
            origin,
            age_ms: 0,
        };
        let mut state = self.known_streams.lock();
        if state.origins.record(&begin, self.now()) {
            state.unreported.push(begin);
            self.known_streams.reported.notify_one();
        }
    }

    /// Notified when there are streams to report to the controllers.
    pub fn streams_begun(&self) -> Arc<Notify> {
        Arc::clone(&self.known_streams.reported)
    }

    /// Streams that began since the last call.
    pub fn take_streams_begun(&self) -> Vec<StreamBegin> {
        std::mem::take(&mut self.known_streams.lock().unreported)
    }

    /// All known streams, for a controller that may not know them.
    pub fn stream_origins(&self) -> Vec<StreamBegin> {
        self.known_streams.lock().origins.reports(self.now())
    }

    /// Applies the list of software versions unless it is older than the known one. `is_current` tells
    /// whether it was the newest one a moment ago.
    pub fn set_software_versions(&self, listed: &SoftwareVersions, is_current: bool) {
        let mut state = self.known_streams.lock();
        if listed.revision > state.listed.revision {
            state.listed = listed.clone();
        }
        if is_current && listed.revision >= state.listed.revision {
            let clock = &self.config.clock;
            state.confirmed = Some((clock.mono(), clock.unix()));
        }
    }

    /// Notes that the list is the newest one, unless a controller that says so knows a newer one.
    pub(super) fn confirm_software_versions(&self, answer: &StateConfirmation) {
        let mut state = self.known_streams.lock();
        let asked = (answer.question.asked, answer.question.asked_unix);
        let is_later = state.confirmed.is_none_or(|(last, _)| last <= asked.0);
        if is_later && answer.software_revision <= state.listed.revision {
            state.confirmed = Some(asked);
        }
    }

    /// Origin of the stream that a caller resumes; `None` for other requests. While the origin is not
    /// known, the controllers are asked until `deadline`.
    ///
    /// # Errors
    /// Nobody knows the origin, and several are possible.
    pub(super) async fn resumed_origin(
        &self,
        route: &Route,
        caller: &CallerHead,
        deadline: Instant,
    ) -> Result<Option<StreamOrigin>, Refusal> {
        if !route.repeat.is_resumable_stream() || caller.last_event.is_none() {
            return Ok(None);
        }
        let attempt = caller.resumes.as_deref();
        let origin = self.origin_of_attempt(route, attempt, deadline).await?;
        Ok(Some(origin))
    }

    /// Origin of the stream whose first event reached its caller in `attempt`.
    ///
    /// # Errors
    /// Nobody knows the origin and several are possible, or the route does not lead there any more.
    pub(super) async fn origin_of_attempt(
        &self,
        route: &Route,
        attempt: Option<&str>,
        deadline: Instant,
    ) -> Result<StreamOrigin, Refusal> {
        let stream = attempt.map(StreamKey::of_request);
        let origin = self.find_origin(route, stream, deadline).await?;
        match route.has_target(&origin.service) {
            true => Ok(origin),
            false => Err(unresumable("stream_service_gone")),
        }
    }

    async fn find_origin(
        &self,
        route: &Route,
        stream: Option<StreamKey>,
        deadline: Instant,
    ) -> Result<StreamOrigin, Refusal> {
        let report_deadline = Instant::now() + Duration::from_millis(MAX_REPORT_DELAY_MS);
        loop {
            let found = match stream {
                Some(stream) => self.look_up(stream).await,
                None => StreamLookup::NotKnown,
            };
            if found == StreamLookup::NotKnown
                && let Some(origin) = self.only_origin(route)
            {
                return Ok(origin);
            }
            // What is not known yet may still arrive: the report of the stream, a controller, or the list
            // of versions, which the log lacks when the fleet has just started.
            let give_up = match found {
                StreamLookup::Found(origin) => return Ok(origin),
                StreamLookup::NotKnown if self.has_current_list() => report_deadline.min(deadline),
                StreamLookup::NotKnown | StreamLookup::NotReached => deadline,
            };
            if Instant::now() >= give_up {
                return Err(unresumable("stream_origin_unknown"));
            }
            sleep(Duration::from_millis(LOOKUP_INTERVAL_MS)).await;
        }
    }

    fn has_current_list(&self) -> bool {
        let state = self.known_streams.lock();
        state.listed.revision > 0 && state.is_current(&self.config.clock)
    }

    async fn look_up(&self, stream: StreamKey) -> StreamLookup {
        let known = self.known_streams.lock().origins.get(stream).cloned();
        match known {
            Some(origin) => StreamLookup::Found(origin),
            None => self.controllers.find_stream(stream).await,
        }
    }

    /// The origin of all streams of a route, if there is only one. Unknown while no controller confirms
    /// which versions were in service.
    fn only_origin(&self, route: &Route) -> Option<StreamOrigin> {
        let services = || route.targets.iter().map(|(service, _)| service);
        let is_target = |service: &ServiceName| services().any(|target| target == service);
        let table = self.server_table();
        let servers = table.servers.values().map(|view| &view.announcement);
        let announced = servers
            .filter(|server| is_target(&server.service))
            .map(|server| StreamOrigin {
                service: server.service.clone(),
                software: server.software.clone(),
            });
        let state = self.known_streams.lock();
        if state.listed.revision == 0 || !state.is_current(&self.config.clock) {
            return None;
        }
        only_origin(services(), &state.listed, announced)
    }
}

impl Exchange {
    /// Records that a server of the version `software` began a stream that may be resumed.
    pub(super) fn record_origin(&mut self, software: &SoftwareVersion) {
        if self.origin.is_some() || !self.route.repeat.is_resumable_stream() {
            return;
        }
        let origin = StreamOrigin {
            service: self.service.clone(),
            software: software.clone(),
        };
        if let Some(request_id) = &self.caller.request_id {
            self.gateway.record_stream_begun(request_id, origin.clone());
        }
        self.origin = Some(origin);
    }

    /// Sends a stream that broke off again, from the event after `last_event` on.
    ///
    /// # Errors
    /// No server that may go on with the stream answers.
    pub(super) async fn resume(
        &mut self,
        last_event: Option<u64>,
        record: &mut RequestRecord,
    ) -> Result<Answer, Refusal> {
        self.recall_origin().await?;
        self.obtain_answer(last_event, record).await
    }

    /// Finds out who began the stream. This VM has not seen it if another VM passed the stream on.
    async fn recall_origin(&mut self) -> Result<(), Refusal> {
        let is_known = self.origin.is_some() || self.is_relayed;
        if is_known || !self.route.repeat.is_resumable_stream() {
            return Ok(());
        }
        let caller = &self.caller;
        let attempt = caller.resumes.as_deref().or(caller.request_id.as_deref());
        let gateway = &self.gateway;
        let finding = gateway.origin_of_attempt(&self.route, attempt, self.deadline);
        let origin = finding.await?;
        // The other VM chose among the route's services by itself.
        self.service = origin.service.clone();
        let deployment = gateway.deployment();
        self.is_engine = deployment.is_some_and(|known| known.is_engine(&self.service));
        self.origin = Some(origin);
        Ok(())
    }
}

fn unresumable(reason: &'static str) -> Refusal {
    Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, BUSY_RETRY_MS)
}
