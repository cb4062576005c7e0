//! Tests of rate and burst in virtual time.

mod fleet;

use fleet::Fleet;
use fleet::Traffic;
use fleet::VMS;
use fleet::limits;
use medlarlift::limits::Shortage;
use rand::RngExt;

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

/// Random shares that sum to at most the whole.
fn random_shares(fleet: &mut Fleet) -> [u32; 3] {
    let first = fleet.rng.random_range(0..=1_000_000);
    let second = fleet.rng.random_range(0..=1_000_000 - first);
    [first, second, 1_000_000 - first - second]
}

/// Runs an overloaded account through faults and changes of its limits.
fn run_with_faults(seed: u64, rates: &[u64]) -> Fleet {
    let burst_s = [1, 4, 20][seed as usize % 3];
    let mut fleet = Fleet::new(seed, limits(rates[0], rates[0] * burst_s, EQUAL));
    fleet.lossy = true;
    fleet.start_traffic(Traffic {
        tokens: 1..rates[0] / 10,
        used_percent: 0..101,
        runs_ms: 1..4_000,
        ..traffic(60, 1)
    });
    while fleet.now < 30_000 {
        fleet.step();
        if fleet.rng.random_ratio(1, 600) {
            fleet.inject_fault();
        }
        if fleet.rng.random_ratio(1, 2_500) {
            let shares = random_shares(&mut fleet);
            let rate = rates[fleet.rng.random_range(0..rates.len())];
            fleet.commit(limits(rate, rate * burst_s, shares));
        }
    }
    fleet
}

/// Guards against tokens over rate and burst in any window, while VMs crash, restart, freeze and
/// lose contact, coordinators change, messages get lost or late, and shares move.
#[test]
fn no_window_exceeds_rate_and_burst_while_shares_move() {
    let mut served = 0;
    for seed in 0..24 {
        let fleet = run_with_faults(seed, &[1_000]);
        let excess = fleet.worst_excess();
        assert!(
            excess <= 0,
            "seed {seed}: {excess} thousandths of a token over"
        );
        served += fleet.served;
    }
    assert!(
        served > 5_000,
        "too few requests to prove anything: {served}"
    );
}

/// Guards against tokens over rate and burst while rates and bursts change under the same faults.
#[test]
fn no_window_exceeds_rate_and_burst_while_rates_change() {
    for seed in 100..124 {
        let fleet = run_with_faults(seed, &[1_000, 200, 3_000]);
        let excess = fleet.worst_excess();
        assert!(
            excess <= 0,
            "seed {seed}: {excess} thousandths of a token over"
        );
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

/// Guards against unused reservations that are lost to the account although it is within its rate.
#[test]
fn unused_reservations_come_back() {
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

/// Guards against bursts that are smaller than what a fixed grant lifetime keeps back, which would
/// leave an account without any tokens.
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

/// Guards against more than one wrongful refusal in a thousand while a twentieth of the whole moves
/// between two data centres again and again.
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

/// Guards against a time to come back at which the request is refused again, and against a retry
/// hint for a request that can never succeed.
#[test]
fn retry_hint_is_truthful() {
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
