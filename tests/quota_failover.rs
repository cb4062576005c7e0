//! Token limits while the log has no leader but controllers run: each grants its share of the rate to
//! the entry VMs that choose it.

use std::collections::HashMap;

use medlarlift::consensus::Status;
use medlarlift::consensus::VoterId;
use medlarlift::fleet::quota_failover;
use medlarlift::gateway::deployment::Account;
use medlarlift::gateway::deployment::QuotaUnit;
use medlarlift::limits::Share;
use medlarlift::limits::TokenBucket;
use medlarlift::types::AccountName;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const CENTRES: usize = 6;
const VMS: usize = 75;
const MEAN_TOKENS: u64 = 1_100;
const OUTAGE_MS: u64 = 8_000;
/// Time for which requests wait for tokens.
const WAIT_MS: u64 = 1_200;
const RETRY_INTERVAL_MS: u64 = 200;
const BEGIN: MonoMs = MonoMs(100_000);

fn account(rate_per_s: u64) -> Account {
    Account {
        name: AccountName::from("acme"),
        priority: None,
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
        rate_per_s,
        burst: rate_per_s,
    }
}

fn centre(number: usize) -> DataCentre {
    DataCentre::from(format!("centre-{}", number % CENTRES))
}

fn controllers() -> Vec<(VmName, DataCentre)> {
    let all = (0..CENTRES).map(|n| (VmName::from(format!("controller-{n}")), centre(n)));
    all.collect()
}

fn chosen(vm: usize, candidates: &[(VmName, DataCentre)]) -> usize {
    let own = VmName::from(format!("entry-{vm}"));
    quota_failover::choose_server(&own, &centre(vm), candidates).unwrap()
}

fn share(rate_per_s: u64) -> Share {
    let limits = quota_failover::failover_limits(&account(rate_per_s), 1, CENTRES);
    limits.share(&quota_failover::failover_share())
}

/// Tokens that `alive` controllers grant under a demand of `requested_per_s` tokens per second, and the
/// tokens that were requested.
fn serve(seed: u64, rate_per_s: u64, requested_per_s: f64, alive: usize) -> (u64, u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let candidates = &controllers()[..alive];
    let mut buckets: Vec<TokenBucket> = (0..alive)
        .map(|_| TokenBucket::new(share(rate_per_s), BEGIN))
        .collect();
    let mut waiting: Vec<(u64, usize, u64)> = Vec::new();
    let (mut requested, mut served) = (0, 0);
    for ms in 0..OUTAGE_MS {
        if rng.random_bool((requested_per_s / MEAN_TOKENS as f64 / 1_000.0).min(1.0)) {
            let tokens = rng.random_range(400..2 * MEAN_TOKENS - 400);
            let vm = rng.random_range(0..VMS);
            requested += tokens;
            waiting.push((ms, chosen(vm, candidates), tokens));
        }
        let now = BEGIN.plus(ms);
        waiting.retain(|(arrived, controller, tokens)| {
            if !(ms - arrived).is_multiple_of(RETRY_INTERVAL_MS) {
                return ms - arrived <= WAIT_MS;
            }
            if buckets[*controller].tokens(now) < *tokens {
                return ms - arrived <= WAIT_MS;
            }
            served += buckets[*controller].take(now, *tokens, 0);
            false
        });
    }
    (served, requested)
}

fn served_ratio(seed: u64, rate_per_s: u64, requested_per_s: f64, alive: usize) -> f64 {
    let (served, requested) = serve(seed, rate_per_s, requested_per_s, alive);
    served as f64 / requested as f64
}

/// The operator's limits are 1.8 times the usual demand of an account.
#[test]
fn shares_serve_nearly_all_of_the_usual_demand() {
    for requested_per_s in [20_000.0, 60_000.0, 200_000.0] {
        let rate = (1.8 * requested_per_s) as u64;
        let ratios = (0..10).map(|seed| served_ratio(seed, rate, requested_per_s, CENTRES));
        let mean = ratios.sum::<f64>() / 10.0;
        println!("{requested_per_s} tokens/s: {mean:.3}");
        assert!(mean > 0.9, "{requested_per_s} tokens/s: {mean}");
    }
}

#[test]
fn four_of_six_controllers_serve_most_of_the_usual_demand() {
    let ratios = (0..10).map(|seed| served_ratio(seed, 108_000, 60_000.0, 4));
    let mean = ratios.sum::<f64>() / 10.0;
    println!("{mean:.3}");
    assert!(mean > 0.8, "{mean}");
}

/// Under any demand, all shares together stay within the rate.
#[test]
fn overload_is_limited_to_the_rate() {
    for rate in [20_000, 200_000] {
        let (served, requested) = serve(1, rate, 4.0 * rate as f64, CENTRES);
        let limit = rate * OUTAGE_MS / 1_000;
        assert!(requested > 3 * limit, "{requested}");
        assert!(served <= limit, "{served} of {limit} tokens");
    }
}

/// Guards against shares of a voter's part each while more controllers than voters grant them: all of them stay
/// within the rate.
#[test]
fn controllers_that_do_not_vote_count_when_the_rate_is_divided() {
    let members = |numbers: std::ops::Range<u64>| {
        let ids = numbers.map(|n| VoterId::new(VmName::from(format!("controller-{n}")), n));
        ids.collect()
    };
    let status = Status {
        voters: members(0..4),
        learners: members(4..6),
        ..Status::default()
    };
    let rate_per_s = 60_000;
    let shares = quota_failover::share_count(&status);
    let limits = quota_failover::failover_limits(&account(rate_per_s), 1, shares);
    let granted_per_s = CENTRES as u64 * limits.rate_tokens_per_s;
    assert!(
        granted_per_s <= rate_per_s,
        "{granted_per_s} of {rate_per_s}"
    );
}

#[test]
fn entry_vms_prefer_their_own_data_centre_and_otherwise_spread() {
    let candidates = controllers();
    for vm in 0..VMS {
        assert_eq!(candidates[chosen(vm, &candidates)].1, centre(vm));
    }
    let mut counts: HashMap<usize, usize> = HashMap::new();
    for vm in (0..VMS).filter(|vm| vm % CENTRES >= 3) {
        *counts.entry(chosen(vm, &candidates[..3])).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count >= 5), "{counts:?}");
    assert_eq!(
        quota_failover::choose_server(&VmName::from("entry-1"), &centre(1), &[]),
        None
    );
}

#[test]
fn terms_of_shares_differ_from_each_other_and_from_those_of_leaders() {
    let one = quota_failover::failover_term(&VmName::from("controller-1"), 5_000);
    let other = quota_failover::failover_term(&VmName::from("controller-2"), 5_000);
    let later = quota_failover::failover_term(&VmName::from("controller-1"), 9_000);
    assert_ne!(one, other);
    assert_ne!(one, later);
    assert!(one > u64::MAX / 2);
}
