//! Memory that requests and answers take: bodies are read within the budgets of the process.

use bytes::Bytes;
use http::StatusCode;
use http_body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::Refusal;
use super::context::Gateway;
use super::deployment::CallerLimits;
use super::deployment::Deployment;
use super::exchange::BUSY_RETRY_MS;
use super::exchange::Exchange;
use super::record::RequestRecord;
use super::target::note_contact;
use super::target::unconfigured;
use crate::connections::body::BodyError;
use crate::connections::body::BodyReader;

/// Largest answer that is buffered before it is passed on.
const MAX_ANSWER_BYTES: usize = 2 * 1024 * 1024;

impl Gateway {
    /// Updates the metrics of the memory that requests and answers have reserved.
    pub fn update_memory_metrics(&self) {
        let meters = &self.config.meters;
        meters.set_budget("bodies", &self.bodies);
        meters.set_budget("answers", &self.answers);
    }

    /// Limits on callers of the configuration in force.
    pub(super) fn caller_limits(&self) -> CallerLimits {
        let configuration = self.configuration.borrow();
        configuration
            .deployment()
            .map_or_else(CallerLimits::default, |deployment| deployment.limits)
    }
}

impl Exchange {
    /// Reads the body of an answer to its end. Its memory is reserved until the caller has read it.
    pub(super) async fn read_answer<B>(&self, body: B) -> Result<Bytes, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let reader = BodyReader {
            budget: &self.gateway.answers,
            limit_bytes: MAX_ANSWER_BYTES,
            deadline: self.deadline,
            // A server may be slow.
            may_evict: false,
        };
        let whole = reader.read(body).await?;
        Ok(match &self.connection {
            Some(connection) => whole.into_answer(connection),
            None => whole.into_bytes(),
        })
    }
}

/// Reads the body of a request by `deadline`.
///
/// # Errors
/// The body is too large, broken or too slow, or there is no memory for it.
pub(super) async fn read_body(
    gateway: &Gateway,
    deployment: &Deployment,
    body: Incoming,
    deadline: Instant,
    record: &mut RequestRecord,
) -> Result<Bytes, Refusal> {
    let reader = BodyReader {
        budget: &gateway.bodies,
        limit_bytes: deployment.limits.body_bytes,
        deadline,
        may_evict: true,
    };
    let error = match reader.read(body).await {
        Ok(whole) => return Ok(whole.into_bytes()),
        Err(error) => error,
    };
    Err(match error {
        BodyError::TooLarge => {
            note_contact(gateway, record);
            body_too_large(gateway, deployment)
        }
        BodyError::Broken => Refusal::new(StatusCode::BAD_REQUEST, "body_broken"),
        BodyError::TooSlow => Refusal::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow"),
        BodyError::NoMemory => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Refusal::not_run(status, "no_memory_for_body", BUSY_RETRY_MS)
        }
    })
}

/// Refusal of a body over the limit, which is final only if no newer configuration may have raised it.
fn body_too_large(gateway: &Gateway, deployment: &Deployment) -> Refusal {
    if gateway.is_confirmed() && gateway.received_version() == deployment.version {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Refusal::new(status, "body_too_large");
    }
    unconfigured("unconfirmed_configuration")
}
