//! Reader of streamed answers.

use futures::StreamExt;
use http::StatusCode;
use hyper::body::Incoming;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::HttpClient;
use serde_json::Value;
use sse_stream::SseStream;

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// With the event that ends a complete answer.
    Done,
    /// With an error event.
    Error(Value),
    /// The connection ended without either.
    Cut,
}

/// A streamed answer that is being read.
pub struct Stream {
    /// Id of the request, with which the stream can be resumed.
    pub id: String,
    /// Text received so far.
    pub text: String,
    /// Id of the last event with an id.
    pub last_event_id: Option<u64>,
    /// How the stream ended.
    pub end: Option<End>,
    events: SseStream<Incoming>,
}

impl Stream {
    /// Sends `call`, whose answer must be a stream.
    pub async fn open(client: &HttpClient, call: Call) -> Self {
        let response = client.open(call).await.expect("the VM answers");
        assert_eq!(response.status(), StatusCode::OK);
        Self {
            id: String::new(),
            text: String::new(),
            last_event_id: None,
            end: None,
            events: SseStream::new(response.into_body()),
        }
    }

    /// Reads events until `tokens` tokens were read in total or the stream ended.
    pub async fn read(&mut self, tokens: u64) {
        while self.end.is_none() && self.last_event_id.is_none_or(|id| id + 1 < tokens) {
            self.read_event().await;
        }
    }

    /// Reads to the end.
    pub async fn read_all(mut self) -> (String, End) {
        loop {
            if let Some(end) = self.end {
                return (self.text, end);
            }
            self.read_event().await;
        }
    }

    async fn read_event(&mut self) {
        let Some(Ok(event)) = self.events.next().await else {
            self.end = Some(End::Cut);
            return;
        };
        let data = event.data.unwrap_or_default();
        if data == "[DONE]" {
            self.end = Some(End::Done);
            return;
        }
        let value: Value = serde_json::from_str(&data).expect("events are JSON");
        if event.event.as_deref() == Some("error") {
            self.end = Some(End::Error(value["error"].clone()));
            return;
        }
        let id = value["id"].as_str().expect("each event names its request");
        assert!(self.id.is_empty() || self.id == id, "{id}");
        id.clone_into(&mut self.id);
        let text = value["choices"][0]["text"].as_str();
        self.text.push_str(text.unwrap_or_default());
        self.last_event_id = event.id.and_then(|id| id.parse().ok());
    }
}
