//! Members that are told of more lost disks than they can bear. Virtual time.

mod consensus_sim;

use medlarlift::types::VmName;

use consensus_sim::Options;
use consensus_sim::Sim;

fn run(sim: &mut Sim, duration_ms: u64) {
    let until_ms = sim.now_ms + duration_ms;
    while sim.now_ms < until_ms {
        let command = sim.number().to_be_bytes().to_vec();
        if let Some(leader) = sim.leader() {
            sim.propose(&leader, command);
        }
        sim.run(20);
    }
}

fn other_than_leader(sim: &Sim) -> VmName {
    let leader = sim.leader();
    let mut names = sim.names().into_iter();
    names
        .find(|vm| Some(vm) != leader.as_ref())
        .expect("others")
}

/// `replaced` members are removed for good one after the other, each followed by a successor that has 15 s. Then as
/// many of the others crash as `count` members can bear.
fn crashes_after_replacements(count: usize, disk_losses: usize, replaced: usize) {
    let names = &["a", "b", "c", "d", "e", "f"][..count];
    let mut sim = Sim::with_disk_losses(1, names, disk_losses, Options::reliable());
    run(&mut sim, 5_000);
    for number in 0..replaced {
        let gone = other_than_leader(&sim);
        sim.remove(&gone);
        sim.add(&VmName::from(format!("successor-{number}")));
        run(&mut sim, 15_000);
    }
    let before = sim.describe();
    for _ in 0..(count - 1) / 2 {
        let leader = sim.leader();
        let mut names = sim.names().into_iter();
        let running =
            names.find(|vm| sim.nodes[vm].process.is_some() && Some(vm) != leader.as_ref());
        let vm = running.expect("runs");
        sim.crash(&vm);
        run(&mut sim, 200);
    }
    let applied = sim.oracle.last_index();
    run(&mut sim, 10_000);
    let last = sim.oracle.last_index();
    assert!(
        last > applied + 100,
        "{count} members, {disk_losses} disks: applied {last} after {applied}\nbefore:\n{before}after:\n{}",
        sim.describe()
    );
}

#[test]
fn three_members_that_expect_one_lost_disk_bear_a_crash_after_a_replacement() {
    crashes_after_replacements(3, 1, 1);
}

/// Guards against a removed voter that counts for good, since there are never enough to demote it.
#[test]
fn three_members_that_expect_two_lost_disks_bear_a_crash_after_a_replacement() {
    crashes_after_replacements(3, 2, 1);
}

#[test]
fn six_members_that_expect_two_lost_disks_bear_two_crashes_after_replacements() {
    crashes_after_replacements(6, 2, 5);
}

#[test]
fn six_members_that_expect_six_lost_disks_bear_two_crashes_after_replacements() {
    crashes_after_replacements(6, 6, 5);
}

#[test]
fn five_members_that_expect_two_lost_disks_bear_two_crashes_after_replacements() {
    crashes_after_replacements(5, 2, 5);
}
