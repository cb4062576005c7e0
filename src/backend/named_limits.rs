//! Limits that backend servers name in their answers on the requests of all VMs together, and rests that
//! they ask this VM for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;

use http::Response;
use log::info;
use log::warn;

use super::REQUEST_LIMIT;
use crate::limits::AskedRest;
use crate::limits::ServerLimitState;
use crate::limits::ServerRest;
use crate::types::Clock;
use crate::types::MonoMs;
use crate::types::RequestRate;

/// Limits and rests by address of the server.
#[derive(Debug)]
pub struct NamedLimits {
    clock: Clock,
    known: Mutex<HashMap<SocketAddr, ServerLimitState>>,
    rests: Mutex<HashMap<SocketAddr, ServerRest>>,
}

impl NamedLimits {
    /// Creates a table without limits.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            known: Mutex::default(),
            rests: Mutex::default(),
        }
    }

    /// Time until the server at `address` ends the rest that it asked for; 0 if it does not rest.
    pub fn rest_left_ms(&self, address: SocketAddr) -> u64 {
        let now = self.now();
        let mut rests = self.rests.lock().unwrap_or_else(PoisonError::into_inner);
        rests.retain(|_, rest| rest.left_ms(now) > 0);
        rests.get(&address).map_or(0, |rest| rest.left_ms(now))
    }

    /// Forgets the rest of a former process at `address`.
    pub fn end_rest(&self, address: SocketAddr) {
        let mut rests = self.rests.lock().unwrap_or_else(PoisonError::into_inner);
        rests.remove(&address);
    }

    fn observe_rest<B>(&self, address: SocketAddr, answer: &Response<B>) {
        match AskedRest::read(answer.status(), answer.headers(), SystemTime::now()) {
            AskedRest::None => {}
            AskedRest::ForMs(ms) => {
                info!("limits: server at {address} asks for {ms} ms of rest");
                let mut rests = self.rests.lock().unwrap_or_else(PoisonError::into_inner);
                rests.entry(address).or_default().ask(ms, self.now());
            }
            AskedRest::Invalid(text) => {
                warn!("limits: server at {address} asks for the rest {text:?}, not a time");
            }
        }
    }

    /// Current time on the clock of the observations.
    pub fn now(&self) -> MonoMs {
        self.clock.mono()
    }

    /// The limit of the server at `address`, if it named one.
    pub fn rate(&self, address: SocketAddr) -> Option<RequestRate> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(&address)?.rate()
    }

    /// Applies what the answer to a call that was sent at `sent` states. Every answer may name a
    /// limit, but only a success shows that there is none any more. An answer that turns the call away
    /// may ask for rest.
    pub fn on_answer<B>(&self, address: SocketAddr, answer: &Response<B>, sent: MonoMs) {
        self.observe_rest(address, answer);
        let named = answer.headers().get(REQUEST_LIMIT);
        let (rate, observed) = match named.map(|value| value.to_str().unwrap_or_default()) {
            Some(text) => match RequestRate::parse(text) {
                Some(rate) => (Some(rate), self.now()),
                None => {
                    warn!("limits: server at {address} named the limit {text:?}, not a rate");
                    return;
                }
            },
            None if answer.status().is_success() => (None, sent),
            None => return,
        };
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if rate.is_none() && !known.contains_key(&address) {
            return;
        }
        if !known.entry(address).or_default().observe(rate, observed) {
            return;
        }
        match rate {
            Some(rate) => info!("limits: server at {address} takes {rate} from all VMs together"),
            None => {
                known.remove(&address);
                info!("limits: server at {address} names no limit any more");
            }
        }
    }
}
