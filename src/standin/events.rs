//! Parser of server-sent events.

use std::collections::VecDeque;

use http_body_util::BodyExt;
use hyper::body::Incoming;

/// One server-sent event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// The `id` field, if set.
    pub id: Option<String>,
    /// The `data` lines, joined by line feeds.
    pub data: String,
}

/// Incremental parser that accepts a byte stream in chunks of any size.
#[derive(Debug, Default)]
pub struct EventParser {
    line: Vec<u8>,
    event: Event,
    has_data: bool,
    ready: VecDeque<Event>,
}

impl EventParser {
    /// Parses the next bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        for &byte in bytes {
            if byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line);
            } else {
                self.line.push(byte);
            }
        }
    }

    /// The next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }

    fn take_line(&mut self, line: &[u8]) {
        let text = String::from_utf8_lossy(line);
        let text = text.trim_end_matches('\r');
        if text.is_empty() {
            let event = std::mem::take(&mut self.event);
            if std::mem::take(&mut self.has_data) {
                self.ready.push_back(event);
            }
            return;
        }
        let (field, value) = text.split_once(':').unwrap_or((text, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => self.event.id = Some(value.to_owned()),
            "data" => self.take_data(value),
            _ => {}
        }
    }

    fn take_data(&mut self, value: &str) {
        if self.has_data {
            self.event.data.push('\n');
        }
        self.event.data.push_str(value);
        self.has_data = true;
    }
}

/// Reads the events of a response body.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    parser: EventParser,
}

impl EventReader {
    /// A reader of `body`.
    pub fn new(body: Incoming) -> Self {
        Self {
            body,
            parser: EventParser::default(),
        }
    }

    /// The next event; `None` when the body ends or its connection breaks.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(event) = self.parser.next_event() {
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Some(bytes) = frame.data_ref() {
                self.parser.push(bytes);
            }
        }
    }
}
