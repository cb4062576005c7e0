//! Token limits of the client accounts, from the fleet's one bucket per account.
//!
//! While the bucket cannot be reached, the VM hands out a part of the rate by itself ([`Carry`]). All
//! VMs together then stay within the tolerance that the operator grants on the rate.

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
use crate::limits::Shortage;
use crate::limits::WHOLE_PPM;
use crate::types::AccountName;
use crate::types::Clock;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::Tokens;
use crate::types::VmName;

use super::carry::Carry;
use super::carry::Others;
use super::deployment::Account;
use super::deployment::Deployment;

/// Name under which the one bucket per account is kept.
const FLEET: &str = "fleet";
/// Time in which buckets that start empty fill far enough.
const FILL_MS: u64 = 1_500;
/// VMs assumed while their number is not known.
const UNKNOWN_VMS: u32 = 16;

/// The name of the only share.
pub fn fleet_share() -> DataCentre {
    DataCentre::new(FLEET)
}

/// The limits of an account as the one share.
pub fn limits_of(account: &Account, revision: u64) -> LimitVersion {
    LimitVersion {
        revision,
        rate_tokens_per_s: account.rate_per_s,
        burst_tokens: account.burst,
        shares_ppm: BTreeMap::from([(fleet_share(), WHOLE_PPM)]),
    }
}

/// The history of an account's limits as the one share.
pub fn history_of(account: &Account, revision: u64) -> History {
    History::new(limits_of(account, revision))
}

/// Tokens taken for a request. They count as used if this is dropped.
#[derive(Debug)]
pub enum Taken {
    /// The account has no limit.
    Unlimited,
    /// From the fleet's bucket.
    Reserved(Reservation),
    /// From the VM's own part.
    Carried,
}

/// Whether the fleet's buckets can be reached. Shared with the code that carries the requests.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    is_reached: Arc<AtomicBool>,
    /// Whether a controller hands out its own part meanwhile.
    is_stood_in: Arc<AtomicBool>,
    /// Uptime from which the buckets have filled since another VM has kept them.
    filled_ms: Arc<AtomicU64>,
    /// Whether the VM hands out nothing by itself.
    only_granted: Arc<AtomicBool>,
    /// Since when no VM keeps the buckets, as far as this one can tell.
    alone_since: Arc<Mutex<Option<MonoMs>>>,
}

impl Reach {
    /// Notes whether the last request was answered.
    pub fn set(&self, is_reached: bool) {
        self.is_reached.store(is_reached, Ordering::Relaxed);
    }

    /// Notes whether controllers hand out the rates in parts because nobody keeps the buckets.
    pub fn set_stood_in(&self, is_stood_in: bool) {
        self.is_stood_in.store(is_stood_in, Ordering::Relaxed);
    }

    /// Makes the VM hand out only what it is granted.
    pub fn only_granted(&self) {
        self.only_granted.store(true, Ordering::Relaxed);
    }

    /// Notes that another VM keeps the buckets from `now` on; they are empty at first.
    pub fn moved(&self, now: MonoMs) {
        let filled = now.plus(FILL_MS);
        self.filled_ms.store(filled.0, Ordering::Relaxed);
    }

    /// Notes whether no VM keeps the buckets.
    pub fn set_alone(&self, is_alone: bool, now: MonoMs) {
        let mut since = self.alone_since();
        *since = is_alone.then(|| since.unwrap_or(now));
    }

    fn alone_since(&self) -> MutexGuard<'_, Option<MonoMs>> {
        let locked = self.alone_since.lock();
        locked.unwrap_or_else(PoisonError::into_inner)
    }

    fn others(&self) -> Others {
        self.alone_since().map_or(Others::Beside, Others::Alone)
    }

    /// Whether nobody hands out tokens to this VM.
    fn is_lost(&self, now: MonoMs) -> bool {
        let others_help = self.is_stood_in.load(Ordering::Relaxed);
        let may_carry = !self.only_granted.load(Ordering::Relaxed);
        !self.is_reached(now) && !others_help && may_carry
    }

    fn is_reached(&self, now: MonoMs) -> bool {
        let is_filled = now.0 >= self.filled_ms.load(Ordering::Relaxed);
        is_filled && self.is_reached.load(Ordering::Relaxed)
    }
}

