//! Limit that a stand-in names on its requests, the times at which requests arrived, and whether they
//! kept the limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::header;

use super::server::Body;
use crate::backend::REQUEST_LIMIT;

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after the first answer with a limit in which VMs need not keep it yet.
const SETTLE: Duration = Duration::from_millis(500);
/// Requests that may arrive in a window, as a multiple of what the limit allows.
const TOLERANCE: f64 = 1.5;
/// Requests that may arrive in a window in addition.
const SPARE_REQUESTS: f64 = 5.0;
/// Number of arrivals that are kept.
const MAX_ARRIVALS: usize = 100_000;

/// Limit of one stand-in.
#[derive(Debug)]
pub(super) struct RequestLimit {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Requests per second; 0 for no limit.
    per_s: f64,
    /// When the first answer named the limit, and when the first answer to each VM did.
    named: Option<Instant>,
    told: HashMap<String, Instant>,
    arrivals: Vec<Instant>,
    /// Arrivals in the current window from VMs that had been told of the limit.
    from_told: VecDeque<Instant>,
}

impl State {
    /// Records a request of `vm`. Returns whether more requests than the limit allows arrived in the
    /// window that ends now, from VMs that had been told of it.
    fn record(&mut self, vm: &str, now: Instant) -> bool {
        if self.arrivals.len() < MAX_ARRIVALS {
            self.arrivals.push(now);
        }
        let told = self.told.get(vm);
        if told.is_none_or(|told| now.duration_since(*told) < SETTLE) {
            return false;
        }
        self.from_told.push_back(now);
        while let Some(first) = self.from_told.front()
            && now.duration_since(*first) >= WINDOW
        {
            self.from_told.pop_front();
        }
        let is_binding = |named: Instant| now.duration_since(named) >= WINDOW;
        let allowed = TOLERANCE * self.per_s * WINDOW.as_secs_f64() + SPARE_REQUESTS;
        self.named.is_some_and(is_binding) && self.from_told.len() as f64 > allowed
    }
}

impl RequestLimit {
    /// Creates a limit of `per_s` requests per second, or none if it is 0.
    pub(super) fn new(per_s: f64) -> Self {
        Self {
            state: Mutex::new(State {
                per_s,
                named: None,
                told: HashMap::new(),
                arrivals: Vec::new(),
                from_told: VecDeque::new(),
            }),
        }
    }

    /// Changes the limit.
    pub(super) fn set(&self, per_s: f64) {
        let mut state = self.lock();
        state.per_s = per_s;
        state.named = None;
        state.told.clear();
        state.from_told.clear();
    }

    /// Records a request of `vm`. Returns whether more requests than the limit allows arrived.
    pub(super) fn record_arrival(&self, vm: &str) -> bool {
        self.lock().record(vm, Instant::now())
    }

    /// When requests arrived.
    pub(super) fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Adds the limit to an answer to `vm`.
    pub(super) fn name_in(&self, mut answer: Response<Body>, vm: &str) -> Response<Body> {
        let mut state = self.lock();
        let per_s = state.per_s;
        if per_s > 0.0
            && let Ok(value) = HeaderValue::from_str(&per_s.to_string())
        {
            let now = Instant::now();
            state.named.get_or_insert(now);
            state.told.entry(vm.to_owned()).or_insert(now);
            answer.headers_mut().insert(REQUEST_LIMIT, value);
        }
        answer
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The VM that sent a request; empty if it is not known.
pub(super) fn sender<B>(request: &Request<B>) -> String {
    let via = request.headers().get(header::VIA);
    let via = via.and_then(|value| value.to_str().ok());
    via.unwrap_or_default().to_owned()
}
