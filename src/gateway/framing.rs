//! How the end of an answer's body is marked.

use http::HeaderMap;
use http::header;
use serde::Serialize;

/// Marks the end of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Framing {
    /// A content length.
    Length,
    /// The last chunk.
    Chunks,
    /// The end of the connection, which also comes when a server breaks off.
    Connection,
}

impl Framing {
    pub(super) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunks
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::Connection
        }
    }
}
