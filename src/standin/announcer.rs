//! Periodic announcements of a simulated backend server to the VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use serde::Deserialize;
use serde::Serialize;

use super::client::Call;
use super::client::HttpClient;

/// Timeout of one announcement to one VM, in milliseconds.
const ANNOUNCE_TIMEOUT_MS: u64 = 400;

/// Body of `POST /v1/announcements`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: String,
    /// `engine` or `service`.
    pub kind: String,
    /// Address that VMs send requests to.
    pub address: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// Increases with each start of the server.
    pub incarnation: u64,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Base model of an engine, empty for a service.
    pub base: String,
    /// Names of the services that the server provides; empty for an engine.
    pub services: Vec<String>,
    /// Maximum number of resident adapters.
    pub adapter_slots: u64,
    /// Maximum number of concurrent requests.
    pub batch_positions: u64,
    /// Names of the resident adapters.
    pub resident: Vec<String>,
    /// Number of running requests.
    pub running: u64,
    /// Number of queued requests.
    pub queued: u64,
    /// Free KV cache capacity in tokens.
    pub free_kv_tokens: u64,
    /// Whether commands with a stale fencing token are refused.
    pub checks_fence: bool,
    /// Highest fencing token seen.
    pub highest_fence: u64,
    /// Whether the server is draining.
    pub leaving: bool,
}

/// Source of announcements.
pub trait Announce: Send + Sync + 'static {
    /// The current announcement without its sequence number; `None` while the server is down.
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

/// Tries the VMs in order, starting at `preferred`, and returns the index of the first one that
/// accepts. If none accepts, returns `preferred`.
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
            Ok(reply) => log::debug!(
                "announcement refused by {} with status {}",
                vms[index],
                reply.status
            ),
            Err(error) => log::debug!("announcement to {} failed: {error}", vms[index]),
        }
    }
    preferred
}
