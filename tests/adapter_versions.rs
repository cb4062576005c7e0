//! Versions of adapters that are announced in quick succession.

use medlarlift::gateway::adapter_versions::AdapterVersions;
use medlarlift::types::ModelName;
use medlarlift::types::MonoMs;

const GRACE_MS: u64 = 2_500;
/// Interval at which the versions are announced, shorter than the grace.
const INTERVAL_MS: u64 = 2_300;

/// Guards against a version that is due and forgotten when the next one is announced, so that requests begin
/// on replaced weights.
#[test]
fn each_version_becomes_due_whatever_is_announced_after_it() {
    let model = ModelName::from("base/frames");
    let mut versions = AdapterVersions::default();
    let announced = |version: u64| version * INTERVAL_MS;
    for now in 0..announced(30) {
        if now % INTERVAL_MS == 0 {
            versions.announce(&model, now / INTERVAL_MS, MonoMs(now), GRACE_MS);
        }
        let due = (0..30).rfind(|version| announced(*version) + GRACE_MS <= now);
        assert_eq!(
            versions.required(&model, MonoMs(now), GRACE_MS),
            due,
            "at {now}"
        );
    }
}

/// Guards against memory that grows with each announced version, and against an older announcement that
/// arrives late.
#[test]
fn many_versions_at_once_leave_the_newest_ones() {
    let model = ModelName::from("base/frames");
    let mut versions = AdapterVersions::default();
    for version in 1..=10_000 {
        versions.announce(&model, version, MonoMs(0), GRACE_MS);
    }
    versions.announce(&model, 7, MonoMs(1), GRACE_MS);
    let due = versions.required(&model, MonoMs(GRACE_MS), GRACE_MS);
    assert_eq!(due, Some(10_000));
}
