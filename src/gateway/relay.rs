//! Passes event streams on to callers in complete events. A stream that ends inside an event has been
//! broken off: it is resumed on another server if it may be, and its caller's connection is closed
//! otherwise.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream;
use http::Response;
use http::header;
use http::response::Parts;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::answer::Body;
use super::answer::strip_connection_headers;
use super::attempt;
use super::attempt::AttemptOutcome;
use super::attempt::NextStep;
use super::exchange::Answer;
use super::exchange::Exchange;
use super::exchange::elapsed_ms;
use super::forward::AnswerConnection;
use super::forward::Reply;
use super::record::RequestRecord;
use crate::event_stream::EventBuffer;
use crate::event_stream::MAX_EVENT_BYTES;

/// Starts to pass a stream on.
pub(super) fn start(
    exchange: Exchange,
    reply: Reply,
    first: Bytes,
    record: RequestRecord,
) -> Response<Body> {
    let (parts, source) = Source::new(reply);
    pass_on(exchange, parts, source, &first, record)
}

/// The same for a stream that another entry VM passes on.
pub(super) fn start_relayed(
    exchange: Exchange,
    response: Response<Incoming>,
    record: RequestRecord,
) -> Response<Body> {
    let (parts, source) = Source::relayed(response);
    pass_on(exchange, parts, source, &Bytes::new(), record)
}

fn pass_on(
    exchange: Exchange,
    mut parts: Parts,
    source: Source,
    first: &Bytes,
    mut record: RequestRecord,
) -> Response<Body> {
    record.status = parts.status.as_u16();
    strip_connection_headers(&mut parts.headers);
    let mut relay = Relay {
        record: Some(record),
        source,
        events: EventBuffer::default(),
        ready: None,
        last_event: None,
        media_type: media_type(&parts),
        is_over: false,
        exchange,
    };
    relay.ready = relay.accept(first);
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next().await?;
        Some((chunk.map(Frame::data), relay))
    });
    Response::from_parts(parts, StreamBody::new(chunks).boxed_unsync())
}

/// Source of the events.
struct Source {
    body: Incoming,
    /// Connection to release once the body has ended; `None` if another entry VM passes the stream on.
    connection: Option<AnswerConnection>,
}

impl Source {
    fn new(reply: Reply) -> (Parts, Self) {
        let (parts, body) = reply.response.into_parts();
        let connection = Some(reply.connection);
        (parts, Self { body, connection })
    }

    fn relayed(response: Response<Incoming>) -> (Parts, Self) {
        let (parts, body) = response.into_parts();
        let connection = None;
        (parts, Self { body, connection })
    }
}

impl Source {
    fn delivered(&self, bytes: usize) {
        if let Some(connection) = &self.connection {
            connection.meter().delivered(bytes);
        }
    }
}

struct Relay {
    exchange: Exchange,
    record: Option<RequestRecord>,
    source: Source,
    events: EventBuffer,
    ready: Option<Bytes>,
    last_event: Option<u64>,
    /// Media type of the first answer.
    media_type: Option<String>,
    is_over: bool,
}

