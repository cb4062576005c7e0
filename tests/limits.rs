//! Tests of rate and burst limits in virtual time.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fleet::Fleet;
use fleet::Traffic;
use fleet::VMS;
use fleet::account;
use fleet::centre;
use fleet::limits;
use futures::future::BoxFuture;
use medlarlift::lease::HeldLease;
use medlarlift::limits::Ask;
use medlarlift::limits::BORROW_FORMAT;
use medlarlift::limits::BorrowPeers;
use medlarlift::limits::BorrowReply;
use medlarlift::limits::BorrowRequest;
use medlarlift::limits::Client;
use medlarlift::limits::ClientConfig;
use medlarlift::limits::GrantId;
use medlarlift::limits::History;
use medlarlift::limits::LeasedIssuer;
use medlarlift::limits::LimitVersion;
use medlarlift::limits::NANO;
use medlarlift::limits::NoCoordinator;
use medlarlift::limits::Return;
use medlarlift::limits::Server;
use medlarlift::limits::Share;
use medlarlift::limits::Shortage;
use medlarlift::limits::TokenBucket;
use medlarlift::limits::TokenIssuer;
use medlarlift::types::Clock;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use medlarlift::types::VmName;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const EQUAL: [u32; 3] = [333_333, 333_333, 333_333];

fn traffic(per_s: u64, tokens: u64) -> Traffic {
    Traffic {
        vms: (0..VMS).collect(),
        per_s,
        tokens: tokens..tokens + 1,
        used_percent: 100..101,
        runs_ms: 1..2_000,
    }
}

/// Random shares whose sum is at most one whole.
fn random_shares(fleet: &mut Fleet) -> [u32; 3] {
    let first = fleet.rng.random_range(0..=1_000_000);
    let second = fleet.rng.random_range(0..=1_000_000 - first);
    [first, second, 1_000_000 - first - second]
}

/// Runs an account that alternates between overload and idle periods, with faults and changes of
/// its limits. Some seeds have no faults or use all reserved tokens, since every expired token
/// hides an excess.
fn run_with_faults(seed: u64, rates: &[u64]) -> Fleet {
    let burst_ms = [300, 1_000, 4_000][seed as usize % 3];
    let version = |rate: u64, shares| limits(rate, rate * burst_ms / 1_000, shares);
    let mut fleet = Fleet::new(seed, version(rates[0], EQUAL));
    fleet.lossy = !seed.is_multiple_of(4);
    fleet.apply_ms = 3_000;
    let mut is_idle = true;
    while fleet.now < 24_000 {
        if fleet.rng.random_ratio(1, 3_000) || fleet.now == 4_000 {
            is_idle = !is_idle;
            fleet.traffic = None;
            if !is_idle {
                let returns_unused = !seed.is_multiple_of(2);
                fleet.start_traffic(Traffic {
                    tokens: 1..rates[0] / 20,
                    used_percent: if returns_unused { 0..101 } else { 100..101 },
                    runs_ms: 1..4_000,
                    ..traffic(200, 1)
                });
            }
        }
        fleet.step();
        if fleet.rng.random_ratio(1, 800) {
            if fleet.lossy {
                fleet.inject_fault();
            } else if !seed.is_multiple_of(8) {
                let dc = fleet.rng.random_range(0..3);
                fleet.hand_over(dc);
            }
        }
        if fleet.rng.random_ratio(1, 1_500) {
            let shares = random_shares(&mut fleet);
            let rate = rates[fleet.rng.random_range(0..rates.len())];
            fleet.commit(version(rate, shares));
        }
    }
    fleet
}

/// Guards against use above rate and burst in any window while VMs crash, restart, freeze and lose
/// their connections, coordinators change, messages are lost or delayed, and shares move.
#[test]
fn no_window_exceeds_rate_and_burst_while_shares_move() {
    let mut served = 0;
    for seed in 0..16 {
        let fleet = run_with_faults(seed, &[1_000]);
        let excess = fleet.worst_excess();
        assert!(
            excess <= 0,
            "seed {seed}: {excess} thousandths of a token over"
        );
        served += fleet.served;
    }
    assert!(
        served > 3_000,
        "too few requests to prove anything: {served}"
    );
}

