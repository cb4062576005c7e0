//! Two leaders at once after a restart: a leader that is cut off acts until its last contact with a quorum is
//! too old. Virtual time, fixed seeds.

mod consensus_sim;

use consensus_sim::Options;
use consensus_sim::Sim;

/// `LEADER_CONTACT_MAX_AGE_MS` of `fleet::control_vm`: up to this age a leader grants tokens.
const LEADER_ACTS_MS: u64 = 700;
/// What an election timeout of at least 500 ms leaves of that time for a second leader.
const ALLOWED_OVERLAP_MS: u64 = 200;
const SEEDS: u64 = 40;

fn options() -> Options {
    Options {
        link_bytes_per_ms: u64::MAX,
        ..Options::reliable()
    }
}

/// Shows how long a cut-off leader and the one that restarted voters elect both act. Voters that have just
/// started forget that they were in contact with a leader, and no longer wait for an election timeout.
#[test]
fn restarted_voters_elect_no_second_leader_while_the_first_one_may_act() {
    let mut overlaps = Vec::new();
    for seed in 0..SEEDS {
        let mut sim = Sim::new(seed, &["a", "b", "c"], options());
        sim.run(5_000);
        let first = sim.leader().unwrap();
        sim.isolate(&first);
        for vm in sim.names().into_iter().filter(|vm| *vm != first) {
            sim.crash(&vm);
            sim.start(&vm);
        }
        let until_ms = sim.now_ms + 5_000;
        while sim.now_ms < until_ms {
            sim.run(1);
            let old = sim.status(&first).unwrap().confirmed.unwrap();
            let old_age_ms = sim.now_ms - old.at_ms;
            let new = sim.names().into_iter().filter(|vm| *vm != first);
            let has_new = new.filter_map(|vm| sim.status(&vm)).any(|status| {
                let at_ms = status.confirmed.map_or(0, |confirmed| confirmed.at_ms);
                status.is_leader && at_ms > old.at_ms
            });
            if has_new {
                overlaps.push(LEADER_ACTS_MS.saturating_sub(old_age_ms));
                break;
            }
        }
    }
    let most = overlaps.iter().copied().max().unwrap();
    assert!(most <= ALLOWED_OVERLAP_MS, "overlaps in ms: {overlaps:?}");
}
