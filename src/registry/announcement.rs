//! What a backend server says of itself.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::ModelName;
use crate::types::ServerName;
use crate::types::ServiceName;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// It takes work.
    Ready,
    /// It is about to leave and should get no new work.
    Leaving,
}

/// One heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the server.
    pub server: ServerName,
    /// Wall clock of its process's start. A later start replaces an earlier one.
    pub started_unix_ms: u64,
    /// Rises with each heartbeat of one process.
    pub sequence: u64,
    /// Service that it provides.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Time until a server that was just started runs at full speed.
    pub cold_ms: u64,
    /// Base models that it holds.
    pub models: Vec<ModelName>,
}

impl Announcement {
    /// Whether `other` says the same apart from its number and warm-up.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        self.started_unix_ms == other.started_unix_ms
            && self.service == other.service
            && self.address == other.address
            && self.data_centre == other.data_centre
            && self.slots == other.slots
            && self.state == other.state
            && self.models == other.models
            && (self.cold_ms > 0) == (other.cold_ms > 0)
    }
}
