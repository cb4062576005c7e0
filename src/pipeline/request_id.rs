//! Request ids. An id names the backend server that runs the request, so that any VM can find it.

use std::sync::Arc;

use rand::RngExt;
use sha2::Digest;
use sha2::Sha256;

use crate::types::AccountName;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::ServerName;

/// Separates the caller's part of an id from the name of the backend server.
const SEPARATOR: char = '~';
/// Longest caller part, in bytes.
const MAX_BASE_BYTES: usize = 96;
/// Bytes of the digest that identify a request towards backend servers.
const BACKEND_ID_BYTES: usize = 16;

/// Id of one request, chosen by the caller or drawn.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestId {
    base: Arc<str>,
}

impl RequestId {
    /// Draws a random id.
    pub fn random() -> Self {
        let bits: u128 = rand::rng().random();
        Self {
            base: format!("{bits:032x}").into(),
        }
    }

    /// Takes the caller's id, or draws one.
    ///
    /// # Errors
    /// A refusal that names the header if the id is empty, long or has other characters than
    /// letters, digits, `-`, `_` and `.`.
    pub fn from_header(value: Option<&str>) -> Result<Self, Refusal> {
        match value {
            None => Ok(Self::random()),
            Some(text) if is_valid(text) => Ok(Self { base: text.into() }),
            Some(text) => Err(invalid(text)),
        }
    }

    /// The id told to the caller before a backend server was chosen.
    pub fn as_str(&self) -> &str {
        &self.base
    }

    /// The id told to the caller once `server` runs the request as its dispatch number `attempt`.
    pub fn on_server(&self, attempt: u32, server: &ServerName) -> String {
        format!("{}{SEPARATOR}{attempt}{SEPARATOR}{server}", self.base)
    }

    /// Splits an id told to a caller into the id, the attempt and the backend server.
    ///
    /// # Errors
    /// A refusal that names the id if it has no server or other characters than allowed.
    pub fn parse_on_server(text: &str) -> Result<(Self, u32, ServerName), Refusal> {
        let parts: Vec<&str> = text.splitn(3, SEPARATOR).collect();
        let [base, attempt, server] = parts[..] else {
            return Err(invalid(text));
        };
        let attempt = attempt.parse().map_err(|_| invalid(text))?;
        if !is_valid(base) || server.is_empty() {
            return Err(invalid(text));
        }
        let id = Self { base: base.into() };
        Ok((id, attempt, ServerName::from(server)))
    }

    /// The id used towards backend servers: a digest over the account and the caller's id, so that
    /// no account can read or cancel the requests of another.
    pub fn for_backend(&self, account: &AccountName, attempt: u32) -> Arc<str> {
        let mut hasher = Sha256::new();
        hasher.update(account.as_str().as_bytes());
        hasher.update([0]);
        hasher.update(self.base.as_bytes());
        hasher.update(attempt.to_be_bytes());
        hex::encode(&hasher.finalize()[..BACKEND_ID_BYTES]).into()
    }
}

fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_BASE_BYTES && text.chars().all(allowed)
}

fn invalid(text: &str) -> Refusal {
    let message = format!(
        "request ids have 1 to {MAX_BASE_BYTES} letters, digits, '-', '_' or '.', \
         followed by the server when a stream is resumed"
    );
    let shown: String = text.chars().take(MAX_BASE_BYTES).collect();
    Refusal::not_run(RefusalCode::BadRequest, message).with_field("x-request-id", shown)
}