impl Relay {
    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        if self.is_over {
            return None;
        }
        loop {
            if let Some(chunk) = self.ready.take() {
                return Some(Ok(chunk));
            }
            // A silent server may still be processing the request, so only the deadline ends the
            // wait.
            let deadline = self.exchange.deadline;
            let cause = match timeout_at(deadline, self.source.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.source.delivered(data.len());
                        self.ready = self.accept(&data);
                    }
                    if self.events.partial_bytes() <= MAX_EVENT_BYTES {
                        continue;
                    }
                    "event_too_large"
                }
                Ok(None) if self.events.partial_bytes() == 0 => return self.finish(),
                Ok(None) => "stream_ends_in_event",
                Ok(Some(Err(_))) => "stream_cut_off",
                Err(_) => "stream_overdue",
            };
            if let Err(error) = self.resume(cause).await {
                return Some(Err(error));
            }
        }
    }

    /// Events that can be passed on now.
    fn accept(&mut self, data: &Bytes) -> Option<Bytes> {
        let complete = self.events.push(data)?;
        if let Some(connection) = &mut self.source.connection {
            connection.record_begun();
            self.exchange.record_origin(connection.software());
        }
        let dialect = &self.exchange.gateway.config.dialect;
        self.last_event = dialect.last_event(&complete.bytes).or(self.last_event);
        if let Some(record) = &mut self.record {
            record.events += complete.count;
        }
        Some(complete.bytes)
    }

    /// Resumes the stream on another server after the last event that was passed on.
    async fn resume(&mut self, cause: &'static str) -> io::Result<()> {
        if let Some(connection) = self.source.connection.take() {
            connection.record_broken();
        }
        if let Some(record) = &mut self.record {
            record.sends.push(cause);
            if record.events == 0 {
                record.broken = Some(Arc::clone(&self.exchange.template.features));
            }
        }
        let is_overdue = Instant::now() >= self.exchange.deadline;
        let next = attempt::next(&self.exchange.history, AttemptOutcome::Lost);
        let may_resume = self.last_event.is_some() && !is_overdue && next == NextStep::Retry;
        if !may_resume {
            return Err(self.fail(cause));
        }
        if !self.exchange.take_retry().await {
            self.note("retry_budget_used_up");
            return Err(self.fail(cause));
        }
        self.events.restart();
        let deadline = self.exchange.deadline;
        let mut record = self.record.take().unwrap_or_default();
        let answering = self.exchange.resume(self.last_event, &mut record);
        let obtained = timeout_at(deadline, answering).await;
        self.record = Some(record);
        match obtained {
            Ok(Ok(Answer::Stream(reply, first))) => {
                let (parts, source) = Source::new(*reply);
                self.go_on(&parts, source, &first)
            }
            Ok(Ok(Answer::RelayedStream(response))) => {
                let (parts, source) = Source::relayed(response);
                self.go_on(&parts, source, &Bytes::new())
            }
            Ok(Ok(Answer::Complete(_))) => Err(self.fail("stream_not_resumed")),
            Ok(Err(refusal)) => {
                self.note(refusal.reason);
                Err(self.fail("stream_not_resumed"))
            }
            Err(_) => {
                self.note("not_resumed_in_time");
                Err(self.fail("stream_not_resumed"))
            }
        }
    }

    /// Adds to the log line why the stream does not go on.
    fn note(&mut self, reason: &'static str) {
        if let Some(record) = &mut self.record {
            record.sends.push(reason);
        }
    }

    /// Continues with the answer of another server, unless it is no stream like the first one: an error
    /// may come with a successful status.
    fn go_on(&mut self, parts: &Parts, source: Source, first: &Bytes) -> io::Result<()> {
        if media_type(parts) != self.media_type {
            return Err(self.fail("resumed_with_other_type"));
        }
        self.source = source;
        self.ready = self.accept(first);
        Ok(())
    }

    fn fail(&mut self, reason: &'static str) -> io::Error {
        self.is_over = true;
        if let Some(record) = &mut self.record {
            record.reason = Some(reason);
        }
        self.log_end();
        io::Error::other(reason)
    }

    fn finish(&mut self) -> Option<io::Result<Bytes>> {
        self.is_over = true;
        if let Some(connection) = self.source.connection.take() {
            connection.finish(&self.exchange.gateway);
        }
        self.exchange.record_stream_duration();
        self.log_end();
        None
    }

    fn log_end(&mut self) {
        if let Some(mut record) = self.record.take() {
            record.total_ms = elapsed_ms(self.exchange.started);
            record.ends_in_event = self.events.partial_bytes() > 0;
            self.exchange.gateway.log_request(&record);
        }
    }
}

/// Media type of an answer, without its parameters.
fn media_type(parts: &Parts) -> Option<String> {
    let value = parts.headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let media_type = value.split(';').next().unwrap_or_default();
    Some(media_type.trim().to_ascii_lowercase())
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(record) = &mut self.record {
            record.reason = Some("caller_left");
        }
        self.log_end();
    }
}
