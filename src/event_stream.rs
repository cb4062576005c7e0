//! Boundaries of server-sent events. A body without a length or chunks ends with its connection, also
//! when its server breaks off, so only its events tell whether it is complete.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::header;

/// Largest event that is buffered until it is complete. An event holds a few tokens.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

const MEDIA_TYPE: &str = "text/event-stream";

/// Complete events, with the empty lines that end them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CompleteEvents {
    /// Bytes of the events.
    pub bytes: Bytes,
    /// Number of events.
    pub count: u64,
}

/// Splits a stream after its complete events. Lines end with LF, CRLF or CR.
#[derive(Debug)]
pub struct EventBuffer {
    /// Bytes after the last complete event.
    partial: BytesMut,
    /// Whether the current line has no bytes so far.
    is_line_empty: bool,
    is_after_cr: bool,
}

impl Default for EventBuffer {
    fn default() -> Self {
        Self {
            partial: BytesMut::new(),
            is_line_empty: true,
            is_after_cr: false,
        }
    }
}

impl EventBuffer {
    /// Adds the next bytes of the stream and returns the events that are complete now.
    pub fn push(&mut self, data: &[u8]) -> Option<CompleteEvents> {
        let offset = self.partial.len();
        let mut end = 0;
        let mut count = 0;
        for (at, byte) in data.iter().enumerate() {
            let is_second_of_crlf = *byte == b'\n' && self.is_after_cr;
            self.is_after_cr = *byte == b'\r';
            let next = offset + at + 1;
            match byte {
                // The CR before has ended an event.
                b'\n' if is_second_of_crlf && end + 1 == next => end = next,
                b'\n' if is_second_of_crlf => {}
                b'\n' | b'\r' => {
                    if self.is_line_empty {
                        end = next;
                        count += 1;
                    }
                    self.is_line_empty = true;
                }
                _ => self.is_line_empty = false,
            }
        }
        self.partial.extend_from_slice(data);
        let bytes = (end > 0).then(|| self.partial.split_to(end).freeze())?;
        Some(CompleteEvents { bytes, count })
    }

    /// Number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Starts again with the answer of another server, after the last complete event.
    pub fn restart(&mut self) {
        *self = Self::default();
    }
}

/// Whether a body that is declared as a stream of events ends inside one: its server broke off.
pub fn is_broken_off(headers: &HeaderMap, body: &[u8]) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE);
    let is_stream =
        content_type.is_some_and(|value| value.as_bytes().starts_with(MEDIA_TYPE.as_bytes()));
    if !is_stream {
        return false;
    }
    let mut events = EventBuffer::default();
    events.push(body);
    events.partial_bytes() > 0
}
