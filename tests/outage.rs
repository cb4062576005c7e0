//! Token limits while no VM holds the fleet's token buckets: many VMs that each serve a small share
//! of an account continue as before, and all together stay within its limit.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use medlarlift::gateway::BucketReachability;
use medlarlift::gateway::Quota;
use medlarlift::gateway::account_limit_history;
use medlarlift::gateway::deployment::Account;
use medlarlift::gateway::deployment::QuotaUnit;
use medlarlift::gateway::fleet_share;
use medlarlift::gateway::outage_allowance::BucketState;
use medlarlift::gateway::outage_allowance::OutageAllowance;
use medlarlift::lease::HeldLease;
use medlarlift::limits::BorrowPeers;
use medlarlift::limits::BorrowReply;
use medlarlift::limits::BorrowRequest;
use medlarlift::limits::NoCoordinator;
use medlarlift::limits::Server;
use medlarlift::types::AccountName;
use medlarlift::types::Clock;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const VMS: usize = 75;
const OUTAGE_MS: u64 = 8_000;
const BEFORE_MS: u64 = 20_000;
const MEAN_TOKENS: u64 = 900;

/// Tokens granted in an outage, as a share of those granted in an equally long period before it.
fn share_in_outage(seed: u64, requests_per_s: f64, demand_factor: f64, is_at_limit: bool) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let begin = MonoMs(100_000);
    let bucket_state = BucketState::Unavailable(begin.plus(BEFORE_MS));
    let asked_per_s = requests_per_s * MEAN_TOKENS as f64;
    let limit = if is_at_limit {
        asked_per_s
    } else {
        1.8 * asked_per_s
    };
    let limit = limit as u64;
    let mut vms: Vec<OutageAllowance> = (0..VMS)
        .map(|_| OutageAllowance::new(limit, begin))
        .collect();
    let mut taken = 0;
    for ms in 0..BEFORE_MS + OUTAGE_MS {
        let now = begin.plus(ms);
        let is_out = ms >= BEFORE_MS;
        let factor = if is_out { demand_factor } else { 1.0 };
        if !rng.random_bool(requests_per_s * factor / 1_000.0) {
            continue;
        }
        let vm = rng.random_range(0..VMS);
        let tokens = rng.random_range(300..2 * MEAN_TOKENS - 300);
        if !is_out {
            vms[vm].granted(tokens, now);
            if is_at_limit {
                vms[vm].refused(now);
            }
        } else {
            let chance = rng.random();
            let outcome = vms[vm].take(tokens, bucket_state, VMS as u32, chance, now);
            if outcome.is_ok() {
                taken += tokens;
            }
        }
    }
    let before = requests_per_s * MEAN_TOKENS as f64 * OUTAGE_MS as f64 / 1_000.0;
    taken as f64 / before
}

fn mean_share(requests_per_s: f64, demand_factor: f64, is_at_limit: bool) -> f64 {
    let shares =
        (0..20).map(|seed| share_in_outage(seed, requests_per_s, demand_factor, is_at_limit));
    shares.sum::<f64>() / 20.0
}

#[test]
fn most_requests_are_served_while_the_bucket_is_unavailable() {
    // At the first rate most VMs get at most one request of the account.
    for (requests_per_s, least) in [(8.0, 1.0 / 3.0), (30.0, 0.6), (100.0, 0.6)] {
        let share = mean_share(requests_per_s, 1.0, false);
        println!("{requests_per_s} requests/s: {share:.2}");
        assert!(share > least, "{requests_per_s} requests/s: {share}");
    }
}

/// With seven times the demand, an account that was at its limit gets no more than before, and one
/// below its limit gets a few seconds' worth more.
#[test]
fn a_demand_peak_in_an_outage_stays_within_the_limit() {
    for requests_per_s in [8.0, 30.0, 100.0] {
        let at_limit = mean_share(requests_per_s, 7.0, true);
        println!("{requests_per_s} requests/s: {at_limit:.2}");
        assert!(at_limit < 1.0, "{requests_per_s} requests/s: {at_limit}");
        let below_limit = mean_share(requests_per_s, 7.0, false);
        println!("{requests_per_s} requests/s, with room: {below_limit:.2}");
        assert!(
            below_limit < 1.8,
            "{requests_per_s} requests/s: {below_limit}"
        );
    }
}

#[test]
fn a_lower_rate_lowers_the_local_share() {
    let begin = MonoMs(0);
    let mut allowance = OutageAllowance::new(10_000, begin);
    for second in 0..30 {
        allowance.granted(10_000, begin.plus(second * 1_000));
    }
    allowance.set_rate(1_000);
    let now = begin.plus(30_000);
    allowance.refused(now);
    let mut taken = 0;
    for ms in 0..8_000 {
        if allowance
            .take(100, BucketState::Unavailable(now), 1, 0.0, now.plus(ms))
            .is_ok()
        {
            taken += 100;
        }
    }
    assert!((5_000..9_000).contains(&taken), "{taken}");
}

