//! HTTP client for orders and report requests to engines. Responses are limited in size and time.

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::configs::connections::ProcessLimits;
use crate::gateway::pool;
use crate::gateway::pool::Pool;
use crate::limits::AskedRest;
use crate::limits::ServerRest;
use crate::types::Clock;
use crate::types::ServerName;

/// Timeout of a request, including the response body.
const RESPONSE_TIMEOUT_MS: u64 = 350;
/// Timeout of opening a connection to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Largest response body. A report lists some hundred adapters and runs.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Result of a request to an engine.
pub(super) type Result<T> = std::result::Result<T, CallError>;

/// Client with a pool of connections to engines.
pub(super) struct EngineClient {
    clock: Clock,
    pool: Mutex<Pool>,
    /// Rests that engines asked this VM for.
    rests: Mutex<HashMap<ServerName, ServerRest>>,
}

impl EngineClient {
    pub(super) fn new(clock: Clock, limits: ProcessLimits) -> Self {
        Self {
            clock,
            pool: Mutex::new(Pool::new(limits.idle_server_connections())),
            rests: Mutex::default(),
        }
    }

    fn rests(&self) -> MutexGuard<'_, HashMap<ServerName, ServerRest>> {
        self.rests.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether an engine has asked this VM for a rest that is not over. Forgets rests that are.
    fn is_resting(&self, engine: &ServerName) -> bool {
        let now = self.clock.mono();
        let mut rests = self.rests();
        rests.retain(|_, rest| rest.left_ms(now) > 0);
        rests.contains_key(engine)
    }

    fn on_answer<B>(&self, engine: &ServerName, answer: &Response<B>) {
        let asked = AskedRest::read(answer.status(), answer.headers(), SystemTime::now());
        if let AskedRest::ForMs(ms) = asked {
            let now = self.clock.mono();
            self.rests().entry(engine.clone()).or_default().ask(ms, now);
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to `engine` at `address` and reads the whole response.
    ///
    /// # Errors
    /// The engine rests, the response is incomplete, or its body exceeds [`MAX_RESPONSE_BYTES`].
    pub(super) async fn send(
        &self,
        engine: &ServerName,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<(StatusCode, Bytes)> {
        if self.is_resting(engine) {
            return Err(CallError::Resting);
        }
        let pooled = self.pool().take(address, false);
        let mut connection = match pooled {
            Some(connection) => connection,
            None => {
                let wait = Duration::from_millis(CONNECT_TIMEOUT_MS);
                let connecting = pool::connect(address, wait).await;
                connecting.map_err(|_| CallError::Unreachable)?
            }
        };
        let request = request.map(Full::new);
        let exchange = async {
            let sent = connection.sender.send_request(request).await;
            let response = sent.map_err(|_| CallError::Broken)?;
            self.on_answer(engine, &response);
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(CallError::from_body_error)?;
            Ok((status, body.to_bytes()))
        };
        let finished = timeout(Duration::from_millis(RESPONSE_TIMEOUT_MS), exchange).await;
        let response = finished.map_err(|_| CallError::TimedOut)??;
        self.pool().put(address, connection, None);
        Ok(response)
    }
}

/// Why a request to an engine failed. Connections of failed exchanges are closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallError {
    /// No connection could be opened.
    Unreachable,
    /// The engine asked for a rest that is not over.
    Resting,
    /// The response was not complete in time.
    TimedOut,
    /// The connection broke, or the response is not valid HTTP.
    Broken,
    /// The response body is too large.
    TooLarge,
    /// The engine answered with an error status.
    Refused,
    /// The response body cannot be decoded.
    Unreadable,
}

impl CallError {
    fn from_body_error(error: Box<dyn Error + Send + Sync>) -> Self {
        match error.is::<LengthLimitError>() {
            true => Self::TooLarge,
            false => Self::Broken,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Resting => "resting",
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
            Self::TooLarge => "too_large",
            Self::Refused => "refused",
            Self::Unreadable => "unreadable",
        }
    }
}
