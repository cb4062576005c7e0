//! Limits on the rate of requests to one backend server, from all VMs together. They are kept by the
//! same buckets as the limits of client accounts: one token is one request.

use std::collections::BTreeMap;

use super::version::LimitVersion;
use super::version::WHOLE_PPM;
use crate::types::AccountName;
use crate::types::DataCentre;
use crate::types::MonoMs;
use crate::types::RequestRate;
use crate::types::ServerName;

/// Prefix of the names of servers' buckets. No client account has a name with this character.
const NAME_PREFIX: &str = "\u{1f}server/";
/// Prefix of the names under which a VM asks for tokens of a server's bucket.
const ON_DEMAND_PREFIX: &str = "\u{1f}permit/";
/// Thousandths of a request per request.
const MILLI: u64 = 1_000;
/// Burst of a bucket, apart from the part that depends on the rate, in thousandths of a request.
const BURST_MILLI: u64 = 1_500;
/// The same for each bucket of a limit that is divided among several. A bucket has to hold a whole
/// request beside the refill that is deducted from its burst.
const DIVIDED_BURST_MILLI: u64 = 1_100;
/// Time whose refill is added to the burst: twice the lifetime of a grant, since the refill of one
/// lifetime is deducted from the capacity.
const BURST_REFILL_MS: u64 = 300;

/// Name of the bucket of a server.
pub fn server_bucket(server: &ServerName) -> AccountName {
    AccountName::from(format!("{NAME_PREFIX}{server}"))
}

/// Bucket of a server at the coordinator of its data centre, which creates it when it is asked for.
/// The name of the bucket in requests for tokens tells the coordinator the rate.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerBucket {
    /// The server.
    pub server: ServerName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The limit as known to the VM that asks.
    pub rate: RequestRate,
}

impl ServerBucket {
    /// Name in requests for tokens.
    pub fn account(&self) -> AccountName {
        let Self {
            server,
            data_centre,
            rate,
        } = self;
        let milli_per_s = rate.milli_per_s();
        AccountName::from(format!(
            "{ON_DEMAND_PREFIX}{milli_per_s}/{data_centre}/{server}"
        ))
    }

    /// Reads a name that [`ServerBucket::account`] returned; `None` for other accounts.
    pub fn parse(account: &AccountName) -> Option<Self> {
        let text = account.as_str().strip_prefix(ON_DEMAND_PREFIX)?;
        let mut parts = text.splitn(3, '/');
        let milli_per_s: u64 = parts.next()?.parse().ok()?;
        Some(Self {
            data_centre: DataCentre::from(parts.next()?),
            server: ServerName::from(parts.next()?),
            rate: RequestRate::from_per_s(milli_per_s as f64 / MILLI as f64)?,
        })
    }

    /// Name of the bucket at the coordinator, whatever the rate.
    pub fn bucket(&self) -> AccountName {
        server_bucket(&self.server)
    }

    /// Limits of the bucket.
    pub fn limits(&self) -> LimitVersion {
        server_limit_version(self.rate, self.data_centre.clone(), 1)
    }
}

/// The part of one of `buckets` equal buckets in the limit of a server, as the limits of `share`.
/// Rates are whole tokens per second, so the fraction is expressed by the size of the share.
pub fn server_limit_version(rate: RequestRate, share: DataCentre, buckets: usize) -> LimitVersion {
    let buckets = (buckets as u64).max(1);
    let rate_tokens_per_s = rate.milli_per_s().div_ceil(MILLI);
    let part_milli_per_s = rate.milli_per_s() / buckets;
    let whole_ppm = u64::from(WHOLE_PPM);
    let ppm = (part_milli_per_s * (whole_ppm / MILLI) / rate_tokens_per_s).max(1);
    let fixed_milli = match buckets {
        1 => BURST_MILLI,
        _ => DIVIDED_BURST_MILLI,
    };
    let burst_milli = fixed_milli + part_milli_per_s * BURST_REFILL_MS / MILLI;
    LimitVersion {
        revision: rate.milli_per_s(),
        rate_tokens_per_s,
        burst_tokens: (burst_milli * (whole_ppm / MILLI)).div_ceil(ppm),
        shares_ppm: BTreeMap::from([(share, ppm as u32)]),
    }
}

/// What is known about the limit of a server. The newest observation counts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ServerLimitState {
    rate: Option<RequestRate>,
    observed: MonoMs,
}

impl ServerLimitState {
    /// The limit, if there is one.
    pub fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Time of the newest observation.
    pub fn observed(&self) -> MonoMs {
        self.observed
    }

    /// Applies what a server stated at `observed`. Older observations than the known one are
    /// ignored. Returns whether the limit changed.
    pub fn observe(&mut self, rate: Option<RequestRate>, observed: MonoMs) -> bool {
        if observed <= self.observed {
            return false;
        }
        self.observed = observed;
        let is_changed = self.rate != rate;
        self.rate = rate;
        is_changed
    }
}
