//! Parsing and validation of backend server announcements.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;

use crate::membership::Announcement;
use crate::membership::ServerKind;
use crate::membership::ServerLoad;
use crate::membership::ServerPayload;
use crate::types::AdapterRef;
use crate::types::DataCentre;
use crate::types::Refusal;
use crate::types::RefusalCode;
use crate::types::ServerName;
use crate::types::ServiceName;

/// Result of reading an announcement.
pub type Result<T, E = Refusal> = std::result::Result<T, E>;

/// Maximum length of a server name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum number of resident adapters in an announcement.
const MAX_RESIDENT: usize = 4_096;

/// JSON body of an announcement.
#[derive(Deserialize)]
struct Body {
    name: String,
    kind: ServerKind,
    address: SocketAddr,
    data_centre: String,
    incarnation: u64,
    sequence: u64,
    #[serde(default)]
    base: String,
    #[serde(default)]
    services: Vec<String>,
    #[serde(default)]
    adapter_slots: u32,
    #[serde(default)]
    batch_positions: u32,
    #[serde(default)]
    resident: Vec<AdapterRef>,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    free_kv_tokens: u64,
    #[serde(default)]
    checks_fence: bool,
    #[serde(default)]
    highest_fence: u64,
    #[serde(default)]
    leaving: bool,
}

/// Parses and validates an announcement.
///
/// # Errors
/// A refusal that names the invalid field.
pub fn read_announcement(body: &Bytes) -> Result<Announcement> {
    let body: Body = serde_json::from_slice(body)
        .map_err(|error| bad_request("body", "(body)", &format!("cannot be read: {error}")))?;
    validate(&body)?;
    Ok(Announcement {
        name: ServerName::from(body.name),
        incarnation: body.incarnation,
        sequence: body.sequence,
        payload: ServerPayload {
            address: body.address.to_string(),
            data_centre: DataCentre::from(body.data_centre),
            kind: body.kind,
            services: body.services.into_iter().map(ServiceName::from).collect(),
            base_model: (!body.base.is_empty()).then(|| body.base.into()),
            adapter_slots: body.adapter_slots,
            batch_positions: body.batch_positions,
            resident_adapters: body.resident,
            checks_fence: body.checks_fence,
            leaving: body.leaving,
        },
        load: ServerLoad {
            running: body.running,
            queued: body.queued,
            free_kv_tokens: body.free_kv_tokens,
            highest_fence: body.highest_fence,
        },
    })
}

fn validate(body: &Body) -> Result<()> {
    let valid_name = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let name = &body.name;
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(valid_name) {
        let allowed = format!("must have 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'");
        return Err(bad_request("name", name, &allowed));
    }
    if body.data_centre.is_empty() {
        return Err(bad_request("data_centre", "", "must not be empty"));
    }
    if body.resident.len() > MAX_RESIDENT {
        let allowed = format!("must list at most {MAX_RESIDENT} adapters");
        return Err(bad_request(
            "resident",
            &body.resident.len().to_string(),
            &allowed,
        ));
    }
    match body.kind {
        ServerKind::Engine if body.base.is_empty() => Err(bad_request(
            "base",
            "",
            "must name the base model of an engine",
        )),
        ServerKind::Service if body.services.is_empty() => Err(bad_request(
            "services",
            "",
            "must list at least one service",
        )),
        _ => Ok(()),
    }
}

fn bad_request(field: &str, value: &str, allowed: &str) -> Refusal {
    let truncated: String = value.chars().take(MAX_NAME_BYTES).collect();
    Refusal::not_run(RefusalCode::BadRequest, format!("{field} {allowed}"))
        .with_field(field, truncated)
}
