//! Tests of the settings reader and the example settings.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use medlarlift::configs::InvalidSetting;
use medlarlift::configs::Reader;
use medlarlift::configs::SettingsError;
use medlarlift::configs::read_file;
use medlarlift::configs::read_text;
use medlarlift::configs::standin_callers::CallerSettings;
use medlarlift::configs::standin_engine::EngineSettings;
use medlarlift::configs::standin_service::ServiceSettings;
use medlarlift::configs::standin_store::StoreSettings;
use medlarlift::configs::vm::VmSettings;

fn example(name: &str) -> String {
    format!("{}/examples/settings/{name}", env!("CARGO_MANIFEST_DIR"))
}

fn invalid_settings<T: std::fmt::Debug>(result: Result<T, SettingsError>) -> Vec<InvalidSetting> {
    match result {
        Err(SettingsError::Invalid { settings }) => settings,
        other => panic!("invalid settings expected, got {other:?}"),
    }
}

fn read_peers(reader: &mut Reader<'_>) -> Vec<SocketAddr> {
    let peers = reader.list("peers", |peer| peer.required_address("peer_address"));
    reader.object("store", |store| store.f64("loads_per_s", 3.0, 0.1..=100.0));
    reader.choice("policy", 1, &[("estimate", 1), ("least_loaded", 2)]);
    reader.required_secret("token");
    peers
}

/// Guards against a check that stops at the first invalid setting or does not name the field, the
/// value and what is allowed.
#[test]
fn check_command_reports_all_five_invalid_settings() {
    let file = example("five-mistakes.yaml");
    let output = Command::new(env!("CARGO_BIN_EXE_medlarlift"))
        .args(["check", "--kind", "engine", "--settings", &file])
        .output()
        .expect("command runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for expected in [
        "5 wrong settings",
        "address: localhost:7400; allowed: an IP address with a port",
        "vms[1]: 127.0.0.1; allowed: an IP address with a port",
        "adapter_slots: 0; allowed: a whole number from 1 to 4096",
        "fence: maybe; allowed: one of check, ignore",
        "batch_postions: unknown field; allowed: one of name, address",
    ] {
        assert!(text.contains(expected), "{expected} is not in:\n{text}");
    }
}

/// Guards against invalid example settings.
#[test]
fn example_settings_are_valid() {
    let file = |name| example(name);
    read_file(Path::new(&file("engine.yaml")), EngineSettings::read).expect("engine.yaml");
    read_file(Path::new(&file("service.yaml")), ServiceSettings::read).expect("service.yaml");
    read_file(Path::new(&file("store.yaml")), StoreSettings::read).expect("store.yaml");
    read_file(Path::new(&file("callers.yaml")), CallerSettings::read).expect("callers.yaml");
}

/// Guards against invalid settings in lists and mappings that are lost or reported without their
/// path.
#[test]
fn nested_invalid_settings_are_reported_with_their_path() {
    let text = "
        peers: [{peer_address: 127.0.0.1:1}, 7, {adress: x}]
        store: {loads_per_s: fast}
        policy: 3
        token: 12345
    ";
    let found = invalid_settings(read_text(text, read_peers));
    let paths: Vec<&str> = found.iter().map(|invalid| invalid.path.as_str()).collect();
    let expected = [
        "peers[1]",
        "peers[1].peer_address",
        "peers[2].peer_address",
        "peers[2].adress",
        "store.loads_per_s",
        "policy",
        "token",
    ];
    assert_eq!(paths, expected);
    assert!(found.iter().all(|invalid| !invalid.allowed.is_empty()));
}

/// Guards against an engine that starts with more adapters than slots, or with adapters of another
/// base model.
#[test]
fn resident_adapters_fit_the_engine() {
    let engine = "{name: e, address: '127.0.0.1:1', data_centre: d, base: b, adapter_slots: 2, ";
    let text = format!("{engine} resident: ['b:x@1', 'c:x@1', 'b:x']}}");
    let found = invalid_settings(read_text(&text, EngineSettings::read));
    let paths: Vec<&str> = found.iter().map(|invalid| invalid.path.as_str()).collect();
    assert_eq!(paths, ["resident", "resident[1]", "resident[2]"]);
}

/// Guards against a key or token that appears in a message.
#[test]
fn secrets_are_not_repeated() {
    let found = invalid_settings(read_text("token: 12345\npolicy: estimate", read_peers));
    assert!(
        found
            .iter()
            .all(|invalid| !invalid.to_string().contains("12345"))
    );
}

/// Guards against defaults that are replaced by zero, and against absent fields that count as
/// invalid.
#[test]
fn absent_fields_take_their_defaults() {
    let text = "{name: e, address: '127.0.0.1:1', data_centre: d, base: b}";
    let settings = read_text(text, EngineSettings::read).expect("valid");
    let expected = EngineSettings {
        name: "e".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "d".to_owned(),
        base: "b".to_owned(),
        ..EngineSettings::default()
    };
    assert_eq!(settings, expected);
}

/// Guards against a limit on bodies that the memory of the process cannot hold.
#[test]
fn a_body_limit_that_does_not_fit_into_the_memory_is_invalid() {
    let settings = |more: &str| {
        format!(
            "vm: a\ndata_centre: north\ncaller_address: 127.0.0.1:1\nadmin_address: 127.0.0.1:2\n\
             peer_address: 127.0.0.1:3\noperator_token_sha256: {}\n{more}\n",
            "0".repeat(64)
        )
    };
    read_text(&settings("max_body_bytes: 33554432"), VmSettings::read).expect("an eighth");
    let found = invalid_settings(read_text(
        &settings("max_body_bytes: 33554433\nmemory_mb: 256"),
        VmSettings::read,
    ));
    assert_eq!(found.len(), 1, "{found:?}");
    assert_eq!(found[0].path, "max_body_bytes");
    assert_eq!(found[0].value, "33554433");
    let found = invalid_settings(read_text(&settings("memory_mb: 8"), VmSettings::read));
    assert_eq!(found[0].path, "memory_mb");
}
