//! LogLines of structured logs. Damaged and truncated ones are counted.

use std::io;
use std::io::BufRead;

use serde::Deserialize;
use serde_json::Value;

use crate::types::AccountName;
use crate::types::ModelName;
use crate::types::ServerName;

/// A request that has ended, as its entry VM logged it.
#[derive(Clone, Debug, Deserialize)]
pub struct RequestLine {
    /// Wall clock of its end.
    pub at_unix_ms: u64,
    /// Id that the caller gave.
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
    /// Status that the caller got.
    pub status: u16,
    /// Why, if no backend server's answer was passed on whole.
    #[serde(default)]
    pub reason: Option<String>,
    /// Objective of its route; 0 if the line does not tell it.
    #[serde(default)]
    pub target_ms: u64,
    /// Time spent on waiting.
    #[serde(default)]
    pub waited_ms: u64,
    /// Time until the head of the answer.
    #[serde(default)]
    pub first_ms: u64,
    /// Time until the end.
    #[serde(default)]
    pub total_ms: u64,
}

impl RequestLine {
    /// Wall clock of its arrival.
    pub fn arrived_unix_ms(&self) -> u64 {
        self.at_unix_ms.saturating_sub(self.total_ms)
    }
}

/// An engine's answer to an order, as the holder logged it.
#[derive(Clone, Debug, Deserialize)]
pub struct OrderLine {
    /// Wall clock of the answer.
    pub at_unix_ms: u64,
    /// The engine.
    pub server: ServerName,
    /// The adapter.
    pub model: ModelName,
    /// Whether it was to be loaded or dropped.
    pub load: bool,
    /// What the engine said.
    pub outcome: String,
}

/// The lines that count, of all logs together.
#[derive(Clone, Debug, Default)]
pub struct LogLines {
    /// Requests that have ended.
    pub requests: Vec<RequestLine>,
    /// Orders that were answered.
    pub orders: Vec<OrderLine>,
    /// LogLines of other kinds.
    pub other: usize,
    /// LogLines that cannot be read.
    pub malformed: usize,
    /// LogLines that the processes left out or lost.
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