/// One VM's access to the account's limits.
pub struct Quota {
    client: Client,
    clock: Clock,
    reach: Reach,
    entry_vms: AtomicU32,
    carries: Mutex<HashMap<AccountName, Carry>>,
}

impl Quota {
    /// Starts without accounts. Must be called in a tokio runtime.
    pub fn spawn(
        vm: VmName,
        incarnation: u64,
        clock: Clock,
        peers: Arc<dyn BorrowPeers>,
        reach: Reach,
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
            reach,
            entry_vms: AtomicU32::new(UNKNOWN_VMS),
            carries: Mutex::default(),
        }
    }

    /// Takes the limits of a configuration.
    pub fn set_deployment(&self, new: &Deployment, old: Option<&Deployment>) {
        for account in new.accounts.values() {
            self.set_account(account, new.version);
        }
        let gone = old.into_iter().flat_map(|old| old.accounts.keys());
        for name in gone.filter(|name| !new.accounts.contains_key(*name)) {
            self.client.remove(name);
            self.carries().remove(name);
        }
    }

    /// Takes the limits of an account.
    pub fn set_account(&self, account: &Account, revision: u64) {
        let now = self.clock.mono();
        self.client
            .set_limits(account.name.clone(), limits_of(account, revision));
        self.carries()
            .entry(account.name.clone())
            .or_insert_with(|| Carry::new(account.rate_per_s, now))
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

    /// Whether the fleet's buckets are reached and have filled, so that their refusal is final.
    pub fn is_reached(&self) -> bool {
        self.reach.is_reached(self.clock.mono())
    }

    /// Takes `tokens` of an account.
    ///
    /// # Errors
    /// The account is over its rate and burst.
    pub async fn take(&self, account: &Account, tokens: Tokens) -> Result<Taken, Shortage> {
        if account.rate_per_s == 0 {
            return Ok(Taken::Unlimited);
        }
        match self.client.reserve(&account.name, tokens).await {
            Ok(reservation) => {
                if let Some(carry) = self.carries().get_mut(&account.name) {
                    carry.granted(tokens, self.clock.mono());
                }
                Ok(Taken::Reserved(reservation))
            }
            Err(Shortage::TooLarge { .. }) if tokens <= account.burst => {
                self.take_carried(account, tokens)
            }
            Err(Shortage::Later { .. }) if self.reach.is_lost(self.clock.mono()) => {
                self.take_carried(account, tokens)
            }
            Err(shortage) => {
                if let Some(carry) = self.carries().get_mut(&account.name) {
                    carry.refused(self.clock.mono());
                }
                Err(shortage)
            }
        }
    }

    /// Gives back the tokens of a request that did not run.
    pub fn give_back(&self, taken: Taken) {
        if let Taken::Reserved(reservation) = taken {
            self.client.settle(reservation, 0);
        }
    }

    /// Settles the tokens of a request that was sent.
    pub fn used(&self, taken: Taken) {
        if let Taken::Reserved(reservation) = taken {
            let tokens = reservation.tokens();
            self.client.settle(reservation, tokens);
        }
    }

    fn take_carried(&self, account: &Account, tokens: Tokens) -> Result<Taken, Shortage> {
        let now = self.clock.mono();
        let chance = rand::rng().random();
        let mut carries = self.carries();
        let carry = carries
            .entry(account.name.clone())
            .or_insert_with(|| Carry::new(account.rate_per_s, now));
        let taken = carry.take(tokens, self.reach.others(), self.entry_vms(), chance, now);
        taken
            .map(|()| Taken::Carried)
            .map_err(|retry_after_ms| Shortage::Later { retry_after_ms })
    }

    fn carries(&self) -> MutexGuard<'_, HashMap<AccountName, Carry>> {
        self.carries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
