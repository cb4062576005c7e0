//! What the gateway needs to know of the protocol that callers and backend servers speak.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::request;
use http::response;

use super::deployment::Deployment;
use super::deployment::InvalidDeployment;
use crate::scheduling::slots::EngineReport;
use crate::scheduling::slots::OrderOutcome;
use crate::scheduling::slots::SlotOrder;
use crate::types::AccountName;
use crate::types::ModelName;
use crate::types::ServerName;
use crate::types::Tokens;
use crate::types::VmName;

/// What a request says in its head.
#[derive(Clone, Debug, Default)]
pub struct CallerHead {
    /// Id of the request, unique for each try of a caller.
    pub request_id: Option<Arc<str>>,
    /// How long the caller waits.
    pub wait_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// Model or adapter.
    pub model: Option<ModelName>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<Tokens>,
    /// Most tokens of the answer.
    pub output_tokens: Option<Tokens>,
    /// Last event that the caller of a resumed stream has.
    pub last_event: Option<u64>,
}

impl CallerHead {
    /// Tokens that count for the account's rate.
    pub fn tokens(&self) -> Option<Tokens> {
        match (self.prompt_tokens, self.output_tokens) {
            (None, None) => None,
            (prompt, output) => Some(prompt.unwrap_or(0) + output.unwrap_or(0)),
        }
    }
}

/// What the gateway adds to a request on its way to a backend server.
#[derive(Clone, Debug)]
pub struct ForwardMetadata {
    /// The backend server that it is meant for.
    pub server: ServerName,
    /// Time that is left.
    pub wait_ms: u64,
    /// The account that holds the caller's key.
    pub account: Option<AccountName>,
    /// Version of the adapter that has to answer.
    pub version: Option<u64>,
    /// Rank among the server's requests, 0 first.
    pub priority: Option<u8>,
    /// Last event that the caller has, for a stream that goes on.
    pub last_event: Option<u64>,
}

/// Load that a backend server tells with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request_id: Option<Arc<str>>,
    /// Whether the server vouches for the answer.
    pub is_signed: bool,
    /// Whether the server says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the server is another one than expected, or lacks the model.
    pub is_misdirected: bool,
    /// The server that a misdirected request reached.
    pub reached: Option<ServerName>,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// Time for which the connection may be kept idle.
    pub keep_idle: Option<Duration>,
    /// Whether the server closes the connection.
    pub closes: bool,
    /// Whether the body is encoded, which no server of the protocol does.
    pub is_encoded: bool,
}

/// Translates heads and configurations. Implemented by the platform's adapter.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a request.
    fn read(&self, head: &request::Parts) -> CallerHead;

    /// Turns a caller's headers into those for a backend server.
    fn prepare(&self, headers: &mut HeaderMap, metadata: &ForwardMetadata);

    /// Reads the head of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerHead;

    /// Number of the last complete event in `events`, if they allowance numbers.
    fn last_event(&self, events: &[u8]) -> Option<u64>;

    /// Reads and checks an operator's configuration.
    ///
    /// # Errors
    /// The configuration is invalid.
    fn decode(&self, document: &[u8]) -> Result<Deployment, InvalidDeployment>;
}

/// Translates orders to engines and their reports. Implemented by the platform's adapter.
pub trait EngineDialect: Send + Sync + 'static {
    /// The request that carries an order of `holder` with the fencing number `fence`.
    fn order(&self, order: &SlotOrder, holder: &VmName, fence: u64) -> Request<Bytes>;

    /// Reads the answer to an order.
    fn read_order(&self, order: &SlotOrder, status: StatusCode) -> OrderOutcome;

    /// The request for a report.
    fn report(&self) -> Request<Bytes>;

    /// Reads a report; `None` if it cannot be read.
    fn read_report(&self, body: &[u8]) -> Option<EngineReport>;
}
