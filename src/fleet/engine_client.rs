//! Orders and questions to engines, with answers of bounded size and time.

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

/// Longest wait for the answer to an order or a question.
const RESPONSE_TIMEOUT_MS: u64 = 350;
/// Longest time to open a connection to an engine.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Largest answer to an order or a question. A report lists some hundred adapters and runs.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Result of a call.
pub(super) type Result<T> = std::result::Result<T, CallError>;

/// Connections to engines.
#[derive(Default)]
pub(super) struct EngineClient {
    pool: Mutex<Pool>,
}

impl EngineClient {
    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks the engine at `address`.
    ///
    /// # Errors
    /// Not the whole answer came, or it is larger than any that is expected.
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

/// Why an engine's answer is missing. The connection is closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallError {
    /// No connection was opened.
    Unreachable,
    /// Not the whole answer came in time.
    TimedOut,
    /// The connection broke, or what came is no answer.
    Broken,
    /// The answer is larger than any that is expected.
    TooLarge,
    /// The engine refused the question.
    Refused,
    /// The body cannot be read.
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
