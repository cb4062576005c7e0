//! Parsing of structured logs. Malformed and truncated lines are counted.

use std::io;
use std::io::BufRead;

use serde::Deserialize;
use serde_json::Value;

use crate::types::AccountName;
use crate::types::ModelName;
use crate::types::ServerName;

/// A finished request, as logged by its entry VM.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestLine {
    /// Unix time of its end in milliseconds.
    pub at_unix_ms: u64,
    /// Request id given by the caller.
    #[serde(default)]
    pub request_id: Option<String>,
    /// Name of the route.
    #[serde(default)]
    pub route: Option<String>,
    /// Client account.
    #[serde(default)]
    pub account: Option<AccountName>,
    /// Model or adapter.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// Status sent to the caller.
    pub status: u16,
    /// Reason, unless a backend server's answer was passed on completely.
    #[serde(default)]
    pub reason: Option<String>,
    /// Latency objective of its route in milliseconds; 0 if the line does not contain it.
    #[serde(default)]
    pub target_ms: u64,
    /// Time spent waiting, in milliseconds.
    #[serde(default)]
    pub waited_ms: u64,
    /// Time to the head of the answer, in milliseconds.
    #[serde(default)]
    pub first_ms: u64,
    /// Time to the end, in milliseconds.
    #[serde(default)]
    pub total_ms: u64,
}

impl RequestLine {
    /// Unix time of its arrival in milliseconds.
    pub fn arrived_unix_ms(&self) -> u64 {
        self.at_unix_ms.saturating_sub(self.total_ms)
    }
}

/// An engine's answer to an order, as logged by the controller that sent the order.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderLine {
    /// Unix time of the answer in milliseconds.
    pub at_unix_ms: u64,
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub model: ModelName,
    /// Whether the order was to load the adapter; otherwise it was to unload it.
    pub load: bool,
    /// Outcome that the engine reported.
    pub outcome: String,
}

/// Parsed lines of all logs.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    /// Finished requests.
    pub requests: Vec<RequestLine>,
    /// Answered orders.
    pub orders: Vec<OrderLine>,
    /// Number of lines of other kinds.
    pub other: usize,
    /// Number of lines that cannot be parsed.
    pub malformed: usize,
    /// Number of lines that the processes suppressed or dropped.
    pub left_out: u64,
}

impl LogLines {
    fn add(&mut self, line: &[u8]) {
        let Ok(value) = serde_json::from_slice::<Value>(line) else {
            self.malformed += 1;
            return;
        };
        let left_out = value.get("left_out").and_then(Value::as_u64);
        self.left_out += left_out.unwrap_or(0);
        let event = value.get("event").and_then(Value::as_str);
        match event.map(str::to_owned).as_deref() {
            Some("request") => match serde_json::from_value(value) {
                Ok(request) => self.requests.push(request),
                Err(_) => self.malformed += 1,
            },
            Some("order") => match serde_json::from_value(value) {
                Ok(order) => self.orders.push(order),
                Err(_) => self.malformed += 1,
            },
            Some("lines_lost") => {
                let lost = value.get("lines").and_then(Value::as_u64);
                self.left_out += lost.unwrap_or(0);
            }
            Some(_) => self.other += 1,
            None => self.malformed += 1,
        }
    }
}

/// Adds the lines of a log to `lines`.
///
/// # Errors
/// The log cannot be read.
pub fn read(log: impl BufRead, lines: &mut LogLines) -> io::Result<()> {
    for line in log.split(b'\n') {
        let line = line?;
        if !line.trim_ascii().is_empty() {
            lines.add(&line);
        }
    }
    Ok(())
}
