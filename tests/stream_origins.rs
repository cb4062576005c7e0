//! Which software version may go on with a stream.

use medlarlift::scheduling::stream_origins::STREAM_MEMORY_MS;
use medlarlift::scheduling::stream_origins::SoftwareVersions;
use medlarlift::scheduling::stream_origins::StreamBegin;
use medlarlift::scheduling::stream_origins::StreamOrigin;
use medlarlift::scheduling::stream_origins::StreamOrigins;
use medlarlift::scheduling::stream_origins::only_origin;
use medlarlift::types::MonoMs;
use medlarlift::types::ServiceName;
use medlarlift::types::SoftwareVersion;
use medlarlift::types::StreamKey;

fn origin(service: &str, software: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceName::from(service),
        software: SoftwareVersion::from(software),
    }
}

fn begin(number: usize, software: &str, age_ms: u32) -> StreamBegin {
    StreamBegin {
        stream: key(number),
        origin: origin("models", software),
        age_ms,
    }
}

fn key(number: usize) -> StreamKey {
    StreamKey::of_request(&format!("r{number}"))
}

/// Origin of a stream of the services `targets` that nobody remembers.
fn guess(
    targets: &[&str],
    listed: &[(&str, &str)],
    announced: &[(&str, &str)],
) -> Option<StreamOrigin> {
    let mut versions = SoftwareVersions::default();
    for (index, (service, software)) in listed.iter().enumerate() {
        versions.add(index as u64 + 1, &origin(service, software));
    }
    let services: Vec<ServiceName> = targets
        .iter()
        .map(|name| ServiceName::from(*name))
        .collect();
    let announced = announced
        .iter()
        .map(|(service, software)| origin(service, software));
    only_origin(services.iter(), &versions, announced)
}

#[test]
fn the_first_origin_of_a_stream_counts() {
    let mut origins = StreamOrigins::new(10);
    assert!(origins.record(&begin(1, "v1", 0), MonoMs(0)));
    assert!(!origins.record(&begin(1, "v2", 0), MonoMs(5)));
    assert_eq!(origins.get(key(1)), Some(&origin("models", "v1")));
    assert_eq!(origins.get(key(2)), None);
}

#[test]
fn origins_are_bounded_by_number_and_age() {
    let mut origins = StreamOrigins::new(100);
    for number in 0..1_000 {
        origins.record(&begin(number, "v1", 0), MonoMs(number as u64));
    }
    assert_eq!(origins.len(), 100);
    assert_eq!(origins.get(key(0)), None);
    let old = u32::try_from(STREAM_MEMORY_MS).unwrap();
    assert!(!origins.record(&begin(2_000, "v1", old), MonoMs(2_000)));
    origins.record(&begin(2_001, "v1", 0), MonoMs(1_000 + STREAM_MEMORY_MS));
    assert_eq!(origins.len(), 1, "older streams are forgotten");
}

/// Guards against a restarted process that takes ages for those of its own clock.
#[test]
fn reports_keep_the_age_of_streams() {
    let mut origins = StreamOrigins::new(10);
    origins.record(&begin(1, "v1", 0), MonoMs(1_000));
    let reports = origins.reports(MonoMs(31_000));
    let mut restarted = StreamOrigins::new(10);
    restarted.record(&reports[0], MonoMs(50));
    assert_eq!(restarted.reports(MonoMs(50))[0].age_ms, 50);
    assert_eq!(restarted.get(key(1)), Some(&origin("models", "v1")));
}

#[test]
fn an_unknown_stream_has_an_origin_only_where_one_is_possible() {
    let v1 = ("models", "v1");
    let v2 = ("models", "v2");
    let other = ("desk", "v9");
    assert_eq!(
        guess(&["models"], &[v1, other], &[v1]),
        Some(origin("models", "v1"))
    );
    assert_eq!(guess(&["models"], &[v1], &[]), Some(origin("models", "v1")));
    assert_eq!(
        guess(&["models"], &[v1, v2], &[v2]),
        None,
        "the old version has just left"
    );
    assert_eq!(
        guess(&["models"], &[v1], &[v2]),
        None,
        "the new one is not listed yet"
    );
    assert_eq!(
        guess(&["models", "desk"], &[v1, other], &[v1]),
        None,
        "two services"
    );
    assert_eq!(guess(&["models"], &[], &[]), None);
}

#[test]
fn the_list_of_versions_changes_its_revision_only_with_its_content() {
    let mut versions = SoftwareVersions::default();
    versions.add(3, &origin("models", "v1"));
    versions.add(4, &origin("models", "v1"));
    assert_eq!(versions.revision, 3);
    versions.remove(5, &origin("models", "v2"));
    assert_eq!(versions.revision, 3);
    versions.remove(6, &origin("models", "v1"));
    assert_eq!(versions.revision, 6);
    assert!(versions.by_service.is_empty());
    for number in 0..1_000 {
        let software = format!("v{number}");
        versions.add(7 + number, &origin("models", &software));
    }
    assert_eq!(versions.origins().count(), 16);
}
