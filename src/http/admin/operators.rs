//! Authentication of operators.

use dropshot::RequestContext;

use crate::control::Sha256Hash;
use crate::http::admin::Context;
use crate::http::admin::error::AdminError;

/// An operator and the hash of its token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Operator {
    /// Name recorded in the change history.
    pub name: String,
    /// SHA-256 of the bearer token.
    pub token_sha256: Sha256Hash,
}

/// Returns the name of the operator whose token the request carries. The token is compared with the
/// hashes of all operators, each in constant time.
pub(super) fn authorize(request: &RequestContext<Context>) -> Result<String, AdminError> {
    let header = request.request.headers().get(http::header::AUTHORIZATION);
    let token = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(AdminError::unauthorized)?;
    let hash = Sha256Hash::of(token.as_bytes());
    let mut found = None;
    for operator in &request.context().operators {
        if operator.token_sha256.matches(&hash) {
            found = Some(operator.name.clone());
        }
    }
    found.ok_or_else(AdminError::unauthorized)
}
