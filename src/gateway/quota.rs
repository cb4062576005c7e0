//! Token limits of the client accounts, enforced by one token bucket per account for the whole
//! fleet.
//!
//! While the bucket cannot be reached, the VM grants a share of the rate by itself
//! ([`OutageAllowance`]). The total over all VMs then stays within the tolerance that the operator
//! allows on the rate.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use rand::RngExt;

use crate::limits::BorrowPeers;
use crate::limits::Client;
use crate::limits::ClientConfig;
use crate::limits::History;
use crate::limits::LimitVersion;
use crate::limits::Reservation;
use crate::limits::RetryLimit;
use crate::limits::Shortage;
use crate::limits::WHOLE_PPM;
use crate::limits::retry_bucket;
use crate::limits::server_bucket;
use crate::limits::server_limit_version;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::Tokens;
use crate::types::VmName;

use super::deployment::Account;
use super::deployment::Deployment;
use super::outage_allowance::BucketState;
use super::outage_allowance::OutageAllowance;

/// Data centre name under which an account's only bucket is stored.
const FLEET: &str = "fleet";
/// Time that buckets which start empty need to fill sufficiently.
const FILL_MS: u64 = 1_500;
/// Thousandths of a request per request: unit of the outage allowance of a server's limit.
const MILLI_PER_REQUEST: Tokens = 1_000;
/// Delay before a permit is requested again for a limit that is not known here any more.
const UNKNOWN_BUCKET_RETRY_MS: u64 = 200;
/// Number of VMs assumed before it is known.
const UNKNOWN_VMS: u32 = 16;

/// Name of the only share of an account's limits.
pub fn fleet_share() -> DataCentre {
    DataCentre::new(FLEET)
}

/// The limits of an account, with a single share.
pub fn limit_version(account: &Account, revision: u64) -> LimitVersion {
    LimitVersion {
        revision,
        rate_tokens_per_s: account.rate_per_s,
        burst_tokens: account.burst,
        shares_ppm: BTreeMap::from([(fleet_share(), WHOLE_PPM)]),
    }
}

/// The history of an account's limits, with a single share.
pub fn account_limit_history(account: &Account, revision: u64) -> History {
    History::new(limit_version(account, revision))
}

/// Tokens granted to a request. They count as used if this is dropped.
#[derive(Debug)]
pub enum TokenGrant {
    /// The account has no limit.
    Unlimited,
    /// Granted by the fleet's bucket.
    Reserved(Reservation),
    /// Granted by the VM itself while the bucket is unavailable.
    Local,
}

/// Whether the fleet's buckets can be reached. Clones share the state.
#[derive(Clone, Debug, Default)]
pub struct BucketReachability {
    is_reached: Arc<AtomicBool>,
    /// Whether controllers grant shares of the rate in place of the buckets.
    is_stand_in_active: Arc<AtomicBool>,
    /// Uptime from which the buckets have filled after a move to another VM.
    filled_ms: Arc<AtomicU64>,
    /// Whether the VM never grants tokens by itself.
    local_allowance_disabled: Arc<AtomicBool>,
    /// Time since which no VM holds the buckets, as far as this one can tell.
    unavailable_since: Arc<Mutex<Option<MonoMs>>>,
}

impl BucketReachability {
    /// Sets whether the last request was answered.
    pub fn set(&self, is_reached: bool) {
        self.is_reached.store(is_reached, Ordering::Relaxed);
    }

    /// Sets whether controllers grant shares of the rates because no VM holds the buckets.
    pub fn set_stand_in_active(&self, is_stand_in_active: bool) {
        self.is_stand_in_active
            .store(is_stand_in_active, Ordering::Relaxed);
    }

    /// Restricts the VM to tokens granted by the buckets.
    pub fn disable_local_allowance(&self) {
        self.local_allowance_disabled.store(true, Ordering::Relaxed);
    }

    /// Records that the buckets moved to another VM at `now`. They are empty at first.
    pub fn on_bucket_moved(&self, now: MonoMs) {
        let filled = now.plus(FILL_MS);
        self.filled_ms.store(filled.0, Ordering::Relaxed);
    }

    /// Sets whether the buckets are unavailable to all VMs.
    pub fn set_bucket_unavailable(&self, is_unavailable: bool, now: MonoMs) {
        let mut since = self.unavailable_since();
        *since = is_unavailable.then(|| since.unwrap_or(now));
    }

