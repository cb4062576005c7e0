//! Until when an entry VM may refuse requests by what controllers told it.

use medlarlift::gateway::belief::Belief;
use medlarlift::gateway::belief::MAX_CONFIRMATION_AGE_MS;
use medlarlift::gateway::belief::PAUSE_MS;
use medlarlift::gateway::belief::QUEUE_DRAIN_MS;
use medlarlift::types::MonoMs;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const START: MonoMs = MonoMs(5_000);
/// Interval of observations and of the statuses of a controller.
const TICK_MS: u64 = 100;
const STATUS_MS: u64 = 500;

/// Observes each tick from `from` to `until`, as a VM does that runs and hears nobody.
fn run(belief: &mut Belief, from: MonoMs, until: MonoMs) {
    let mut now = from;
    while now < until {
        belief.observe(now);
        now = now.plus(TICK_MS);
    }
    belief.observe(until);
}

/// Guards against refusals without end by a VM that hears no controller any more.
#[test]
fn a_confirmation_expires() {
    let mut belief = Belief::default();
    assert!(!belief.confirms(7, START));
    assert!(belief.confirm(1, 7, START));
    let last = START.plus(MAX_CONFIRMATION_AGE_MS - 1);
    run(&mut belief, START, last);
    assert!(belief.confirms(7, last));
    let expired = START.plus(MAX_CONFIRMATION_AGE_MS);
    for now in [expired, expired.plus(3_600_000)] {
        assert!(!belief.confirms(7, now));
    }
    belief.observe(expired);
    assert!(belief.confirm(1, 7, expired));
    assert!(belief.confirms(7, expired), "it is confirmed again");
}

#[test]
fn a_confirmation_ends_with_its_link_and_with_a_status_that_confirms_nothing() {
    for end in [Belief::close, Belief::withdraw] {
        let mut belief = Belief::default();
        belief.open(1, START);
        belief.open(2, START);
        belief.confirm(1, 7, START);
        belief.confirm(2, 7, START);
        end(&mut belief, 1);
        assert!(belief.confirms(7, START), "the other controller confirms");
        end(&mut belief, 2);
        assert!(!belief.confirms(7, START));
    }
}

/// Guards against refusals by an older configuration that a controller confirms which is not up to date.
#[test]
fn a_lower_version_beside_a_higher_one_does_not_become_the_one_in_force() {
    let mut belief = Belief::default();
    belief.confirm(1, 8, START);
    belief.confirm(2, 7, START);
    assert!(!belief.confirms(7, START));
    assert!(belief.confirms(8, START));
    // The controller that told of 8 is gone, and 8 is still known to be committed.
    belief.close(1);
    assert!(!belief.confirms(7, START));
    assert!(belief.confirms(8, START), "nobody names a newer one than 8");
}

/// Guards against confirmations that were sent before the process stood still.
#[test]
fn what_queued_up_while_the_process_stood_still_confirms_nothing() {
    let mut belief = Belief::default();
    belief.confirm(1, 7, START);
    run(&mut belief, START, START.plus(STATUS_MS));
    let resumed = START.plus(STATUS_MS + 20_000);
    assert!(!belief.confirms(7, resumed));
    assert!(!belief.confirm(1, 7, resumed));
    assert!(!belief.confirm(2, 7, resumed.plus(QUEUE_DRAIN_MS - 1)));
    assert!(!belief.confirms(7, resumed.plus(QUEUE_DRAIN_MS - 1)));
    let drained = resumed.plus(QUEUE_DRAIN_MS);
    assert!(!belief.confirms(7, drained));
    assert!(belief.confirm(1, 7, drained));
    assert!(belief.confirms(7, drained));
}

/// Guards against servers that are taken for silent because the process stood still.
#[test]
fn silence_counts_from_the_time_at_which_the_process_went_on() {
    let mut belief = Belief::default();
    run(&mut belief, START, START.plus(60_000));
    assert_eq!(belief.fresh_from(), MonoMs(0));
    let resumed = START.plus(80_000);
    belief.observe(resumed);
    assert_eq!(belief.fresh_from(), resumed.plus(QUEUE_DRAIN_MS));
    run(&mut belief, resumed, resumed.plus(60_000));
    assert_eq!(belief.fresh_from(), resumed.plus(QUEUE_DRAIN_MS));
}

/// What queued up may be outdated, but what it names was in force.
#[test]
fn what_queued_up_still_tells_that_older_versions_are_outdated() {
    let mut belief = Belief::default();
    belief.observe(START);
    let resumed = START.plus(20_000);
    belief.confirm(1, 8, resumed);
    let drained = resumed.plus(QUEUE_DRAIN_MS);
    assert!(belief.confirm(2, 7, drained));
    assert!(!belief.confirms(7, drained));
    assert!(belief.knows_newer(7, drained));
}

