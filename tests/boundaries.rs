//! The library does not depend on the platform: names of its protocol occur only under `platform/`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Names of the platform's protocol that have another name, or none, in the library.
const PLATFORM_NAMES: [&str; 13] = [
    "Deadline-Ms",
    "Expect-Instance",
    "expect-instance",
    "Prompt-Prefix",
    "Token-Usage",
    "Not-Executed",
    "not-executed",
    "Response-Signature",
    "response-signature",
    "Tenant-Id",
    "RetryBudgetRatio",
    "ConfigApplyMs",
    "FencingToken",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_name_of_the_platform_occurs_in_the_library() {
    let mut files = Vec::new();
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    collect_sources(&root.join("src"), &mut files);
    assert!(files.len() > 100);
    for file in files {
        let text = fs::read_to_string(&file).unwrap();
        for name in PLATFORM_NAMES {
            assert!(!text.contains(name), "{} names {name}", file.display());
        }
    }
}

#[test]
fn the_library_does_not_depend_on_the_platform_crate() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let manifest = fs::read_to_string(root.join("Cargo.toml")).unwrap();
    assert!(!manifest.contains("medlarlift-platform"));
}