    fn unavailable_since(&self) -> MutexGuard<'_, Option<MonoMs>> {
        let locked = self.unavailable_since.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn bucket_state(&self) -> BucketState {
        self.unavailable_since()
            .map_or(BucketState::PossiblyAvailable, BucketState::Unavailable)
    }

    /// Whether neither the buckets nor a controller grant tokens to this VM, and it may grant
    /// tokens by itself.
    fn may_allocate_locally(&self, now: MonoMs) -> bool {
        let is_stand_in_active = self.is_stand_in_active.load(Ordering::Relaxed);
        let may_allocate = !self.local_allowance_disabled.load(Ordering::Relaxed);
        !self.is_reached(now) && !is_stand_in_active && may_allocate
    }

    fn is_reached(&self, now: MonoMs) -> bool {
        let is_filled = now.0 >= self.filled_ms.load(Ordering::Relaxed);
        is_filled && self.is_reached.load(Ordering::Relaxed)
    }
}

/// Access of one VM to the token limits of the accounts.
pub struct Quota {
    client: Client,
    clock: Clock,
    reachability: BucketReachability,
    entry_vms: AtomicU32,
    allowances: Mutex<HashMap<AccountName, OutageAllowance>>,
}

impl Quota {
    /// Creates the quota without accounts. Must be called in a tokio runtime.
    pub fn spawn(
        vm: VmName,
        incarnation: u64,
        clock: Clock,
        peers: Arc<dyn BorrowPeers>,
        reachability: BucketReachability,
    ) -> Self {
        let config = ClientConfig {
            vm,
            incarnation,
            data_centre: fleet_share(),
            clock,
        };
        Self {
            client: Client::spawn(config, peers),
            clock,
            reachability,
            entry_vms: AtomicU32::new(UNKNOWN_VMS),
            allowances: Mutex::default(),
        }
    }

    /// Applies the limits of a configuration and removes accounts that are gone.
    pub fn set_deployment(&self, new: &Deployment, old: Option<&Deployment>) {
        for account in new.accounts.values() {
            self.set_account(account, new.version);
        }
        let gone = old.into_iter().flat_map(|old| old.accounts.keys());
        for name in gone.filter(|name| !new.accounts.contains_key(*name)) {
            self.client.remove(name);
            self.allowances().remove(name);
        }
    }

    /// Applies the limits on the retries for the services of a configuration.
    pub fn set_retry_limits(&self, new: &Deployment, old: Option<&Deployment>, limit: &RetryLimit) {
        for service in new.services.keys() {
            let limits = limit.bucket_limits(fleet_share());
            self.client.set_limits(retry_bucket(service), limits);
        }
        let gone = old.into_iter().flat_map(|old| old.services.keys());
        for service in gone.filter(|service| !new.services.contains_key(*service)) {
            self.client.remove(&retry_bucket(service));
        }
    }

    /// Takes one retry for a service from the fleet's bucket; false if it grants none.
    pub async fn take_retry(&self, service: &ServiceName) -> bool {
        match self.client.reserve(&retry_bucket(service), 1).await {
            Ok(reservation) => {
                self.client.settle(reservation, 1);
                true
            }
            Err(_) => false,
        }
    }

    /// Applies the limits of an account.
    pub fn set_account(&self, account: &Account, revision: u64) {
        let now = self.clock.mono();
        self.client
            .set_limits(account.name.clone(), limit_version(account, revision));
        self.allowances()
            .entry(account.name.clone())
            .or_insert_with(|| OutageAllowance::new(account.rate_per_s, now))
            .set_rate(account.rate_per_s);
    }

    /// Sets the number of VMs that share the limits.
    pub fn set_entry_vms(&self, count: u32) {
        self.entry_vms.store(count.max(1), Ordering::Relaxed);
    }

    /// Number of VMs that share the limits.
    pub fn entry_vms(&self) -> u32 {
        self.entry_vms.load(Ordering::Relaxed)
    }

    /// Whether the fleet's buckets can be reached and have filled, so that their refusal is final.
    pub fn is_reached(&self) -> bool {
        self.reachability.is_reached(self.clock.mono())
    }

