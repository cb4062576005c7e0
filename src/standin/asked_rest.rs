//! Rest that a stand-in asks of the VMs that it turns away, and whether they kept it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::HeaderValue;
use http::Response;
use http::header;

use super::server::Body;

/// Time after an answer that asks for rest in which requests may still be on their way.
const SETTLE: Duration = Duration::from_millis(500);

/// Rest of one stand-in.
#[derive(Debug, Default)]
pub(super) struct AskedRest {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The rest that each answer asks for; zero for none.
    rest: Duration,
    /// Requests that were turned away, with the VMs that sent them.
    turned_away: Vec<(String, Instant)>,
}

impl AskedRest {
    /// Changes the rest; with zero, requests are not turned away any more.
    pub(super) fn set(&self, rest: Duration) {
        self.lock().rest = rest;
    }

    /// Records a request of `vm`. Returns whether it is turned away.
    pub(super) fn turns_away(&self, vm: &str) -> bool {
        let mut state = self.lock();
        let turns_away = !state.rest.is_zero();
        if turns_away {
            state.turned_away.push((vm.to_owned(), Instant::now()));
        }
        turns_away
    }

    /// Adds the rest to an answer that turns a request away.
    pub(super) fn ask_in(&self, mut answer: Response<Body>) -> Response<Body> {
        let seconds = self.lock().rest.as_secs_f64().to_string();
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            answer.headers_mut().insert(header::RETRY_AFTER, value);
        }
        answer
    }

    /// Largest number of requests of one VM within a rest that it had been asked for.
    pub(super) fn most_in_rest(&self) -> usize {
        let state = self.lock();
        let within = |(vm, asked): &(String, Instant)| {
            let rest = *asked + SETTLE..*asked + state.rest;
            let again = state.turned_away.iter();
            again
                .filter(|(other, at)| other == vm && rest.contains(at))
                .count()
        };
        state.turned_away.iter().map(within).max().unwrap_or(0)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
