//! Announcements of stand-ins to the VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;

use super::client::Call;
use super::client::HttpClient;

/// Time that one VM has to accept an announcement, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;

/// Body of `POST /v1/announcements`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Address that VMs send work to.
    pub address: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// Rises with each start of the server.
    pub incarnation: u64,
    /// Rises with each announcement of one incarnation.
    pub sequence: u64,
    /// Base model of an engine, empty for a service.
    pub base: String,
    /// Services provided, empty for an engine.
    pub services: Vec<String>,
    /// Adapters that fit at the same time.
    pub adapter_slots: u64,
    /// Requests that run at the same time.
    pub batch_positions: u64,
    /// Resident adapters.
    pub resident: Vec<String>,
    /// Requests that run.
    pub running: u64,
    /// Requests that wait.
    pub queued: u64,
    /// Free KV memory in tokens.
    pub free_kv_tokens: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Highest fencing number seen.
    pub highest_fence: u64,
    /// Whether the server is shutting down.
    pub leaving: bool,
}

/// Produces the next announcement; `None` while the server is down.
pub trait Announce: Send + Sync + 'static {
    /// The announcement to send now, without its sequence number.
    fn announcement(&self) -> Option<Announcement>;
}

/// Sends an announcement every `interval_ms` to the first of `vms` that accepts it.
pub async fn announce(source: Arc<impl Announce>, vms: Vec<SocketAddr>, interval_ms: u64) {
    let client = HttpClient::new();
    let mut timer = tokio::time::interval(Duration::from_millis(interval_ms));
    let mut sequence = 0;
    let mut preferred = 0;
    loop {
        timer.tick().await;
        let Some(mut announcement) = source.announcement() else {
            continue;
        };
        sequence += 1;
        announcement.sequence = sequence;
        preferred = send(&client, &vms, preferred, &announcement).await;
    }
}

/// Tries the VMs in turn from `preferred` and returns the one that accepted.
async fn send(
    client: &HttpClient,
    vms: &[SocketAddr],
    preferred: usize,
    announcement: &Announcement,
) -> usize {
    let Ok(body) = serde_json::to_value(announcement) else {
        return preferred;
    };
    for offset in 0..vms.len() {
        let index = (preferred + offset) % vms.len();
        let call = Call::new(vms[index], Method::POST, "/v1/announcements").json(&body);
        match client.send_within(call, ANNOUNCE_TIMEOUT_MS).await {
            Ok(reply) if reply.status.is_success() => return index,
            Ok(reply) => log::debug!("announce: {} answered {}", vms[index], reply.status),
            Err(error) => log::debug!("announce: {} failed: {error}", vms[index]),
        }
    }
    preferred
}