    /// Takes `tokens` from an account's limit.
    ///
    /// # Errors
    /// The account exceeds its rate and burst, or its limits are unknown.
    pub async fn take(&self, account: &Account, tokens: Tokens) -> Result<TokenGrant, Shortage> {
        if account.rate_per_s == 0 {
            return Ok(TokenGrant::Unlimited);
        }
        match self.client.reserve(&account.name, tokens).await {
            Ok(reservation) => {
                if let Some(allowance) = self.allowances().get_mut(&account.name) {
                    allowance.granted(tokens, self.clock.mono());
                }
                Ok(TokenGrant::Reserved(reservation))
            }
            Err(Shortage::TooLarge { .. }) if tokens <= account.burst => {
                self.take_local(account, tokens)
            }
            Err(Shortage::Later { .. })
                if self.reachability.may_allocate_locally(self.clock.mono()) =>
            {
                self.take_local(account, tokens)
            }
            Err(shortage) => {
                if let Some(allowance) = self.allowances().get_mut(&account.name) {
                    allowance.refused(self.clock.mono());
                }
                Err(shortage)
            }
        }
    }

    /// Applies the limit that a server named, or removes it.
    pub fn set_server_limit(&self, server: &ServerName, rate: Option<RequestRate>) {
        let bucket = server_bucket(server);
        let Some(rate) = rate else {
            self.client.remove(&bucket);
            self.allowances().remove(&bucket);
            return;
        };
        self.client
            .set_limits(bucket.clone(), server_limit_version(rate, fleet_share(), 1));
        let now = self.clock.mono();
        let per_s = rate.milli_per_s();
        self.allowances()
            .entry(bucket)
            .or_insert_with(|| OutageAllowance::new(per_s, now))
            .set_rate(per_s);
    }

    /// Takes a permit for one request to a server that named a limit.
    ///
    /// # Errors
    /// The requests of all VMs exceed the limit; returns the milliseconds until it may be tried
    /// again.
    pub async fn take_permit(&self, server: &ServerName) -> Result<(), u64> {
        let bucket = server_bucket(server);
        let shortage = match self.client.reserve(&bucket, 1).await {
            Ok(reservation) => {
                self.client.settle(reservation, 1);
                if let Some(allowance) = self.allowances().get_mut(&bucket) {
                    allowance.granted(MILLI_PER_REQUEST, self.clock.mono());
                }
                return Ok(());
            }
            Err(shortage) => shortage,
        };
        let now = self.clock.mono();
        let may_allocate_locally = self.reachability.may_allocate_locally(now);
        if let Some(allowance) = self.allowances().get_mut(&bucket) {
            if may_allocate_locally {
                let state = self.reachability.bucket_state();
                let chance = rand::rng().random();
                return allowance.take(MILLI_PER_REQUEST, state, self.entry_vms(), chance, now);
            }
            allowance.refused(now);
        }
        match shortage {
            Shortage::Later { retry_after_ms } => Err(retry_after_ms),
            Shortage::TooLarge { .. } | Shortage::UnknownAccount => Err(UNKNOWN_BUCKET_RETRY_MS),
        }
    }

    /// Refunds the tokens of a request that did not run.
    pub fn refund(&self, taken: TokenGrant) {
        if let TokenGrant::Reserved(reservation) = taken {
            self.client.settle(reservation, 0);
        }
    }

    /// Settles the tokens of a request that was sent.
    pub fn settle(&self, taken: TokenGrant) {
        if let TokenGrant::Reserved(reservation) = taken {
            let tokens = reservation.tokens();
            self.client.settle(reservation, tokens);
        }
    }

    fn take_local(&self, account: &Account, tokens: Tokens) -> Result<TokenGrant, Shortage> {
        let now = self.clock.mono();
        let chance = rand::rng().random();
        let mut allowances = self.allowances();
        let allowance = allowances
            .entry(account.name.clone())
            .or_insert_with(|| OutageAllowance::new(account.rate_per_s, now));
        let taken = allowance.take(
            tokens,
            self.reachability.bucket_state(),
            self.entry_vms(),
            chance,
            now,
        );
        taken
            .map(|()| TokenGrant::Local)
            .map_err(|retry_after_ms| Shortage::Later { retry_after_ms })
    }

    fn allowances(&self) -> MutexGuard<'_, HashMap<AccountName, OutageAllowance>> {
        self.allowances
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
