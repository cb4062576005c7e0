//! How long a controller goes on giving orders to engines that check fences, and to others.

use medlarlift::fleet::holding::Fencing;
use medlarlift::fleet::holding::Standing;

const TIMED: Fencing = Fencing::Timed { lease_ms: 3_000 };
const CUT_OFF: Standing = Standing {
    is_assigned: true,
    is_fresh: false,
    is_outranked: false,
    needs_leader: false,
};

/// The core is cut in two equal halves: nobody can assign the orders anew.
#[test]
fn a_holder_without_a_leader_goes_on_where_engines_check_fences() {
    assert!(Fencing::Checked.keeps(CUT_OFF));
    assert!(!TIMED.keeps(CUT_OFF));
}

/// After a restart of all controllers the log has no leader for most of a second.
#[test]
fn a_holder_resumes_from_its_disk_where_engines_check_fences() {
    assert!(Fencing::Checked.resumes(true, false));
    assert!(!TIMED.resumes(true, false));
    assert!(!Fencing::Checked.resumes(false, false));
    assert!(!Fencing::Checked.resumes(true, true));
}

#[test]
fn without_that_a_holder_needs_a_leader() {
    let needs_leader = Standing {
        needs_leader: true,
        ..CUT_OFF
    };
    assert!(!Fencing::Checked.keeps(needs_leader));
}

#[test]
fn a_holder_stops_when_an_engine_has_seen_a_higher_fence() {
    let outranked = Standing {
        is_outranked: true,
        ..CUT_OFF
    };
    assert!(!Fencing::Checked.keeps(outranked));
}

#[test]
fn a_holder_stops_when_the_log_names_another_one() {
    for is_fresh in [false, true] {
        let replaced = Standing {
            is_assigned: false,
            is_fresh,
            ..CUT_OFF
        };
        assert!(!Fencing::Checked.keeps(replaced));
        assert!(!TIMED.keeps(replaced));
    }
}

/// The former holder may have given an order until it had not heard a quorum for 900 ms.
#[test]
fn a_new_holder_waits_only_where_engines_check_nothing() {
    assert_eq!(Fencing::Checked.takeover_ms(), 0);
    assert!(TIMED.takeover_ms() >= 900 + 3_000 - 1_600);
    assert_eq!(TIMED.restart_ms(), 3_000);
}