/// Guards against raising one share before the reduction of another is in force at every
/// coordinator, including one that takes over and has not applied it yet. Each move follows
/// directly after full buckets were drained, when nothing hides an excess.
#[test]
fn raised_share_waits_for_the_lowered_one() {
    let moves = [[800_000, 100_000, 100_000], [100_000, 100_000, 800_000]];
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, limits(1_000, 1_000, moves[0]));
        fleet.apply_ms = 3_000;
        for round in 1..5 {
            fleet.run(5_000);
            fleet.start_traffic(Traffic {
                tokens: 1..40,
                ..traffic(200, 1)
            });
            fleet.run(1_500);
            fleet.commit(limits(1_000, 1_000, moves[round % 2]));
            for _ in 0..4 {
                let pause = fleet.rng.random_range(200..1_200);
                fleet.run(pause);
                if seed % 3 > 0 {
                    fleet.hand_over(if round % 2 == 0 { 2 } else { 0 });
                }
            }
            fleet.run(1_000);
            fleet.traffic = None;
        }
        let excess = fleet.worst_excess();
        assert!(
            excess <= 0,
            "seed {seed}: {excess} thousandths of a token over"
        );
        assert!(
            fleet.used_since(0) > 10_000,
            "{} tokens",
            fleet.used_since(0)
        );
    }
}

/// Guards against tokens from a coordinator that has not applied a reduction which its data centre
/// has reported as settled, or whose lease has ended.
#[test]
fn coordinator_behind_its_grantors_hands_out_nothing() {
    let mut issuer = LeasedIssuer::new(centre(0));
    let version = limits(1_000, 1_000, EQUAL);
    issuer.set_history(MonoMs(0), account(), History::new(version));
    issuer.set_applied(4);
    let held = HeldLease {
        term: 1,
        since: MonoMs(0),
        deadline: MonoMs(2_000),
        required_index: 5,
        settled_index: 4,
    };
    let request = BorrowRequest {
        format: BORROW_FORMAT,
        vm: VmName::from("vm"),
        incarnation: 1,
        asks: vec![Ask {
            account: account(),
            need_tokens: 50,
            ahead_tokens: 0,
        }],
        return_sequence: 0,
        returns: Vec::new(),
    };
    let granted = |issuer: &mut LeasedIssuer, now| {
        let reply = issuer.receive(MonoMs(now), Some(held), &request);
        reply.grants.first().map(|granted| granted.tokens)
    };
    assert_eq!(granted(&mut issuer, 1_000), None);
    issuer.set_applied(5);
    assert_eq!(
        granted(&mut issuer, 1_000),
        Some(0),
        "a new bucket is empty"
    );
    assert_eq!(granted(&mut issuer, 1_999), Some(50));
    assert_eq!(granted(&mut issuer, 2_000), None, "the lease has ended");
}

/// Guards against use above rate and burst while rates and bursts change under the same faults.
#[test]
fn no_window_exceeds_rate_and_burst_while_rates_change() {
    for seed in 100..116 {
        let fleet = run_with_faults(seed, &[1_000, 200, 3_000]);
        let excess = fleet.worst_excess();
        assert!(
            excess <= 0,
            "seed {seed}: {excess} thousandths of a token over"
        );
    }
}

/// Tokens of one grant that a hoarder holds.
struct Holding {
    dc: usize,
    grant: GrantId,
    tokens: u64,
    due: u64,
    usable: bool,
}

/// A VM that borrows all available tokens and uses them just before they expire, returns them, or
/// both.
struct Hoarder {
    rng: SmallRng,
    now: u64,
    issuers: Vec<TokenIssuer>,
    term: u64,
    held: Vec<Holding>,
    sequence: u64,
    used_at: BTreeMap<u64, u64>,
    returns_unused: bool,
    late: bool,
    origins: Vec<u64>,
}

impl Hoarder {
    fn ask(&mut self, dc: usize, need_tokens: u64, ahead_tokens: u64) {
        let ask = Ask {
            account: account(),
            need_tokens,
            ahead_tokens,
        };
        let reply = self.send(dc, vec![ask], Vec::new());
        let granted = &reply.grants[0];
        self.held.push(Holding {
            dc,
            grant: granted.grant,
            tokens: granted.tokens,
            due: self.now + granted.lifetime_ms.saturating_sub(1),
            usable: granted.lifetime_ms > 0,
        });
    }

