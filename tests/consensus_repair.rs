//! Repair of the replicated log in virtual time, with commands as large as grown configurations.

mod consensus_sim;

use medlarlift::types::VmName;

use consensus_sim::Options;
use consensus_sim::Sim;

/// Size of a configuration with some 1,400 routes.
const COMMAND_BYTES: usize = 400_000;
/// Interval of the operator's changes.
const CHANGE_INTERVAL_MS: u64 = 330;
/// Entries after which a controller takes a snapshot.
const SNAPSHOT_EVERY: u64 = 96;
/// One-way delay between two regions.
const DELAY_MS: u64 = 30;
/// Throughput of a link between two small VMs in different regions.
const LINK_BYTES_PER_MS: u64 = 10_000;
/// Time after its return from which a VM counts as repaired on the platform.
const CATCH_UP_MS: u64 = 4_000;
/// Time until a VM that lost its disk is back.
const DOWN_MS: u64 = 3_000;

fn three_regions() -> Sim {
    let options = Options {
        loss: 0.0,
        duplication: 0.0,
        late_copies: 0.0,
        delay_ms: (DELAY_MS, DELAY_MS),
        sync_ms: (5, 5),
        snapshot_every: SNAPSHOT_EVERY,
        padding_bytes: COMMAND_BYTES,
        link_bytes_per_ms: LINK_BYTES_PER_MS,
    };
    let mut sim = Sim::new(1, &["a", "b", "c"], options);
    sim.run(3_000);
    sim
}

/// Proposes large commands for `duration_ms`, whoever leads.
fn change(sim: &mut Sim, duration_ms: u64) {
    for _ in 0..duration_ms / CHANGE_INTERVAL_MS {
        let mut command = sim.number().to_be_bytes().to_vec();
        command.resize(COMMAND_BYTES, 0);
        if let Some(leader) = sim.leader() {
            sim.propose(&leader, command);
        }
        sim.run(CHANGE_INTERVAL_MS);
    }
}

/// Loses the disk of `vm`, which is back a little later, and gives it the time to catch up.
fn lose_and_return(sim: &mut Sim, vm: &VmName) {
    sim.lose_disk(vm);
    change(sim, DOWN_MS);
    sim.start(vm);
    change(sim, CATCH_UP_MS);
}

/// Guards against a log that is left without a quorum by two disks lost one after the other: a VM with an
/// empty disk was sent every retained entry, one in a round trip, in place of the much smaller snapshot.
#[test]
fn an_empty_vm_is_a_voter_in_time_after_many_large_changes() {
    let mut sim = three_regions();
    change(&mut sim, 40_000);
    for vm in sim.names() {
        lose_and_return(&mut sim, &vm);
        assert!(
            sim.is_repaired(),
            "after the loss of {vm}:\n{}",
            sim.describe()
        );
    }
    let acknowledged = sim.oracle.commands().len();
    change(&mut sim, 3_300);
    assert!(
        sim.oracle.commands().len() >= acknowledged + 8,
        "{}",
        sim.describe()
    );
}
