//! Errors of the administration API.

use std::fmt;

use dropshot::ErrorStatusCode;
use dropshot::HttpError;
use dropshot::HttpResponseError;
use schemars::JsonSchema;
use serde::Serialize;

use crate::control::DiffError;
use crate::control::FieldError;
use crate::control::Outcome;
use crate::http::admin::control_plane::ProposeError;

/// Prefix that `dropshot` puts before JSON parser errors.
const JSON_ERROR_PREFIX: &str = "unable to parse JSON body: ";

/// An error response.
#[derive(Debug, JsonSchema, Serialize)]
pub(crate) struct AdminError {
    #[serde(skip)]
    status: u16,
    /// Details of the error.
    error: Box<ErrorBody>,
}

/// Details of the error.
#[derive(Debug, Default, JsonSchema, Serialize)]
struct ErrorBody {
    /// Stable code: `unauthorized`, `invalid`, `not_found`, `conflict`, `no_quorum`, `uncertain`,
    /// `bad_request` or `internal`.
    code: String,
    /// Human-readable message.
    message: String,
    /// The invalid field.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<String>,
    /// The invalid value. Never contains a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    /// Description of the allowed values.
    #[serde(skip_serializing_if = "Option::is_none")]
    allowed: Option<String>,
    /// Current revision of the state, if another change was committed first.
    #[serde(skip_serializing_if = "Option::is_none")]
    current_revision: Option<u64>,
    /// Id of the change that was committed first.
    #[serde(skip_serializing_if = "Option::is_none")]
    winner_change_id: Option<String>,
}

impl AdminError {
    fn new(status: u16, code: &str, message: impl Into<String>) -> Self {
        Self {
            status,
            error: Box::new(ErrorBody {
                code: code.to_owned(),
                message: message.into(),
                ..ErrorBody::default()
            }),
        }
    }

    pub(super) fn unauthorized() -> Self {
        let mut error = Self::new(
            401,
            "unauthorized",
            "the operator's token is missing or wrong",
        );
        error.error.field = Some("authorization".to_owned());
        error.error.allowed =
            Some("Bearer and the token of an operator in the settings".to_owned());
        error
    }

    pub(super) fn not_found(field: &str, value: &str, allowed: &str) -> Self {
        Self {
            status: 404,
            ..Self::field("not_found", &FieldError::new(field, value, allowed))
        }
    }

    pub(super) fn wrong(field: &str, value: &str, allowed: &str) -> Self {
        Self::invalid(&FieldError::new(field, value, allowed))
    }

    pub(super) fn diff(error: &DiffError) -> Self {
        let value = format!("{} to {}", error.from, error.to);
        let allowed = format!(
            "{} to {}, the earlier one first",
            error.oldest, error.newest
        );
        Self::wrong("from", &value, &allowed)
    }

    pub(super) fn invalid(error: &FieldError) -> Self {
        Self::field("invalid", error)
    }

    fn field(code: &str, error: &FieldError) -> Self {
        let mut body = Self::new(400, code, error.to_string());
        body.error.field = Some(error.field.clone());
        body.error.value = Some(error.value.clone());
        body.error.allowed = Some(error.allowed.clone());
        body
    }

    /// Converts an outcome other than `Applied`.
    pub(super) fn from_outcome(outcome: &Outcome, base_revision: u64) -> Self {
        match outcome {
            Outcome::Invalid(error) => Self::invalid(error),
            Outcome::Conflict {
                current_revision,
                winner_change_id,
            } => {
                let winner = winner_change_id.as_ref().map(|id| id.to_string());
                let first = winner
                    .as_deref()
                    .unwrap_or("a change no longer in the history");
                let message = format!(
                    "base_revision is {base_revision}, but {first} came first; \
                     read the state again and send a new change id"
                );
                let mut error = Self::new(409, "conflict", message);
                error.error.field = Some("change.base_revision".to_owned());
                error.error.value = Some(base_revision.to_string());
                error.error.allowed = Some(format!("{current_revision}"));
                error.error.current_revision = Some(*current_revision);
                error.error.winner_change_id = winner;
                error
            }
            other => Self::new(500, "internal", format!("unexpected outcome: {other:?}")),
        }
    }
}

impl From<ProposeError> for AdminError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NoQuorum => Self::new(503, "no_quorum", error.to_string()),
            ProposeError::Uncertain => {
                let message = format!("{error}; resend it with the same change id");
                Self::new(504, "uncertain", message)
            }
        }
    }
}

impl From<HttpError> for AdminError {
    fn from(error: HttpError) -> Self {
        let status = error.status_code.as_u16();
        let message = error.external_message;
        if status >= 500 {
            return Self::new(status, "internal", message);
        }
        let mut converted = Self::new(status, "bad_request", message.clone());
        if let Some(detail) = message.strip_prefix(JSON_ERROR_PREFIX)
            && let Some((path, problem)) = detail.split_once(": ")
        {
            converted.error.field = Some(path.to_owned());
            converted.error.message = problem.to_owned();
        }
        converted
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.error.code, self.error.message)
    }
}

impl HttpResponseError for AdminError {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
