//! As many disks as may be lost at once are lost while all other members lose power, at any moment of any sequence
//! of other failures. The log keeps a quorum. Virtual time, random seeds.

mod consensus_sim;

use medlarlift::types::VmName;
use rand::RngExt;
use rand::seq::IteratorRandom;

use consensus_sim::Options;
use consensus_sim::Sim;

/// Time after the return of all members within which a change is committed, if one disk may be lost.
const RECOVERY_OF_ONE_MS: u64 = 12_000;
/// The same if two disks may be lost.
const RECOVERY_OF_TWO_MS: u64 = 15_000;
/// Largest number of failures before the end.
const STEPS: usize = 40;
/// Interval of proposals.
const PROPOSE_MS: u64 = 20;
/// Time in which a member that has just started is promoted.
const JOIN_MS: u64 = 5_000;

fn propose(sim: &mut Sim) {
    let command = sim.number().to_be_bytes().to_vec();
    if let Some(leader) = sim.leader() {
        sim.propose(&leader, command);
    }
}

fn run(sim: &mut Sim, duration_ms: u64) {
    let until_ms = sim.now_ms + duration_ms;
    while sim.now_ms < until_ms {
        propose(sim);
        sim.run(PROPOSE_MS.min(until_ms - sim.now_ms));
    }
}

/// Crashes a member or starts one again. No disk is lost.
fn disturb(sim: &mut Sim, history: &mut Vec<String>) {
    let names = sim.names();
    let vm = names.into_iter().choose(&mut sim.rng).expect("has members");
    let now_ms = sim.now_ms;
    if sim.nodes[&vm].process.is_none() {
        history.push(format!("{now_ms} start {vm}"));
        sim.start(&vm);
    } else {
        history.push(format!("{now_ms} crash {vm}"));
        sim.crash(&vm);
    }
    let pause_ms = sim.rng.random_range(0..3_000);
    run(sim, pause_ms);
}

/// The disks of `lost` are lost, all other members lose power, and all come back one after the other. Returns what
/// is wrong if no change is committed in time afterwards.
fn end(sim: &mut Sim, lost: &[VmName]) -> Result<(), String> {
    let applied = sim.oracle.last_index();
    let before = sim.describe();
    for vm in sim.names() {
        match lost.contains(&vm) {
            true => sim.lose_disk(&vm),
            false => sim.crash(&vm),
        }
    }
    for vm in sim.names() {
        let pause_ms = sim.rng.random_range(0..300);
        sim.run(pause_ms);
        sim.start(&vm);
    }
    let recovery_ms = match lost.len() {
        1 => RECOVERY_OF_ONE_MS,
        _ => RECOVERY_OF_TWO_MS,
    };
    run(sim, recovery_ms);
    let leader = sim.leader();
    let last = sim.oracle.last_index();
    if leader.is_some() && last > applied {
        return Ok(());
    }
    let after = sim.describe();
    Err(format!(
        "disks lost: {lost:?}, leader {leader:?}, applied {last} after {applied}\nbefore:\n{before}after:\n{after}"
    ))
}

fn drawn_end(seed: u64, joined: usize, disk_losses: usize) -> Result<(), String> {
    let founders = ["a", "b", "c"];
    let mut sim = Sim::with_disk_losses(seed, &founders, disk_losses, Options::reliable_of(seed));
    run(&mut sim, 3_000);
    for number in 0..joined {
        sim.add(&VmName::from(format!("joined-{number}")));
    }
    run(&mut sim, JOIN_MS);
    let mut history = Vec::new();
    for _ in 0..sim.rng.random_range(1..STEPS) {
        disturb(&mut sim, &mut history);
    }
    let lost = sim.names().into_iter().sample(&mut sim.rng, disk_losses);
    end(&mut sim, &lost).map_err(|error| {
        let tail = history.len().saturating_sub(12);
        format!("seed {seed}: {}\n{error}", history[tail..].join("\n"))
    })
}

/// Runs `seeds`, or as many from their first on as the environment variable FUZZ_SEEDS names.
fn drawn_ends(seeds: &[u64], joined: usize, disk_losses: usize) {
    let wanted = std::env::var("FUZZ_SEEDS").ok();
    let wanted = wanted.and_then(|text| text.parse::<u64>().ok());
    let seeds = wanted.map_or(seeds.to_vec(), |count| {
        (seeds[0]..seeds[0] + count).collect()
    });
    let ends = seeds
        .iter()
        .map(|seed| drawn_end(*seed, joined, disk_losses));
    let failed: Vec<String> = ends.filter_map(Result::err).collect();
    let count = seeds.len();
    assert!(
        failed.is_empty(),
        "{} of {count}\n{}",
        failed.len(),
        failed[0]
    );
}

#[test]
fn three_members_keep_a_quorum_when_one_disk_is_lost_and_the_others_lose_power() {
    drawn_ends(&[0, 1, 2], 0, 1);
}

#[test]
fn five_members_keep_a_quorum_when_two_disks_are_lost_and_the_others_lose_power() {
    drawn_ends(&[0, 1], 2, 2);
}

/// Guards against voters that shrink to four and three while two disks may be lost.
#[test]
fn six_members_keep_a_quorum_when_two_disks_are_lost_and_the_others_lose_power() {
    drawn_ends(&[235], 3, 2);
}

/// Of `count` members one is down, its disk intact, and a new one takes its place. As many others as may be lost
/// lose their disks `after_ms` after the voters have changed, while all others lose power.
fn end_while_replaced(count: usize, after_ms: u64, spared: usize) -> Result<(), String> {
    let names = &["a", "b", "c", "d", "e"][..count];
    let mut sim = Sim::new(1, names, Options::reliable_of(1));
    run(&mut sim, 3_000);
    let leader = sim.leader().expect("leads");
    let mut others = sim.names();
    others.retain(|vm| *vm != leader);
    let down = others.remove(spared);
    sim.crash(&down);
    sim.add(&VmName::from("successor"));
    let voters = |sim: &Sim| sim.status(&leader).expect("runs").configuration.voters;
    let former = voters(&sim);
    let added_ms = sim.now_ms;
    while voters(&sim) == former {
        run(&mut sim, 1);
        assert!(sim.now_ms < added_ms + JOIN_MS, "{}", sim.describe());
    }
    run(&mut sim, after_ms);
    others.truncate((count - 1) / 2);
    end(&mut sim, &others).map_err(|error| format!("{after_ms} ms later, {down} down: {error}"))
}

fn ends_while_replaced(count: usize) {
    let moments_ms = [0, 20, 60];
    let spared = 0..count - 1;
    let cases = spared.flat_map(|spared| moments_ms.map(|after_ms| (spared, after_ms)));
    let ends = cases.map(|(spared, after_ms)| end_while_replaced(count, after_ms, spared));
    let failed: Vec<String> = ends.filter_map(Result::err).collect();
    assert!(failed.is_empty(), "{} ends\n{}", failed.len(), failed[0]);
}

/// Guards against a replaced member that is demoted before its successor votes: two voters were left.
#[test]
fn a_replacement_among_three_never_leaves_two_voters_of_which_one_disk_may_be_lost() {
    ends_while_replaced(3);
}

/// The same with five voters, of which four were left while two disks may be lost.
#[test]
fn a_replacement_among_five_never_leaves_four_voters_of_which_two_disks_may_be_lost() {
    ends_while_replaced(5);
}
