//! The log line of a request.

use std::sync::Arc;

use serde::Serialize;

use crate::events::Event;
use crate::events::Weight;
use crate::types::AccountName;
use crate::types::ModelName;
use crate::types::ServerName;

/// How a request ended and what decided it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RequestRecord {
    /// Id that the caller gave.
    pub request_id: Option<Arc<str>>,
    /// Name of the route.
    pub route: Option<Arc<str>>,
    /// Version of the configuration that decided.
    pub deployment_version: u64,
    /// Objective of the route; 0 before it is known.
    pub target_ms: u64,
    /// Client account.
    pub account: Option<AccountName>,
    /// Model or adapter.
    pub model: Option<ModelName>,
    /// Backend servers that it was sent to, in order.
    pub servers: Vec<ServerName>,
    /// What became of each send.
    pub sends: Vec<&'static str>,
    /// Status that the caller got.
    pub status: u16,
    /// Why, if no backend server's answer was passed on whole.
    pub reason: Option<&'static str>,
    /// Time spent on waiting for the configuration, tokens, an adapter or a server.
    pub waited_ms: u64,
    /// Time until the head of the answer.
    pub first_ms: u64,
    /// Time until the end.
    pub total_ms: u64,
    /// Events of a stream that were passed on.
    pub events: u64,
}

impl Event for RequestRecord {
    const KIND: &'static str = "request";

    fn weight(&self) -> Weight {
        if self.reason.is_some() || self.status >= 400 {
            Weight::Failure
        } else {
            Weight::Routine
        }
    }
}