    fn send(&mut self, dc: usize, asks: Vec<Ask>, returns: Vec<Return>) -> BorrowReply {
        self.sequence += 1;
        let request = BorrowRequest {
            format: BORROW_FORMAT,
            vm: VmName::from("hoarder"),
            incarnation: 1,
            asks,
            return_sequence: self.sequence,
            returns,
        };
        let now = MonoMs(self.now + self.origins[dc]);
        let is_duplicated = self.rng.random_ratio(1, 4);
        let reply = self.issuers[dc].receive(now, &request);
        if is_duplicated && request.asks.is_empty() {
            self.issuers[dc].receive(now, &request);
        }
        reply
    }

    /// When a grant is about to expire, uses all held tokens at once or returns the grant unused.
    fn use_or_return(&mut self) {
        let is_expiring = self
            .held
            .iter()
            .any(|holding| holding.usable && holding.due <= self.now);
        let uses_all = is_expiring && (!self.returns_unused || self.rng.random_ratio(1, 3));
        if uses_all {
            for holding in self.held.iter_mut().filter(|holding| holding.usable) {
                let least = if self.returns_unused && self.late {
                    0
                } else {
                    holding.tokens
                };
                let used = self.rng.random_range(least..=holding.tokens);
                *self.used_at.entry(self.now).or_default() += used;
                holding.tokens -= used;
                holding.usable = false;
            }
        }
        let due: Vec<Holding> = self
            .held
            .extract_if(.., |holding| holding.due <= self.now)
            .collect();
        for mut holding in due {
            holding.usable = false;
            if self.late && self.rng.random_ratio(1, 2) {
                holding.due = self.now + self.rng.random_range(1..3_000);
                self.held.push(holding);
            } else if holding.tokens > 0 {
                let back = Return {
                    account: account(),
                    grant: holding.grant,
                    tokens: holding.tokens,
                };
                self.send(holding.dc, Vec::new(), vec![back]);
            }
        }
    }

    /// A new coordinator takes over at `dc`.
    fn change_coordinator(&mut self, dc: usize, version: &LimitVersion) {
        self.term += 1;
        self.origins[dc] = self.rng.random_range(0..10_000);
        let now = MonoMs(self.now + self.origins[dc]);
        let mut issuer = TokenIssuer::new(self.term);
        issuer.set_share(now, &account(), version.share(&centre(dc)));
        self.issuers[dc] = issuer;
    }
}

/// Guards against an excess from tokens that are used as late as possible, returned as late as
/// possible, returned twice, or returned to a later coordinator.
#[test]
fn hoarded_and_returned_tokens_stay_within_rate_and_burst() {
    for seed in 0..60 {
        let burst = [250, 1_000, 5_000][seed as usize % 3];
        let version = limits(1_000, burst, [200_000, 300_000, 500_000]);
        let mut hoarder = Hoarder {
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            issuers: (0..3).map(|_| TokenIssuer::new(0)).collect(),
            term: 0,
            held: Vec::new(),
            sequence: 0,
            used_at: BTreeMap::new(),
            returns_unused: !seed.is_multiple_of(2),
            late: seed % 4 > 1,
            origins: vec![0; 3],
        };
        (0..3).for_each(|dc| hoarder.change_coordinator(dc, &version));
        let mut is_borrowing = false;
        while hoarder.now < 30_000 {
            hoarder.now += 1;
            hoarder.use_or_return();
            is_borrowing ^= hoarder.rng.random_ratio(1, 1_500);
            let dc = hoarder.rng.random_range(0..3);
            if is_borrowing && hoarder.rng.random_ratio(1, 3) {
                hoarder.ask(dc, burst, 0);
            }
            if seed % 4 > 1 && hoarder.rng.random_ratio(1, 6_000) {
                hoarder.change_coordinator(dc, &version);
            }
        }
        let mut backlog = 0;
        for time in 0..=hoarder.now {
            backlog = i64::max(0, backlog - 1_000);
            backlog += hoarder.used_at.get(&time).copied().unwrap_or(0) as i64 * 1_000;
            let excess = backlog - burst as i64 * 1_000;
            assert!(
                excess <= 0,
                "seed {seed} at {time}: {excess} thousandths of a token over"
            );
        }
    }
}

