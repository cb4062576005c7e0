//! What a controller publishes, by what is known about its log.

use medlarlift::consensus::Status;
use medlarlift::fleet::publication::Publication;
use medlarlift::fleet::publication::UNCONFIRMED_DELAY_MS;

const NEVER_MS: u64 = u64::MAX;

fn publication(contact_age_ms: u64, confirmed_age_ms: u64, uptime_ms: u64) -> Publication {
    let status = Status {
        quorum_contact_age_ms: contact_age_ms,
        confirmed_age_ms,
        ..Status::default()
    };
    Publication::of(&status, uptime_ms)
}

#[test]
fn what_a_disk_holds_is_withheld_until_a_leader_confirms_it() {
    assert_eq!(publication(NEVER_MS, NEVER_MS, 5), Publication::Withheld);
    assert_eq!(publication(10, NEVER_MS, 700), Publication::Withheld);
    assert_eq!(publication(10, 10, 720), Publication::Confirmed);
}

#[test]
fn a_controller_without_a_leader_publishes_later_and_as_unconfirmed() {
    let early_ms = UNCONFIRMED_DELAY_MS - 1;
    assert_eq!(
        publication(NEVER_MS, NEVER_MS, early_ms),
        Publication::Withheld
    );
    let late_ms = UNCONFIRMED_DELAY_MS;
    assert_eq!(
        publication(NEVER_MS, NEVER_MS, late_ms),
        Publication::Unconfirmed
    );
    // A leader that falls silent while the controller catches up.
    assert_eq!(publication(1_500, NEVER_MS, 9_000), Publication::Withheld);
    assert_eq!(
        publication(late_ms, NEVER_MS, 9_000),
        Publication::Unconfirmed
    );
}

#[test]
fn a_controller_that_was_away_publishes_nothing_while_it_catches_up() {
    assert_eq!(publication(6_000, 6_000, 60_000), Publication::Unconfirmed);
    assert_eq!(publication(20, 6_000, 60_000), Publication::Withheld);
    assert_eq!(publication(20, 20, 60_000), Publication::Confirmed);
}
