//! Log line of a request.

use std::net::IpAddr;
use std::sync::Arc;

use serde::Serialize;

use super::framing::Framing;
use crate::events::Event;
use crate::events::Severity;
use crate::types::AccountName;
use crate::types::Feature;
use crate::types::ModelName;
use crate::types::RequestFeatures;
use crate::types::ServerName;
use crate::types::SoftwareVersion;
use crate::types::VmName;

/// Outcome of a request and the reasons for it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestRecord {
    /// Id given by the caller.
    pub request_id: Option<Arc<str>>,
    /// Name of the route.
    pub route: Option<Arc<str>>,
    /// Version of the configuration that applied to the request.
    pub deployment_version: u64,
    /// Links to controllers at the time of a refusal by the configuration, or for want of one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub controller_links: Option<u32>,
    /// Time since a controller confirmed a configuration, with `controller_links`; `None` if none has.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub confirmed_age_ms: Option<u64>,
    /// Latency objective of the route; 0 before the route is known.
    pub target_ms: u64,
    /// Client account.
    pub account: Option<AccountName>,
    /// Model or adapter.
    pub model: Option<ModelName>,
    /// Backend servers that the request was sent to, in order.
    pub servers: Vec<ServerName>,
    /// Other entry VMs that the request was sent to, in order.
    pub peers: Vec<VmName>,
    /// Entry VM from which the request came, if not from its caller.
    pub relayed_for: Option<IpAddr>,
    /// Version of the configuration that this entry VM named, or a newer one, has to apply.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub asked_version: Option<u64>,
    /// Software versions of these servers.
    pub software: Vec<SoftwareVersion>,
    /// Id of the caller's attempt that began the stream which this one resumes.
    pub resumes: Option<Arc<str>>,
    /// Last event that the caller of a resumed stream received.
    pub last_event: Option<u64>,
    /// Outcome of each attempt.
    pub sends: Vec<&'static str>,
    /// Status sent to the caller.
    pub status: u16,
    /// Reason if no backend server's answer was passed on completely.
    pub reason: Option<&'static str>,
    /// Time spent on waiting for the configuration, tokens, an adapter or a server.
    pub waited_ms: u64,
    /// Time until the head of the answer.
    pub first_ms: u64,
    /// Time until the end.
    pub total_ms: u64,
    /// Events of a stream that were passed on.
    pub events: u64,
    /// How the end of the last answer was marked.
    pub framing: Option<Framing>,
    /// Whether a stream ended inside an event.
    pub ends_in_event: bool,
    /// Features of the request if a connection broke before its first complete event.
    pub broken: Option<Arc<RequestFeatures>>,
    /// Feature because of which the request was refused.
    pub quarantined: Option<Feature>,
    /// Crashes that it may have caused.
    pub crashes: usize,
}

impl Event for RequestRecord {
    const KIND: &'static str = "request";

    fn severity(&self) -> Severity {
        if self.reason.is_some() || self.status >= 400 {
            Severity::Failure
        } else {
            Severity::Routine
        }
    }
}