/// Guards against an advance at each grant of a bucket that has moved and fills: in a flood, the VMs then granted
/// more than the account's rate in addition to what the bucket granted.
#[test]
fn grants_of_a_bucket_that_fills_renew_no_advance() {
    const GRANT_INTERVAL_MS: u64 = 250;
    const FILL_MS: u64 = 1_500;
    const REQUEST_TOKENS: u64 = 1_500;
    let begin = MonoMs(100_000);
    let mut allowance = OutageAllowance::new(285_000, begin);
    for number in 0..80 {
        allowance.granted(REQUEST_TOKENS, begin.plus(number * 400));
    }
    let moved = begin.plus(80 * 400);
    let mut taken = 0;
    for ms in (0..FILL_MS).step_by(50) {
        let now = moved.plus(ms);
        if ms.is_multiple_of(GRANT_INTERVAL_MS) {
            allowance.granted(REQUEST_TOKENS, now);
        }
        let state = BucketState::PossiblyAvailable;
        if allowance.take(REQUEST_TOKENS, state, 78, 0.9, now).is_ok() {
            taken += REQUEST_TOKENS;
        }
    }
    // The random fraction and the advance, each of one request at most, and two fifths of the average rate.
    let share = 2 * REQUEST_TOKENS + REQUEST_TOKENS * 1_000 / 400 * FILL_MS / 1_000 * 2 / 5;
    assert!(taken <= share, "{taken} of {share} tokens");
}

/// Bucket that can be made unreachable.
struct Peers {
    server: Server,
    reachability: BucketReachability,
    is_up: Arc<AtomicBool>,
}

impl BorrowPeers for Peers {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        let is_up = self.is_up.load(Ordering::SeqCst);
        self.reachability.set(is_up);
        let reply = is_up.then(|| self.server.receive(&request));
        async move {
            reply.ok_or(NoCoordinator {
                data_centre,
                reason: "down".to_owned(),
            })
        }
        .boxed()
    }
}

/// Guards against an outage in which nothing is served because the share of each of many VMs is
/// smaller than one request.
#[tokio::test]
async fn one_of_many_vms_keeps_serving_without_the_bucket() {
    let clock = Clock::start();
    let lease = move || {
        Some(HeldLease {
            term: 1,
            since: MonoMs(0),
            deadline: clock.mono().plus(1_000),
            required_index: 0,
            settled_index: 0,
        })
    };
    let account = Account {
        name: AccountName::from("acme"),
        rate_per_s: 40_000,
        burst: 40_000,
        priority: None,
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
    };
    let server = Server::spawn(fleet_share(), clock, Arc::new(lease));
    server.set_history(account.name.clone(), account_limit_history(&account, 1));
    let reachability = BucketReachability::default();
    let is_up = Arc::new(AtomicBool::new(true));
    let peers = Arc::new(Peers {
        server,
        reachability: reachability.clone(),
        is_up: Arc::clone(&is_up),
    });
    let quota = Quota::spawn(VmName::from("entry"), 1, clock, peers, reachability.clone());
    quota.set_entry_vms(VMS as u32);
    quota.set_account(&account, 1);
    let mut granted = 0;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        granted += u32::from(quota.take(&account, MEAN_TOKENS).await.is_ok());
    }
    assert!(granted > 10, "{granted}");
    is_up.store(false, Ordering::SeqCst);
    reachability.set(false);
    reachability.set_bucket_unavailable(true, clock.mono());
    let mut served = 0;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        served += u32::from(quota.take(&account, MEAN_TOKENS).await.is_ok());
    }
    println!("{granted} granted, then {served} served");
    assert!(served >= 4, "{served}");
}

/// Guards against VMs without a history, as after a restart of the whole fleet, that refuse all
/// requests in an outage.
#[test]
fn vms_without_history_serve_a_share() {
    let mut rng = StdRng::seed_from_u64(1);
    let begin = MonoMs(10_000);
    let mut vms: Vec<OutageAllowance> = (0..VMS)
        .map(|_| OutageAllowance::new(36_000, begin))
        .collect();
    let (mut asked, mut taken) = (0, 0);
    for ms in 0..OUTAGE_MS {
        let now = begin.plus(ms);
        if !rng.random_bool(20.0 / 1_000.0) {
            continue;
        }
        asked += MEAN_TOKENS;
        let vm = rng.random_range(0..VMS);
        let bucket_state = BucketState::Unavailable(begin);
        let outcome = vms[vm].take(MEAN_TOKENS, bucket_state, VMS as u32, rng.random(), now);
        if outcome.is_ok() {
            taken += MEAN_TOKENS;
        }
    }
    println!("{taken} of {asked} tokens");
    assert!(taken * 2 > asked, "{taken} of {asked}");
    // Rate and burst over the period, with the tolerance.
    assert!(taken as f64 <= 36_000.0 * 9.0 * 1.1 + 17_000.0, "{taken}");
}
