//! Rest that a backend server asks of one VM when it turns a request away: for a stated time, it
//! wants no more requests from this VM.

use std::sync::Arc;
use std::time::SystemTime;

use http::HeaderMap;
use http::StatusCode;
use http::header;

use crate::types::MonoMs;

/// Longest rest that is kept. A server that states more gets a request after this time.
pub const MAX_REST_MS: u64 = 3_600_000;
/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// What an answer states about a rest of its server.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum AskedRest {
    /// The answer asks for no rest.
    #[default]
    None,
    /// The server wants no requests for this time, in milliseconds.
    ForMs(u64),
    /// The value is neither a number of seconds nor a date.
    Invalid(Arc<str>),
}

impl AskedRest {
    /// Reads `Retry-After` of an answer that turns a request away: seconds, also decimal ones, or a
    /// date. If the header occurs more than once, the longest rest counts.
    pub fn read(status: StatusCode, headers: &HeaderMap, now: SystemTime) -> Self {
        let turns_away = matches!(
            status,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
        );
        if !turns_away {
            return Self::None;
        }
        let values = headers.get_all(header::RETRY_AFTER).iter();
        let stated = values.map(|value| {
            let text = String::from_utf8_lossy(value.as_bytes());
            match rest_ms(text.trim(), now) {
                Some(ms) => Self::ForMs(ms),
                None => Self::Invalid(Arc::from(text)),
            }
        });
        stated.fold(Self::None, Self::longer)
    }

    fn longer(self, other: Self) -> Self {
        match (&self, &other) {
            (Self::ForMs(first), Self::ForMs(second)) if first >= second => self,
            (Self::ForMs(_), Self::Invalid(_)) => self,
            _ => other,
        }
    }
}

/// Reads a rest; `None` if it is neither a number of seconds nor a date.
fn rest_ms(text: &str, now: SystemTime) -> Option<u64> {
    if let Ok(seconds) = text.parse::<f64>() {
        let is_valid = seconds.is_finite() && seconds >= 0.0;
        return is_valid.then(|| ((seconds * MS_PER_S).ceil() as u64).min(MAX_REST_MS));
    }
    let until = httpdate::parse_http_date(text).ok()?;
    let rest = until.duration_since(now).unwrap_or_default();
    Some((rest.as_millis() as u64).min(MAX_REST_MS))
}

/// Time until which a server has asked for rest.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerRest {
    until: MonoMs,
}

impl ServerRest {
    /// Applies a rest of `ms` that the server asked for at `now`. A longer one that it asked for
    /// before stays in force.
    pub fn ask(&mut self, ms: u64, now: MonoMs) {
        self.until = self.until.max(now.plus(ms));
    }

    /// Time until the server takes requests again; 0 if it takes them now.
    pub fn left_ms(&self, now: MonoMs) -> u64 {
        self.until.since(now)
    }
}
