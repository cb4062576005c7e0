//! Members of the log confirm their state only if it holds everything that was committed, whatever restarts and
//! whenever. Virtual time, fixed seeds.

mod consensus_sim;

use medlarlift::consensus::Timeouts;
use medlarlift::types::VmName;
use rand::RngExt;

use consensus_sim::Options;
use consensus_sim::Sim;

const RUN_MS: u64 = 60_000;
const SEEDS: u64 = 40;
/// Time by which a confirmation may be too late: a leader that was replaced notices within the maximum
/// election timeout, and its messages take up to 40 ms.
const CONFIRMATION_ERROR_MS: u64 = 1_100;
/// Time within which all members are confirmed after the faults have ended.
const RECOVERY_MS: u64 = 10_000;
/// Lateness of the messages on a link, less than the silence after which it is closed, and the steps in which it is reached.
const LATE_MS: u64 = 1_450;
const LATE_STEP_MS: usize = 50;
const LATE_STEP_INTERVAL_MS: u64 = 200;
/// Age up to which a confirmation counts as recent.
const RECENT_MS: u64 = 500;

fn options(seed: u64) -> Options {
    Options {
        loss: 0.02,
        duplication: 0.0,
        late_copies: 0.0,
        delay_ms: (1, 1 + seed % 40),
        sync_ms: (0, seed % 7 * 5),
        snapshot_every: [20, 200, 5_000][seed as usize % 3],
        padding_bytes: 0,
        link_bytes_per_ms: u64::MAX,
    }
}

/// The newest entry that any member knew to be committed, by time.
#[derive(Default)]
struct Commits(Vec<(u64, u64)>);

impl Commits {
    fn observe(&mut self, sim: &Sim) {
        let statuses = sim.names().into_iter().filter_map(|vm| sim.status(&vm));
        let newest = statuses.map(|status| status.commit_index).max();
        let known = self.0.last().map_or(0, |(_, index)| *index);
        if let Some(newest) = newest.filter(|newest| *newest > known) {
            self.0.push((sim.now_ms, newest));
        }
    }

    fn newest_at(&self, time_ms: u64) -> u64 {
        let before = self.0.iter().rfind(|(at_ms, _)| *at_ms <= time_ms);
        before.map_or(0, |(_, index)| *index)
    }
}

fn check(sim: &Sim, commits: &Commits, seed: u64) {
    for vm in sim.names() {
        let Some(confirmed) = sim.status(&vm).and_then(|status| status.confirmed) else {
            continue;
        };
        let known_ms = confirmed.at_ms.saturating_sub(CONFIRMATION_ERROR_MS);
        let committed = commits.newest_at(known_ms);
        assert!(
            confirmed.index >= committed,
            "seed {seed}: {vm} confirms {} as of {} ms, {committed} was committed at {known_ms} ms\n{}",
            confirmed.index,
            confirmed.at_ms,
            sim.describe()
        );
    }
}

fn random_vm(sim: &mut Sim) -> VmName {
    let names = sim.names();
    names[sim.rng.random_range(0..names.len())].clone()
}

/// Kills a random subset, isolates a member, or starts one, so that members come back seconds apart.
fn disturb(sim: &mut Sim) {
    match sim.rng.random_range(0..8) {
        0 => {
            for vm in sim.names() {
                sim.crash(&vm);
            }
        }
        1 => {
            let vm = random_vm(sim);
            sim.isolate(&vm);
        }
        2 => {
            let vm = random_vm(sim);
            let pause_ms = sim.rng.random_range(10..6_000);
            sim.nodes.get_mut(&vm).unwrap().frozen_until_ms = sim.now_ms + pause_ms;
        }
        3 | 4 => {
            let vm = random_vm(sim);
            sim.crash(&vm);
        }
        5 => sim.blocked.clear(),
        _ => {
            let vm = random_vm(sim);
            sim.start(&vm);
        }
    }
}

fn run(seed: u64, unstamped: &[&str]) {
    let mut sim = Sim::new(seed, &["a", "b", "c"], options(seed));
    sim.unstamped = unstamped.iter().map(|name| VmName::from(*name)).collect();
    let mut commits = Commits::default();
    let (mut fault_due_ms, mut change_due_ms, mut change) = (4_000, 0, 0);
    let until_ms = sim.now_ms + RUN_MS;
    while sim.now_ms < until_ms {
        sim.run(2);
        commits.observe(&sim);
        check(&sim, &commits, seed);
        if sim.now_ms >= change_due_ms {
            // Changes come seldom, so that the newest one is the last write on a disk.
            change_due_ms = sim.now_ms + sim.rng.random_range(20..4_000);
            change += 1;
            let target = sim.leader().unwrap_or_else(|| random_vm(&mut sim));
            sim.propose(&target, format!("change {change}").into_bytes());
        }
        if sim.now_ms >= fault_due_ms {
            fault_due_ms = sim.now_ms + sim.rng.random_range(50..2_500);
            disturb(&mut sim);
        }
    }
    sim.heal();
    sim.run(RECOVERY_MS);
    for vm in sim.names() {
        let status = sim.status(&vm).unwrap();
        let confirmed = status.confirmed.expect("confirmed after all faults");
        assert!(
            sim.now_ms - confirmed.at_ms <= RECENT_MS,
            "seed {seed}: {vm} {confirmed:?}"
        );
    }
}