/// Guards against refusals of an account that stays within its rate, spread over all VMs or at one.
#[test]
fn steady_state_within_the_rate_is_never_refused() {
    for seed in 0..6 {
        for vms in [(0..VMS).collect(), vec![4], vec![0, 1], vec![2, 3, 8]] {
            let mut fleet = Fleet::new(seed, limits(1_000, 4_000, EQUAL));
            fleet.run(8_000);
            fleet.start_traffic(Traffic {
                vms: vms.clone(),
                ..traffic(19, 50)
            });
            fleet.run(20_000);
            assert_eq!(
                fleet.refused, 0,
                "seed {seed}, VMs {vms:?}, {} served",
                fleet.served
            );
            assert!(fleet.served > 350);
        }
    }
}

/// Guards against unused reservations whose tokens are lost to an account within its rate.
#[test]
fn unused_reservations_are_returned() {
    let mut fleet = Fleet::new(3, limits(1_000, 6_000, EQUAL));
    fleet.run(10_000);
    fleet.start_traffic(Traffic {
        used_percent: 40..60,
        runs_ms: 500..1_500,
        ..traffic(18, 100)
    });
    fleet.run(30_000);
    assert_eq!(fleet.refused, 0, "{} served", fleet.served);
    assert!(fleet.worst_excess() <= 0);
}

/// Guards against an account that gets only the share of one data centre because all its traffic
/// arrives at one VM.
#[test]
fn whole_rate_through_one_vm() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(seed, limits(1_000, 2_000, EQUAL));
        fleet.run(6_000);
        fleet.start_traffic(Traffic {
            vms: vec![seed as usize],
            ..traffic(60, 50)
        });
        fleet.run(20_000);
        let used = fleet.used_since(6_000);
        assert!(
            used >= 21_000,
            "seed {seed}: {used} tokens of 22,000 in 20 s"
        );
        assert!(fleet.worst_excess() <= 0);
    }
}

/// Guards against a fixed grant lifetime whose refill exceeds a small burst, which would leave an
/// account without any tokens.
#[test]
fn small_burst_still_serves_the_whole_rate() {
    let mut fleet = Fleet::new(7, limits(1_000, 300, EQUAL));
    fleet.run(6_000);
    fleet.start_traffic(Traffic {
        vms: vec![1],
        ..traffic(150, 10)
    });
    fleet.run(10_000);
    let used = fleet.used_since(6_000);
    assert!(used >= 9_500, "{used} tokens of 10,300 in 10 s");
    assert!(fleet.worst_excess() <= 0);
}

/// Guards against more than one wrongful refusal in a thousand while a twentieth of the whole
/// repeatedly moves between two data centres.
#[test]
fn moving_shares_refuse_less_than_one_in_a_thousand() {
    let (mut refused, mut served) = (0, 0);
    for seed in 0..6 {
        let mut fleet = Fleet::new(seed, limits(1_000, 4_000, EQUAL));
        fleet.run(8_000);
        fleet.start_traffic(traffic(18, 50));
        let mut shares = EQUAL;
        for round in 0..12 {
            shares[round % 3] -= 50_000;
            shares[(round + 1 + round / 4) % 3] += 50_000;
            fleet.commit(limits(1_000, 4_000, shares));
            fleet.run(4_000);
        }
        refused += fleet.refused;
        served += fleet.served;
    }
    assert!(
        refused * 1_000 < served,
        "{refused} refused, {served} served"
    );
}

/// Guards against refusals when a coordinator crashes although the other data centres have tokens.
#[test]
fn coordinator_crash_is_covered_by_the_other_data_centres() {
    for seed in 0..6 {
        let mut fleet = Fleet::new(seed, limits(1_000, 10_000, EQUAL));
        fleet.run(12_000);
        fleet.start_traffic(traffic(18, 50));
        fleet.run(2_000);
        let holder = fleet.holder(0).expect("a coordinator");
        fleet.kill(holder);
        fleet.run(8_000);
        assert_eq!(fleet.refused, 0, "seed {seed}, {} served", fleet.served);
        assert!(fleet.served > 140);
        assert!(fleet.holder(0).is_some_and(|successor| successor != holder));
    }
}

