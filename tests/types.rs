//! Tests of the shared value types.

use medlarlift::types::AdapterRef;

/// Guards against a request that runs on another version than the one it names.
#[test]
fn adapter_reference_keeps_its_version() {
    let parsed: AdapterRef = "base:frames@12".parse().expect("valid reference");
    assert_eq!(parsed, AdapterRef::new("base", "frames", 12));
    assert_eq!(parsed.to_string(), "base:frames@12");
}

/// Guards against an incomplete reference that is accepted and resolved to a default version.
#[test]
fn incomplete_adapter_references_are_rejected() {
    for text in [
        "",
        "base",
        "base:frames",
        "base:@1",
        ":frames@1",
        "base:frames@x",
    ] {
        let error = text.parse::<AdapterRef>().expect_err("must be rejected");
        assert!(error.to_string().contains(text), "{error}");
    }
}
