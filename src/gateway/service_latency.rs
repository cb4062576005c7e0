//! Average processing times of a service, measured on its answers.

/// Weight of one answer in the averages.
pub(super) const AVERAGE_WEIGHT: f64 = 0.1;
/// Request duration assumed before the first answer, in milliseconds.
const INITIAL_SERVICE_MS: f64 = 100.0;
/// Time per prompt token assumed before the first answer, in milliseconds.
const INITIAL_TOKEN_MS: f64 = 0.03;
/// Time to the first event that is not spent on prompts: connection set-up, batch step and network.
const OVERHEAD_MS: f64 = 20.0;
/// Minimum number of prompt tokens for a meaningful measurement.
const MIN_TOKENS: f64 = 200.0;

/// Averages of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLatency {
    /// Duration of a request, in milliseconds.
    pub(super) service_ms: f64,
    /// Processing time per prompt token, in milliseconds.
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
    /// Updates the average request duration.
    pub(super) fn record_duration(&mut self, took_ms: f64) {
        self.service_ms += AVERAGE_WEIGHT * (took_ms - self.service_ms);
    }

    /// Updates the time per prompt token. `took_ms` is the time to the first event and `tokens` the
    /// number of prompt tokens that were waiting, including those of the request itself.
    pub(super) fn record_first_event(&mut self, took_ms: f64, tokens: f64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let measured = (took_ms - OVERHEAD_MS).max(0.0) / tokens;
        self.token_ms += AVERAGE_WEIGHT * (measured - self.token_ms);
    }
}
