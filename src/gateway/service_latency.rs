//! How fast the servers of a service work, learned from their answers.

/// Weight of one answer in the averages.
pub(super) const AVERAGE_WEIGHT: f64 = 0.1;
/// Service time assumed before the first answer, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 100.0;
/// Time to read a token of a prompt assumed before the first answer, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.03;
/// Time to a first event that is not spent on prompts: connection, batch step and way.
const OVERHEAD_MS: f64 = 20.0;
/// Least prompt tokens whose time tells something of the pace.
const MIN_TOKENS: f64 = 200.0;

/// Averages of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLatency {
    /// Time that a server needs for a request.
    pub(super) service_ms: f64,
    /// Time that a server needs to read a token of a prompt.
    pub(super) token_ms: f64,
}

impl Default for ServiceLatency {
    fn default() -> Self {
        Self {
            service_ms: INITIAL_SERVICE_MS,
            token_ms: INITIAL_TOKEN_MS,
        }
    }
}

impl ServiceLatency {
    /// Takes the time that a request needed.
    pub(super) fn record_duration(&mut self, took_ms: f64) {
        self.service_ms += AVERAGE_WEIGHT * (took_ms - self.service_ms);
    }

    /// Takes the time to a first event while `tokens` waited there, its own prompt included.
    pub(super) fn record_first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let measured = (took_ms - OVERHEAD_MS).max(0.0) / tokens;
        self.token_ms += AVERAGE_WEIGHT * (measured - self.token_ms);
    }
}
