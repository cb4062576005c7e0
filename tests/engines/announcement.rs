//! Announcement of a test engine.

use medlarlift::registry::Announcement;
use medlarlift::registry::ServerState;
use medlarlift::types::DataCentre;
use medlarlift::types::ModelName;
use medlarlift::types::ServerName;
use medlarlift::types::ServiceName;
use medlarlift::types::SoftwareVersion;

/// Announcement of an engine that is ready and holds the base model.
pub fn announcement(name: &str, data_centre: &str, slots: u32) -> Announcement {
    Announcement {
        server: ServerName::from(name),
        started_unix_ms: 1,
        sequence: 1,
        service: ServiceName::from("models"),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: DataCentre::from(data_centre),
        slots,
        state: ServerState::Ready,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
        models: vec![ModelName::from("base")],
    }
}
