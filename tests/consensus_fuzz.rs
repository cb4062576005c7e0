//! Randomised fault injection into the consensus core and its storage, with fixed seeds.

mod consensus_sim;

use medlarlift::types::VmName;
use rand::RngExt;

use consensus_sim::Options;
use consensus_sim::Sim;

/// Virtual time within which a cluster must recover after all faults have ended. An election takes
/// at most a few timeouts of 1 s, and a repair a few more; the rest allows for split votes.
const RECOVERY_MS: u64 = 20_000;

/// Virtual time of one run.
const RUN_MS: u64 = 40_000;

fn options(seed: u64) -> Options {
    Options {
        loss: 0.02,
        duplication: 0.02,
        late_copies: 0.02,
        delay_ms: (1, 1 + seed % 40),
        sync_ms: (0, seed % 7 * 5),
        snapshot_every: [20, 200, 5_000][seed as usize % 3],
        padding_bytes: if seed.is_multiple_of(5) { 600_000 } else { 0 },
        link_bytes_per_ms: u64::MAX,
    }
}

fn random_vm(sim: &mut Sim) -> VmName {
    let names = sim.names();
    let choice = sim.rng.random_range(0..names.len());
    names[choice].clone()
}

/// Injects one random fault, or ends one.
fn inject_fault(sim: &mut Sim) {
    let vm = random_vm(sim);
    let other = random_vm(sim);
    match sim.rng.random_range(0..14) {
        0 => sim.crash(&vm),
        1 | 2 => {
            // Crashes the process at a random operation of its next writes.
            let count = sim.rng.random_range(0..8);
            sim.nodes[&vm].disk.fail_after(count);
        }
        3 => lose_one_disk(sim, &vm),
        4 => damage_one_disk(sim, &vm),
        5 => sim.isolate(&vm),
        6 => {
            sim.blocked.insert((vm, other));
        }
        7 | 8 => sim.blocked.clear(),
        9 => {
            let duration_ms = sim.rng.random_range(10..8_000);
            let node = sim.nodes.get_mut(&vm).expect("known VM");
            node.frozen_until_ms = sim.now_ms + duration_ms;
        }
        10 => {
            let jump_ms = sim.rng.random_range(-3_000..8_000);
            sim.nodes.get_mut(&vm).expect("known VM").clock_skew_ms += jump_ms;
        }
        11 => sim.options.loss = [0.0, 0.02, 0.3][sim.rng.random_range(0..3)],
        _ => start_all(sim),
    }
}

/// Wipes a disk, if the cluster must survive its loss.
fn lose_one_disk(sim: &mut Sim, vm: &VmName) {
    if sim.is_repaired() {
        sim.lose_disk(vm);
    }
}

/// Flips a bit of a stopped VM, if the cluster must survive the loss of its disk.
fn damage_one_disk(sim: &mut Sim, vm: &VmName) {
    if !sim.is_repaired() {
        return;
    }
    sim.crash(vm);
    let sizes = sim.nodes[vm].disk.sizes();
    let (name, size) = sizes[sim.rng.random_range(0..sizes.len())].clone();
    let byte = sim.rng.random_range(0..size.max(1));
    let bit = sim.rng.random_range(0..8);
    let node = sim.nodes.get_mut(vm).expect("known VM");
    node.is_damaged = node.disk.flip_bit(&name, byte, bit);
}

fn start_all(sim: &mut Sim) {
    for vm in sim.names() {
        sim.start(&vm);
    }
}

/// Proposes commands and injects faults. One seed in four injects a fault every 165 ms on average,
/// which is less than the duration of an election.
fn run_workload(sim: &mut Sim, seed: u64, until_ms: u64) {
    let longest_ms = if seed % 4 == 3 { 310 } else { 1_500 };
    let mut command = sim.number();
    let mut fault_due_ms = sim.now_ms;
    while sim.now_ms < until_ms {
        let pause_ms = sim.rng.random_range(1..40);
        sim.run(pause_ms);
        let target = sim.leader().unwrap_or_else(|| random_vm(sim));
        command += 1;
        sim.propose(&target, format!("command {command}").into_bytes());
        if sim.now_ms >= fault_due_ms {
            fault_due_ms = sim.now_ms + sim.rng.random_range(20..longest_ms);
            inject_fault(sim);
        }
    }
}

/// Runs one seed. Returns the number of lost disks and of snapshots that replaced a log.
fn fuzz(seed: u64, founders: &[&str]) -> (usize, usize) {
    let mut sim = Sim::new(seed, founders, options(seed));
    sim.run(3_000);
    let until_ms = sim.now_ms + RUN_MS;
    run_workload(&mut sim, seed, until_ms);
    sim.heal();
    let deadline_ms = sim.now_ms + RECOVERY_MS;
    while !(sim.is_repaired() && sim.has_converged()) {
        assert!(
            sim.now_ms < deadline_ms,
            "seed {seed}: no recovery: {}",
            sim.describe()
        );
        sim.run(100);
    }
    // A formerly isolated leader may not know its successor yet and would accept proposals that are
    // never committed.
    sim.run(3_000);
    let leader = sim.leader().expect("repaired");
    assert!(
        sim.propose(&leader, b"last".to_vec()),
        "seed {seed}: proposal rejected"
    );
    sim.run(500);
    let commands = sim.oracle.commands();
    assert!(
        commands.last().is_some_and(|(_, last)| last == b"last"),
        "seed {seed}"
    );
    assert!(sim.has_converged(), "seed {seed}: a replica lags behind");
    println!(
        "seed {seed}: {} commands, {} elections",
        commands.len(),
        sim.oracle.elections
    );
    (sim.lost_disks, sim.installs)
}

/// Runs `count` seeds from `first`, or the number given by the environment variable FUZZ_SEEDS, and
/// checks that the runs lost disks and installed snapshots.
fn fuzz_all(first: u64, count: u64, founders: &[&str]) {
    let wanted = std::env::var("FUZZ_SEEDS").ok();
    let count = wanted.and_then(|text| text.parse().ok()).unwrap_or(count);
    let (mut lost_disks, mut installs) = (0, 0);
    for seed in first..first + count {
        let (lost, installed) = fuzz(seed, founders);
        lost_disks += lost;
        installs += installed;
    }
    println!("{lost_disks} disks lost, {installs} snapshots installed over a log");
    assert!(lost_disks > 0 && installs > 0, "the seeds cover too little");
}

/// Guards against lost or changed committed entries, two leaders in a term, replicas that diverge
/// and a cluster that does not recover, with three voters.
#[test]
fn three_voters_survive_random_faults() {
    fuzz_all(0, 40, &["a", "b", "c"]);
}

/// The same with five voters.
#[test]
fn five_voters_survive_random_faults() {
    fuzz_all(10_000, 20, &["a", "b", "c", "d", "e"]);
}