#[test]
fn a_member_confirms_only_a_state_that_holds_everything_committed() {
    for seed in 0..SEEDS {
        run(seed, &[]);
    }
}

/// Guards against members that are not confirmed, or confirm too much, beside members of a build whose messages have no
/// stamps, as leader and as follower.
#[test]
fn members_with_and_without_stamps_confirm_each_others_state() {
    for seed in 0..SEEDS {
        let unstamped: &[&str] = [&["a"] as &[&str], &["b"], &["a", "c"]][seed as usize % 3];
        run(seed, unstamped);
    }
}

/// Guards against a controller that takes the commit index on its disk for the newest one.
#[test]
fn no_member_is_confirmed_before_a_leader_has_committed_an_entry() {
    let mut sim = Sim::new(1, &["a", "b", "c"], options(1));
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    sim.propose(&leader, b"newest".to_vec());
    sim.run(500);
    for vm in sim.names() {
        sim.crash(&vm);
    }
    let alone = VmName::from("a");
    sim.start(&alone);
    sim.run(5_000);
    assert_eq!(sim.status(&alone).unwrap().confirmed, None);
    sim.heal();
    sim.run(RECOVERY_MS);
    let confirmed = sim.status(&alone).unwrap().confirmed.unwrap();
    assert_eq!(confirmed.index, sim.oracle.last_index());
}

/// Guards against a member that counts as caught up because it hears from a leader, before it has the entries
/// that it missed: it would refuse keys and routes that are in force.
#[test]
fn contact_with_a_leader_does_not_confirm_a_member_that_lacks_its_entries() {
    let slow_link = Options {
        link_bytes_per_ms: 1_000,
        ..options(1)
    };
    let mut sim = Sim::new(1, &["a", "b", "c"], slow_link);
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    let away = sim.names().into_iter().find(|vm| *vm != leader).unwrap();
    sim.crash(&away);
    for _ in 0..10 {
        sim.propose(&leader, vec![7; 100_000]);
        sim.run(300);
    }
    let committed = sim.oracle.last_index();
    sim.start(&away);
    let mut seemed_caught_up = 0;
    while sim.status(&away).unwrap().confirmed.is_none() {
        sim.run(1);
        let status = sim.status(&away).unwrap();
        let applied = sim.nodes[&away].process.as_ref().unwrap().replica.index;
        let is_behind = applied < committed;
        let has_contact = status.quorum_contact_ms.is_some();
        seemed_caught_up += u32::from(is_behind && has_contact && applied == status.commit_index);
        assert!(!is_behind || status.confirmed.is_none(), "{status:?}");
    }
    assert!(seemed_caught_up > 0, "the case did not occur");
}

/// Guards against a member whose messages from the leader arrive late, on a link that is never silent, and that takes
/// what they say for what is true now.
#[test]
fn a_member_that_hears_its_leader_late_confirms_no_state_that_was_replaced_long_ago() {
    let mut sim = Sim::new(1, &["a", "b", "c"], options(1));
    sim.run(3_000);
    let leader = sim.leader().unwrap();
    let late = sim.names().into_iter().find(|vm| *vm != leader).unwrap();
    let mut commits = Commits::default();
    let link = (leader.clone(), late);
    for late_ms in (0..=LATE_MS).step_by(LATE_STEP_MS) {
        sim.late_ms.insert(link.clone(), late_ms);
        sim.propose(&leader, b"change".to_vec());
        for _ in 0..LATE_STEP_INTERVAL_MS {
            sim.run(1);
            commits.observe(&sim);
            check(&sim, &commits, 1);
        }
    }
}

/// Guards against VMs that cannot serve after a restart of everything until an election timeout has passed.
#[test]
fn after_a_restart_of_all_members_most_are_confirmed_before_an_election_timeout() {
    let mut is_fast = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, &["a", "b", "c"], options(seed));
        sim.run(3_000);
        for vm in sim.names() {
            sim.crash(&vm);
        }
        sim.heal();
        sim.run(Timeouts::default().election_min_ms);
        let names = sim.names();
        let mut statuses = names.iter().filter_map(|vm| sim.status(vm));
        is_fast.push(statuses.any(|status| status.confirmed.is_some()));
    }
    let fast = is_fast.iter().filter(|is_fast| **is_fast).count();
    assert!(2 * fast > is_fast.len(), "{fast} of {}", is_fast.len());
}
