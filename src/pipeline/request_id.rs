//! Request ids. A public id contains the name of the backend server that runs the request, so that
//! any VM can find it.

use std::sync::Arc;

use rand::RngExt;
use sha2::Digest;
use sha2::Sha256;

use super::classify::Format;
use crate::types::AccountName;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::ServerName;

/// Separates the caller's part of an id from the name of the backend server.
const SEPARATOR: char = '~';
/// Prefix of the dispatch number of a chat completion.
const CHAT_MARK: char = 'c';
/// Prefix of the dispatch number of a text completion.
const TEXT_MARK: char = 't';
/// Longest caller's part, in bytes.
const MAX_BASE_BYTES: usize = 96;
/// Bytes of the digest that are used as the request id towards backend servers.
const BACKEND_ID_BYTES: usize = 16;

/// Id of one request, chosen by the caller or generated.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct RequestId {
    base: Arc<str>,
}

impl RequestId {
    /// Generates a random id.
    pub fn random() -> Self {
        let bits: u128 = rand::rng().random();
        Self {
            base: format!("{bits:032x}").into(),
        }
    }

    /// Uses the caller's id, or generates one.
    ///
    /// # Errors
    /// A refusal that names the header if the id is empty, too long or has characters other than
    /// letters, digits, `-`, `_` and `.`.
    pub fn from_header(value: Option<&str>) -> Result<Self, Refusal> {
        match value {
            None => Ok(Self::random()),
            Some(text) if is_valid(text) => Ok(Self { base: text.into() }),
            Some(text) => Err(invalid(text)),
        }
    }

    /// The id given to the caller before a backend server was assigned.
    pub fn as_str(&self) -> &str {
        &self.base
    }

    /// The public id of the request once `server` runs it with the dispatch number `attempt`.
    pub fn on_server(&self, format: Format, attempt: u32, server: &ServerName) -> String {
        let format = match format {
            Format::Chat => CHAT_MARK,
            Format::Text => TEXT_MARK,
        };
        format!(
            "{}{SEPARATOR}{format}{attempt}{SEPARATOR}{server}",
            self.base
        )
    }

    /// Parses a public id.
    ///
    /// # Errors
    /// A refusal that names the id if it contains no server or invalid characters.
    pub fn parse_on_server(text: &str) -> Result<DispatchedRequestId, Refusal> {
        parse_dispatched(text).ok_or_else(|| invalid(text))
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

/// Parsed public id of a dispatched request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchedRequestId {
    /// The caller's part.
    pub id: RequestId,
    /// Format of the answer.
    pub format: Format,
    /// Number of the dispatch, from 1.
    pub attempt: u32,
    /// Backend server that runs the request.
    pub server: ServerName,
}

fn parse_dispatched(text: &str) -> Option<DispatchedRequestId> {
    let mut parts = text.splitn(3, SEPARATOR);
    let base = parts.next().filter(|base| is_valid(base))?;
    let dispatch = parts.next()?;
    let server = parts.next().filter(|server| !server.is_empty())?;
    let (format, attempt) = match dispatch.strip_prefix(CHAT_MARK) {
        Some(attempt) => (Format::Chat, attempt),
        None => (Format::Text, dispatch.strip_prefix(TEXT_MARK)?),
    };
    Some(DispatchedRequestId {
        id: RequestId { base: base.into() },
        format,
        attempt: attempt.parse().ok()?,
        server: ServerName::from(server),
    })
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
