//! Reservations of one VM that borrow tokens at the same time.

use std::collections::BTreeMap;

use medlarlift::limits::BorrowCall;
use medlarlift::limits::BorrowReply;
use medlarlift::limits::LimitVersion;
use medlarlift::limits::RetryLimit;
use medlarlift::limits::Share;
use medlarlift::limits::Step;
use medlarlift::limits::TokenCache;
use medlarlift::limits::TokenIssuer;
use medlarlift::types::AccountName;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

const ACCOUNT: &str = "acme";
const CENTRE: &str = "north";
const SEEDS: u64 = 50;
/// Requests that reserve one token each, all at the same time.
const REQUESTS: u64 = 24;
/// A bucket that began empty is full by then.
const START: MonoMs = MonoMs(60_000);

/// One VM and the coordinator whose full bucket it borrows from.
struct Scenario {
    cache: TokenCache,
    issuer: TokenIssuer,
    capacity_tokens: u64,
}

impl Scenario {
    fn start(limits: LimitVersion) -> Self {
        let (account, centre) = (AccountName::from(ACCOUNT), DataCentre::new(CENTRE));
        let share: Share = limits.share(&centre);
        let mut issuer = TokenIssuer::new(1);
        issuer.set_share(MonoMs(0), &account, share);
        let mut cache = TokenCache::new(VmName::new("vm"), 1, centre);
        cache.set_limits(account, limits);
        Self {
            cache,
            issuer,
            capacity_tokens: share.capacity_tokens(),
        }
    }

    /// Reserves one token for each of [`REQUESTS`]. The calls of a round reach the coordinator in the
    /// order that `rng` draws, and their replies come in that order. Returns how many are granted.
    fn reserve_all(&mut self, rng: &mut SmallRng) -> u64 {
        let account = AccountName::from(ACCOUNT);
        let started = (0..REQUESTS).map(|_| self.cache.reserve(START, &account, 1));
        let mut steps: Vec<Step> = started.collect();
        let mut granted = 0;
        while !steps.is_empty() {
            steps.shuffle(rng);
            let replies: Vec<Vec<BorrowReply>> = steps.iter().map(|step| self.ask(step)).collect();
            let mut next = Vec::new();
            for (step, replies) in steps.into_iter().zip(replies) {
                match step {
                    Step::Reserved(_) => granted += 1,
                    Step::Refused(_) => {}
                    Step::Send(mut borrowing, calls) => {
                        for (call, reply) in calls.iter().zip(&replies) {
                            self.cache.reply(START, &mut borrowing, call, Some(reply));
                        }
                        next.push(self.cache.step(START, borrowing));
                    }
                }
            }
            steps = next;
        }
        granted
    }

    fn ask(&mut self, step: &Step) -> Vec<BorrowReply> {
        let Step::Send(_, calls) = step else {
            return Vec::new();
        };
        let mut ask = |call: &BorrowCall| self.issuer.receive(START, &call.request);
        calls.iter().map(&mut ask).collect()
    }
}

/// Limits of the fleet's bucket of retries, with the default reserve.
fn retry_limits() -> LimitVersion {
    let limit = RetryLimit {
        per_request: 0.2,
        reserve: 50.0,
        window_ms: 10_000,
    };
    limit.bucket_limits(DataCentre::new(CENTRE))
}

/// Guards against requests that are refused while their VM holds tokens, which the reply to another request
/// has brought in addition.
#[test]
fn requests_at_the_same_time_use_all_tokens_that_their_vm_was_granted() {
    let plain = LimitVersion {
        revision: 1,
        rate_tokens_per_s: 10,
        burst_tokens: 20,
        shares_ppm: BTreeMap::from([(DataCentre::new(CENTRE), 1_000_000)]),
    };
    for seed in 0..SEEDS {
        for limits in [retry_limits(), plain.clone()] {
            let mut scenario = Scenario::start(limits);
            let granted = scenario.reserve_all(&mut SmallRng::seed_from_u64(seed));
            let expected = scenario.capacity_tokens.min(REQUESTS);
            assert_eq!(granted, expected, "seed {seed}");
        }
    }
}
