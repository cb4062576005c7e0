//! Heartbeats of backend servers.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;
use crate::types::ServiceName;
use crate::types::SoftwareVersion;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// The server accepts new requests.
    Ready,
    /// The server is about to leave and should get no new requests.
    Leaving,
}

/// A heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerName,
    /// Wall clock time at which its process started. A later start replaces an earlier one.
    pub started_unix_ms: u64,
    /// Rises with each heartbeat of one process.
    pub sequence: u64,
    /// Service that the server provides.
    pub service: ServiceName,
    /// Address at which the server accepts requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether the server accepts new requests.
    pub state: ServerState,
    /// Remaining warm-up time, until the server runs at full speed.
    pub cold_ms: u64,
    /// Version of its software. What two versions write does not fit together.
    pub software: SoftwareVersion,
    /// Base models that are resident on the server.
    pub models: Vec<ModelName>,
}

impl Announcement {
    /// Whether `other` has the same content apart from the sequence number and the length of the
    /// warm-up.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms
            && self.service == other.service
            && self.address == other.address
            && self.data_centre == other.data_centre
            && self.slots == other.slots
            && self.state == other.state
            && self.software == other.software
            && self.models == other.models
            && (self.cold_ms > 0) == (other.cold_ms > 0)
    }
}
