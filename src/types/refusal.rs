//! The outcome of a request that gets an error instead of an answer.

use serde::Deserialize;
use serde::Serialize;

/// Whether a failed request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The request was not dispatched, or the backend server proved that it did not start.
    NotRun,
    /// The request ran to completion.
    Ran,
    /// The request was dispatched and its outcome is not known.
    Unknown,
}

/// Stable error codes of the caller interface.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The backend server failed after the call was dispatched.
    BackendFailed,
    /// A field of the request is invalid.
    BadRequest,
    /// The request cannot meet its deadline.
    DeadlineUnreachable,
    /// The VM is shutting down.
    Draining,
    /// The account may not use the adapter, class or service.
    Forbidden,
    /// The idempotency key was used with another body.
    IdempotencyConflict,
    /// Internal error.
    Internal,
    /// The VM is isolated from its peers.
    Isolated,
    /// No backend server can take the request.
    NoBackend,
    /// The named object does not exist.
    NotFound,
    /// The outcome of an earlier call with the same idempotency key is not known.
    OutcomeUnknown,
    /// The queue is full.
    Overloaded,
    /// The request crashed backend servers and is quarantined.
    Quarantined,
    /// The account is over its rate and burst.
    RateLimited,
    /// The request body is too large.
    TooLarge,
    /// The key is missing, unknown or withdrawn.
    Unauthorized,
}

impl RefusalCode {
    /// The HTTP status that goes with the code.
    pub fn http_status(self) -> u16 {
        match self {
            Self::BackendFailed => 502,
            Self::BadRequest => 400,
            Self::DeadlineUnreachable => 504,
            Self::Draining | Self::Isolated | Self::NoBackend | Self::Overloaded => 503,
            Self::Forbidden => 403,
            Self::IdempotencyConflict | Self::OutcomeUnknown => 409,
            Self::Internal => 500,
            Self::NotFound => 404,
            Self::Quarantined => 422,
            Self::RateLimited => 429,
            Self::TooLarge => 413,
            Self::Unauthorized => 401,
        }
    }
}

/// An error answer to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Stable code.
    pub code: RefusalCode,
    /// Human-readable message of one sentence.
    pub message: String,
    /// The invalid field, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// The invalid value, if there is one. Never a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
    /// Whether the request ran.
    pub run: RunState,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A refusal of a request that was not dispatched.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            value: None,
            run: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// A failure of a request of which it is not known whether it ran.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self {
            run: RunState::Unknown,
            ..Self::not_run(code, message)
        }
    }

    /// Adds the invalid field and its value.
    pub fn with_field(mut self, field: impl Into<String>, value: impl Into<String>) -> Self {
        self.field = Some(field.into());
        self.value = Some(value.into());
        self
    }

    /// Adds the time after which a retry may succeed.
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