#[test]
fn a_process_that_starts_or_is_slow_for_a_moment_did_not_stand_still() {
    let mut belief = Belief::default();
    assert!(belief.confirm(1, 7, START), "the first observation");
    let slow = START.plus(PAUSE_MS);
    assert!(belief.confirm(1, 7, slow));
    assert!(belief.confirms(7, slow));
}

/// Compares with the rule by which changes take effect: later than 3 s after the acknowledgement of a version, no VM
/// refuses by an older one, whoever was away and whatever was lost or delayed.
#[test]
fn no_vm_refuses_by_a_version_that_was_replaced_three_seconds_ago() {
    let confirmed: u64 = (0..SEEDS).map(check_random_history).sum();
    // The VM is away in about half of the time.
    assert!(confirmed * 4 > SEEDS * STEPS, "{confirmed} steps");
}

/// Age up to which a controller calls its state confirmed.
const CONTROLLER_AGE_MS: u64 = 900;
const CHANGE_IN_FORCE_MS: u64 = 3_000;
const LINKS: u64 = 3;
const STEP_MS: u64 = 10;
const STEPS: u64 = 3_000;
const SEEDS: u64 = 1_000;

/// A status on its way: link, version, arrival.
type Status = (u64, u64, MonoMs);

/// Returns the number of steps in which the newest version was confirmed.
fn check_random_history(seed: u64) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut belief = Belief::default();
    for link in 0..LINKS {
        belief.open(link, START);
    }
    // The version of each moment; it rises at random times.
    let mut versions = vec![(START, 1)];
    let mut on_its_way: Vec<Status> = Vec::new();
    let mut now = START;
    let mut is_cut = false;
    let mut resumes = START;
    let mut confirmed = 0;
    for _ in 0..STEPS {
        now = now.plus(STEP_MS);
        if random.random_bool(0.004) {
            versions.push((now, versions.len() as u64 + 1));
        }
        if random.random_bool(0.003) {
            is_cut = !is_cut;
        }
        if random.random_bool(0.003) {
            resumes = now.plus(random.random_range(0..6_000));
        }
        let link = random.random_range(0..LINKS);
        if !is_cut && random.random_bool(0.05) {
            let seen = MonoMs(now.0 - random.random_range(0..CONTROLLER_AGE_MS));
            let delay_ms = random.random_range(0..100);
            on_its_way.push((link, version_at(&versions, seen), now.plus(delay_ms)));
        }
        if now < resumes {
            continue;
        }
        if now.0.is_multiple_of(TICK_MS) {
            belief.observe(now);
        }
        on_its_way.sort_by_key(|(_, _, arrival)| *arrival);
        let arrived = on_its_way.partition_point(|(_, _, arrival)| *arrival <= now);
        for (link, version, _) in on_its_way.drain(..arrived) {
            belief.confirm(link, version, now);
        }
        let due = version_at(&versions, MonoMs(now.0 - CHANGE_IN_FORCE_MS));
        for old in due.saturating_sub(3)..due {
            assert!(
                !belief.confirms(old, now),
                "seed {seed}, {now:?}: {old} was replaced"
            );
        }
        confirmed += u64::from(belief.confirms(version_at(&versions, now), now));
    }
    confirmed
}

fn version_at(versions: &[(MonoMs, u64)], at: MonoMs) -> u64 {
    let held = versions.iter().rev().find(|(from, _)| *from <= at);
    held.map_or(1, |(_, version)| *version)
}

/// Guards against a refusal, or a start of service, by a configuration that is older than the one by which another
/// VM has handled a request of the same callers.
#[test]
fn a_version_that_another_vm_went_by_outdates_older_ones() {
    let mut belief = Belief::default();
    assert!(belief.confirm(1, 7, START));
    belief.note_handled_elsewhere(8, START);
    belief.note_handled_elsewhere(6, START);
    assert_eq!(belief.handled_elsewhere(), 8);
    assert!(!belief.confirms(7, START));
    assert!(belief.knows_newer(7, START));
    assert!(belief.confirm(1, 8, START));
    assert!(belief.confirms(8, START));
    assert!(!belief.knows_newer(8, START));
}

/// Guards against a VM that waits for good for a version that was named elsewhere by mistake: a server's own header that a
/// VM of a former build passed on, or a version that a fleet set up anew does not have. What a controller confirms,
/// asked long after that, is in force.
#[test]
fn a_version_named_elsewhere_does_not_outlast_what_controllers_confirm_later() {
    let mut belief = Belief::default();
    belief.open(1, START);
    assert!(belief.confirm(1, 7, START));
    belief.note_handled_elsewhere(u64::MAX, START);
    let mut now = START;
    for _ in 0..120 {
        run(&mut belief, now, now.plus(500));
        now = now.plus(500);
        assert!(belief.confirm(1, 7, now));
    }
    assert!(belief.confirms(7, now), "not within 60 s");
}
