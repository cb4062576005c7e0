//! Tests of engine reservations for suspects of the crash quarantine.

use medlarlift::scheduling::suspects::SUSPECT_FORMAT;
use medlarlift::scheduling::suspects::SuspectRequest;
use medlarlift::scheduling::suspects::SuspectReservations;
use medlarlift::types::MonoMs;
use medlarlift::types::ServerName;
use medlarlift::types::VmName;

fn request(vm: &str, dispatch: u64, release: bool) -> SuspectRequest {
    SuspectRequest {
        format: SUSPECT_FORMAT,
        server: ServerName::from("engine"),
        fingerprint: [1; 32],
        vm: VmName::from(vm),
        dispatch,
        release,
    }
}

/// Guards against two suspects on one engine, from one VM or from two, and against a reservation that
/// is released by another VM or by a delayed release.
#[test]
fn an_engine_runs_one_suspect_until_its_vm_releases_it() {
    let mut engines = SuspectReservations::default();
    let now = MonoMs(1_000);
    assert!(engines.decide(&request("vm1", 1, false), now));
    assert!(engines.decide(&request("vm1", 1, false), now), "a resend");
    assert!(!engines.decide(&request("vm2", 1, false), now));
    assert!(!engines.decide(&request("vm1", 2, false), now));
    engines.decide(&request("vm2", 1, true), now);
    assert!(!engines.decide(&request("vm2", 1, false), now));
    engines.decide(&request("vm1", 1, true), now);
    assert!(engines.decide(&request("vm2", 1, false), now));
    engines.decide(&request("vm1", 1, true), now);
    assert!(!engines.decide(&request("vm1", 3, false), now));
}

/// Guards against a reservation of a failed VM that never lapses, and against requests of another
/// format version.
#[test]
fn reservations_lapse_and_other_formats_are_rejected() {
    let mut engines = SuspectReservations::default();
    assert!(engines.decide(&request("vm1", 1, false), MonoMs(0)));
    assert!(!engines.decide(&request("vm2", 1, false), MonoMs(29_999)));
    assert!(engines.decide(&request("vm2", 1, false), MonoMs(30_000)));
    let mut other = request("vm2", 1, false);
    other.format += 1;
    assert!(!engines.decide(&other, MonoMs(30_000)));
}

/// Guards against a suspect that runs on several engines at the same time, sent by several VMs.
#[test]
fn a_suspect_runs_on_one_engine_at_a_time() {
    let mut engines = SuspectReservations::default();
    let now = MonoMs(1_000);
    assert!(engines.decide(&request("vm1", 1, false), now));
    let mut elsewhere = request("vm2", 1, false);
    elsewhere.server = ServerName::from("another");
    assert!(!engines.decide(&elsewhere, now));
    let mut other = elsewhere.clone();
    other.fingerprint = [2; 32];
    assert!(engines.decide(&other, now));
    other.release = true;
    engines.decide(&other, now);
    engines.decide(&request("vm1", 1, true), now);
    assert!(engines.decide(&elsewhere, now));
}
