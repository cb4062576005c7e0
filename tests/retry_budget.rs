//! Retries of all VMs together, counted in virtual time.

use std::iter;

use medlarlift::limits::FleetSize;
use medlarlift::limits::RetryBudget;
use medlarlift::limits::RetryLimit;
use medlarlift::types::DataCentre;
use medlarlift::types::MonoMs;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LIMIT: RetryLimit = RetryLimit {
    per_request: 0.2,
    reserve: 50.0,
    window_ms: WINDOW_MS,
};
/// Share of the reserve that the fleet's bucket may grant besides what the VMs save.
const GRANTED_SHARE: f64 = 0.4;
const WINDOW_MS: u64 = 10_000;
const RUN_MS: u64 = 60_000;
const STEP_MS: u64 = 10;
const SEEDS: u64 = 12;

#[derive(Default)]
struct Vm {
    fleet: FleetSize,
    budget: RetryBudget,
}

impl Vm {
    /// A VM that knows how many there are.
    fn informed(vms: u32, now: MonoMs) -> Self {
        let mut vm = Self::default();
        vm.fleet.observe(vms, now);
        vm
    }
}

/// Requests and retries of one step.
#[derive(Clone, Copy, Default)]
struct Step {
    requests: u32,
    retries: u32,
}

/// VMs whose requests are all refused from `refused_from` on. Any subset restarts at any moment and
/// is told a wrong number of VMs at first; all VMs see a part of the fleet during a cut.
fn play(seed: u64, vms: u32, requests_per_s: f64, refused_from: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet: Vec<Vm> = iter::repeat_with(|| Vm::informed(vms, MonoMs(0)))
        .take(vms as usize)
        .collect();
    let per_step = requests_per_s * STEP_MS as f64 / 1_000.0 / f64::from(vms);
    let mut steps = Vec::new();
    for now in (0..RUN_MS).step_by(STEP_MS as usize) {
        let now_mono = MonoMs(now);
        let restarts = rng.random_bool(0.002);
        let share: f64 = rng.random();
        let is_cut = now > 20_000 && now < 30_000;
        let mut step = Step::default();
        for vm in &mut fleet {
            if restarts && rng.random_bool(share) {
                *vm = Vm::default();
                vm.fleet.observe(rng.random_range(1..=vms), now_mono);
            } else if rng.random_bool(0.02) {
                let seen = if is_cut { vms.div_ceil(3) } else { vms };
                vm.fleet.observe(seen, now_mono);
            }
            if !rng.random_bool(per_step.min(1.0)) {
                continue;
            }
            step.requests += 1;
            let known = vm.fleet.largest();
            vm.budget.add_request(&LIMIT, known);
            while now >= refused_from && vm.budget.take(&LIMIT, known, rng.random()) {
                step.retries += 1;
            }
        }
        steps.push(step);
    }
    steps
}

/// Largest excess over what the limit allows in any window.
fn worst_excess(steps: &[Step]) -> f64 {
    let windows = steps.windows((WINDOW_MS / STEP_MS) as usize);
    let excess = windows.map(|window| {
        let requests: u32 = window.iter().map(|step| step.requests).sum();
        let retries: u32 = window.iter().map(|step| step.retries).sum();
        let granted = GRANTED_SHARE * LIMIT.reserve;
        granted + f64::from(retries) - LIMIT.per_request * f64::from(requests) - LIMIT.reserve
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against a restart, a cut or a wrong number of VMs that gives retries away.
#[test]
fn the_vms_together_make_no_more_retries_than_the_limit_allows() {
    for seed in 0..SEEDS {
        for (vms, requests_per_s) in [(3, 30.0), (9, 60.0), (78, 300.0)] {
            let refused_from = seed % 4 * 10_000;
            let excess = worst_excess(&play(seed, vms, requests_per_s, refused_from));
            assert!(excess <= 0.0, "seed {seed}, {vms} VMs: {excess} too many");
        }
    }
}

/// The part of one VM is a twentieth of a retry. Which of them are made is drawn by lot, so that the sum
/// of very many VMs is bounded in the mean.
#[test]
fn vms_whose_part_is_below_one_retry_still_retry_and_stay_within_the_limit() {
    for seed in 0..4 {
        let steps = play(seed, 370, 40.0, 40_000);
        let retries: u32 = steps.iter().map(|step| step.retries).sum();
        assert!(retries > 30, "seed {seed}: {retries} retries");
        let excess = worst_excess(&steps);
        assert!(excess <= 0.0, "seed {seed}: {excess} too many");
    }
}

#[test]
fn a_new_process_has_no_retries() {
    let mut vm = Vm::informed(1, MonoMs(0));
    assert!(!vm.budget.take(&LIMIT, 1, 0.5));
    for _ in 0..6 {
        vm.budget.add_request(&LIMIT, 1);
    }
    assert!(vm.budget.take(&LIMIT, 1, 0.5));
    assert!(!vm.budget.take(&LIMIT, 1, 0.5));
}

#[test]
fn the_bucket_of_the_fleet_grants_its_share_of_the_reserve_within_a_window() {
    let share = DataCentre::new("fleet");
    for (reserve, window_ms) in [
        (50.0, 10_000),
        (196.0, 10_000),
        (58.0, 4_000),
        (900.0, 10_000),
    ] {
        let limit = RetryLimit {
            reserve,
            window_ms,
            ..LIMIT
        };
        let limits = limit.bucket_limits(share.clone());
        let part = limits.share(&share);
        let nano = 1e9;
        let burst = part.burst as f64 / nano;
        let refill = part.refill_per_ms as f64 * window_ms as f64 / nano;
        let granted = burst + refill;
        assert!(granted <= GRANTED_SHARE * reserve, "{granted} of {reserve}");
        assert!(
            granted > 0.9 * GRANTED_SHARE * reserve,
            "{granted} of {reserve}"
        );
        assert!(part.capacity_tokens() >= 1);
    }
}

#[test]
fn savings_above_the_part_of_a_larger_fleet_are_given_up() {
    let mut budget = RetryBudget::default();
    for _ in 0..1_000 {
        budget.add_request(&LIMIT, 1);
    }
    let retries = iter::repeat_with(|| budget.take(&LIMIT, 10, 0.5));
    assert_eq!(retries.take_while(|taken| *taken).count(), 2);
}

#[test]
fn vms_that_are_not_seen_for_hours_are_not_counted() {
    const HOUR_MS: u64 = 3_600_000;
    let mut fleet = FleetSize::default();
    assert_eq!(fleet.largest(), 16, "not known yet");
    fleet.observe(9, MonoMs(0));
    fleet.observe(3, MonoMs(HOUR_MS));
    assert_eq!(fleet.largest(), 9);
    fleet.observe(3, MonoMs(3 * HOUR_MS));
    assert_eq!(fleet.largest(), 9);
    fleet.observe(3, MonoMs(6 * HOUR_MS));
    assert_eq!(fleet.largest(), 3);
}
