//! HTTP client for orders and report requests to engines. Responses are limited in size and time.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use tokio::time::timeout;

use crate::gateway::pool;
use crate::gateway::pool::Pool;

/// Timeout of a request, including the response body.
const RESPONSE_TIMEOUT_MS: u64 = 350;
/// Timeout of opening a connection to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Largest response body. A report lists some hundred adapters and runs.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Result of a request to an engine.
pub(super) type Result<T> = std::result::Result<T, CallError>;

/// Client with a pool of connections to engines.
#[derive(Default)]
pub(super) struct EngineClient {
    pool: Mutex<Pool>,
}

impl EngineClient {
    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request to the engine at `address` and reads the whole response.
    ///
    /// # Errors
    /// The response is incomplete, or its body exceeds [`MAX_RESPONSE_BYTES`].
    pub(super) async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
    ) -> Result<(StatusCode, Bytes)> {
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
            Self::TimedOut => "timed_out",
            Self::Broken => "broken",
            Self::TooLarge => "too_large",
            Self::Refused => "refused",
            Self::Unreadable => "unreadable",
        }
    }
}
