//! How long a controller goes on giving orders to engines that check fences, and to others.

use medlarlift::fleet::fencing::AssignmentStatus;
use medlarlift::fleet::fencing::Fencing;

const TIMED: Fencing = Fencing::Timed { lease_ms: 3_000 };
const CUT_OFF: AssignmentStatus = AssignmentStatus {
    is_assigned: true,
    has_recent_quorum: false,
    is_fenced_off: false,
    needs_leader: false,
};

/// The core is cut in two equal halves: nobody can assign the orders anew.
#[test]
fn a_holder_without_a_leader_goes_on_where_engines_check_fences() {
    assert!(Fencing::Checked.may_continue(CUT_OFF));
    assert!(!TIMED.may_continue(CUT_OFF));
}

/// After a restart of all controllers the log has no leader for most of a second.
#[test]
fn a_holder_resumes_from_its_disk_where_engines_check_fences() {
    assert!(Fencing::Checked.may_resume(true, false));
    assert!(!TIMED.may_resume(true, false));
    assert!(!Fencing::Checked.may_resume(false, false));
    assert!(!Fencing::Checked.may_resume(true, true));
}

#[test]
fn without_that_a_holder_needs_a_leader() {
    let needs_leader = AssignmentStatus {
        needs_leader: true,
        ..CUT_OFF
    };
    assert!(!Fencing::Checked.may_continue(needs_leader));
}

#[test]
fn a_holder_stops_when_an_engine_has_seen_a_higher_fence() {
    let fenced_off = AssignmentStatus {
        is_fenced_off: true,
        ..CUT_OFF
    };
    assert!(!Fencing::Checked.may_continue(fenced_off));
}

#[test]
fn a_holder_stops_when_the_log_names_another_one() {
    for has_recent_quorum in [false, true] {
        let replaced = AssignmentStatus {
            is_assigned: false,
            has_recent_quorum,
            ..CUT_OFF
        };
        assert!(!Fencing::Checked.may_continue(replaced));
        assert!(!TIMED.may_continue(replaced));
    }
}

/// The former holder may have given an order until it had not heard a quorum for 900 ms.
#[test]
fn a_new_holder_waits_only_where_engines_check_nothing() {
    assert_eq!(Fencing::Checked.takeover_delay_ms(), 0);
    assert!(TIMED.takeover_delay_ms() >= 900 + 3_000 - 1_600);
    assert_eq!(TIMED.restart_window_ms(), 3_000);
}
