//! Permits for requests to backend servers that named a limit on the requests of all VMs together.
//! The coordinator of the server's data centre grants them from one bucket for each server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use log::debug;

use super::dispatcher::Dispatcher;
use crate::backend::NamedLimits;
use crate::limits;
use crate::limits::ServerBucket;
use crate::limits::Shortage;
use crate::limits::server_limit_version;
use crate::types::AccountName;
use crate::types::ServerName;

/// Time within which the coordinators answer a request for a permit.
const PERMIT_TIMEOUT_MS: u64 = 500;
/// Shortest time after which a permit is requested again.
const MIN_RETRY_MS: u64 = 20;
/// Longest time after which a permit is requested again.
const MAX_RETRY_MS: u64 = 1_000;

/// Permits of one VM.
pub struct ServerPermits {
    named: Arc<NamedLimits>,
    limits: limits::Client,
    dispatcher: Arc<Dispatcher>,
    /// Bucket that each server's permits were last taken from.
    buckets: Mutex<HashMap<ServerName, AccountName>>,
    /// Incarnation of each server that was last used.
    incarnations: Mutex<HashMap<ServerName, u64>>,
}

impl ServerPermits {
    /// Creates the permits for the limits in `named`.
    pub fn new(
        named: Arc<NamedLimits>,
        limits: limits::Client,
        dispatcher: Arc<Dispatcher>,
    ) -> Self {
        Self {
            named,
            limits,
            dispatcher,
            buckets: Mutex::default(),
            incarnations: Mutex::default(),
        }
    }

    /// Limits that servers named.
    pub fn named(&self) -> &NamedLimits {
        &self.named
    }

    /// Takes the permit for a request to `server` if it named a limit. Returns false if there is none
    /// now, or the server rests; it then gets no requests of this VM for a while.
    pub async fn take(&self, server: &ServerName, address: SocketAddr, incarnation: u64) -> bool {
        self.forget_former_rest(server, address, incarnation);
        self.has_rested(server, address)
            && self.take_limited(server, address).await
            && self.has_rested(server, address)
    }

    /// Whether the server does not rest. If it does, it gets no requests until the rest has ended.
    fn has_rested(&self, server: &ServerName, address: SocketAddr) -> bool {
        let rest_ms = self.named.rest_left_ms(address);
        if rest_ms > 0 {
            self.dispatcher.rest(server, rest_ms);
        }
        rest_ms == 0
    }

    /// Forgets the rest that a former process of the server asked for.
    fn forget_former_rest(&self, server: &ServerName, address: SocketAddr, incarnation: u64) {
        let mut incarnations = self
            .incarnations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let former = incarnations.insert(server.clone(), incarnation);
        if former.is_some_and(|former| former != incarnation) {
            self.named.end_rest(address);
        }
    }

    async fn take_limited(&self, server: &ServerName, address: SocketAddr) -> bool {
        let Some(rate) = self.named.rate(address) else {
            self.set_bucket(server, None);
            return true;
        };
        let Some(data_centre) = self.dispatcher.data_centre_of(server) else {
            return true;
        };
        let bucket = ServerBucket {
            server: server.clone(),
            data_centre: data_centre.clone(),
            rate,
        };
        let bucket = bucket.account();
        self.set_bucket(server, Some(&bucket));
        self.limits
            .set_limits(bucket.clone(), server_limit_version(rate, data_centre, 1));
        // One request at a time asks for a permit.
        self.dispatcher.defer(server, PERMIT_TIMEOUT_MS);
        match self.limits.reserve(&bucket, 1).await {
            Ok(reservation) => {
                self.limits.settle(reservation, 1);
                self.dispatcher.defer(server, 0);
                true
            }
            Err(shortage) => {
                let retry_ms = match shortage {
                    Shortage::Later { retry_after_ms } => retry_after_ms,
                    Shortage::TooLarge { .. } | Shortage::UnknownAccount => MIN_RETRY_MS,
                };
                let longest_ms = (rate.interval_ms() / 2).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
                let retry_ms = retry_ms.clamp(MIN_RETRY_MS, longest_ms);
                debug!("limits: no permit for {server} at {rate}, next in {retry_ms} ms");
                self.dispatcher.defer(server, retry_ms);
                false
            }
        }
    }

    /// Removes the bucket of a former limit.
    fn set_bucket(&self, server: &ServerName, bucket: Option<&AccountName>) {
        let mut buckets = self.buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.get(server) == bucket {
            return;
        }
        let former = match bucket {
            Some(bucket) => buckets.insert(server.clone(), bucket.clone()),
            None => buckets.remove(server),
        };
        if let Some(former) = former {
            self.limits.remove(&former);
        }
    }
}
