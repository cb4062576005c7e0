//! Interface to the protocol of callers and backend servers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Request;
use http::StatusCode;
use http::request;
use http::response;

use super::deployment::Deployment;
use super::deployment::InvalidDeployment;
use crate::limits::AskedRest;
use crate::scheduling::slots::EngineReport;
use crate::scheduling::slots::OrderOutcome;
use crate::scheduling::slots::SlotOrder;
use crate::types::AccountName;
use crate::types::Feature;
use crate::types::ModelName;
use crate::types::RequestRate;
use crate::types::ServerName;
use crate::types::Tokens;
use crate::types::VmName;

/// Fields of a request's head.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Id of the request, unique for each attempt of a caller.
    pub request_id: Option<Arc<str>>,
    /// Time that the caller waits.
    pub wait_ms: Option<u64>,
    /// Key of the caller.
    pub key: Option<Arc<str>>,
    /// Model or adapter.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<Tokens>,
    /// Upper limit on the tokens of the answer.
    pub output_tokens: Option<Tokens>,
    /// Parts of the prompt that other requests may share.
    pub shared_parts: Vec<Feature>,
    /// Last event that the caller of a resumed stream received.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<Arc<str>>,
}

impl CallerHead {
    /// Tokens that count towards the account's rate.
    pub fn tokens(&self) -> Option<Tokens> {
        match (self.prompt_tokens, self.output_tokens) {
            (None, None) => None,
            (prompt, output) => Some(prompt.unwrap_or(0) + output.unwrap_or(0)),
        }
    }
}

/// Metadata that the gateway adds to a request for a backend server.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// Backend server that the request is meant for.
    pub server: ServerName,
    /// Time left until the deadline.
    pub wait_ms: u64,
    /// Account that holds the caller's key.
    pub account: Option<AccountName>,
    /// Version of the adapter that has to answer.
    pub version: Option<u64>,
    /// Priority among the server's requests, 0 first.
    pub priority: Option<u8>,
    /// Last event that the caller received, for a resumed stream.
    pub last_event: Option<u64>,
}

/// Load that a backend server reports with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can process at once.
    pub slots: u32,
}

/// What an answer states about the rate of requests that its server takes from all VMs together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum NamedLimit {
    /// The answer names no limit.
    #[default]
    Unlimited,
    /// The server takes this rate for as long as its answers name it.
    Limited(RequestRate),
    /// The value is not a rate.
    Invalid(Arc<str>),
}

/// Fields of an answer's head.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Id of the answered request.
    pub request_id: Option<Arc<str>>,
    /// Whether the server has signed the answer.
    pub is_signed: bool,
    /// Whether the server states that it did not run the request.
    pub is_not_run: bool,
    /// Whether a different server answered, or one that lacks the model.
    pub is_misdirected: bool,
    /// Server that the request reached, if the answer names it.
    pub reached: Option<ServerName>,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// Limit on the rate of requests to the server.
    pub named_limit: NamedLimit,
    /// Rest that the server asks of this VM.
    pub asked_rest: AskedRest,
    /// Whether the server states that it is about to leave and wants no new requests.
    pub is_leaving: bool,
    /// Time for which the connection may be idle.
    pub keep_idle: Option<Duration>,
    /// Whether the server closes the connection.
    pub closes: bool,
    /// Whether the body is encoded, which no server of the protocol does.
    pub is_encoded: bool,
}

/// Translates heads and configurations. Implemented for the protocol of the platform.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a request.
    fn read(&self, head: &request::Parts) -> CallerHead;

    /// Converts a caller's headers into those for a backend server.
    fn prepare(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata);

    /// Prepares a caller's headers for another entry VM, which handles the request within `wait_ms`. With
    /// `last_event`, it resumes a stream that this attempt of the caller began.
    fn prepare_relay(&self, headers: &mut HeaderMap, wait_ms: u64, last_event: Option<u64>);

    /// Names a version of the configuration in a request to another entry VM, which applies none that is older,
    /// or in the answer to it, to which that version was applied. Returns the header's name.
    fn name_configuration(&self, headers: &mut HeaderMap, version: u64) -> HeaderName;

    /// Removes the version from a request or an answer and returns it. `None` if there is none, or no number.
    fn take_configuration(&self, headers: &mut HeaderMap) -> Option<u64>;

    /// Reads the head of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Names in an answer to another entry VM the server that it comes from.
    fn name_server(&self, headers: &mut HeaderMap, server: &ServerName);

    /// Number of the last complete event in `events`, if events are numbered.
    fn last_event(&self, events: &[u8]) -> Option<u64>;

    /// Decodes and validates an operator's configuration.
    ///
    /// # Errors
    /// The configuration is invalid.
    fn decode(&self, document: &[u8]) -> Result<Deployment, InvalidDeployment>;
}

/// Translates orders to engines and engine reports. Implemented for the protocol of the platform.
pub trait EngineDialect: Send + Sync + 'static {
    /// Creates the request for an order of `holder` with the fencing number `fence`.
    fn order(&self, order: &SlotOrder, holder: &VmName, fence: u64) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order(&self, order: &SlotOrder, status: StatusCode) -> OrderOutcome;

    /// Creates the request for a report.
    fn report(&self) -> Request<Bytes>;

    /// Reads a report; `None` if it is malformed.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
}
