//! Clients of backend servers. Each protocol is one file, behind the `Engine` trait or one
//! function.

mod client;
mod engine_http;
mod frame;
mod named_limits;
mod service_http;

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::BoxFuture;
use futures::stream::BoxStream;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

use crate::types::AdapterRef;
use crate::types::VmName;

pub use client::HttpClient;
pub use client::pooled_client;
pub use client::single_use_client;
pub use engine_http::HttpEngine;
pub use frame::TokenFrame;
pub use frame::Usage;
pub use named_limits::NamedLimits;
pub use service_http::ServiceCall;
pub use service_http::ServiceReply;
pub use service_http::call_service;

/// Result of a call to a backend server.
pub type Result<T, E = BackendError> = std::result::Result<T, E>;

/// Tokens of one answer in order and without gaps. The last frame has a finish reason.
pub type TokenStream = BoxStream<'static, Result<TokenFrame>>;

/// Header of an answer with the requests per second, as a decimal number, that the server takes from
/// all VMs together for as long as its answers name it.
pub const REQUEST_LIMIT: http::HeaderName = http::HeaderName::from_static("x-request-limit");

/// Timeout of a command to an engine.
pub const ENGINE_COMMAND_TIMEOUT_MS: u64 = engine_http::ENGINE_COMMAND_TIMEOUT_MS;

/// How a call to a backend server failed.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
pub enum BackendError {
    /// The server refused or never received the call, so it did not run.
    #[snafu(display("the call did not start: {message}"))]
    NotStarted {
        /// What the server or the connection reported.
        message: String,
    },
    /// No connection to the server was made, so the call did not run.
    #[snafu(display("the server cannot be reached: {message}"))]
    Unreachable {
        /// What the connection reported.
        message: String,
    },
    /// No server takes the call now, so it did not run.
    #[snafu(display("no server takes the call now: {message}"))]
    NoCapacity {
        /// Why.
        message: String,
        /// Time after which the call may be repeated, in milliseconds.
        retry_after_ms: u64,
    },
    /// The adapter is not resident on the engine, so the call did not run.
    #[snafu(display("the adapter is not resident on the engine"))]
    NotResident,
    /// The connection was lost after the call was sent; the call may have run.
    #[snafu(display("the answer was lost: {message}"))]
    Lost {
        /// What the connection reported.
        message: String,
    },
    /// No answer arrived before the deadline; the call may have run.
    #[snafu(display("no token arrived in time"))]
    TimedOut,
    /// The answer belongs to another request, model or position.
    #[snafu(display("the answer does not match the request: {message}"))]
    Mismatch {
        /// Which field differs and how.
        message: String,
    },
}

impl BackendError {
    /// Whether the call provably did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Self::NotStarted { .. }
                | Self::Unreachable { .. }
                | Self::NoCapacity { .. }
                | Self::NotResident
        )
    }

    /// Whether the connection to the server failed, as it does when the server has crashed.
    pub fn is_connection_failure(&self) -> bool {
        matches!(self, Self::Unreachable { .. } | Self::Lost { .. })
    }
}

/// Call for one generation on an engine. Contains no caller key.
#[derive(Clone, Debug)]
pub struct EngineCall {
    /// Request id that each part of the answer must repeat.
    pub request_id: Arc<str>,
    /// Adapter and version to run on.
    pub adapter: AdapterRef,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Engine priority; lower runs first.
    pub priority: u8,
    /// VM that sends the call.
    pub vm: VmName,
}

/// Value of the `Via` header of a request that `vm` sends.
fn via(vm: &VmName) -> String {
    format!("1.1 {vm}")
}

/// Identity that each part of a streamed answer must repeat.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamIdentity {
    /// Id of the request.
    pub request_id: Arc<str>,
    /// `base:adapter@version`, if known. Only the id is known for a stream resumed through another
    /// VM.
    pub model: Option<Arc<str>>,
}

impl StreamIdentity {
    /// The identity of the answer to `call`.
    pub fn of_call(call: &EngineCall) -> Self {
        Self {
            request_id: call.request_id.clone(),
            model: Some(call.adapter.to_string().into()),
        }
    }
}

/// Kind of a command to an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineCommandKind {
    /// Remove an adapter from its slot.
    Evict,
    /// Load an adapter from the weight store.
    Load,
}

/// Command to an engine, fenced by the coordinator's term.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineCommand {
    /// Load or eviction.
    #[serde(rename = "order")]
    pub kind: EngineCommandKind,
    /// Adapter to load or evict.
    pub adapter: AdapterRef,
    /// Fencing token of the coordinator.
    pub fence: u64,
}

/// Outcome of a command to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EngineCommandOutcome {
    /// The command was executed.
    Done,
    /// The engine has seen a higher fencing token and refused the command.
    Fenced {
        /// The highest fencing token that the engine has seen.
        highest_fence: u64,
    },
    /// The adapter is in use and was not evicted.
    InUse,
    /// The command failed or the engine did not answer.
    Failed,
}

/// Adapters with running or queued requests on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdaptersInUse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// The adapters.
    pub adapters: Vec<AdapterRef>,
}

/// Protocol of an inference engine.
pub trait Engine: Send + Sync + 'static {
    /// Starts a generation and returns its token stream.
    fn start(&self, to: SocketAddr, call: EngineCall) -> BoxFuture<'static, Result<TokenStream>>;

    /// Reads the tokens of a running or finished generation from index `from` on.
    fn resume(
        &self,
        to: SocketAddr,
        identity: StreamIdentity,
        from: u64,
    ) -> BoxFuture<'static, Result<TokenStream>>;

    /// Cancels a generation; true if the engine confirmed that it does not run any more.
    fn cancel(&self, to: SocketAddr, request_id: Arc<str>) -> BoxFuture<'static, bool>;

    /// Queries the adapters in use; `None` if the engine does not report them.
    fn in_use(&self, to: SocketAddr) -> BoxFuture<'static, Option<AdaptersInUse>>;

    /// Executes a command and waits for its outcome.
    fn execute(
        &self,
        to: SocketAddr,
        command: EngineCommand,
    ) -> BoxFuture<'static, EngineCommandOutcome>;
}