/// Guards against a retry time at which the request is refused again, and against a retry hint for
/// a request that can never succeed.
#[test]
fn retry_hint_is_accurate() {
    for seed in 0..10 {
        let mut fleet = Fleet::new(seed, limits(1_000, 3_000, EQUAL));
        fleet.run(6_000);
        for _ in 0..40 {
            let tokens = fleet.rng.random_range(100..400);
            let vm = fleet.rng.random_range(0..VMS);
            fleet.request(vm, tokens);
            fleet.run(5);
        }
        fleet.run(200);
        let tokens = fleet.rng.random_range(1_000..2_500);
        let (before, served) = (fleet.refused, fleet.served);
        fleet.request(2, tokens);
        fleet.run(100);
        assert_eq!(
            fleet.refused,
            before + 1,
            "seed {seed}: {tokens} tokens were there"
        );
        let Some(Shortage::Later { retry_after_ms }) = fleet.last_shortage else {
            panic!("seed {seed}: {:?}", fleet.last_shortage);
        };
        fleet.run(retry_after_ms);
        fleet.request(2, tokens);
        fleet.run(100);
        assert_eq!(
            fleet.served,
            served + 1,
            "seed {seed}: refused after {retry_after_ms} ms"
        );
        fleet.request(2, 3_001);
        let permanent = matches!(fleet.last_shortage, Some(Shortage::TooLarge { .. }));
        assert!(permanent, "seed {seed}: {:?}", fleet.last_shortage);
    }
}

/// Sends borrow requests directly to the servers of the data centres.
struct DirectPeers {
    servers: BTreeMap<DataCentre, Server>,
}

impl BorrowPeers for DirectPeers {
    fn borrow(
        &self,
        data_centre: DataCentre,
        request: BorrowRequest,
    ) -> BoxFuture<'static, Result<BorrowReply, NoCoordinator>> {
        let server = self.servers.get(&data_centre).cloned();
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(2)).await;
            let reason = "not running".to_owned();
            let server = server.ok_or(NoCoordinator {
                data_centre,
                reason,
            })?;
            Ok(server.receive(&request))
        })
    }
}

/// Guards against a client that does not borrow from other data centres, does not return the tokens
/// of callers that stopped waiting, or gives a retry hint for an unknown account.
#[tokio::test]
async fn client_borrows_settles_and_returns() {
    let clock = Clock::start();
    let version = limits(1_000, 600, EQUAL);
    let held = HeldLease {
        term: 1,
        since: MonoMs(0),
        deadline: MonoMs(u64::MAX),
        required_index: 1,
        settled_index: 1,
    };
    let start = |dc: usize| {
        let server = Server::spawn(centre(dc), clock, Arc::new(move || Some(held)));
        server.set_history(account(), History::new(version.clone()));
        server.set_applied(1);
        (centre(dc), server)
    };
    let servers = (0..2).map(start).collect();
    let config = ClientConfig {
        vm: VmName::from("vm"),
        incarnation: 1,
        data_centre: centre(0),
        clock,
    };
    let client = Client::spawn(config, Arc::new(DirectPeers { servers }));
    let unknown = client.reserve(&account(), 1).await;
    assert_eq!(unknown.expect_err("no limits"), Shortage::UnknownAccount);
    client.set_limits(account(), version);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let name = account();
    let abandoned = client.reserve(&name, 250);
    let waited = tokio::time::timeout(Duration::from_millis(1), abandoned).await;
    assert!(waited.is_err(), "a reply takes 2 ms");
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reservation = client.reserve(&account(), 250).await;
    let reservation = reservation.expect("two data centres hold 150 tokens each");
    assert_eq!(reservation.tokens(), 250);
    assert!(clock.mono() < reservation.dispatch_before());
    client.settle(reservation, 250);
    let refused = client.reserve(&account(), 290).await;
    assert!(
        matches!(refused, Err(Shortage::Later { .. })),
        "{refused:?}"
    );
}

#[test]
fn a_full_bucket_gives_one_burst_and_then_its_rate() {
    let share = Share {
        refill_per_ms: 10 * NANO,
        burst: 1_000 * NANO,
        lifetime_ms: 0,
    };
    let mut bucket = TokenBucket::full(share, MonoMs(5));
    assert_eq!(bucket.take(MonoMs(5), 5_000, 0), 1_000);
    assert_eq!(bucket.take(MonoMs(5), 5_000, 0), 0);
    assert_eq!(bucket.take(MonoMs(15), 5_000, 0), 100);
}
